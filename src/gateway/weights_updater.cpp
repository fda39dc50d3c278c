#include "gateway/weights_updater.hpp"

#include "gateway/internal/foreign_response.hpp"
#include "observe/log.hpp"
#include "policy/weight_load_plan.hpp"

#include <algorithm>

namespace vanillagauge::gateway {
namespace {

constexpr milliseconds poll_interval{100};

/// A load takes about a second; afterwards the engine is polled until it reports the version. Its report lags
/// by some hundred milliseconds, its entry in the store by more than a second.
constexpr milliseconds expected_load_time{900};
constexpr milliseconds report_poll_interval{150};
constexpr milliseconds load_timeout{6000};
/// A report shows within this time that an engine already had the version.
constexpr milliseconds report_timeout{1000};
/// An order without a response may be executed seconds later.
constexpr milliseconds unanswered_backoff{1500};
constexpr milliseconds refused_backoff{400};
constexpr milliseconds call_timeout{1000};
constexpr std::size_t max_response_bytes = 1U << 20U;
/// For an engine that specifies no idle timeout of connections.
constexpr milliseconds default_idle_time{4000};

} // namespace

weights_updater::weights_updater(net::loop& loop, duty_lease& lease, target_registry& targets,
                                 engine_view& engines, const target_protocol& protocol,
                                 const config::settings& settings,
                                 std::function<const configuration&()> current,
                                 const trainer_schedules& trainers, observe::metrics& counts)
    : loop_(loop), lease_(lease), targets_(targets), engines_(engines), protocol_(protocol),
      current_(std::move(current)), trainers_(trainers), counts_(counts),
      order_holder_(settings.gateway.model_order_holder.empty() ? settings.vm
                                                                : settings.gateway.model_order_holder)
{
}

void weights_updater::start()
{
    net::start(loop_, run_loop());
}

void weights_updater::stop()
{
    stopped_ = true;
}

void weights_updater::require_version(const std::string& model, std::uint64_t version)
{
    auto& newest = required_versions_[model];
    if (version > newest) {
        newest = version;
        observe::log(observe::log_level::info, "version_named",
                     {{"model", model}, {"version", static_cast<std::int64_t>(version)}});
    }
}

void weights_updater::note_demand(const std::string& model, double work)
{
    constexpr double smoothing = 0.3;
    if (work <= 0) {
        return;
    }
    auto& mean = demand_[model];
    mean = mean > 0 ? mean * (1 - smoothing) + work * smoothing : work;
}

net::task<void> weights_updater::run_loop()
{
    while (!stopped_) {
        order_loads(steady::now());
        co_await net::sleep_for(loop_, poll_interval);
    }
}

std::vector<target_ref> weights_updater::engines_of(const std::string& model) const
{
    std::vector<target_ref> engines;
    for (const auto& [name, known] : current_().services) {
        if (std::find(known.models.begin(), known.models.end(), model) == known.models.end()) {
            continue;
        }
        const auto replicas = targets_.of_service(name);
        engines.insert(engines.end(), replicas.begin(), replicas.end());
    }
    return engines;
}

bool weights_updater::single_version(const std::string& service) const
{
    for (const auto& known : current_().routes) {
        const bool leads_there =
            std::any_of(known.services.begin(), known.services.end(),
                        [&](const weighted_service& part) { return part.service == service; });
        if (leads_there && known.single_version) {
            return true;
        }
    }
    return false;
}

void weights_updater::order_loads(time_point now)
{
    if (required_versions_.empty() || !lease_.fencing_token()) {
        return;
    }
    std::map<std::string, std::map<std::string, std::uint64_t>> newest; // by service, then model
    std::map<std::string, std::vector<target_ref>> engines;
    for (const auto& [model, version] : required_versions_) {
        auto serving = engines_of(model);
        if (!serving.empty()) {
            const auto service = serving.front()->info.service;
            newest[service][model] = version;
            engines[service] = std::move(serving);
        }
    }
    for (const auto& [service, versions] : newest) {
        std::vector<policy::model_engine> views;
        for (const auto& engine : engines[service]) {
            policy::model_engine view;
            view.id = engine->info.instance_id();
            view.loading = loading_.contains(view.id);
            for (const auto& [model, version] : versions) {
                view.versions[model] = engine->version_of(model);
                // A load that the previous holder of the lease has ordered.
                view.loading = view.loading || engines_.is_loading(*engine, model, now);
            }
            measure_work(view, *engine, now);
            view.backing_off = now < backoff_until_[view.id];
            views.push_back(std::move(view));
        }
        std::map<std::string, policy::model_schedule> schedules;
        for (const auto& [model, version] : versions) {
            schedules[model] = trainers_.schedule_of(model);
            schedules[model].finish_first = single_version(service);
        }
        auto plan = policy::plan_weight_loads(views, versions, demand_, schedules);
        for (const auto& [model, version] : versions) {
            report_deferred(model, plan.deferred[model]);
        }
        for (const auto& next : plan.loads) {
            loading_.insert(next.engine);
            net::start(loop_, load(targets_.find(next.engine), next.model, next.version));
        }
    }
}

// The gateways report the sum of an engine's events, not its longest run. The mean of its streams is the
// least that the longest run has left.
void weights_updater::measure_work(policy::model_engine& view, const target& engine, time_point now) const
{
    view.in_flight = std::max(engine.streams, engine.info.slots - engines_.free_places(engine, now));
    view.events_left = engines_.events_left(engine, now);
    // The sum comes from peers, and no run lasts longer than this.
    constexpr double max_left_ms = 600'000;
    const auto mean_left_ms = view.events_left / std::max(view.in_flight, 1) * engine.mean_gap_ms;
    view.longest_run_left =
        milliseconds{static_cast<std::int64_t>(std::clamp(mean_left_ms, 0.0, max_left_ms))};
}

void weights_updater::report_deferred(const std::string& model, std::size_t engines)
{
    auto& reported = deferred_[model];
    if (reported == engines) {
        return;
    }
    const bool crosses_zero = reported == 0 || engines == 0;
    reported = engines;
    counts_.set("weight_loads_deferred{model=\"" + model + "\"}", static_cast<double>(engines));
    if (crosses_zero) {
        observe::log(observe::log_level::info, "weight_loads_deferred",
                     {{"model", model}, {"engines", static_cast<std::int64_t>(engines)}});
    }
}

// Reports and orders carry no id and their responses repeat none. A response with an id is a late second copy
// of the one to an item or a scoring call, whose connections they share.
net::task<weights_updater::engine_exchange_result>
weights_updater::exchange(target_ref engine, std::shared_ptr<net::http_connection> connection,
                          net::http_request request, time_point until)
{
    auto answer = co_await net::exchange(*connection, request, max_response_bytes, until);
    if (const auto* failed = std::get_if<net::http_failure>(&answer)) {
        co_return error{error_code::unavailable, run_state::in_doubt, failed->detail};
    }
    auto& response = std::get<net::http_response>(answer);
    const auto marks = protocol_.parse_metadata(response.status, response.fields, {});
    if (marks.echo != attempt_echo::none) {
        report_foreign_response(counts_, request.target, engine->info.instance_id(), response.status);
        connection->close();
        co_return foreign_response{};
    }
    engine->pool.release(connection, net::idle_time_of(response.fields, default_idle_time));
    co_return std::move(response);
}

net::task_of<engine_report> weights_updater::request_report(target_ref engine)
{
    const auto until = steady::now() + call_timeout;
    auto taken = co_await engine->pool.acquire(until);
    if (const auto* failed = std::get_if<net::http_failure>(&taken)) {
        co_return error{error_code::unavailable, run_state::not_run, failed->detail};
    }
    const auto connection = std::get<std::shared_ptr<net::http_connection>>(taken);
    auto request = protocol_.report_request(engine->info);
    const auto answer = co_await exchange(engine, connection, std::move(request), until);
    if (const auto* failed = std::get_if<error>(&answer)) {
        co_return *failed;
    }
    if (std::holds_alternative<foreign_response>(answer)) {
        co_return error{error_code::unavailable, run_state::in_doubt,
                        "the response belongs to another request"};
    }
    co_return protocol_.parse_report(std::get<net::http_response>(answer));
}

net::task_of<order_outcome> weights_updater::send_order(target_ref engine, load_order order)
{
    const auto until = steady::now() + call_timeout;
    auto taken = co_await engine->pool.acquire(until);
    if (const auto* failed = std::get_if<net::http_failure>(&taken)) {
        co_return error{error_code::unavailable, run_state::not_run, failed->detail};
    }
    const auto connection = std::get<std::shared_ptr<net::http_connection>>(taken);
    // The lease may have expired during the wait for the connection.
    const auto fencing_token = stopped_ ? std::nullopt : lease_.fencing_token();
    if (!fencing_token) {
        engine->pool.release(connection, seconds(1));
        co_return error{error_code::conflict, run_state::not_run, "the lease has expired"};
    }
    order.fencing_token = *fencing_token;
    auto request = protocol_.order_request(engine->info, order);
    const auto answer = co_await exchange(engine, connection, std::move(request), until);
    if (const auto* failed = std::get_if<error>(&answer)) {
        co_return *failed;
    }
    if (std::holds_alternative<foreign_response>(answer)) {
        co_return order_outcome::answer_lost;
    }
    co_return protocol_.parse_order(std::get<net::http_response>(answer));
}

// Loads one version at one engine. The engine's report decides, not the order: an order whose response was
// lost may have been executed, or may be seconds later, and a kept connection may hold a late second copy of
// the response to an earlier order. Each order carries the count of orders that it expects, so that a second
// one cannot be executed as well.
net::task<void> weights_updater::load(target_ref engine, std::string model, std::uint64_t version)
{
    const auto instance_id = engine->info.instance_id();
    const auto began = steady::now();
    auto pause = refused_backoff;
    std::string outcome = "failed";
    const auto report = co_await request_report(engine);
    bool ordered = false;
    bool loads = false; ///< the engine has begun to load
    if (ok(report)) {
        const auto found = value(report).weights.find(model);
        const auto loaded = found == value(report).weights.end() ? std::uint64_t{0} : found->second;
        if (loaded >= version) {
            engine->record_version(model, loaded);
            outcome = "already loaded";
        }
        else if (value(report).busy) {
            outcome = "busy";
        }
        else {
            load_order order;
            order.replica_id = engine->info.id;
            order.model = model;
            order.version = version;
            order.mode =
                single_version(engine->info.service) ? load_mode::finish_first : load_mode::keep_running;
            order.holder = order_holder_;
            order.expected_orders = value(report).orders_accepted;
            // The engine may begin before its response is here.
            engines_.begin_load(*engine, model, version, steady::now());
            const auto answer = co_await send_order(engine, order);
            if (!ok(answer)) {
                pause = failure(answer).ran == run_state::not_run ? refused_backoff : unanswered_backoff;
                outcome = describe(failure(answer));
            }
            else if (value(answer) == order_outcome::already_done) {
                ordered = true;
                outcome = "already loaded";
            }
            else if (value(answer) == order_outcome::accepted ||
                     value(answer) == order_outcome::answer_lost) {
                ordered = true;
                loads = true;
                outcome = value(answer) == order_outcome::accepted ? "accepted" : "answer lost";
            }
            else {
                outcome = "refused";
            }
        }
    }
    else {
        outcome = describe(failure(report));
    }
    if (loads) {
        co_await net::sleep_for(loop_, expected_load_time);
    }
    const auto report_until = began + (loads ? load_timeout : report_timeout);
    while (ordered && engine->usable && engine->version_of(model) < version && steady::now() < report_until) {
        const auto latest_report = co_await request_report(engine);
        if (ok(latest_report)) {
            const auto found = value(latest_report).weights.find(model);
            engine->record_version(model, found == value(latest_report).weights.end() ? std::uint64_t{0}
                                                                                      : found->second);
        }
        if (engine->version_of(model) < version) {
            co_await net::sleep_for(loop_, report_poll_interval);
        }
    }
    engines_.end_load(*engine, engine->version_of(model) >= version, steady::now());
    observe::log(
        observe::log_level::info, "weights_ordered",
        {{"replica", instance_id},
         {"model", model},
         {"version", static_cast<std::int64_t>(version)},
         {"outcome", outcome},
         {"took_ms", std::int64_t{std::chrono::duration_cast<milliseconds>(steady::now() - began).count()}}});
    backoff_until_[instance_id] = ordered ? time_point{} : steady::now() + pause;
    loading_.erase(instance_id);
}

} // namespace vanillagauge::gateway
