#include "controllers/keybook.h"

#include <algorithm>
#include <utility>

namespace Plantainweir {
namespace {

/** What a record costs beside its key's and answer's characters. */
constexpr std::size_t RecordBytes = 384;

using Records = std::unordered_map<std::string, KeyRecord>;

std::size_t recordBytes(const std::string &key)
{
    return RecordBytes + 2 * key.size();
}

void eraseRecord(KeyBook &book, Records::iterator record)
{
    const std::size_t answerBytes = record->second.answer ? memorySize(*record->second.answer) : 0;
    book.bytes -= recordBytes(record->first) + answerBytes;
    book.expiries.erase({.at = record->second.forgetAt, .key = record->first});
    book.records.erase(record);
}

void insertRecord(KeyBook &book, const std::string &key, KeyRecord record)
{
    book.bytes += recordBytes(key);
    book.expiries.insert({.at = record.forgetAt, .key = key});
    book.records.emplace(key, std::move(record));
}

KeyAdmission admitKnownKey(KeyRecord &record, WaiterId waiter)
{
    switch (record.state) {
    case KeyRecordState::Running:
        record.waiters.push_back(waiter);
        return {.verdict = KeyVerdict::Wait, .answer = nullptr};
    case KeyRecordState::Finished:
        return {.verdict = KeyVerdict::Replay, .answer = record.answer};
    case KeyRecordState::Unknown:
        break;
    }
    return {.verdict = KeyVerdict::Unknown, .answer = nullptr};
}

}

KeyAdmission admitKey(KeyBook &book, const std::string &key, UnixMilliseconds birth, WaiterId waiter, UnixMilliseconds now)
{
    const auto known = book.records.find(key);
    if (known != book.records.end()) {
        return admitKnownKey(known->second, waiter);
    }
    if (birth <= now - book.limits.acceptedAge) {
        return {.verdict = KeyVerdict::Expired, .answer = nullptr};
    }
    if (birth > now + book.limits.clockBound) {
        return {.verdict = KeyVerdict::NotYetBorn, .answer = nullptr};
    }
    forgetExpired(book, now);
    if (book.bytes + recordBytes(key) > book.limits.bytes) {
        return {.verdict = KeyVerdict::Full, .answer = nullptr};
    }
    insertRecord(book, key, {.state = KeyRecordState::Running, .forgetAt = birth + book.limits.acceptedAge, .waiters = {waiter}, .answer = nullptr});
    return {.verdict = KeyVerdict::Run, .answer = nullptr};
}

std::vector<WaiterId> finishKey(KeyBook &book, const std::string &key, KeptAnswer answer)
{
    const auto found = book.records.find(key);
    if (found == book.records.end()) {
        return {};
    }
    KeyRecord &record = found->second;
    // Without room for the answer a later repetition hears "unknown", which is true, and never runs.
    const std::size_t answerBytes = memorySize(*answer);
    const bool hasRoom = book.bytes + answerBytes <= book.limits.bytes;
    record.state = hasRoom ? KeyRecordState::Finished : KeyRecordState::Unknown;
    if (hasRoom) {
        book.bytes += answerBytes;
        record.answer = std::move(answer);
    }
    return std::exchange(record.waiters, {});
}

std::vector<WaiterId> finishKeyUnknown(KeyBook &book, const std::string &key)
{
    const auto found = book.records.find(key);
    if (found == book.records.end()) {
        return {};
    }
    found->second.state = KeyRecordState::Unknown;
    return std::exchange(found->second.waiters, {});
}

std::vector<WaiterId> releaseKey(KeyBook &book, const std::string &key)
{
    const auto found = book.records.find(key);
    if (found == book.records.end()) {
        return {};
    }
    std::vector<WaiterId> waiters = std::move(found->second.waiters);
    eraseRecord(book, found);
    return waiters;
}

bool removeWaiter(KeyBook &book, const std::string &key, WaiterId waiter)
{
    const auto found = book.records.find(key);
    if (found == book.records.end()) {
        return false;
    }
    auto &waiters = found->second.waiters;
    waiters.erase(std::remove(waiters.begin(), waiters.end(), waiter), waiters.end());
    return !waiters.empty();
}

void forgetExpired(KeyBook &book, UnixMilliseconds now)
{
    while (!book.expiries.empty() && book.expiries.begin()->at <= now) {
        const auto record = book.records.find(book.expiries.begin()->key);
        if (record->second.state != KeyRecordState::Running) {
            eraseRecord(book, record);
            continue;
        }
        book.expiries.erase(book.expiries.begin());
        record->second.forgetAt = now + book.limits.acceptedAge;
        book.expiries.insert({.at = record->second.forgetAt, .key = record->first});
    }
}

}
