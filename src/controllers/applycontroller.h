#pragma once

#include "configuration/writerecord.h"
#include "controllers/writeoutcome.h"
#include "core/enumnames.h"
#include "core/time.h"

#include <cstddef>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/**
 * Decides how an operator's change is written to the platform and what the operator is told about it.
 *
 * A pure step. Each object is written with the condition that it still has the version that the change was made for.
 * If the answer of a write is lost, the object is read back: it remembers its last writes, and at most one write takes
 * effect for each base version, so that a later object tells for certain. While the object still has the base version,
 * the same write is sent again, which is harmless for the same reason.
 */
namespace Plantainweir {

/** What is known of the change of one object. */
enum class ChangeState {
    Writing, ///< A write is under way.
    ReadingBack, ///< The answer of a write was lost; a read is under way.
    Accepted, ///< The change took effect.
    Rejected, ///< The change did not take effect and never will.
    NotKnown, ///< It may have taken effect, or still may.
};

constexpr std::array<EnumName<ChangeState>, 5> enumNames(ChangeState)
{
    return {{
        {ChangeState::Writing, "writing"},
        {ChangeState::ReadingBack, "reading_back"},
        {ChangeState::Accepted, "accepted"},
        {ChangeState::Rejected, "rejected"},
        {ChangeState::NotKnown, "not_known"},
    }};
}
static_assert(isEnumTableOrdered<ChangeState>());

/** Why a change was rejected. */
enum class RejectionReason {
    None,
    Conflict, ///< Another operator's change came first.
    Refused, ///< The platform rejects the request.
    NotSent, ///< The platform could not be reached, and nothing was sent.
};

constexpr std::array<EnumName<RejectionReason>, 4> enumNames(RejectionReason)
{
    return {{
        {RejectionReason::None, "none"},
        {RejectionReason::Conflict, "conflict"},
        {RejectionReason::Refused, "refused"},
        {RejectionReason::NotSent, "not_sent"},
    }};
}
static_assert(isEnumTableOrdered<RejectionReason>());

/** The change of one object. */
struct ObjectChange {
    std::string object; ///< The platform's name of it.
    WriteRecord write; ///< Base version and id of the write.
    ChangeState state = ChangeState::Writing;
    RejectionReason rejection = RejectionReason::None;
    bool mayHaveTakenEffect = false; ///< A write was sent, and no answer says for certain that it had no effect.
    std::uint64_t version = 0; ///< After an accepted write, if known.
    bool operator==(const ObjectChange &) const = default;
};

/** An object as read back; version zero if it does not exist. */
struct ObservedObject {
    std::uint64_t version = 0;
    std::vector<WriteRecord> writes;
};

/** What a read says of a write. */
enum class WriteResolution {
    Accepted,
    Superseded, ///< Another write took the base version, so that this one never will.
    Pending, ///< The object still has the base version; the write may still take effect.
    Indeterminate, ///< The object is newer and does not remember what followed the base version.
};

constexpr std::array<EnumName<WriteResolution>, 4> enumNames(WriteResolution)
{
    return {{
        {WriteResolution::Accepted, "accepted"},
        {WriteResolution::Superseded, "superseded"},
        {WriteResolution::Pending, "pending"},
        {WriteResolution::Indeterminate, "forgotten"},
    }};
}
static_assert(isEnumTableOrdered<WriteResolution>());

/** Returns what became of @p write, judged by the object as read after it was sent. */
WriteResolution resolveWrite(const WriteRecord &write, const ObservedObject &observed);

/** Returns the writes that an object remembers after @p write. */
std::vector<WriteRecord> appendWriteRecord(std::vector<WriteRecord> writes, const WriteRecord &write);

/** State of one apply. */
struct Apply {
    std::vector<ObjectChange> changes;
    TimePoint deadline; ///< What is not settled by then is told as it is known.
};

struct ApplyStarted {
};
struct WriteFinished {
    std::size_t change = 0; ///< Index.
    WriteResult result;
};
struct ReadFinished {
    std::size_t change = 0;
    std::optional<ObservedObject> observed; ///< Nothing if the platform did not answer.
};
struct ApplyDeadlineReached {
};
using ApplyEvent = std::variant<ApplyStarted, WriteFinished, ReadFinished, ApplyDeadlineReached>;

/** Write the change, with its base version as the condition. */
struct SendWrite {
    std::size_t change = 0;
};
/** Read the object of the change. */
struct SendRead {
    std::size_t change = 0;
};
using ApplyAction = std::variant<SendWrite, SendRead>;

/** Takes @p event into @p apply and returns what is to be sent; an event for a settled change is ignored. */
std::vector<ApplyAction> step(Apply &apply, const ApplyEvent &event, TimePoint now);

/** Returns whether each change is accepted, rejected or told as not known. */
bool isFinished(const Apply &apply);

}
