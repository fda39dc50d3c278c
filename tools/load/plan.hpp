/// What a load run sends and when: an open loop, so arrivals do not wait for answers.
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

/// The shares of one deployment's traffic.
struct mix {
    std::string service;       ///< deployment of plain services
    std::string engines;       ///< deployment of engines; empty: none
    double generate_share = 0; ///< of all requests
    double gate_share = 0;     ///< of calls; the others are members' but for batch_share
    double batch_share = 0;
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
    duration start{}; ///< after the run's beginning
    std::string id;
    std::string caller;
    std::string priority;
    bool generates = false;
    milliseconds deadline{0};
};

/// In the order of their starts; the same for the same options.
std::vector<planned_request> make_plan(const plan_options& options);

/// The mixes of the users: `aphrodisia` and `casco-limpo`. The service alone for `calls`.
result<mix> find_mix(const std::string& name);

} // namespace vanillagauge::load

#endif
