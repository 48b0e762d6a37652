#include "fakes/fakeupstreamadmin.h"

#include "fakes/fakeupstream.h"
#include "http/httpserver.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <vector>

namespace Plantainweir {
namespace {

constexpr std::string_view UpstreamPrefix = "/fake/upstreams/";

HttpResponse jsonResponse(int status, const QJsonDocument &document)
{
    return {.status = status, .fields = {{"Content-Type", "application/json"}}, .body = document.toJson(QJsonDocument::Compact).toStdString() + "\n"};
}

HttpResponse errorResponse(int status, const char *message)
{
    return jsonResponse(status, QJsonDocument(QJsonObject{{"error", message}}));
}

/** Returns whether @p change has at least one field, and only known fields with valid values. */
bool isValidChange(const QJsonObject &change)
{
    for (const QString &key : change.keys()) {
        const QJsonValue value = change[key];
        const bool isFault = key == QLatin1String("fault") && valueNamed<FakeFault>(value.toString().toStdString());
        const bool isDraining = key == QLatin1String("draining") && value.isBool();
        const bool isSlowFactor = key == QLatin1String("slowFactor") && value.toDouble() > 0;
        if (!isFault && !isDraining && !isSlowFactor) {
            return false;
        }
    }
    return !change.isEmpty();
}

void apply(FakeUpstream &upstream, const QJsonObject &change)
{
    if (change.contains(QLatin1String("slowFactor"))) {
        upstream.setSlowFactor(change["slowFactor"].toDouble());
    }
    if (change.contains(QLatin1String("draining"))) {
        upstream.setDraining(change["draining"].toBool());
    }
    if (const auto fault = valueNamed<FakeFault>(change["fault"].toString().toStdString())) {
        upstream.setFault(*fault);
    }
}

}

class FakeUpstreamAdmin::Private
{
public:
    HttpResponse answer(const HttpRequest &request)
    {
        if (request.method == "GET" && request.target == "/fake/upstreams") {
            return jsonResponse(200, QJsonDocument(upstreams()));
        }
        if (request.method == "GET" && request.target == "/fake/executions") {
            return jsonResponse(200, QJsonDocument(executions()));
        }
        if (request.method == "POST" && request.target.rfind(UpstreamPrefix, 0) == 0) {
            return change(request.target.substr(UpstreamPrefix.size()), request.body);
        }
        return errorResponse(404, "known paths: GET /fake/upstreams, GET /fake/executions, POST /fake/upstreams/NAME");
    }

    QJsonArray upstreams() const
    {
        QJsonArray list;
        for (const FakeUpstream *upstream : m_upstreams) {
            list.append(upstream->toJson());
        }
        return list;
    }

    QJsonObject executions() const
    {
        std::unordered_map<std::string, FakeExecutions> sums;
        for (const FakeUpstream *upstream : m_upstreams) {
            for (const auto &[key, executions] : upstream->state().executions) {
                FakeExecutions &sum = sums[key];
                sum.workKind = executions.workKind;
                sum.started += executions.started;
                sum.completed += executions.completed;
            }
        }
        QJsonObject object;
        for (const auto &[key, sum] : sums) {
            object.insert(QString::fromStdString(key),
                          QJsonObject{{"workKind", QString::fromStdString(sum.workKind)},
                                      {"started", static_cast<qint64>(sum.started)},
                                      {"completed", static_cast<qint64>(sum.completed)}});
        }
        return object;
    }

    HttpResponse change(const std::string &name, const std::string &body)
    {
        const QJsonObject requested = QJsonDocument::fromJson(QByteArray::fromStdString(body)).object();
        if (!isValidChange(requested)) {
            return errorResponse(400, "the body may have only the fields fault, draining and slowFactor, with valid values");
        }
        bool isFound = false;
        for (FakeUpstream *upstream : m_upstreams) {
            if (name == "*" || upstream->state().settings.name == name) {
                apply(*upstream, requested);
                isFound = true;
            }
        }
        return isFound ? jsonResponse(200, QJsonDocument(requested)) : errorResponse(404, "no upstream has this name");
    }

    HttpServer m_server{HttpLimits{}};
    std::vector<FakeUpstream *> m_upstreams;
};

FakeUpstreamAdmin::FakeUpstreamAdmin(QObject *parent)
    : QObject(parent)
    , d(std::make_unique<Private>())
{
    connect(&d->m_server, &HttpServer::requestReceived, this, [this](HttpExchangeId exchange, const HttpRequest &request) {
        d->m_server.respond(exchange, d->answer(request));
    });
}

FakeUpstreamAdmin::~FakeUpstreamAdmin() = default;

void FakeUpstreamAdmin::add(FakeUpstream *upstream)
{
    d->m_upstreams.push_back(upstream);
}

bool FakeUpstreamAdmin::listen(const Endpoint &endpoint)
{
    return d->m_server.listen(endpoint);
}

quint16 FakeUpstreamAdmin::port() const
{
    return d->m_server.port();
}

}
