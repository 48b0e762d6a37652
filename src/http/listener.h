#pragma once

#include <QTcpServer>

#include <functional>

namespace Plantainweir {

/** Listens, and hands accepted connections out without a QTcpSocket around them. */
class Listener : public QTcpServer
{
public:
    /** Called with the descriptor of each connection; the receiver owns it. */
    std::function<void(qintptr)> onAccepted;

protected:
    void incomingConnection(qintptr descriptor) override
    {
        onAccepted(descriptor);
    }
};

}
