#include "operators/statustask.h"

#include "configuration/configurationjson.h"
#include "core/parsenumber.h"
#include "http/httpclient.h"
#include "tasks/platformtask.h"

#include <QJsonDocument>
#include <QJsonObject>

#include <fmt/format.h>

namespace Plantainweir {
namespace {

constexpr HttpLimits StatusLimits{.headerBytes = 16 * 1024, .bodyBytes = 16 * 1024 * 1024, .connections = 1000};
constexpr int StatusOk = 200;

std::uint64_t versionOf(const QJsonValue &value)
{
    return parseNumber<std::uint64_t>(value.toString().toStdString()).value_or(0);
}

}

std::optional<WriteReference> parseWriteReference(const std::string &text)
{
    const std::size_t at = text.find('@');
    const std::size_t hash = text.find('#');
    if (at == std::string::npos || hash == std::string::npos || at == 0 || hash < at || hash + 1 == text.size()) {
        return std::nullopt;
    }
    const auto base = parseNumber<std::uint64_t>(std::string_view(text).substr(at + 1, hash - at - 1));
    if (!base) {
        return std::nullopt;
    }
    return WriteReference{.object = text.substr(0, at), .write = {.base = *base, .id = text.substr(hash + 1)}};
}

std::string toString(const WriteReference &reference)
{
    return fmt::format("{}@{}#{}", reference.object, reference.write.base, reference.write.id);
}

Result<std::map<std::string, std::uint64_t>> decodeVersions(const std::string &text)
{
    const QJsonDocument document = QJsonDocument::fromJson(QByteArray::fromStdString(text));
    const QJsonValue member = document.object().value("versions");
    if (!member.isObject()) {
        return failure("its status has no versions");
    }
    std::map<std::string, std::uint64_t> versions;
    versions[std::string(RulesObjectName)] = versionOf(member.toObject().value("rules"));
    const QJsonObject services = member.toObject().value("services").toObject();
    for (auto service = services.begin(); service != services.end(); ++service) {
        versions[serviceObjectName(service.key().toStdString())] = versionOf(service.value());
    }
    return versions;
}

class StatusTask::Private : public QObject
{
public:
    Private(StatusTask *task, PlatformTask &platform, std::vector<Endpoint> daemons, std::optional<WriteReference> write, TimePoint deadline)
        : q(task)
        , m_platform(platform)
        , m_write(std::move(write))
        , m_deadline(deadline)
        , m_client(StatusLimits)
    {
        for (Endpoint &endpoint : daemons) {
            m_report.daemons.push_back({.endpoint = std::move(endpoint), .error = {}, .versions = {}});
        }
        connect(&m_platform, &PlatformTask::listed, this, &Private::handleListed);
        connect(&m_client, &HttpClient::finished, this, &Private::handleFinished);
    }

    void start()
    {
        m_listCall = m_platform.list(std::string(ObjectPrefix), m_deadline);
        for (std::size_t index = 0; index < m_report.daemons.size(); ++index) {
            const HttpRequest request{.method = "GET", .target = "/status", .fields = {}, .body = {}};
            m_pendingRequests.emplace(m_client.send(m_report.daemons[index].endpoint, request, m_deadline), index);
        }
    }

    void handleListed(PlatformCallId call, const std::optional<PlatformObjects> &objects)
    {
        if (call != m_listCall) {
            return;
        }
        m_listCall = 0;
        if (objects) {
            m_report.stored = decodeStoredConfiguration(*objects);
            resolveRequestedWrite();
        } else if (Clock::now() < m_deadline) {
            m_listCall = m_platform.list(std::string(ObjectPrefix), m_deadline);
        }
        finishIfComplete();
    }

    void resolveRequestedWrite()
    {
        if (!m_write) {
            return;
        }
        const auto found = m_report.stored->objects.find(m_write->object);
        const bool isStored = found != m_report.stored->objects.end();
        const ObservedObject observed = isStored ? ObservedObject{.version = found->second.version, .writes = found->second.writes} : ObservedObject{};
        m_report.writeResolution = resolveWrite(m_write->write, observed);
    }

    void handleFinished(HttpRequestId id, const HttpRequestResult &result)
    {
        const auto request = m_pendingRequests.find(id);
        DaemonStatus &daemon = m_report.daemons.at(request->second);
        m_pendingRequests.erase(request);
        if (result.outcome != HttpRequestOutcome::Answered || result.response.status != StatusOk) {
            daemon.error = fmt::format("no status: {}", nameOf(result.outcome));
        } else {
            daemon.versions = valueOr(
                [&result] {
                    return decodeVersions(result.response.body);
                },
                [&daemon](const Error &error) {
                    daemon.error = error.message;
                    return std::map<std::string, std::uint64_t>();
                });
        }
        finishIfComplete();
    }

    void finishIfComplete()
    {
        if (m_listCall == 0 && m_pendingRequests.empty()) {
            Q_EMIT q->finished(m_report);
        }
    }

    StatusTask *q;
    PlatformTask &m_platform;
    std::optional<WriteReference> m_write;
    TimePoint m_deadline;
    HttpClient m_client;
    StatusReport m_report;
    PlatformCallId m_listCall = 0; ///< Zero if no list is in progress.
    std::map<HttpRequestId, std::size_t> m_pendingRequests; ///< Index of the daemon that a request is for.
};

StatusTask::StatusTask(PlatformTask &platform, std::vector<Endpoint> daemons, std::optional<WriteReference> write, TimePoint deadline, QObject *parent)
    : QObject(parent)
    , d(std::make_unique<Private>(this, platform, std::move(daemons), std::move(write), deadline))
{
}

StatusTask::~StatusTask() = default;

void StatusTask::start()
{
    d->start();
}

}
