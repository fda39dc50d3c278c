// Entries that another writer left among those of the platform.
#include "deployment.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <optional>

namespace vanillagauge::gateway {
namespace {

using nlohmann::json;

constexpr const char* kind = "servers";

std::string nested(std::size_t levels)
{
    return std::string(levels, '[') + std::string(levels, ']');
}

/// The registration with another text in place of one field's.
std::string with_field(json registration, const std::string& field, const std::string& text)
{
    registration[field] = "<here>";
    auto whole = registration.dump();
    const std::string mark = "\"<here>\"";
    return whole.replace(whole.find(mark), mark.size(), text);
}

struct gateways_with_odd_entries : deployment {
    standins::fake_replica& sound = add_replica("r1", "plain");
    standins::fake_replica& other = add_replica("r2", "plain");
    int sent = 0;
    json first_configuration = inspect_store<json>(
        [](standins::fake_store& store) { return store.find("config", "main"); })["Specification"];

    /// Four, of which one polls the others.
    void add_gateways()
    {
        for (const auto* vm : {"a", "b", "c", "d"}) {
            add_gateway(vm);
        }
        EXPECT_TRUE(eventually([this] {
            return std::all_of(gateways.begin(), gateways.end(),
                               [](const auto& one) { return one->ready(); });
        }));
    }

    /// Puts the text in the specification's place.
    void put_text(const std::string& name, const std::string& specification)
    {
        put_object(kind, name, R"(,"Specification":)" + specification + "}");
    }
    /// The rest of the object follows its metadata.
    void put_object(const std::string& of, const std::string& name, const std::string& rest)
    {
        modify_store([&](standins::fake_store& store) {
            const auto revision = std::to_string(store.revision() + 1);
            store.put_text(of, name,
                           R"({"Metadata":{"Name":")" + name + R"(","Revision":)" + revision + "}" + rest);
        });
    }

