#include "fleet/membership.hpp"

#include <algorithm>
#include <bit>
#include <tuple>

namespace vanillagauge::fleet {
namespace {

/// With 4 transmissions per decimal digit of the fleet's size, gossip misses a member with a probability
/// below 0.001; the comparison of views repairs the rest.
constexpr int transmissions_per_digit = 4;
constexpr std::size_t small_fleet = 8;
constexpr std::size_t isolated_divisor = 4;
/// The first recovery takes effect at once; those of a flapping VM are damped.
constexpr int undamped_recoveries = 1;
constexpr int max_doublings = 6;
constexpr std::size_t max_forwarded_updates = 16;

int transmit_limit(std::size_t members)
{
    int digits = 1;
    while (members >= 10) {
        members /= 10;
        ++digits;
    }
    return transmissions_per_digit * digits;
}

bool is_live(member_state state)
{
    return state == member_state::alive || state == member_state::suspect;
}

/// The update to send; only that of a live member carries its information.
member_update update_of(const member& seen)
{
    if (seen.state == member_state::alive) {
        return {seen.info, seen.state};
    }
    node brief;
    brief.vm = seen.info.vm;
    brief.incarnation = seen.info.incarnation;
    brief.heartbeat = seen.info.heartbeat;
    return {brief, seen.state};
}

member_summary summary_of(const member& seen)
{
    return {vm_hash(seen.info.vm), seen.info.incarnation, seen.info.heartbeat, seen.state};
}

bool is_newer(const member_summary& left, const member_summary& right)
{
    if (left.state != member_state::alive && left.state != member_state::left) {
        return false;
    }
    const auto rank = [](const member_summary& summary) {
        return std::tuple(summary.incarnation, summary.heartbeat, summary.state == member_state::left);
    };
    return rank(left) > rank(right);
}

} // namespace

std::uint64_t vm_hash(const std::string& vm)
{
    return hash64(vm);
}

membership::membership(node self, membership_timing timing, time_point now)
    : self_vm_(self.vm), timing_(timing)
{
    auto& own = members_[self_vm_];
    own.seen = {std::move(self), member_state::alive, now};
    toggle_in_digest(own);
}

// XOR: toggling an entry a second time removes it.
void membership::toggle_in_digest(const member_entry& entry)
{
    if (is_live(entry.seen.state)) {
        const auto& info = entry.seen.info;
        digest_ ^= hash64(info.vm, info.incarnation * 1000003U + info.heartbeat);
    }
}

void membership::enqueue(const member_entry& entry)
{
    updates_.push(update_of(entry.seen));
}

void membership::change_state(member_entry& entry, member_state state, time_point now)
{
    toggle_in_digest(entry);
    entry.seen.state = state;
    entry.seen.since = now;
    toggle_in_digest(entry);
    ++generation_;
}

void membership::note_config(const std::string& vm, std::uint64_t newest_version)
{
    const auto found = members_.find(vm);
    if (found != members_.end()) {
        found->second.seen.info.config_version =
            std::max(found->second.seen.info.config_version, newest_version);
    }
}

bool membership::announce(node self, time_point now)
{
    auto& own = members_.at(self_vm_);
    self.incarnation = own.seen.info.incarnation;
    self.heartbeat = own.seen.info.heartbeat;
    // The configuration version changes too often on every node to be spread by gossip; it is requested where
    // it is needed (see config_spread).
    own.seen.info.config_version = self.config_version;
    if (self == own.seen.info) {
        return false;
    }
    self.heartbeat += 1;
    replace(own, {std::move(self), member_state::alive}, now);
    enqueue(own);
    return true;
}

void membership::replace(member_entry& entry, const member_update& update, time_point now)
{
    toggle_in_digest(entry);
    const auto before = entry.seen.state;
    entry.seen.info.incarnation = update.info.incarnation;
    entry.seen.info.heartbeat = update.info.heartbeat;
    if (update.state == member_state::alive) {
        const auto version = std::max(entry.seen.info.config_version, update.info.config_version);
        entry.seen.info = update.info;
        entry.seen.info.config_version = version;
    }
    entry.seen.state = update.state;
    if (before != update.state) {
        entry.seen.since = now;
    }
    toggle_in_digest(entry);
    ++generation_;
}

bool membership::merge(const member_update& update, time_point now)
{
    return apply(update, now, true);
}

// A VM that joins receives hundreds of updates that the fleet already has. Forwarding them would fill its own
// and its peers' datagrams for minutes and delay new updates.
bool membership::merge_diff(const std::vector<member_update>& updates, time_point now)
{
    const bool forward = updates.size() <= max_forwarded_updates;
    bool any = false;
    for (const auto& update : updates) {
        any = apply(update, now, forward) || any;
    }
    return any;
}

bool membership::apply(const member_update& update, time_point now, bool forward)
{
    if (update.info.vm == self_vm_) {
        return refute(update, now);
    }
    const auto found = members_.find(update.info.vm);
    if (found == members_.end()) {
        // Ignores an unknown VM that is not alive: adding it again after its removal would keep it in the
        // gossip for ever.
        if (update.state != member_state::alive) {
            return false;
        }
        auto& entry = members_[update.info.vm];
        entry.seen.state = member_state::dead; // keeps it out of the digest until replace()
        replace(entry, update, now);
        if (forward) {
            enqueue(entry);
        }
        return true;
    }
    auto& entry = found->second;
    if (!supersedes(update, {entry.seen.info, entry.seen.state})) {
        return false;
    }
    if (entry.seen.state == member_state::dead && update.state == member_state::alive) {
        note_recovery(entry, now);
        last_recovery_ = now;
    }
    replace(entry, update, now);
    if (forward) {
        enqueue(entry);
    }
    return true;
}

// After a pause or partition others may consider this VM suspect or dead, and after a restart with its clock
// set back they may hold a later incarnation. Only a newer update of its own supersedes these everywhere.
bool membership::refute(const member_update& update, time_point now)
{
    auto& own = members_.at(self_vm_);
    if (own.seen.state == member_state::left || !supersedes(update, {own.seen.info, own.seen.state})) {
        return false;
    }
    auto info = own.seen.info;
    info.incarnation = std::max(info.incarnation, update.info.incarnation);
    info.heartbeat = update.info.heartbeat + 1;
    replace(own, {std::move(info), member_state::alive}, now);
    enqueue(own);
    return true;
}

// A VM with a flapping link would attract work and lose it each time. From its second recovery on it is
// reported as suspect, so it gets no new work, for a time that doubles with each recovery.
void membership::note_recovery(member_entry& entry, time_point now)
{
    const auto forgiven = (now - entry.last_recovery) / timing_.flap_decay;
    entry.recoveries = forgiven >= entry.recoveries ? 0 : entry.recoveries - static_cast<int>(forgiven);
    entry.recoveries += 1;
    entry.last_recovery = now;
    if (entry.recoveries > undamped_recoveries) {
        const int doublings = std::min(entry.recoveries, max_doublings);
        entry.damped_until = now + std::min(timing_.max_damping, milliseconds{1000LL << doublings});
        entry.damped = true;
    }
}

void membership::suspect(const std::string& vm, time_point now)
{
    const auto found = members_.find(vm);
    if (found == members_.end() || vm == self_vm_ || found->second.seen.state != member_state::alive) {
        return;
    }
    change_state(found->second, member_state::suspect, now);
    enqueue(found->second);
}

void membership::leave(time_point now)
{
    auto& own = members_.at(self_vm_);
    auto info = own.seen.info;
    info.heartbeat += 1;
    replace(own, {std::move(info), member_state::left}, now);
    enqueue(own);
}

// Suspicion and refutation each have to spread through the fleet, which takes a number of rounds logarithmic
// in its size.
milliseconds membership::suspicion_timeout() const
{
    const auto eighths = std::max<std::size_t>(members_.size() / small_fleet, 1);
    const auto doublings = static_cast<int>(std::bit_width(eighths)) - 1;
    return timing_.suspicion_timeout + doublings * timing_.suspicion_per_doubling;
}

bool membership::tick(time_point now)
{
    bool changed = false;
    const auto timeout = suspicion_timeout();
    for (auto& [vm, entry] : members_) {
        if (entry.damped && now >= entry.damped_until) {
            entry.damped = false;
            ++generation_;
            changed = true;
        }
        if (entry.seen.state == member_state::suspect && now - entry.seen.since >= timeout) {
            change_state(entry, member_state::dead, now);
            enqueue(entry);
            changed = true;
        }
    }
    if (forget(now)) {
        ++generation_;
        changed = true;
    }
    return changed;
}

bool membership::forget(time_point now)
{
    const auto expired = [this, now](const auto& entry) {
        const auto& seen = entry.second.seen;
        if (seen.state == member_state::dead) {
            return now - seen.since > timing_.dead_retention;
        }
        return seen.state == member_state::left && entry.first != self_vm_ &&
               now - seen.since > timing_.left_retention;
    };
    bool any = std::erase_if(members_, expired) > 0;
    while (members_.size() > timing_.max_members) {
        const auto oldest =
            std::min_element(members_.begin(), members_.end(), [](const auto& a, const auto& b) {
                const auto rank = [](const auto& entry) {
                    return std::pair(is_live(entry.second.seen.state), entry.second.seen.since);
                };
                return rank(a) < rank(b);
            });
        if (is_live(oldest->second.seen.state)) {
            break;
        }
        members_.erase(oldest);
        any = true;
    }
    return any;
}

void membership::extend_suspicions(duration pause)
{
    for (auto& [vm, entry] : members_) {
        if (entry.seen.state == member_state::suspect) {
            entry.seen.since += pause;
        }
    }
}

std::vector<member_update> membership::take_updates(std::size_t bytes)
{
    return updates_.take(bytes, transmit_limit(members_.size()));
}

std::vector<member_update> membership::update_about(const std::string& vm) const
{
    const auto found = members_.find(vm);
    if (found == members_.end() || found->second.seen.state == member_state::alive) {
        return {};
    }
    return {update_of(found->second.seen)};
}

std::vector<member> membership::members() const
{
    std::vector<member> list;
    list.reserve(members_.size());
    for (const auto& [vm, entry] : members_) {
        list.push_back(entry.seen);
        if (entry.damped && entry.seen.state == member_state::alive) {
            list.back().state = member_state::suspect;
        }
    }
    return list;
}

const node* membership::find(const std::string& vm) const
{
    const auto found = members_.find(vm);
    return found == members_.end() ? nullptr : &found->second.seen.info;
}

std::vector<std::string> membership::in_state(member_state state) const
{
    std::vector<std::string> found;
    for (const auto& [vm, entry] : members_) {
        if (entry.seen.state == state && vm != self_vm_) {
            found.push_back(vm);
        }
    }
    return found;
}

std::vector<member_summary> membership::summary() const
{
    std::vector<member_summary> list;
    list.reserve(members_.size());
    for (const auto& [vm, entry] : members_) {
        list.push_back(summary_of(entry.seen));
    }
    return list;
}

// Compares only live and left members, never dead ones. After a long partition each side considers the other
// dead at the same version at which the other is alive there: exchanging these deaths would mark the whole
// fleet dead until all had refuted. A dead VM learns its state when it is pinged again, and its refutation
// has a newer version.
view_difference membership::compare(const std::vector<member_summary>& theirs) const
{
    std::map<std::uint64_t, member_summary> by_hash;
    for (const auto& summary : theirs) {
        by_hash[summary.vm_hash] = summary;
    }
    view_difference found;
    for (const auto& [vm, entry] : members_) {
        const auto match = by_hash.find(vm_hash(vm));
        const auto ours = summary_of(entry.seen);
        if (match == by_hash.end()) {
            if (entry.seen.state == member_state::alive) {
                found.newer_here.push_back(update_of(entry.seen));
            }
            continue;
        }
        if (is_newer(ours, match->second)) {
            found.newer_here.push_back(update_of(entry.seen));
        }
        else if (is_newer(match->second, ours)) {
            found.wanted.push_back(match->first);
        }
        by_hash.erase(match);
    }
    for (const auto& [hash, summary] : by_hash) {
        if (summary.state == member_state::alive) {
            found.wanted.push_back(hash);
        }
    }
    return found;
}

std::vector<member_update> membership::updates_for(const std::vector<std::uint64_t>& wanted) const
{
    std::vector<member_update> found;
    for (const auto& [vm, entry] : members_) {
        if (std::find(wanted.begin(), wanted.end(), vm_hash(vm)) != wanted.end()) {
            found.push_back(update_of(entry.seen));
        }
    }
    return found;
}

bool membership::isolated() const
{
    std::size_t reached = 0;
    std::size_t expected = 0;
    for (const auto& [vm, entry] : members_) {
        if (vm == self_vm_ || entry.seen.state == member_state::left) {
            continue;
        }
        ++expected;
        if (entry.seen.state == member_state::alive) {
            ++reached;
        }
    }
    return expected > 1 && reached * isolated_divisor < expected;
}

} // namespace vanillagauge::fleet
