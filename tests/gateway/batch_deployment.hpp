/// A deployment with two engines, and requests for batches.
#ifndef VANILLAGAUGE_TESTS_GATEWAY_BATCH_DEPLOYMENT_HPP
#define VANILLAGAUGE_TESTS_GATEWAY_BATCH_DEPLOYMENT_HPP

#include "deployment.hpp"

#include <gtest/gtest.h>

#include <set>

namespace vanillagauge::gateway {

constexpr int item_count = 6;

inline net::http_request make_batch(const std::string& id, std::uint64_t min_version = 1, bool scored = false)
{
    nlohmann::json items = nlohmann::json::array();
    for (int index = 0; index < item_count; ++index) {
        nlohmann::json item;
        item["Id"] = id + "-i" + std::to_string(index);
        item["Path"] = "/lots/run";
        item["Headers"] = {{"Token-Counts", "5,9"}, {"Model", "m"}};
        item["Body"] = "aGk=";
        item["Group"] = "g" + std::to_string(index / 2);
        if (scored) {
            const auto number = std::to_string(index);
            item["ScoringFunction"] = {{"Id", id + "-s" + number},
                                       {"Host", "h"},
                                       {"Path", "/score/" + number},
                                       {"Body", "dGV4dA=="}};
        }
        items.push_back(std::move(item));
    }
    nlohmann::json body;
    body["Step"] = 0;
    body["Model"] = "m";
    body["MinVersion"] = min_version;
    body["DesiredCount"] = 3;
    body["Items"] = std::move(items);
    net::http_request request;
    request.method = "POST";
    request.target = "/lots/" + id;
    request.fields.add("Host", "h");
    request.fields.add("Attempt-Id", id);
    request.body = body.dump();
    return request;
}

inline net::http_request make_read(const std::string& id, std::size_t after)
{
    net::http_request request;
    request.target = "/api/lots/" + id + "?After=" + std::to_string(after);
    request.fields.add("Host", "h");
    request.fields.add("Wait-Ms", "300");
    return request;
}

/// The first item of a batch, so that one connection to the only engine carries all of its runs.
inline net::http_request make_one_item(const std::string& id, bool scored = false)
{
    auto request = make_batch(id, 1, scored);
    auto body = nlohmann::json::parse(request.body);
    body["DesiredCount"] = 1;
    body["Items"] = nlohmann::json::array({body["Items"][0]});
    request.body = body.dump();
    return request;
}

inline net::http_request make_end(const std::string& id)
{
    net::http_request request;
    request.method = "DELETE";
    request.target = "/api/lots/" + id;
    request.fields.add("Host", "h");
    return request;
}

/// The first result of a batch, once it is published; an empty object after ten seconds.
inline nlohmann::json only_result(deployment& all, const running_gateway& served, const std::string& batch)
{
    nlohmann::json found;
    EXPECT_TRUE(deployment::eventually([&] {
        const auto page = all.body_of(served.address(), make_read(batch, 0));
        found = page.is_object() ? page.value("Results", nlohmann::json::array()) : nlohmann::json::array();
        return !found.empty();
    }));
    return found.empty() ? nlohmann::json::object() : found[0];
}

struct batch_deployment : deployment {
    standins::fake_replica& one = add_replica("e1", "lm");
    standins::fake_replica& two = add_replica("e2", "lm");

    running_gateway& ready_gateway(const std::string& vm)
    {
        auto& served = add_gateway(vm);
        EXPECT_TRUE(eventually([&] { return served.ready(); }));
        return served;
    }

    /// Polls the addresses in turn until all results are published; returns them by position.
    std::vector<nlohmann::json> read_all(const std::vector<std::string>& addresses, const std::string& id)
    {
        std::vector<nlohmann::json> results;
        std::size_t turn = 0;
        eventually([&] {
            const auto page = body_of(addresses[turn++ % addresses.size()], make_read(id, results.size()));
            if (page.is_object() && page.contains("Results")) {
                for (const auto& entry : page["Results"]) {
                    results.push_back(entry);
                }
            }
            return results.size() >= item_count;
        });
        return results;
    }
};

inline void expect_complete(const std::vector<nlohmann::json>& results)
{
    std::set<std::string> ids;
    for (const auto& entry : results) {
        const auto id = entry.at("Id").get<std::string>();
        EXPECT_TRUE(ids.insert(id).second) << id << " is published at two positions";
        EXPECT_EQ(entry.at("State"), "completed");
        EXPECT_EQ(entry.at("Text"), id + "-1\n" + id + "-2\n" + id + "-3\n" + id + "-4");
    }
    EXPECT_EQ(ids.size(), item_count);
}

} // namespace vanillagauge::gateway

#endif
