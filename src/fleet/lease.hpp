/// One lease per VM in the Object API, and the assignment of owners among the holders.
///
/// A cycle lists all leases and then renews this VM's own by a conditional update, whose version is the
/// fencing token. Leases only avoid duplicate work: no guarantee of the system depends on there being one
/// owner.
#ifndef VANILLAGAUGE_FLEET_LEASE_HPP
#define VANILLAGAUGE_FLEET_LEASE_HPP

#include "base/base.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace vanillagauge::fleet {

struct lease_timing {
    milliseconds ttl{15000};
    milliseconds renew_interval{5000};
    milliseconds clock_margin{500}; ///< for clock drift between two VMs during one lease
    /// Upper bound from the holder's last check of its lease until its order has reached the target.
    milliseconds max_order_time{2000};
};

/// The timing for a fleet of this size; keeps the renewals of all VMs together below a fixed rate.
lease_timing lease_timing_for(std::size_t members);

struct lease_record {
    std::string vm;
    std::uint64_t version = 0;
    milliseconds ttl{0};
};

struct renew_lease {
    std::uint64_t expected_version = 0;
    milliseconds ttl{0};
};

struct held_lease {
    std::uint64_t fencing_token = 0; ///< 0: not held, or not yet effective
    milliseconds remaining{0};
};

class lease_cycle {
public:
    lease_cycle(std::string vm, lease_timing timing) : vm_(std::move(vm)), timing_(timing) {}

    /// True if a cycle begins now: list the leases, then call `listed` or `failed`.
    bool begin(time_point now);
    /// Returns the update to send; then call `renewed` or `failed`.
    renew_lease listed(const std::vector<lease_record>& records, time_point now);
    void renewed(std::uint64_t version, time_point now);
    /// A request failed or its outcome is unknown; the lease is not extended.
    void failed(time_point now);
    void set_timing(lease_timing timing) { timing_ = timing; }

    /// Check again after every wait: the lease may have expired while the process was paused.
    held_lease held(time_point now) const;
    /// Leases that expired so long ago that they can be deleted.
    std::vector<lease_record> abandoned(time_point now) const;
    /// The owner among the VMs with a valid lease; empty if this VM holds none and so cannot decide.
    std::string owner_of(const std::string& key, time_point now) const;

private:
    struct observed_lease {
        std::uint64_t version = 0;
        milliseconds ttl{0};
        time_point first_seen;
    };
    std::string vm_;
    lease_timing timing_;
    bool in_progress_ = false;
    time_point cycle_started_;
    time_point next_cycle_;
    std::map<std::string, observed_lease> others_;
    std::vector<std::string> pending_holders_;
    std::vector<std::string> holders_; ///< as of the last complete cycle
    std::uint64_t own_version_ = 0;
    int failures_ = 0; ///< consecutive failed cycles
    std::uint64_t fencing_token_ = 0;
    time_point held_until_;
    time_point effective_from_;

    bool expired(const observed_lease& lease, time_point now) const;
};

} // namespace vanillagauge::fleet

#endif
