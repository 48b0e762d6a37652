#pragma once

#include "core/endpoint.h"
#include "core/enumnames.h"

#include <QObject>

#include <memory>
#include <string>
#include <string_view>

namespace Plantainweir {

/** How a connection ended. */
enum class StreamEnd {
    Finished, ///< The peer closed in an orderly way; all it sent has been received.
    Broken, ///< Reset, timed out or never opened; bytes may be missing.
};

constexpr std::array<EnumName<StreamEnd>, 2> enumNames(StreamEnd)
{
    return {{
        {StreamEnd::Finished, "finished"},
        {StreamEnd::Broken, "broken"},
    }};
}
static_assert(isEnumTableOrdered<StreamEnd>());

/**
 * One TCP connection, driven by the event loop.
 *
 * QTcpSocket reports a reset as the orderly end of the stream, so that an answer without a length which breaks off would
 * look whole; this class tells them apart. It also says whether any byte has left, on which promises to callers rest,
 * and notices a peer that has fallen silent by keep-alive probes.
 */
class TcpStream : public QObject
{
    Q_OBJECT

public:
    explicit TcpStream(QObject *parent = nullptr);
    /** Closes the connection at once. */
    ~TcpStream() override;

    /** Starts to connect; connected() or ended() follows, never from within this call. */
    void connectTo(const Endpoint &endpoint);
    /** Takes over the accepted connection @p descriptor. */
    void adoptSocket(qintptr descriptor);

    /** Sends @p bytes, or keeps them until the peer takes them. */
    void write(std::string_view bytes);
    /** Closes the sending side once all bytes have been sent. */
    void finishWriting();
    /** While paused nothing is received; the end of the stream is not noticed either. */
    void setReadingPaused(bool isPaused);

    /** Closes at once; ended() does not follow. */
    void close();

    bool isOpen() const;
    /** Returns whether at least one byte was handed to the network. */
    bool hasSentBytes() const;
    /** Returns how many written bytes still wait. */
    std::size_t unsentBytes() const;

Q_SIGNALS:
    void connected();
    void received(const std::string &bytes);
    /** No signal follows; comes at most once. */
    void ended(Plantainweir::StreamEnd end);

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
