#include "gateway/fleet_view.hpp"

#include "fleet/rendezvous.hpp"
#include "keeper/gossip.hpp"
#include "keeper/services.hpp"
#include "node/program.hpp"
#include "policy/owner_choice.hpp"
#include "wire/peer_server.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <unordered_map>

namespace vanillagauge::gateway {
namespace {

/// Roles under which a gateway announces its addresses.
constexpr const char* relay_role = "gateway";
constexpr const char* front_role = "front";

/// Keys of one generation: batches under way and a few duties.
constexpr std::size_t max_rankings = 512;

constexpr double thousandths = 1000;

/// Well below the few seconds of silence after which a program is considered dead.
constexpr milliseconds heartbeat_interval{500};

fleet::node self_of(const config::settings& settings, std::uint64_t incarnation)
{
    fleet::node self;
    self.vm = settings.vm;
    self.failure_domain = settings.failure_domain;
    self.incarnation = incarnation;
    // A VM without callers runs no batches and orders no weights, so its processor must not count beside
    // theirs.
    const bool serves_callers = !settings.gateway.front_listen.empty();
    self.capacity = serves_callers ? static_cast<std::uint32_t>(settings.gateway.cpu_share * thousandths) : 0;
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
    peer.failure_domain = info.failure_domain;
    peer.incarnation = info.incarnation;
    peer.draining = info.draining;
    peer.capacity = info.capacity;
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
    state(wire::event_loop& where, const config::settings& settings, std::uint64_t incarnation,
          const wire::peer_limits& limits)
        : loop(where), keeper(self_of(settings, incarnation), steady::now()),
          exchange(keeper, where, settings), calls(node::access_of(settings.tokens)),
          service(keeper, exchange), server(where, calls, limits), chosen(settings)
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

struct fleet_view::snapshot {
    std::uint64_t generation = 0;
    bool isolated = false;
    std::optional<bool> large; ///< whether this VM is
    std::vector<fleet::member> members;
    std::vector<gateway_peer> peers;                                    ///< ordered by VM
    std::unordered_map<std::string, std::uint64_t> incarnations;        ///< by VM, neither dead nor left
    std::unordered_map<std::string, std::vector<std::string>> rankings; ///< by key
    std::map<std::size_t, std::vector<std::string>> watchers;           ///< by count
};

fleet_view::fleet_view(wire::event_loop& loop, const config::settings& settings,
                       const wire::peer_limits& limits)
    : vm_(settings.vm), incarnation_(node::new_incarnation()),
      state_(std::make_unique<state>(loop, settings, incarnation_, limits)),
      snapshot_(std::make_unique<snapshot>())
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

// Several tasks ask for the membership ten times a second. Copying, sorting and hashing all members each time
// would make the processor time of an idle gateway grow with the fleet, so all of it is done once a change.
fleet_view::snapshot& fleet_view::current() const
{
    const auto generation = state_->keeper.members_generation();
    auto& known = *snapshot_;
    if (known.generation == generation) {
        return known;
    }
    auto view = state_->keeper.view();
    known = {};
    known.generation = view.generation;
    known.isolated = view.isolated;
    known.members = std::move(view.members);
    for (const auto& member : known.members) {
        const bool removed =
            member.state == fleet::member_state::dead || member.state == fleet::member_state::left;
        if (!removed) {
            known.incarnations[member.info.vm] = member.info.incarnation;
        }
        if (member.state == fleet::member_state::alive || member.info.vm == vm_) {
            known.peers.push_back(to_peer(member.info));
        }
    }
    std::sort(known.peers.begin(), known.peers.end(),
              [](const gateway_peer& left, const gateway_peer& right) { return left.vm < right.vm; });
    return known;
}

const std::vector<gateway_peer>& fleet_view::peers() const
{
    return current().peers;
}

const gateway_peer* fleet_view::find_peer(const std::string& vm) const
{
    const auto& living = peers();
    const auto found =
        std::lower_bound(living.begin(), living.end(), vm,
                         [](const gateway_peer& peer, const std::string& name) { return peer.vm < name; });
    return found != living.end() && found->vm == vm ? &*found : nullptr;
}

const std::vector<std::string>& fleet_view::ranked_owners(const std::string& key) const
{
    auto& known = current();
    if (const auto found = known.rankings.find(key); found != known.rankings.end()) {
        return found->second;
    }
    if (known.rankings.size() >= max_rankings) {
        known.rankings.clear();
    }
    std::vector<policy::owner_candidate> able;
    for (const auto& peer : known.peers) {
        if (!peer.draining && !peer.front_address.empty()) {
            able.push_back({peer.vm, peer.capacity});
        }
    }
    return known.rankings[key] = fleet::ranked_owners(key, policy::largest_owners(std::move(able)));
}

bool fleet_view::is_alive(const std::string& vm, std::uint64_t incarnation) const
{
    if (vm == vm_) {
        return incarnation == incarnation_;
    }
    const auto& known = current().incarnations;
    const auto found = known.find(vm);
    return found != known.end() && found->second == incarnation;
}

bool fleet_view::is_large() const
{
    auto& known = current();
    if (!known.large) {
        std::vector<policy::owner_candidate> living;
        for (const auto& peer : known.peers) {
            living.push_back({peer.vm, peer.capacity});
        }
        const auto large = policy::largest_owners(std::move(living));
        known.large = std::find(large.begin(), large.end(), vm_) != large.end();
    }
    return *known.large;
}

std::string fleet_view::owner_of(const std::string& vm, std::uint64_t incarnation,
                                 const std::string& key) const
{
    if (is_alive(vm, incarnation)) {
        return vm;
    }
    const auto& ranked = ranked_owners(key);
    return ranked.empty() ? std::string{} : ranked.front();
}

const std::vector<std::string>& fleet_view::watchers(std::size_t count) const
{
    auto& known = current();
    const auto found = known.watchers.find(count);
    if (found != known.watchers.end()) {
        return found->second;
    }
    return known.watchers[count] = fleet::choose_watchers(known.members, count);
}

bool fleet_view::isolated() const
{
    return current().isolated;
}

std::string fleet_view::peer_address() const
{
    return state_->keeper.self().peer_address;
}

} // namespace vanillagauge::gateway
