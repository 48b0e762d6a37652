#include "http/httpcodec.h"

#include <gtest/gtest.h>

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

}
}
