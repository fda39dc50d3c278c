/// A replica of the configuration that only moves forward: the highest version of each object wins.
#ifndef VANILLAGAUGE_CONFIG_REPLICA_HPP
#define VANILLAGAUGE_CONFIG_REPLICA_HPP

#include <cstdint>
#include <map>
#include <optional>
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

class replica {
public:
    /// Takes the object if it is newer than what is held; true where it was taken.
    bool merge(object incoming);

    /// Absent where the object is unknown or deleted.
    std::optional<object> find(const std::string& kind, const std::string& name) const;
    std::vector<object> list(const std::string& kind) const;
    /// Everything taken after this local revision, tombstones too.
    std::vector<object> since(std::uint64_t revision) const;

    /// Grows by one with each object taken. It counts for this replica alone.
    std::uint64_t revision() const { return revision_; }
    /// The highest version held.
    std::uint64_t newest_version() const { return newest_version_; }
    /// Equal on replicas that hold the same versions.
    std::uint64_t digest() const { return digest_; }

private:
    struct held {
        object current;
        std::uint64_t revision = 0;
    };
    using key = std::pair<std::string, std::string>;
    std::map<key, held> objects_;
    std::uint64_t revision_ = 0;
    std::uint64_t newest_version_ = 0;
    std::uint64_t digest_ = 0;
};

} // namespace vanillagauge::config

#endif
