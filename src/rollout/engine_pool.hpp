/// State of each deployment's engines as seen by this process, and its streams in flight at each.
#ifndef VANILLAGAUGE_ROLLOUT_ENGINE_POOL_HPP
#define VANILLAGAUGE_ROLLOUT_ENGINE_POOL_HPP

#include "config/specs.hpp"
#include "node/keeper_link.hpp"
#include "policy/policy.hpp"

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace vanillagauge::rollout {

struct engine_endpoint {
    std::string engine;
    std::string address;
};

/// Reported by the engine itself.
struct engine_report {
    int capacity = 0; ///< 0: not reported
    std::uint64_t version = 0;
};

/// The engines of one deployment; thread-safe.
class engine_pool {
public:
    void update(const config::deployment_spec& spec);
    /// Reserves capacity at an engine until `release`; empty where none is free. `round_robin`: the placement
    /// of plain jobs.
    std::optional<engine_endpoint> acquire(const policy::sample_view& sample, bool round_robin,
                                           time_point now);
    void release(const std::string& engine);
    void set_version(const std::string& engine, std::uint64_t version);
    /// The version of a report that was requested before the last order ended is ignored as outdated.
    void on_report(const std::string& engine, const engine_report& report, time_point requested_at);
    /// The engine or the connection to it failed; it gets no work for a backoff that grows with each
    /// consecutive failure.
    void on_failure(const std::string& engine, time_point now);
    void on_success(const std::string& engine);
    void hold_new_work(bool hold);
    void set_fetch(const std::string& engine, bool fetch_pending, std::uint64_t granted_version);
    void begin_order(const std::string& engine);
    void end_order(const std::string& engine, std::optional<std::uint64_t> in_force, time_point now);

    config::deployment_spec spec() const;
    std::vector<policy::wave_engine> wave_view(std::uint64_t announced, time_point now) const;
    std::vector<engine_endpoint> endpoints() const;
    /// Total concurrent streams of all usable engines.
    int capacity(time_point now) const;
    std::size_t free_capacity(std::uint64_t min_version, time_point now) const;
    std::optional<std::string> address(const std::string& engine) const;

private:
    struct engine_state {
        int in_flight = 0;
        int limit = 16; ///< until the engine has reported its capacity
        std::uint64_t version = 0;
        int failures = 0;
        time_point backoff_until{};
        bool fetch_pending = false;
        std::uint64_t fetched_version = 0;
        bool order_pending = false;
        int order_failures = 0;
        time_point last_order_failure{};
        time_point last_order{};
    };
    mutable std::mutex mutex_;
    config::deployment_spec spec_;
    std::map<std::string, engine_state> engines_;
    std::size_t round_robin_index_ = 0;
    bool held_ = false;

    std::vector<policy::engine_view> views(time_point now) const;
    static bool usable(const engine_state& state, time_point now);
};

class engine_directory {
public:
    /// Replaces the pools by those of the view's engine deployments; pools that remain keep their state.
    void update(const node::view& view);
    std::shared_ptr<engine_pool> find(const std::string& deployment) const;
    std::map<std::string, std::shared_ptr<engine_pool>> all() const;

private:
    mutable std::mutex mutex_;
    std::map<std::string, std::shared_ptr<engine_pool>> pools_;
};

} // namespace vanillagauge::rollout

#endif
