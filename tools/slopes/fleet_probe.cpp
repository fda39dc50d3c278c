/// Measures a running fleet of keepers as a client: how long a configuration change takes to reach all
/// keepers, and how long a dead or paused node is still reported alive. Prints one JSON object.

#include "node/program.hpp"
#include "vanillagauge.pb.h"
#include "wire/wire.hpp"

#include <tclap/CmdLine.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <iostream>
#include <sstream>
#include <thread>

namespace {

using namespace vanillagauge;

constexpr milliseconds poll_interval{5};
constexpr milliseconds call_timeout{2000};
constexpr milliseconds max_wait{30000};
constexpr milliseconds between_trials{300};

struct fleet {
    wire::event_loop loop;
    std::vector<std::unique_ptr<wire::http_channel>> keepers;
    wire::call_options options;
};

template <class Reply>
result<Reply> ask(fleet& all, std::size_t keeper, const char* method,
                  const google::protobuf::Message& request)
{
    return wire::call_and_wait<Reply>(*all.keepers[keeper], wire::method<v1::Operator>(method), request,
                                      all.options);
}

/// Polls every keeper but `without` until `reached`; returns the time of each since `started`.
std::vector<milliseconds> times_until(fleet& all, std::size_t without, time_point started,
                                      const std::function<bool(std::size_t keeper)>& reached)
{
    std::vector<milliseconds> took(all.keepers.size(), milliseconds{0});
    std::vector<std::thread> pollers;
    for (std::size_t keeper = 0; keeper < all.keepers.size(); ++keeper) {
        if (keeper == without) {
            continue;
        }
        pollers.emplace_back([&, keeper] {
            while (steady::now() - started < max_wait && !reached(keeper)) {
                std::this_thread::sleep_for(poll_interval);
            }
            took[keeper] = milliseconds_between(started, steady::now());
        });
    }
    for (auto& poller : pollers) {
        poller.join();
    }
    return took;
}

/// Applies a change of one object through the keepers in turn; returns the time until the last keeper has
/// each.
std::vector<milliseconds> config_times(fleet& all, int trials)
{
    const auto name = "probe-" + std::to_string(node::new_incarnation());
    std::vector<milliseconds> everywhere;
    std::uint64_t version = 0;
    for (int trial = 0; trial < trials; ++trial) {
        v1::ApplyRequest change;
        auto& object = *change.mutable_object();
        object.set_kind("deployment");
        object.set_name(name);
        object.set_version(version);
        auto& fields = *object.mutable_spec()->mutable_fields();
        fields["kind"].set_string_value("service");
        fields["default_deadline_ms"].set_number_value(1000 + trial);
        fields["targets"].mutable_list_value();
        const auto at = static_cast<std::size_t>(trial) % all.keepers.size();
        const auto started = steady::now();
        const auto accepted = ask<v1::ApplyReply>(all, at, "Apply", change);
        if (!ok(accepted)) {
            std::cerr << describe(failure(accepted)) << "\n";
            continue;
        }
        version = value(accepted).object().version();
        const auto took = times_until(all, all.keepers.size(), started, [&](std::size_t keeper) {
            v1::GetRequest request;
            request.set_kind("deployment");
            request.set_name(name);
            const auto found = ask<v1::GetReply>(all, keeper, "Get", request);
            return ok(found) && value(found).object().version() >= version;
        });
        everywhere.push_back(*std::max_element(took.begin(), took.end()));
        std::this_thread::sleep_for(between_trials);
    }
    return everywhere;
}

/// Sends the signal; returns the time until no other keeper reports the VM alive.
milliseconds death_time(fleet& all, std::size_t victim, const std::string& vm, pid_t process, int signal)
{
    const auto started = steady::now();
    ::kill(process, signal);
    const auto took = times_until(all, victim, started, [&](std::size_t keeper) {
        const auto found = ask<v1::StatusReply>(all, keeper, "Status", v1::StatusRequest{});
        if (!ok(found)) {
            return false;
        }
        const auto& nodes = value(found).nodes();
        return std::none_of(nodes.begin(), nodes.end(), [&vm](const v1::NodeStatus& node) {
            return node.info().vm() == vm && node.state() == "alive";
        });
    });
    return *std::max_element(took.begin(), took.end());
}

milliseconds quantile(std::vector<milliseconds> times, double share)
{
    std::sort(times.begin(), times.end());
    return times.empty() ? milliseconds{-1}
                         : times[static_cast<std::size_t>(share * static_cast<double>(times.size() - 1))];
}

} // namespace

int main(int argc, char** argv)
{
    TCLAP::CmdLine line("Measures a running fleet of keepers", ' ', node::version());
    const TCLAP::MultiArg<std::string> keepers("k", "keeper", "Operators' address", true, "IP:PORT", line);
    const TCLAP::ValueArg<std::string> token("t", "token", "Operators' token", true, "", "TOKEN", line);
    const TCLAP::ValueArg<int> trials("n", "trials", "Changes of configuration", false, 0, "N", line);
    const TCLAP::ValueArg<int> victim("", "victim", "Place of the keeper to signal", false, -1, "N", line);
    const TCLAP::ValueArg<std::string> vm("", "vm", "Its VM", false, "", "VM", line);
    const TCLAP::ValueArg<int> process("", "pid", "Its process", false, 0, "PID", line);
    const TCLAP::ValueArg<int> signal("", "signal", "The signal's number", false, SIGKILL, "N", line);
    line.parse(argc, argv);
    node::block_stop_signals();
    wire::set_http_threads(16);
    fleet all;
    all.options.timeout = call_timeout;
    all.options.token = token.getValue();
    for (const auto& address : keepers.getValue()) {
        all.keepers.push_back(std::make_unique<wire::http_channel>(all.loop, address));
    }
    if (trials.getValue() > 0) {
        const auto times = config_times(all, trials.getValue());
        std::cout << "{\"trials\":" << times.size() << ",\"p50_ms\":" << quantile(times, 0.5).count()
                  << ",\"p99_ms\":" << quantile(times, 0.99).count()
                  << ",\"most_ms\":" << quantile(times, 1).count() << "}\n";
        return node::exit_success;
    }
    const auto took = death_time(all, static_cast<std::size_t>(victim.getValue()), vm.getValue(),
                                 process.getValue(), signal.getValue());
    std::cout << "{\"no_longer_alive_anywhere_ms\":" << took.count() << "}\n";
    return node::exit_success;
}
