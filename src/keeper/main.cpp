/// vg-keeper runs once per VM: membership, the configuration, and all calls to the Object API.

#include "keeper/config_feed.hpp"
#include "keeper/gossip.hpp"
#include "keeper/services.hpp"
#include "keeper/snapshot_updater.hpp"
#include "node/node.hpp"
#include "observe/observe.hpp"
#include "wire/wire.hpp"

#include <future>

namespace {

using namespace vanillagauge;

std::string host_of(const std::string& address)
{
    return address.substr(0, address.rfind(':'));
}

std::string metric_line(const char* metric, std::uint64_t number)
{
    const auto name = "vanillagauge_keeper_" + std::string(metric);
    const char* type = name.ends_with("_total") ? " counter\n" : " gauge\n";
    return "# TYPE " + name + type + name + " " + std::to_string(number) + "\n";
}

std::string metrics_page(const keeper::keeper_state& state, const keeper::gossip& gossip,
                         const objects::object_client& store)
{
    const auto datagrams = gossip.counts();
    const auto peer_calls = gossip.peer_calls();
    const auto calls = store.counts();
    return metric_line("datagrams_sent_total", datagrams.sent) +
           metric_line("datagram_sent_bytes_total", datagrams.sent_bytes) +
           metric_line("datagrams_received_total", datagrams.received) +
           metric_line("datagram_received_bytes_total", datagrams.received_bytes) +
           metric_line("datagrams_refused_total", datagrams.refused) +
           metric_line("peer_calls_total", peer_calls.calls) +
           metric_line("peer_call_bytes_total", peer_calls.bytes) +
           metric_line("store_reads_total", calls.reads) + metric_line("store_writes_total", calls.writes) +
           metric_line("store_lists_total", calls.lists) + metric_line("store_watches_total", calls.watches) +
           metric_line("store_over_budget_total", calls.over_budget) +
           metric_line("config_newest_version", state.config_mark().newest_version) +
           metric_line("members", state.member_count());
}

int run(const config::settings& settings)
{
    wire::event_loop loop;
    wire::http_channel store_channel(loop, settings.platform);
    objects::object_client store(store_channel, loop);

    fleet::node self;
    self.vm = settings.vm;
    self.failure_domain = settings.failure_domain;
    self.incarnation = node::new_incarnation();
    wire::dispatcher peer_calls(node::access_of(settings.tokens));
    wire::dispatcher operator_calls(node::access_of(settings.tokens));
    wire::peer_server peers(loop, peer_calls);

    keeper::keeper_state state(self, steady::now());
    keeper::gossip gossip(state, loop, settings);
    wire::http_server operators(operator_calls, {},
                                {{"/metrics", [&] { return metrics_page(state, gossip, store); }}});
    keeper::config_feed feed(state, store, loop);
    keeper::lease_renewer lease(state, store, loop);
    keeper::config_counter counter(state, loop, settings.tokens.peer);
    keeper::peer_service peer_service(state, gossip);
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
    const auto datagram_address = gossip.open(host_of(settings.keeper.peer_listen));
    for (const auto* address : {&peer_address, &operator_address, &datagram_address}) {
        if (!ok(*address)) {
            return node::report_unopened(failure(*address));
        }
    }
    state.set_addresses({value(peer_address), value(operator_address), value(datagram_address)});
    gossip.on_list_needed([&feed] { feed.list_once(); });
    keeper::snapshot_updater snapshots(state, settings.data_folder);
    gossip.add_seeds(snapshots.load());
    snapshots.start();
    lease.on_peers([&gossip](std::vector<std::string> named) { gossip.set_store_peers(std::move(named)); });
    gossip.start();
    feed.start();
    lease.start();
    node::print_ready("vg-keeper",
                      {{"peer_address", value(peer_address)}, {"operator_address", value(operator_address)}});
    node::wait_for_stop();
    // A stopping loop drops pending work. Without the announcement, peers would treat the stop as a failure.
    std::promise<void> leave_sent;
    loop.post([&] {
        gossip.leave();
        leave_sent.set_value();
    });
    leave_sent.get_future().wait();
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
