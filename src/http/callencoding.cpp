#include "http/callencoding.h"

#include "core/parsenumber.h"
#include "http/headers.h"

#include <fmt/core.h>

#include <algorithm>

namespace Plantainweir {
namespace {

constexpr std::string_view CallPrefix = "/call/";
constexpr std::string_view DirectoryPrefix = "/directory/";
constexpr std::int64_t MaximumTimeoutMs = 3'600'000;
constexpr int UnknownStatus = 504;

bool isCallField(const HttpField &field)
{
    constexpr std::array Names{Headers::WorkKind, Headers::TimeoutMs, Headers::IdempotencyKey, Headers::KeyOwner, Headers::Caller};
    return std::any_of(Names.begin(), Names.end(), [&field](const char *name) {
        return isSameFieldName(field.name, name);
    });
}

CallerTarget splitService(CallerResource resource, std::string_view text)
{
    const auto end = std::min(text.find_first_of("/?"), text.size());
    const std::string_view rest = text.substr(end);
    const std::string slash = rest.empty() || rest.front() != '/' ? "/" : "";
    return {.resource = resource, .service = std::string(text.substr(0, end)), .rest = slash + std::string(rest)};
}

std::int64_t remainingMilliseconds(TimePoint until, TimePoint now)
{
    return std::max<std::int64_t>(0, std::chrono::ceil<std::chrono::milliseconds>(until - now).count());
}

HttpResponse encodeError(int status, CallOutcome outcome, std::string_view reason)
{
    return {
        .status = status,
        .fields = {{"Content-Type", "application/json"}, {Headers::Outcome, std::string(nameOf(outcome))}, {Headers::Reason, std::string(reason)}},
        .body = fmt::format("{{\"outcome\":\"{}\",\"reason\":\"{}\"}}\n", nameOf(outcome), reason),
    };
}

HttpResponse encodeRefusal(const CallReply &reply, TimePoint now)
{
    HttpResponse response = encodeError(statusCodeOf(reply.refusal), CallOutcome::NotRun, nameOf(reply.refusal));
    const std::int64_t retryAfter = remainingMilliseconds(reply.retryAt, now);
    response.fields.push_back({.name = Headers::RetryAfterMs, .value = std::to_string(retryAfter)});
    response.fields.push_back({.name = "Retry-After", .value = std::to_string((retryAfter + 999) / 1000)});
    if (!reply.keyOwner.empty()) {
        response.fields.push_back({.name = Headers::KeyOwner, .value = reply.keyOwner});
    }
    return response;
}

HttpResponse encodeAnswer(const ResponseMessage &answer)
{
    HttpResponse response = answer;
    const auto isOutcomeField = [](const HttpField &field) {
        return isSameFieldName(field.name, Headers::Outcome) || isSameFieldName(field.name, Headers::Reason);
    };
    response.fields.erase(std::remove_if(response.fields.begin(), response.fields.end(), isOutcomeField), response.fields.end());
    response.fields.push_back({.name = Headers::Outcome, .value = std::string(nameOf(CallOutcome::Answered))});
    return response;
}

}

CallerTarget parseCallerTarget(const std::string &target)
{
    const std::string_view text = target;
    if (text.substr(0, CallPrefix.size()) == CallPrefix) {
        return splitService(CallerResource::Call, text.substr(CallPrefix.size()));
    }
    if (text.substr(0, DirectoryPrefix.size()) == DirectoryPrefix) {
        return splitService(CallerResource::Directory, text.substr(DirectoryPrefix.size()));
    }
    return {};
}

std::optional<CallRequest> decodeCall(const HttpRequest &request, const CallerTarget &target, TimePoint now)
{
    CallRequest call;
    call.service = target.service;
    call.workKind = fieldValue(request.fields, Headers::WorkKind);
    call.idempotencyKey = fieldValue(request.fields, Headers::IdempotencyKey);
    call.keyOwner = fieldValue(request.fields, Headers::KeyOwner);
    call.caller = fieldValue(request.fields, Headers::Caller);
    const std::string_view timeout = fieldValue(request.fields, Headers::TimeoutMs);
    if (timeout.empty()) {
        return call;
    }
    const auto milliseconds = parseNumber<std::int64_t>(timeout);
    if (!milliseconds || *milliseconds < 0 || *milliseconds > MaximumTimeoutMs) {
        return std::nullopt;
    }
    call.deadline = now + std::chrono::milliseconds(*milliseconds);
    return call;
}

HttpRequest makeUpstreamRequest(HttpRequest request, const CallerTarget &target)
{
    request.target = target.rest;
    request.fields.erase(std::remove_if(request.fields.begin(), request.fields.end(), isCallField), request.fields.end());
    return request;
}

HttpResponse encodeReply(const CallReply &reply, TimePoint now)
{
    switch (reply.outcome) {
    case CallOutcome::Answered:
        return encodeAnswer(*reply.answer);
    case CallOutcome::NotRun:
        return encodeRefusal(reply, now);
    case CallOutcome::Unknown:
        break;
    }
    return encodeError(UnknownStatus, CallOutcome::Unknown, nameOf(reply.unknown));
}

int statusCodeOf(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::MalformedRequest:
    case RefusalReason::KeyMissing:
    case RefusalReason::KeyInvalid:
        return 400;
    case RefusalReason::UnknownService:
    case RefusalReason::UnknownWorkKind:
        return 404;
    case RefusalReason::KeyOwnerRequired:
        return 428;
    default:
        return 503;
    }
}

}
