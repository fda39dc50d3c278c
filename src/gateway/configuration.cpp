#include "gateway/configuration.hpp"

#include <algorithm>

namespace vanillagauge::gateway {

const route* find_route(const configuration& current, std::string_view host, std::string_view path)
{
    const route* best = nullptr;
    for (const auto& candidate : current.routes) {
        const bool matches = candidate.host == host && path.starts_with(candidate.path_prefix);
        if (matches && (best == nullptr || candidate.path_prefix.size() > best->path_prefix.size())) {
            best = &candidate;
        }
    }
    return best;
}

const route* route_named(const configuration& current, std::string_view name)
{
    const auto found = std::find_if(current.routes.begin(), current.routes.end(),
                                    [name](const route& candidate) { return candidate.name == name; });
    return found == current.routes.end() ? nullptr : &*found;
}

std::string pick_service(const route& chosen, double draw)
{
    double all = 0;
    for (const auto& part : chosen.services) {
        all += part.weight;
    }
    auto left = draw * all;
    for (const auto& part : chosen.services) {
        left -= part.weight;
        if (left < 0) {
            return part.service;
        }
    }
    return chosen.services.empty() ? std::string{} : chosen.services.back().service;
}

} // namespace vanillagauge::gateway
