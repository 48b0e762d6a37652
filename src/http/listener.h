#pragma once

#include <QTcpServer>

#include <functional>

namespace Plantainweir {

/** A QTcpServer that passes on the descriptors of accepted connections and creates no QTcpSocket for them. */
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
