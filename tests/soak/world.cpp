#include "world.hpp"

#include "draw.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace vanillagauge::soak {

using nlohmann::json;
using standins::replica_fault;

namespace {

constexpr int plain_replicas = 3;
constexpr int engine_replicas = 3;
constexpr milliseconds work_time{15};
constexpr milliseconds entry_time{500};
/// A replica that leaves serves on for so long, as the platform's do.
constexpr milliseconds leave_time{3500};

json make_route(const std::string& name, const std::string& kind, const std::string& service)
{
    return {{"Name", name},
            {"Host", "h"},
            {"PathPrefix", "/" + name + "/"},
            {"Kind", kind},
            {"Service", service},
            {"Attempts", 2},
            {"TimeoutMs", 2500},
            {"TargetLatencyMs", 100},
            {"Priority", 0}};
}

} // namespace

world::world(net::loop& loop, std::uint64_t seed, std::size_t gateways, soak_plan plan)
    : loop_(loop), seed_(seed), plan_(plan), store_(loop)
{
    const auto address = value(store_.open());
    for (std::size_t place = 0; place < gateways; ++place) {
        store_links_.push_back(std::make_unique<fault_proxy>(loop, address));
        store_addresses_.push_back(store_links_.back()->open());
    }
    put_configuration();
    for (int place = 0; place < plain_replicas; ++place) {
        add_replica("plain");
    }
    for (int place = 0; place < engine_replicas; ++place) {
        add_replica("lm");
    }
}

void world::start()
{
    std::uint64_t actor = 100;
    net::start(loop_, spoil_links(++actor, true));
    ++actor;
    if (plan_ == soak_plan::mixed) {
        net::start(loop_, spoil_links(actor, false));
    }
    net::start(loop_, spoil_store(++actor));
    ++actor;
    if (plan_ == soak_plan::mixed) {
        net::start(loop_, spoil_replicas(actor));
    }
    net::start(loop_, replace_replicas(++actor));
    net::start(loop_, change_configuration(++actor));
    net::start(loop_, name_versions(++actor));
    net::start(loop_, keep_entries());
}

void world::calm()
{
    calm_ = true;
    calm_since_ = steady::now();
    store_.faults = {};
    for (const auto& link : store_links_) {
        link->set(link_fault::none);
    }
    for (const auto& placed : replicas_) {
        placed.link->set(link_fault::none);
        placed.replica->script.clear();
    }
}

std::vector<standins::received_request> world::ran() const
{
    std::vector<standins::received_request> all;
    for (const auto& placed : replicas_) {
        all.insert(all.end(), placed.replica->started_requests.begin(),
                   placed.replica->started_requests.end());
    }
    return all;
}

bool world::replica_failed(const std::string& attempt_id, time_point sent_at) const
{
    return std::any_of(replicas_.begin(), replicas_.end(), [&](const placed_replica& placed) {
        const auto& runs = placed.replica->started_requests;
        return std::any_of(runs.begin(), runs.end(), [&](const auto& run) {
            const bool failed = run.fault != replica_fault::none || placed.link->harmed_since(sent_at);
            return run.attempt_id == attempt_id && failed;
        });
    });
}

placed_replica& world::add_replica(const std::string& service)
{
    placed_replica placed;
    const auto id = "r" + std::to_string(++replicas_made_);
    placed.replica = std::make_unique<standins::fake_replica>(loop_, id, model_version_);
    placed.replica->work_time = work_time;
    placed.link = std::make_unique<fault_proxy>(loop_, value(placed.replica->open()));
    placed.address = placed.link->open();
    placed.service = service;
    replicas_.push_back(std::move(placed));
    announce(replicas_.back(), "ready");
    return replicas_.back();
}

void world::announce(placed_replica& placed, const std::string& state)
{
    auto entry = placed.replica->entry(placed.service, placed.service == "lm" ? "m" : "", state);
    entry["Address"] = placed.address;
    store_.put("servers", placed.replica->id(), std::move(entry));
    placed.state = state;
    placed.announced_version = placed.replica->version;
}

void world::withdraw(placed_replica& placed)
{
    store_.remove("servers", placed.replica->id());
    placed.state.clear();
}

// Replicas keep their own entries: weights that were loaded show there a while later.
net::task<void> world::keep_entries()
{
    while (true) {
        co_await net::sleep_for(loop_, entry_time);
        for (auto& placed : replicas_) {
            if (!placed.state.empty() && placed.announced_version != placed.replica->version) {
                announce(placed, placed.state);
            }
        }
    }
}

