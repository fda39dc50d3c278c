/// vg-load: open-loop load on entries, with surges, hot callers and faults.

#include "events.hpp"
#include "node/program.hpp"
#include "plan.hpp"
#include "report.hpp"
#include "sender.hpp"
#include "wire/http_server.hpp"

#include <tclap/CmdLine.h>

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <optional>
#include <thread>

namespace {

using namespace vanillagauge;

constexpr std::size_t http_threads = 8;
constexpr seconds drain_timeout{60};

struct run_options {
    load::plan_options plan;
    load::sender_options sender;
    std::vector<load::timed_event> events;
    std::string out;
};

template <class Parse>
bool parse_events(const std::vector<std::string>& texts, Parse parse, std::vector<load::timed_event>& into)
{
    for (const auto& text : texts) {
        const auto parsed = parse(text);
        if (!ok(parsed)) {
            std::cerr << describe(failure(parsed)) << "\n";
            return false;
        }
        into.push_back(value(parsed));
    }
    return true;
}

std::optional<run_options> read_options(int argc, char** argv)
{
    TCLAP::CmdLine line("Open-loop load on vanillagauge's entries", ' ', node::version());
    const TCLAP::MultiArg<std::string> entries("e", "entry", "Address of an entry", true, "IP:PORT", line);
    const TCLAP::ValueArg<std::string> token("t", "token", "Callers' token", false, "", "TOKEN", line);
    const TCLAP::ValueArg<std::string> mix("m", "mix", "aphrodisia, casco-limpo or calls", false, "calls",
                                           "MIX", line);
    const TCLAP::ValueArg<double> rate("r", "rate", "Requests a second", false, 100, "N", line);
    const TCLAP::ValueArg<int> length("s", "seconds", "Length", false, 10, "S", line);
    const TCLAP::ValueArg<int> callers("c", "callers", "Number of quiet callers", false, 50, "N", line);
    const TCLAP::ValueArg<double> hot("", "hot-share", "Share of one hot caller", false, 0, "SHARE", line);
    const TCLAP::ValueArg<int> seed("", "seed", "Seed of arrivals and callers", false, 1, "N", line);
    const TCLAP::SwitchArg surge("", "surge", "Ten times the rate in the middle third", line);
    const TCLAP::SwitchArg straight("", "straight", "Call targets, named by --entry, directly", line);
    const TCLAP::MultiArg<std::string> faults("", "fault", "Fault of a stand-in", false, "MS,IP:PORT,JSON",
                                              line);
    const TCLAP::MultiArg<std::string> signals("", "signal", "Signal to a process", false, "MS,PID,NAME",
                                               line);
    const TCLAP::ValueArg<std::string> out("o", "out", "File for the results as JSON", false, "", "FILE",
                                           line);
    line.parse(argc, argv);

    run_options options;
    const auto traffic = load::find_mix(mix.getValue());
    if (!ok(traffic)) {
        std::cerr << describe(failure(traffic)) << "\n";
        return std::nullopt;
    }
    options.plan.traffic = value(traffic);
    options.plan.rate = rate.getValue();
    options.plan.length = seconds{length.getValue()};
    options.plan.shape = surge.getValue() ? load::load_shape::surge : load::load_shape::steady;
    options.plan.callers = std::max(1, callers.getValue());
    options.plan.hot_share = hot.getValue();
    options.plan.seed = static_cast<std::uint64_t>(seed.getValue());
    options.sender = {entries.getValue(), token.getValue(), value(traffic), straight.getValue()};
    options.out = out.getValue();
    if (!parse_events(faults.getValue(), load::parse_fault, options.events) ||
        !parse_events(signals.getValue(), load::parse_signal, options.events)) {
        return std::nullopt;
    }
    return options;
}

int run(const run_options& options)
{
    const auto plan = load::make_plan(options.plan);
    wire::event_loop loop;
    auto channels = node::http_channels(loop);
    load::report results;
    load::sender sender(options.sender, channels, results);
    const auto start = steady::now();
    for (const auto& event : options.events) {
        loop.after(event.at, [&channels, &event] { load::trigger(event, channels); });
    }
    for (const auto& request : plan) {
        std::this_thread::sleep_until(start + request.start);
        sender.send(request, start);
    }
    const auto deadline = steady::now() + drain_timeout;
    while (sender.running() > 0 && steady::now() < deadline) {
        std::this_thread::sleep_for(milliseconds{10});
    }
    auto all = results.as_json(options.plan.length);
    all["never_answered"] = sender.running();
    all["seed"] = options.plan.seed;
    all["rate"] = options.plan.rate;
    if (!options.out.empty()) {
        std::ofstream(options.out) << all.dump(2) << "\n";
    }
    results.print_table(std::cout, options.plan.length);
    std::cout.flush();
    std::_Exit(sender.running() == 0 ? node::exit_success : node::exit_failure);
}

} // namespace

int main(int argc, char** argv)
{
    vanillagauge::node::block_stop_signals();
    vanillagauge::wire::set_http_threads(http_threads);
    const auto options = read_options(argc, argv);
    if (!options) {
        return vanillagauge::node::exit_usage;
    }
    return run(*options);
}
