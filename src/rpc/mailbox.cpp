#include "rpc/mailbox.h"

#include <QCoreApplication>

namespace Plantainweir {
namespace {

/**
 * Deletes @p receiver in its own thread, after the functions that are queued for it.
 *
 * The destructor of QCoreApplication destroys the queued functions while it holds the lock of the event queue. If one of
 * them has the last copy of a mailbox, deleteLater() would deadlock; the receiver is leaked then, as the process ends.
 */
void deleteReceiver(QObject *receiver)
{
    if (QCoreApplication::instance() != nullptr) {
        receiver->deleteLater();
    }
}

}

Mailbox::Mailbox(QObject *owner)
    : m_receiver(new QObject, deleteReceiver)
    , m_owner(owner)
{
}

void Mailbox::post(std::function<void()> function) const
{
    QMetaObject::invokeMethod(
        m_receiver.get(),
        [owner = m_owner, run = std::move(function)] {
            if (owner) {
                run();
            }
        },
        Qt::QueuedConnection);
}

}
