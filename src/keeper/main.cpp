/// vg-keeper: one per VM. Membership, the configuration, and all traffic with the Object API.

#include "keeper/config_feed.hpp"
#include "keeper/gossip.hpp"
#include "keeper/services.hpp"
#include "keeper/snapshot_updater.hpp"
#include "node/node.hpp"
#include "observe/observe.hpp"
#include "wire/wire.hpp"

#include <future>
#include <iostream>

namespace {

using namespace vanillagauge;

std::string host_of(const std::string& address)
{
    return address.substr(0, address.rfind(':'));
}

std::string line(const char* metric, std::uint64_t number)
{
    const auto name = "vanillagauge_keeper_" + std::string(metric);
    const char* type = name.ends_with("_total") ? " counter\n" : " gauge\n";
    return "# TYPE " + name + type + name + " " + std::to_string(number) + "\n";
}

std::string page(const keeper::keeper_state& state, const keeper::gossip& exchange,
                 const objects::object_client& store)
{
    const auto datagrams = exchange.counts();
    const auto peer_calls = exchange.peer_calls();
    const auto calls = store.counts();
    return line("datagrams_sent_total", datagrams.sent) +
           line("datagram_sent_bytes_total", datagrams.sent_bytes) +
           line("datagrams_received_total", datagrams.received) +
           line("datagram_received_bytes_total", datagrams.received_bytes) +
           line("datagrams_refused_total", datagrams.refused) + line("peer_calls_total", peer_calls.calls) +
           line("peer_call_bytes_total", peer_calls.bytes) + line("store_reads_total", calls.reads) +
           line("store_writes_total", calls.writes) + line("store_lists_total", calls.lists) +
           line("store_watches_total", calls.watches) + line("store_over_budget_total", calls.over_budget) +
           line("config_newest_version", state.config_mark().newest_version) +
           line("members", state.member_count());
}

int run(const config::settings& settings)
{
    wire::event_loop loop;
    wire::http_channel store_link(loop, settings.platform);
    objects::object_client store(store_link, loop);

    fleet::node self;
    self.vm = settings.vm;
    self.failure_domain = settings.failure_domain;
    self.incarnation = node::new_incarnation();
    wire::dispatcher peer_calls(node::access_of(settings.tokens));
    wire::dispatcher operator_calls(node::access_of(settings.tokens));
    wire::peer_server peers(loop, peer_calls);

    keeper::keeper_state state(self, steady::now());
    keeper::gossip exchange(state, loop, settings);
    wire::http_server operators(operator_calls, {},
                                {{"/metrics", [&] { return page(state, exchange, store); }}});
    keeper::config_feed feed(state, store, loop);
    keeper::lease_renewer lease(state, store, loop);
    keeper::config_counter counter(state, loop, settings.tokens.peer);
    keeper::peer_service peer_service(state, exchange);
    keeper::local_service local_service(state, store, lease, loop);
    keeper::operator_watch watches(state, loop);
    keeper::operator_service operator_service(state, store, counter, watches);
    peer_calls.mount(peer_service, wire::role::peer);
    peer_calls.mount(local_service, wire::role::peer);
    operator_calls.mount(operator_service, wire::role::operators);
    state.on_change([&local_service, &watches] {
        local_service.notify();
        watches.notify();
    });

    const auto peer_address = peers.open(settings.keeper.peer_listen);
    const auto operator_address = operators.open(settings.keeper.operator_listen);
    const auto datagram_address = exchange.open(host_of(settings.keeper.peer_listen));
    for (const auto* address : {&peer_address, &operator_address, &datagram_address}) {
        if (!ok(*address)) {
            std::cerr << describe(failure(*address)) << "\n";
            return node::exit_failure;
        }
    }
    state.set_addresses({value(peer_address), value(operator_address), value(datagram_address)});
    exchange.on_list_needed([&feed] { feed.list_once(); });
    keeper::snapshot_updater snapshots(state, settings.data_folder);
    exchange.add_seeds(snapshots.load());
    snapshots.start();
    lease.on_peers(
        [&exchange](std::vector<std::string> named) { exchange.set_store_peers(std::move(named)); });
    exchange.start();
    feed.start();
    lease.start();
    node::print_ready("vg-keeper",
                      {{"peer_address", value(peer_address)}, {"operator_address", value(operator_address)}});
    node::wait_for_stop();
    // The loop drops what has not started when it stops, and peers would then take the departure for a death.
    std::promise<void> told;
    loop.post([&] {
        exchange.leave();
        told.set_value();
    });
    told.get_future().wait();
    watches.stop();
    operators.close();
    peers.close();
    loop.stop();
    return node::exit_success;
}

} // namespace

int main(int argc, char** argv)
{
    const auto started = vanillagauge::node::start("vg-keeper", argc, argv);
    if (const auto* end = std::get_if<vanillagauge::node::exit_now>(&started)) {
        return end->code;
    }
    return run(std::get<vanillagauge::config::settings>(started));
}
