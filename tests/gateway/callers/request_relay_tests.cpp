// Plain requests relayed through hubs, with whole gateways.
#include "fleet/rendezvous.hpp"
#include "gateway/callers/request_relay.hpp"
#include "organisation_deployment.hpp"

#include <algorithm>

namespace vanillagauge::gateway {
namespace {

using standins::replica_fault;

/// Gateways in different failure domains; the first two by rank are the hubs of the service "plain".
struct relay_deployment : organisations_deployment {
    std::vector<std::string> ranked;
    std::map<std::string, running_gateway*> by_vm;

    explicit relay_deployment(std::size_t max_direct_pairs = 0, int count = 4)
    {
        std::vector<std::string> vms;
        for (int index = 0; index < count; ++index) {
            vms.push_back("vm" + std::to_string(index));
            auto settings = make_settings(vms.back(), store_address(), {});
            settings.failure_domain = "z" + std::to_string(index);
            settings.gateway.max_direct_pairs = max_direct_pairs;
            gateways.push_back(std::make_unique<running_gateway>(std::move(settings)));
            by_vm[vms.back()] = gateways.back().get();
        }
        ranked = fleet::ranked_owners("relay/plain", vms);
        for (auto& served : gateways) {
            EXPECT_TRUE(eventually([&] {
                return served->ready() && served->query<bool>([&](gateway& known) {
                    return known.addresses().front_addresses.size() == vms.size();
                });
            }));
        }
    }
    running_gateway& front() { return *by_vm.at(ranked.back()); }
    running_gateway& hub_of_front()
    {
        const policy::relay_choice choice(ranked.back(), 0);
        return *by_vm.at(*choice.choose({{{ranked[0], "a"}, {ranked[1], "b"}}, ranked.size(), 1}, {}));
    }
    static double metric(running_gateway& served, const std::string& series)
    {
        const auto page = served.query<std::string>([](gateway& known) { return known.metrics_page(); });
        const auto at = page.find("\n" + series + " ");
        return at == std::string::npos ? 0 : std::stod(page.substr(at + series.size() + 2));
    }
    int status_for_key(running_gateway& served, const std::string& id)
    {
        return status_of(served.address(), with_key(make_request("/safe/1", id), "key-a"));
    }
    /// Scripts every plain replica.
    void script(std::vector<standins::fake_replica*> replicas, std::vector<replica_fault> faults)
    {
        modify_store([&](standins::fake_store&) {
            for (auto* replica : replicas) {
                replica->script = faults;
            }
        });
    }
    std::size_t runs_of(std::vector<standins::fake_replica*> replicas, const std::string& id)
    {
        return inspect_store<std::size_t>([&](standins::fake_store&) {
            std::ptrdiff_t runs = 0;
            for (const auto* replica : replicas) {
                const auto& seen = replica->started_requests;
                runs += std::count_if(seen.begin(), seen.end(),
                                      [&](const auto& request) { return request.attempt_id == id; });
            }
            return static_cast<std::size_t>(runs);
        });
    }
    int status_of_peer_call(running_gateway& served, std::string body)
    {
        net::http_request request;
        request.method = "POST";
        request.target = forward_path;
        request.body = std::move(body);
        return status_of(served.query<std::string>([](gateway& known) { return known.relay_address(); }),
                         request);
    }
};

double connections_for_two_requests_of_each_front(std::size_t max_direct_pairs)
{
    relay_deployment all(max_direct_pairs, 7);
    double opened = 0;
    for (std::size_t index = 2; index < all.ranked.size(); ++index) {
        for (const auto* id : {"c1-", "c2-"}) {
            EXPECT_EQ(all.status_for_key(*all.by_vm.at(all.ranked[index]), id + std::to_string(index)), 200);
        }
    }
    for (auto& served : all.gateways) {
        opened += relay_deployment::metric(*served, "replica_connections_total");
    }
    return opened;
}

// Guards against a new connection to a replica for nearly every request of a large fleet.
TEST(request_relay, opens_one_connection_a_hub)
{
    EXPECT_EQ(connections_for_two_requests_of_each_front(1000), 5);
    EXPECT_LE(connections_for_two_requests_of_each_front(0), 2);
}

// Guards against an answer or an organisation that changes on the way, and a key that another gateway sees.
TEST(request_relay, passes_answer_organisation_and_trace_on)
{
    relay_deployment all;
    auto request = with_key(make_request("/safe/1", "u1"), "key-a");
    request.fields.add("traceparent", "00-0123456789abcdef0123456789abcdef-0123456789abcdef-01");
    all.script({&all.plain}, {replica_fault::unprocessable});
    const auto outcome = all.send(all.front().address(), request);
    const auto& response = std::get<net::http_response>(outcome);
    EXPECT_EQ(response.status, 422);
    EXPECT_EQ(response.fields.find("Server-Stamp"), "stamp-r1");
    EXPECT_EQ(response.body, "answer of r1 to hello");
    const auto seen = all.seen_by(all.plain, "u1");
    EXPECT_EQ(seen.organisation, "first");
    EXPECT_FALSE(seen.has_api_key);
    EXPECT_LE(std::stoi(seen.deadline_ms), 2000);
    EXPECT_NE(seen.traceparent.find("0123456789abcdef0123456789abcdef"), std::string::npos);
    EXPECT_EQ(relay_deployment::metric(all.front(), "requests_relayed_total"), 1);
    EXPECT_EQ(relay_deployment::metric(all.hub_of_front(), "requests_for_peers_total{outcome=\"served\"}"),
              1);
}

// Guards against a request that is lost with its hub.
TEST(request_relay, sends_the_request_itself_when_the_hub_is_killed)
{
    relay_deployment all;
    all.modify_store([&](standins::fake_store&) { all.plain.work_time = milliseconds(400); });
    auto answered = std::async(std::launch::async, [&] { return all.status_for_key(all.front(), "k1"); });
    EXPECT_TRUE(deployment::eventually([&] { return all.runs_of({&all.plain}, "k1") == 1; }));
    all.hub_of_front().kill();
    EXPECT_EQ(answered.get(), 200);
    EXPECT_EQ(all.runs_of({&all.plain}, "k1"), 2U) << "the route allows two attempts";
}

// Guards against requests that wait for a frozen hub until their deadline, each of them.
TEST(request_relay, does_not_wait_for_a_silent_hub)
{
    relay_deployment all;
    auto frozen = std::async(std::launch::async, [&] {
        return all.hub_of_front().query<int>([](gateway&) {
            std::this_thread::sleep_for(milliseconds(900));
            return 0;
        });
    });
    std::this_thread::sleep_for(milliseconds(50));
    const auto began = steady::now();
    EXPECT_EQ(all.status_for_key(all.front(), "s1"), 200);
    EXPECT_EQ(all.status_for_key(all.front(), "s2"), 200);
    EXPECT_LT(steady::now() - began, milliseconds(700));
    EXPECT_EQ(relay_deployment::metric(all.front(), "relay_fallbacks_total{cause=\"silent\"}"), 1);
    frozen.get();
}

// Guards against replicas that work for a caller who has left, and a hub that holds its slot for them.
TEST(request_relay, cancels_the_run_when_the_client_leaves)
{
    relay_deployment all;
    all.modify_store([&](standins::fake_store&) { all.plain.work_time = milliseconds(500); });
    all.send(all.front().address(), with_key(make_request("/safe/1", "l1"), "key-a"), milliseconds(200));
    EXPECT_TRUE(deployment::eventually([&] {
        return all.inspect_store<int>([&](standins::fake_store&) { return all.plain.cancelled; }) == 1;
    }));
    EXPECT_EQ(all.runs_of({&all.plain}, "l1"), 1U);
}

// Guards against more runs than the route allows, and a refusal of a request that may have run.
TEST(request_relay, keeps_to_the_attempts_and_refuses_truly)
{
    relay_deployment all;
    const std::vector<standins::fake_replica*> replicas{&all.plain, &all.add_replica("r2", "plain"),
                                                        &all.add_replica("r3", "plain")};
    std::this_thread::sleep_for(milliseconds(1500)); // until all gateways know them
    all.script(replicas, {replica_fault::reset, replica_fault::reset});
    EXPECT_EQ(all.status_for_key(all.front(), "t1"), 502);
    EXPECT_LE(all.runs_of(replicas, "t1"), 2U);
    all.script(replicas, {replica_fault::shed, replica_fault::shed});
    EXPECT_EQ(all.status_for_key(all.front(), "t2"), 503);
    EXPECT_EQ(all.runs_of(replicas, "t2"), 0U);
}

// Guards against a hub that runs what its own configuration does not allow, or that ends by malformed input.
TEST(request_relay, declines_what_the_hub_cannot_decide)
{
    relay_deployment all;
    auto& hub = all.hub_of_front();
    const auto message = [](const std::string& route, const std::string& service, const std::string& name) {
        return value(to_text(relayed_request{route, service, "h", "d1", name, {}, milliseconds(1000), 1}));
    };
    EXPECT_EQ(all.status_of_peer_call(hub, message("safe", "plain", "first")), 200);
    EXPECT_EQ(all.status_of_peer_call(hub, message("none", "plain", "first")), 409);
    EXPECT_EQ(all.status_of_peer_call(hub, message("once", "plain", "")), 409);
    EXPECT_EQ(all.status_of_peer_call(hub, message("safe", "lm", "first")), 409);
    EXPECT_EQ(all.status_of_peer_call(hub, message("safe", "plain", "unknown")), 409);
    for (const auto* malformed : {"", "{}", "[1]", R"({"route":1})"}) {
        EXPECT_EQ(all.status_of_peer_call(hub, malformed), 400);
    }
    hub.query<int>([](gateway& known) {
        known.drain(std::make_shared<policy::stop_plan>(steady::now(), milliseconds(8000)));
        return 0;
    });
    EXPECT_EQ(all.status_of_peer_call(hub, message("safe", "plain", "first")), 409);
}

} // namespace
} // namespace vanillagauge::gateway
