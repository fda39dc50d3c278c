/// Counts the runs of callers' requests, and brings the counts of all gateways together.
#ifndef VANILLAGAUGE_GATEWAY_USAGE_EXCHANGE_HPP
#define VANILLAGAUGE_GATEWAY_USAGE_EXCHANGE_HPP

#include "gateway/duty_lease.hpp"
#include "gateway/peer_relay.hpp"
#include "usage/usage.hpp"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace vanillagauge::gateway {

/// Path on which a gateway sends its counts to a collector.
constexpr const char* usage_counts_path = "/usage-counts";
/// Path on which the holder of the duty asks a collector for a window.
constexpr const char* usage_window_path = "/usage-window";

/// Each gateway sends its counts to two collectors in different failure domains shortly after a run, so that
/// neither its own end nor that of one collector loses them.
class usage_exchange {
public:
    /// All must outlive it.
    usage_exchange(net::loop& loop, peer_relay& peers, const fleet_view& fleet, const duty_lease& duties,
                   usage::report_times times);

    void start();
    /// Sends at once what the collectors do not have yet.
    void flush();
    bool counting() const { return times_.window.count() > 0; }

    /// A replica began to run a request of the organisation.
    void record_run(const std::string& organisation, usage::wall_time began);
    net::http_response serve_counts(const net::http_request& request);
    net::http_response serve_window(const net::http_request& request) const;
    /// The runs of the window as this gateway and the other collectors know them.
    net::task<usage::counts> gather(std::uint64_t window);
    void forget_before(std::uint64_t window) { known_.forget_before(window); }

private:
    net::loop& loop_;
    peer_relay& peers_;
    const fleet_view& fleet_;
    const duty_lease& duties_;
    usage::report_times times_;
    std::string source_; ///< this process
    usage::ledger known_;
    std::uint64_t counted_ = 0;                  ///< runs counted here so far
    std::map<std::string, std::uint64_t> sent_;  ///< by collecting process, of `counted_`
    std::map<std::string, time_point> next_try_; ///< by collecting process
    std::set<std::string> sending_;              ///< collecting processes

    /// Relay addresses by process.
    std::map<std::string, std::string> collectors(std::size_t most) const;
    net::task<void> run_loop();
    void send_new_counts();
    net::task<void> send_to(std::string collector, std::string address);
};

} // namespace vanillagauge::gateway

#endif
