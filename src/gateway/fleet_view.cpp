#include "gateway/fleet_view.hpp"

#include "fleet/rendezvous.hpp"
#include "keeper/gossip.hpp"
#include "keeper/services.hpp"
#include "node/program.hpp"
#include "wire/peer_server.hpp"

#include <algorithm>

namespace vanillagauge::gateway {
namespace {

/// Roles under which a gateway announces its addresses.
constexpr const char* relay_role = "gateway";
constexpr const char* front_role = "front";

/// Well below the few seconds of silence after which a program is considered dead.
constexpr milliseconds heartbeat_interval{500};

fleet::node self_of(const config::settings& settings, std::uint64_t incarnation)
{
    fleet::node self;
    self.vm = settings.vm;
    self.failure_domain = settings.failure_domain;
    self.incarnation = incarnation;
    return self;
}

std::string host_of(const std::string& address)
{
    return address.substr(0, address.rfind(':'));
}

gateway_peer to_peer(const fleet::node& info)
{
    gateway_peer peer;
    peer.vm = info.vm;
    peer.incarnation = info.incarnation;
    peer.draining = info.draining;
    for (const auto& program : info.processes) {
        if (program.role == relay_role) {
            peer.relay_address = program.http_address;
            peer.draining = peer.draining || program.draining;
        }
        else if (program.role == front_role) {
            peer.front_address = program.http_address;
        }
    }
    return peer;
}

} // namespace

struct fleet_view::state {
    state(wire::event_loop& where, const config::settings& settings, std::uint64_t incarnation)
        : loop(where), keeper(self_of(settings, incarnation), steady::now()),
          exchange(keeper, where, settings), calls(node::access_of(settings.tokens)),
          service(keeper, exchange), server(where, calls), chosen(settings)
    {
        calls.mount(service, wire::role::peer);
    }

    wire::event_loop& loop;
    keeper::keeper_state keeper;
    keeper::gossip exchange;
    wire::dispatcher calls;
    keeper::peer_service service;
    wire::peer_server server;
    config::settings chosen;
    bool front_open = false;
    bool draining = false;

    void announce()
    {
        const auto now = steady::now();
        fleet::process relay;
        relay.role = relay_role;
        relay.http_address = chosen.gateway.relay_listen;
        relay.draining = draining;
        keeper.update_process(relay, now);
        fleet::process front;
        front.role = front_role;
        front.http_address = front_open ? chosen.gateway.front_listen : std::string{};
        keeper.update_process(front, now);
    }

    void announce_periodically()
    {
        announce();
        loop.after(heartbeat_interval, [this] { announce_periodically(); });
    }
};

fleet_view::fleet_view(wire::event_loop& loop, const config::settings& settings)
    : vm_(settings.vm), incarnation_(node::new_incarnation()),
      state_(std::make_unique<state>(loop, settings, incarnation_))
{
}

fleet_view::~fleet_view() = default;

result<done> fleet_view::open(const std::string& relay_address, const std::string& front_address,
                              std::function<void()> on_change)
{
    auto& held = *state_;
    held.chosen.gateway.relay_listen = relay_address;
    held.chosen.gateway.front_listen = front_address;
    const auto peer_address = held.server.open(held.chosen.keeper.peer_listen);
    if (!ok(peer_address)) {
        return failure(peer_address);
    }
    const auto datagrams = held.exchange.open(host_of(held.chosen.keeper.peer_listen));
    if (!ok(datagrams)) {
        return failure(datagrams);
    }
    held.keeper.set_addresses({value(peer_address), value(peer_address), value(datagrams)});
    held.keeper.on_change(std::move(on_change));
    held.loop.post([this] {
        state_->announce_periodically();
        state_->exchange.start();
    });
    return done{};
}

void fleet_view::add_peers(std::vector<std::string> peer_addresses)
{
    state_->exchange.set_store_peers(std::move(peer_addresses));
}

void fleet_view::set_front_open(bool open)
{
    if (state_->front_open != open) {
        state_->front_open = open;
        state_->announce();
    }
}

void fleet_view::set_watch_failing(bool failing)
{
    state_->keeper.set_watch_failing(failing);
}

void fleet_view::set_draining()
{
    state_->draining = true;
    state_->front_open = false;
    state_->announce();
}

void fleet_view::leave()
{
    state_->exchange.leave();
}

void fleet_view::close()
{
    state_->loop.post([this] { state_->exchange.stop(); });
    state_->server.close();
}

std::vector<gateway_peer> fleet_view::peers() const
{
    std::vector<gateway_peer> living;
    for (const auto& member : state_->keeper.members()) {
        if (member.state == fleet::member_state::alive || member.info.vm == vm_) {
            living.push_back(to_peer(member.info));
        }
    }
    std::sort(living.begin(), living.end(),
              [](const gateway_peer& left, const gateway_peer& right) { return left.vm < right.vm; });
    return living;
}

std::vector<std::string> fleet_view::ranked_owners(const std::string& key) const
{
    std::vector<std::string> able;
    for (const auto& peer : peers()) {
        if (!peer.draining && !peer.front_address.empty()) {
            able.push_back(peer.vm);
        }
    }
    return fleet::ranked_owners(key, std::move(able));
}

bool fleet_view::is_alive(const std::string& vm, std::uint64_t incarnation) const
{
    if (vm == vm_) {
        return incarnation == incarnation_;
    }
    for (const auto& member : state_->keeper.members()) {
        if (member.info.vm == vm) {
            const bool removed =
                member.state == fleet::member_state::dead || member.state == fleet::member_state::left;
            return !removed && member.info.incarnation == incarnation;
        }
    }
    return false;
}

std::vector<std::string> fleet_view::watchers(std::size_t count) const
{
    return fleet::choose_watchers(state_->keeper.members(), count);
}

bool fleet_view::isolated() const
{
    return state_->keeper.view().isolated;
}

std::string fleet_view::peer_address() const
{
    return state_->keeper.self().peer_address;
}

} // namespace vanillagauge::gateway
