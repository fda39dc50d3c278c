/// One VM's view of the fleet: the state of each member and the information that it announces.
#ifndef VANILLAGAUGE_FLEET_MEMBERSHIP_HPP
#define VANILLAGAUGE_FLEET_MEMBERSHIP_HPP

#include "base/base.hpp"
#include "fleet/update_queue.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace vanillagauge::fleet {

struct membership_timing {
    milliseconds suspicion_timeout{1500};     ///< minimum time for a suspect to refute
    milliseconds suspicion_per_doubling{500}; ///< added for each doubling of the fleet beyond 8
    milliseconds dead_retention{86400000};    ///< how long a dead VM is kept and pinged
    milliseconds left_retention{600000};
    milliseconds flap_decay{60000}; ///< after which one recovery no longer counts
    milliseconds max_damping{60000};
    std::size_t max_members = 4096; ///< beyond it the members dead longest are removed first
};

struct member {
    node info;
    member_state state = member_state::alive;
    time_point since{}; ///< the last state change, by this VM's clock
};

/// A member's version without its content, to compare two views.
struct member_summary {
    std::uint64_t vm_hash = 0;
    std::uint64_t incarnation = 0;
    std::uint64_t heartbeat = 0;
    member_state state = member_state::alive;
};

std::uint64_t vm_hash(const std::string& vm);

/// The updates to exchange after a comparison.
struct view_difference {
    std::vector<member_update> newer_here;
    std::vector<std::uint64_t> wanted; ///< hashes of VMs of which the peer has newer updates
};

class membership {
public:
    membership(node self, membership_timing timing, time_point now);

    /// Sets this VM's own information; true if it changed, and is then spread under a new heartbeat.
    bool announce(node self, time_point now);
    /// Applies a peer's update; true if it changed the view. A wrong update about this VM is refuted.
    bool merge(const member_update& update, time_point now);
    /// Applies the updates received in a comparison of views; true if any changed this view.
    bool merge_diff(const std::vector<member_update>& updates, time_point now);
    /// Marks a VM suspect after its probe failed directly and through relays.
    void suspect(const std::string& vm, time_point now);
    /// Records the newest configuration version that a VM is known to hold.
    void note_config(const std::string& vm, std::uint64_t newest_version);
    /// Marks this VM as left; peers stop sending it work as soon as they receive the update.
    void leave(time_point now);
    /// Declares suspects dead after the timeout and removes expired members; true if the view changed.
    bool tick(time_point now);
    /// Extends all suspicions by a pause of this process.
    void extend_suspicions(duration pause);
    /// Queued updates to send, least transmitted first, within `bytes`.
    std::vector<member_update> take_updates(std::size_t bytes);
    /// The update to send to a VM that is not alive in this view, so that it can refute it; at most one.
    std::vector<member_update> update_about(const std::string& vm) const;

    const node& self() const { return members_.at(self_vm_).seen.info; }
    std::vector<member> members() const;
    const node* find(const std::string& vm) const;
    std::vector<std::string> in_state(member_state state) const;
    std::vector<member_summary> summary() const;
    view_difference compare(const std::vector<member_summary>& theirs) const;
    std::vector<member_update> updates_for(const std::vector<std::uint64_t>& wanted) const;
    /// Equal if two views hold the same versions of all live members.
    std::uint64_t digest() const { return digest_; }
    /// Increases with every change of what members() returns.
    std::uint64_t generation() const { return generation_; }
    bool has_updates() const { return !updates_.empty(); }
    /// Estimated bytes of the smallest queued update; 0 if there is none.
    std::size_t smallest_update() const { return updates_.smallest(); }
    /// True if fewer than a quarter of the members that have not left are alive in this view: then this VM is
    /// more likely partitioned than the others dead.
    bool isolated() const;
    milliseconds suspicion_timeout() const;
    /// When a VM last changed from dead to alive.
    std::optional<time_point> last_recovery() const { return last_recovery_; }

private:
    struct member_entry {
        member seen;
        int recoveries = 0; ///< from dead to alive, less those that have decayed
        time_point last_recovery{};
        time_point damped_until{}; ///< reported as suspect until then
        bool damped = false;
    };
    std::string self_vm_;
    membership_timing timing_;
    std::map<std::string, member_entry> members_;
    update_queue updates_;
    std::uint64_t digest_ = 0;
    std::uint64_t generation_ = 1;
    std::optional<time_point> last_recovery_;

    void enqueue(const member_entry& entry);
    void change_state(member_entry& entry, member_state state, time_point now);
    void replace(member_entry& entry, const member_update& update, time_point now);
    bool apply(const member_update& update, time_point now, bool forward);
    bool refute(const member_update& update, time_point now);
    void note_recovery(member_entry& entry, time_point now);
    bool forget(time_point now);
    void toggle_in_digest(const member_entry& entry);
};

} // namespace vanillagauge::fleet

#endif
