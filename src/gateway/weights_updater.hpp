/// Orders engines to load the weights versions that trainers require. One lease holder in the fleet does so
/// at a time.
#ifndef VANILLAGAUGE_GATEWAY_WEIGHTS_UPDATER_HPP
#define VANILLAGAUGE_GATEWAY_WEIGHTS_UPDATER_HPP

#include "gateway/configuration.hpp"
#include "gateway/fleet_view.hpp"
#include "gateway/object_store.hpp"
#include "gateway/target_protocol.hpp"
#include "gateway/target_registry.hpp"
#include "policy/order_lease.hpp"

#include <functional>
#include <map>
#include <set>
#include <string>

namespace vanillagauge::gateway {

class weights_updater {
public:
    /// `current` returns the active configuration. All must outlive it.
    weights_updater(net::loop& loop, object_store& store, const fleet_view& fleet, target_registry& targets,
                    const target_protocol& protocol, const config::settings& settings,
                    std::function<const configuration&()> current);

    void start();
    /// A trainer requires this version of a model; lower versions are ignored.
    void require_version(const std::string& model, std::uint64_t version);
    /// A trainer has submitted a batch of a model that needs this work, in output tokens.
    void note_demand(const std::string& model, double work);
    /// Orders no more loads and releases the lease.
    void stop();

private:
    net::loop& loop_;
    object_store& store_;
    const fleet_view& fleet_;
    target_registry& targets_;
    const target_protocol& protocol_;
    std::function<const configuration&()> current_;
    std::string order_holder_;
    std::string self_; ///< this VM in the lease, with its address: a replacement VM may reuse the name
    policy::order_lease lease_;
    time_point started_;
    duration clock_gap_{0}; ///< between the steady clock and one that includes time in suspension
    std::map<std::string, std::uint64_t> required_versions_;
    std::map<std::string, double> demand_;            ///< moving mean of the work of a model's batches
    std::set<std::string> loading_;                   ///< instance ids
    std::map<std::string, time_point> backoff_until_; ///< by instance id
    bool holder_alive_ = false;                       ///< according to the fleet view
    bool ranked_first_ = false; ///< ranked first among the possible successors of a failed holder
    bool stopped_ = false;

    net::task<void> run_loop();
    void update_candidate(time_point now);
    net::task<void> maintain_lease();
    net::task<void> read_lease();
    net::task<void> write_lease();
    net::task<void> release_lease(std::uint64_t version, milliseconds takeover_wait);
    void order_loads(time_point now);
    std::vector<target_ref> engines_of(const std::string& model) const;
    net::task<void> load(target_ref engine, std::string model, std::uint64_t version);
    net::task_of<engine_report> request_report(target_ref engine);
    net::task_of<order_outcome> send_order(target_ref engine, load_order order);
    bool was_suspended();
    bool single_version(const std::string& service) const;
};

} // namespace vanillagauge::gateway

#endif