void world::put_configuration()
{
    ++configuration_;
    json routes{make_route("safe", "safe", "plain"), make_route("once", "unsafe", "plain"),
                make_route("flow", "streaming", "lm"), make_route("lots", "rollout", "lm")};
    routes[2]["Resumable"] = true;
    routes[3]["MaxAgeS"] = 20;
    routes[3]["ResultDeadlineMs"] = 5000;
    routes.push_back(make_route("added" + std::to_string(configuration_), "safe", "plain"));
    json whole{{"Version", configuration_}, {"Routes", std::move(routes)}};
    whole["Services"] = json::parse(R"([{"Name":"plain"},{"Name":"lm","Engine":{"Models":[{"Name":"m"}]}}])");
    store_.put("config", "main", std::move(whole));
}

// Faults of several links overlap: each draws a new one before the others have ended.
net::task<void> world::spoil_links(std::uint64_t actor, bool to_store)
{
    draw drawn(seed_, actor);
    while (!calm_) {
        co_await net::sleep_for(loop_, drawn.between(milliseconds(200), milliseconds(1500)));
        std::vector<fault_proxy*> links;
        for (const auto& link : store_links_) {
            links.push_back(link.get());
        }
        if (!to_store) {
            links.clear();
            for (const auto& placed : replicas_) {
                links.push_back(placed.link.get());
            }
        }
        const std::vector<link_fault> faults{link_fault::none,      link_fault::delay,    link_fault::reset,
                                             link_fault::cut_there, link_fault::cut_back, link_fault::silent,
                                             link_fault::none};
        const auto fault = drawn.one_of(faults);
        const auto delay = drawn.between(milliseconds(5), milliseconds(150));
        auto* link = drawn.one_of(links);
        if (!calm_) {
            link->set(fault, delay);
        }
    }
}

net::task<void> world::spoil_store(std::uint64_t actor)
{
    draw drawn(seed_, actor);
    while (!calm_) {
        co_await net::sleep_for(loop_, drawn.between(milliseconds(500), milliseconds(3000)));
        const auto kind = drawn.below(5);
        const auto length = drawn.between(milliseconds(200), milliseconds(2500));
        if (calm_) {
            co_return;
        }
        if (kind == 0) {
            store_.faults.refuse = true;
            co_await net::sleep_for(loop_, length);
            store_.faults.refuse = false;
        }
        else if (kind == 1) {
            store_.faults.lose_answers = 3;
        }
        else if (kind == 2) {
            store_.faults.write_delay = length;
            store_.faults.delay_writes = 3;
        }
        else if (kind == 3) {
            store_.compact_history();
        }
    }
}

net::task<void> world::spoil_replicas(std::uint64_t actor)
{
    draw drawn(seed_, actor);
    const std::vector<replica_fault> faults{replica_fault::shed,     replica_fault::reset,
                                            replica_fault::silent,   replica_fault::other_attempt,
                                            replica_fault::no_stamp, replica_fault::cut_stream};
    while (!calm_) {
        co_await net::sleep_for(loop_, drawn.between(milliseconds(50), milliseconds(400)));
        auto& placed = replicas_.at(drawn.below(replicas_.size()));
        const auto fault = drawn.one_of(faults);
        if (!calm_) {
            placed.replica->script.push_back(fault);
        }
    }
}

// One replica leaves, another comes: draining first or just gone from the list, serving on for a while.
net::task<void> world::replace_replicas(std::uint64_t actor)
{
    draw drawn(seed_, actor);
    while (!calm_) {
        co_await net::sleep_for(loop_, drawn.between(milliseconds(1500), milliseconds(4000)));
        const auto place = drawn.below(replicas_.size());
        const bool says_so = drawn.below(2) == 0;
        if (replicas_[place].leaving || calm_) {
            continue;
        }
        replicas_[place].leaving = true;
        if (says_so) {
            announce(replicas_[place], "draining");
        }
        else {
            withdraw(replicas_[place]);
        }
        add_replica(std::string(replicas_[place].service));
        co_await net::sleep_for(loop_, leave_time);
        withdraw(replicas_[place]);
    }
}

net::task<void> world::change_configuration(std::uint64_t actor)
{
    draw drawn(seed_, actor);
    while (!calm_) {
        co_await net::sleep_for(loop_, drawn.between(milliseconds(300), milliseconds(4000)));
        if (!calm_) {
            put_configuration();
        }
    }
}

net::task<void> world::name_versions(std::uint64_t actor)
{
    draw drawn(seed_, actor);
    while (!calm_) {
        co_await net::sleep_for(loop_, drawn.between(milliseconds(2000), milliseconds(6000)));
        if (!calm_) {
            ++model_version_;
            store_.put("versions", "m", {{"Model", "m"}, {"Version", model_version_}});
        }
    }
}

} // namespace vanillagauge::soak
