/// vg-soak: the world around the gateways of a fault soak. Prints where they reach the store, waits for them,
/// spoils links, store and replicas for a while, and says whether the promises were kept.
#include "callers.hpp"

#include "wire/event_loop.hpp"

#include <boost/asio/io_context.hpp>
#include <tclap/CmdLine.h>

#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <future>
#include <iostream>
#include <thread>

namespace {

using namespace vanillagauge;
using nlohmann::json;

/// Orders of two holders lie at least this far apart; the gateways' `order_lease_ms`.
constexpr milliseconds order_lease{1500};
constexpr seconds longest_wait_for_gateways{30};
constexpr milliseconds look_every{50};
/// Longer than the time in which an ended batch must have stopped.
constexpr seconds last_look{4};

struct options {
    std::uint64_t seed = 0;
    seconds length{0};
    std::size_t gateways = 0;
    std::filesystem::path folder;
    soak::soak_plan plan = soak::soak_plan::mixed;
};

options parse_options(int argc, char** argv)
{
    TCLAP::CmdLine line("The world around the gateways of a fault soak.", ' ', "1");
    TCLAP::ValueArg<std::uint64_t> seed("", "seed", "of all draws", false, 1, "number", line);
    TCLAP::ValueArg<int> length("", "seconds", "with faults", false, 10, "seconds", line);
    TCLAP::ValueArg<int> gateways("", "gateways", "under test", false, 4, "number", line);
    TCLAP::ValueArg<std::string> folder("", "folder", "for settings and marks", true, ".", "path", line);
    std::vector<std::string> plans{"mixed", "stops"};
    TCLAP::ValuesConstraint<std::string> known_plans(plans);
    TCLAP::ValueArg<std::string> plan("", "plan", "what is spoiled", false, "mixed", &known_plans, line);
    line.parse(argc, argv);
    return {seed.getValue(), seconds(length.getValue()), static_cast<std::size_t>(gateways.getValue()),
            folder.getValue(), plan.getValue() == "stops" ? soak::soak_plan::stops : soak::soak_plan::mixed};
}

/// Ports that are free now and below those that the kernel gives to clients: a gateway takes its own again
/// after each restart, and meanwhile no connection may have got it.
class free_ports {
public:
    explicit free_ports(net::loop& loop)
        : loop_(loop), next_(first + static_cast<unsigned>(getpid()) * 41U % count)
    {
    }
    std::string take()
    {
        while (true) {
            next_ = next_ + 1 < first + count ? next_ + 1 : first;
            const auto port = static_cast<unsigned short>(next_);
            boost::asio::ip::tcp::acceptor probe(loop_);
            boost::system::error_code taken;
            probe.open(boost::asio::ip::tcp::v4());
            probe.bind({boost::asio::ip::make_address("127.0.0.1"), port}, taken);
            if (!taken) {
                return "127.0.0.1:" + std::to_string(port);
            }
        }
    }

private:
    static constexpr unsigned first = 12000;
    static constexpr unsigned count = 20000;
    net::loop& loop_;
    unsigned next_;
};

void write_settings(const options& chosen, std::size_t place, const std::string& store,
                    const soak::gateway_addresses& gateways, const std::vector<std::string>& peers)
{
    const auto& peer = peers[place];
    json settings;
    settings["vm"] = "g" + std::to_string(place);
    settings["failure_domain"] = "z" + std::to_string(place % 3);
    settings["platform"] = store;
    settings["http_threads"] = 2;
    settings["tokens"] = {{"caller", "caller-token"},
                          {"trainer", "trainer-token"},
                          {"operator", "operator-token"},
                          {"peer", "gateway-peers"}};
    settings["keeper"] = {{"address", peer}, {"peer_listen", peer}, {"seeds", peers}};
    auto& gateway = settings["gateway"];
    gateway["front_listen"] = gateways.fronts[place];
    gateway["directory_listen"] = gateways.directories[place];
    gateway["relay_listen"] = "127.0.0.1:0";
    gateway["stop_grace_s"] = 5;
    gateway["order_lease_ms"] = order_lease.count();
    gateway["advice_time_ms"] = 1000;
    std::ofstream(chosen.folder / ("g" + std::to_string(place) + ".json")) << settings.dump(2);
}

template <class Answer>
Answer ask(wire::event_loop& loop, std::function<Answer()> question)
{
    std::promise<Answer> told;
    loop.post([&] { told.set_value(question()); });
    return told.get_future().get();
}

/// The script that sends signals leaves marks: `up` once all gateways run, `calm` once no signal follows.
bool wait_for_mark(const options& chosen, const std::string& mark)
{
    const auto until = steady::now() + longest_wait_for_gateways;
    while (!std::filesystem::exists(chosen.folder / mark)) {
        if (steady::now() > until) {
            return false;
        }
        std::this_thread::sleep_for(look_every);
    }
    return true;
}

/// Orders of one engine by two holders that lie too close.
void check_orders(const soak::world& around, soak::ledger& book)
{
    for (const auto& placed : around.replicas()) {
        const auto& known = *placed.replica;
        for (std::size_t at = 1; at < known.orders.size(); ++at) {
            const auto& before = known.orders[at - 1];
            const auto& order = known.orders[at];
            const bool close = known.order_times[at] - known.order_times[at - 1] < order_lease;
            if (before.at("Holder") != order.at("Holder") && close) {
                book.violation("ONE: " + known.id() + " had orders of " + before.dump() + " and " +
                               order.dump());
            }
        }
    }
}

int run(const options& chosen)
{
    wire::event_loop loop;
    soak::ledger book;
    std::unique_ptr<soak::world> around;
    soak::gateway_addresses gateways;
    ask<bool>(loop, [&] {
        around = std::make_unique<soak::world>(loop.context(), chosen.seed, chosen.gateways, chosen.plan);
        std::vector<std::string> peers;
        free_ports ports(loop.context());
        for (std::size_t place = 0; place < chosen.gateways; ++place) {
            gateways.fronts.push_back(ports.take());
            gateways.directories.push_back(ports.take());
            peers.push_back(ports.take());
        }
        for (std::size_t place = 0; place < chosen.gateways; ++place) {
            write_settings(chosen, place, around->store_address(place), gateways, peers);
        }
        return true;
    });
    std::cout << json{{"ready", true}, {"seed", chosen.seed}}.dump() << std::endl;
    soak::callers clients(loop.context(), *around, book, gateways, chosen.seed);
    bool played = wait_for_mark(chosen, "up");
    if (played) {
        ask<bool>(loop, [&] {
            around->start();
            clients.start();
            return true;
        });
        std::this_thread::sleep_for(chosen.length);
        played = wait_for_mark(chosen, "calm");
        ask<bool>(loop, [&] {
            around->calm();
            return true;
        });
        std::promise<void> recovered;
        loop.post([&] {
            net::start(loop.context(), [](soak::callers& all, std::promise<void>& told) -> net::task<void> {
                co_await all.check_recovery();
                told.set_value();
            }(clients, recovered));
        });
        recovered.get_future().wait();
        std::this_thread::sleep_for(last_look);
    }
    const auto summary = ask<json>(loop, [&] {
        book.settle(around->ran(), clients.batches(), around->calm_since());
        book.check_planned_stops(soak::signal_log::read(chosen.folder / "signals"), around->ran());
        check_orders(*around, book);
        auto counts = book.counts();
        counts["seed"] = chosen.seed;
        counts["batches"] = clients.batches().size();
        counts["configurations"] = around->configuration();
        counts["versions"] = around->newest_version();
        counts["violations"] = book.violations();
        return counts;
    });
    loop.stop();
    if (!played) {
        std::cerr << "vg-soak: expected marks in " << chosen.folder << ", found none in time\n";
        return 2;
    }
    std::cout << summary.dump() << std::endl;
    return book.violations().empty() ? 0 : 1;
}

} // namespace

int main(int argc, char** argv)
{
    try {
        return run(parse_options(argc, argv));
    }
    catch (const std::exception& why) {
        std::cerr << "vg-soak: " << why.what() << "\n";
        return 2;
    }
}
