#include "fleet/lease.hpp"

#include "fleet/rendezvous.hpp"

#include <algorithm>

namespace vanillagauge::fleet {
namespace {

/// A cycle is one list and one write. In fleets that would exceed this rate, leases get longer instead.
constexpr std::int64_t cycles_per_second = 16;
constexpr int cycles_per_ttl = 3;
constexpr milliseconds retry_after{1000};
constexpr int max_doublings = 5;
constexpr std::chrono::minutes abandoned_after{10};
/// Longer than that of any fleet; a record is written by another program, and its time could overflow.
constexpr milliseconds max_ttl = std::chrono::hours{24};

} // namespace

lease_timing lease_timing_for(std::size_t members)
{
    lease_timing timing;
    const milliseconds spread{static_cast<std::int64_t>(members) * 1000 / cycles_per_second};
    timing.renew_interval = std::max(timing.renew_interval, spread);
    timing.ttl = timing.renew_interval * cycles_per_ttl;
    return timing;
}

bool lease_cycle::begin(time_point now)
{
    if (in_progress_ || now < next_cycle_) {
        return false;
    }
    in_progress_ = true;
    cycle_started_ = now;
    next_cycle_ = now + timing_.renew_interval;
    return true;
}

// The holder's clock is unknown here. Its lease ends at most one TTL after the renewal was sent, which was
// before this VM first saw that version.
bool lease_cycle::expired(const observed_lease& lease, time_point now) const
{
    return now - lease.first_seen > lease.ttl + timing_.clock_margin + timing_.max_order_time;
}

renew_lease lease_cycle::listed(const std::vector<lease_record>& records, time_point now)
{
    std::map<std::string, observed_lease> seen;
    pending_holders_ = {vm_};
    own_version_ = 0;
    for (const auto& record : records) {
        if (record.vm == vm_) {
            own_version_ = record.version;
            continue;
        }
        const auto before = others_.find(record.vm);
        const bool same = before != others_.end() && before->second.version == record.version;
        const auto ttl = std::clamp(record.ttl, milliseconds{0}, max_ttl);
        seen[record.vm] = {record.version, ttl, same ? before->second.first_seen : now};
        if (!expired(seen[record.vm], now)) {
            pending_holders_.push_back(record.vm);
        }
    }
    others_ = std::move(seen);
    return {own_version_, timing_.ttl};
}

// The lease runs from the start of the cycle, before the list, so the known set of holders is never older
// than the lease, and a reply read late by a paused process does not extend it.
void lease_cycle::renewed(std::uint64_t version, time_point now)
{
    in_progress_ = false;
    failures_ = 0;
    const bool continued = fencing_token_ != 0 && now < held_until_;
    if (!continued) {
        // A VM that took over in the meantime sees this lease only in its next cycle and may act for up to
        // one TTL until then. Acting at once would make two owners.
        effective_from_ = now + timing_.ttl + timing_.clock_margin + timing_.max_order_time;
    }
    // Also for a continued lease: after a takeover the token must exceed all tokens of the expired holder,
    // and this update came after the list that showed the expiry.
    fencing_token_ = version;
    held_until_ = cycle_started_ + timing_.ttl;
    holders_ = pending_holders_;
}

void lease_cycle::failed(time_point now)
{
    in_progress_ = false;
    // Backoff with jitter by VM and attempt: in an outage the fleet's retries must neither synchronise nor
    // exceed the renewal rate.
    const auto max_delay =
        std::min(timing_.renew_interval, retry_after * (1 << std::min(failures_, max_doublings)));
    const auto half = static_cast<std::uint64_t>(max_delay.count() / 2);
    const auto jitter = hash64(vm_, static_cast<std::uint64_t>(failures_)) % half;
    ++failures_;
    next_cycle_ = now + milliseconds{static_cast<std::int64_t>(half + 1 + jitter)};
}

held_lease lease_cycle::held(time_point now) const
{
    if (fencing_token_ == 0 || now >= held_until_ || now < effective_from_) {
        return {};
    }
    return {fencing_token_, milliseconds_between(now, held_until_)};
}

// A VM that crashed and was replaced under another name leaves its lease behind. With many replacements such
// leases would soon outnumber the valid ones in every list.
std::vector<lease_record> lease_cycle::abandoned(time_point now) const
{
    std::vector<lease_record> found;
    for (const auto& [vm, lease] : others_) {
        if (expired(lease, now) && now - lease.first_seen > abandoned_after) {
            found.push_back({vm, lease.version, lease.ttl});
        }
    }
    return found;
}

std::string lease_cycle::owner_of(const std::string& key, time_point now) const
{
    if (held(now).fencing_token == 0) {
        return {};
    }
    return ranked_owners(key, holders_).front();
}

} // namespace vanillagauge::fleet
