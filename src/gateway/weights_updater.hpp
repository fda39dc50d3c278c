/// Orders engines to load the weights versions that trainers require. One lease holder in the fleet does so
/// at a time.
#ifndef VANILLAGAUGE_GATEWAY_WEIGHTS_UPDATER_HPP
#define VANILLAGAUGE_GATEWAY_WEIGHTS_UPDATER_HPP

#include "gateway/batches/trainer_schedules.hpp"
#include "gateway/configuration.hpp"
#include "gateway/duty_lease.hpp"
#include "gateway/engines/engine_view.hpp"
#include "gateway/target_protocol.hpp"
#include "gateway/target_registry.hpp"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <variant>

namespace vanillagauge::gateway {

class weights_updater {
public:
    /// `current` returns the active configuration; `engines` learns of each load. All must outlive it.
    weights_updater(net::loop& loop, duty_lease& lease, target_registry& targets, engine_view& engines,
                    const target_protocol& protocol, const config::settings& settings,
                    std::function<const configuration&()> current, const trainer_schedules& trainers,
                    observe::metrics& counts);

    void start();
    /// A trainer requires this version of a model; lower versions are ignored.
    void require_version(const std::string& model, std::uint64_t version);
    /// A trainer has submitted a batch of a model that needs this work, in output tokens.
    void note_demand(const std::string& model, double work);
    /// Orders no more loads.
    void stop();

private:
    net::loop& loop_;
    duty_lease& lease_;
    target_registry& targets_;
    engine_view& engines_;
    const target_protocol& protocol_;
    std::function<const configuration&()> current_;
    const trainer_schedules& trainers_;
    observe::metrics& counts_;
    std::string order_holder_;
    std::map<std::string, std::uint64_t> required_versions_;
    std::map<std::string, double> demand_;            ///< moving mean of the work of a model's batches
    std::set<std::string> loading_;                   ///< instance ids
    std::map<std::string, time_point> backoff_until_; ///< by instance id
    std::map<std::string, std::size_t> deferred_;     ///< loads by model, as last reported
    bool stopped_ = false;

    net::task<void> run_loop();
    void order_loads(time_point now);
    void measure_work(policy::model_engine& view, const target& engine, time_point now) const;
    void report_deferred(const std::string& model, std::size_t engines);
    std::vector<target_ref> engines_of(const std::string& model) const;
    net::task<void> load(target_ref engine, std::string model, std::uint64_t version);
    /// The connection's response belongs to another request; the one to this request is lost.
    struct foreign_response {};
    using engine_exchange_result = std::variant<net::http_response, foreign_response, error>;
    net::task<engine_exchange_result> exchange(target_ref engine,
                                               std::shared_ptr<net::http_connection> connection,
                                               net::http_request request, time_point until);
    net::task_of<engine_report> request_report(target_ref engine);
    net::task_of<order_outcome> send_order(target_ref engine, load_order order);
    bool single_version(const std::string& service) const;
};

} // namespace vanillagauge::gateway

#endif
