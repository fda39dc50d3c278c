/// A replica of a service, as it says of itself.
#ifndef VANILLAGAUGE_GATEWAY_REPLICA_HPP
#define VANILLAGAUGE_GATEWAY_REPLICA_HPP

#include "base/base.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace vanillagauge::gateway {

struct replica {
    std::string id;
    std::uint64_t started_unix_ms = 0; ///< start of this lifetime: an id may start again; 0: not told
    std::string service;
    std::string address;
    std::string failure_domain;
    int slots = 1;
    bool draining = false;
    std::map<std::string, std::uint64_t> weights; ///< version by model

    /// Names one lifetime; a replica that started again under its id is another one.
    std::string instance_id() const { return id + "@" + std::to_string(started_unix_ms); }

    friend bool operator==(const replica&, const replica&) = default;
};

} // namespace vanillagauge::gateway

#endif
