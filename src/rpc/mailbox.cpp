#include "rpc/mailbox.h"

namespace Plantainweir {

Mailbox::Mailbox(QObject *owner)
    : m_receiver(new QObject,
                 [](QObject *receiver) {
                     receiver->deleteLater();
                 })
    , m_owner(owner)
{
}

void Mailbox::post(std::function<void()> function) const
{
    QMetaObject::invokeMethod(
        m_receiver.get(),
        [owner = m_owner, receiver = m_receiver, run = std::move(function)] {
            if (owner) {
                run();
            }
        },
        Qt::QueuedConnection);
}

}
