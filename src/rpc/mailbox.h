#pragma once

#include <QObject>
#include <QPointer>

#include <functional>
#include <memory>

namespace Plantainweir {

/**
 * Runs functions in the event loop of the thread that created the mailbox; any thread may post them.
 *
 * Copies post to the same event loop. Functions that have not run when the owner is destroyed are dropped.
 */
class Mailbox
{
public:
    /** @param owner object of the current thread; functions run only while it exists. */
    explicit Mailbox(QObject *owner);

    /** Queues @p function; may be called from any thread. */
    void post(std::function<void()> function) const;

private:
    std::shared_ptr<QObject> m_receiver;
    QPointer<QObject> m_owner;
};

}
