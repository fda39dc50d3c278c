/// The view one VM has of the others: who is alive, suspect, dead or has left, and what each says of itself.
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
    milliseconds suspicion_timeout{1500};     ///< least time a suspect has to refute
    milliseconds suspicion_per_doubling{500}; ///< added for each doubling of the fleet beyond 8
    milliseconds dead_retention{86400000};    ///< a dead VM is kept, and tried again, for this long
    milliseconds left_retention{600000};
    milliseconds flap_decay{60000}; ///< one recovery is forgotten after this long
    milliseconds max_damping{60000};
    std::size_t max_members = 4096; ///< beyond it the longest dead are forgotten first
};

struct member {
    node info;
    member_state state = member_state::alive;
    time_point since{}; ///< when the state changed last, by this VM's clock
};

/// A member's version without its content, for comparing two views.
struct member_summary {
    std::uint64_t vm_hash = 0;
    std::uint64_t incarnation = 0;
    std::uint64_t heartbeat = 0;
    member_state state = member_state::alive;
};

std::uint64_t vm_hash(const std::string& vm);

/// What one side of a comparison owes the other.
struct view_difference {
    std::vector<member_update> newer_here;
    std::vector<std::uint64_t> wanted; ///< hashes of VMs that the other side knows better
};

class membership {
public:
    membership(node self, membership_timing timing, time_point now);

    // Commands.
    /// Takes what this VM now says of itself; true where it is news, which then spreads under a new
    /// heartbeat.
    bool announce(node self, time_point now);
    /// Takes what a peer says of a VM; true where it was news. A false claim about this VM is refuted.
    bool merge(const member_update& update, time_point now);
    /// Takes the claims that a comparison of views brought; true where any was news.
    bool merge_diff(const std::vector<member_update>& updates, time_point now);
    /// A probe of this VM went unanswered, directly and through others.
    void suspect(const std::string& vm, time_point now);
    /// Notes which configuration a VM was seen to hold.
    void note_config(const std::string& vm, std::uint64_t newest_version);
    /// Declares this VM left; every peer told stops giving it work at once.
    void leave(time_point now);
    /// Ends suspicions that were not refuted in time and forgets the long dead; true where a state changed.
    bool tick(time_point now);
    /// Moves all running suspicions by the time this process did not run.
    void extend_suspicions(duration pause);
    /// Updates that peers should hear, least told first, within `bytes`.
    std::vector<member_update> take_updates(std::size_t bytes);
    /// What this view says of a VM, to be told to it so that it can refute.
    std::vector<member_update> update_about(const std::string& vm) const;

    // Queries.
    const node& self() const { return members_.at(self_vm_).seen.info; }
    std::vector<member> members() const;
    const node* find(const std::string& vm) const;
    std::vector<std::string> in_state(member_state state) const;
    std::vector<member_summary> summary() const;
    view_difference compare(const std::vector<member_summary>& theirs) const;
    std::vector<member_update> updates_for(const std::vector<std::uint64_t>& wanted) const;
    /// Equal where two views hold the same statements of the living.
    std::uint64_t digest() const { return digest_; }
    /// Grows with everything that members() shows.
    std::uint64_t generation() const { return generation_; }
    bool has_updates() const { return !updates_.empty(); }
    /// Bytes that the smallest waiting claim needs.
    std::size_t smallest_update() const { return updates_.smallest(); }
    /// This VM reaches fewer than a quarter of the members that did not leave: it is more likely cut off than
    /// alone alive.
    bool isolated() const;
    milliseconds suspicion_timeout() const;
    /// When a VM last came back from the dead.
    std::optional<time_point> last_recovery() const { return last_recovery_; }

private:
    struct member_entry {
        member seen;
        int recoveries = 0; ///< returns from the dead that still count
        time_point last_recovery{};
        time_point damped_until{}; ///< shown as suspect until then
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
