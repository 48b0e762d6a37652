#include "decision/silence.h"

#include <algorithm>

namespace Plantainweir {
namespace {

/** An attempt is not judged earlier. */
constexpr std::chrono::milliseconds MinimumAge{200};
/** Time in which a request arrives in any case, also if its first packet is lost. */
constexpr std::chrono::milliseconds ArrivalTime{200};
/** Time in which an answer arrives that the upstream sent before it reported no call. */
constexpr std::chrono::milliseconds AnswerTime{100};
/** Until an attempt is judged again, its age grows by this part. */
constexpr int AgeDivisor = 2;

Duration longAge(const LatencyEstimate &latency, double factor)
{
    const Duration usual{static_cast<std::int64_t>(factor * static_cast<double>(latency.quantiles.p95.count()))};
    return std::max<Duration>(MinimumAge, usual);
}

}

void recordOtherAnswer(AwaitedAnswer &awaited, const AnsweredRequest &answered, TimePoint now)
{
    if (answered.sentAt <= awaited.sentAt) {
        return;
    }
    awaited.isPassedOver = true;
    const bool hadArrived = answered.sentAt >= awaited.sentAt + ArrivalTime;
    if (!answered.load || !hadArrived) {
        return;
    }
    const bool isUncounted = answered.load->running + answered.load->waiting == 0;
    if (!isUncounted) {
        awaited.uncountedAt = {};
    } else if (awaited.uncountedAt == TimePoint{}) {
        awaited.uncountedAt = now;
    }
}

Silence silenceOf(const AwaitedAnswer &awaited, const LatencyEstimate &latency, double factor, TimePoint now)
{
    const Duration age = now - awaited.sentAt;
    if (factor <= 0.0 || !hasQuantiles(latency) || !awaited.isPassedOver || age < longAge(latency, factor)) {
        return Silence::None;
    }
    if (awaited.uncountedAt != TimePoint{} && now >= awaited.uncountedAt + AnswerTime) {
        return Silence::Uncounted;
    }
    // An upstream that had room has queued the attempt: its work may just be long.
    return awaited.hadRoom ? Silence::None : Silence::PassedOver;
}

std::optional<TimePoint> firstSilenceCheck(const LatencyEstimate &latency, double factor, TimePoint sentAt)
{
    if (factor <= 0.0 || !hasQuantiles(latency)) {
        return std::nullopt;
    }
    return sentAt + longAge(latency, factor);
}

TimePoint nextSilenceCheck(const AwaitedAnswer &awaited, TimePoint now)
{
    const bool isReportPending = awaited.uncountedAt != TimePoint{} && awaited.uncountedAt + AnswerTime > now;
    return isReportPending ? awaited.uncountedAt + AnswerTime : now + (now - awaited.sentAt) / AgeDivisor;
}

}
