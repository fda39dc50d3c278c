#include "rollout/weight_rollout.hpp"

#include "observe/log.hpp"
#include "wire/call.hpp"

#include "target.pb.h"

#include <algorithm>

namespace vanillagauge::rollout {
namespace {

constexpr milliseconds order_timeout{10000};
/// One engine in this many loads at a time, so that the others keep serving.
constexpr std::size_t wave_share = 4;

} // namespace

void weight_rollout::announce(const std::string& deployment, std::uint64_t version)
{
    const std::lock_guard lock(mutex_);
    auto& state = deployments_[deployment];
    state.announced = std::max(state.announced, version);
}

std::vector<std::pair<std::string, std::string>> weight_rollout::due(const config::deployment_spec& spec)
{
    auto& state = deployments_[spec.name];
    const auto ordering = std::count_if(state.engines.begin(), state.engines.end(),
                                        [](const auto& entry) { return entry.second.ordering; });
    const std::size_t wave = std::max<std::size_t>(1, spec.targets.size() / wave_share);
    std::vector<std::pair<std::string, std::string>> chosen;
    for (const auto& target : spec.targets) {
        auto& engine = state.engines[target.id];
        const bool behind = engine.version < state.announced && !engine.ordering && !target.leaving;
        if (behind && static_cast<std::size_t>(ordering) + chosen.size() < wave) {
            engine.ordering = true;
            chosen.emplace_back(target.id, target.address);
        }
    }
    return chosen;
}

void weight_rollout::tick()
{
    const auto view = context_.keeper.current();
    for (const auto& item : view->config.list("deployment")) {
        const auto spec = config::parse_deployment(item.name, item.spec_json);
        if (!ok(spec) || value(spec).kind != config::target_kind::engine) {
            continue;
        }
        std::vector<std::pair<std::string, std::string>> chosen;
        std::uint64_t version = 0;
        {
            const std::lock_guard lock(mutex_);
            chosen = due(value(spec));
            version = deployments_[item.name].announced;
        }
        for (const auto& [engine, address] : chosen) {
            order(item.name, engine, address, version);
        }
    }
}

void weight_rollout::order(const std::string& deployment, const std::string& engine,
                           const std::string& address, std::uint64_t version)
{
    target::v1::OrderRequest request;
    request.set_operation("load_version");
    request.set_version(version);
    wire::call_options options;
    options.timeout = order_timeout;
    auto self = shared_from_this();
    wire::call<target::v1::OrderReply>(
        *context_.targets.at(address), wire::method<target::v1::Engine>("Order"), request, options,
        [self, deployment, engine](const result<target::v1::OrderReply>& reply) {
            const std::lock_guard lock(self->mutex_);
            auto& state = self->deployments_[deployment].engines[engine];
            state.ordering = false;
            if (ok(reply) && value(reply).accepted()) {
                state.version = value(reply).version();
                return;
            }
            const std::string detail = ok(reply) ? value(reply).detail() : describe(failure(reply));
            observe::log(observe::log_level::warning, "order_failed",
                         {{"engine", engine}, {"detail", detail}});
        });
}

} // namespace vanillagauge::rollout
