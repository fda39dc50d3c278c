/// The known replicas, with this gateway's observations of each.
#ifndef VANILLAGAUGE_GATEWAY_TARGET_REGISTRY_HPP
#define VANILLAGAUGE_GATEWAY_TARGET_REGISTRY_HPP

#include "gateway/replica.hpp"
#include "net/connection_pool.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace vanillagauge::gateway {

/// One instance of a replica. Work in flight keeps it alive after its removal from the registry.
struct target {
    target(net::loop& loop, replica known) : info(std::move(known)), pool(loop, info.address) {}

    replica info;
    net::connection_pool pool;
    int streams = 0;             ///< batch generations in flight from this gateway
    time_point back_off_until{}; ///< gets no new generation before
    double mean_gap_ms = 0;      ///< moving mean of the time between stream events; 0: unknown
    bool usable = true;          ///< neither draining nor removed
    std::map<std::string, std::uint64_t> observed_versions; ///< weights version by model, from its responses

    std::uint64_t version_of(const std::string& model) const;
    /// Updates the mean with the time between two events of one stream.
    void record_event_gap(duration gap);
    void record_version(const std::string& model, std::uint64_t version);
};

using target_ref = std::shared_ptr<target>;

class target_registry {
public:
    /// Waits until the registry is up to date, at most until the given time.
    using refresher = std::function<net::task<void>(time_point)>;

    explicit target_registry(net::loop& loop) : loop_(loop) {}

    void set_refresher(refresher refresh) { refresh_ = std::move(refresh); }
    /// Whether a request may be sent to the replica now. To be asked last, once the connection stands: the
    /// replica may have left since it was chosen.
    net::task<bool> may_send(target_ref at, time_point until) const;

    void update(const replica& known);
    /// Removes a replica whose entry has vanished, at `keep_until`; one that drains at once.
    void remove(const std::string& id, time_point keep_until);
    /// Completes the delayed removals that are due.
    void remove_expired(time_point now);

    /// Only usable replicas.
    std::vector<target_ref> of_service(const std::string& service) const;
    std::vector<target_ref> all() const;
    target_ref find(const std::string& instance_id) const;
    /// Increases with each change.
    std::uint64_t generation() const { return generation_; }

private:
    net::loop& loop_;
    refresher refresh_ = [](time_point) -> net::task<void> { co_return; };
    std::map<std::string, target_ref> targets_;       ///< by id
    std::map<std::string, time_point> removal_times_; ///< by id, of delayed removals
    std::uint64_t generation_ = 0;

    void drop(const std::string& id);
};

} // namespace vanillagauge::gateway

#endif
