#pragma once

#include "core/endpoint.h"
#include "core/enumnames.h"

#include <QObject>

#include <cstddef>
#include <memory>
#include <string>

/** Clients that do not behave, for tests of a server's memory and descriptors. */
namespace Plantainweir {

/** What all clients of a crowd do. Unless stated otherwise, they send it once, read all answers and keep their connections open. */
enum class CrowdKind {
    WholeBody, ///< A body of legal size up to its last byte.
    BodyInPieces, ///< The same in small pieces.
    BodyInChunks, ///< The same in chunks.
    BodyInTinyChunks, ///< A body in chunks of one byte, without its end.
    AnnouncedBodyTooLarge, ///< A body of which the announced length is far over the limit.
    ChunkedBodyTooLarge, ///< The same in chunks.
    UnfinishedHeader, ///< A header of many short fields, without its end.
    HeadersAhead, ///< Many complete requests with many short fields, without reading.
    RequestsAhead, ///< Hundreds of small requests, without reading.
    SlowSender, ///< A request in pieces of one byte, with pauses.
    SlowReader, ///< Many requests, whose answers are read in pieces of one byte, with pauses.
    HalfRequest, ///< Half of a request; the connection closes and the client starts again.
    Idle, ///< Nothing, on more connections than the server may have descriptors.
};

constexpr std::array<EnumName<CrowdKind>, 13> enumNames(CrowdKind)
{
    return {{
        {CrowdKind::WholeBody, "whole-body"},
        {CrowdKind::BodyInPieces, "body-in-pieces"},
        {CrowdKind::BodyInChunks, "body-in-chunks"},
        {CrowdKind::BodyInTinyChunks, "body-in-tiny-chunks"},
        {CrowdKind::AnnouncedBodyTooLarge, "announced-body-too-large"},
        {CrowdKind::ChunkedBodyTooLarge, "chunked-body-too-large"},
        {CrowdKind::UnfinishedHeader, "unfinished-header"},
        {CrowdKind::HeadersAhead, "headers-ahead"},
        {CrowdKind::RequestsAhead, "requests-ahead"},
        {CrowdKind::SlowSender, "slow-sender"},
        {CrowdKind::SlowReader, "slow-reader"},
        {CrowdKind::HalfRequest, "half-request"},
        {CrowdKind::Idle, "idle"},
    }};
}
static_assert(isEnumTableOrdered<CrowdKind>());

enum class CrowdReading {
    All,
    Slow, ///< One byte in each turn.
    Nothing,
};

/** The bytes that each client of a crowd sends, and how. */
struct CrowdPlan {
    std::string start; ///< Sent once.
    std::string repeated; ///< Sent after the start, `repetitions` times.
    std::size_t repetitions = 0;
    std::size_t pieceBytes = 64 * 1024; ///< Largest number of bytes in one write.
    std::size_t piecesPerTurn = 4; ///< Turns are some milliseconds apart.
    CrowdReading reading = CrowdReading::All;
    std::size_t rounds = 1; ///< How often a client connects and sends everything; it closes its connection before the next round.
};

/** Returns what a client of @p kind sends to the path @p target of @p host. */
CrowdPlan crowdPlan(CrowdKind kind, const std::string &host, const std::string &target);

/** Task that opens connections to one server and follows a plan on each. */
class Crowd : public QObject
{
    Q_OBJECT

public:
    Crowd(const Endpoint &server, const CrowdPlan &plan, std::size_t connections, QObject *parent = nullptr);
    /** Closes all connections. */
    ~Crowd() override;

    /** Returns whether no client has sent or received a byte for some time. */
    bool isSettled() const;
    /** Returns the number of connections that the server has not closed. */
    std::size_t openConnections() const;
    /** Returns the number of bytes that the server's system has taken. */
    std::size_t sentBytes() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
