#pragma once

#include <string>
#include <vector>

/** Requests and responses as plain values, independent of the front end that received them. */
namespace Plantainweir {

/** A header field. */
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

/** Returns whether a response with @p status answers a request (RFC 9110, section 15); interim responses do not. */
bool isAnswerStatus(int status);
/**
 * Returns whether @p response can be sent as an answer: its status is one, and its fields have the characters of names and
 * values (RFC 9110, sections 5.1 and 5.5).
 */
bool isWellFormedAnswer(const ResponseMessage &response);

/** Returns the approximate memory of @p fields in bytes, which for short fields is many times their size in a message. */
std::size_t memorySize(const MessageFields &fields);
/** Returns the approximate memory of @p response in bytes. */
std::size_t memorySize(const ResponseMessage &response);

}
