#pragma once

#include "core/endpoint.h"
#include "core/enumnames.h"
#include "soak/loopbackproxy.h"

#include <QJsonObject>
#include <QObject>

#include <memory>
#include <string>

namespace Plantainweir {

/** What an odd SoakUpstream does with calls. */
enum class UpstreamOddity {
    None,
    Silent, ///< Runs them and answers none.
    Quiet, ///< Refuses them with a time for which it asks for none.
    Leaving, ///< Runs them and says in all answers that it leaves, whatever the store says.
};

constexpr std::array<EnumName<UpstreamOddity>, 4> enumNames(UpstreamOddity)
{
    return {{
        {UpstreamOddity::None, "none"},
        {UpstreamOddity::Silent, "silent"},
        {UpstreamOddity::Quiet, "quiet"},
        {UpstreamOddity::Leaving, "leaving"},
    }};
}
static_assert(isEnumTableOrdered<UpstreamOddity>());

/** Fake upstream behind a LoopbackProxy. Uses the platform's headers, signals the start of each execution and answers after 2 to 200 ms. */
class SoakUpstream : public QObject
{
    Q_OBJECT

public:
    SoakUpstream(const std::string &id, const std::string &service, const std::string &availabilityZone, std::uint64_t seed);
    ~SoakUpstream() override;

    const std::string &id() const;
    const std::string &service() const;
    const std::string &availabilityZone() const;
    LoopbackProxy &proxy();
    UpstreamOddity oddity() const;
    void setOddity(UpstreamOddity oddity);
    /** Returns the object that registers the upstream in the store; @p state is "ready", or "draining" if it leaves. */
    /** Returns the next report to the store, with a number of its own. */
    QJsonObject nextReport(const QString &state);

Q_SIGNALS:
    void started(const std::string &requestId);

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
