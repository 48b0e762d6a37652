#pragma once

#include "http/httpmessage.h"

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

/** Encoding and decoding of HTTP/1.1, by Boost.Beast; no sockets in here. */
namespace Plantainweir {

/** Returns the bytes of @p request with Content-Length set, and Host unless it has one. */
std::string encodeRequest(const HttpRequest &request, const std::string &host);

/** Returns the bytes of @p response with Content-Length set. */
std::string encodeResponse(const HttpResponse &response, bool keepAlive);

/** State of a message that is being received. */
enum class DecodeState {
    Incomplete, ///< More bytes are needed.
    Complete, ///< The whole message is there.
    HeaderTooLarge,
    BodyTooLarge,
    Malformed,
};

/** Decodes one request from the bytes of a connection. */
class HttpRequestDecoder
{
public:
    explicit HttpRequestDecoder(const HttpLimits &limits);
    ~HttpRequestDecoder();
    HttpRequestDecoder(const HttpRequestDecoder &) = delete;
    HttpRequestDecoder &operator=(const HttpRequestDecoder &) = delete;

    /** Consumes bytes from the front of @p buffer; bytes after a complete message stay there. */
    DecodeState decode(std::string &buffer);
    /** Returns whether the sender wants to keep the connection; valid when complete. */
    bool isKeepAlive() const;
    /** Returns whether the sender waits for "100 Continue" before it sends the body; valid once the header is there. */
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
    /** Tells that the sender closed in an orderly way, which completes a response without a length. */
    DecodeState finish();
    bool isKeepAlive() const;
    /** Returns the value of a field, or an empty view; valid when complete. */
    std::string_view field(std::string_view name) const;
    /** Returns how long the server keeps an idle connection, if it says so; valid when complete. */
    std::optional<std::chrono::milliseconds> keepAliveTimeout() const;
    HttpResponse takeResponse();

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
