/// A configuration replica with monotonic versions: the highest version of each object wins.
#ifndef VANILLAGAUGE_CONFIG_REPLICA_HPP
#define VANILLAGAUGE_CONFIG_REPLICA_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace vanillagauge::config {

struct object {
    std::string kind;
    std::string name;
    std::uint64_t version = 0; ///< assigned by the store; higher is newer
    std::string spec_json;
    bool deleted = false; ///< kept as a tombstone, so that a stale peer cannot restore the object
};

/// Identifies a version of an object, without its content.
struct object_version {
    std::string kind;
    std::string name;
    std::uint64_t version = 0;
};

/// The source of an object. The store is authoritative about which objects exist.
enum class object_source { peer, store };

class replica {
public:
    /// Tombstones beyond this number are dropped, the oldest first.
    static constexpr std::size_t max_tombstones = 2048;

    /// Stores the object if its version is newer; returns whether it was stored.
    bool merge(object incoming, object_source source = object_source::peer);

    /// Merges the store's listing of one kind at `revision`; objects missing from it were deleted.
    /// Returns whether anything changed.
    bool merge_listing(const std::string& kind, const std::vector<object>& listed, std::uint64_t revision);

    /// Empty if the object is unknown or deleted.
    std::optional<object> find(const std::string& kind, const std::string& name) const;
    std::vector<object> list(const std::string& kind) const;
    /// Objects stored after this local revision, including tombstones.
    std::vector<object> changes_since(std::uint64_t revision) const;

    /// Objects that are newer than in `known` or missing there, including tombstones.
    std::vector<object> newer_than(const std::vector<object_version>& known) const;
    std::vector<object_version> versions() const;
    /// 0 if the object is unknown; a tombstone has a version.
    std::uint64_t version_of(const std::string& kind, const std::string& name) const;

    /// Incremented with each stored object; local to this replica.
    std::uint64_t revision() const { return revision_; }
    /// The highest version stored.
    std::uint64_t newest_version() const { return newest_version_; }
    /// Equal on replicas that hold the same versions of the same objects, not counting deleted ones.
    std::uint64_t digest() const { return digest_; }

private:
    struct held_object {
        object current;
        std::uint64_t revision = 0;
    };
    using key = std::pair<std::string, std::string>;
    std::map<key, held_object> objects_;
    std::uint64_t revision_ = 0;
    std::uint64_t newest_version_ = 0;
    std::uint64_t digest_ = 0;
    std::set<std::pair<std::uint64_t, key>> tombstones_;
    std::uint64_t max_dropped_version_ = 0; ///< the highest version of a dropped tombstone

    void toggle_in_digest(const object& item);
    void drop_tombstones();
};

} // namespace vanillagauge::config

#endif