    /// Statuses of requests to each gateway in turn, each once.
    bool all_serve(const std::string& path = "/safe/1")
    {
        return std::all_of(gateways.begin(), gateways.end(), [&](const auto& one) {
            return status_of(one->address(), make_request(path, "p" + std::to_string(++sent))) == 200;
        });
    }
    /// Whether none of some requests to each gateway reached the replica.
    bool unused(standins::fake_replica& replica)
    {
        const auto runs = [&] {
            return inspect_store<std::size_t>(
                [&](standins::fake_store&) { return replica.started_requests.size(); });
        };
        const auto before = runs();
        for (int turn = 0; turn < 5; ++turn) {
            EXPECT_TRUE(all_serve());
        }
        return runs() == before;
    }
    bool all_count(const std::string& metric, double least, const std::string& of = kind)
    {
        return std::all_of(gateways.begin(), gateways.end(),
                           [&](const auto& one) { return gauge_of(*one, metric, of).value_or(0) >= least; });
    }
    bool none_counts(const std::string& metric)
    {
        return std::none_of(gateways.begin(), gateways.end(),
                            [&](const auto& one) { return gauge_of(*one, metric, kind).value_or(0) > 0; });
    }
};

/// An array that takes too much memory for its text only without its white space.
std::string spaced_array(std::size_t bytes)
{
    std::string text = "[[]";
    while (text.size() < bytes) {
        text += ", []";
    }
    return text + "]";
}

std::vector<std::string> unusable_specifications(const json& registration)
{
    return {with_field(registration, "Address", nested(200000)),
            with_field(registration, "Address", R"("127.0.0.1:70000")"),
            with_field(registration, "Address", R"("127.0.0.1:0")"),
            with_field(registration, "Slots", "1e999"),
            with_field(registration, "Slots", "1e300"),
            with_field(registration, "Slots", "-1"),
            with_field(registration, "Service", "null"),
            nested(200000),
            "7"};
}

std::vector<std::string> odd_unknown_fields(const json& registration)
{
    return {with_field(registration, "Extra", nested(200000)), with_field(registration, "Extra", "1e999"),
            with_field(registration, "Extra", R"("\ud800")")};
}

// Guards against one odd entry that ends every gateway at its start, or keeps them all from serving.
TEST(odd_entries, gateways_start_and_serve_beside_one)
{
    std::vector<std::string> odd;
    {
        deployment parts;
        const auto registration = parts.add_replica("odd", "plain").entry("plain", "", "ready");
        odd = unusable_specifications(registration);
    }
    gateways_with_odd_entries all;
    int number = 0;
    for (const auto& specification : odd) {
        all.put_text("odd-" + std::to_string(++number), specification);
    }
    all.add_gateways();
    EXPECT_TRUE(all.all_serve());
    EXPECT_TRUE(deployment::eventually(
        [&] { return all.all_count("store_entries_unreadable_total", static_cast<double>(odd.size())); }));
}

// Guards against an entry that one gateway reads and its peers refuse, with all else that it sends them.
TEST(odd_entries, dense_one_that_is_sent_on_reaches_a_gateway_without_the_store)
{
    gateways_with_odd_entries all;
    all.add_gateways();
    auto& cut_off = all.add_gateway_at_second("e");
    EXPECT_TRUE(deployment::eventually([&] { return replicas_known(cut_off) == 2; }));
    all.modify_store([](standins::fake_store& store) { store.faults.second_silent = true; });
    constexpr std::size_t dense_bytes = 300'000;
    all.put_text("dense",
                 with_field(all.sound.entry("plain", "", "ready"), "Extra", spaced_array(dense_bytes)));
    EXPECT_TRUE(deployment::eventually([&] { return replicas_known(cut_off) == 3; }));
    all.add_replica("r3", "plain");
    EXPECT_TRUE(deployment::eventually([&] { return replicas_known(cut_off) == 4; }));
    EXPECT_TRUE(all.none_counts("store_entries_unreadable_total"));
}

// Guards against a sound replica that isn't used, since its entry has an odd field that no one reads.
TEST(odd_entries, unknown_odd_field_costs_nothing)
{
    gateways_with_odd_entries all;
    all.add_gateways();
    all.modify_store([](standins::fake_store& store) { store.remove(kind, "r1"); });
    EXPECT_TRUE(deployment::eventually([&] { return all.unused(all.sound); }));
    double seen = 0;
    for (const auto& specification : odd_unknown_fields(all.other.entry("plain", "", "ready"))) {
        all.put_text("r2", specification);
        ++seen;
        EXPECT_TRUE(deployment::eventually(
            [&] { return all.all_count("store_entries_partly_unreadable_total", seen); }));
        EXPECT_TRUE(all.all_serve());
        EXPECT_FALSE(all.unused(all.other));
    }
    EXPECT_TRUE(all.none_counts("store_entries_unreadable_total"));
}

// Guards against a replica that stays in use after its entry turned odd, or out of use once it is sound
// again.
TEST(odd_entries, replica_is_unused_only_while_its_entry_is_odd)
{
    gateways_with_odd_entries all;
    all.add_gateways();
    const auto registration = all.other.entry("plain", "", "ready");
    for (const auto& specification : unusable_specifications(registration)) {
        all.put_text("r2", specification);
        EXPECT_TRUE(deployment::eventually([&] { return all.unused(all.other); }))
            << specification.substr(0, 60);
        all.put_replica(all.other, "plain", "ready");
        EXPECT_TRUE(deployment::eventually([&] { return !all.unused(all.other); }))
            << specification.substr(0, 60);
    }
    all.put_text("r2", nested(200000));
    EXPECT_TRUE(deployment::eventually([&] { return all.unused(all.other); }));
    all.modify_store([](standins::fake_store& store) { store.remove(kind, "r2"); });
    EXPECT_TRUE(deployment::eventually([&] {
        return std::all_of(all.gateways.begin(), all.gateways.end(),
                           [](const auto& one) { return replicas_known(*one) == 1; });
    }));
    all.put_replica(all.other, "plain", "ready");
    EXPECT_TRUE(deployment::eventually([&] { return !all.unused(all.other); }));
}

// Guards against a cut request, since the entry of its replica turned odd meanwhile.
TEST(odd_entries, request_under_way_ends_at_its_replica)
{
    gateways_with_odd_entries all;
    all.add_gateways();
    all.modify_store([](standins::fake_store& store) { store.remove(kind, "r1"); });
    EXPECT_TRUE(deployment::eventually([&] { return all.unused(all.sound); }));
    all.modify_store([&](standins::fake_store&) { all.other.work_time = milliseconds(500); });
    auto answer = std::async(std::launch::async, [&] {
        return all.status_of(all.gateways.front()->address(), make_request("/once/1", "held"));
    });
    EXPECT_TRUE(deployment::eventually([&] {
        return all.inspect_store<bool>([&](standins::fake_store&) {
            const auto& seen = all.other.started_requests;
            return std::any_of(seen.begin(), seen.end(),
                               [](const auto& request) { return request.attempt_id == "held"; });
        });
    }));
    all.put_text("r2", nested(200000));
    EXPECT_EQ(answer.get(), 200);
}

// Guards against a listing for each change of an entry whose name can't be read.
TEST(odd_entries, nameless_changes_cost_few_calls)
{
    gateways_with_odd_entries all;
    all.add_gateways();
    const auto lists = [&] {
        return all.inspect_store<std::uint64_t>(
            [](standins::fake_store& store) { return store.list_calls(kind); });
    };
    const auto before = lists();
    const auto begun = steady::now();
    for (int turn = 0; turn < 40; ++turn) {
        all.modify_store(
            [](standins::fake_store& store) { store.put_text(kind, "odd", R"({"Metadata":7})"); });
        std::this_thread::sleep_for(milliseconds(100));
    }
    const auto took = std::chrono::duration<double>(steady::now() - begun).count();
    constexpr double watchers = 3;
    EXPECT_GT(lists(), before);
    EXPECT_LE(static_cast<double>(lists() - before), watchers * (took / 2 + 1));
    EXPECT_TRUE(all.all_serve());
    all.put_replica(all.sound, "plain", "draining");
    EXPECT_TRUE(deployment::eventually([&] { return all.unused(all.sound); }));
}

// Guards against a configuration that is taken in part, or lost, because of one odd part.
TEST(odd_entries, configuration_in_force_stays)
{
    gateways_with_odd_entries all;
    all.add_gateways();
    auto next = all.first_configuration;
    next["Version"] = 2;
    next["Routes"].clear();
    double seen = 0;
    for (const auto& [field, text] : std::vector<std::pair<std::string, std::string>>{
             {"Tenants", nested(200000)}, {"Services", "1e999"}, {"Limits", R"({"IdleTimeoutMs":1e300})"}}) {
        all.put_object("config", "main", R"(,"Specification":)" + with_field(next, field, text) + "}");
        ++seen;
        EXPECT_TRUE(deployment::eventually(
            [&] { return all.all_count("store_entries_unreadable_total", seen, "config"); }));
        EXPECT_TRUE(all.all_serve()) << field;
    }
    all.put_configuration(3);
    EXPECT_TRUE(deployment::eventually([&] { return all.all_serve("/added/1"); }));
}

// Guards against a configuration that no gateway follows, since it has an odd part that none reads.
TEST(odd_entries, configuration_with_an_odd_unknown_part_is_followed)
{
    gateways_with_odd_entries all;
    all.add_gateways();
    std::uint64_t version = 1;
    for (const auto& text : {std::string("1e999"), nested(40), nested(200000)}) {
        const auto path = "/added" + std::to_string(++version) + "/";
        auto next = all.first_configuration;
        next["Version"] = version;
        next["Routes"].push_back(next["Routes"][0]);
        next["Routes"].back()["Name"] = path;
        next["Routes"].back()["PathPrefix"] = path;
        all.put_object("config", "main", R"(,"Specification":)" + with_field(next, "Unknown", text) + "}");
        EXPECT_TRUE(deployment::eventually([&] { return all.all_serve(path); })) << text.substr(0, 20);
    }
}

} // namespace
} // namespace vanillagauge::gateway
