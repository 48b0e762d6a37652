#include "configuration/adoption.h"
#include "configuration/configurationjson.h"
#include "controllers/applycontroller.h"
#include "exploration.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>

/**
 * Explores random interleavings of operators, the platform and members from a seed.
 *
 * The operators run the steps of an apply and the members adopt objects by version, with the code of the product.
 * Messages are delayed, reordered, duplicated and lost, responses to writes are lost, operators abandon changes, and
 * members restart. The invariants are checked after each step.
 */
namespace Plantainweir {
namespace {

constexpr std::uint64_t Interleavings = 30'000;
constexpr int FaultyStepCount = 60;
constexpr int ConvergenceStepLimit = 2000;
constexpr std::size_t OperatorCount = 2;
constexpr std::size_t MemberCount = 3;
const std::vector<std::string> s_objectNames{"orders", "payments"};

/** One object as the platform stores it. */
struct PlatformState {
    std::uint64_t version = 0;
    std::vector<WriteRecord> writes;
};

struct WriteMessage {
    std::size_t operatorIndex = 0;
    std::uint64_t call = 0;
    std::string object;
    WriteRecord write;
    std::vector<WriteRecord> writes;
};
struct WriteAnswer {
    std::size_t operatorIndex = 0;
    std::uint64_t call = 0;
    WriteResult result;
};
struct ReadMessage {
    std::size_t operatorIndex = 0;
    std::uint64_t call = 0;
    std::string object;
};
struct ReadAnswer {
    std::size_t operatorIndex = 0;
    std::uint64_t call = 0;
    ObservedObject observed;
};
/** A version of an object that a member receives from the platform or from a peer. */
struct ObjectUpdate {
    std::size_t member = 0;
    Service service;
};
using Message = std::variant<WriteMessage, WriteAnswer, ReadMessage, ReadAnswer, ObjectUpdate>;

struct PendingCall {
    std::size_t change = 0;
    bool isWrite = false;
};

/** One operator with an apply. */
struct Operator {
    Apply apply;
    std::vector<std::vector<WriteRecord>> writesOfChange;
    std::map<std::uint64_t, PendingCall> pending;
    bool isAbandoned = false;
};

struct Member {
    Configuration configuration;
    std::map<std::string, std::uint64_t> highest; ///< Highest version of each object that it ever adopted, also before a restart.
};

class World
{
public:
    explicit World(std::uint64_t seed)
        : m_random(seed)
    {
        m_operators.resize(OperatorCount);
        m_members.resize(MemberCount);
        m_hasTightDeadlines = chance(4);
        m_hasWriteBursts = chance(6);
    }

    /** Returns the first violated invariant, or an empty string. */
    std::string explore()
    {
        for (m_stepNumber = 0; m_stepNumber < FaultyStepCount; ++m_stepNumber) {
            makeFaultyStep();
            std::string violation = violatedInvariant();
            if (!violation.empty()) {
                return violation;
            }
        }
        return convergeWithoutFaults();
    }

private:
    std::size_t draw(std::size_t count)
    {
        return std::uniform_int_distribution<std::size_t>(0, count - 1)(m_random);
    }

    bool chance(std::size_t oneIn)
    {
        return draw(oneIn) == 0;
    }

    TimePoint now() const
    {
        return TimePoint(std::chrono::seconds(m_stepNumber));
    }

    void makeFaultyStep()
    {
        switch (draw(12)) {
        case 0:
            startApply(draw(OperatorCount));
            return;
        case 1:
            loseMessage();
            return;
        case 2:
            duplicateMessage();
            return;
        case 3:
            loseResponse(draw(OperatorCount));
            return;
        case 4:
            restart(m_members[draw(MemberCount)]);
            return;
        case 5:
            gossip();
            return;
        case 6:
            writeByAnotherClient();
            return;
        default:
            deliverMessage();
            return;
        }
    }

