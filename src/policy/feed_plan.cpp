#include "policy/feed_plan.hpp"

#include "base/digest.hpp"
#include "policy/copy_age.hpp"

#include <algorithm>

namespace vanillagauge::policy {
namespace {

/// Three in different failure domains leave one while a domain is down and another VM restarts. Each event
/// costs a store call for each of them.
constexpr std::size_t store_watchers = 3;
/// Bounds the polls that a gateway serves.
constexpr std::size_t gateways_per_relay = 24;

/// After a start of all gateways a first copy passes through the watchers and relays.
constexpr milliseconds start_limit{3000};

/// Puts a first element that differs from gateway to gateway, so that they spread over those to poll.
void rotate_by_name(std::vector<std::string>& vms, const std::string& self)
{
    if (!vms.empty()) {
        const auto turn = hash64(self) % vms.size();
        std::rotate(vms.begin(), vms.begin() + static_cast<std::ptrdiff_t>(turn), vms.end());
    }
}

} // namespace

std::size_t serving_count(std::size_t gateways)
{
    const auto relays = gateways / gateways_per_relay;
    return relays > store_watchers ? store_watchers + relays : store_watchers;
}

// Counted from the request, not from the response, whose time under way is not known. What the peer held the
// poll counts: without it each relay between the store and a gateway would add a whole poll to the age, and
// in a large fleet all copies would seem too old.
time_point time_at_peer(time_point requested_at, milliseconds held, milliseconds age)
{
    return requested_at + held - age;
}

feed_plan::feed_plan(const std::vector<std::string>& chosen, const std::string& self)
    : chosen_(chosen), self_(self)
{
    const auto found = std::find(chosen.begin(), chosen.end(), self);
    if (found != chosen.end()) {
        rank_ = static_cast<std::size_t>(found - chosen.begin());
    }
}

bool feed_plan::watches_store() const
{
    return rank_ && *rank_ < store_watchers;
}

// Load pattern: hundreds of gateways, and trainers whose batches and versions change several objects a
// second. With a watch at every serving gateway the calls would grow with the fleet and with the work at
// once. Steady feeds keep three watchers, since their changes are bounded in time even if one is cut off; a
// frequent feed has one, whose silence delays steps by a second or two and breaks nothing.
bool feed_plan::watches(feed_pace pace, const copy& known) const
{
    // Gateways that should serve the others ask the store sooner for a frequent feed: if all did at once, it
    // would be read once for each gateway.
    if (watches_store()) {
        return pace == feed_pace::steady || *rank_ == 0 || known.age > standby_refresh_age;
    }
    if (!known.synced) {
        return known.age > start_limit;
    }
    return known.age > (pace == feed_pace::steady ? refresh_age : frequent_refresh_age);
}

// Load pattern: three watchers of feeds that seldom change. If each confirmed its copy by short watches,
// these would be most calls to the store. Behind relays a copy is a poll older, so there each watcher
// confirms.
bool feed_plan::confirms() const
{
    return watches_store() && (*rank_ == 0 || chosen_.size() > store_watchers);
}

milliseconds feed_plan::watch_time(feed_pace pace) const
{
    if (pace == feed_pace::frequent) {
        return frequent_watch_time;
    }
    return confirms() ? confirming_watch_time : pending_watch_time;
}

bool feed_plan::polls_relays() const
{
    return chosen_.size() > store_watchers && !serves();
}

std::vector<std::string> feed_plan::sources() const
{
    const auto watchers = std::min(store_watchers, chosen_.size());
    const auto first = polls_relays() ? watchers : 0;
    const auto last = polls_relays() ? chosen_.size() : watchers;
    std::vector<std::string> found;
    for (auto index = first; index < last; ++index) {
        if (chosen_[index] != self_) {
            found.push_back(chosen_[index]);
        }
    }
    // The others spread over those that serve them; the watchers ask the first, which alone watches all
    // feeds.
    if (!watches_store()) {
        rotate_by_name(found, self_);
    }
    return found;
}

// Spread by name: a watcher that is out of reach for many gateways must not send them all to one.
std::vector<std::string> feed_plan::substitutes(const std::vector<std::string>& living) const
{
    const auto planned = sources();
    std::vector<std::string> found;
    for (const auto& vm : living) {
        if (vm != self_ && std::find(planned.begin(), planned.end(), vm) == planned.end()) {
            found.push_back(vm);
        }
    }
    rotate_by_name(found, self_);
    return found;
}

milliseconds feed_plan::poll_time() const
{
    return rank_ ? serving_poll_time : poll_time_of_others;
}

} // namespace vanillagauge::policy
