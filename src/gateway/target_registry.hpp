/// The replicas that may be sent work, with what this gateway has seen of each.
#ifndef VANILLAGAUGE_GATEWAY_TARGET_REGISTRY_HPP
#define VANILLAGAUGE_GATEWAY_TARGET_REGISTRY_HPP

#include "gateway/replica.hpp"
#include "net/connection_pool.hpp"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace vanillagauge::gateway {

/// One lifetime of a replica. Work in flight keeps it alive after it has left the registry.
struct target {
    target(net::loop& loop, replica known) : info(std::move(known)), pool(loop, info.address) {}

    replica info;
    net::connection_pool pool;
    int streams = 0;             ///< generations of batches in flight from here
    time_point back_off_until{}; ///< gets no generation before
    double mean_gap_ms = 0;      ///< moving mean of the time between its events; 0: not known
    bool usable = true;          ///< not draining and not gone
    std::map<std::string, std::uint64_t> observed_versions; ///< of weights by model, from its own answers

    std::uint64_t version_of(const std::string& model) const;
    /// The time between two events of one run here.
    void record_event_gap(duration gap);
    void record_version(const std::string& model, std::uint64_t version);
};

using target_ref = std::shared_ptr<target>;

class target_registry {
public:
    explicit target_registry(net::loop& loop) : loop_(loop) {}

    // Commands.
    void update(const replica& known);
    /// Its entry is gone. Entries that lapse because the store was away come back within seconds of its
    /// return, so where it was away lately the replica stays in use until `keep_until`.
    void remove(const std::string& id, time_point keep_until);
    /// Ends what `remove` has kept so far.
    void remove_expired(time_point now);

    // Queries.
    /// The usable replicas of a service.
    std::vector<target_ref> of_service(const std::string& service) const;
    std::vector<target_ref> all() const;
    target_ref find(const std::string& instance_id) const;
    /// Grows with each change.
    std::uint64_t generation() const { return generation_; }

private:
    net::loop& loop_;
    std::map<std::string, target_ref> targets_;       ///< by id
    std::map<std::string, time_point> removal_times_; ///< by id, for those whose entry is gone
    std::uint64_t generation_ = 0;

    void drop(const std::string& id);
};

} // namespace vanillagauge::gateway

#endif
