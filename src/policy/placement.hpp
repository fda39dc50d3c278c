/// Which target takes a request: the less loaded of two drawn at random, those of the near failure domain
/// first.
#ifndef VANILLAGAUGE_POLICY_PLACEMENT_HPP
#define VANILLAGAUGE_POLICY_PLACEMENT_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace vanillagauge::policy {

struct candidate {
    std::string failure_domain;
    int in_flight = 0;
    int limit = 0;      ///< most in flight at once
    bool usable = true; ///< false: leaving, ejected, or tried already
};

/// The index of the target to use; none where every usable one is at its limit.
std::optional<std::size_t> place(const std::vector<candidate>& candidates, const std::string& near_domain,
                                 std::mt19937_64& random);

} // namespace vanillagauge::policy

#endif
