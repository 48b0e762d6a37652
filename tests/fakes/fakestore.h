#pragma once

#include "http/httpserver.h"

#include <QJsonObject>

#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace Plantainweir {

/** Faults of a FakeStore; can be changed while it runs. */
struct FakeStoreFaults {
    bool isUnresponsive = false; ///< Requests are accepted and never answered.
    bool isBusy = false; ///< Each request is answered with status 503.
    bool isWatchStalled = false; ///< Watches receive no events.
    bool isLosingAnswers = false; ///< Answers are lost, and the connections on which they are due stay silent.
    bool isStaleReadFrozen = false; ///< Stale lists and watches show the objects as they were when the fault began.
    std::chrono::milliseconds answerDelay{0}; ///< All answers come this much later.
    std::map<std::string, std::chrono::milliseconds> listDelays; ///< By kind: lists come this much later instead.
    std::string unansweredKind; ///< Requests for objects of this kind are never answered.
    std::optional<std::string> eraField; ///< Value of the field that tells the era, instead of the era; the field is left out if it is empty.
};

/** What happens to the watches that wait when a FakeStore returns from its copy. */
enum class FakeStoreWatches {
    Closed, ///< Their connections are closed.
    Silent, ///< They are never answered.
};

/**
 * Stand-in for the users' object store, with lists, watches, writes and revisions.
 * Keeps everything in memory.
 */
class FakeStore : public QObject
{
    Q_OBJECT

public:
    explicit FakeStore(QObject *parent = nullptr);
    ~FakeStore() override;

    Endpoint endpoint() const;
    void setFaults(const FakeStoreFaults &faults);
    void put(const std::string &kind, const std::string &name, const QJsonObject &spec);
    void remove(const std::string &kind, const std::string &name);
    bool has(const std::string &kind, const std::string &name) const;
    /** Copies all objects, with the revision and the history, for returnFromCopy(). */
    void takeCopy();
    /** Replaces all content by the copy, and rises to the next era. Revisions since then are given out again. */
    void returnFromCopy(FakeStoreWatches watches = FakeStoreWatches::Closed);
    std::uint64_t revision() const;
    /** Closes all pending watches without an answer and discards the history, so that a watch from an older revision gets status 410. */
    void dropWatchesAndHistory();
    /** Never answers the watches that wait now; their connections stay open. */
    void silenceWatches();
    /** Returns the number of requests since the start, without stale reads, which have the parameter `serializable`. */
    int callCount() const;
    /** Returns the number of all requests for objects of @p kind since the start. */
    int callCountOf(const std::string &kind) const;
    /** Returns the number of lists of objects of @p kind since the start. */
    int listCountOf(const std::string &kind) const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
