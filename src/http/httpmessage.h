#pragma once

#include <QMetaType>

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

/** HTTP/1.1 messages as plain values. */
namespace Plantainweir {

struct HttpField {
    std::string name;
    std::string value;
};

using HttpFields = std::vector<HttpField>;

/** Returns the value of the first field called @p name without regard to case, or an empty view. */
std::string_view fieldValue(const HttpFields &fields, std::string_view name);

/** Returns whether @p left and @p right are equal without regard to ASCII case. */
bool isSameFieldName(std::string_view left, std::string_view right);

struct HttpRequest {
    std::string method = "GET";
    std::string target = "/";
    HttpFields fields;
    std::string body;
};

struct HttpResponse {
    int status = 200;
    HttpFields fields;
    std::string body;
};

/** Bounds that hold before anything is buffered. */
struct HttpLimits {
    std::size_t headerBytes = 16 * 1024; ///< Request line or status line and all fields.
    std::size_t bodyBytes = 1024 * 1024;
    std::size_t connections = 10'000;
};

}

Q_DECLARE_METATYPE(Plantainweir::HttpRequest)
Q_DECLARE_METATYPE(Plantainweir::HttpResponse)
