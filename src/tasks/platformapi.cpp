#include "tasks/platformapi.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QUrl>

#include <fmt/format.h>

namespace Plantainweir {
namespace {

constexpr int StatusOk = 200;
constexpr int StatusCreated = 201;
constexpr int StatusGone = 410;
constexpr int StatusPreconditionFailed = 412;
constexpr int FirstClientError = 400;
constexpr int FirstServerError = 500;

std::string percentEncoded(const std::string &text, const QByteArray &kept = {})
{
    return QUrl::toPercentEncoding(QString::fromStdString(text), kept).toStdString();
}

HttpRequest makeGet(std::string target)
{
    return {.method = "GET", .target = std::move(target), .fields = {}, .body = {}};
}

Result<QJsonObject> decodeBody(const HttpRequestResult &result)
{
    if (result.outcome != HttpRequestOutcome::Answered) {
        return failure(fmt::format("the platform did not answer: {}", nameOf(result.outcome)));
    }
    if (result.response.status != StatusOk && result.response.status != StatusCreated) {
        return failure(fmt::format("the platform answered with status {}", result.response.status));
    }
    const QJsonDocument document = QJsonDocument::fromJson(QByteArray::fromStdString(result.response.body));
    if (!document.isObject()) {
        return failure("the platform's answer is no JSON object");
    }
    return document.object();
}

std::uint64_t integerMember(const QJsonObject &object, const char *member)
{
    return static_cast<std::uint64_t>(std::max<qint64>(0, object.value(QLatin1String(member)).toInteger()));
}

std::string textMember(const QJsonObject &object, const char *member)
{
    return object.value(QLatin1String(member)).toString().toStdString();
}

}

HttpRequest listRequest(const std::string &prefix)
{
    return makeGet("/objects?prefix=" + percentEncoded(prefix, "/"));
}

HttpRequest watchRequest(const std::string &prefix, std::uint64_t revision, std::chrono::milliseconds wait)
{
    return makeGet(fmt::format("/objects?prefix={}&since={}&waitMs={}", percentEncoded(prefix, "/"), revision, wait.count()));
}

HttpRequest writeRequest(const std::string &name, const std::string &value, std::uint64_t base)
{
    const HttpField condition = base == 0 ? HttpField{"If-None-Match", "*"} : HttpField{"If-Match", fmt::format("\"{}\"", base)};
    return {.method = "PUT", .target = "/objects/" + percentEncoded(name, "/"), .fields = {condition, {"Content-Type", "application/json"}}, .body = value};
}

HttpRequest virtualMachineListRequest()
{
    return makeGet("/vms");
}

bool isPlatformAnswer(const HttpRequestResult &result)
{
    return result.outcome == HttpRequestOutcome::Answered && result.response.status < FirstServerError;
}

bool isRevisionGone(const HttpRequestResult &result)
{
    return result.outcome == HttpRequestOutcome::Answered && result.response.status == StatusGone;
}

Result<PlatformObjects> decodeObjects(const HttpRequestResult &result)
{
    BOOST_LEAF_AUTO(body, decodeBody(result));
    PlatformObjects objects;
    objects.revision = integerMember(body, "revision");
    for (const QJsonValue value : body.value("objects").toArray()) {
        const QJsonObject object = value.toObject();
        objects.objects.push_back({.name = textMember(object, "name"),
                                   .version = integerMember(object, "version"),
                                   .value = QJsonDocument(object.value("value").toObject()).toJson(QJsonDocument::Compact).toStdString()});
    }
    return objects;
}

Result<std::vector<VirtualMachine>> decodeVirtualMachines(const HttpRequestResult &result)
{
    BOOST_LEAF_AUTO(body, decodeBody(result));
    std::vector<VirtualMachine> machines;
    for (const QJsonValue value : body.value("vms").toArray()) {
        const QJsonObject object = value.toObject();
        const auto state = valueNamed<VirtualMachineState>(textMember(object, "state"));
        if (!state) {
            return failure(fmt::format("state of VM {} is \"{}\"; allowed: live, leaving", textMember(object, "address"), textMember(object, "state")));
        }
        machines.push_back({.address = textMember(object, "address"), .availabilityZone = textMember(object, "availabilityZone"), .state = *state});
    }
    return machines;
}

WriteResult decodeWriteResult(const HttpRequestResult &result)
{
    if (result.outcome == HttpRequestOutcome::NotSent) {
        return {.outcome = WriteOutcome::NotSent, .version = 0};
    }
    if (!isPlatformAnswer(result)) {
        return {.outcome = WriteOutcome::AnswerLost, .version = 0};
    }
    if (result.response.status == StatusPreconditionFailed) {
        return {.outcome = WriteOutcome::Conflict, .version = 0};
    }
    if (result.response.status >= FirstClientError) {
        return {.outcome = WriteOutcome::Refused, .version = 0};
    }
    const QJsonDocument document = QJsonDocument::fromJson(QByteArray::fromStdString(result.response.body));
    const std::uint64_t version = integerMember(document.object(), "version");
    if (version == 0) {
        return {.outcome = WriteOutcome::AnswerLost, .version = 0};
    }
    return {.outcome = WriteOutcome::Accepted, .version = version};
}

}
