#include "fakes/fakestore.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QTimer>
#include <QUrl>
#include <QUrlQuery>

#include <algorithm>
#include <deque>
#include <utility>

namespace Plantainweir {
namespace {

struct Change {
    std::uint64_t revision = 0;
    std::string kind;
    QJsonObject object;
    bool isDeleted = false;
};

/** What a store holds. */
struct StoreContent {
    std::map<std::string, std::map<std::string, QJsonObject>> objects; ///< By kind and name.
    std::deque<Change> history;
    std::uint64_t revision = 1;
    std::uint64_t oldestRevision = 0;
};

struct PendingWatch {
    HttpExchangeId exchange = 0;
    std::string kind;
    std::uint64_t revision = 0;
    bool isStale = false;
};

HttpResponse jsonResponse(int status, const QJsonObject &body)
{
    return {.status = status, .fields = {{"Content-Type", "application/json"}}, .body = QJsonDocument(body).toJson(QJsonDocument::Compact).toStdString()};
}

}

class FakeStore::Private : public QObject
{
public:
    Private()
        : m_server(HttpLimits{})
    {
        m_server.listen({.address = "127.0.0.1", .port = 0});
        connect(&m_server, &HttpServer::requestReceived, this, &Private::handle);
    }

    void handle(HttpExchangeId exchange, const HttpRequest &request)
    {
        const QUrl url(QString::fromStdString(request.target));
        const QUrlQuery query(url);
        const QStringList parts = url.path().split(QLatin1Char('/'), Qt::SkipEmptyParts);
        m_callCount += query.hasQueryItem("serializable") ? 0 : 1;
        ++m_callCounts[parts.value(2).toStdString()];
        if (m_faults.isUnresponsive || (!m_faults.unansweredKind.empty() && parts.value(2).toStdString() == m_faults.unansweredKind)) {
            return;
        }
        if (m_faults.isLosingAnswers && !query.hasQueryItem("watch")) {
            return;
        }
        if (m_faults.isBusy || parts.size() < 3) {
            respond(exchange, jsonResponse(503, {}));
            return;
        }
        const std::string kind = parts.at(2).toStdString();
        const std::string name = parts.size() > 3 ? parts.at(3).toStdString() : std::string();
        if (request.method == "GET" && query.hasQueryItem("watch")) {
            watch({.exchange = exchange, .kind = kind, .revision = query.queryItemValue("watch").toULongLong(), .isStale = query.hasQueryItem("serializable")});
            QTimer::singleShot(query.queryItemValue("waitMs").toInt(), this, [this, exchange] {
                endWait(exchange);
            });
        } else if (request.method == "GET" && name.empty()) {
            ++m_listCounts[kind];
            const auto delay = m_faults.listDelays.find(kind);
            const HttpResponse response = listResponse(kind, query.hasQueryItem("serializable"));
            respondAfter(delay == m_faults.listDelays.end() ? m_faults.answerDelay : delay->second, exchange, response);
        } else if (request.method == "GET") {
            respond(exchange, jsonResponse(m_content.objects[kind].contains(name) ? 200 : 404, {}));
        } else if (request.method == "DELETE") {
            remove(kind, name);
            respond(exchange, jsonResponse(200, {}));
        } else {
            write(exchange, kind, request);
        }
    }

    void respond(HttpExchangeId exchange, const HttpResponse &response)
    {
        respondAfter(m_faults.answerDelay, exchange, response);
    }

    void respondAfter(std::chrono::milliseconds delay, HttpExchangeId exchange, HttpResponse response)
    {
        // A late answer shows the era in which it was made.
        const std::string era = m_faults.eraField.value_or(std::to_string(m_era));
        if (!era.empty()) {
            response.fields.push_back({.name = "Store-Era", .value = era});
        }
        if (delay == std::chrono::milliseconds::zero()) {
            m_server.respond(exchange, response);
            return;
        }
        QTimer::singleShot(delay, this, [this, exchange, response] {
            m_server.respond(exchange, response);
        });
    }

    HttpResponse listResponse(const std::string &kind, bool isStale)
    {
        const bool isFrozen = isStale && m_faults.isStaleReadFrozen;
        QJsonArray items;
        for (const auto &[name, object] : (isFrozen ? m_frozenObjects : m_content.objects)[kind]) {
            items.append(object);
        }
        return jsonResponse(200,
                            {{"items", items}, {"hasMore", false}, {"storeRevision", static_cast<qint64>(isFrozen ? m_frozenRevision : m_content.revision)}});
    }

    void write(HttpExchangeId exchange, const std::string &kind, const HttpRequest &request)
    {
        const QJsonObject object = QJsonDocument::fromJson(QByteArray::fromStdString(request.body)).object();
        const std::string name = object["metadata"].toObject()["name"].toString().toStdString();
        if (request.method == "POST" && m_content.objects[kind].contains(name)) {
            respond(exchange, jsonResponse(409, m_content.objects[kind][name]));
            return;
        }
        put(kind, name, object["spec"].toObject());
        respond(exchange, jsonResponse(200, m_content.objects[kind][name]));
    }

    void watch(const PendingWatch &watch)
    {
        const bool isUnknown = watch.revision > m_content.revision && !m_faults.isStaleReadFrozen;
        if (watch.revision < m_content.oldestRevision || isUnknown) {
            respond(watch.exchange, jsonResponse(410, {}));
            return;
        }
        m_watches.push_back(watch);
        answerWatches();
    }

