/// This gateway's place among the others, by the keepers' failure detector.
#ifndef VANILLAGAUGE_GATEWAY_FLEET_VIEW_HPP
#define VANILLAGAUGE_GATEWAY_FLEET_VIEW_HPP

#include "config/settings.hpp"
#include "fleet/membership.hpp"
#include "wire/event_loop.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace vanillagauge::gateway {

/// A gateway that lives, as the others know it.
struct gateway_peer {
    std::string vm;
    std::uint64_t incarnation = 0;
    std::string relay_address;
    std::string front_address; ///< empty: it serves no callers
    bool draining = false;
};

/// Runs on the loop's thread, but for construction and `open`.
class fleet_view {
public:
    fleet_view(wire::event_loop& loop, const config::settings& settings);
    ~fleet_view();
    fleet_view(const fleet_view&) = delete;
    fleet_view& operator=(const fleet_view&) = delete;

    // Commands.
    /// Opens the peers' addresses and starts to probe. `on_change` runs after each change of the members.
    /// The addresses are those that the others are told.
    result<done> open(const std::string& relay_address, const std::string& front_address,
                      std::function<void()> on_change);
    /// Peers that the store names, for a newcomer whose seeds are all gone.
    void add_peers(std::vector<std::string> peer_addresses);
    /// Whether callers may be sent to this VM's front.
    void set_front_open(bool open);
    /// The store does not serve this VM's watches: another should watch for the others.
    void set_watch_failing(bool failing);
    /// From now on no new work is to come here.
    void set_draining();
    /// Tells the others that this VM leaves; its batches are theirs.
    void leave();
    /// Ends the connections with the others; from another thread, before the loop stops.
    void close();

    // Queries.
    /// Living gateways, this one among them, by VM.
    std::vector<gateway_peer> peers() const;
    /// Living gateways that take work, in the order in which they would own `thing`: the same by every view
    /// that agrees on the members.
    std::vector<std::string> ranked_owners(const std::string& key) const;
    /// A VM is alive under this incarnation, as far as this one knows.
    bool is_alive(const std::string& vm, std::uint64_t incarnation) const;
    /// Up to `count` living VMs that watch the store for the others.
    std::vector<std::string> watchers(std::size_t count) const;
    bool isolated() const;
    const std::string& self() const { return vm_; }
    std::uint64_t incarnation() const { return incarnation_; }
    std::string peer_address() const;

private:
    struct state;
    std::string vm_;
    std::uint64_t incarnation_;
    std::unique_ptr<state> state_;
};

} // namespace vanillagauge::gateway

#endif
