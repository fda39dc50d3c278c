#include "policy/fair_queue.hpp"

#include "policy/retry_after.hpp"

#include <algorithm>
#include <cmath>

namespace vanillagauge::policy {
namespace {

/// About 300 bytes each: a full queue stays under a megabyte.
constexpr std::size_t max_waiting = 2048;
/// Callers remembered for their recent service while they have no request here, in each class.
constexpr std::size_t max_idle_callers = 512;
/// A request may wait for half of its remaining time; the other half is for its execution.
constexpr int deadline_share = 2;
/// Maximum wait whatever the deadline: after this, a retry at another node is served sooner.
constexpr milliseconds max_wait{1000};
/// Not empty for this long: a standing queue, not a burst.
constexpr milliseconds standing_after{1000};
/// Maximum wait in a standing queue, but at least the time to serve a few requests.
constexpr milliseconds standing_wait{100};
constexpr double min_queue = 4;
/// A caller with all of the recent service yields to so many requests of each other caller.
constexpr double max_yield = 8;
/// Service of so long ago counts for a third.
constexpr std::chrono::duration<double> service_memory{5};
constexpr std::chrono::duration<double> rate_window{0.25};
constexpr double rate_smoothing = 0.4;
/// Targets change: the rate of an earlier burst is not representative.
constexpr seconds rate_life{5};

} // namespace

// Load pattern: bursts, saturation, and a few callers with most of the load.
//
// An unbounded queue serves requests after their callers have timed out, and gate terminals wait behind
// batches. So:
// - a request whose estimated wait exceeds its maximum is refused on arrival, and one that reaches its
//   maximum is refused then: half of its time is left for another node. A refusal is final;
// - a standing queue adds latency without adding throughput. A burst may use the maximum wait; once the queue
//   has not been empty for a second, new requests may wait a tenth of a second only (controlled delay,
//   decided on arrival so that no request is held only to be refused);
// - classes have strict priority: a gate terminal blocks a driver, members can wait, batches are retried;
// - within a class, start-time fair queueing over callers: one with a hundred queued requests gets the same
//   share as one with a single request. Each caller has a queue to itself: callers that share one would be
//   refused for each other's requests for as long as the process lives. The callers that wait are as many as
//   requests at most, and of the idle ones those with the least recent service are forgotten;
// - within a caller, first in, first out. Last in, first out would hold the older requests until they expire,
//   and a refusal must come early; refusing on arrival already keeps the queue short.
result<done> fair_queue::push(work item, time_point now)
{
    const auto allowed_wait = max_wait_of(item, now);
    if (allowed_wait <= duration::zero()) {
        return error{error_code::deadline_exceeded, run_state::not_run, "the deadline has passed"};
    }
    if (now - rate_at_ > rate_life) {
        drain_rate_ = 0;
    }
    if (wait_policy_ == wait_policy::shed_early && expected_wait(item) > allowed_wait) {
        return refused("the queue is longer than the request may wait", item, now);
    }
    if (size() >= max_waiting && !evict_for(item, now)) {
        return refused("the queue is full", item, now);
    }
    insert(std::move(item), now + allowed_wait, now);
    return done{};
}

duration fair_queue::max_wait_of(const work& item, time_point now) const
{
    if (wait_policy_ == wait_policy::until_deadline) {
        return item.deadline - now;
    }
    const auto burst = std::min<duration>((item.deadline - now) / deadline_share, max_wait);
    const bool standing = !empty() && now - nonempty_since_ > standing_after;
    if (!standing) {
        return burst;
    }
    const std::chrono::duration<double> few(drain_rate_ > 0 ? min_queue / drain_rate_ : 0);
    const auto shortened = std::max<duration>(standing_wait, std::chrono::duration_cast<duration>(few));
    return std::min(burst, shortened);
}

const work* fair_queue::front() const
{
    for (const auto& queue : classes_) {
        if (!queue.active.empty()) {
            const auto caller = queue.active.begin()->second;
            return &entries_.at(queue.callers.at(caller).ids.front()).item;
        }
    }
    return nullptr;
}

work fair_queue::pop()
{
    const auto found = std::find_if(classes_.begin(), classes_.end(),
                                    [](const class_queue& queue) { return !queue.active.empty(); });
    auto& queue = *found;
    const auto [tag, caller] = *queue.active.begin();
    auto& chosen = queue.callers.at(caller);
    work item = remove(chosen.ids.front());
    queue.virtual_time = tag;
    chosen.start_tag = tag + item.cost;
    if (!chosen.ids.empty()) {
        queue.active.erase({tag, caller});
        queue.active.insert({chosen.start_tag, caller});
    }
    return item;
}

double fair_queue::recent_service::at_time(time_point now) const
{
    return cost * std::exp(-std::chrono::duration<double>(now - at) / service_memory);
}

void fair_queue::recent_service::add(double more, time_point now)
{
    cost = at_time(now) + more;
    at = now;
}

// Load pattern: a queue that forms for moments only, and one caller with most of the load. Most requests
// start without queueing, and virtual time doesn't see them: each time a queue forms, all callers would count
// as equal although one has just received most of the capacity.
void fair_queue::on_started(const work& item, time_point now)
{
    auto& queue = classes_[static_cast<std::size_t>(item.urgency)];
    queue.received.add(item.cost, now);
    known_caller(queue, key_of(item), now).received.add(item.cost, now);
}

std::vector<refusal> fair_queue::collect_refused(time_point now)
{
    while (!expiries_.empty() && expiries_.begin()->first <= now) {
        const auto id = expiries_.begin()->second;
        const auto item = remove(id);
        refused_.push_back({id, refused("no target was free in time", item, now)});
    }
    return std::exchange(refused_, {});
}

// Completions measure the targets' capacity only while requests are queued; otherwise they measure demand,
// and the first requests of a burst would be refused because of low traffic before it.
void fair_queue::on_finished(time_point now)
{
    if (empty()) {
        rate_start_ = {};
        return;
    }
    if (rate_start_ == time_point{}) {
        rate_start_ = now;
        finished_ = 0;
    }
    ++finished_;
    const std::chrono::duration<double> passed = now - rate_start_;
    if (passed < rate_window) {
        return;
    }
    const double seen = finished_ / passed.count();
    drain_rate_ = drain_rate_ == 0 ? seen : drain_rate_ + rate_smoothing * (seen - drain_rate_);
    finished_ = 0;
    rate_start_ = now;
    rate_at_ = now;
}

std::size_t fair_queue::known_callers() const
{
    std::size_t known = 0;
    for (const auto& queue : classes_) {
        known += queue.callers.size();
    }
    return known;
}

std::optional<time_point> fair_queue::next_expiry() const
{
    if (expiries_.empty()) {
        return std::nullopt;
    }
    return expiries_.begin()->first;
}

duration fair_queue::expected_wait(const work& item) const
{
    const double wait = drain_rate_ > 0 ? static_cast<double>(requests_ahead(item)) / drain_rate_ : 0;
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(wait));
}

