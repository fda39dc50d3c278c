#include "gateway/usage_exchange.hpp"

#include "gateway/internal/usage_messages.hpp"
#include "gateway/untrusted_json.hpp"
#include "observe/log.hpp"

#include <set>

namespace vanillagauge::gateway {

using nlohmann::json;

namespace {

/// Bounds what a killed gateway loses; several runs share one message.
constexpr milliseconds send_interval{200};
constexpr milliseconds send_timeout{1000};
constexpr milliseconds retry_delay{500};

constexpr std::size_t collectors_sent_to = 2;
/// Gateways whose views of the fleet differ may choose other collectors.
constexpr std::size_t collectors_asked = 4;
constexpr milliseconds gather_timeout{700};

std::string process_name(const std::string& vm, std::uint64_t incarnation)
{
    return vm + "/" + std::to_string(incarnation);
}

} // namespace

usage_exchange::usage_exchange(net::loop& loop, peer_relay& peers, const fleet_view& fleet,
                               const duty_lease& duties, usage::report_times times)
    : loop_(loop), peers_(peers), fleet_(fleet), duties_(duties), times_(times),
      source_(process_name(fleet.self(), fleet.incarnation()))
{
}

void usage_exchange::start()
{
    if (counting()) {
        net::start(loop_, run_loop());
    }
}

void usage_exchange::flush()
{
    if (counting()) {
        next_try_.clear();
        send_new_counts();
    }
}

void usage_exchange::record_run(const std::string& organisation, usage::wall_time began)
{
    if (!counting()) {
        return;
    }
    known_.count(source_, usage::window_at(began, times_.window), organisation);
    ++counted_;
}

// The first by rank usually holds the duty. The others are chosen from other failure domains first.
std::map<std::string, std::string> usage_exchange::collectors(std::size_t most) const
{
    std::map<std::string, std::string> chosen;
    std::set<std::string> domains;
    const auto choose = [&](bool only_new_domains) {
        for (const auto& vm : duties_.ranked_holders()) {
            const auto* peer = fleet_.find_peer(vm);
            const bool full = chosen.size() >= most;
            if (peer == nullptr || full || (only_new_domains && domains.contains(peer->failure_domain))) {
                continue;
            }
            domains.insert(peer->failure_domain);
            chosen[process_name(vm, peer->incarnation)] = peer->relay_address;
        }
    };
    choose(true);
    choose(false);
    return chosen;
}

net::task<void> usage_exchange::run_loop()
{
    while (true) {
        send_new_counts();
        known_.forget_before(usage::oldest_useful_window(times_, std::chrono::system_clock::now()));
        co_await net::sleep_for(loop_, send_interval);
    }
}

// A new collector gets all that is known of this process, so that the loss of a collector loses nothing.
void usage_exchange::send_new_counts()
{
    for (auto& [collector, address] : collectors(collectors_sent_to)) {
        const bool waits = steady::now() < next_try_[collector] || sending_.contains(collector);
        if (collector == source_ || sent_[collector] == counted_ || waits) {
            continue;
        }
        sending_.insert(collector);
        net::start(loop_, send_to(collector, address));
    }
}

net::task<void> usage_exchange::send_to(std::string collector, std::string address)
{
    const auto counted = counted_;
    auto body = internal::to_json({source_, known_.of_source(source_)});
    const auto answer = co_await peers_.call_peer(std::move(address), usage_counts_path, std::move(body),
                                                  steady::now() + send_timeout);
    sending_.erase(collector);
    if (ok(answer)) {
        sent_[collector] = counted;
        co_return;
    }
    next_try_[collector] = steady::now() + retry_delay;
    observe::log(observe::log_level::warning, "usage_not_sent",
                 {{"to", collector}, {"why", describe(failure(answer))}});
}

net::http_response usage_exchange::serve_counts(const net::http_request& request)
{
    net::http_response response;
    response.body = "{}";
    const auto message = internal::counts_message_from_json(parse_peer_json(request.body));
    if (!ok(message)) {
        observe::log(observe::log_level::warning, "usage_counts_refused",
                     {{"why", describe(failure(message))}});
        response.status = 400;
        response.body = failure(message).detail;
        return response;
    }
    for (const auto& [window, runs] : value(message).windows) {
        known_.merge(value(message).source, window, runs);
    }
    return response;
}

net::http_response usage_exchange::serve_window(const net::http_request& request) const
{
    net::http_response response;
    const auto wanted = integer_or(parse_peer_json(request.body), "window", -1);
    if (wanted < 0) {
        response.status = 400;
        response.body = "expected the number of a window";
        return response;
    }
    response.body = internal::to_json(known_.of_window(static_cast<std::uint64_t>(wanted))).dump();
    return response;
}

net::task<usage::counts> usage_exchange::gather(std::uint64_t window)
{
    const auto asked = collectors(collectors_asked);
    for (const auto& [collector, address] : asked) {
        if (collector == source_) {
            continue;
        }
        json body{{"window", window}};
        const auto answer = co_await peers_.call_peer(address, usage_window_path, std::move(body),
                                                      steady::now() + gather_timeout);
        const auto known = ok(answer) ? internal::source_counts_from_json(value(answer))
                                      : result<usage::source_counts>(failure(answer));
        if (!ok(known)) {
            observe::log(observe::log_level::warning, "usage_not_gathered",
                         {{"from", collector}, {"why", describe(failure(known))}});
            continue;
        }
        for (const auto& [source, runs] : value(known)) {
            known_.merge(source, window, runs);
        }
    }
    co_return known_.total(window);
}

} // namespace vanillagauge::gateway
