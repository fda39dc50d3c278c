/// Exchanges reports about the engines with the other gateways that use them.
#ifndef VANILLAGAUGE_GATEWAY_ENGINES_ENGINE_EXCHANGE_HPP
#define VANILLAGAUGE_GATEWAY_ENGINES_ENGINE_EXCHANGE_HPP

#include "gateway/batch_runner.hpp"
#include "gateway/engines/engine_view.hpp"
#include "gateway/peer_relay.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace vanillagauge::gateway {

/// Path on which a gateway sends its report; the response is the receiver's report.
constexpr const char* engine_report_path = "/engine-report";

nlohmann::json to_json(const policy::engine_report& report);
/// `invalid_argument` if a member is missing or of another type. Ranges are left to the ledger.
result<policy::engine_report> engine_report_from_json(const nlohmann::json& document);

/// A gateway that runs batches or orders loads sends its report to the owners of open batches: after a
/// change, at most every 100 ms; at least every 500 ms; an empty one at the end. The reports of one gateway
/// take at most some 5 KB/s; where they would take more, they are sent less often.
class engine_exchange {
public:
    /// All must outlive it.
    engine_exchange(net::loop& loop, peer_relay& peers, const fleet_view& fleet,
                    const target_registry& targets, const batch_runner& runner, engine_view& engines,
                    observe::metrics& counts);

    void start();
    /// Status 400 for a report that is malformed or larger than 64 KB.
    net::http_response serve(const net::http_request& request);

private:
    /// The last report that a peer got.
    struct sent_report {
        std::optional<std::uint64_t> changes; ///< `engine_view::own_changes`; none: it did not arrive
        time_point at{};
    };
    net::loop& loop_;
    peer_relay& peers_;
    const fleet_view& fleet_;
    const target_registry& targets_;
    const batch_runner& runner_;
    engine_view& engines_;
    observe::metrics& counts_;
    std::uint64_t sequence_ = 0;
    std::map<std::string, sent_report> sent_; ///< by VM, of the peers that hold a report that is not final
    std::set<std::string> sending_;           ///< VMs with a call in flight
    std::set<std::string> expected_;          ///< VMs
    std::set<std::string> silent_;            ///< VMs, of those expected
    time_point paid_until_{};                 ///< when the bytes sent so far fit the limit

    net::task<void> run_loop();
    void update(time_point now);
    bool is_active(time_point now) const;
    void expect_reports(const std::map<std::string, std::set<std::string>>& owners, time_point now);
    void review_silence(time_point now);
    void send_due_reports(const std::set<std::string>& owners, bool active, time_point now);
    net::task<void> send_to(std::string vm, std::string address, bool last);
    nlohmann::json next_report(time_point now);
    void charge(std::size_t bytes, time_point now);
    result<done> apply(const result<policy::engine_report>& report);
    void record_outcome(const char* outcome);
};

} // namespace vanillagauge::gateway

#endif
