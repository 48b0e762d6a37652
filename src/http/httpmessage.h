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

/** Returns the value of the first field called @p name without regard to case, or an empty view. */
std::string_view fieldValue(const HttpFields &fields, std::string_view name);

/** Returns whether @p left and @p right are equal without regard to ASCII case. */
bool isSameFieldName(std::string_view left, std::string_view right);

/** Bounds that hold before anything is buffered. */
struct HttpLimits {
    std::size_t headerBytes = 16 * 1024; ///< Request line or status line and all fields.
    std::size_t bodyBytes = 1024 * 1024;
    std::size_t connections = 10'000;
    std::chrono::milliseconds requestTimeout{10'000}; ///< From the first byte of a request to its last one.
    std::chrono::milliseconds idleTimeout{60'000}; ///< Without a byte between two requests.
};

}

Q_DECLARE_METATYPE(Plantainweir::HttpRequest)
Q_DECLARE_METATYPE(Plantainweir::HttpResponse)
