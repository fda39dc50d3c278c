/// Target selection: the less loaded of two random choices, or prefix affinity on a hash ring.
#ifndef VANILLAGAUGE_POLICY_PLACEMENT_HPP
#define VANILLAGAUGE_POLICY_PLACEMENT_HPP

#include "base/base.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace vanillagauge::policy {

using is_usable = std::function<bool(std::size_t index)>;
using load_of = std::function<double(std::size_t index)>;

/// One of `candidates`; none if none of the examined ones is usable. Examines a bounded number of them, which
/// is all for small groups.
std::optional<std::size_t> place_two_choices(const std::vector<std::size_t>& candidates,
                                             const is_usable& usable, const load_of& load,
                                             std::mt19937_64& random);

/// The least loaded of all usable candidates, a random one of equally loaded ones; none if none is usable.
std::optional<std::size_t> place_least_loaded(const std::vector<std::size_t>& candidates,
                                              const is_usable& usable, const load_of& load,
                                              std::mt19937_64& random);

/// Consistent hashing of prefixes to targets: few prefixes move when targets join or leave.
class prefix_ring {
public:
    prefix_ring() = default;
    explicit prefix_ring(const std::vector<std::pair<std::string, std::size_t>>& targets);

    /// The target at the `choice`-th point after the prefix's hash; none for an empty ring.
    std::optional<std::size_t> at(std::uint64_t prefix, std::size_t choice) const;

private:
    std::vector<std::pair<std::uint64_t, std::size_t>> points_; ///< sorted
};

} // namespace vanillagauge::policy

#endif
