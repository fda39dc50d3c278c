#include "policy/quarantine.hpp"

#include <algorithm>

namespace vanillagauge::policy {
namespace {

/// Much longer than callers' retry delays, short enough to expire by itself once the targets are fixed.
constexpr std::chrono::minutes record_life{10};
/// Longer than pooled connections to a crashed target stay unused under load.
constexpr seconds loss_memory{30};
/// Nodes exchange a clearance within about two seconds; a late crash record must not undo it.
constexpr seconds clearance_life{30};
/// About 200 bytes each: room for two crashes that each lose 500 requests.
constexpr std::size_t max_records = 1024;

} // namespace

std::uint64_t request_fingerprint(std::string_view deployment, std::string_view method, std::string_view body)
{
    return hash64(body, hash64(method, hash64(deployment)));
}

// Load pattern: a poison request crashes each target that runs it, and its caller retries. The retries reach
// one target after another, and all are down after a few attempts.
//
// Every request in flight at a crashed target becomes a suspect, including harmless ones. A response clears a
// suspect: a harmless request that is sent repeatedly completes somewhere before it loses a second target, a
// poison request never does.
//
// A crashed target leaves stale connections in the pools, which fail for the next requests. Those were sent
// after the crash and can't have caused it; counting them would quarantine harmless requests as soon as two
// targets are down.
void quarantine::on_crash(std::uint64_t fingerprint, std::string_view target, time_point began,
                          time_point now)
{
    if (lost_before(hash64(target), began, now)) {
        return;
    }
    auto& entry = touch(fingerprint, now);
    entry.local_losses += entry.targets.insert(hash64(target)).second ? 1 : 0;
}

// The loss of a pooled connection mostly means that the target crashed earlier. But a poison request that
// always gets pooled connections would never be detected: as a suspect it gets a new connection next time.
void quarantine::on_possible_crash(std::uint64_t fingerprint, time_point now)
{
    touch(fingerprint, now);
}

quarantine::record& quarantine::touch(std::uint64_t fingerprint, time_point now)
{
    cleared_.erase(fingerprint);
    if (!records_.contains(fingerprint)) {
        make_room(now);
    }
    auto& entry = records_[fingerprint];
    if (entry.expires <= now) {
        entry = {};
    }
    entry.expires = now + record_life;
    entry.revision = ++revision_;
    return entry;
}

bool quarantine::lost_before(std::uint64_t target, time_point began, time_point now)
{
    std::erase_if(loss_times_, [now](const auto& item) { return now - item.second > loss_memory; });
    const auto [found, first] = loss_times_.emplace(target, now);
    return !first && began > found->second;
}

// Only suspects are stored as cleared, so that other requests cost no memory.
void quarantine::on_answer(std::uint64_t fingerprint, time_point now)
{
    if (records_.contains(fingerprint)) {
        clear(fingerprint, now);
    }
}

void quarantine::clear(std::uint64_t fingerprint, time_point now)
{
    records_.erase(fingerprint);
    std::erase_if(cleared_, [now](const auto& item) { return item.second.expires <= now; });
    cleared_[fingerprint] = {now + clearance_life, ++revision_};
}

bool quarantine::is_cleared(std::uint64_t fingerprint, time_point now) const
{
    const auto found = cleared_.find(fingerprint);
    return found != cleared_.end() && found->second.expires > now;
}

bool quarantine::merge(const std::vector<crash_record>& records, time_point now)
{
    bool changed = false;
    for (const auto& received : records) {
        if (is_cleared(received.fingerprint, now)) {
            continue;
        }
        const bool is_new = !records_.contains(received.fingerprint);
        if (is_new) {
            make_room(now);
        }
        auto& entry = records_[received.fingerprint];
        const auto known = entry.targets.size();
        entry.targets.insert(received.targets.begin(), received.targets.end());
        const auto life = std::min<milliseconds>(received.remaining, record_life);
        entry.expires = std::max(entry.expires, now + life);
        if (is_new || entry.targets.size() > known) {
            entry.revision = ++revision_;
            changed = true;
        }
    }
    return changed;
}

bool quarantine::merge(const crash_update& update, time_point now)
{
    bool changed = false;
    for (const auto fingerprint : update.cleared) {
        if (records_.contains(fingerprint)) {
            clear(fingerprint, now);
            changed = true;
        }
    }
    return merge(update.suspects, now) || changed;
}

bool quarantine::is_quarantined(const record& entry) const
{
    return entry.local_losses >= limits_.local_losses || entry.targets.size() >= limits_.total_losses;
}

bool quarantine::is_suspect(std::uint64_t fingerprint, time_point now) const
{
    const auto found = records_.find(fingerprint);
    return found != records_.end() && found->second.expires > now;
}

crash_update quarantine::update_since(std::uint64_t since, time_point now) const
{
    const auto from = since > revision_ ? 0 : since;
    crash_update update{revision_, {}, {}};
    for (const auto& [fingerprint, entry] : records_) {
        if (entry.revision > from && entry.expires > now) {
            update.suspects.push_back({fingerprint, entry.targets, milliseconds_between(now, entry.expires)});
        }
    }
    for (const auto& [fingerprint, entry] : cleared_) {
        if (entry.revision > from && entry.expires > now) {
            update.cleared.push_back(fingerprint);
        }
    }
    return update;
}

result<done> quarantine::check(std::uint64_t fingerprint, time_point now) const
{
    const auto found = records_.find(fingerprint);
    if (found == records_.end() || found->second.expires <= now || !is_quarantined(found->second)) {
        return done{};
    }
    return error{error_code::quarantined, run_state::not_run,
                 "targets lost while running this request: " + std::to_string(found->second.targets.size()),
                 milliseconds_between(now, found->second.expires)};
}

std::vector<crash_record> quarantine::records(time_point now) const
{
    return update_since(0, now).suspects;
}

void quarantine::make_room(time_point now)
{
    if (records_.size() < max_records) {
        return;
    }
    std::erase_if(records_, [now](const auto& item) { return item.second.expires <= now; });
    if (records_.size() < max_records) {
        return;
    }
    // Evicts suspects before quarantined requests.
    const auto oldest =
        std::min_element(records_.begin(), records_.end(), [this](const auto& left, const auto& right) {
            const bool left_held = is_quarantined(left.second);
            const bool right_held = is_quarantined(right.second);
            return std::tie(left_held, left.second.expires) < std::tie(right_held, right.second.expires);
        });
    records_.erase(oldest);
}

} // namespace vanillagauge::policy
