#pragma once

#include <string>
#include <vector>

/** Requests and responses as plain values, whatever front end they came by. */
namespace Plantainweir {

struct MessageField {
    std::string name;
    std::string value;
};

using MessageFields = std::vector<MessageField>;

struct RequestMessage {
    std::string method = "GET";
    std::string target = "/";
    MessageFields fields;
    std::string body;
};

struct ResponseMessage {
    int status = 200;
    MessageFields fields;
    std::string body;
};

/** Returns about how much memory @p response takes, in bytes. */
std::size_t memorySize(const ResponseMessage &response);

}
