/// What the operator declares: routes, services and what a client may send.
#ifndef VANILLAGAUGE_GATEWAY_CONFIGURATION_HPP
#define VANILLAGAUGE_GATEWAY_CONFIGURATION_HPP

#include "base/base.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace vanillagauge::gateway {

/// What may be done again on behalf of one client request.
enum class route_kind {
    idempotent, ///< may run any number of times
    once,       ///< runs at most once
    stream,     ///< a stream of events; runs once unless it can be resumed
    batch,      ///< batches of generations for a trainer
};

struct weighted_service {
    std::string service;
    double weight = 1;
};

struct route {
    std::string name;
    std::string host;
    std::string path_prefix; ///< begins and ends with a slash
    route_kind kind = route_kind::once;
    std::vector<weighted_service> services; ///< a request goes to one of them, by weight
    milliseconds timeout{0};                ///< longest time a request may be kept; 0: no bound
    milliseconds target_latency{0};
    milliseconds max_age{0};     ///< after it an item of a batch may be given up; 0: never
    milliseconds result_time{0}; ///< in which a batch's results are due
    int attempts = 1;            ///< replicas that one request may be sent to
    int priority = 0;            ///< 0 is the most urgent
    bool resumable = false;
    bool single_version = false; ///< one version of the weights makes all of a result
};

struct service {
    std::string name;
    std::string health_path;
    int max_connections = 0; ///< that one replica takes from all callers together
    std::vector<std::string> models;
};

struct client_limits {
    std::size_t header_bytes = 16U << 10U;
    std::size_t body_bytes = 32U << 20U;
    milliseconds header_time{3000};
    milliseconds idle_time{15000};
};

struct configuration {
    std::uint64_t version = 0; ///< 0: none is known yet
    std::vector<route> routes;
    std::map<std::string, service> services;
    client_limits limits;
};

/// The route of this host with the longest prefix of the path; null where none matches.
const route* find_route(const configuration& current, std::string_view host, std::string_view path);

/// The route of this name; null where there is none.
const route* route_named(const configuration& current, std::string_view name);

/// One of the route's services, drawn by weight; `draw` lies between 0 and 1. Empty where it has none.
std::string pick_service(const route& chosen, double draw);

} // namespace vanillagauge::gateway

#endif
