/// vg-rollout: runs jobs, rolls out weight versions and serves trainer pulls on one VM.

#include "node/node.hpp"
#include "observe/observe.hpp"
#include "rollout/rollout_service.hpp"
#include "wire/wire.hpp"

namespace {

using namespace vanillagauge;

constexpr milliseconds tick_interval{50};

void tick_forever(wire::event_loop& loop, rollout::rollout_service& service)
{
    service.tick();
    loop.after(tick_interval, [&loop, &service] { tick_forever(loop, service); });
}

int run(const config::settings& settings)
{
    wire::event_loop loop;
    observe::metrics metrics;
    metrics.set(node::build_info("vg-rollout"), 1);
    node::keeper_link keeper(loop, settings);
    auto targets = node::http_channels(loop);
    node::target_directory directory;
    rollout::engine_directory engines;
    rollout::recorder records(settings.record_file, settings.vm);
    keeper.on_change([&] {
        directory.update(*keeper.current());
        engines.update(*keeper.current());
    });
    rollout::rollout_service service({settings, loop, keeper, targets, directory, engines, metrics, records});
    wire::dispatcher calls(node::access_of(settings.tokens));
    calls.mount(service, wire::role::trainer);
    wire::http_server http(calls, {}, {{"/metrics", [&metrics] { return metrics.page(); }}});
    const auto http_address = http.open(settings.rollout.http_listen);
    if (!ok(http_address)) {
        return node::report_unopened(failure(http_address));
    }
    keeper.follow({"rollout", node::new_incarnation(), value(http_address), "", false, 0});
    tick_forever(loop, service);
    node::print_ready("vg-rollout", {{"http_address", value(http_address)}});
    node::wait_for_stop();
    keeper.announce([](fleet::process& self) { self.draining = true; });
    service.stop();
    http.close();
    keeper.stop();
    loop.stop();
    return node::exit_success;
}

} // namespace

int main(int argc, char** argv)
{
    const auto started = vanillagauge::node::start("vg-rollout", argc, argv);
    if (const auto* end = std::get_if<vanillagauge::node::exit_now>(&started)) {
        return end->code;
    }
    return run(std::get<vanillagauge::config::settings>(started));
}
