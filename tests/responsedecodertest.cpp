#include "http/httpcodec.h"

#include <gtest/gtest.h>

#include <malloc.h>

#include <utility>
#include <vector>

namespace Plantainweir {
namespace {

/** Returns the state of a decoder after a connection that delivers @p bytes and is then closed in an orderly way. */
DecodeState finishAfter(std::string bytes)
{
    HttpResponseDecoder decoder(HttpLimits{}, false);
    if (!bytes.empty()) {
        const DecodeState state = decoder.decode(bytes);
        if (state != DecodeState::Incomplete) {
            return state;
        }
    }
    return decoder.finish();
}

TEST(HttpResponseDecoder, IsNotCompleteBeforeItsHeaderIs)
{
    EXPECT_EQ(finishAfter(""), DecodeState::Malformed);
    EXPECT_EQ(finishAfter("HTT"), DecodeState::Malformed);
    EXPECT_EQ(finishAfter("HTTP/1.1 200 OK\r\n"), DecodeState::Malformed);
    EXPECT_EQ(finishAfter("HTTP/1.1 200 OK\r\nContent-Le"), DecodeState::Malformed);
    EXPECT_EQ(finishAfter("HTTP/1.1 100 Continue\r\n\r\n"), DecodeState::Malformed);
}

TEST(HttpResponseDecoder, IsNotCompleteBeforeItsAnnouncedBodyIs)
{
    EXPECT_EQ(finishAfter("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabc"), DecodeState::Malformed);
    EXPECT_EQ(finishAfter("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n"), DecodeState::Malformed);
}

TEST(HttpResponseDecoder, CompletesABodyWithoutLengthAtTheEndOfTheConnection)
{
    EXPECT_EQ(finishAfter("HTTP/1.1 200 OK\r\n\r\nabc"), DecodeState::Complete);
}

/** Feeds @p part again and again, without end; returns the state with which the decoder gives up, and the bytes it kept. */
std::pair<DecodeState, std::size_t> decodeWithoutEnd(std::string start, const std::string &part, std::size_t parts)
{
    HttpLimits limits;
    limits.bodyBytes = 1024 * 1024;
    HttpResponseDecoder decoder(limits, false);
    std::string buffer = std::move(start);
    DecodeState state = decoder.decode(buffer);
    for (std::size_t index = 0; index < parts && state == DecodeState::Incomplete; ++index) {
        buffer += part;
        state = decoder.decode(buffer);
    }
    return {state, buffer.size() + decoder.bodyBytes()};
}

TEST(HttpResponseDecoder, GivesUpOnBytesWithoutEnd)
{
    const std::string kilobyte(1024, 'x');
    const std::string chunkedHeader = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::vector<std::pair<std::string, std::string>> streams{
        {"", kilobyte}, // No answer at all.
        {"HTTP/1.1 200 OK\r\n", "X-Field: " + kilobyte + "\r\n"}, // A header without end.
        {"HTTP/1.1 200 OK\r\nX-Field: ", kilobyte}, // A field without end.
        {"HTTP/1.1 200 OK\r\n\r\n", kilobyte}, // A body without length.
        {chunkedHeader, "400\r\n" + kilobyte + "\r\n"}, // Chunks without end.
        {chunkedHeader + "4;", kilobyte}, // A chunk extension without end.
        {chunkedHeader, "00000000"}, // A chunk size without end.
        {chunkedHeader + "0\r\n", "X-Trailer: " + kilobyte + "\r\n"}, // A trailer without end.
        {"", "HTTP/1.1 100 Continue\r\n\r\n"}, // Interim responses without end.
    };
    for (const auto &[start, part] : streams) {
        SCOPED_TRACE(start + part.substr(0, 40));
        const auto [state, bytes] = decodeWithoutEnd(start, part, 100'000);
        EXPECT_NE(state, DecodeState::Incomplete);
        EXPECT_NE(state, DecodeState::Complete);
        EXPECT_LE(bytes, 1024U * 1024U + 64U * 1024U);
    }
}

// Guards against buffers of up to twice the size of what they hold.
TEST(HttpResponseDecoder, ABodyTakesLittleMoreMemoryThanItsBytes)
{
    const auto allocatedBytes = [] {
        const struct mallinfo2 info = ::mallinfo2();
        return info.uordblks + info.hblkhd;
    };
    // Just below a segment, so that its rest takes the beginning of the next chunk.
    constexpr std::size_t ChunkBytes = 60'000;
    constexpr std::size_t ChunkCount = 100;
    const std::string chunk = "ea60\r\n" + std::string(ChunkBytes, 'x') + "\r\n";
    HttpResponseDecoder decoder(HttpLimits{.bodyBytes = 2 * ChunkCount * ChunkBytes}, false);
    std::string bytes = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    EXPECT_EQ(decoder.decode(bytes), DecodeState::Incomplete);
    const std::size_t before = allocatedBytes();
    for (std::size_t index = 0; index < ChunkCount; ++index) {
        bytes += chunk;
        EXPECT_EQ(decoder.decode(bytes), DecodeState::Incomplete);
    }
    EXPECT_EQ(decoder.bodyBytes(), ChunkCount * ChunkBytes);
    EXPECT_LT(allocatedBytes() - before, ChunkCount * ChunkBytes * 5 / 4);
}

}
}
