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

// XOR adds an object, and removes it when applied again. Tombstones are excluded, so that replicas which
// dropped different ones still agree.
void replica::toggle_in_digest(const object& item)
{
    if (item.version != 0 && !item.deleted) {
        digest_ ^= fingerprint(item);
    }
}

bool replica::merge(object incoming, object_source source)
{
    const key id{incoming.kind, incoming.name};
    const auto found = objects_.find(id);
    // Late watch events and stale or formerly partitioned peers deliver lower versions. Storing one would
    // restore a configuration that an operator has replaced.
    if (found != objects_.end() && incoming.version <= found->second.current.version) {
        return false;
    }
    // An unknown object that is not newer than a dropped tombstone may be the deleted one, from a peer that
    // was disconnected. Only the store can confirm that it exists.
    if (found == objects_.end() && source == object_source::peer &&
        incoming.version <= max_dropped_version_) {
        return false;
    }
    auto& entry = objects_[id];
    tombstones_.erase({entry.current.version, id});
    toggle_in_digest(entry.current);
    toggle_in_digest(incoming);
    newest_version_ = std::max(newest_version_, incoming.version);
    if (incoming.deleted) {
        tombstones_.insert({incoming.version, id});
    }
    entry.current = std::move(incoming);
    entry.revision = ++revision_;
    drop_tombstones();
    return true;
}

void replica::drop_tombstones()
{
    while (tombstones_.size() > max_tombstones) {
        const auto oldest = tombstones_.begin();
        max_dropped_version_ = std::max(max_dropped_version_, oldest->first);
        objects_.erase(oldest->second);
        tombstones_.erase(oldest);
    }
}

// A listing contains no deletions, so a list after a compacted watch would keep deleted objects forever. The
// listing's revision is higher than the deletion's and lower than that of any later creation.
bool replica::merge_listing(const std::string& kind, const std::vector<object>& listed,
                            std::uint64_t revision)
{
    std::set<std::string> names;
    bool any = false;
    for (const auto& item : listed) {
        names.insert(item.name);
        any = merge(item, object_source::store) || any;
    }
    for (const auto& item : list(kind)) {
        if (!names.contains(item.name) && item.version < revision) {
            any = merge({kind, item.name, revision, "{}", true}, object_source::store) || any;
        }
    }
    return any;
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

std::vector<object> replica::changes_since(std::uint64_t revision) const
{
    std::vector<object> found;
    for (const auto& [id, entry] : objects_) {
        if (entry.revision > revision) {
            found.push_back(entry.current);
        }
    }
    return found;
}

std::vector<object> replica::newer_than(const std::vector<object_version>& known) const
{
    std::map<key, std::uint64_t> theirs;
    for (const auto& line : known) {
        theirs[key{line.kind, line.name}] = line.version;
    }
    std::vector<object> found;
    for (const auto& [id, entry] : objects_) {
        const auto line = theirs.find(id);
        if (line == theirs.end() || line->second < entry.current.version) {
            found.push_back(entry.current);
        }
    }
    return found;
}

std::vector<object_version> replica::versions() const
{
    std::vector<object_version> found;
    found.reserve(objects_.size());
    for (const auto& [id, entry] : objects_) {
        found.push_back({id.first, id.second, entry.current.version});
    }
    return found;
}

std::uint64_t replica::version_of(const std::string& kind, const std::string& name) const
{
    const auto found = objects_.find(key{kind, name});
    return found == objects_.end() ? 0 : found->second.current.version;
}

} // namespace vanillagauge::config
