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
 * Decides how an operator's change is written to the platform and which result the operator sees.
 *
 * A pure step function without I/O. Each write is conditional on the version that the change is based on. If the
 * response to a write is lost, the object is read back. Each object stores its last writes, and at most one write per
 * base version takes effect, so the stored writes show whether the lost one did. While the object still has the base
 * version, the same write is sent again; the condition makes that safe.
 */
namespace Plantainweir {

/** Progress or result of the change of one object. */
enum class ChangeState {
    Writing, ///< A write is in flight.
    ReadingBack, ///< The effect of a write is unknown; a read is in flight.
    Accepted, ///< The change took effect.
    Rejected, ///< The change did not take effect and cannot take effect later.
    NotKnown, ///< The change may have taken effect, or may still do so.
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
    Conflict, ///< Another change was made to the same base version.
    Refused, ///< The platform rejected the request.
    NotSent, ///< The platform could not be reached and no write was sent.
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
    std::string object; ///< Name of the object at the platform.
    WriteRecord write; ///< Base version and ID of the write.
    ChangeState state = ChangeState::Writing;
    RejectionReason rejection = RejectionReason::None;
    bool mayHaveTakenEffect = false; ///< A write was sent, and no response has ruled out that it took effect.
    std::uint64_t version = 0; ///< Version of the object after an accepted write; zero if not known.
    bool operator==(const ObjectChange &) const = default;
};

/** Version and stored writes of an object that was read back; the version is zero if the object does not exist. */
struct ObservedObject {
    std::uint64_t version = 0;
    std::vector<WriteRecord> writes;
};

/** Effect of a write, determined by reading its object. */
enum class WriteResolution {
    Accepted,
    Superseded, ///< Another write replaced the base version, so this one cannot take effect.
    Pending, ///< The object still has the base version; the write may take effect later.
    Indeterminate, ///< The object is newer and no longer stores the write that replaced the base version.
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

/** Determines the effect of @p write from @p observed, which was read after the write was sent. */
WriteResolution resolveWrite(const WriteRecord &write, const ObservedObject &observed);

/** Appends @p write to the stored writes of an object and drops the oldest beyond MaximumWriteRecords. */
std::vector<WriteRecord> appendWriteRecord(std::vector<WriteRecord> writes, const WriteRecord &write);

/** State of one apply, which changes one or more objects. */
struct Apply {
    std::vector<ObjectChange> changes;
    TimePoint deadline; ///< Changes without a final result by then are abandoned as NotKnown or NotSent.
};

struct ApplyStarted {
};
struct WriteFinished {
    std::size_t change = 0; ///< Index in Apply::changes.
    WriteResult result;
};
struct ReadFinished {
    std::size_t change = 0;
    std::optional<ObservedObject> observed; ///< Empty if the platform did not respond.
};
struct ApplyDeadlineReached {
};
using ApplyEvent = std::variant<ApplyStarted, WriteFinished, ReadFinished, ApplyDeadlineReached>;

/** Requests a write of the change, conditional on its base version. */
struct SendWrite {
    std::size_t change = 0;
};
/** Requests a read of the change's object. */
struct SendRead {
    std::size_t change = 0;
};
using ApplyAction = std::variant<SendWrite, SendRead>;

/** Applies @p event to @p apply and returns the requests to send. Events for a change with a final result are ignored. */
std::vector<ApplyAction> step(Apply &apply, const ApplyEvent &event, TimePoint now);

/** Returns whether every change has a final result: accepted, rejected or not known. */
bool isFinished(const Apply &apply);

}
