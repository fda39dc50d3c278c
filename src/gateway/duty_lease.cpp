#include "gateway/duty_lease.hpp"

#include "gateway/untrusted_json.hpp"
#include "observe/log.hpp"

#include <algorithm>

namespace vanillagauge::gateway {
namespace {

constexpr const char* lease_kind = "leases";
/// Named after its first duty; gateways of earlier versions use the same object.
constexpr const char* lease_name = "weights";

constexpr milliseconds poll_interval{100};

/// After its start a gateway meets its peers within this time.
constexpr milliseconds meeting_time{400};

/// For a lease that does not specify how long its holder waits.
constexpr milliseconds default_order_delay{10000};

/// Longer than the settings allow; a longer one would keep the duties from all gateways.
constexpr milliseconds max_takeover_wait{20 * 60 * 1000};

policy::stored_lease lease_from(const stored_object& stored)
{
    policy::stored_lease lease;
    lease.holder = string_or_empty(stored.value, "holder");
    lease.previous_holder = string_or_empty(stored.value, "former");
    lease.version = stored.revision;
    const milliseconds wait{integer_or(stored.value, "acts_in_ms", default_order_delay.count())};
    lease.takeover_wait = std::clamp(wait, milliseconds{0}, max_takeover_wait);
    return lease;
}

} // namespace

duty_lease::duty_lease(net::loop& loop, object_store& store, const fleet_view& fleet,
                       const config::settings& settings)
    : loop_(loop), store_(store), fleet_(fleet), self_(settings.vm + "@" + settings.gateway.relay_listen),
      lease_({.self = self_,
              .ttl = settings.gateway.order_lease * 2 / 3,
              .max_order_time = settings.gateway.order_lease}),
      started_(steady::now())
{
}

void duty_lease::start()
{
    net::start(loop_, watch_candidates());
    net::start(loop_, maintain());
}

void duty_lease::stop()
{
    stopped_ = true;
    const auto now = steady::now();
    const auto takeover_wait = lease_.takeover_wait(now);
    if (const auto held = lease_.release(now)) {
        net::start(loop_, release(*held, takeover_wait));
    }
}

const std::vector<std::string>& duty_lease::ranked_holders() const
{
    return fleet_.ranked_owners(lease_name);
}

void duty_lease::check_suspension()
{
    if (lease_.observe_clocks(steady::now(), time_since_boot())) {
        observe::log(observe::log_level::warning, "machine_was_suspended", {});
    }
}

std::optional<std::uint64_t> duty_lease::fencing_token()
{
    check_suspension();
    return stopped_ ? std::nullopt : lease_.fencing_token(steady::now());
}

// The write is conditional on the version, so it is harmless if delayed until another VM holds the lease.
net::task<void> duty_lease::release(std::uint64_t version, milliseconds takeover_wait)
{
    const nlohmann::json free{{"holder", ""}, {"former", self_}, {"acts_in_ms", takeover_wait.count()}};
    const auto written = co_await store_.replace(lease_kind, lease_name, free, version);
    observe::log(observe::log_level::info, "lease_given_up",
                 {{"version", static_cast<std::int64_t>(version)},
                  {"outcome", ok(written) ? std::string("done") : describe(failure(written))}});
}

// A holder keeps the lease as long as it can renew it: each change of holder costs seconds without orders.
void duty_lease::update_candidate(time_point now)
{
    const auto holder_vm = lease_.holder().substr(0, lease_.holder().find('@'));
    const bool holder_alive = fleet_.find_peer(holder_vm) != nullptr;
    const auto& ranked = ranked_holders();
    const bool first = !ranked.empty() && ranked.front() == fleet_.self();
    const bool holder_failed = holder_alive_ && !holder_alive;
    const bool became_first = first && !ranked_first_;
    if (!lease_.holds(now) && (became_first || (first && holder_failed))) {
        lease_.invalidate();
    }
    holder_alive_ = holder_alive;
    ranked_first_ = first;
    // At a start of all VMs each would read the lease and, first among the few peers that it knows yet, try
    // to take it.
    const bool eligible = now - started_ >= meeting_time && fleet_.is_large();
    lease_.set_eligible(eligible);
    lease_.on_candidate(!stopped_ && ((first && eligible) || lease_.holds(now) || lease_.names_self()));
}

// Goes on while a call to the store hangs.
net::task<void> duty_lease::watch_candidates()
{
    while (!stopped_) {
        check_suspension();
        update_candidate(steady::now());
        co_await net::sleep_for(loop_, poll_interval);
    }
}

net::task<void> duty_lease::maintain()
{
    while (!stopped_) {
        switch (lease_.next(steady::now())) {
        case policy::lease_action::read:
            co_await read();
            break;
        case policy::lease_action::write:
            co_await write();
            break;
        case policy::lease_action::none:
            break;
        }
        co_await net::sleep_for(loop_, poll_interval);
    }
}

net::task<void> duty_lease::read()
{
    const auto stored = co_await store_.read(lease_kind, lease_name);
    const auto now = steady::now();
    if (ok(stored)) {
        lease_.on_read(lease_from(value(stored)), now);
    }
    else if (failure(stored).code == error_code::not_found) {
        lease_.on_read({}, now);
    }
    else {
        lease_.on_failed(now);
    }
}

net::task<void> duty_lease::write()
{
    const auto requested_at = steady::now();
    const auto revision = lease_.expected_version();
    const nlohmann::json lease{
        {"holder", self_},
        {"acts_in_ms", lease_.takeover_wait(requested_at).count()},
        {"renewal", std::chrono::duration_cast<milliseconds>(requested_at.time_since_epoch()).count()}};
    result<stored_object> written = error{};
    if (revision == 0) {
        written = co_await store_.create(lease_kind, lease_name, lease);
    }
    else {
        written = co_await store_.replace(lease_kind, lease_name, lease, revision);
    }
    if (ok(written)) {
        const bool taken = !lease_.holds(requested_at);
        lease_.on_written(value(written).revision, requested_at);
        if (taken) {
            observe::log(observe::log_level::info, "lease_taken",
                         {{"version", static_cast<std::int64_t>(value(written).revision)},
                          {"replaced", static_cast<std::int64_t>(revision)}});
        }
    }
    else if (failure(written).code == error_code::conflict ||
             failure(written).code == error_code::not_found) {
        // For a VM that waits for the lease this means that the holder has renewed it.
        const bool held = lease_.holds(requested_at);
        observe::log(held ? observe::log_level::warning : observe::log_level::info,
                     held ? "lease_lost" : "lease_not_taken", {{"why", describe(failure(written))}});
        lease_.on_conflict();
    }
    else {
        observe::log(observe::log_level::warning, "lease_not_renewed",
                     {{"why", describe(failure(written))},
                      {"held", std::int64_t{lease_.holds(steady::now())}},
                      {"version", static_cast<std::int64_t>(revision)}});
        lease_.on_failed(steady::now());
    }
}

} // namespace vanillagauge::gateway
