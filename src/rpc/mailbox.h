#pragma once

#include <QObject>
#include <QPointer>

#include <functional>
#include <memory>

namespace Plantainweir {

/**
 * Posts functions from any thread to the event loop of the thread that made it.
 *
 * Copies share one address. Functions that arrive after their owner was destroyed are dropped.
 */
class Mailbox
{
public:
    /** @param owner object in whose life, and in whose thread, the functions run. */
    explicit Mailbox(QObject *owner);

    /** Queues @p function; may be called from any thread. */
    void post(std::function<void()> function) const;

private:
    std::shared_ptr<QObject> m_receiver;
    QPointer<QObject> m_owner;
};

}
