/// A replica of the configuration that only moves forward: the highest version of each object wins.
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
    std::uint64_t version = 0; ///< the store's; higher is newer
    std::string spec_json;
    bool deleted = false; ///< kept as a tombstone, so that an older peer cannot bring the object back
};

/// What a replica holds of one object, without its content.
struct object_version {
    std::string kind;
    std::string name;
    std::uint64_t version = 0;
};

/// Where an object came from: what the store says itself is always complete.
enum class object_source { peer, store };

class replica {
public:
    /// Tombstones beyond this number are dropped, the oldest first.
    static constexpr std::size_t max_tombstones = 2048;

    /// Takes the object if it is newer than what is held; true where it was taken.
    bool merge(object incoming, object_source source = object_source::peer);

    /// Takes all objects of one kind as the store listed them at `revision`; what is missing was deleted.
    bool merge_listing(const std::string& kind, const std::vector<object>& listed, std::uint64_t revision);

    /// Absent where the object is unknown or deleted.
    std::optional<object> find(const std::string& kind, const std::string& name) const;
    std::vector<object> list(const std::string& kind) const;
    /// Everything taken after this local revision, tombstones too.
    std::vector<object> changes_since(std::uint64_t revision) const;

    /// Everything of which `known` names no version as high.
    std::vector<object> newer_than(const std::vector<object_version>& known) const;
    std::vector<object_version> versions() const;
    /// 0 where the object is unknown; a tombstone has a version.
    std::uint64_t version_of(const std::string& kind, const std::string& name) const;

    /// Grows by one with each object taken. It counts for this replica alone.
    std::uint64_t revision() const { return revision_; }
    /// The highest version held.
    std::uint64_t newest_version() const { return newest_version_; }
    /// Equal on replicas that hold the same versions of the same living objects.
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
    std::uint64_t max_dropped_version_ = 0; ///< the highest version of a tombstone that was dropped

    void toggle_in_digest(const object& item);
    void drop_tombstones();
};

} // namespace vanillagauge::config

#endif
