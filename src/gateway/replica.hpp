/// A replica of a service, as registered by itself.
#ifndef VANILLAGAUGE_GATEWAY_REPLICA_HPP
#define VANILLAGAUGE_GATEWAY_REPLICA_HPP

#include "base/base.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace vanillagauge::gateway {

struct replica {
    std::string id;
    std::uint64_t started_unix_ms = 0; ///< start of this instance; 0: unknown
    std::string service;
    std::string address;
    std::string failure_domain;
    int slots = 1;
    bool draining = false;
    std::map<std::string, std::uint64_t> weights; ///< version by model

    /// Identifies one run of the replica; a restart under the same id is another instance.
    std::string instance_id() const { return id + "@" + std::to_string(started_unix_ms); }

    friend bool operator==(const replica&, const replica&) = default;
};

} // namespace vanillagauge::gateway

#endif
