#include "keeper/keeper_state.hpp"

#include <algorithm>
#include <utility>

namespace vanillagauge::keeper {
namespace {

/// A program calls its keeper at least every half second; after four missed calls it counts as stopped.
constexpr milliseconds process_timeout{2000};
/// Watchers in three failure domains: changes arrive while any one works, and the number of calls does not
/// grow with the fleet.
constexpr std::size_t watcher_count = 3;

} // namespace

keeper_state::keeper_state(fleet::node self, time_point now)
    : vm_(self.vm), incarnation_(self.incarnation),
      detector_(self, {}, {}, hash64(self.vm, self.incarnation), now)
{
}

void keeper_state::notify_change() const
{
    if (handler_) {
        handler_();
    }
}

void keeper_state::set_addresses(const keeper_addresses& addresses)
{
    const std::lock_guard lock(members_mutex_);
    addresses_ = addresses;
}

bool keeper_state::merge_config(const std::vector<config::object>& incoming, config::object_source source)
{
    bool taken = false;
    {
        const std::lock_guard lock(config_mutex_);
        for (const auto& item : incoming) {
            taken = config_.merge(item, source) || taken;
        }
    }
    if (taken) {
        notify_change();
    }
    return taken;
}

void keeper_state::merge_listing(const std::string& kind, const std::vector<config::object>& listed,
                                 std::uint64_t revision)
{
    const bool taken = [&] {
        const std::lock_guard lock(config_mutex_);
        return config_.merge_listing(kind, listed, revision);
    }();
    if (taken) {
        notify_change();
    }
}

void keeper_state::update_process(const fleet::process& program, time_point now)
{
    const bool drains = draining();
    const auto mark = config_mark();
    bool changed = false;
    {
        const std::lock_guard lock(members_mutex_);
        auto& entry = processes_[program.role];
        const bool same = entry.info == program;
        entry = {program, now};
        if (!same) {
            announce(drains, mark, now);
            changed = update_generation();
        }
    }
    if (changed) {
        notify_change();
    }
}

void keeper_state::announce(bool drains, const config::replica_mark& mark, time_point now)
{
    auto self = detector_.view().self();
    self.processes.clear();
    std::erase_if(processes_,
                  [now](const auto& entry) { return now - entry.second.last_seen > process_timeout; });
    for (const auto& [role, entry] : processes_) {
        self.processes.push_back(entry.info);
    }
    self.draining = drains;
    self.watch_failing = watch_failing_;
    self.peer_address = addresses_.peer;
    self.operator_address = addresses_.operators;
    self.datagram_address = addresses_.datagrams;
    self.config_version = mark.newest_version;
    detector_.announce(self, now);
    detector_.set_config({mark.digest, mark.newest_version});
}

bool keeper_state::update_generation()
{
    const auto generation = detector_.view().generation();
    return std::exchange(notified_generation_, generation) != generation;
}

fleet::detector_actions keeper_state::tick(time_point now)
{
    const bool drains = draining();
    const auto mark = config_mark();
    fleet::detector_actions actions;
    bool changed = false;
    {
        const std::lock_guard lock(members_mutex_);
        announce(drains, mark, now);
        actions = detector_.tick(now);
        changed = update_generation();
    }
    if (changed) {
        notify_change();
    }
    return actions;
}

fleet::detector_actions keeper_state::receive(const fleet::datagram& message, time_point now)
{
    fleet::detector_actions actions;
    bool changed = false;
    {
        const std::lock_guard lock(members_mutex_);
        actions = detector_.receive(message, now);
        changed = update_generation();
    }
    if (changed) {
        notify_change();
    }
    return actions;
}

fleet::detector_actions keeper_state::leave(time_point now)
{
    const std::lock_guard lock(members_mutex_);
    return detector_.leave(now);
}

void keeper_state::merge_updates(const std::vector<fleet::member_update>& updates, time_point now)
{
    bool changed = false;
    {
        const std::lock_guard lock(members_mutex_);
        detector_.merge_diff(updates, now);
        changed = update_generation();
    }
    if (changed) {
        notify_change();
    }
}

std::vector<fleet::member> keeper_state::members() const
{
    const std::lock_guard lock(members_mutex_);
    return detector_.view().members();
}

members_view keeper_state::view() const
{
    const std::lock_guard lock(members_mutex_);
    const auto& seen = detector_.view();
    return {seen.members(), seen.generation(), seen.isolated()};
}

std::uint64_t keeper_state::members_generation() const
{
    const std::lock_guard lock(members_mutex_);
    return detector_.view().generation();
}

fleet::node keeper_state::self() const
{
    const std::lock_guard lock(members_mutex_);
    return detector_.view().self();
}

std::vector<fleet::member_summary> keeper_state::summary() const
{
    const std::lock_guard lock(members_mutex_);
    return detector_.view().summary();
}

fleet::view_difference keeper_state::compare(const std::vector<fleet::member_summary>& theirs) const
{
    const std::lock_guard lock(members_mutex_);
    return detector_.view().compare(theirs);
}

std::vector<fleet::member_update> keeper_state::updates_for(const std::vector<std::uint64_t>& wanted) const
{
    const std::lock_guard lock(members_mutex_);
    return detector_.view().updates_for(wanted);
}

bool keeper_state::is_watcher() const
{
    const std::lock_guard lock(members_mutex_);
    const auto& seen = detector_.view();
    if (watcher_generation_ != seen.generation()) {
        const auto chosen = fleet::choose_watchers(seen.members(), watcher_count);
        is_watcher_ = std::find(chosen.begin(), chosen.end(), vm_) != chosen.end();
        watcher_generation_ = seen.generation();
    }
    return is_watcher_;
}

std::size_t keeper_state::member_count() const
{
    const std::lock_guard lock(members_mutex_);
    return detector_.view().summary().size();
}

std::vector<config::object> keeper_state::config_changes_since(std::uint64_t revision) const
{
    const std::lock_guard lock(config_mutex_);
    return config_.changes_since(revision);
}

std::vector<config::object> keeper_state::config_list(const std::string& kind) const
{
    const std::lock_guard lock(config_mutex_);
    return config_.list(kind);
}

std::optional<config::object> keeper_state::config_find(const std::string& kind,
                                                        const std::string& name) const
{
    const std::lock_guard lock(config_mutex_);
    return config_.find(kind, name);
}

std::uint64_t keeper_state::config_revision() const
{
    const std::lock_guard lock(config_mutex_);
    return config_.revision();
}

std::vector<config::object>
keeper_state::config_newer_than(const std::vector<config::object_version>& held) const
{
    const std::lock_guard lock(config_mutex_);
    return config_.newer_than(held);
}

std::vector<config::object_version> keeper_state::config_versions() const
{
    const std::lock_guard lock(config_mutex_);
    return config_.versions();
}

std::uint64_t keeper_state::config_version_of(const std::string& kind, const std::string& name) const
{
    const std::lock_guard lock(config_mutex_);
    return config_.version_of(kind, name);
}

config::replica_mark keeper_state::config_mark() const
{
    const std::lock_guard lock(config_mutex_);
    return {config_.digest(), config_.newest_version()};
}

bool keeper_state::draining() const
{
    return config_find("drain", vm_).has_value();
}

} // namespace vanillagauge::keeper
