#include "rpc/mailbox.h"

#include <QCoreApplication>

namespace Plantainweir {
namespace {

/**
 * Deletes @p receiver in its own thread, after the functions that are queued for it.
 *
 * The end of the application destroys what is still queued while it holds the lock of the queue; to post anything from
 * there would block for ever, and the process ends anyway.
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