    /** Starts another apply if the operator's last one is finished, and sometimes abandons an unfinished one. */
    void startApply(std::size_t index)
    {
        Operator &op = m_operators[index];
        if (!isFinished(op.apply)) {
            if (chance(3)) {
                op.isAbandoned = true;
                run(index, ApplyDeadlineReached{});
            }
            return;
        }
        recordRejections(op);
        op = {};
        const int time = m_hasTightDeadlines ? static_cast<int>(draw(20)) : ConvergenceStepLimit * 2;
        op.apply.deadline = now() + std::chrono::seconds(time);
        for (const std::string &object : s_objectNames) {
            const PlatformState &state = m_platform[object];
            const WriteRecord write{.base = state.version, .id = "write-" + std::to_string(++m_lastId)};
            op.apply.changes.push_back({.object = object, .write = write});
            op.writesOfChange.push_back(appendWriteRecord(state.writes, write));
        }
        run(index, ApplyStarted{});
    }

    void run(std::size_t index, const ApplyEvent &event)
    {
        for (const ApplyAction &action : step(m_operators[index].apply, event, now())) {
            if (const auto *write = std::get_if<SendWrite>(&action)) {
                sendWriteOf(index, write->change);
            } else {
                sendReadOf(index, std::get<SendRead>(action).change);
            }
        }
    }

    void sendWriteOf(std::size_t index, std::size_t change)
    {
        Operator &op = m_operators[index];
        const std::uint64_t call = ++m_lastCall;
        op.pending[call] = {.change = change, .isWrite = true};
        const ObjectChange &object = op.apply.changes[change];
        m_messages.emplace_back(
            WriteMessage{.operatorIndex = index, .call = call, .object = object.object, .write = object.write, .writes = op.writesOfChange[change]});
    }

    void sendReadOf(std::size_t index, std::size_t change)
    {
        Operator &op = m_operators[index];
        const std::uint64_t call = ++m_lastCall;
        op.pending[call] = {.change = change, .isWrite = false};
        m_messages.emplace_back(ReadMessage{.operatorIndex = index, .call = call, .object = op.apply.changes[change].object});
    }

    void loseMessage()
    {
        if (!m_messages.empty()) {
            takeMessage(draw(m_messages.size()));
        }
    }

    void duplicateMessage()
    {
        if (!m_messages.empty()) {
            const Message copy = m_messages[draw(m_messages.size())];
            m_messages.push_back(copy);
        }
    }

    Message takeMessage(std::size_t index)
    {
        Message message = m_messages[index];
        m_messages.erase(m_messages.begin() + static_cast<std::ptrdiff_t>(index));
        return message;
    }

    /** Times a call of the operator out; its message may still be delivered later. */
    void loseResponse(std::size_t index)
    {
        Operator &op = m_operators[index];
        if (op.pending.empty()) {
            return;
        }
        const auto call = std::next(op.pending.begin(), static_cast<std::ptrdiff_t>(draw(op.pending.size())));
        const PendingCall pending = call->second;
        const bool isUnsent = pending.isWrite && removeUnsent(call->first);
        op.pending.erase(call);
        if (!pending.isWrite) {
            run(index, ReadFinished{.change = pending.change, .observed = std::nullopt});
            return;
        }
        const WriteOutcome outcome = isUnsent ? WriteOutcome::NotSent : WriteOutcome::AnswerLost;
        run(index, WriteFinished{.change = pending.change, .result = {.outcome = outcome, .version = 0}});
    }

    /** Sometimes removes the only copy of a write, as if it had never been sent; returns whether it did. */
    bool removeUnsent(std::uint64_t call)
    {
        if (!chance(3)) {
            return false;
        }
        const auto isCopy = [call](const Message &message) {
            const auto *write = std::get_if<WriteMessage>(&message);
            return write != nullptr && write->call == call;
        };
        if (m_seenCalls.contains(call) || std::count_if(m_messages.begin(), m_messages.end(), isCopy) != 1) {
            return false;
        }
        std::erase_if(m_messages, isCopy);
        return true;
    }

