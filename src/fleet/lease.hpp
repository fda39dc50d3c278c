/// One lease per VM over the Object API, and who owns what among the holders.
///
/// A cycle lists all leases and then renews the own by a conditional update. The version of that update is
/// the fencing number. Leases only save work: no promise of the system rests on there being one owner.
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
    milliseconds clock_margin{500}; ///< for clocks that run at different speeds over one length
    /// The longest that an order may take from the holder's last look at its clock until the target has it.
    milliseconds max_order_time{2000};
};

/// The timing for a fleet of this size: the renewals of all VMs together stay below a fixed rate.
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
    std::uint64_t fencing_token = 0; ///< 0: not held, or not yet to be acted on
    milliseconds remaining{0};
};

class lease_cycle {
public:
    lease_cycle(std::string vm, lease_timing timing) : vm_(std::move(vm)), timing_(timing) {}

    // Commands.
    /// True where a cycle begins now: list the leases, then call `listed` or `failed`.
    bool begin(time_point now);
    /// The update to send next; then call `renewed` or `failed`.
    renew_lease listed(const std::vector<lease_record>& records, time_point now);
    void renewed(std::uint64_t version, time_point now);
    /// The outcome is bad or not known. The lease is not extended.
    void failed(time_point now);
    void set_timing(lease_timing timing) { timing_ = timing; }

    // Queries.
    /// To be asked again after every wait: a holder that was paused learns here that its lease is over.
    held_lease held(time_point now) const;
    /// Leases that this VM has not seen change for so long that nobody waits for their end any more.
    std::vector<lease_record> abandoned(time_point now) const;
    /// The owner among the VMs whose lease stands; empty where this VM holds none and so cannot tell.
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
    std::vector<std::string> holders_; ///< as the last complete cycle found them
    std::uint64_t own_version_ = 0;
    int failures_ = 0; ///< cycles in a row
    std::uint64_t fencing_token_ = 0;
    time_point held_until_;
    time_point effective_from_;

    bool expired(const observed_lease& lease, time_point now) const;
};

} // namespace vanillagauge::fleet

#endif
