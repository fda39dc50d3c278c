/// Renews this VM's lease in the store.
#ifndef VANILLAGAUGE_KEEPER_LEASE_RENEWER_HPP
#define VANILLAGAUGE_KEEPER_LEASE_RENEWER_HPP

#include "fleet/lease.hpp"
#include "keeper/keeper_state.hpp"
#include "objects/object_client.hpp"
#include "wire/event_loop.hpp"

#include <functional>
#include <mutex>
#include <string>
#include <vector>

namespace vanillagauge::keeper {

class lease_renewer {
public:
    /// All three must outlive it.
    lease_renewer(keeper_state& state, objects::object_client& store, wire::event_loop& loop);

    void start() { tick(); }
    /// Runs after each listing, with the peer addresses in the leases.
    void on_peers(std::function<void(std::vector<std::string>)> handler) { on_peers_ = std::move(handler); }
    fleet::held_lease held(time_point now) const;
    /// Empty if this VM holds no valid lease and so cannot decide.
    std::string owner_of(const std::string& key, time_point now) const;

private:
    keeper_state& state_;
    objects::object_client& store_;
    wire::event_loop& loop_;
    const std::string vm_;
    mutable std::mutex mutex_;
    fleet::lease_cycle cycle_;
    std::function<void(std::vector<std::string>)> on_peers_;

    void tick();
    void on_listed(const objects::listing& leases);
    void on_failed();
    void delete_abandoned();
};

} // namespace vanillagauge::keeper

#endif
