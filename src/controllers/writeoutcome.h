#pragma once

#include "core/enumnames.h"

#include <cstdint>

/** Results of conditional writes to the platform. */
namespace Plantainweir {

enum class WriteOutcome {
    Accepted,
    Conflict, ///< The object has another version; the write did not take effect.
    Refused, ///< The platform rejected the request; the write did not take effect.
    NotSent, ///< No request was sent to the platform; the write did not take effect.
    AnswerLost, ///< No response was received; the write may have taken effect, or may still do so.
};

constexpr std::array<EnumName<WriteOutcome>, 5> enumNames(WriteOutcome)
{
    return {{
        {WriteOutcome::Accepted, "accepted"},
        {WriteOutcome::Conflict, "conflict"},
        {WriteOutcome::Refused, "refused"},
        {WriteOutcome::NotSent, "not_sent"},
        {WriteOutcome::AnswerLost, "answer_lost"},
    }};
}
static_assert(isEnumTableOrdered<WriteOutcome>());

struct WriteResult {
    WriteOutcome outcome = WriteOutcome::NotSent;
    std::uint64_t version = 0; ///< Version of the object after an accepted write.
};

}
