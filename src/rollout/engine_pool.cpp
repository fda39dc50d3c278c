#include "rollout/engine_pool.hpp"

#include <algorithm>

namespace vanillagauge::rollout {
namespace {

constexpr milliseconds first_backoff{250};
constexpr int max_doublings = 4;

} // namespace

void engine_pool::update(const config::deployment_spec& spec)
{
    const std::lock_guard lock(mutex_);
    spec_ = spec;
    for (const auto& target : spec_.targets) {
        engines_.try_emplace(target.id);
    }
}

bool engine_pool::usable(const engine_state& state, time_point now)
{
    return !state.order_pending && now >= state.backoff_until;
}

std::vector<policy::engine_view> engine_pool::views(time_point now) const
{
    std::vector<policy::engine_view> all;
    all.reserve(spec_.targets.size());
    for (const auto& target : spec_.targets) {
        const auto& state = engines_.at(target.id);
        const bool takes_work = !target.leaving && !held_ && usable(state, now);
        all.push_back({target.id, state.in_flight, state.limit, state.version, takes_work});
    }
    return all;
}

std::optional<engine_endpoint> engine_pool::acquire(const policy::sample_view& sample, bool round_robin,
                                                    time_point now)
{
    const std::lock_guard lock(mutex_);
    const auto engines = views(now);
    const auto chosen = round_robin ? policy::place_round_robin(engines, sample, round_robin_index_++)
                                    : policy::place_sample(engines, sample);
    if (!chosen) {
        return std::nullopt;
    }
    const auto& target = spec_.targets[*chosen];
    ++engines_.at(target.id).in_flight;
    return engine_endpoint{target.id, target.address};
}

void engine_pool::release(const std::string& engine)
{
    const std::lock_guard lock(mutex_);
    --engines_.at(engine).in_flight;
}

void engine_pool::set_version(const std::string& engine, std::uint64_t version)
{
    const std::lock_guard lock(mutex_);
    engines_.at(engine).version = version;
}

void engine_pool::on_report(const std::string& engine, const engine_report& report, time_point requested_at)
{
    const std::lock_guard lock(mutex_);
    auto& state = engines_.at(engine);
    state.limit = report.capacity > 0 ? report.capacity : state.limit;
    if (!state.order_pending && requested_at > state.last_order) {
        state.version = report.version;
    }
}

void engine_pool::on_failure(const std::string& engine, time_point now)
{
    const std::lock_guard lock(mutex_);
    auto& state = engines_.at(engine);
    state.backoff_until = now + first_backoff * (1 << std::min(state.failures, max_doublings));
    ++state.failures;
}

void engine_pool::on_success(const std::string& engine)
{
    const std::lock_guard lock(mutex_);
    engines_.at(engine).failures = 0;
}

void engine_pool::hold_new_work(bool hold)
{
    const std::lock_guard lock(mutex_);
    held_ = hold;
}

void engine_pool::set_fetch(const std::string& engine, bool fetch_pending, std::uint64_t granted_version)
{
    const std::lock_guard lock(mutex_);
    auto& state = engines_.at(engine);
    state.fetch_pending = fetch_pending;
    state.fetched_version = std::max(state.fetched_version, granted_version);
}

void engine_pool::begin_order(const std::string& engine)
{
    const std::lock_guard lock(mutex_);
    engines_.at(engine).order_pending = true;
}

void engine_pool::end_order(const std::string& engine, std::optional<std::uint64_t> in_force, time_point now)
{
    const std::lock_guard lock(mutex_);
    auto& state = engines_.at(engine);
    state.order_pending = false;
    state.last_order = now;
    if (in_force) {
        state.version = *in_force;
        state.order_failures = 0;
        return;
    }
    ++state.order_failures;
    state.last_order_failure = now;
}

config::deployment_spec engine_pool::spec() const
{
    const std::lock_guard lock(mutex_);
    return spec_;
}

std::vector<policy::wave_engine> engine_pool::wave_view(std::uint64_t announced, time_point now) const
{
    const std::lock_guard lock(mutex_);
    std::vector<policy::wave_engine> all;
    for (const auto& target : spec_.targets) {
        const auto& state = engines_.at(target.id);
        all.push_back({target.id, state.version, state.in_flight, state.fetched_version >= announced,
                       state.fetch_pending, state.order_pending, target.leaving, now >= state.backoff_until,
                       state.order_failures, state.last_order_failure});
    }
    return all;
}

std::vector<engine_endpoint> engine_pool::endpoints() const
{
    const std::lock_guard lock(mutex_);
    std::vector<engine_endpoint> all;
    for (const auto& target : spec_.targets) {
        all.push_back({target.id, target.address});
    }
    return all;
}

int engine_pool::capacity(time_point now) const
{
    const std::lock_guard lock(mutex_);
    int sum = 0;
    for (const auto& engine : views(now)) {
        sum += engine.usable ? engine.limit : 0;
    }
    return sum;
}

std::size_t engine_pool::free_capacity(std::uint64_t min_version, time_point now) const
{
    const std::lock_guard lock(mutex_);
    std::size_t sum = 0;
    for (const auto& engine : views(now)) {
        const bool would_do = engine.usable && engine.version >= min_version;
        sum += would_do ? static_cast<std::size_t>(std::max(0, engine.limit - engine.in_flight)) : 0;
    }
    return sum;
}

std::optional<std::string> engine_pool::address(const std::string& engine) const
{
    const std::lock_guard lock(mutex_);
    for (const auto& target : spec_.targets) {
        if (target.id == engine) {
            return target.address;
        }
    }
    return std::nullopt;
}

void engine_directory::update(const node::view& view)
{
    const std::lock_guard lock(mutex_);
    std::map<std::string, std::shared_ptr<engine_pool>> next;
    for (const auto& item : view.config.list("deployment")) {
        const auto spec = config::parse_deployment(item.name, item.spec_json);
        if (!ok(spec) || value(spec).kind != config::target_kind::engine) {
            continue;
        }
        const auto held = pools_.find(item.name);
        auto pool = held == pools_.end() ? std::make_shared<engine_pool>() : held->second;
        pool->update(value(spec));
        next[item.name] = std::move(pool);
    }
    pools_ = std::move(next);
}

std::shared_ptr<engine_pool> engine_directory::find(const std::string& deployment) const
{
    const std::lock_guard lock(mutex_);
    const auto found = pools_.find(deployment);
    return found == pools_.end() ? nullptr : found->second;
}

std::map<std::string, std::shared_ptr<engine_pool>> engine_directory::all() const
{
    const std::lock_guard lock(mutex_);
    return pools_;
}

} // namespace vanillagauge::rollout
