#include "configuration/routetable.h"

namespace Plantainweir {

const Route *findRoute(const RouteTable &table, std::string_view host, std::string_view path)
{
    const Route *best = nullptr;
    for (const Route &route : table.routes) {
        const bool isMatch = route.host == host && path.starts_with(route.pathPrefix);
        if (isMatch && (best == nullptr || route.pathPrefix.size() > best->pathPrefix.size())) {
            best = &route;
        }
    }
    return best;
}

}
