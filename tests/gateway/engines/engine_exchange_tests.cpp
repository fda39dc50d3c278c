// Reports about the engines between whole gateways.
#include "batch_deployment.hpp"

#include "gateway/engines/engine_exchange.hpp"

namespace vanillagauge::gateway {
namespace {

using nlohmann::json;

/// A batch without a model, so that its id decides which gateway owns it.
net::http_request batch_of(const std::string& id, int items)
{
    auto request = make_batch(id, 0);
    auto body = json::parse(request.body);
    const auto first = body["Items"][0];
    body["Model"] = "";
    body["DesiredCount"] = items;
    body["Items"] = json::array();
    for (int index = 0; index < items; ++index) {
        auto item = first;
        item["Id"] = id + "-" + std::to_string(index);
        item["Group"] = "g" + std::to_string(index);
        body["Items"].push_back(std::move(item));
    }
    request.body = body.dump();
    return request;
}

double metric(running_gateway& served, const std::string& series)
{
    const auto page = served.query<std::string>([](gateway& known) { return known.metrics_page(); });
    const auto found = page.find("\n" + series + " ");
    return found == std::string::npos ? 0 : std::stod(page.substr(found + series.size() + 2));
}

double reports(running_gateway& served, const std::string& outcome)
{
    return metric(served, "engine_reports_total{outcome=\"" + outcome + "\"}");
}

struct shared_engines : batch_deployment {
    int submitted = 0; ///< items

