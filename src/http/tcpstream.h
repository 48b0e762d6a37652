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
    Finished, ///< The peer closed in an orderly way; all bytes that it sent have been received.
    Broken, ///< The connection was reset, timed out or never opened; bytes may be missing.
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
 * QTcpSocket reports a reset as an orderly end of the stream, so that a truncated response without a length would look
 * complete; this class distinguishes the two. It also reports whether any byte was sent, because a request of which no byte
 * was sent has certainly not run. It detects an unresponsive peer with TCP keep-alive probes.
 */
class TcpStream : public QObject
{
    Q_OBJECT

public:
    explicit TcpStream(QObject *parent = nullptr);
    /** Closes the connection at once. */
    ~TcpStream() override;

    /** Starts to connect; connected() or ended() is emitted after this function has returned. */
    void connectTo(const Endpoint &endpoint);
    /** Takes ownership of the accepted connection @p descriptor. */
    void adoptSocket(qintptr descriptor);

    /** Sends @p bytes, and buffers those that the socket does not accept yet. */
    void write(std::string bytes);
    /** Shuts down the sending side once all bytes have been sent. */
    void finishWriting();
    /** Pauses or resumes reading; while reading is paused, the end of the stream is not detected. */
    void setReadingPaused(bool isPaused);
    /** Reads the bytes that have arrived already, without waiting for the event loop; emits the same signals. */
    void readArrived();

    /** Closes the connection at once; ended() is not emitted. */
    void close();

    bool isOpen() const;
    /** Returns whether the socket has accepted at least one byte. */
    bool hasSentBytes() const;
    /** Returns the number of written bytes that the socket has not accepted yet. */
    std::size_t unsentBytes() const;

    /** Returns the number of written bytes that the peer has not acknowledged, those that the socket has not accepted included. */
    std::size_t unacknowledgedBytes() const;

    /** Returns the number of bytes that the system has received and that have not been read. */
    std::size_t waitingBytes() const;

Q_SIGNALS:
    void connected();
    void received(const std::string &bytes);
    /** The socket has accepted bytes that it could not accept at first; none are left. */
    void sent();
    /** Emitted at most once, as the last signal. */
    void ended(Plantainweir::StreamEnd end);

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
