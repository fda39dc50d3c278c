#include "platform/object_decoding.hpp"

#include <gtest/gtest.h>

namespace vanillagauge::platform {
namespace {

using nlohmann::json;

gateway::stored_object entry(const std::string& name, const std::string& text)
{
    return {name, 5, json::parse(text), {}};
}

const char* const good_replica =
    R"({"Service":"s","Address":"10.0.0.1:80","Zone":"z","Slots":12,"State":"ready",
    "born":1700000000000,"Models":[{"Name":"m","Version":3,"Adapters":[]}],"Sequence":4})";

TEST(to_replica, decodes_an_entry)
{
    const auto read = to_replica(entry("i-1", good_replica));
    ASSERT_TRUE(ok(read));
    EXPECT_EQ(value(read).instance_id(), "i-1@1700000000000");
    EXPECT_EQ(value(read).weights.at("m"), 3U);
    EXPECT_EQ(value(read).slots, 12);
    EXPECT_FALSE(value(read).draining);
}

// Entries of other writers may lack fields, have other types or unknown states; none may become a target.
TEST(to_replica, refuses_malformed_entries)
{
    const char* const bad[] = {
        R"({})",
        R"([1, 2])",
        R"("text")",
        R"({"Service":"s","Address":"10.0.0.1:80","State":"dreaming"})",
        R"({"Service":7,"Address":"10.0.0.1:80","State":"ready"})",
        R"({"Service":"s","Address":"nowhere","State":"ready"})",
        R"({"Service":"s","Address":"10.0.0.1:80","State":"ready","Slots":0})",
        R"({"Service":"s","Address":"10.0.0.1:80","State":"ready","Slots":"many"})",
        R"({"Service":"s","Address":"10.0.0.1:80","State":"ready","Models":[{"Name":"m"}]})",
    };
    for (const auto* text : bad) {
        const auto read = to_replica(entry("i-1", text));
        ASSERT_FALSE(ok(read)) << text;
        EXPECT_EQ(failure(read).code, error_code::invalid_argument) << text;
    }
}

/// The good replica with another value of one field, as text.
gateway::stored_object replica_with(const std::string& field, const std::string& text)
{
    auto document = json::parse(good_replica);
    document[field] = json::parse(text);
    return {"i-1", 5, std::move(document), {}};
}

// Guards against a number that is out of its field's range: what it becomes differs from one machine to
// another.
TEST(to_replica, refuses_fields_out_of_range_by_name)
{
    const std::string long_text = "\"" + std::string(1U << 20U, 'x') + "\"";
    const std::vector<std::pair<std::string, std::vector<std::string>>> odd{
        {"Slots",
         {"0", "-4", "1e300", "-1e300", "1.5", "100001", "4294967297", "null", "\"4\"", "[]", "true"}},
        {"Address",
         {"\"\"", "\":80\"", "\"10.0.0.1\"", "\"10.0.0.1:\"", "\"10.0.0.1:0\"", "\"10.0.0.1:65536\"",
          "\"10.0.0.1:70000\"", "\"10.0.0.1:-1\"", "\"10.0.0.1:80x\"", "\"nowhere:80\"", "7", "null",
          long_text}},
        {"Service", {"7", "null", long_text}},
        {"Zone", {"7", "null", long_text}},
        {"State", {"7", "null", "\"dreaming\"", long_text}},
        {"born", {"-1", "1e300", "null", "\"now\"", "18446744073709551615"}},
        {"Models",
         {"7", "{}", "[7]", R"([{"Name":"m"}])", R"([{"Name":7,"Version":1}])",
          R"([{"Name":"m","Version":-1}])", R"([{"Name":"m","Version":1e300}])",
          R"([{"Name":"m","Version":null}])"}}};
    for (const auto& [field, texts] : odd) {
        for (const auto& text : texts) {
            const auto shown = field + " " + text.substr(0, 40);
            const auto read = to_replica(replica_with(field, text));
            ASSERT_FALSE(ok(read)) << shown;
            EXPECT_EQ(failure(read).code, error_code::invalid_argument) << shown;
            EXPECT_NE(failure(read).detail.find("i-1"), std::string::npos) << shown;
            EXPECT_LT(failure(read).detail.size(), 300U) << shown;
            const auto named = field == "Models" ? std::string() : field;
            EXPECT_NE(failure(read).detail.find(named), std::string::npos) << failure(read).detail;
        }
    }
}

TEST(to_replica, takes_fields_at_the_ends_of_their_range)
{
    EXPECT_EQ(value(to_replica(replica_with("Slots", "100000"))).slots, 100000);
    EXPECT_EQ(value(to_replica(replica_with("Slots", "12.0"))).slots, 12);
    EXPECT_EQ(value(to_replica(replica_with("born", "0"))).started_unix_ms, 0U);
    EXPECT_TRUE(ok(to_replica(replica_with("Address", "\"10.0.0.1:65535\""))));
    EXPECT_TRUE(ok(to_replica(replica_with("Models", "null"))));
    EXPECT_TRUE(ok(to_replica(replica_with("Unknown", "-1e300"))));
    EXPECT_TRUE(ok(to_replica({"a/b", 5, json::parse(good_replica), {}}))) << "a name with a slash";
}

