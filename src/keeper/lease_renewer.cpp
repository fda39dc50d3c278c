#include "keeper/lease_renewer.hpp"

#include "observe/log.hpp"

#include <sstream>

namespace vanillagauge::keeper {
namespace {

constexpr const char* lease_kind = "lease";
constexpr milliseconds tick_interval{250};

/// The value of a lease object, which is named after its VM: the ttl in milliseconds and the keeper's
/// address.
struct lease_value {
    std::int64_t ttl = 0;
    std::string peer_address;
};

lease_value parse_value(const std::string& text)
{
    lease_value parsed;
    std::istringstream(text) >> parsed.ttl >> parsed.peer_address;
    return parsed;
}

std::string to_text(milliseconds ttl, const std::string& peer_address)
{
    return std::to_string(ttl.count()) + " " + peer_address;
}

} // namespace

lease_renewer::lease_renewer(keeper_state& state, objects::object_client& store, wire::event_loop& loop)
    : state_(state), store_(store), loop_(loop), vm_(state.self().vm), cycle_(vm_, fleet::lease_timing_for(1))
{
}

void lease_renewer::tick()
{
    loop_.after(tick_interval, [this] { tick(); });
    const auto members = state_.member_count();
    store_.set_fleet_size(members);
    const bool begins = [this, members] {
        const std::lock_guard lock(mutex_);
        cycle_.set_timing(fleet::lease_timing_for(members));
        return cycle_.begin(steady::now());
    }();
    if (!begins) {
        return;
    }
    store_.list(
        lease_kind,
        [this](const result<objects::listing>& reply) {
            if (ok(reply)) {
                on_listed(value(reply));
            }
            else {
                on_failed();
            }
        },
        objects::call_priority::lease);
}

void lease_renewer::on_listed(const objects::listing& leases)
{
    std::vector<fleet::lease_record> records;
    std::vector<std::string> peers;
    for (const auto& item : leases.objects) {
        const auto parsed = parse_value(item.value);
        records.push_back({item.name, item.version, milliseconds{parsed.ttl}});
        if (item.name != vm_ && !parsed.peer_address.empty()) {
            peers.push_back(parsed.peer_address);
        }
    }
    if (on_peers_) {
        on_peers_(std::move(peers));
    }
    const auto renewal = [this, &records] {
        const std::lock_guard lock(mutex_);
        return cycle_.listed(records, steady::now());
    }();
    const objects::object_write change{lease_kind, vm_, to_text(renewal.ttl, state_.self().peer_address),
                                       renewal.expected_version};
    store_.write_object(
        change,
        [this, change](const objects::write_outcome& outcome) {
            const auto stored = objects::to_result(outcome, change.expected_version);
            if (!ok(stored)) {
                observe::log(observe::log_level::warning, "lease_not_renewed",
                             {{"detail", failure(stored).detail}});
                on_failed();
                return;
            }
            {
                const std::lock_guard lock(mutex_);
                cycle_.renewed(value(stored).version, steady::now());
            }
            delete_abandoned();
        },
        objects::call_priority::lease);
}

void lease_renewer::delete_abandoned()
{
    if (!state_.is_watcher()) {
        return;
    }
    const auto abandoned = [this] {
        const std::lock_guard lock(mutex_);
        return cycle_.abandoned(steady::now());
    }();
    if (abandoned.empty()) {
        return;
    }
    // At most one per cycle, and conditional on the version seen: a lease renewed in the meantime stays.
    const auto& oldest = abandoned.front();
    store_.write_object(
        {lease_kind, oldest.vm, "", oldest.version, true}, [](const objects::write_outcome&) {},
        objects::call_priority::status);
}

void lease_renewer::on_failed()
{
    const std::lock_guard lock(mutex_);
    cycle_.failed(steady::now());
}

fleet::held_lease lease_renewer::held(time_point now) const
{
    const std::lock_guard lock(mutex_);
    return cycle_.held(now);
}

std::string lease_renewer::owner_of(const std::string& key, time_point now) const
{
    const std::lock_guard lock(mutex_);
    return cycle_.owner_of(key, now);
}

} // namespace vanillagauge::keeper
