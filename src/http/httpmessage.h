#pragma once

#include "core/message.h"

#include <QMetaType>

#include <chrono>
#include <cstddef>
#include <string>
#include <string_view>

/** HTTP/1.1 messages as plain values. */
namespace Plantainweir {

using HttpField = MessageField;
using HttpFields = MessageFields;
using HttpRequest = RequestMessage;
using HttpResponse = ResponseMessage;

/** Returns the value of the first field called @p name, ignoring case, or an empty view. */
std::string_view fieldValue(const HttpFields &fields, std::string_view name);

/** Returns whether @p left and @p right are equal, ignoring ASCII case. */
bool isSameFieldName(std::string_view left, std::string_view right);

/** Limits that are enforced while messages are received, so that no data beyond them is buffered. */
struct HttpLimits {
    std::size_t headerBytes = 16 * 1024; ///< Request line or status line and all fields.
    std::size_t bodyBytes = 1024 * 1024;
    std::size_t totalBytes = 256 * 1024 * 1024; ///< All that the peers of all connections together make this process hold, see HttpServer and HttpClient.
    std::size_t connections = 10'000; ///< Of all peers together.
    std::chrono::milliseconds requestTimeout{10'000}; ///< From the first byte of a request to the end of its header.
    std::size_t bodyBytesPerSecond = 4 * 1024; ///< Slowest pace of a body, beyond a first time of the longer one of both timeouts.
    std::chrono::milliseconds idleTimeout{60'000}; ///< Longest time without a byte between two requests.
};

}

Q_DECLARE_METATYPE(Plantainweir::HttpRequest)
Q_DECLARE_METATYPE(Plantainweir::HttpResponse)