// Guards against a name that ends the header field in which it is sent to the replica.
TEST(to_replica, refuses_names_that_are_no_field_value)
{
    for (const auto& name :
         {std::string(), std::string("i\r\nX: 1"), std::string("i\0", 2), std::string(2000, 'i')}) {
        EXPECT_FALSE(ok(to_replica({name, 5, json::parse(good_replica), {}}))) << name.substr(0, 40);
    }
}

// Guards against weights that are taken for unloaded, while they could not be read.
TEST(to_replica, refuses_weights_that_were_not_read)
{
    auto entry = replica_with("Models", "null");
    entry.unread = {"/Specification/Extra"};
    EXPECT_TRUE(ok(to_replica(entry)));
    entry.unread = {"/Specification/Extra", "/Specification/Models"};
    EXPECT_FALSE(ok(to_replica(entry)));
}

TEST(to_configuration, decodes_routes_services_and_limits)
{
    const auto read = to_configuration(entry("main", R"({"Version":7,
        "Routes":[{"Name":"r","Host":"h","PathPrefix":"/p/","Kind":"rollout","TimeoutMs":10000,"TargetLatencyMs":500,
                   "Priority":1,"Service":"s","Attempts":3,"MaxAgeS":40.0,"ResultDeadlineMs":7500,"Resumable":true},
                  {"Name":"q","Host":"h","PathPrefix":"/q/","Kind":"safe",
                   "TrafficSplit":[{"Service":"s","Weight":90},{"Service":"t","Weight":10}],"Attempts":2},
                  {"Name":"u","Host":"h","PathPrefix":"/u/","Kind":"unsafe","Service":"t"},
                  {"Name":"v","Host":"h","PathPrefix":"/v/","Kind":"unheard of","Service":"t"}],
        "Services":[{"Name":"s","HealthPath":"/health","Engine":{"Models":[{"Name":"m"}]}},{"Name":"t"}],
        "Limits":{"MaxHeaderBytes":1000,"MaxBodyBytes":2000,"HeaderTimeoutMs":3000,"IdleTimeoutMs":4000}})"));
    ASSERT_TRUE(ok(read));
    const auto& current = value(read);
    EXPECT_EQ(current.version, 7U);
    EXPECT_EQ(current.routes[0].kind, gateway::route_kind::batch);
    EXPECT_EQ(current.routes[0].max_age, milliseconds(40000));
    EXPECT_EQ(current.routes[1].kind, gateway::route_kind::idempotent);
    EXPECT_EQ(current.routes[1].services.size(), 2U);
    EXPECT_EQ(current.routes[2].kind, gateway::route_kind::once);
    EXPECT_EQ(current.routes[3].kind, gateway::route_kind::once) << "an unknown kind may do the least";
    EXPECT_EQ(current.services.at("s").models, std::vector<std::string>{"m"});
    EXPECT_EQ(current.limits.body_bytes, 2000U);
    EXPECT_EQ(current.limits.idle_time, milliseconds(4000));
}

TEST(to_configuration, decodes_organisations_and_public_routes)
{
    const auto read = to_configuration(entry("main", R"({"Version":7,
        "Routes":[{"Name":"q","Host":"h","PathPrefix":"/q/","Kind":"safe","Service":"s","Public":true},
                  {"Name":"r","Host":"h","PathPrefix":"/r/","Kind":"safe","Service":"s"}],
        "Services":[{"Name":"s"}],
        "Tenants":[{"Name":"o1","ApiKeys":["k1","k2"],"Priority":1},{"Name":"o2","ApiKeys":[]}]})"));
    ASSERT_TRUE(ok(read));
    EXPECT_TRUE(value(read).routes[0].is_public);
    EXPECT_FALSE(value(read).routes[1].is_public);
    const auto& known = *value(read).organisations;
    EXPECT_EQ(known.size(), 2U);
    EXPECT_EQ(known.find_by_key("k2")->name, "o1");
    EXPECT_EQ(known.find_by_key("k2")->priority, 1);
    EXPECT_FALSE(known.find_by_name("o2")->priority);
}

TEST(to_configuration, refuses_malformed_entries)
{
    const std::string start = R"({"Version":1,"Routes":[],"Services":[],"Tenants":)";
    EXPECT_TRUE(ok(to_configuration(entry("main", start + "[]}"))));
    for (const auto* bad : {R"([{"ApiKeys":["k"]}])", R"([{"Name":"o","ApiKeys":[7]}])",
                            R"([{"Name":"o","ApiKeys":[""]}])", R"([{"Name":"o","Priority":"high"}])",
                            R"([{"Name":"o","ApiKeys":["k"]},{"Name":"p","ApiKeys":["k"]}])"}) {
        EXPECT_FALSE(ok(to_configuration(entry("main", start + bad + "}")))) << bad;
    }
    EXPECT_FALSE(ok(to_configuration(entry("main", R"({"Routes":[]})"))));
    EXPECT_FALSE(ok(to_configuration(entry("main", R"({"Version":1,"Routes":[{"Name":1}],"Services":[]})"))));
    EXPECT_FALSE(ok(to_configuration(entry("main", "null"))));
}

