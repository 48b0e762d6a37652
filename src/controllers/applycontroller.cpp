#include "controllers/applycontroller.h"

#include <algorithm>

namespace Plantainweir {
namespace {

using Actions = std::vector<ApplyAction>;

bool isResolved(const ObjectChange &change)
{
    return change.state != ChangeState::Writing && change.state != ChangeState::ReadingBack;
}

void reject(ObjectChange &change, RejectionReason reason)
{
    change.state = ChangeState::Rejected;
    change.rejection = reason;
}

/** Gives @p change its final result when the deadline has passed. */
void abandon(ObjectChange &change)
{
    if (change.mayHaveTakenEffect) {
        change.state = ChangeState::NotKnown;
        return;
    }
    reject(change, RejectionReason::NotSent);
}

Actions sendWrite(ObjectChange &change, std::size_t index)
{
    change.state = ChangeState::Writing;
    return {SendWrite{index}};
}

Actions sendRead(ObjectChange &change, std::size_t index)
{
    change.state = ChangeState::ReadingBack;
    return {SendRead{index}};
}

/** Reads the object back after a write that may have taken effect. */
Actions readBack(ObjectChange &change, std::size_t index)
{
    change.mayHaveTakenEffect = true;
    return sendRead(change, index);
}

Actions handleWrite(ObjectChange &change, std::size_t index, const WriteResult &result)
{
    switch (result.outcome) {
    case WriteOutcome::Accepted:
        change.state = ChangeState::Accepted;
        change.version = result.version;
        return {};
    case WriteOutcome::Conflict:
        // An earlier copy of this write may have caused the conflict, so the change may have been accepted.
        return readBack(change, index);
    case WriteOutcome::Refused:
        if (change.mayHaveTakenEffect) {
            return sendRead(change, index);
        }
        reject(change, RejectionReason::Refused);
        return {};
    case WriteOutcome::NotSent:
        return sendWrite(change, index);
    case WriteOutcome::AnswerLost:
        return readBack(change, index);
    }
    return {};
}

Actions handleRead(ObjectChange &change, std::size_t index, const std::optional<ObservedObject> &observed)
{
    if (!observed) {
        return sendRead(change, index);
    }
    switch (resolveWrite(change.write, *observed)) {
    case WriteResolution::Accepted:
        change.state = ChangeState::Accepted;
        change.version = observed->writes.back() == change.write ? observed->version : 0;
        return {};
    case WriteResolution::Superseded:
        reject(change, RejectionReason::Conflict);
        return {};
    case WriteResolution::Pending:
        return sendWrite(change, index);
    case WriteResolution::Indeterminate:
        change.state = ChangeState::NotKnown;
        return {};
    }
    return {};
}

Actions start(Apply &apply)
{
    Actions actions;
    for (std::size_t index = 0; index < apply.changes.size(); ++index) {
        actions.emplace_back(SendWrite{index});
    }
    return actions;
}

void abandonUnresolved(Apply &apply)
{
    for (ObjectChange &change : apply.changes) {
        if (!isResolved(change)) {
            // A write in flight may still take effect.
            change.mayHaveTakenEffect = change.mayHaveTakenEffect || change.state == ChangeState::Writing;
            abandon(change);
        }
    }
}

/** Handles a response to one change, and abandons the change if it needs another request after the deadline. */
template<typename Handler>
Actions handleAnswer(Apply &apply, std::size_t index, TimePoint now, Handler handler)
{
    ObjectChange &change = apply.changes.at(index);
    if (isResolved(change)) {
        return {};
    }
    Actions actions = handler(change);
    if (!isResolved(change) && now >= apply.deadline) {
        abandon(change);
        return {};
    }
    return actions;
}

}

WriteResolution resolveWrite(const WriteRecord &write, const ObservedObject &observed)
{
    const auto successor = std::find_if(observed.writes.begin(), observed.writes.end(), [&write](const WriteRecord &each) {
        return each.base == write.base;
    });
    if (successor != observed.writes.end()) {
        return successor->id == write.id ? WriteResolution::Accepted : WriteResolution::Superseded;
    }
    // A read may be stale; a version below the base rules out as little as the base version itself.
    return observed.version <= write.base ? WriteResolution::Pending : WriteResolution::Indeterminate;
}

std::vector<WriteRecord> appendWriteRecord(std::vector<WriteRecord> writes, const WriteRecord &write)
{
    writes.push_back(write);
    if (writes.size() > MaximumWriteRecords) {
        writes.erase(writes.begin(), writes.end() - static_cast<std::ptrdiff_t>(MaximumWriteRecords));
    }
    return writes;
}

std::vector<ApplyAction> step(Apply &apply, const ApplyEvent &event, TimePoint now)
{
    if (std::holds_alternative<ApplyStarted>(event)) {
        return start(apply);
    }
    if (const auto *written = std::get_if<WriteFinished>(&event)) {
        return handleAnswer(apply, written->change, now, [written](ObjectChange &change) {
            return handleWrite(change, written->change, written->result);
        });
    }
    if (const auto *read = std::get_if<ReadFinished>(&event)) {
        return handleAnswer(apply, read->change, now, [read](ObjectChange &change) {
            return handleRead(change, read->change, read->observed);
        });
    }
    abandonUnresolved(apply);
    return {};
}

bool isFinished(const Apply &apply)
{
    return std::all_of(apply.changes.begin(), apply.changes.end(), isResolved);
}

}
