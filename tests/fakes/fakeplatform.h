#pragma once

#include "configuration/virtualmachine.h"
#include "core/enumnames.h"
#include "http/httpserver.h"

#include <QObject>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Plantainweir {

/** How the fake platform answers requests; can be changed while it runs. */
enum class FakePlatformMode {
    Up,
    Slow, ///< Each answer is delayed by FakePlatformFaults::delayMs.
    Down, ///< Each connection is closed without an answer, and no write is applied.
};

constexpr std::array<EnumName<FakePlatformMode>, 3> enumNames(FakePlatformMode)
{
    return {{
        {FakePlatformMode::Up, "up"},
        {FakePlatformMode::Slow, "slow"},
        {FakePlatformMode::Down, "down"},
    }};
}
static_assert(isEnumTableOrdered<FakePlatformMode>());

struct FakePlatformFaults {
    FakePlatformMode mode = FakePlatformMode::Up;
    int delayMs = 1000; ///< Delay of each answer in the mode Slow.
    int loseWriteAnswers = 0; ///< Number of upcoming writes that are applied but get no answer; their connections are closed.
    bool isDownAfterLostAnswer = false; ///< Changes the mode to Down after the first lost answer to a write.
    int listsToGather = 0; ///< Answers to list requests are held back until this number of list requests has arrived; then the fault ends.
    int loseWrites = 0; ///< Number of upcoming writes that are neither applied nor answered; their connections are closed.
};

/** Number of requests of each kind since the start; a pending watch counts once. */
struct FakePlatformCounts {
    std::uint64_t lists = 0;
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t watches = 0;
    std::uint64_t virtualMachineLists = 0;
};

/**
 * Stand-in for the platform with the HTTP and JSON interface of docs/PLATFORM.md: versioned objects, conditional writes,
 * watches and the list of VMs. Keeps everything in memory.
 *
 * `/admin/faults`, `/admin/vms` (PUT) and `/admin/counts` (GET) are additions for tests and are answered in every mode.
 */
class FakePlatform : public QObject
{
    Q_OBJECT

public:
    explicit FakePlatform(QObject *parent = nullptr);
    ~FakePlatform() override;

    bool listen(const Endpoint &endpoint);
    quint16 port() const;

    void setFaults(const FakePlatformFaults &faults);
    void setVirtualMachines(const std::vector<VirtualMachine> &virtualMachines);
    /** Writes @p value without a condition; returns its version. */
    std::uint64_t put(const std::string &name, const std::string &value);
    /** Returns the version of the object @p name, or 0 if it does not exist. */
    std::uint64_t version(const std::string &name) const;
    /** Returns the value of the object @p name as JSON, or an empty string if it does not exist. */
    std::string value(const std::string &name) const;
    FakePlatformCounts counts() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