const char* const whole_configuration = R"({"Version":7,
    "Routes":[{"Name":"r","Host":"h","PathPrefix":"/p/","Kind":"safe","TimeoutMs":10000,"TargetLatencyMs":500,
               "Priority":1,"Attempts":3,"MaxAgeS":40.0,"ResultDeadlineMs":7500,
               "TrafficSplit":[{"Service":"s","Weight":90}]}],
    "Services":[{"Name":"s","HealthPath":"/health","MaxConnections":8,"Engine":{"Stride":4,"Models":[{"Name":"m"}]}}],
    "Limits":{"MaxHeaderBytes":1000,"MaxBodyBytes":2000,"HeaderTimeoutMs":3000,"IdleTimeoutMs":4000},
    "Tenants":[{"Name":"o","ApiKeys":["k"],"Priority":1}]})";

// Guards against a number of the operator that overflows a time or a count.
TEST(to_configuration, refuses_numbers_out_of_range)
{
    ASSERT_TRUE(ok(to_configuration(entry("main", whole_configuration))));
    for (const auto* place :
         {"/Version", "/Routes/0/TimeoutMs", "/Routes/0/TargetLatencyMs", "/Routes/0/ResultDeadlineMs",
          "/Routes/0/MaxAgeS", "/Routes/0/Attempts", "/Routes/0/Priority", "/Routes/0/TrafficSplit/0/Weight",
          "/Services/0/MaxConnections", "/Services/0/Engine/Stride", "/Limits/MaxHeaderBytes",
          "/Limits/MaxBodyBytes", "/Limits/HeaderTimeoutMs", "/Limits/IdleTimeoutMs",
          "/Tenants/0/Priority"}) {
        for (const auto* odd : {"1e300", "-1e300", "1e18", "\"4\"", "[]"}) {
            auto document = json::parse(whole_configuration);
            document[json::json_pointer(place)] = json::parse(odd);
            const auto read = to_configuration({"main", 5, std::move(document), {}});
            ASSERT_FALSE(ok(read)) << place << ' ' << odd;
            EXPECT_EQ(failure(read).code, error_code::invalid_argument) << place << ' ' << odd;
        }
    }
}

// Guards against a configuration without keys, because its organisations could not be read.
TEST(to_configuration, refuses_what_was_not_read_whole)
{
    auto document = json::parse(whole_configuration);
    document["Tenants"] = nullptr;
    gateway::stored_object read{"main", 5, std::move(document), {}};
    EXPECT_TRUE(ok(to_configuration(read)));
    for (const auto* part : {"/Specification/Tenants", "/Specification/Tenants/0/Name", "/Specification",
                             "/Specification/Routes/3/Priority", ""}) {
        read.unread = {part};
        EXPECT_FALSE(ok(to_configuration(read))) << part;
    }
}

// Guards against a configuration that no gateway takes for a part of it that none reads.
TEST(to_configuration, is_not_refused_for_what_no_gateway_reads)
{
    gateway::stored_object read{"main", 5, json::parse(whole_configuration), {}};
    for (const auto* part : {"/Specification/Unknown", "/Specification/TenantsOfOthers", "/Status",
                             "/Status/Unknown", "/Metadata/Created"}) {
        read.unread = {part};
        EXPECT_TRUE(ok(to_configuration(read))) << part;
    }
}

// Guards against weights that count as none since the list of unread parts is cut after the first ones.
TEST(to_replica, refuses_models_that_may_be_among_further_unread_parts)
{
    auto entry = replica_with("Models", "null");
    for (const auto* part : {"", "/Specification", "/Specification/Models"}) {
        entry.unread = {part};
        EXPECT_FALSE(ok(to_replica(entry))) << part;
    }
    entry.unread = {"/Specification/ModelsOfOthers"};
    EXPECT_TRUE(ok(to_replica(entry)));
}

TEST(to_version, decodes_an_entry_and_refuses_malformed_ones)
{
    const auto read = to_version(entry("m", R"({"Model":"m","Version":4})"));
    ASSERT_TRUE(ok(read));
    EXPECT_EQ(value(read).version, 4U);
    EXPECT_FALSE(ok(to_version(entry("m", R"({"Model":"m"})"))));
    for (const auto* odd : {R"("four")", "-1", "1e300", "null", "1.5"}) {
        EXPECT_FALSE(ok(to_version(entry("m", std::string(R"({"Model":"m","Version":)") + odd + "}"))))
            << odd;
    }
    EXPECT_FALSE(ok(to_version(entry("m", R"({"Model":7,"Version":4})"))));
}

} // namespace
} // namespace vanillagauge::platform
