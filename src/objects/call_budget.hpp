/// Token bucket that limits a VM's Object API calls to its share of a fleet-wide rate.
#ifndef VANILLAGAUGE_OBJECTS_CALL_BUDGET_HPP
#define VANILLAGAUGE_OBJECTS_CALL_BUDGET_HPP

#include "base/clock.hpp"

#include <cstddef>
#include <cstdint>

namespace vanillagauge::objects {

/// In descending order of importance.
enum class call_priority { lease, config, status };

struct budget_limits {
    double fleet_calls_per_second = 200; ///< all VMs together; a third of the store's write capacity
    double max_calls_per_second = 25;    ///< of one VM in a small fleet
    double min_calls_per_second = 1;     ///< of one VM in a large fleet
    double burst = 20;
    double lease_reserve = 4;   ///< tokens that only leases may use
    double config_reserve = 10; ///< tokens that status may not use
};

class call_budget {
public:
    explicit call_budget(budget_limits limits = {}) : limits_(limits), tokens_(limits.burst) {}

    /// Takes a token for one call; false if the call exceeds the budget now.
    bool try_acquire(call_priority priority, time_point now);
    /// Time until a call of this priority may be made.
    milliseconds retry_after(call_priority priority) const;
    void set_fleet_size(std::size_t vms) { fleet_size_ = vms == 0 ? 1 : vms; }
    double calls_per_second() const;

private:
    budget_limits limits_;
    std::size_t fleet_size_ = 1;
    double tokens_;
    time_point refilled_{};

    double reserved_above(call_priority priority) const;
};

} // namespace vanillagauge::objects

#endif
