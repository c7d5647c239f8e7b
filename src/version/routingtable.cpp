#include "waxwingloft/version/routingtable.h"

#include <algorithm>

namespace waxwingloft {

const Route *RoutingTable::find(std::string_view host, std::string_view path) const
{
    const Route *best = nullptr;
    for (const auto &route : this->routes) {
        const bool matches = route.host == host && path.starts_with(route.pathPrefix);
        if (matches && (best == nullptr || route.pathPrefix.size() > best->pathPrefix.size())) {
            best = &route;
        }
    }
    return best;
}

const Route *RoutingTable::findByName(std::string_view name) const
{
    const auto found = std::find_if(this->routes.begin(), this->routes.end(), [name](const Route &route) { return route.name == name; });
    return found == this->routes.end() ? nullptr : &*found;
}

} // namespace waxwingloft
