/// Plans which engine loads new weights of which model next, where an engine holds several models.
#ifndef VANILLAGAUGE_POLICY_WEIGHT_LOAD_PLAN_HPP
#define VANILLAGAUGE_POLICY_WEIGHT_LOAD_PLAN_HPP

#include "base/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace vanillagauge::policy {

struct model_engine {
    std::string id;
    std::map<std::string, std::uint64_t> versions; ///< by model
    int in_flight = 0;
    double events_left = 0;       ///< of all its streams; 0: none, or not known
    duration longest_run_left{0}; ///< time that its longest run still needs; 0: not known
    bool loading = false;
    bool backing_off = false; ///< its last load order failed recently
};

struct weight_load {
    std::string engine;
    std::string model;
    std::uint64_t version = 0;

    friend bool operator==(const weight_load&, const weight_load&) = default;
};

/// What is known of a model's trainer and of how the model is served.
struct model_schedule {
    std::optional<duration> slack;           ///< of its trainer; none: not known
    std::optional<duration> next_version_in; ///< until the next version is expected; none: not known
    bool finish_first = false;               ///< runs end before an engine loads
};

struct weight_load_plan {
    std::vector<weight_load> loads;
    /// By model, engines one version behind that serve on and do not load now.
    std::map<std::string, std::size_t> deferred;
};

/// `newest`: the newest version of each model. `demand`: work that each model's trainer asks for, in any
/// unit; models without one count as average. `schedules`: by model, as far as known.
weight_load_plan plan_weight_loads(const std::vector<model_engine>& engines,
                                   const std::map<std::string, std::uint64_t>& newest,
                                   const std::map<std::string, double>& demand = {},
                                   const std::map<std::string, model_schedule>& schedules = {});

/// How many of `engines` engines may load at once.
std::size_t max_concurrent_loads(std::size_t engines);

} // namespace vanillagauge::policy

#endif
