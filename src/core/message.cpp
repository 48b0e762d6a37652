#include "core/message.h"

#include <algorithm>
#include <string_view>

namespace Plantainweir {
namespace {

bool isNameCharacter(char character)
{
    constexpr std::string_view Marks = "!#$%&'*+-.^_`|~";
    const bool isLetter = (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z');
    const bool isDigit = character >= '0' && character <= '9';
    return isLetter || isDigit || Marks.find(character) != std::string_view::npos;
}

bool isValueCharacter(char character)
{
    constexpr unsigned char Delete = 0x7f;
    const auto byte = static_cast<unsigned char>(character);
    return character == '\t' || (byte >= ' ' && byte != Delete);
}

bool isWellFormedField(const MessageField &field)
{
    const bool isName = !field.name.empty() && std::all_of(field.name.begin(), field.name.end(), isNameCharacter);
    return isName && std::all_of(field.value.begin(), field.value.end(), isValueCharacter);
}

}

bool isAnswerStatus(int status)
{
    return status >= 200 && status <= 599;
}

bool isWellFormedAnswer(const ResponseMessage &response)
{
    return isAnswerStatus(response.status) && std::all_of(response.fields.begin(), response.fields.end(), isWellFormedField);
}

std::size_t memorySize(const MessageFields &fields)
{
    std::size_t bytes = 0;
    for (const MessageField &field : fields) {
        bytes += sizeof(MessageField) + field.name.size() + field.value.size();
    }
    return bytes;
}

std::size_t memorySize(const ResponseMessage &response)
{
    return sizeof(ResponseMessage) + response.body.size() + memorySize(response.fields);
}

}
