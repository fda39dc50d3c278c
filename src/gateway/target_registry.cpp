#include "gateway/target_registry.hpp"

#include "observe/log.hpp"

#include <algorithm>

namespace vanillagauge::gateway {
namespace {

void log_target(const char* event, const replica& known)
{
    observe::log(observe::log_level::info, event,
                 {{"replica", known.instance_id()},
                  {"service", known.service},
                  {"address", known.address},
                  {"draining", std::int64_t{known.draining}}});
}

bool same_lifetime(const replica& left, const replica& right)
{
    return left.instance_id() == right.instance_id() && left.address == right.address &&
           left.service == right.service;
}

} // namespace

std::uint64_t target::version_of(const std::string& model) const
{
    const auto told = info.weights.find(model);
    const auto reported = told == info.weights.end() ? std::uint64_t{0} : told->second;
    // The store entry lags behind the replica's responses. Versions never decrease within an instance.
    const auto seen = observed_versions.find(model);
    return std::max(reported, seen == observed_versions.end() ? std::uint64_t{0} : seen->second);
}

// Loading weights pauses streams for a second; unbounded, that one gap would make a fast engine look slow and
// move its streams away.
void target::record_event_gap(duration gap)
{
    constexpr double smoothing = 0.1;
    constexpr double max_ratio = 2.5;
    const std::chrono::duration<double, std::milli> measured = gap;
    if (mean_gap_ms == 0) {
        mean_gap_ms = measured.count();
        return;
    }
    const auto bounded = std::min(measured.count(), mean_gap_ms * max_ratio);
    mean_gap_ms = mean_gap_ms * (1 - smoothing) + bounded * smoothing;
}

void target::record_version(const std::string& model, std::uint64_t version)
{
    auto& newest = observed_versions[model];
    newest = std::max(newest, version);
}

net::task<bool> target_registry::may_send(target_ref at, time_point until) const
{
    co_await refresh_(until);
    co_return at->usable;
}

void target_registry::update(const replica& known)
{
    ++generation_;
    removal_times_.erase(known.id);
    const auto found = targets_.find(known.id);
    if (found != targets_.end() && same_lifetime(found->second->info, known)) {
        if (found->second->info.draining != known.draining) {
            log_target("replica_state", known);
        }
        found->second->info = known;
        found->second->usable = !known.draining;
        return;
    }
    if (found != targets_.end()) {
        drop(known.id);
    }
    const auto fresh = std::make_shared<target>(loop_, known);
    fresh->usable = !known.draining;
    targets_[known.id] = fresh;
    log_target("replica_added", known);
}

void target_registry::remove(const std::string& id, time_point keep_until)
{
    const auto found = targets_.find(id);
    if (found == targets_.end()) {
        return;
    }
    if (found->second->info.draining || keep_until <= steady::now()) {
        ++generation_;
        drop(id);
        return;
    }
    removal_times_[id] = keep_until;
}

void target_registry::remove_expired(time_point now)
{
    for (auto entry = removal_times_.begin(); entry != removal_times_.end();) {
        if (now < entry->second) {
            ++entry;
            continue;
        }
        const auto id = entry->first;
        entry = removal_times_.erase(entry);
        ++generation_;
        drop(id);
    }
}

void target_registry::drop(const std::string& id)
{
    const auto found = targets_.find(id);
    if (found == targets_.end()) {
        return;
    }
    log_target("replica_removed", found->second->info);
    found->second->usable = false;
    found->second->pool.clear();
    targets_.erase(found);
    removal_times_.erase(id);
}

std::vector<target_ref> target_registry::of_service(const std::string& service) const
{
    std::vector<target_ref> chosen;
    for (const auto& [id, entry] : targets_) {
        if (entry->usable && entry->info.service == service) {
            chosen.push_back(entry);
        }
    }
    return chosen;
}

std::vector<target_ref> target_registry::all() const
{
    std::vector<target_ref> chosen;
    for (const auto& [id, entry] : targets_) {
        chosen.push_back(entry);
    }
    return chosen;
}

target_ref target_registry::find(const std::string& instance_id) const
{
    for (const auto& [id, entry] : targets_) {
        if (entry->info.instance_id() == instance_id) {
            return entry;
        }
    }
    return nullptr;
}

} // namespace vanillagauge::gateway
