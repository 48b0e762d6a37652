#include "core/message.h"

namespace Plantainweir {

std::size_t memorySize(const ResponseMessage &response)
{
    std::size_t bytes = sizeof(ResponseMessage) + response.body.size();
    for (const MessageField &field : response.fields) {
        bytes += sizeof(MessageField) + field.name.size() + field.value.size();
    }
    return bytes;
}

}
