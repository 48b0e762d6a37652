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

/** How the fake platform answers; settable while it runs. */
enum class FakePlatformMode {
    Up,
    Slow, ///< Each answer is held back.
    Down, ///< Each connection is closed without an answer, and nothing takes effect.
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
    int delayMs = 1000; ///< Of each answer while slow.
    int loseWriteAnswers = 0; ///< So many next writes take effect while their connections close without an answer.
    bool isDownAfterLostAnswer = false; ///< The platform goes down once it has lost an answer.
    int listsToGather = 0; ///< Answers of lists are held back until so many lists have come.
    int loseWrites = 0; ///< So many next writes have no effect while their connections close without an answer.
};

/** Calls since the start, by kind; a waiting watch counts as one. */
struct FakePlatformCounts {
    std::uint64_t lists = 0;
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t watches = 0;
    std::uint64_t virtualMachineLists = 0;
};

/**
 * Stand-in for the platform: objects with versions, conditional writes, watches and the list of VMs, by HTTP and JSON
 * as docs/PLATFORM.md describes. Keeps everything in memory.
 *
 * `/admin/faults`, `/admin/vms` (PUT) and `/admin/counts` (GET) are its own and work in every mode.
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
    /** Returns the version of @p name, or zero. */
    std::uint64_t version(const std::string &name) const;
    /** Returns the value of @p name, or an empty text. */
    std::string value(const std::string &name) const;
    FakePlatformCounts counts() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