fair_queue::caller_key fair_queue::key_of(const work& item) const
{
    return hash64(item.caller, seed_);
}

fair_queue::caller_queue& fair_queue::known_caller(class_queue& queue, caller_key caller, time_point now)
{
    const auto found = queue.callers.find(caller);
    if (found != queue.callers.end()) {
        return found->second;
    }
    if (queue.callers.size() - queue.active.size() >= max_idle_callers) {
        forget_idle_callers(queue, now);
    }
    return queue.callers[caller];
}

/// Forgets the half of the idle callers that received the least.
void fair_queue::forget_idle_callers(class_queue& queue, time_point now)
{
    std::vector<double> received;
    for (const auto& [caller, known] : queue.callers) {
        if (known.ids.empty()) {
            received.push_back(known.received.at_time(now));
        }
    }
    const auto middle = received.begin() + static_cast<std::ptrdiff_t>(received.size() / 2);
    std::nth_element(received.begin(), middle, received.end());
    const double most = *middle;
    std::erase_if(queue.callers, [&](const auto& entry) {
        return entry.second.ids.empty() && entry.second.received.at_time(now) <= most;
    });
}

std::size_t fair_queue::waiting_of(const class_queue& queue, caller_key caller)
{
    const auto found = queue.callers.find(caller);
    return found == queue.callers.end() ? 0 : found->second.ids.size();
}

