#include "fakes/brokenanswer.h"

#include <fmt/format.h>

namespace Plantainweir {
namespace {

constexpr auto CodedBody = "\x1f\x8b coded"; ///< What gzip writes begins with these two bytes.

std::string fieldLines(const HttpFields &fields)
{
    std::string lines;
    for (const HttpField &field : fields) {
        lines += field.name + ": " + field.value + "\r\n";
    }
    return lines;
}

std::string chunk(const std::string &bytes)
{
    return fmt::format("{:x}\r\n{}\r\n", bytes.size(), bytes);
}

std::string chunkedBody(const std::string &body)
{
    return chunk(body) + "0\r\n\r\n";
}

/** An answer with status 200, whose head consists of @p first, then @p fields, then @p last. */
std::string answerOf(const std::string &first, const HttpFields &fields, const std::string &last, const std::string &body)
{
    return "HTTP/1.1 200 OK\r\n" + first + fieldLines(fields) + last + "\r\n" + body;
}

}

std::vector<BrokenAnswer> allBrokenAnswers()
{
    std::vector<BrokenAnswer> kinds;
    for (const auto &row : enumNames(BrokenAnswer{})) {
        kinds.push_back(row.value);
    }
    return kinds;
}

RawAnswer soundAnswer(const HttpFields &fields, const std::string &body)
{
    return {.bytes = answerOf({}, fields, fmt::format("Content-Length: {}\r\n", body.size()), body)};
}

RawAnswer brokenAnswer(BrokenAnswer kind, const HttpFields &fields, const std::string &body)
{
    const std::string length = fmt::format("Content-Length: {}\r\n", body.size());
    const std::string chunked = "Transfer-Encoding: chunked\r\n";
    const std::string statusLine = "HTTP/1.1 200 OK\r\n";
    const std::string head = statusLine + length + fieldLines(fields);
    const auto withStatus = [&](const char *status) {
        return RawAnswer{.bytes = fmt::format("HTTP/1.1 {} OK\r\n", status) + fieldLines(fields) + length + "\r\n" + body};
    };
    const auto withLine = [&](const std::string &line) {
        return RawAnswer{.bytes = answerOf({}, fields, line + "\r\n" + length, body)};
    };
    const auto cut = [](const std::string &bytes) {
        return RawAnswer{.bytes = bytes, .isClosing = true};
    };
    switch (kind) {
    case BrokenAnswer::StatusShort:
        return withStatus("20");
    case BrokenAnswer::StatusLong:
        return withStatus("2000");
    case BrokenAnswer::StatusNoNumber:
        return withStatus("2x0");
    case BrokenAnswer::NameWithBlank:
        return withLine("X Note: a");
    case BrokenAnswer::NameBeforeBlank:
        return withLine("X-Note : a");
    case BrokenAnswer::NameBeforeTab:
        return withLine("X-Note\t: a");
    case BrokenAnswer::NameAfterBlank:
        return {.bytes = answerOf(" X-Note: a\r\n", fields, length, body)};
    case BrokenAnswer::NameWithControl:
        return withLine("X-\x01Note: a");
    case BrokenAnswer::NameWithNul:
        return withLine(std::string("X-\0Note: a", 10));
    case BrokenAnswer::NameEmpty:
        return withLine(": a");
    case BrokenAnswer::LengthNameBeforeBlank:
        return cut(answerOf({}, fields, "Content-Length : 1\r\n", body));
    case BrokenAnswer::CodingNameBeforeBlank:
        return cut(answerOf({}, fields, "Transfer-Encoding : chunked\r\n", chunkedBody(body)));
    case BrokenAnswer::LineWithoutColon:
        return withLine("X-Note");
    case BrokenAnswer::ValueWithControl:
        return withLine("X-Note: a\x01");
    case BrokenAnswer::LineEndsWithoutReturn:
        return {.bytes = answerOf({}, fields, "X-Note: a\n" + length, body)};
    case BrokenAnswer::HeadCutInStatus:
        return cut("HTTP/1.1 20");
    case BrokenAnswer::HeadCutAfterStatusLine:
        return cut(statusLine);
    case BrokenAnswer::HeadCutInName:
        return cut(statusLine + fieldLines(fields) + "Content-Len");
    case BrokenAnswer::HeadCutInValue:
        return cut(head + "X-Note: a");
    case BrokenAnswer::HeadCutAfterLine:
        return cut(head);
    case BrokenAnswer::HeadCutBeforeLastByte:
        return cut(head + "\r");
    case BrokenAnswer::BodyCut:
        return cut(answerOf({}, fields, length, body.substr(0, body.size() / 2)));
    case BrokenAnswer::ChunkCut:
        return cut(answerOf({}, fields, chunked, chunk(body).substr(0, body.size())));
    case BrokenAnswer::LastChunkMissing:
        return cut(answerOf({}, fields, chunked, chunk(body)));
    case BrokenAnswer::TrailerCut:
        return cut(answerOf({}, fields, chunked, chunk(body) + "0\r\nX-Note: a\r\n"));
    case BrokenAnswer::StatusZero:
        return withStatus("000");
    case BrokenAnswer::StatusBelowRange:
        return withStatus("099");
    case BrokenAnswer::StatusAboveRange:
        return withStatus("600");
    case BrokenAnswer::StatusLargest:
        return withStatus("999");
    case BrokenAnswer::ProtocolSwitched:
        return {.bytes = "HTTP/1.1 101 Switching Protocols\r\n\r\n" + answerOf({}, fields, length, body)};
    case BrokenAnswer::LineFolded:
        return withLine("X-Note: a\r\n X-Other: b");
    case BrokenAnswer::LineFoldedByTab:
        return withLine("X-Note: a\r\n\tX-Other: b");
    case BrokenAnswer::LengthFolded:
        return cut(answerOf({}, fields, "X-Note: a\r\n " + length, body.substr(0, body.size() / 2)));
    case BrokenAnswer::TrailerFolded:
        return {.bytes = answerOf({}, fields, chunked, chunk(body) + "0\r\nX-Note: a\r\n X-Other: b\r\n\r\n")};
    case BrokenAnswer::CodingUnknown:
        return cut(answerOf({}, fields, "Transfer-Encoding: gzip\r\n", CodedBody));
    case BrokenAnswer::CodingBeforeChunked:
        return {.bytes = answerOf({}, fields, "Transfer-Encoding: gzip, chunked\r\n", chunkedBody(CodedBody))};
    case BrokenAnswer::CodingBeforeChunkedInOwnLine:
        return {.bytes = answerOf({}, fields, "Transfer-Encoding: gzip\r\n" + chunked, chunkedBody(CodedBody))};
    case BrokenAnswer::CodingBesideLength:
        return {.bytes = answerOf({}, fields, "Transfer-Encoding: gzip\r\n" + length, std::string(body.size(), 'z'))};
    case BrokenAnswer::ChunkedTwice:
        return cut(answerOf({}, fields, "Transfer-Encoding: chunked, chunked\r\n", chunkedBody(chunkedBody(body))));
    case BrokenAnswer::ChunkedInOldVersion:
        return cut("HTTP/1.0 200 OK\r\n" + fieldLines(fields) + chunked + "\r\n" + chunkedBody(body));
    }
    return {};
}

}