    /** Loses the member's state; the member reads all objects from the platform before it serves again. */
    void restart(Member &member)
    {
        member.configuration = {};
        for (const std::string &object : s_objectNames) {
            adopt(member.configuration, storedService(object));
        }
    }

    void gossip()
    {
        const Member &from = m_members[draw(MemberCount)];
        for (const auto &[name, service] : from.configuration.services) {
            m_messages.emplace_back(ObjectUpdate{.member = draw(MemberCount), .service = service});
        }
    }

    /** Changes an object by another client, sometimes more often than the object has room for write records. */
    void writeByAnotherClient()
    {
        const std::string &object = s_objectNames[draw(s_objectNames.size())];
        const std::size_t writes = m_hasWriteBursts ? draw(MaximumWriteRecords + 4) : (chance(4) ? 1 : 0);
        for (std::size_t count = 0; count < writes; ++count) {
            const WriteRecord write{.base = m_platform[object].version, .id = "write-" + std::to_string(++m_lastId)};
            store(object, write, appendWriteRecord(m_platform[object].writes, write));
        }
    }

    void deliverMessage()
    {
        if (m_messages.empty()) {
            return;
        }
        const Message message = takeMessage(draw(m_messages.size()));
        std::visit(
            [this](const auto &each) {
                deliver(each);
            },
            message);
    }

    void deliver(const WriteMessage &message)
    {
        m_seenCalls.insert(message.call);
        const bool isAccepted = m_platform[message.object].version == message.write.base;
        if (isAccepted) {
            store(message.object, message.write, message.writes);
        }
        const WriteResult result{.outcome = isAccepted ? WriteOutcome::Accepted : WriteOutcome::Conflict,
                                 .version = isAccepted ? m_platform[message.object].version : 0};
        m_messages.emplace_back(WriteAnswer{.operatorIndex = message.operatorIndex, .call = message.call, .result = result});
    }

    void store(const std::string &object, const WriteRecord &write, const std::vector<WriteRecord> &writes)
    {
        PlatformState &state = m_platform[object];
        state = {.version = ++m_revision, .writes = writes};
        m_acceptedIds.insert(write.id);
        m_idOfVersion[{object, state.version}] = write.id;
        for (std::size_t member = 0; member < MemberCount; ++member) {
            m_messages.emplace_back(ObjectUpdate{.member = member, .service = storedService(object)});
        }
    }

    void deliver(const WriteAnswer &answer)
    {
        Operator &op = m_operators[answer.operatorIndex];
        const auto call = op.pending.find(answer.call);
        if (call == op.pending.end()) {
            return;
        }
        const std::size_t change = call->second.change;
        op.pending.erase(call);
        run(answer.operatorIndex, WriteFinished{.change = change, .result = answer.result});
    }

    void deliver(const ReadMessage &message)
    {
        const PlatformState &state = m_platform[message.object];
        m_messages.emplace_back(
            ReadAnswer{.operatorIndex = message.operatorIndex, .call = message.call, .observed = {.version = state.version, .writes = state.writes}});
    }

    void deliver(const ReadAnswer &answer)
    {
        Operator &op = m_operators[answer.operatorIndex];
        const auto call = op.pending.find(answer.call);
        if (call == op.pending.end()) {
            return;
        }
        const std::size_t change = call->second.change;
        op.pending.erase(call);
        run(answer.operatorIndex, ReadFinished{.change = change, .observed = answer.observed});
    }

    void deliver(const ObjectUpdate &update)
    {
        adopt(m_members[update.member].configuration, update.service);
    }

    /** Returns the object as a service with one upstream, whose name is the ID of the write. */
    Service storedService(const std::string &object)
    {
        const PlatformState &state = m_platform[object];
        Service service;
        service.name = object;
        service.version = state.version;
        if (!state.writes.empty()) {
            service.upstreams.push_back({.name = state.writes.back().id, .endpoint = {}, .availabilityZone = {}});
        }
        return service;
    }

