#pragma once

#include "core/enumnames.h"
#include "core/time.h"
#include "decision/latencyestimate.h"
#include "decision/upstreampool.h"

#include <array>
#include <optional>

/**
 * Tells whether an upstream will never answer an attempt, although it answers other requests.
 *
 * Answers upstreams that drop what they cannot queue without a word, and all that follows on that connection. Slow work must not be taken
 * for silence: an attempt is judged by its age relative to the service's latency and by what the upstream answered meanwhile.
 */
namespace Plantainweir {

/** Why an attempt counts as silent. */
enum class Silence {
    None,
    Uncounted, ///< The upstream reported no call at all, long after it had received the attempt.
    PassedOver, ///< It was not known to have room, and answered a later request although the attempt takes far longer than usual.
};

constexpr std::array<EnumName<Silence>, 3> enumNames(Silence)
{
    return {{
        {Silence::None, "none"},
        {Silence::Uncounted, "uncounted"},
        {Silence::PassedOver, "passed_over"},
    }};
}
static_assert(isEnumTableOrdered<Silence>());

/** An attempt whose answer is awaited. */
struct AwaitedAnswer {
    TimePoint sentAt;
    bool hadRoom = false; ///< Whether the upstream had just reported a free slot when the attempt was sent.
    bool isPassedOver = false; ///< Whether the upstream answered a request that was sent later.
    TimePoint uncountedAt; ///< When the upstream first reported no call although it should have this one. The epoch if it has not.
};

/** A request that was answered by the upstream of an awaited answer. */
struct AnsweredRequest {
    TimePoint sentAt;
    std::optional<UpstreamLoad> load; ///< As reported in the answer.
};

/** Records what the answer to another request at the same upstream tells about @p awaited. */
void recordOtherAnswer(AwaitedAnswer &awaited, const AnsweredRequest &answered, TimePoint now);

/**
 * Returns why the attempt counts as silent at the time @p now.
 *
 * @param latency of the answered attempts of the service; without quantiles, no attempt is silent.
 * @param factor on the 95th percentile of @p latency, from which an attempt takes far longer than usual; zero for never.
 */
Silence silenceOf(const AwaitedAnswer &awaited, const LatencyEstimate &latency, double factor, TimePoint now);

/** Returns when the upstream of an attempt should first be asked whether it answers others; nothing if it should not. */
std::optional<TimePoint> firstSilenceCheck(const LatencyEstimate &latency, double factor, TimePoint sentAt);

/** Returns when to judge the attempt again. */
TimePoint nextSilenceCheck(const AwaitedAnswer &awaited, TimePoint now);

}
