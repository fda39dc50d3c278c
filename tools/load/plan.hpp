/// Open-loop schedule of a load run: arrivals do not wait for answers.
#ifndef VANILLAGAUGE_TOOLS_LOAD_PLAN_HPP
#define VANILLAGAUGE_TOOLS_LOAD_PLAN_HPP

#include "base/base.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace vanillagauge::load {

enum class load_shape {
    steady,
    surge, ///< ten times the rate in the middle third
};

/// Composition of the traffic.
struct mix {
    std::string service;       ///< deployment of plain services
    std::string engines;       ///< deployment of engines; empty: none
    double generate_share = 0; ///< of all requests
    double gate_share = 0;     ///< of calls: priority `gate`
    double batch_share = 0;    ///< of the other calls: priority `batch`; the rest have `member`
    milliseconds call_deadline{1000};
};

struct plan_options {
    mix traffic;
    double rate = 100; ///< requests a second
    milliseconds length{10000};
    load_shape shape = load_shape::steady;
    int callers = 50;
    double hot_share = 0; ///< share of the requests that one caller sends
    std::uint64_t seed = 1;
};

struct planned_request {
    duration start{}; ///< offset from the start of the run
    std::string id;
    std::string caller;
    std::string priority;
    bool generates = false;
    milliseconds deadline{0};
};

/// Sorted by start; the same for the same options.
std::vector<planned_request> make_plan(const plan_options& options);

/// Known mixes: `aphrodisia`, `casco-limpo`, and `calls` for the plain service alone.
result<mix> find_mix(const std::string& name);

} // namespace vanillagauge::load

#endif