    /** Records the rejections reported to an operator, so that later steps are checked against them. */
    void recordRejections(const Operator &op)
    {
        for (const ObjectChange &change : op.apply.changes) {
            if (change.state == ChangeState::Rejected) {
                m_rejectedIds.insert(change.write.id);
            }
        }
    }

    std::string violatedInvariant()
    {
        for (Member &member : m_members) {
            std::string violation = violatedInvariantOf(member);
            if (!violation.empty()) {
                return violation;
            }
        }
        for (const Operator &op : m_operators) {
            recordRejections(op);
            for (const ObjectChange &change : op.apply.changes) {
                if (change.state == ChangeState::Accepted && !m_acceptedIds.contains(change.write.id)) {
                    return change.write.id + " was reported as accepted and never took effect";
                }
            }
        }
        for (const std::string &id : m_rejectedIds) {
            if (m_acceptedIds.contains(id)) {
                return id + " was reported as rejected and took effect";
            }
        }
        return {};
    }

    std::string violatedInvariantOf(Member &member)
    {
        for (const auto &[name, service] : member.configuration.services) {
            if (service.version < member.highest[name]) {
                return name + " reverted at a member";
            }
            member.highest[name] = service.version;
            const auto accepted = m_idOfVersion.find({name, service.version});
            if (accepted == m_idOfVersion.end() || service.upstreams.front().name != accepted->second) {
                return name + " has a content that the platform did not accept";
            }
        }
        return {};
    }

    /** Delivers all messages without further faults, and checks that every change is resolved and every member up to date. */
    std::string convergeWithoutFaults()
    {
        for (int step = 0; step < ConvergenceStepLimit; ++step) {
            for (std::size_t index = 0; index < OperatorCount; ++index) {
                while (m_messages.empty() && !m_operators[index].pending.empty()) {
                    loseResponse(index);
                }
            }
            if (m_messages.empty()) {
                return unresolvedState();
            }
            deliverMessage();
            std::string violation = violatedInvariant();
            if (!violation.empty()) {
                return violation;
            }
        }
        return "the messages do not end";
    }

    std::string unresolvedState()
    {
        for (const Operator &op : m_operators) {
            for (const ObjectChange &change : op.apply.changes) {
                const bool isHistoryTruncated = m_platform[change.object].writes.size() == MaximumWriteRecords;
                const bool mayBeUnknown = m_hasTightDeadlines || op.isAbandoned || isHistoryTruncated;
                if (!isFinished(op.apply) || (change.state == ChangeState::NotKnown && !mayBeUnknown)) {
                    return change.write.id + " has no final result although the platform responds";
                }
            }
        }
        for (Member &member : m_members) {
            restart(member);
            for (const std::string &object : s_objectNames) {
                if (m_platform[object].version != 0 && member.configuration.services.at(object) != storedService(object)) {
                    return object + " is not up to date at a member";
                }
            }
        }
        return violatedInvariant();
    }

    std::mt19937_64 m_random;
    int m_stepNumber = 0;
    bool m_hasTightDeadlines = false;
    bool m_hasWriteBursts = false;
    std::uint64_t m_revision = 0;
    std::uint64_t m_lastId = 0;
    std::uint64_t m_lastCall = 0;
    std::map<std::string, PlatformState> m_platform;
    std::vector<Operator> m_operators;
    std::vector<Member> m_members;
    std::vector<Message> m_messages;
    std::set<std::uint64_t> m_seenCalls; ///< Writes that reached the platform.
    std::set<std::string> m_acceptedIds;
    std::set<std::string> m_rejectedIds;
    std::map<std::pair<std::string, std::uint64_t>, std::string> m_idOfVersion;
};

TEST(ConfigurationExploration, KeepsItsInvariantsInEveryInterleaving)
{
    const auto failures = explore("configuration", Interleavings, [](std::uint64_t seed) {
        std::string violation = World(seed).explore();
        return violation.empty() ? std::nullopt : std::optional(std::move(violation));
    });
    EXPECT_TRUE(failures.empty()) << failures.front();
}

}
}