    void set_engines(int events, milliseconds interval, int max_streams)
    {
        modify_store([&](standins::fake_store&) {
            for (auto* engine : {&one, &two}) {
                engine->events = events;
                engine->event_interval = interval;
                engine->max_streams = max_streams;
            }
        });
    }
    int sum(int (*of)(const standins::fake_replica&))
    {
        return inspect_store<int>([&](standins::fake_store&) { return of(one) + of(two); });
    }
    int refused()
    {
        return sum([](const standins::fake_replica& engine) { return engine.refused_streams; });
    }
    int started()
    {
        return sum([](const standins::fake_replica& engine) {
            return static_cast<int>(engine.started_requests.size());
        });
    }
    int items_started()
    {
        return inspect_store<int>([&](standins::fake_store&) {
            std::set<std::string> ids;
            for (const auto* engine : {&one, &two}) {
                for (const auto& seen : engine->started_requests) {
                    ids.insert(seen.attempt_id);
                }
            }
            return static_cast<int>(ids.size());
        });
    }
    std::string owner_of(const std::string& id)
    {
        return inspect_store<std::string>([&](standins::fake_store& store) {
            return store.find("batches", id).at("Specification").value("owner", std::string{});
        });
    }
    /// Submits batches under ids with the prefix until one is owned by the VM; returns its id.
    std::string submit_to_owner(const std::string& prefix, const std::string& vm, int items)
    {
        for (int number = 0; number < 10; ++number) {
            auto id = prefix + std::to_string(number);
            EXPECT_EQ(status_of(gateways.front()->address(), batch_of(id, items)), 202);
            submitted += items;
            if (owner_of(id) == vm) {
                return id;
            }
        }
        ADD_FAILURE() << "no batch is owned by " << vm;
        return {};
    }
    void wait_until_met(std::size_t count)
    {
        for (auto& served : gateways) {
            EXPECT_TRUE(eventually([&] {
                return served->ready() && served->query<std::size_t>([](gateway& known) {
                    return known.addresses().front_addresses.size();
                }) == count;
            }));
        }
    }
    void wait_until_done(const std::vector<std::string>& ids)
    {
        for (const auto& id : ids) {
            EXPECT_TRUE(eventually([&] {
                const auto page = body_of(gateways.front()->address(), make_read(id, 0));
                return page.is_object() && page.value("Total", 0) > 0 &&
                       page["Results"].size() == page["Total"].get<std::size_t>();
            }));
        }
    }
};

// Guards against two owners that each take all places of the same engines: the engines reject the rest.
TEST(engine_exchange, keeps_two_owners_from_exceeding_the_engines)
{
    shared_engines all;
    all.set_engines(10, milliseconds(30), 4);
    auto& first = all.add_gateway("a");
    auto& second = all.add_gateway("b");
    all.wait_until_met(2);
    const auto by_first = all.submit_to_owner("x", "a", 40);
    const auto by_second = all.submit_to_owner("y", "b", 40);
    all.wait_until_done({by_first, by_second});
    EXPECT_LT(all.refused(), 20);
    EXPECT_GT(reports(first, "applied"), 0);
    EXPECT_GT(reports(second, "applied"), 0);
}

// Guards against an owner that fills all engines while it cannot see another owner's streams.
TEST(engine_exchange, uses_a_fair_share_beside_a_silent_owner)
{
    shared_engines all;
    // A member of the fleet that owns an open batch and where nothing listens for reports.
    wire::event_loop loop;
    fleet_view silent(loop, make_settings("silent", all.store_address(), {}));
    ASSERT_TRUE(ok(silent.open("127.0.0.1:1", "127.0.0.1:1", [] {})));
    loop.run_and_wait([&] { silent.set_front_open(true); });
    batch_header open;
    open.id = "open";
    open.service = "lm";
    open.owner_vm = "silent";
    open.owner_incarnation = silent.incarnation();
    all.set_engines(300, milliseconds(20), 0);
    auto& served = all.add_gateway("a", {silent.peer_address()});
    // A gateway that does not know the owner yet would take the batch over.
    all.wait_until_met(2);
    all.modify_store([&](standins::fake_store& store) { store.put("batches", "open", to_json(open)); });
    all.submit_to_owner("x", "a", 1);
    EXPECT_TRUE(deployment::eventually([&] { return metric(served, "engine_reporters_silent") == 1; }));
    EXPECT_GT(reports(served, "unsent"), 0);
    all.submit_to_owner("y", "a", 12);
    EXPECT_TRUE(deployment::eventually([&] { return all.started() >= 4; }));
    std::this_thread::sleep_for(milliseconds(300));
    EXPECT_EQ(all.started(), 4) << "half of the slots of both engines";
    silent.close();
    all.gateways.clear();
    loop.stop();
}

// Guards against a body of another program, or of a faulty gateway, that ends the gateway or enters its view.
TEST(engine_exchange, refuses_malformed_reports)
{
    batch_deployment all;
    auto& served = all.ready_gateway("a");
    const auto address =
        served.query<std::string>([](gateway& instance) { return instance.relay_address(); });
    const std::string use = R"({"vm":"a","incarnation":1,"sequence":1,"loads":[],"uses":)";
    const std::vector<std::string> bodies{
        "",
        "[]",
        "{}",
        use + "7}",
        use + "[7]}",
        use + R"([{"engine":"e","streams":"1","left":0}]})",
        use + R"([{"engine":"e","left":0,"streams":1}],"sequence":-1})",
        R"({"vm":"a","incarnation":1,"sequence":1,"uses":[],"loads":[{"engine":"e","model":"m","version":-1,"left_ms":1}]})",
        std::string((64U << 10U) + 1, ' ') + use + "[]}"};
    const auto status = [&](const std::string& body) {
        net::http_request request;
        request.method = "POST";
        request.target = engine_report_path;
        request.body = body;
        return all.status_of(address, request);
    };
    for (const auto& body : bodies) {
        EXPECT_EQ(status(body), 400) << body.substr(0, 200);
    }
    EXPECT_EQ(reports(served, "malformed"), bodies.size());
    EXPECT_EQ(status(use + "[]}"), 200) << "a report under the receiver's own name is stale";
    EXPECT_EQ(reports(served, "stale"), 1);
    EXPECT_EQ(reports(served, "applied"), 0);
}

// Guards against items sent to an engine that rejects them for the time of a load which another gateway has
// ordered.
TEST(engine_exchange, keeps_items_away_from_an_engine_that_loads)
{
    shared_engines all;
    all.set_engines(1000, milliseconds(20), 0);
    all.modify_store([&](standins::fake_store&) {
        all.one.version = 2;
        all.two.load_time = milliseconds(800);
    });
    all.put_replica(all.one, "lm", "ready");
    auto& first = all.add_gateway("a");
    auto& second = all.add_gateway("b");
    all.wait_until_met(2);
    for (const std::string owner : {"a", "b"}) { // one of them orders the loads
        all.submit_to_owner("x" + owner, owner, 1);
    }
    // An item without a model is not kept away from any load.
    EXPECT_TRUE(deployment::eventually([&] { return all.items_started() == all.submitted; }));
    all.modify_store([](standins::fake_store& store) {
        store.put("versions", "m", {{"Model", "m"}, {"Version", 2}});
    });
    const auto knows = [](running_gateway& served) {
        return metric(served, "engines_loading_elsewhere") == 1;
    };
    EXPECT_TRUE(deployment::eventually([&] { return knows(first) || knows(second); }));
    for (const std::string owner : {"a", "b"}) {
        auto request = batch_of("m" + owner, 3);
        auto body = json::parse(request.body);
        body["Model"] = "m";
        request.body = body.dump();
        EXPECT_EQ(all.status_of(first.address(), request), 202);
        all.submitted += 3;
    }
    EXPECT_TRUE(deployment::eventually([&] { return all.items_started() == all.submitted; }));
    EXPECT_EQ(all.refused(), 0);
}

} // namespace
} // namespace vanillagauge::gateway
