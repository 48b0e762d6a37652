#pragma once

#include "http/httpserver.h"

#include <QJsonObject>

#include <map>
#include <memory>
#include <string>

namespace Plantainweir {

/** Trouble of a FakeStore; settable while it runs. */
struct FakeStoreFaults {
    bool isUnresponsive = false; ///< Requests are taken and never answered.
    bool isBusy = false; ///< Each request is answered 503.
    bool isWatchStalled = false; ///< Watches hear nothing.
};

/**
 * Stand-in for the users' store of objects: lists, watches, writes and revisions.
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
    /** Closes all waiting watches without an answer and drops the history. */
    void dropWatchesAndHistory();
    /** Returns the number of calls since the start, those that only ask for a sign of life left out. */
    int callCount() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
