#include "fakes/brokenanswer.h"
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

/** Returns the state of a decoder after a connection that delivers @p bytes one by one and is then closed in an orderly way. */
DecodeState finishAfterEachByte(const std::string &bytes)
{
    HttpResponseDecoder decoder(HttpLimits{}, false);
    std::string buffer;
    for (const char byte : bytes) {
        buffer += byte;
        const DecodeState state = decoder.decode(buffer);
        if (state != DecodeState::Incomplete) {
            return state;
        }
    }
    return decoder.finish();
}

TEST(HttpResponseDecoder, RejectsBrokenAnswers)
{
    const HttpFields fields{{"X-Field", "value"}};
    const RawAnswer sound = soundAnswer(fields, "twelve bytes");
    EXPECT_EQ(finishAfter(sound.bytes), DecodeState::Complete);
    EXPECT_EQ(finishAfterEachByte(sound.bytes), DecodeState::Complete);
    for (const BrokenAnswer kind : allBrokenAnswers()) {
        SCOPED_TRACE(nameOf(kind));
        const RawAnswer broken = brokenAnswer(kind, fields, "twelve bytes");
        EXPECT_EQ(finishAfter(broken.bytes), DecodeState::Malformed);
        EXPECT_EQ(finishAfterEachByte(broken.bytes), DecodeState::Malformed);
        EXPECT_EQ(finishAfter("HTTP/1.1 102 Processing\r\n\r\n" + broken.bytes), DecodeState::Malformed);
    }
}

TEST(HttpResponseDecoder, RejectsEachAnswerThatIsCut)
{
    const std::string whole = soundAnswer({{"X-Field", "value"}}, "twelve bytes").bytes;
    for (std::size_t size = 0; size < whole.size(); ++size) {
        EXPECT_EQ(finishAfter(whole.substr(0, size)), DecodeState::Malformed) << size;
        EXPECT_EQ(finishAfterEachByte(whole.substr(0, size)), DecodeState::Malformed) << size;
    }
}

TEST(HttpResponseDecoder, AcceptsEachStatusOfAnAnswer)
{
    for (int status = 200; status < 600; ++status) {
        const std::string head = "HTTP/1.1 " + std::to_string(status) + " Reason\r\nContent-Length: 0\r\n\r\n";
        EXPECT_EQ(finishAfter(head), DecodeState::Complete) << status;
    }
}

TEST(HttpResponseDecoder, SkipsInterimResponses)
{
    for (const char *status : {"100", "102", "103", "199"}) {
        std::string bytes = "HTTP/1.1 " + std::string(status) + " Interim\r\nLink: </a>\r\n\r\n" + soundAnswer({}, "whole").bytes;
        HttpResponseDecoder decoder(HttpLimits{}, false);
        EXPECT_EQ(decoder.decode(bytes), DecodeState::Complete) << status;
        EXPECT_EQ(decoder.takeResponse().body, "whole") << status;
    }
}

TEST(HttpResponseDecoder, AcceptsChunkedBodies)
{
    // Lines of the body that begin with a blank continue nothing.
    const std::string chunks = "a\r\n12345678\r\n\r\n4\r\n b\r\n\r\n3;x=y\r\n c \r\n0\r\nX-Trailer: a\r\n\r\n";
    for (const char *coding : {"chunked", "Chunked", " chunked "}) {
        std::string bytes = "HTTP/1.1 200 OK\r\nTransfer-Encoding: " + std::string(coding) + "\r\n\r\n" + chunks;
        EXPECT_EQ(finishAfterEachByte(bytes), DecodeState::Complete) << coding;
        HttpResponseDecoder decoder(HttpLimits{}, false);
        EXPECT_EQ(decoder.decode(bytes), DecodeState::Complete) << coding;
        EXPECT_EQ(decoder.takeResponse().body, "12345678\r\n b\r\n c ") << coding;
    }
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
