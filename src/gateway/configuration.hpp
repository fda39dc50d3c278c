/// The operator's configuration: routes, services and limits on client requests.
#ifndef VANILLAGAUGE_GATEWAY_CONFIGURATION_HPP
#define VANILLAGAUGE_GATEWAY_CONFIGURATION_HPP

#include "base/base.hpp"
#include "gateway/organisations.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace vanillagauge::gateway {

/// How often a client request may run.
enum class route_kind {
    idempotent, ///< may run any number of times
    once,       ///< runs at most once
    stream,     ///< a stream of events; runs once unless it can be resumed
    batch,      ///< a trainer's batches of generations
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
    milliseconds timeout{0};                ///< limit on the time of a request; 0: none
    milliseconds target_latency{0};
    milliseconds max_age{0};     ///< age at which a batch item may be abandoned; 0: never
    milliseconds result_time{0}; ///< time limit for a batch's results
    int attempts = 1;            ///< most replicas that one request is sent to
    int priority = 0;            ///< 0 is the most urgent
    bool resumable = false;
    bool single_version = false; ///< a result must come from a single weights version
    bool is_public = false;      ///< needs no key, and acts for no organisation
};

struct service {
    std::string name;
    std::string health_path;
    int max_connections = 0; ///< per replica, over all callers
    std::vector<std::string> models;
    double tokens_per_event = 0; ///< of an engine's streams; 0: unknown
};

struct client_limits {
    std::size_t header_bytes = 16U << 10U;
    std::size_t body_bytes = 32U << 20U;
    milliseconds header_time{3000};
    milliseconds idle_time{15000};
};

struct configuration {
    std::uint64_t version = 0; ///< 0: none loaded yet
    std::vector<route> routes;
    std::map<std::string, service> services;
    client_limits limits;
    std::optional<organisation_directory> organisations; ///< none: requests carry no keys
};

/// The host's route with the longest matching path prefix; null if none matches.
const route* find_route(const configuration& current, std::string_view host, std::string_view path);

/// Null if there is no route of this name.
const route* route_named(const configuration& current, std::string_view name);

/// A service of the route, selected by weight; `draw` is in [0, 1]. Empty if the route has none.
std::string pick_service(const route& chosen, double draw);

} // namespace vanillagauge::gateway

#endif