    void put(const std::string &kind, const std::string &name, const QJsonObject &spec)
    {
        const QJsonObject metadata{{"name", QString::fromStdString(name)}, {"revision", static_cast<qint64>(++m_content.revision)}};
        m_content.objects[kind][name] = {{"metadata", metadata}, {"spec", spec}};
        m_content.history.push_back({m_content.revision, kind, m_content.objects[kind][name], false});
        answerWatches();
    }

    void remove(const std::string &kind, const std::string &name)
    {
        if (!m_content.objects[kind].contains(name)) {
            return;
        }
        m_content.history.push_back({++m_content.revision, kind, m_content.objects[kind][name], true});
        m_content.objects[kind].erase(name);
        answerWatches();
    }

    void answerWatches()
    {
        if (m_faults.isWatchStalled || m_faults.isUnresponsive) {
            return;
        }
        std::erase_if(m_watches, [this](const PendingWatch &watch) {
            const QJsonArray events = eventsFor(watch);
            if (!events.isEmpty()) {
                answerWatch(watch, events);
            }
            return !events.isEmpty();
        });
    }

    std::uint64_t shownRevision(const PendingWatch &watch) const
    {
        return watch.isStale && m_faults.isStaleReadFrozen ? m_frozenRevision : m_content.revision;
    }

    QJsonArray eventsFor(const PendingWatch &watch) const
    {
        QJsonArray events;
        for (const Change &change : m_content.history) {
            if (change.kind == watch.kind && change.revision > watch.revision && change.revision <= shownRevision(watch)) {
                events.append(QJsonObject{{"object", change.object}, {"deleted", change.isDeleted}});
            }
        }
        return events;
    }

    void answerWatch(const PendingWatch &watch, const QJsonArray &events)
    {
        if (!m_faults.isLosingAnswers && (m_faults.unansweredKind.empty() || watch.kind != m_faults.unansweredKind)) {
            respond(watch.exchange, jsonResponse(200, {{"events", events}, {"storeRevision", static_cast<qint64>(shownRevision(watch))}}));
        }
    }

    void endWait(HttpExchangeId exchange)
    {
        const auto found = std::find_if(m_watches.begin(), m_watches.end(), [exchange](const PendingWatch &watch) {
            return watch.exchange == exchange;
        });
        if (found == m_watches.end() || m_faults.isUnresponsive || m_faults.isWatchStalled) {
            return;
        }
        const PendingWatch watch = *found;
        m_watches.erase(found);
        answerWatch(watch, eventsFor(watch));
    }

    void closeWatches()
    {
        const auto watches = std::exchange(m_watches, {});
        for (const PendingWatch &watch : watches) {
            m_server.abortExchange(watch.exchange);
        }
    }

    void dropWatchesAndHistory()
    {
        closeWatches();
        m_content.history.clear();
        m_content.oldestRevision = m_content.revision;
    }

    void returnFromCopy(FakeStoreWatches watches)
    {
        m_content = m_copy;
        ++m_era;
        if (watches == FakeStoreWatches::Silent) {
            m_watches.clear();
        }
        closeWatches();
    }

    HttpServer m_server;
    FakeStoreFaults m_faults;
    StoreContent m_content;
    StoreContent m_copy;
    std::uint64_t m_era = 1;
    std::vector<PendingWatch> m_watches;
    std::uint64_t m_frozenRevision = 0;
    std::map<std::string, std::map<std::string, QJsonObject>> m_frozenObjects;
    int m_callCount = 0;
    std::map<std::string, int> m_callCounts; ///< By kind.
    std::map<std::string, int> m_listCounts; ///< By kind.
};

FakeStore::FakeStore(QObject *parent)
    : QObject(parent)
    , d(std::make_unique<Private>())
{
}

FakeStore::~FakeStore() = default;

Endpoint FakeStore::endpoint() const
{
    return {.address = "127.0.0.1", .port = d->m_server.port()};
}

void FakeStore::setFaults(const FakeStoreFaults &faults)
{
    if (!d->m_faults.isStaleReadFrozen) {
        d->m_frozenRevision = d->m_content.revision;
        d->m_frozenObjects = d->m_content.objects;
    }
    d->m_faults = faults;
}

void FakeStore::put(const std::string &kind, const std::string &name, const QJsonObject &spec)
{
    d->put(kind, name, spec);
}

void FakeStore::remove(const std::string &kind, const std::string &name)
{
    d->remove(kind, name);
}

bool FakeStore::has(const std::string &kind, const std::string &name) const
{
    const auto objects = d->m_content.objects.find(kind);
    return objects != d->m_content.objects.end() && objects->second.contains(name);
}

void FakeStore::takeCopy()
{
    d->m_copy = d->m_content;
}

void FakeStore::returnFromCopy(FakeStoreWatches watches)
{
    d->returnFromCopy(watches);
}

std::uint64_t FakeStore::revision() const
{
    return d->m_content.revision;
}

void FakeStore::dropWatchesAndHistory()
{
    d->dropWatchesAndHistory();
}

void FakeStore::silenceWatches()
{
    d->m_watches.clear();
}

int FakeStore::callCount() const
{
    return d->m_callCount;
}

int FakeStore::callCountOf(const std::string &kind) const
{
    const auto found = d->m_callCounts.find(kind);
    return found == d->m_callCounts.end() ? 0 : found->second;
}

int FakeStore::listCountOf(const std::string &kind) const
{
    const auto found = d->m_listCounts.find(kind);
    return found == d->m_listCounts.end() ? 0 : found->second;
}

}
