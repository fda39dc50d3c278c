#include "policy/target_pool.hpp"

#include "policy/slow_start.hpp"

#include <algorithm>
#include <cmath>

namespace vanillagauge::policy {
namespace {

/// A target with a cached prefix may have this multiple of the mean load: above it, waiting costs more than
/// reusing the cache saves.
constexpr double prefix_load_bound = 1.25;
constexpr std::size_t prefix_choices = 2;
/// Three times the 95th percentile: about one request in a few hundred is hedged.
constexpr int hedge_factor = 3;
constexpr milliseconds min_hedge_delay{100};
constexpr milliseconds first_hedge_delay{1000};
constexpr double max_relative_latency = 10;
/// Services of up to this size choose among all targets: cheap, and few gateways choose at the same moment.
constexpr std::size_t small_service = 16;
/// A trial's part of the median work time: below the noise of the estimates, or no trial would take place.
constexpr double trial_share = 0.9;

} // namespace

void target_pool::update(const std::vector<pool_target>& targets, time_point now)
{
    std::vector<record> next;
    next.reserve(targets.size());
    for (const auto& target : targets) {
        next.push_back(updated_record(target, now));
    }
    // Removes the remaining targets from the totals.
    for (auto& [id, index] : index_by_id_) {
        auto& removed = entries_[index];
        if (removed.target.id == id) {
            ejection_.reinstate(removed.health);
            total_in_flight_ -= removed.in_flight;
        }
    }
    entries_ = std::move(next);
    populated_ = true;
    rebuild_index();
}

target_pool::record target_pool::updated_record(const pool_target& target, time_point now)
{
    const auto found = index_by_id_.find(target.id);
    if (found == index_by_id_.end()) {
        record added{target, concurrency_limit(options_.initial_limit)};
        added.joined = populated_ ? now : time_point{};
        return added;
    }
    record carried = std::move(entries_[found->second]);
    index_by_id_.erase(found);
    carried.target = target;
    return carried;
}

void target_pool::rebuild_index()
{
    index_by_id_.clear();
    usable_.clear();
    by_domain_.clear();
    std::vector<std::pair<std::string, std::size_t>> on_ring;
    for (std::size_t index = 0; index < entries_.size(); ++index) {
        const auto& target = entries_[index].target;
        index_by_id_[target.id] = index;
        if (!target.leaving) {
            usable_.push_back(index);
            by_domain_[target.failure_domain].push_back(index);
            on_ring.emplace_back(target.id, index);
        }
    }
    ring_ = prefix_ring(on_ring);
}

std::optional<std::string> target_pool::acquire(const work& item, time_point now)
{
    const auto chosen = options_.limited ? choose(item, now) : choose_round_robin(item);
    if (!chosen) {
        return std::nullopt;
    }
    auto& taken = entries_[*chosen];
    ++taken.in_flight;
    ++total_in_flight_;
    return taken.target.id;
}

void target_pool::release(const std::string& id, const attempt_report& report, time_point now)
{
    const auto found = index_by_id_.find(id);
    if (found == index_by_id_.end()) {
        return;
    }
    auto& entry = entries_[found->second];
    const int in_flight = entry.in_flight;
    if (in_flight > 0) {
        --entry.in_flight;
        --total_in_flight_;
    }
    if (!options_.limited || report.kind == attempt_result::unknown) {
        return;
    }
    bool out = false;
    if (report.kind == attempt_result::answered) {
        const bool slow = is_slow(report.latency, entry.median.value(), median_.value());
        entry.speed.on_answer(report.latency, in_flight, options_.initial_limit, now);
        work_time_.add(entry.speed.work_time());
        median_.add(report.latency);
        p95_.add(report.latency);
        entry.median.add(report.latency);
        entry.limit.on_answer(report.latency, in_flight, entry.hint.may_grow(now), now);
        out = ejection_.on_answer(entry.health, !slow, usable_.size(), now);
    }
    else if (report.kind == attempt_result::failed) {
        entry.limit.on_failure(now);
        out = ejection_.on_answer(entry.health, false, usable_.size(), now);
    }
    else {
        out = ejection_.eject(entry.health, usable_.size(), now);
    }
    if (out) {
        entry.joined = entry.health.ejected_until; // returns with a slow start
    }
}

void target_pool::on_report(const std::string& id, const load_report& report, time_point now)
{
    const auto found = index_by_id_.find(id);
    if (found == index_by_id_.end()) {
        return;
    }
    auto& entry = entries_[found->second];
    entry.hint.on_report(report, now);
    entry.speed.on_report(report, entry.in_flight, now);
    slowdown_reported_ = slowdown_reported_ || report.slowdown.has_value();
}

int target_pool::in_flight(const std::string& id) const
{
    const auto found = index_by_id_.find(id);
    return found == index_by_id_.end() ? 0 : entries_[found->second].in_flight;
}

int target_pool::limit(const std::string& id, time_point now) const
{
    const auto found = index_by_id_.find(id);
    return found == index_by_id_.end() ? 0 : effective_limit(entries_[found->second], now);
}

duration target_pool::hedge_delay() const
{
    if (!p95_.has_value()) {
        return first_hedge_delay;
    }
    return std::max<duration>(hedge_factor * p95_.value(), min_hedge_delay);
}

int target_pool::effective_limit(const record& item, time_point now) const
{
    const double share = item.hint.weight(now) * slow_start_share(item.joined, now);
    const int limit = options_.adaptive ? item.limit.limit() : options_.initial_limit;
    return std::max(1, static_cast<int>(limit * share));
}

bool target_pool::has_room_for(std::size_t index, const work& item, time_point now)
{
    auto& entry = entries_[index];
    const bool room = entry.in_flight < effective_limit(entry, now);
    return room && !ejection_.is_ejected(entry.health, now) && !item.tried.contains(entry.target.id);
}

bool target_pool::has_room_beside(const std::string& current, const work& item, time_point now)
{
    return std::any_of(usable_.begin(), usable_.end(), [&](std::size_t index) {
        return entries_[index].target.id != current && has_room_for(index, item, now);
    });
}

double target_pool::cost(std::size_t index, time_point now) const
{
    const auto& entry = entries_[index];
    const double use = (entry.in_flight + 1.0) / effective_limit(entry, now);
    if (!entry.median.has_value() || !median_.has_value()) {
        return use;
    }
    const auto relative =
        std::chrono::duration<double>(entry.median.value()) / std::chrono::duration<double>(median_.value());
    return use * std::clamp(relative, 1.0, max_relative_latency);
}

// Load pattern: a target whose only answer came in a busy moment, or that has become faster. It is chosen no
// more, so its figures never improve. One that was not tried for long counts as a little faster than the
// others.
duration target_pool::current_work_time(const record& entry, time_point now) const
{
    const auto own = entry.speed.current_work_time(now);
    if (!entry.speed.needs_trial(now)) {
        return own;
    }
    const auto assumed = std::chrono::duration_cast<duration>(work_time() * trial_share);
    return own.count() > 0 ? std::min(own, assumed) : assumed;
}

// Load pattern: targets of uneven speed, one in each failure domain, on VMs that are busy for moments. The
// use of the limit alone, or the near domain first, sends requests to a busy VM while others are idle.
// Another domain is less than a millisecond away, a slow VM tens of milliseconds, so the domain is not
// considered.
double target_pool::expected_finish(std::size_t index, time_point now) const
{
    const auto& entry = entries_[index];
    const int slots = std::max(1, entry.speed.slots(options_.initial_limit, now));
    const double ahead = entry.speed.requests(entry.in_flight, now);
    // Before the first response of the service all work times are unknown: only the load decides.
    const auto unit = std::max<duration>(current_work_time(entry, now), std::chrono::microseconds{1});
    return static_cast<double>(unit.count()) * (1 + ahead / slots);
}

// Load pattern: too little capacity. A request that waits for a slot longer than its caller does occupies the
// queue, is answered late and is repeated by its caller; refused on arrival, it can still succeed elsewhere.
// Without reports of the slowdown, a target's slots are unknown and the queue's own estimate decides.
bool target_pool::can_end_in_time(const work& item, std::size_t queued, time_point now)
{
    if (!slowdown_reported_ || usable_.empty()) {
        return true;
    }
    const std::chrono::duration<double> left = item.deadline - now;
    const double queued_share = static_cast<double>(queued) / static_cast<double>(usable_.size());
    bool any = false;
    for (const auto index : usable_) {
        auto& entry = entries_[index];
        if (ejection_.is_ejected(entry.health, now) || item.tried.contains(entry.target.id)) {
            continue;
        }
        any = true;
        const int slots = std::max(1, entry.speed.slots(options_.initial_limit, now));
        const int ahead = entry.speed.requests(entry.in_flight, now);
        const std::chrono::duration<double> unit = current_work_time(entry, now);
        const auto wait = unit * ((ahead + queued_share - slots + 1) / slots);
        if (ahead < slots || wait + unit <= left) {
            return true;
        }
    }
    return !any;
}

duration target_pool::work_time() const
{
    return work_time_.value();
}

std::optional<std::size_t> target_pool::choose(const work& item, time_point now)
{
    if (item.prefix != 0) {
        if (const auto cached = choose_cached(item, now)) {
            return cached;
        }
    }
    const auto healthy = [&](std::size_t index) {
        return has_room_for(index, item, now) && !failed_recently(entries_[index].health, now);
    };
    if (const auto chosen = choose_usable(healthy, item, now)) {
        return chosen;
    }
    return choose_usable([&](std::size_t index) { return has_room_for(index, item, now); }, item, now);
}

std::optional<std::size_t> target_pool::choose_usable(const std::function<bool(std::size_t)>& usable,
                                                      const work& item, time_point now)
{
    if (slowdown_reported_) {
        const auto finish = [&](std::size_t index) { return expected_finish(index, now); };
        return usable_.size() <= small_service
                   ? place_least_loaded(usable_, usable, std::ref(finish), random_)
                   : place_two_choices(usable_, usable, std::ref(finish), random_);
    }
    const auto load = [&](std::size_t index) { return cost(index, now); };
    const auto near = by_domain_.find(item.near_domain);
    if (near != by_domain_.end()) {
        if (const auto chosen = place_two_choices(near->second, usable, std::ref(load), random_)) {
            return chosen;
        }
    }
    return place_two_choices(usable_, usable, std::ref(load), random_);
}

std::optional<std::size_t> target_pool::choose_cached(const work& item, time_point now)
{
    const double mean =
        (total_in_flight_ + 1.0) / static_cast<double>(std::max<std::size_t>(1, usable_.size()));
    const double bound = std::ceil(prefix_load_bound * mean);
    for (std::size_t choice = 0; choice < prefix_choices; ++choice) {
        const auto index = ring_.at(item.prefix, choice);
        if (index && entries_[*index].in_flight + 1 <= bound && has_room_for(*index, item, now)) {
            return index;
        }
    }
    return std::nullopt;
}

std::optional<std::size_t> target_pool::choose_round_robin(const work& item)
{
    for (std::size_t tries = 0; tries < usable_.size(); ++tries) {
        const auto index = usable_[round_robin_next_++ % usable_.size()];
        if (!item.tried.contains(entries_[index].target.id)) {
            return index;
        }
    }
    return std::nullopt;
}

} // namespace vanillagauge::policy
