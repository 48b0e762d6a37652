#include "http/httpmessage.h"

#include <algorithm>
#include <cctype>

namespace Plantainweir {

bool isSameFieldName(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](unsigned char a, unsigned char b) {
        return std::tolower(a) == std::tolower(b);
    });
}

std::string_view fieldValue(const HttpFields &fields, std::string_view name)
{
    for (const HttpField &field : fields) {
        if (isSameFieldName(field.name, name)) {
            return field.value;
        }
    }
    return {};
}

}
