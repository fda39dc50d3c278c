#include "gateway/member_registry.hpp"

#include "gateway/untrusted_json.hpp"

#include <algorithm>

namespace vanillagauge::gateway {

using nlohmann::json;

namespace {

constexpr const char* member_kind = "gateways";

/// Bounds of the exponential backoff with which a VM that knows no other lists the members in the store
/// again. A fleet of one costs two calls a minute.
constexpr milliseconds min_discovery_delay{500};
constexpr milliseconds max_discovery_delay{30000};
constexpr milliseconds register_retry_delay{1000};

} // namespace

member_registry::member_registry(net::loop& loop, object_store& store, fleet_view& fleet)
    : loop_(loop), store_(store), fleet_(fleet)
{
}

void member_registry::start()
{
    net::start(loop_, discover());
}

net::task<bool> member_registry::register_self()
{
    const json self{{"peer", fleet_.peer_address()}};
    const auto created = co_await store_.create(member_kind, fleet_.self(), self);
    if (ok(created)) {
        co_return true;
    }
    if (failure(created).code != error_code::conflict) {
        co_return false;
    }
    // A restarted VM is registered already; a fleet that restarts as a whole would spend two calls more for
    // each.
    const auto existing = parse_json(failure(created).current);
    if (string_or_empty(existing, "peer") == fleet_.peer_address()) {
        co_return true;
    }
    const auto earlier = co_await store_.read(member_kind, fleet_.self());
    if (!ok(earlier)) {
        co_return false;
    }
    const auto written = co_await store_.replace(member_kind, fleet_.self(), self, value(earlier).revision);
    co_return ok(written);
}

net::task<void> member_registry::list()
{
    const auto listed = co_await store_.list(member_kind, {});
    if (!ok(listed)) {
        co_return;
    }
    std::vector<std::string> addresses;
    registered_.emplace();
    for (const auto& object : value(listed).objects) {
        registered_->push_back(object.name);
        const auto address = string_or_empty(object.value, "peer");
        if (object.name != fleet_.self() && !address.empty()) {
            addresses.push_back(address);
        }
    }
    fleet_.add_peers(std::move(addresses));
}

// The configured seeds may all be dead when a VM starts, so members are registered in the store. Each VM
// registers before it lists: of two VMs starting together, at least one then sees the other. Listing first
// could leave both isolated for good.
net::task<void> member_registry::discover()
{
    while (!co_await register_self()) {
        co_await net::sleep_for(loop_, register_retry_delay);
    }
    // The others find their peers by their seeds. Those that may own batches learn here which peers are
    // missing.
    if (fleet_.is_large() || fleet_.peers().size() <= 1) {
        co_await list();
    }
    auto delay = min_discovery_delay;
    while (true) {
        co_await net::sleep_for(loop_, delay);
        const bool alone = fleet_.peers().size() <= 1;
        delay = alone ? std::min(delay * 2, max_discovery_delay) : min_discovery_delay;
        if (alone) {
            co_await list();
        }
    }
}

// Replaced VMs stay registered, so this may never become true; the batch runner then relies on the time since
// the start.
bool member_registry::sees_all() const
{
    const auto is_alive = [this](const std::string& vm) { return fleet_.find_peer(vm) != nullptr; };
    return registered_ && std::all_of(registered_->begin(), registered_->end(), is_alive);
}

} // namespace vanillagauge::gateway
