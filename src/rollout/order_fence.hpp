/// The lease on a deployment's orders, stored in the Object API through the keeper of this VM.
#ifndef VANILLAGAUGE_ROLLOUT_ORDER_FENCE_HPP
#define VANILLAGAUGE_ROLLOUT_ORDER_FENCE_HPP

#include "rollout/context.hpp"

#include <memory>
#include <mutex>
#include <string>

namespace vanillagauge::rollout {

/// Timeout of an order; a new lease holder waits this long before its first order.
constexpr milliseconds max_order_time{5000};

class order_fence : public std::enable_shared_from_this<order_fence> {
public:
    order_fence(const context& shared, const config::deployment_spec& deployment);

    /// Acquires and renews the lease while the view names this process as the owner.
    void tick(bool owned, time_point view_updated);
    /// A fencing token that an engine has reported.
    void on_fencing_token(std::uint64_t seen);
    /// The token for an order sent now; empty while this process must not order.
    std::optional<std::uint64_t> fencing_token() const;

private:
    context context_;
    const std::string name_;
    const std::string self_;
    const bool enforced_;
    mutable std::mutex mutex_;
    policy::wave_fence fence_;
    bool owned_ = false; ///< in the last view
    time_point view_updated_{};

    void read();
    /// The store did not answer. The caller holds the lock.
    void fail();
    void record(const char* event, time_point now, nlohmann::json fields) const;
    void write(std::uint64_t expected_version);
};

} // namespace vanillagauge::rollout

#endif
