/// Which engines load which model's new weights next, where engines hold several models.
#ifndef VANILLAGAUGE_POLICY_WEIGHT_LOAD_PLAN_HPP
#define VANILLAGAUGE_POLICY_WEIGHT_LOAD_PLAN_HPP

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace vanillagauge::policy {

struct model_engine {
    std::string id;
    std::map<std::string, std::uint64_t> versions; ///< by model
    int in_flight = 0;
    bool loading = false;
    bool backing_off = false; ///< an order to it failed a moment ago
};

struct weight_load {
    std::string engine;
    std::string model;
    std::uint64_t version = 0;

    friend bool operator==(const weight_load&, const weight_load&) = default;
};

/// The models' newest versions are in `newest`.
std::vector<weight_load> plan_weight_loads(const std::vector<model_engine>& engines,
                                           const std::map<std::string, std::uint64_t>& newest);

/// How many of the engines load at once.
std::size_t max_concurrent_loads(std::size_t engines);

} // namespace vanillagauge::policy

#endif
