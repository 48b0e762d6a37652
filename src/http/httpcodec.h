#pragma once

#include "core/enumnames.h"
#include "http/httpmessage.h"

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

/** Encoding and decoding of HTTP/1.1 with Boost.Beast, independent of sockets. */
namespace Plantainweir {

/** Encodes @p request with Content-Length, except for a GET without a body, and with @p host as Host unless it has one. */
std::string encodeRequest(const HttpRequest &request, const std::string &host);

/** Encodes @p response with Content-Length, and without its body if @p isHead, as the answer to a HEAD request. */
std::string encodeResponse(const HttpResponse &response, bool keepAlive, bool isHead);

/** State of a message that is being received. */
enum class DecodeState {
    Incomplete, ///< More bytes are needed.
    Complete, ///< The whole message has been decoded.
    HeaderTooLarge,
    BodyTooLarge,
    Malformed,
};

constexpr std::array<EnumName<DecodeState>, 5> enumNames(DecodeState)
{
    return {{
        {DecodeState::Incomplete, "incomplete"},
        {DecodeState::Complete, "complete"},
        {DecodeState::HeaderTooLarge, "header_too_large"},
        {DecodeState::BodyTooLarge, "body_too_large"},
        {DecodeState::Malformed, "malformed"},
    }};
}
static_assert(isEnumTableOrdered<DecodeState>());

/** Decodes one request from the bytes of a connection. */
class HttpRequestDecoder
{
public:
    explicit HttpRequestDecoder(const HttpLimits &limits);
    ~HttpRequestDecoder();
    HttpRequestDecoder(const HttpRequestDecoder &) = delete;
    HttpRequestDecoder &operator=(const HttpRequestDecoder &) = delete;

    /** Consumes bytes from the front of @p buffer; bytes after a complete message stay in it. */
    DecodeState decode(std::string &buffer);
    /** Returns the approximate memory that the decoded part of the message takes. */
    std::size_t memoryBytes() const;
    bool isHeaderComplete() const;
    /** Returns the size of the body received so far. */
    std::size_t bodyBytes() const;
    /** Returns whether the sender wants to keep the connection open; valid when complete. */
    bool isKeepAlive() const;
    /** Returns whether the sender waits for "100 Continue" before it sends the body; false until the header is complete. */
    bool isContinueExpected() const;
    /** Moves the message out; valid when complete. */
    HttpRequest takeRequest();

private:
    class Private;
    std::unique_ptr<Private> d;
};

/** Decodes one response from the bytes of a connection; interim responses are skipped. */
class HttpResponseDecoder
{
public:
    /** @param isHead whether the response answers a HEAD request and so has no body. */
    HttpResponseDecoder(const HttpLimits &limits, bool isHead);
    ~HttpResponseDecoder();
    HttpResponseDecoder(const HttpResponseDecoder &) = delete;
    HttpResponseDecoder &operator=(const HttpResponseDecoder &) = delete;

    /** Consumes bytes from the front of @p buffer. */
    DecodeState decode(std::string &buffer);
    /** Handles an orderly close by the sender, which completes a response without a length. */
    DecodeState finish();
    /** Returns the size of the body received so far. */
    std::size_t bodyBytes() const;
    bool isKeepAlive() const;
    /** Returns the value of a field, or an empty view; valid when complete. */
    std::string_view field(std::string_view name) const;
    /** Returns the idle timeout that the server announced, if any; valid when complete. */
    std::optional<std::chrono::milliseconds> keepAliveTimeout() const;
    HttpResponse takeResponse();

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
