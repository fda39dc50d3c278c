/// Rolling update of each deployment's engines to the newest announced weights.
#ifndef VANILLAGAUGE_ROLLOUT_WEIGHT_ROLLOUT_HPP
#define VANILLAGAUGE_ROLLOUT_WEIGHT_ROLLOUT_HPP

#include "rollout/context.hpp"
#include "rollout/order_fence.hpp"

#include "vanillagauge.pb.h"

#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace vanillagauge::rollout {

class weight_rollout : public std::enable_shared_from_this<weight_rollout> {
public:
    explicit weight_rollout(const context& shared);

    /// Versions only increase: announcing an older one has no effect.
    void announce(const std::string& deployment, std::uint64_t version, policy::wave_strategy strategy);
    /// Sends the orders that are due here, forwards announcements to the owners of other deployments, and
    /// requests the engines' reports.
    void tick();

private:
    struct deployment_state {
        std::uint64_t announced = 0;
        policy::wave_strategy strategy = policy::wave_strategy::staleness;
        std::shared_ptr<order_fence> fence;
        /// Announcement times of the versions that not all engines have loaded.
        std::map<std::uint64_t, time_point> pending;
    };
    using pool = std::shared_ptr<engine_pool>;

    context context_;
    node::channel_pool peers_;
    std::mutex mutex_;
    std::map<std::string, deployment_state> deployments_;
    time_point next_reports_{};
    time_point next_announcement_{};

    void advance(const std::string& deployment, const pool& engines, const node::view& view);
    void record_convergence(const std::string& deployment, const std::vector<policy::wave_engine>& engines);
    void forward_announcement(const std::string& deployment, const std::string& address,
                              std::uint64_t version, policy::wave_strategy strategy);
    void fetch(const std::string& deployment, const pool& engines, const std::string& engine,
               std::uint64_t version);
    void send_order(const std::string& deployment, const pool& engines, const std::string& engine,
                    std::uint64_t version);
    void on_ordered(const std::string& deployment, const pool& engines, const std::string& engine,
                    const std::string& problem, std::optional<std::uint64_t> in_force);
    void request_reports(const pool& engines);
};

} // namespace vanillagauge::rollout

#endif
