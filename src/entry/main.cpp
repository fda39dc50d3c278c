/// vg-entry: the service for callers on one VM.

#include "entry/claim_peer_service.hpp"
#include "entry/claim_target.hpp"
#include "entry/entry_service.hpp"
#include "entry/load_announcer.hpp"
#include "entry/quarantine_exchange.hpp"
#include "node/node.hpp"
#include "observe/observe.hpp"
#include "wire/wire.hpp"

#include <thread>

namespace {

using namespace vanillagauge;

int run(const config::settings& settings)
{
    wire::event_loop loop;
    observe::metrics metrics;
    metrics.set(node::build_info("vg-entry"), 1);
    node::keeper_link keeper(loop, settings);
    auto targets = node::http_channels(loop);
    node::target_directory directory(loop, {settings.entry_policy == config::entry_policy::adaptive});
    keeper.on_change([&] { directory.update(*keeper.current()); });
    const auto incarnation = node::new_incarnation();
    const entry::entry_context context{settings, loop, keeper, targets, directory, metrics, incarnation};
    auto entry_peers = node::peer_channels(loop);
    entry::claim_calls claims(
        {settings.vm, loop, keeper, entry_peers, settings.tokens.peer, metrics, incarnation},
        entry::run_at_targets(context));
    entry::entry_service service(context, claims);
    entry::claim_peer_service claim_service(claims);
    wire::dispatcher calls(node::access_of(settings.tokens));
    calls.mount(service, wire::role::caller);
    wire::http_server http(calls, {}, {{"/metrics", [&metrics] { return metrics.page(); }}});
    wire::dispatcher peer_calls(node::access_of(settings.tokens));
    peer_calls.mount(claim_service, wire::role::peer);
    wire::peer_server peers(loop, peer_calls);
    auto crash_peers = node::peer_channels(loop);
    entry::quarantine_exchange crashes({settings, loop, keeper, targets, directory, metrics, incarnation},
                                       crash_peers);
    peer_calls.mount(crashes, wire::role::peer);
    entry::load_announcer loads({settings, loop, keeper, targets, directory, metrics, incarnation});

    const auto http_address = http.open(settings.entry.http_listen);
    const auto peer_address = peers.open(settings.entry.peer_listen);
    for (const auto* address : {&http_address, &peer_address}) {
        if (!ok(*address)) {
            return node::report_unopened(failure(*address));
        }
    }
    keeper.follow({"entry", incarnation, value(http_address), value(peer_address), false, 0});
    claims.start_expiry();
    directory.poll_loads(targets);
    loads.start();
    node::print_ready("vg-entry",
                      {{"http_address", value(http_address)}, {"peer_address", value(peer_address)}});
    node::wait_for_stop();

    // Callers cache address advice, so the process first leaves the advice and serves until every cached
    // answer has expired; then it waits for calls in flight.
    keeper.announce([](fleet::process& self) { self.draining = true; });
    std::this_thread::sleep_for(settings.drain_time);
    claims.hand_over();
    http.close();
    keeper.stop();
    peers.close();
    loop.stop();
    return node::exit_success;
}

} // namespace

int main(int argc, char** argv)
{
    const auto started = vanillagauge::node::start("vg-entry", argc, argv);
    if (const auto* end = std::get_if<vanillagauge::node::exit_now>(&started)) {
        return end->code;
    }
    return run(std::get<vanillagauge::config::settings>(started));
}
