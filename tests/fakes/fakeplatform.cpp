#include "fakes/fakeplatform.h"

#include "core/parsenumber.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QTimer>
#include <QUrl>
#include <QUrlQuery>

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace Plantainweir {
namespace {

constexpr HttpLimits FakePlatformLimits{.headerBytes = 16 * 1024, .bodyBytes = 1024 * 1024, .connections = 10'000};
constexpr std::uint64_t MaximumWatchWaitMs = 60'000;

struct StoredObject {
    std::uint64_t version = 0;
    QJsonObject value;
};

/** A watch that waits for a change of an object under its prefix. */
struct PendingWatch {
    std::string prefix;
    std::uint64_t since = 0;
};

QString toQString(std::string_view text)
{
    return QString::fromUtf8(text.data(), static_cast<qsizetype>(text.size()));
}

HttpResponse jsonResponse(int status, const QJsonObject &body)
{
    return {.status = status, .fields = {{"Content-Type", "application/json"}}, .body = QJsonDocument(body).toJson(QJsonDocument::Compact).toStdString()};
}

HttpResponse errorResponse(int status, const QString &message)
{
    return jsonResponse(status, {{"error", message}});
}

QJsonObject encodeObject(const std::string &name, const StoredObject &object)
{
    return {{"name", toQString(name)}, {"version", static_cast<qint64>(object.version)}, {"value", object.value}};
}

std::uint64_t numberParameter(const QUrlQuery &query, const QString &key)
{
    return parseNumber<std::uint64_t>(query.queryItemValue(key).toStdString()).value_or(0);
}

}

class FakePlatform::Private : public QObject
{
public:
    Private()
        : m_server(FakePlatformLimits)
    {
        connect(&m_server, &HttpServer::requestReceived, this, &Private::handle);
        connect(&m_server, &HttpServer::clientDisconnected, this, [this](HttpExchangeId exchange) {
            m_watches.erase(exchange);
        });
    }

    ~Private() override
    {
        // m_server is destroyed after m_watches and must not report the connections that it closes then.
        m_server.disconnect(this);
    }

    void handle(HttpExchangeId exchange, const HttpRequest &request)
    {
        const QUrl url(toQString(request.target));
        const std::string path = url.path().toStdString();
        if (path.starts_with("/admin/")) {
            m_server.respond(exchange, handleAdmin(path, request));
            return;
        }
        if (m_faults.mode == FakePlatformMode::Down) {
            m_server.abortExchange(exchange);
            return;
        }
        if (path.starts_with("/objects/") && request.method == "PUT") {
            handleWrite(exchange, path.substr(std::string("/objects/").size()), request);
            return;
        }
        if (path == "/objects" && QUrlQuery(url).hasQueryItem("since")) {
            handleWatch(exchange, QUrlQuery(url));
            return;
        }
        const HttpResponse response = read(path, QUrlQuery(url));
        if (path == "/objects" && m_faults.listsToGather > 0) {
            holdList(exchange, response);
            return;
        }
        answer(exchange, response);
    }

    void holdList(HttpExchangeId exchange, const HttpResponse &response)
    {
        m_heldLists.emplace_back(exchange, response);
        if (m_heldLists.size() < static_cast<std::size_t>(m_faults.listsToGather)) {
            return;
        }
        m_faults.listsToGather = 0;
        for (const auto &[heldExchange, heldResponse] : std::exchange(m_heldLists, {})) {
            answer(heldExchange, heldResponse);
        }
    }

    void answer(HttpExchangeId exchange, const HttpResponse &response)
    {
        if (m_faults.mode != FakePlatformMode::Slow) {
            m_server.respond(exchange, response);
            return;
        }
        QTimer::singleShot(m_faults.delayMs, this, [this, exchange, response] {
            m_server.respond(exchange, response);
        });
    }

    HttpResponse read(const std::string &path, const QUrlQuery &query)
    {
        if (path == "/objects") {
            ++m_counts.lists;
            return objectsSince(query.queryItemValue("prefix").toStdString(), 0);
        }
        if (path == "/vms") {
            ++m_counts.virtualMachineLists;
            return virtualMachines();
        }
        ++m_counts.reads;
        const auto object = path.starts_with("/objects/") ? m_objects.find(path.substr(std::string("/objects/").size())) : m_objects.end();
        if (object == m_objects.end()) {
            return errorResponse(404, "no such object");
        }
        HttpResponse response = jsonResponse(200, encodeObject(object->first, object->second));
        response.fields.push_back({"ETag", fmt::format("\"{}\"", object->second.version)});
        return response;
    }

    HttpResponse objectsSince(const std::string &prefix, std::uint64_t since) const
    {
        QJsonArray objects;
        for (const auto &[name, object] : m_objects) {
            if (name.starts_with(prefix) && object.version > since) {
                objects.append(encodeObject(name, object));
            }
        }
        return jsonResponse(200, {{"revision", static_cast<qint64>(m_revision)}, {"objects", objects}});
    }

    HttpResponse virtualMachines() const
    {
        QJsonArray list;
        for (const VirtualMachine &each : m_virtualMachines) {
            list.append(QJsonObject{
                {"address", toQString(each.address)}, {"availabilityZone", toQString(each.availabilityZone)}, {"state", toQString(nameOf(each.state))}});
        }
        return jsonResponse(200, {{"vms", list}});
    }

    void handleWatch(HttpExchangeId exchange, const QUrlQuery &query)
    {
        ++m_counts.watches;
        const PendingWatch watch{.prefix = query.queryItemValue("prefix").toStdString(), .since = numberParameter(query, "since")};
        if (watch.since > m_revision) {
            answer(exchange, errorResponse(410, "the revision is newer than the latest one"));
            return;
        }
        if (hasChanges(watch)) {
            answer(exchange, objectsSince(watch.prefix, watch.since));
            return;
        }
        m_watches.emplace(exchange, watch);
        const auto waitMs = static_cast<int>(std::min(numberParameter(query, "waitMs"), MaximumWatchWaitMs));
        QTimer::singleShot(waitMs, this, [this, exchange] {
            answerWatch(exchange);
        });
    }

    bool hasChanges(const PendingWatch &watch) const
    {
        return std::any_of(m_objects.begin(), m_objects.end(), [&watch](const auto &entry) {
            return entry.first.starts_with(watch.prefix) && entry.second.version > watch.since;
        });
    }

    void answerWatch(HttpExchangeId exchange)
    {
        const auto entry = m_watches.find(exchange);
        if (entry == m_watches.end()) {
            return;
        }
        const PendingWatch watch = entry->second;
        m_watches.erase(entry);
        if (m_faults.mode == FakePlatformMode::Down) {
            m_server.abortExchange(exchange);
            return;
        }
        answer(exchange, objectsSince(watch.prefix, watch.since));
    }

    void answerChangedWatches()
    {
        std::vector<HttpExchangeId> due;
        for (const auto &[exchange, watch] : m_watches) {
            if (hasChanges(watch)) {
                due.push_back(exchange);
            }
        }
        for (const HttpExchangeId exchange : due) {
            answerWatch(exchange);
        }
    }

    void handleWrite(HttpExchangeId exchange, const std::string &name, const HttpRequest &request)
    {
        ++m_counts.writes;
        if (m_faults.loseWrites > 0) {
            --m_faults.loseWrites;
            m_server.abortExchange(exchange);
            return;
        }
        const HttpResponse response = write(name, request);
        if (response.status < 300 && m_faults.loseWriteAnswers > 0) {
            --m_faults.loseWriteAnswers;
            m_faults.mode = m_faults.isDownAfterLostAnswer ? FakePlatformMode::Down : m_faults.mode;
            m_server.abortExchange(exchange);
            return;
        }
        answer(exchange, response);
    }

    HttpResponse write(const std::string &name, const HttpRequest &request)
    {
        const std::string match(fieldValue(request.fields, "If-Match"));
        const bool mustBeNew = fieldValue(request.fields, "If-None-Match") == "*";
        if (match.empty() && !mustBeNew) {
            return errorResponse(428, "If-Match or If-None-Match: * is required");
        }
        const auto current = m_objects.find(name);
        const std::uint64_t currentVersion = current == m_objects.end() ? 0 : current->second.version;
        const bool isConditionMet = mustBeNew ? currentVersion == 0 : currentVersion != 0 && match == fmt::format("\"{}\"", currentVersion);
        if (!isConditionMet) {
            return errorResponse(412, "the object has another version");
        }
        const QJsonDocument value = QJsonDocument::fromJson(QByteArray::fromStdString(request.body));
        if (!value.isObject()) {
            return errorResponse(400, "the value is not a JSON object");
        }
        const std::uint64_t version = store(name, value.object());
        return jsonResponse(currentVersion == 0 ? 201 : 200, {{"name", toQString(name)}, {"version", static_cast<qint64>(version)}});
    }

    std::uint64_t store(const std::string &name, const QJsonObject &value)
    {
        m_objects[name] = {.version = ++m_revision, .value = value};
        answerChangedWatches();
        return m_revision;
    }

    HttpResponse handleAdmin(const std::string &path, const HttpRequest &request)
    {
        const QJsonDocument body = QJsonDocument::fromJson(QByteArray::fromStdString(request.body));
        if (path == "/admin/counts") {
            return countsResponse();
        }
        if (path == "/admin/faults" && request.method == "PUT") {
            return setFaults(body.object());
        }
        if (path == "/admin/vms" && request.method == "PUT") {
            return setVirtualMachines(body.object().value("vms").toArray());
        }
        return errorResponse(404, "no such path");
    }

    void setFaults(const FakePlatformFaults &faults)
    {
        m_faults = faults;
        if (m_faults.mode != FakePlatformMode::Down) {
            return;
        }
        for (const auto &[exchange, watch] : std::exchange(m_watches, {})) {
            m_server.abortExchange(exchange);
        }
    }

    HttpResponse countsResponse() const
    {
        return jsonResponse(200,
                            {{"lists", static_cast<qint64>(m_counts.lists)},
                             {"reads", static_cast<qint64>(m_counts.reads)},
                             {"writes", static_cast<qint64>(m_counts.writes)},
                             {"watches", static_cast<qint64>(m_counts.watches)},
                             {"virtualMachineLists", static_cast<qint64>(m_counts.virtualMachineLists)}});
    }

    HttpResponse setFaults(const QJsonObject &body)
    {
        const auto mode = valueNamed<FakePlatformMode>(body.value("mode").toString("up").toStdString());
        if (!mode) {
            return errorResponse(400, "mode must be up, slow or down");
        }
        setFaults({.mode = *mode,
                   .delayMs = body.value("delayMs").toInt(FakePlatformFaults{}.delayMs),
                   .loseWriteAnswers = body.value("loseWriteAnswers").toInt(),
                   .isDownAfterLostAnswer = body.value("isDownAfterLostAnswer").toBool(),
                   .listsToGather = body.value("listsToGather").toInt(),
                   .loseWrites = body.value("loseWrites").toInt()});
        return jsonResponse(200, {});
    }

    HttpResponse setVirtualMachines(const QJsonArray &list)
    {
        std::vector<VirtualMachine> machines;
        for (const QJsonValue value : list) {
            const QJsonObject object = value.toObject();
            const auto state = valueNamed<VirtualMachineState>(object.value("state").toString().toStdString());
            if (!state) {
                return errorResponse(400, "state must be live or leaving");
            }
            machines.push_back({.address = object.value("address").toString().toStdString(),
                                .availabilityZone = object.value("availabilityZone").toString().toStdString(),
                                .state = *state});
        }
        m_virtualMachines = std::move(machines);
        return jsonResponse(200, {});
    }

    HttpServer m_server;
    FakePlatformFaults m_faults;
    FakePlatformCounts m_counts;
    std::uint64_t m_revision = 0;
    std::map<std::string, StoredObject> m_objects;
    std::map<HttpExchangeId, PendingWatch> m_watches;
    std::vector<VirtualMachine> m_virtualMachines;
    std::vector<std::pair<HttpExchangeId, HttpResponse>> m_heldLists;
};

FakePlatform::FakePlatform(QObject *parent)
    : QObject(parent)
    , d(std::make_unique<Private>())
{
}

FakePlatform::~FakePlatform() = default;

bool FakePlatform::listen(const Endpoint &endpoint)
{
    return d->m_server.listen(endpoint);
}

quint16 FakePlatform::port() const
{
    return d->m_server.port();
}

void FakePlatform::setFaults(const FakePlatformFaults &faults)
{
    d->setFaults(faults);
}

void FakePlatform::setVirtualMachines(const std::vector<VirtualMachine> &virtualMachines)
{
    d->m_virtualMachines = virtualMachines;
}

std::uint64_t FakePlatform::put(const std::string &name, const std::string &value)
{
    return d->store(name, QJsonDocument::fromJson(QByteArray::fromStdString(value)).object());
}

std::uint64_t FakePlatform::version(const std::string &name) const
{
    const auto object = d->m_objects.find(name);
    return object == d->m_objects.end() ? 0 : object->second.version;
}

std::string FakePlatform::value(const std::string &name) const
{
    const auto object = d->m_objects.find(name);
    return object == d->m_objects.end() ? std::string() : QJsonDocument(object->second.value).toJson(QJsonDocument::Compact).toStdString();
}

FakePlatformCounts FakePlatform::counts() const
{
    return d->m_counts;
}

}
