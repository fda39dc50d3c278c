/// Membership of the gateway fleet, from the keepers' failure detector.
#ifndef VANILLAGAUGE_GATEWAY_FLEET_VIEW_HPP
#define VANILLAGAUGE_GATEWAY_FLEET_VIEW_HPP

#include "config/settings.hpp"
#include "fleet/membership.hpp"
#include "wire/event_loop.hpp"
#include "wire/peer_server.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace vanillagauge::gateway {

/// A live gateway, as announced to the others.
struct gateway_peer {
    std::string vm;
    std::string failure_domain;
    std::uint64_t incarnation = 0;
    std::string relay_address;
    std::string front_address; ///< empty: it serves no callers
    bool draining = false;
    std::uint32_t capacity = 0; ///< thousandths of a core; 0: unknown, or it serves no callers
};

/// For use on the loop's thread only, except for construction, `open` and `close`.
class fleet_view {
public:
    fleet_view(wire::event_loop& loop, const config::settings& settings,
               const wire::peer_limits& limits = {});
    ~fleet_view();
    fleet_view(const fleet_view&) = delete;
    fleet_view& operator=(const fleet_view&) = delete;

    /// Listens for peers, announces the given addresses to them and starts probing. `on_change` runs after
    /// each change of membership.
    result<done> open(const std::string& relay_address, const std::string& front_address,
                      std::function<void()> on_change);
    /// Adds peers listed in the store, for a new VM none of whose seeds is alive.
    void add_peers(std::vector<std::string> peer_addresses);
    /// Whether this VM's front accepts callers.
    void set_front_open(bool open);
    /// Whether this VM's store watches fail, so that another VM should be a watcher.
    void set_watch_failing(bool failing);
    /// Announces that this VM accepts no new work.
    void set_draining();
    /// Announces that this VM leaves; others take over its batches.
    void leave();
    /// Closes the connections to peers; call from another thread, before the loop stops.
    void close();

    /// Live gateways including this one, ordered by VM. Valid until the membership changes: not to be kept
    /// across a suspension of a coroutine.
    const std::vector<gateway_peer>& peers() const;
    /// The live gateway of this VM; null if there is none.
    const gateway_peer* find_peer(const std::string& vm) const;
    /// The live gateways that accept work and have most processor, ranked as owners of `key`. Views with
    /// equal membership rank equally. Valid as long as `peers`.
    const std::vector<std::string>& ranked_owners(const std::string& key) const;
    /// Whether the VM is alive under this incarnation, as far as is known here.
    bool is_alive(const std::string& vm, std::uint64_t incarnation) const;
    /// Whether this VM is among those with most processor, whether or not it accepts work yet.
    bool is_large() const;
    /// The gateway that is to run what `vm` accepted under this incarnation: that process while it lives,
    /// then the first by rank; empty if there is none.
    std::string owner_of(const std::string& vm, std::uint64_t incarnation, const std::string& key) const;
    /// Up to `count` live VMs that are to watch the store for the others. Valid as long as `peers`.
    const std::vector<std::string>& watchers(std::size_t count) const;
    bool isolated() const;
    const std::string& self() const { return vm_; }
    std::uint64_t incarnation() const { return incarnation_; }
    std::string peer_address() const;

private:
    struct state;
    /// What is derived from one generation of the membership.
    struct snapshot;
    std::string vm_;
    std::uint64_t incarnation_;
    std::unique_ptr<state> state_;
    std::unique_ptr<snapshot> snapshot_;

    snapshot& current() const;
};

} // namespace vanillagauge::gateway

#endif
