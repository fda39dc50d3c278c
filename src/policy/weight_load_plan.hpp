/// Plans which engine loads new weights of which model next, where an engine holds several models.
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
    bool backing_off = false; ///< its last load order failed recently
};

struct weight_load {
    std::string engine;
    std::string model;
    std::uint64_t version = 0;

    friend bool operator==(const weight_load&, const weight_load&) = default;
};

/// `newest`: the newest version of each model. `demand`: work that each model's trainer asks for, in any
/// unit; models without one count as average.
std::vector<weight_load> plan_weight_loads(const std::vector<model_engine>& engines,
                                           const std::map<std::string, std::uint64_t>& newest,
                                           const std::map<std::string, double>& demand = {});

/// How many of `engines` engines may load at once.
std::size_t max_concurrent_loads(std::size_t engines);

} // namespace vanillagauge::policy

#endif