/// Requests that are served before this one: those of higher classes, and for each caller of its own class as
/// many as its own caller has queued.
std::size_t fair_queue::requests_ahead(const work& item) const
{
    std::size_t ahead = 0;
    const auto own = static_cast<std::size_t>(item.urgency);
    for (std::size_t index = 0; index < own; ++index) {
        ahead += classes_[index].size;
    }
    const auto& queue = classes_[own];
    const std::size_t own_waiting = waiting_of(queue, key_of(item));
    return ahead + std::min(queue.size, (own_waiting + 1) * queue.active.size());
}

/// Evicts the newest request of the caller with the most waiting in the lowest class, if that class is lower
/// than the new request's or that caller has more waiting than its own.
bool fair_queue::evict_for(const work& item, time_point now)
{
    for (std::size_t lowest = priority_count; lowest-- > 0;) {
        auto& queue = classes_[lowest];
        if (queue.size == 0) {
            continue;
        }
        const auto own = static_cast<std::size_t>(item.urgency);
        const auto heaviest = std::max_element(queue.callers.begin(), queue.callers.end(),
                                               [](const auto& left, const auto& right) {
                                                   return left.second.ids.size() < right.second.ids.size();
                                               });
        const auto& longest = heaviest->second.ids;
        const bool yields =
            own < lowest || (own == lowest && longest.size() > waiting_of(queue, key_of(item)) + 1);
        if (!yields) {
            return false;
        }
        const auto id = longest.back();
        const auto evicted = remove(id);
        refused_.push_back({id, refused("evicted for a request of another caller or class", evicted, now)});
        return true;
    }
    return false;
}

void fair_queue::insert(work item, time_point expires_at, time_point now)
{
    const auto caller = key_of(item);
    const auto id = item.id;
    auto& queue = classes_[static_cast<std::size_t>(item.urgency)];
    auto& chosen = known_caller(queue, caller, now);
    if (empty()) {
        nonempty_since_ = now;
    }
    if (chosen.ids.empty()) {
        // An idle caller accumulates no credit.
        const double all = queue.received.at_time(now);
        const double share = all > 0 ? std::min(1.0, chosen.received.at_time(now) / all) : 0;
        chosen.start_tag = std::max(chosen.start_tag, queue.virtual_time + max_yield * share);
        queue.active.insert({chosen.start_tag, caller});
    }
    const auto in_queue = chosen.ids.insert(chosen.ids.end(), id);
    ++queue.size;
    expiries_.insert({expires_at, id});
    entries_.emplace(id, waiting{std::move(item), expires_at, caller, in_queue});
}

work fair_queue::remove(std::uint64_t id)
{
    const auto found = entries_.find(id);
    auto& queued = found->second;
    auto& queue = classes_[static_cast<std::size_t>(queued.item.urgency)];
    auto& chosen = queue.callers.at(queued.caller);
    chosen.ids.erase(queued.in_queue);
    --queue.size;
    if (chosen.ids.empty()) {
        queue.active.erase({chosen.start_tag, queued.caller});
    }
    expiries_.erase({queued.expires_at, id});
    work item = std::move(queued.item);
    entries_.erase(found);
    return item;
}

error fair_queue::refused(const char* why, const work& item, time_point now)
{
    const auto back = retry_after(expected_wait(item), item.urgency, item.deadline - now, random_);
    return {error_code::overloaded, run_state::not_run, why, back};
}

} // namespace vanillagauge::policy
