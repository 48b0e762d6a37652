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

/** Configuration in force at a daemon, as its `/status` reports it. */
struct DaemonStatus {
    Endpoint endpoint; ///< Operators' port of the daemon.
    std::string error; ///< Why its status is not known; empty if it is.
    std::map<std::string, std::uint64_t> versions; ///< By object name.
};

/** Identifies a write whose result an operator queries; written as `OBJECT@BASE#ID`. */
struct WriteReference {
    std::string object;
    WriteRecord write;
    bool operator==(const WriteReference &) const = default;
};

/** Parses `OBJECT@BASE#ID`; returns nothing for other text. */
std::optional<WriteReference> parseWriteReference(const std::string &text);
std::string toString(const WriteReference &reference);

/** Decodes the member `versions` of a daemon's `/status`; fails if there is none. */
Result<std::map<std::string, std::uint64_t>> decodeVersions(const std::string &text);

/** State of the configuration at the platform and at the daemons. */
struct StatusReport {
    std::optional<StoredConfiguration> stored; ///< Nothing if the platform did not answer.
    std::vector<DaemonStatus> daemons;
    std::optional<WriteResolution> writeResolution; ///< Result of the write that the operator named.
};

/** Task that reads the objects of the platform, and queries daemons for the versions that they have in force. */
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
