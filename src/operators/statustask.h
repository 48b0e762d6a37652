#pragma once

#include "controllers/applycontroller.h"
#include "core/endpoint.h"
#include "core/time.h"
#include "operators/changeplan.h"

#include <QObject>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Plantainweir {

class PlatformTask;

/** What a daemon's `/status` says of the configuration in force. */
struct DaemonStatus {
    Endpoint endpoint; ///< Its operators' port.
    std::string error; ///< Why its status is not known; empty if it is.
    std::map<std::string, std::uint64_t> versions; ///< By object name.
};

/** A write whose fate an operator asks for; written as `OBJECT@BASE#ID`. */
struct WriteReference {
    std::string object;
    WriteRecord write;
    bool operator==(const WriteReference &) const = default;
};

/** Reads `OBJECT@BASE#ID`; returns nothing for other text. */
std::optional<WriteReference> parseWriteReference(const std::string &text);
std::string toString(const WriteReference &reference);

/** Reads the member `versions` of a daemon's `/status`; fails if there is none. */
Result<std::map<std::string, std::uint64_t>> decodeVersions(const std::string &text);

/** What the platform and the daemons say. */
struct StatusReport {
    std::optional<StoredConfiguration> stored; ///< Nothing if the platform did not answer.
    std::vector<DaemonStatus> daemons;
    std::optional<WriteResolution> writeResolution; ///< Of the write that was asked for.
};

/** Task that asks the platform for its objects, and daemons for the versions that they have in force. */
class StatusTask : public QObject
{
    Q_OBJECT

public:
    StatusTask(PlatformTask &platform, std::vector<Endpoint> daemons, std::optional<WriteReference> write, TimePoint deadline, QObject *parent = nullptr);
    ~StatusTask() override;

    void start();

Q_SIGNALS:
    void finished(const StatusReport &report);

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
