#include "controllers/idempotencytable.h"

#include <algorithm>
#include <utility>

namespace Plantainweir {
namespace {

/** Approximate memory of a record apart from the characters of its key and response. */
constexpr std::size_t RecordOverheadBytes = 384;

using Records = std::unordered_map<std::string, IdempotencyRecord>;

std::size_t recordBytes(const std::string &key)
{
    return RecordOverheadBytes + 2 * key.size();
}

void eraseRecord(IdempotencyTable &table, Records::iterator record)
{
    const std::size_t answerBytes = record->second.answer ? memorySize(*record->second.answer) : 0;
    table.bytes -= recordBytes(record->first) + answerBytes;
    table.expiries.erase({.at = record->second.expiresAt, .key = record->first});
    table.records.erase(record);
}

void insertRecord(IdempotencyTable &table, const std::string &key, IdempotencyRecord record)
{
    table.bytes += recordBytes(key);
    table.expiries.insert({.at = record.expiresAt, .key = key});
    table.records.emplace(key, std::move(record));
}

KeyAdmission admitRecordedKey(IdempotencyRecord &record, WaiterId waiter)
{
    switch (record.state) {
    case IdempotencyRecordState::Running:
        record.waiters.push_back(waiter);
        return {.decision = KeyDecision::Wait, .answer = nullptr};
    case IdempotencyRecordState::Finished:
        return {.decision = KeyDecision::Replay, .answer = record.answer};
    case IdempotencyRecordState::Unknown:
        break;
    }
    return {.decision = KeyDecision::Unknown, .answer = nullptr};
}

}

KeyAdmission admitKey(IdempotencyTable &table, const std::string &key, UnixMilliseconds timestamp, WaiterId waiter, UnixMilliseconds now)
{
    const auto known = table.records.find(key);
    if (known != table.records.end()) {
        return admitRecordedKey(known->second, waiter);
    }
    if (timestamp <= now - table.limits.maximumKeyAge) {
        return {.decision = KeyDecision::Expired, .answer = nullptr};
    }
    if (timestamp > now + table.limits.maximumClockSkew) {
        return {.decision = KeyDecision::TimestampInFuture, .answer = nullptr};
    }
    eraseExpired(table, now);
    if (table.bytes + recordBytes(key) > table.limits.maximumBytes) {
        return {.decision = KeyDecision::Full, .answer = nullptr};
    }
    insertRecord(
        table, key, {.state = IdempotencyRecordState::Running, .expiresAt = timestamp + table.limits.maximumKeyAge, .waiters = {waiter}, .answer = nullptr});
    return {.decision = KeyDecision::Run, .answer = nullptr};
}

std::vector<WaiterId> finishKey(IdempotencyTable &table, const std::string &key, StoredResponse answer)
{
    const auto found = table.records.find(key);
    if (found == table.records.end()) {
        return {};
    }
    IdempotencyRecord &record = found->second;
    // Without memory for the response, repetitions get the outcome "unknown" and never run.
    const std::size_t answerBytes = memorySize(*answer);
    const bool hasRoom = table.bytes + answerBytes <= table.limits.maximumBytes;
    record.state = hasRoom ? IdempotencyRecordState::Finished : IdempotencyRecordState::Unknown;
    if (hasRoom) {
        table.bytes += answerBytes;
        record.answer = std::move(answer);
    }
    return std::exchange(record.waiters, {});
}

std::vector<WaiterId> finishKeyUnknown(IdempotencyTable &table, const std::string &key)
{
    const auto found = table.records.find(key);
    if (found == table.records.end()) {
        return {};
    }
    found->second.state = IdempotencyRecordState::Unknown;
    return std::exchange(found->second.waiters, {});
}

std::vector<WaiterId> eraseKey(IdempotencyTable &table, const std::string &key)
{
    const auto found = table.records.find(key);
    if (found == table.records.end()) {
        return {};
    }
    std::vector<WaiterId> waiters = std::move(found->second.waiters);
    eraseRecord(table, found);
    return waiters;
}

bool removeWaiter(IdempotencyTable &table, const std::string &key, WaiterId waiter)
{
    const auto found = table.records.find(key);
    if (found == table.records.end()) {
        return false;
    }
    auto &waiters = found->second.waiters;
    waiters.erase(std::remove(waiters.begin(), waiters.end(), waiter), waiters.end());
    return !waiters.empty();
}

void eraseExpired(IdempotencyTable &table, UnixMilliseconds now)
{
    while (!table.expiries.empty() && table.expiries.begin()->at <= now) {
        const auto record = table.records.find(table.expiries.begin()->key);
        if (record->second.state != IdempotencyRecordState::Running) {
            eraseRecord(table, record);
            continue;
        }
        table.expiries.erase(table.expiries.begin());
        record->second.expiresAt = now + table.limits.maximumKeyAge;
        table.expiries.insert({.at = record->second.expiresAt, .key = record->first});
    }
}

}
