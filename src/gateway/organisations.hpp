/// Organisations, their API keys, and the organisation that a request acts for.
#ifndef VANILLAGAUGE_GATEWAY_ORGANISATIONS_HPP
#define VANILLAGAUGE_GATEWAY_ORGANISATIONS_HPP

#include "base/base.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace vanillagauge::gateway {

struct organisation {
    std::string name;
    std::optional<int> priority{}; ///< precedes the route's; 0 is the most urgent
};

/// The organisations of a configuration. Keys are stored as digests, so that a dump of the memory shows none.
class organisation_directory {
public:
    /// `invalid_argument` if a key is empty or belongs to another organisation. Errors never contain a key.
    result<done> add(organisation added, const std::vector<std::string>& keys);

    /// Null if no organisation has this key.
    const organisation* find_by_key(std::string_view key) const;
    /// Null if there is no organisation of this name.
    const organisation* find_by_name(const std::string& name) const;
    std::size_t size() const { return organisations_.size(); }

private:
    using key_digest = std::array<std::uint64_t, 2>;
    struct digest_hash {
        std::size_t operator()(const key_digest& digest) const { return digest[0]; }
    };
    static key_digest digest_of(std::string_view key);

    std::vector<organisation> organisations_;
    std::map<std::string, std::size_t> by_name_;
    std::unordered_map<key_digest, std::size_t, digest_hash> by_key_;
};

} // namespace vanillagauge::gateway

#endif
