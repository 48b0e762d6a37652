#include "fakes/peercrowd.h"

#include "rpc/membershipmessages.h"

#include <string_view>

namespace Plantainweir {
namespace {

/** Frames of HTTP/2 (RFC 9113, section 6). */
enum class FrameType : std::uint8_t {
    Data = 0,
    Headers = 1,
    Settings = 4,
    Continuation = 9,
};

constexpr std::uint8_t EndStream = 0x1;
constexpr std::uint8_t EndHeaders = 0x4;
constexpr std::size_t FrameBytes = 16 * 1024; ///< Largest payload that a server must accept.
constexpr std::uint32_t FirstStream = 1;
constexpr std::uint32_t StreamStep = 2;
constexpr std::size_t MessageBytes = 1024 * 1024;
constexpr std::size_t ShortFields = 150; ///< Below the 8 KiB that a server accepts by default, at 32 bytes more than the text for each.
constexpr std::string_view ComparePath = "/plantainweir.membership.v1.Exchange/CompareMembers";
constexpr std::string_view PullPath = "/plantainweir.membership.v1.Exchange/Pull";
constexpr std::string_view Preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

std::string bigEndian(std::size_t value, std::size_t bytes)
{
    std::string encoded;
    for (std::size_t byte = bytes; byte > 0; --byte) {
        encoded += static_cast<char>((value >> (8 * (byte - 1))) & 0xff);
    }
    return encoded;
}

std::string frame(FrameType type, std::uint8_t flags, std::uint32_t stream, const std::string &payload)
{
    return bigEndian(payload.size(), 3) + static_cast<char>(type) + static_cast<char>(flags) + bigEndian(stream, 4) + payload;
}

/** Encodes a field as a literal without indexing (RFC 7541, section 6.2.2); name and value are shorter than 127 bytes. */
std::string field(std::string_view name, std::string_view value)
{
    std::string encoded(1, '\0');
    for (const std::string_view text : {name, value}) {
        encoded += static_cast<char>(text.size());
        encoded += text;
    }
    return encoded;
}

std::string header(std::size_t shortFields, std::string_view path = ComparePath)
{
    std::string encoded = field(":method", "POST") + field(":scheme", "http") + field(":path", path) + field(":authority", "peer")
                          + field("content-type", "application/grpc") + field("te", "trailers");
    for (std::size_t index = 0; index < shortFields; ++index) {
        encoded += field("a", "b");
    }
    return encoded;
}

std::string connectionStart()
{
    return std::string(Preface) + frame(FrameType::Settings, 0, 0, {});
}

/** Returns a message with its prefix (compression flag and length) in frames, without the last @p missing bytes. */
std::string messageFrames(std::uint32_t stream, const std::string &message, std::size_t missing)
{
    std::string bytes = bigEndian(0, 1) + bigEndian(message.size(), 4) + message;
    bytes.resize(bytes.size() - missing);
    std::string frames;
    for (std::size_t start = 0; start < bytes.size(); start += FrameBytes) {
        const bool isLast = start + FrameBytes >= bytes.size();
        frames += frame(FrameType::Data, isLast && missing == 0 ? EndStream : 0, stream, bytes.substr(start, FrameBytes));
    }
    return frames;
}

std::string openCall(std::uint32_t stream, const std::string &header)
{
    return frame(FrameType::Headers, EndHeaders, stream, header);
}

std::string completeCall(std::uint32_t stream)
{
    return openCall(stream, header(0)) + messageFrames(stream, toMessage(BucketDigests{}).SerializeAsString(), 0);
}

std::string completePull(std::uint32_t stream)
{
    MembershipProtocol::PullRequest request;
    request.add_keys("upstream/x");
    return openCall(stream, header(0, PullPath)) + messageFrames(stream, request.SerializeAsString(), 0);
}

/** Returns @p calls calls in one text, since each has a stream of its own. */
template<typename Call>
std::string callsAhead(std::size_t calls, Call call)
{
    std::string bytes = connectionStart();
    for (std::size_t index = 0; index < calls; ++index) {
        bytes += call(FirstStream + static_cast<std::uint32_t>(index) * StreamStep);
    }
    return bytes;
}

}

CrowdPlan peerCrowdPlan(PeerCrowdKind kind)
{
    const std::string message(MessageBytes, 'x');
    switch (kind) {
    case PeerCrowdKind::WholeMessage:
        return {.start = connectionStart() + openCall(FirstStream, header(0)) + messageFrames(FirstStream, message, 1),
                .pieceBytes = FrameBytes,
                .piecesPerTurn = 1};
    case PeerCrowdKind::UnfinishedHeader:
        return {.start = connectionStart() + frame(FrameType::Headers, 0, FirstStream, header(ShortFields)),
                .repeated = frame(FrameType::Continuation, 0, FirstStream, header(ShortFields)),
                .repetitions = 400};
    case PeerCrowdKind::OpenCalls:
        return {.start = callsAhead(200, [](std::uint32_t stream) {
                    return openCall(stream, header(ShortFields));
                })};
    case PeerCrowdKind::CallsAhead:
        return {.start = callsAhead(400, completeCall), .reading = CrowdReading::Nothing};
    case PeerCrowdKind::PullsAhead:
        return {.start = callsAhead(400, completePull), .reading = CrowdReading::Nothing};
    case PeerCrowdKind::SlowSender:
        return {.start = connectionStart() + completeCall(FirstStream), .pieceBytes = 1, .piecesPerTurn = 1};
    case PeerCrowdKind::HalfCall:
        return {.start = connectionStart() + openCall(FirstStream, header(0)) + messageFrames(FirstStream, message, message.size() / 2),
                .pieceBytes = FrameBytes,
                .piecesPerTurn = 1,
                .rounds = 4};
    case PeerCrowdKind::OtherProtocol:
        return crowdPlan(CrowdKind::WholeBody, "peer", "/");
    case PeerCrowdKind::Idle:
        return {};
    }
    return {};
}

}
