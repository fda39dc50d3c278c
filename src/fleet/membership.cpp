#include "fleet/membership.hpp"

namespace vanillagauge::fleet {

std::string_view name(member_state state)
{
    switch (state) {
    case member_state::alive:
        return "alive";
    case member_state::suspect:
        return "suspect";
    case member_state::dead:
        break;
    }
    return "dead";
}

membership::membership(node self, membership_timing timing, time_point now)
    : self_vm_(self.vm), timing_(timing)
{
    members_[self_vm_] = {std::move(self), member_state::alive, now};
}

void membership::beat(const node& self, time_point now)
{
    auto& own = members_.at(self_vm_);
    const auto heartbeat = own.info.heartbeat;
    const auto incarnation = own.info.incarnation;
    own.info = self;
    own.info.incarnation = incarnation;
    own.info.heartbeat = heartbeat + 1;
    own.last_progress = now;
}

bool membership::merge(const node& said, time_point now)
{
    if (said.vm == self_vm_) {
        return false;
    }
    auto& entry = members_[said.vm];
    const auto held = std::pair(entry.info.incarnation, entry.info.heartbeat);
    if (std::pair(said.incarnation, said.heartbeat) <= held) {
        return false;
    }
    entry.info = said;
    entry.state = member_state::alive;
    entry.last_progress = now;
    return true;
}

bool membership::tick(time_point now)
{
    bool changed = false;
    for (auto it = members_.begin(); it != members_.end();) {
        auto& entry = it->second;
        const auto silence = now - entry.last_progress;
        if (it->first == self_vm_) {
            ++it;
            continue;
        }
        if (silence > timing_.forget_after) {
            it = members_.erase(it);
            changed = true;
            continue;
        }
        auto state = member_state::alive;
        if (silence > timing_.dead_after) {
            state = member_state::dead;
        }
        else if (silence > timing_.suspect_after) {
            state = member_state::suspect;
        }
        changed = changed || state != entry.state;
        entry.state = state;
        ++it;
    }
    return changed;
}

std::vector<member> membership::members() const
{
    std::vector<member> list;
    for (const auto& [vm, entry] : members_) {
        list.push_back(entry);
    }
    return list;
}

std::vector<node> membership::all_known() const
{
    std::vector<node> list;
    for (const auto& [vm, entry] : members_) {
        if (entry.state != member_state::dead) {
            list.push_back(entry.info);
        }
    }
    return list;
}

} // namespace vanillagauge::fleet
