#include "keeper/lease_keeper.hpp"

#include "observe/log.hpp"

#include <charconv>

namespace vanillagauge::keeper {
namespace {

constexpr const char* lease_kind = "lease";
constexpr milliseconds turn_every{250};

/// The value of a lease object is its length in milliseconds; its name is the VM's.
fleet::lease_record to_record(const platform::stored_object& item)
{
    std::int64_t length = 0;
    std::from_chars(item.value.data(), item.value.data() + item.value.size(), length);
    return {item.name, item.version, milliseconds{length}};
}

} // namespace

lease_keeper::lease_keeper(keeper_state& state, platform::object_client& store, wire::event_loop& loop)
    : state_(state), store_(store), loop_(loop), vm_(state.self().vm), cycle_(vm_, fleet::lease_timing_for(1))
{
}

void lease_keeper::turn()
{
    loop_.after(turn_every, [this] { turn(); });
    const auto members = state_.members().size();
    store_.share_between(members);
    const bool begins = [this, members] {
        const std::lock_guard lock(mutex_);
        cycle_.use(fleet::lease_timing_for(members));
        return cycle_.begin(steady::now());
    }();
    if (!begins) {
        return;
    }
    store_.list(
        lease_kind,
        [this](const result<platform::listing>& reply) {
            if (ok(reply)) {
                listed(value(reply));
            }
            else {
                failed();
            }
        },
        platform::call_priority::lease);
}

void lease_keeper::listed(const platform::listing& leases)
{
    std::vector<fleet::lease_record> records;
    for (const auto& item : leases.objects) {
        records.push_back(to_record(item));
    }
    const auto renewal = [this, &records] {
        const std::lock_guard lock(mutex_);
        return cycle_.listed(records, steady::now());
    }();
    const platform::write change{lease_kind, vm_, std::to_string(renewal.length.count()),
                                 renewal.expected_version};
    store_.write_object(
        change,
        [this, change](const platform::write_outcome& outcome) {
            const auto stored = platform::settled(outcome, change.expected_version);
            if (!ok(stored)) {
                observe::log(observe::log_level::warning, "lease_not_renewed",
                             {{"detail", failure(stored).detail}});
                failed();
                return;
            }
            const std::lock_guard lock(mutex_);
            cycle_.renewed(value(stored).version, steady::now());
        },
        platform::call_priority::lease);
}

void lease_keeper::failed()
{
    const std::lock_guard lock(mutex_);
    cycle_.failed(steady::now());
}

fleet::lease_hold lease_keeper::held(time_point now) const
{
    const std::lock_guard lock(mutex_);
    return cycle_.held(now);
}

std::string lease_keeper::owner_of(const std::string& thing, time_point now) const
{
    const std::lock_guard lock(mutex_);
    return cycle_.owner_of(thing, now);
}

} // namespace vanillagauge::keeper
