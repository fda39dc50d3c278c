/// A deployment whose configuration has organisations with keys.
#ifndef VANILLAGAUGE_TESTS_GATEWAY_ORGANISATION_DEPLOYMENT_HPP
#define VANILLAGAUGE_TESTS_GATEWAY_ORGANISATION_DEPLOYMENT_HPP

#include "batch_deployment.hpp"

#include <map>

namespace vanillagauge::gateway {

inline net::http_request with_key(net::http_request request, const std::string& key)
{
    request.fields.set("Api-Key", key);
    return request;
}

struct organisations_deployment : batch_deployment {
    standins::fake_replica& plain = add_replica("r1", "plain");
    std::uint64_t version = 10;

    organisations_deployment() { put_organisations({{"first", {"key-a", "key-b"}}, {"second", {"key-c"}}}); }

    void put_organisations(const std::map<std::string, std::vector<std::string>>& known)
    {
        auto whole = inspect_store<nlohmann::json>(
            [](standins::fake_store& store) { return store.find("config", "main").at("Specification"); });
        whole["Version"] = ++version;
        whole["Tenants"] = nlohmann::json::array();
        for (const auto& [name, keys] : known) {
            whole["Tenants"].push_back({{"Name", name}, {"ApiKeys", keys}});
        }
        whole["Routes"][0]["Public"] = false;
        whole["Routes"][1]["Public"] = true; // /once/
        modify_store([&](standins::fake_store& store) { store.put("config", "main", whole); });
    }
    running_gateway& serving_gateway(const std::string& vm)
    {
        auto& served = ready_gateway(vm);
        EXPECT_TRUE(eventually([&] {
            return status_of(served.address(), with_key(make_request("/safe/w", "w"), "key-a")) == 200;
        }));
        return served;
    }
    standins::received_request seen_by(standins::fake_replica& replica, const std::string& id)
    {
        return inspect_store<standins::received_request>([&](standins::fake_store&) {
            for (const auto& seen : replica.started_requests) {
                if (seen.attempt_id == id) {
                    return seen;
                }
            }
            return standins::received_request{};
        });
    }
};

} // namespace vanillagauge::gateway

#endif
