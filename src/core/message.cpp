#include "core/message.h"

namespace Plantainweir {

bool isAnswerStatus(int status)
{
    return status >= 200 && status <= 599;
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
