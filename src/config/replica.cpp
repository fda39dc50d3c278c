#include "config/replica.hpp"

#include "base/digest.hpp"

#include <algorithm>

namespace vanillagauge::config {
namespace {

std::uint64_t fingerprint(const object& item)
{
    return hash64(item.kind + "/" + item.name, item.version);
}

} // namespace

bool replica::merge(object incoming)
{
    auto& entry = objects_[key{incoming.kind, incoming.name}];
    // Late watch events, stale peers and peers from before a partition all bring lower versions. Taking one
    // would bring back a configuration that an operator has replaced.
    if (incoming.version <= entry.current.version) {
        return false;
    }
    if (entry.current.version != 0) {
        digest_ ^= fingerprint(entry.current);
    }
    digest_ ^= fingerprint(incoming);
    newest_version_ = std::max(newest_version_, incoming.version);
    entry.current = std::move(incoming);
    entry.revision = ++revision_;
    return true;
}

std::optional<object> replica::find(const std::string& kind, const std::string& name) const
{
    const auto found = objects_.find(key{kind, name});
    if (found == objects_.end() || found->second.current.deleted || found->second.current.version == 0) {
        return std::nullopt;
    }
    return found->second.current;
}

std::vector<object> replica::list(const std::string& kind) const
{
    std::vector<object> found;
    for (const auto& [id, entry] : objects_) {
        if (id.first == kind && !entry.current.deleted) {
            found.push_back(entry.current);
        }
    }
    return found;
}

std::vector<object> replica::since(std::uint64_t revision) const
{
    std::vector<object> found;
    for (const auto& [id, entry] : objects_) {
        if (entry.revision > revision) {
            found.push_back(entry.current);
        }
    }
    return found;
}

} // namespace vanillagauge::config
