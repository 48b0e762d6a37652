#pragma once

#include "core/endpoint.h"
#include "soak/loopbackproxy.h"

#include <QJsonObject>
#include <QObject>

#include <memory>
#include <string>

namespace Plantainweir {

/** An upstream of a soak behind a proxy; speaks the platform's headers, runs calls for some milliseconds and tells of each run. */
class SoakUpstream : public QObject
{
    Q_OBJECT

public:
    SoakUpstream(const std::string &id, const std::string &service, std::uint64_t seed);
    ~SoakUpstream() override;

    const std::string &id() const;
    const std::string &service() const;
    LoopbackProxy &proxy();
    /** Returns its entry in the store; an upstream that leaves is "draining". */
    QJsonObject registration(const QString &state) const;

Q_SIGNALS:
    void started(const std::string &requestId);

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
