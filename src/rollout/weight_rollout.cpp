#include "rollout/weight_rollout.hpp"

#include "base/retry_delay.hpp"
#include "observe/log.hpp"
#include "rollout/ownership.hpp"
#include "wire/call.hpp"

#include "platform.pb.h"
#include "target.pb.h"

#include <algorithm>

namespace vanillagauge::rollout {
namespace {

constexpr milliseconds report_interval{500};
constexpr milliseconds report_timeout{1000};
constexpr milliseconds fetch_timeout{1000};
constexpr milliseconds min_fetch_delay{50};
constexpr milliseconds announce_interval{500};
constexpr milliseconds announce_timeout{1000};

/// The oldest version among engines that are not leaving.
std::uint64_t oldest_version(const std::vector<policy::wave_engine>& engines)
{
    std::uint64_t oldest = UINT64_MAX;
    for (const auto& engine : engines) {
        oldest = engine.leaving ? oldest : std::min(oldest, engine.version);
    }
    return oldest;
}

} // namespace

weight_rollout::weight_rollout(const context& shared)
    : context_(shared), peers_(node::http_channels(shared.loop))
{
}

void weight_rollout::announce(const std::string& deployment, std::uint64_t version,
                              policy::wave_strategy strategy)
{
    {
        const std::lock_guard lock(mutex_);
        auto& state = deployments_[deployment];
        if (version <= state.announced) {
            return;
        }
        state.announced = version;
        state.strategy = strategy;
        state.pending[version] = steady::now();
        next_announcement_ = {};
    }
    context_.loop.post([self = shared_from_this()] { self->tick(); });
}

void weight_rollout::tick()
{
    const auto view = context_.keeper.current();
    const auto now = steady::now();
    bool reports = false;
    {
        const std::lock_guard lock(mutex_);
        reports = now >= next_reports_;
        next_reports_ = reports ? now + report_interval : next_reports_;
    }
    for (const auto& [deployment, engines] : context_.engines.all()) {
        advance(deployment, engines, *view);
        if (reports) {
            request_reports(engines);
        }
    }
}

void weight_rollout::advance(const std::string& deployment, const pool& engines, const node::view& view)
{
    const auto found = owner_of(view, deployment_key(deployment));
    const bool owned = found && found->vm == context_.settings.vm;
    const auto now = steady::now();
    std::shared_ptr<order_fence> fence;
    std::uint64_t announced = 0;
    policy::wave_strategy strategy{};
    bool announcement_due = false;
    {
        const std::lock_guard lock(mutex_);
        auto& state = deployments_[deployment];
        if (!state.fence) {
            state.fence = std::make_shared<order_fence>(context_, engines->spec());
        }
        fence = state.fence;
        announced = state.announced;
        strategy = state.strategy;
        announcement_due = !owned && found && announced > 0 && now >= next_announcement_;
        next_announcement_ = announcement_due ? now + announce_interval : next_announcement_;
    }
    fence->tick(owned, view.updated);
    if (announcement_due) {
        forward_announcement(deployment, found->http_address, announced, strategy);
    }
    const auto engine_states = engines->wave_view(announced, now);
    record_convergence(deployment, engine_states);
    const auto actions = policy::plan_wave(engine_states, announced, strategy, now);
    engines->hold_new_work(actions.hold_new_work);
    if (!owned || announced == 0) {
        return;
    }
    for (const auto& engine : actions.fetch) {
        fetch(deployment, engines, engine, announced);
    }
    for (const auto& engine : actions.order) {
        send_order(deployment, engines, engine, announced);
    }
}

void weight_rollout::record_convergence(const std::string& deployment,
                                        const std::vector<policy::wave_engine>& engines)
{
    const std::lock_guard lock(mutex_);
    auto& state = deployments_[deployment];
    const auto held = state.pending.upper_bound(oldest_version(engines));
    for (auto done = state.pending.begin(); done != held; ++done) {
        context_.metrics.record("vanillagauge_weights_converged", steady::now() - done->second);
    }
    state.pending.erase(state.pending.begin(), held);
}

// The deployment's owner sends the orders for all jobs, and may be another process than a job's owner. The
// announcement is repeated so that a new owner gets it too.
void weight_rollout::forward_announcement(const std::string& deployment, const std::string& address,
                                          std::uint64_t version, policy::wave_strategy strategy)
{
    v1::AnnounceRequest request;
    request.set_deployment(deployment);
    request.set_version(version);
    request.set_weight(static_cast<int>(strategy));
    wire::call_options options;
    options.timeout = announce_timeout;
    options.token = context_.settings.tokens.trainer;
    wire::call<v1::AnnounceReply>(*peers_.at(address), wire::method<v1::Rollout>("Announce"), request,
                                  options, [](const result<v1::AnnounceReply>&) {});
}

// A store that refuses states a retry time. One that does not answer must not keep the engines on old
// weights: the engines fetch the weights themselves and report a failure in their reply to the order.
void weight_rollout::fetch(const std::string& deployment, const pool& engines, const std::string& engine,
                           std::uint64_t version)
{
    engines->set_fetch(engine, true, 0);
    platform::v1::FetchRequest request;
    request.set_model(deployment);
    request.set_version(version);
    request.set_reader(engine);
    wire::call_options options;
    options.timeout = fetch_timeout;
    wire::call<platform::v1::FetchReply>(
        *context_.targets.at(context_.settings.platform), wire::method<platform::v1::WeightStore>("Fetch"),
        request, options,
        [self = shared_from_this(), engines, engine, version](const result<platform::v1::FetchReply>& reply) {
            if (!ok(reply) || value(reply).granted()) {
                engines->set_fetch(engine, false, version);
                self->tick();
                return;
            }
            const auto delay = std::max(min_fetch_delay, named_retry_delay(value(reply).retry_after_ms()));
            self->context_.loop.after(delay, [self, engines, engine] {
                engines->set_fetch(engine, false, 0);
                self->tick();
            });
        });
}

void weight_rollout::send_order(const std::string& deployment, const pool& engines, const std::string& engine,
                                std::uint64_t version)
{
    std::shared_ptr<order_fence> fence;
    {
        const std::lock_guard lock(mutex_);
        fence = deployments_[deployment].fence;
    }
    const auto address = engines->address(engine);
    // Checked right before each order, since the lease may have expired while this process was suspended.
    const auto number = fence->fencing_token();
    if (!address || !number) {
        return;
    }
    engines->begin_order(engine);
    target::v1::OrderRequest request;
    request.set_operation("load_version");
    request.set_version(version);
    request.set_fencing(*number);
    wire::call_options options;
    options.timeout = max_order_time;
    auto span = std::make_shared<observe::span>(observe::new_trace(), "rollout.order");
    span->set_attribute("engine", engine);
    span->set_attribute("version", std::to_string(version));
    span->set_attribute("fencing", std::to_string(*number));
    options.trace = span->context();
    wire::call<target::v1::OrderReply>(
        *context_.targets.at(*address), wire::method<target::v1::Engine>("Order"), request, options,
        [self = shared_from_this(), deployment, engines, engine, fence,
         span](const result<target::v1::OrderReply>& reply) {
            span->set_attribute("outcome", ok(reply) ? value(reply).detail() : describe(failure(reply)));
            span->end();
            if (!ok(reply)) {
                self->on_ordered(deployment, engines, engine, describe(failure(reply)), std::nullopt);
                return;
            }
            fence->on_fencing_token(value(reply).fencing());
            const auto& answer = value(reply);
            self->on_ordered(deployment, engines, engine, answer.detail(),
                             answer.accepted() ? std::optional(answer.version()) : std::nullopt);
        });
}

void weight_rollout::on_ordered(const std::string& deployment, const pool& engines, const std::string& engine,
                                const std::string& problem, std::optional<std::uint64_t> in_force)
{
    engines->end_order(engine, in_force, steady::now());
    if (context_.records.enabled()) {
        context_.records.write("wave", "ordered", steady::now(),
                               {{"engine", engine}, {"in_force", in_force.value_or(0)}});
    }
    if (!in_force) {
        observe::log(observe::log_level::warning, "order_failed",
                     {{"deployment", deployment}, {"engine", engine}, {"detail", problem}});
    }
    tick();
}

// An engine's report overrides the reply to an order, because a restarted engine is back on old weights.
void weight_rollout::request_reports(const pool& engines)
{
    for (const auto& endpoint : engines->endpoints()) {
        wire::call_options options;
        options.timeout = report_timeout;
        wire::call<target::v1::LoadReply>(
            *context_.targets.at(endpoint.address), wire::method<target::v1::Engine>("Load"),
            target::v1::LoadRequest{}, options,
            [engines, engine = endpoint.engine,
             requested_at = steady::now()](const result<target::v1::LoadReply>& reply) {
                if (ok(reply)) {
                    engines->on_report(engine, {value(reply).capacity(), value(reply).version()},
                                       requested_at);
                }
            });
    }
}

} // namespace vanillagauge::rollout
