#pragma once

#include "core/endpoint.h"
#include "core/enumnames.h"
#include "core/time.h"

#include <QObject>

#include <memory>

namespace Plantainweir {

/** What a LoopbackProxy does to the bytes that pass. */
enum class LinkFault {
    None,
    Delay, ///< Each piece is passed on later.
    Blackhole, ///< Nothing passes in either direction; connections of that time stay silent for good.
    OneWay, ///< Requests pass, nothing comes back; connections of that time stay so for good.
    Reset, ///< Connections break at once, and new ones too.
};

constexpr std::array<EnumName<LinkFault>, 5> enumNames(LinkFault)
{
    return {{
        {LinkFault::None, "none"},
        {LinkFault::Delay, "delay"},
        {LinkFault::Blackhole, "silence"},
        {LinkFault::OneWay, "one_way"},
        {LinkFault::Reset, "reset"},
    }};
}
static_assert(isEnumTableOrdered<LinkFault>());

/** Task that passes TCP connections on to a server on this machine and injects faults from outside both ends. */
class LoopbackProxy : public QObject
{
    Q_OBJECT

public:
    explicit LoopbackProxy(const Endpoint &target, QObject *parent = nullptr);
    ~LoopbackProxy() override;

    /** Where to connect instead of the target. */
    Endpoint endpoint() const;
    void setFault(LinkFault fault);

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
