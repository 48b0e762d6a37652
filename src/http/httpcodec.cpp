#include "http/httpcodec.h"

#include "core/message.h"
#include "core/parsenumber.h"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <iterator>
#include <optional>
#include <utility>
#include <vector>

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace Plantainweir {
namespace {

/** More interim responses before the final one are malformed. */
constexpr int MaximumInterimResponses = 16;

/** Returns whether @p field describes one connection and is never forwarded (RFC 9110, section 7.6.1). */
bool isConnectionField(http::field field)
{
    switch (field) {
    case http::field::connection:
    case http::field::content_length:
    case http::field::keep_alive:
    case http::field::proxy_connection:
    case http::field::te:
    case http::field::trailer:
    case http::field::transfer_encoding:
    case http::field::upgrade:
    case http::field::expect:
        return true;
    default:
        return false;
    }
}

/** Returns the approximate memory of the header of @p message: a field is an allocation of its own. */
template<typename Message>
std::size_t headerMemory(const Message &message)
{
    constexpr std::size_t FieldOverhead = 96;
    std::size_t bytes = message.target().size();
    for (const auto &field : message) {
        bytes += FieldOverhead + field.name_string().size() + field.value().size();
    }
    return bytes;
}

template<typename Message>
HttpFields takeFields(const Message &message)
{
    HttpFields fields;
    fields.reserve(static_cast<std::size_t>(std::distance(message.begin(), message.end())));
    http::token_list connectionOptions(message[http::field::connection]);
    for (const auto &field : message) {
        if (!isConnectionField(field.name()) && !connectionOptions.exists(field.name_string())) {
            fields.push_back({.name = std::string(field.name_string()), .value = std::string(field.value())});
        }
    }
    return fields;
}

template<typename Message>
void insertFields(Message &message, const HttpFields &fields)
{
    for (const HttpField &field : fields) {
        if (!isConnectionField(http::string_to_field(field.name))) {
            message.insert(field.name, field.value);
        }
    }
}

template<bool IsRequest>
std::string serialize(http::message<IsRequest, http::string_body> &message)
{
    std::string bytes;
    http::serializer<IsRequest, http::string_body> serializer(message);
    beast::error_code error;
    while (!serializer.is_done()) {
        serializer.next(error, [&](beast::error_code &nextError, const auto &buffers) {
            nextError = {};
            bytes.append(beast::buffers_to_string(buffers));
            serializer.consume(beast::buffer_bytes(buffers));
        });
        if (error) {
            break;
        }
    }
    return bytes;
}

DecodeState decodeStateOf(const beast::error_code &error)
{
    if (error == http::error::header_limit) {
        return DecodeState::HeaderTooLarge;
    }
    if (error == http::error::body_limit) {
        return DecodeState::BodyTooLarge;
    }
    return DecodeState::Malformed;
}

/**
 * A body while it is received, in segments. A string that grows to the same size doubles its memory, and needs half as much
 * again while it is copied.
 */
struct BodySegments {
    static constexpr std::size_t SegmentBytes = 64 * 1024;

    void append(const char *bytes, std::size_t count)
    {
        while (count > 0) {
            if (segments.empty()) {
                segments.emplace_back();
            } else if (segments.back().size() >= SegmentBytes) {
                // A short body does not need a whole segment, but a segment that grows would take up to twice its size.
                segments.emplace_back().reserve(SegmentBytes);
            }
            const std::size_t taken = std::min(count, SegmentBytes - segments.back().size());
            segments.back().append(bytes, taken);
            bytes += taken;
            count -= taken;
            size += taken;
        }
    }

    /** Moves the body out as one string, and frees each segment as soon as it has been copied. */
    std::string takeText()
    {
        if (segments.size() == 1) {
            return std::move(segments.front());
        }
        std::string text;
        text.reserve(size);
        for (std::string &segment : segments) {
            text += std::exchange(segment, {});
        }
        return text;
    }

    std::vector<std::string> segments;
    std::size_t size = 0;
};

/** Body type for the parsers of Beast (its named requirements Body and BodyReader). */
struct SegmentedBody {
    using value_type = BodySegments;

    // NOLINTNEXTLINE(readability-identifier-naming): Beast looks for this name.
    class reader
    {
    public:
        template<bool IsRequest, typename Fields>
        reader(http::header<IsRequest, Fields> &, value_type &body)
            : m_body(body)
        {
        }

        void init(const boost::optional<std::uint64_t> &, beast::error_code &error)
        {
            error = {};
        }

        template<typename Buffers>
        std::size_t put(const Buffers &buffers, beast::error_code &error)
        {
            error = {};
            for (auto buffer = boost::asio::buffer_sequence_begin(buffers); buffer != boost::asio::buffer_sequence_end(buffers); ++buffer) {
                const boost::asio::const_buffer bytes(*buffer);
                m_body.append(static_cast<const char *>(bytes.data()), bytes.size());
            }
            return beast::buffer_bytes(buffers);
        }

        void finish(beast::error_code &error)
        {
            error = {};
        }

    private:
        value_type &m_body;
    };
};

/**
 * Returns whether @p status is that of an interim response, which the answer follows (RFC 9110, section 15.2). After 101 the
 * server speaks another protocol, for which no request asks.
 */
bool isInterimStatus(int status)
{
    constexpr int SwitchingProtocols = 101;
    return status >= 100 && status < 200 && status != SwitchingProtocols;
}

/** Returns whether the body is sent in no transfer coding or in chunks only, the one that is decoded (RFC 9112, section 6.1). */
template<typename Header>
bool isTransferCodingUnderstood(const Header &header)
{
    constexpr unsigned Version11 = 11; // Older versions have no transfer codings.
    const auto [first, last] = header.equal_range(http::field::transfer_encoding);
    if (first == last) {
        return true;
    }
    return header.version() == Version11 && std::next(first) == last && beast::iequals(first->value(), "chunked");
}

/** What to do with a line of a header or trailer that continues the one before (RFC 9112, section 5.2). */
enum class FoldedLines {
    Join,
    Reject,
};

bool hasFoldedLine(std::string_view lines)
{
    return lines.find("\r\n ") != std::string_view::npos || lines.find("\r\n\t") != std::string_view::npos;
}

/** Parses and consumes @p buffer until the message is complete or more bytes are needed. */
template<typename Parser>
DecodeState parseBytes(Parser &parser, std::string &buffer, const HttpLimits &limits, FoldedLines foldedLines)
{
    std::size_t consumed = 0;
    beast::error_code error;
    while (!parser.is_done() && consumed < buffer.size()) {
        const std::size_t bodyBytes = parser.get().body().size;
        const std::size_t count = parser.put(boost::asio::buffer(buffer.data() + consumed, buffer.size() - consumed), error);
        const bool isBody = parser.get().body().size != bodyBytes;
        // Beast has joined the lines by now, and the values of the fields do not show it.
        if (foldedLines == FoldedLines::Reject && !isBody && hasFoldedLine(std::string_view(buffer).substr(consumed, count))) {
            return DecodeState::Malformed;
        }
        consumed += count;
        if (error == http::error::need_more) {
            break;
        }
        if (error) {
            return decodeStateOf(error);
        }
    }
    buffer.erase(0, consumed);
    if (parser.is_done()) {
        return DecodeState::Complete;
    }
    // Beast does not consume an incomplete header of the message or of a chunk, so the buffer has its size so far.
    if (buffer.size() > limits.headerBytes) {
        return DecodeState::HeaderTooLarge;
    }
    return DecodeState::Incomplete;
}

template<typename Parser>
void applyLimits(Parser &parser, const HttpLimits &limits)
{
    parser.eager(true);
    parser.header_limit(static_cast<std::uint32_t>(limits.headerBytes));
    parser.body_limit(limits.bodyBytes);
}

}

std::string encodeRequest(const HttpRequest &request, const std::string &host)
{
    http::request<http::string_body> message;
    message.method_string(request.method);
    message.target(request.target);
    message.version(11);
    insertFields(message, request.fields);
    if (message.find(http::field::host) == message.end()) {
        message.set(http::field::host, host);
    }
    message.body() = request.body;
    if (!request.body.empty() || message.method() != http::verb::get) {
        message.content_length(request.body.size());
    }
    return serialize(message);
}

std::string encodeResponse(const HttpResponse &response, bool keepAlive, bool isHead)
{
    http::response<http::string_body> message;
    message.result(static_cast<unsigned>(response.status));
    message.version(11);
    insertFields(message, response.fields);
    message.keep_alive(keepAlive);
    message.content_length(response.body.size());
    if (!isHead) {
        message.body() = response.body;
    }
    return serialize(message);
}

class HttpRequestDecoder::Private
{
public:
    explicit Private(const HttpLimits &limits)
        : m_limits(limits)
    {
        applyLimits(m_parser, limits);
    }

    HttpLimits m_limits;
    http::request_parser<SegmentedBody> m_parser;
    std::size_t m_headerBytes = 0; ///< Memory of the fields that have been decoded.
    bool m_isHeaderCounted = false; ///< Whether m_headerBytes is final.
};

HttpRequestDecoder::HttpRequestDecoder(const HttpLimits &limits)
    : d(std::make_unique<Private>(limits))
{
}

HttpRequestDecoder::~HttpRequestDecoder() = default;

DecodeState HttpRequestDecoder::decode(std::string &buffer)
{
    const DecodeState state = parseBytes(d->m_parser, buffer, d->m_limits, FoldedLines::Join);
    // Beast stores the fields of an incomplete header as they arrive.
    if (!d->m_isHeaderCounted) {
        d->m_headerBytes = headerMemory(d->m_parser.get());
        d->m_isHeaderCounted = d->m_parser.is_header_done();
    }
    return state;
}

bool HttpRequestDecoder::isHeaderComplete() const
{
    return d->m_parser.is_header_done();
}

std::size_t HttpRequestDecoder::bodyBytes() const
{
    return d->m_parser.get().body().size;
}

std::size_t HttpRequestDecoder::memoryBytes() const
{
    return d->m_headerBytes + d->m_parser.get().body().size;
}

bool HttpRequestDecoder::isKeepAlive() const
{
    return d->m_parser.get().keep_alive();
}

bool HttpRequestDecoder::isContinueExpected() const
{
    return d->m_parser.is_header_done() && beast::iequals(d->m_parser.get()[http::field::expect], "100-continue");
}

HttpRequest HttpRequestDecoder::takeRequest()
{
    auto &message = d->m_parser.get();
    return {
        .method = std::string(message.method_string()),
        .target = std::string(message.target()),
        .fields = takeFields(message),
        .body = message.body().takeText(),
    };
}

class HttpResponseDecoder::Private
{
public:
    Private(const HttpLimits &limits, bool isHead)
        : m_limits(limits)
        , m_isHead(isHead)
    {
        restart();
    }

    void restart()
    {
        m_parser.emplace();
        applyLimits(*m_parser, m_limits);
        // An eager parser takes the header and the body in one step, and lines of the body may begin with a blank.
        m_parser->eager(false);
        m_parser->skip(m_isHead);
    }

    DecodeState parse(std::string &buffer)
    {
        const DecodeState state = parseBytes(*m_parser, buffer, m_limits, FoldedLines::Reject);
        return m_parser->is_header_done() && !isHeaderUnderstood() ? DecodeState::Malformed : state;
    }

    /**
     * Returns whether the header is that of an answer or of an interim response, with a body that can be decoded. Beast takes
     * any three digits for a status, and leaves transfer codings other than chunks in the body.
     */
    bool isHeaderUnderstood() const
    {
        return (isInterimStatus(status()) || isAnswerStatus(status())) && isTransferCodingUnderstood(m_parser->get());
    }

    int status() const
    {
        return static_cast<int>(m_parser->get().result_int());
    }

    HttpLimits m_limits;
    bool m_isHead;
    int m_interimResponses = 0;
    std::optional<http::response_parser<SegmentedBody>> m_parser;
};

HttpResponseDecoder::HttpResponseDecoder(const HttpLimits &limits, bool isHead)
    : d(std::make_unique<Private>(limits, isHead))
{
}

HttpResponseDecoder::~HttpResponseDecoder() = default;

DecodeState HttpResponseDecoder::decode(std::string &buffer)
{
    DecodeState state = d->parse(buffer);
    while (state == DecodeState::Complete && isInterimStatus(d->status())) {
        if (++d->m_interimResponses > MaximumInterimResponses) {
            return DecodeState::Malformed;
        }
        d->restart();
        state = d->parse(buffer);
    }
    return state;
}

DecodeState HttpResponseDecoder::finish()
{
    // Beast would treat the end of the stream before a complete header as the end of a complete message.
    if (!d->m_parser->is_header_done()) {
        return DecodeState::Malformed;
    }
    beast::error_code error;
    if (!d->m_parser->is_done()) {
        d->m_parser->put_eof(error);
    }
    return !error && d->m_parser->is_done() ? DecodeState::Complete : DecodeState::Malformed;
}

std::size_t HttpResponseDecoder::bodyBytes() const
{
    return d->m_parser->get().body().size;
}

bool HttpResponseDecoder::isKeepAlive() const
{
    return d->m_parser->get().keep_alive();
}

std::string_view HttpResponseDecoder::field(std::string_view name) const
{
    const auto value = d->m_parser->get()[beast::string_view(name.data(), name.size())];
    return {value.data(), value.size()};
}

std::optional<std::chrono::milliseconds> HttpResponseDecoder::keepAliveTimeout() const
{
    const std::string_view options = field("Keep-Alive");
    constexpr std::string_view TimeoutOption = "timeout=";
    const auto start = options.find(TimeoutOption);
    if (start == std::string_view::npos) {
        return std::nullopt;
    }
    const std::string_view rest = options.substr(start + TimeoutOption.size());
    const auto seconds = parseNumber<std::uint32_t>(rest.substr(0, rest.find_first_not_of("0123456789")));
    if (!seconds) {
        return std::nullopt;
    }
    return std::chrono::seconds(*seconds);
}

HttpResponse HttpResponseDecoder::takeResponse()
{
    auto &message = d->m_parser->get();
    return {
        .status = static_cast<int>(message.result_int()),
        .fields = takeFields(message),
        .body = message.body().takeText(),
    };
}

}
