#pragma once

#include "core/endpoint.h"
#include "core/enumnames.h"
#include "core/time.h"

#include <QObject>

#include <memory>

namespace Plantainweir {

/** Network fault that a LoopbackProxy injects. */
enum class LinkFault {
    None,
    Delay, ///< Data is forwarded with a delay.
    Blackhole, ///< No data is forwarded in either direction; connections that exist during the fault never recover.
    OneWay, ///< Requests are forwarded and responses dropped; connections that exist during the fault never recover.
    Reset, ///< Existing connections are closed, and new ones as soon as they are accepted.
    Repeat, ///< Responses are forwarded once more, late; their connections may have carried other requests since.
    EndlessBody, ///< A body without end takes the place of each response of a call that ran.
    EndlessHead, ///< The same with a header without end.
};

constexpr std::array<EnumName<LinkFault>, 8> enumNames(LinkFault)
{
    return {{
        {LinkFault::None, "none"},
        {LinkFault::Delay, "delay"},
        {LinkFault::Blackhole, "silence"},
        {LinkFault::OneWay, "one_way"},
        {LinkFault::Reset, "reset"},
        {LinkFault::Repeat, "second_copy"},
        {LinkFault::EndlessBody, "endless_body"},
        {LinkFault::EndlessHead, "endless_head"},
    }};
}
static_assert(isEnumTableOrdered<LinkFault>());

/** Task that forwards TCP connections to a server on this machine and injects network faults between the two ends. */
class LoopbackProxy : public QObject
{
    Q_OBJECT

public:
    explicit LoopbackProxy(const Endpoint &target, QObject *parent = nullptr);
    ~LoopbackProxy() override;

    /** Returns the endpoint to connect to instead of the target. */
    Endpoint endpoint() const;
    void setFault(LinkFault fault);

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
