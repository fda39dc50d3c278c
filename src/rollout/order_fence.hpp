/// The lease on a deployment's orders, kept in the Object API through the keeper of this VM.
#ifndef VANILLAGAUGE_ROLLOUT_ORDER_FENCE_HPP
#define VANILLAGAUGE_ROLLOUT_ORDER_FENCE_HPP

#include "rollout/context.hpp"

#include <memory>
#include <mutex>
#include <string>

namespace vanillagauge::rollout {

/// How long an order may take; a successor waits it out.
constexpr milliseconds longest_order{5000};

class order_fence : public std::enable_shared_from_this<order_fence> {
public:
    order_fence(const context& shared, const config::deployment_spec& deployment);

    /// Keeps the lease while the view names this process.
    void tick(bool ours, time_point view_updated);
    void on_number(std::uint64_t seen);
    std::optional<std::uint64_t> may_order() const;

private:
    context context_;
    const std::string name_;
    const std::string self_;
    mutable std::mutex mutex_;
    policy::wave_fence fence_;

    void read();
    void write(std::uint64_t expected_version);
};

} // namespace vanillagauge::rollout

#endif
