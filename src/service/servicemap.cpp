#include "poplarroad/directory.h"

namespace poplarroad
{

ServiceMapPtr withKnownRoutes(const ServiceMapPtr &known, const ServiceMapPtr &newer)
{
    if (newer->unreadableRoutes.empty()) {
        return newer;
    }
    auto merged = std::make_shared<ServiceMap>(*newer);
    merged->unreadableRoutes.clear();
    for (const HostAddress &address : newer->unreadableRoutes) {
        if (!known || merged->routes.contains(address)) {
            continue;
        }
        const auto route = known->routes.find(address);
        if (route != known->routes.end()) {
            merged->routes.insert(*route);
        }
    }
    return merged;
}

} // namespace poplarroad
