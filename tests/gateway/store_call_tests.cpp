#include "gateway/feed.hpp"
#include "gateway/internal/sync_messages.hpp"
#include "gateway/store_call.hpp"
#include "json/json.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace vanillagauge::gateway {
namespace {

using nlohmann::json;

stored_object make_object()
{
    return {"r1", 7, {{"n", 1}}, {{"s", true}}};
}

/// JSON as another program might send it.
json any_json()
{
    const auto shapes =
        std::vector<json>{json(),        json::object(),           json::array(),   7, -1, 0.5, "text", true,
                          {{"done", 1}}, json::array({1, json()}), {{"as_of", "x"}}};
    return *rc::gen::elementOf(shapes);
}

/// A copy with one of its values replaced or removed.
json mutated(const json& whole)
{
    auto flat = whole.flatten();
    const auto place = *rc::gen::inRange<std::size_t>(0, flat.size());
    const auto member = std::next(flat.begin(), static_cast<std::ptrdiff_t>(place)).key();
    auto text = whole;
    auto pointer = json::json_pointer(member);
    for (auto up = *rc::gen::inRange(0, 3); up > 0 && !pointer.parent_pointer().empty(); --up) {
        pointer = pointer.parent_pointer();
    }
    if (*rc::gen::arbitrary<bool>()) {
        text[pointer] = any_json();
    }
    else if (auto& parent = text[pointer.parent_pointer()]; parent.is_object()) {
        parent.erase(pointer.back());
    }
    return text;
}

store_call make_call(store_operation operation)
{
    return {operation, "servers", "r1", {{"n", 1}}, 7};
}

TEST(store_call, round_trips_through_json)
{
    const auto sent = make_call(store_operation::replace);
    const auto read = value(store_call_from_json(to_json(sent)));
    EXPECT_EQ(read.operation, sent.operation);
    EXPECT_EQ(read.kind, sent.kind);
    EXPECT_EQ(read.name, sent.name);
    EXPECT_EQ(read.value, sent.value);
    EXPECT_EQ(read.revision, sent.revision);
}

TEST(store_answer, round_trips_through_json)
{
    const auto object =
        value(store_answer_from_json(store_operation::read, to_json(result<store_answer>{make_object()})));
    EXPECT_EQ(std::get<stored_object>(object).value, make_object().value);
    const result<store_answer> listed{object_listing{{make_object()}, true, 9}};
    const auto listing = value(store_answer_from_json(store_operation::list, to_json(listed)));
    EXPECT_EQ(std::get<object_listing>(listing).as_of, 9U);
    EXPECT_TRUE(std::get<object_listing>(listing).more);
    EXPECT_EQ(std::get<object_listing>(listing).objects.front().name, "r1");
    const result<store_answer> refused{
        error{error_code::conflict, run_state::not_run, "taken", {}, {}, "{}"}};
    const auto read = store_answer_from_json(store_operation::create, to_json(refused));
    EXPECT_EQ(failure(read).code, error_code::conflict);
    EXPECT_EQ(failure(read).current, "{}");
}

// Guards against treating another program's response on a reused address as proof that nothing was done.
TEST(store_answer, malformed_is_in_doubt)
{
    for (const auto& text : {json(), json::object(), json::array(), json{{"done", json::object()}}}) {
        const auto read = store_answer_from_json(store_operation::create, text);
        ASSERT_FALSE(ok(read)) << text;
        EXPECT_EQ(failure(read).code, error_code::unavailable);
        EXPECT_EQ(failure(read).ran, run_state::in_doubt);
    }
}

// Guards against a whole update, or a whole page, that is lost for one object in it.
TEST(gateways_messages, one_malformed_object_costs_no_other)
{
    const std::vector<json> odd{
        {{"name", "odd"}},
        {{"name", "odd"}, {"revision", -1}, {"value", 1}, {"status", 1}},
        {{"name", "odd"}, {"revision", 1e300}, {"value", 1}, {"status", 1}},
        {{"name", "odd"}, {"revision", 3}, {"value", 1}, {"status", 1}, {"unread", 7}}};
    for (const auto& object : odd) {
        auto update = to_json(feed_update{9, {make_object()}, {make_object()}, {}});
        update["changed"].push_back(object);
        update["removed"].push_back(object);
        const auto read = feed_update_from_json(update);
        ASSERT_TRUE(ok(read)) << object;
        ASSERT_EQ(value(read).changed.size(), 2U) << object;
        EXPECT_EQ(value(read).changed[0].value, make_object().value) << object;
        EXPECT_EQ(value(read).changed[1].revision, 9U) << object;
        EXPECT_TRUE(value(read).changed[1].value.is_null()) << object;
        EXPECT_EQ(value(read).removed[1].name, "odd") << object;
        const result<store_answer> listed{object_listing{{make_object()}, true, 9}};
        auto page = to_json(listed);
        page["done"]["objects"].push_back(object);
        const auto relayed = store_answer_from_json(store_operation::list, page);
        ASSERT_TRUE(ok(relayed)) << object;
        const auto& objects = std::get<object_listing>(value(relayed)).objects;
        ASSERT_EQ(objects.size(), 2U) << object;
        EXPECT_EQ(objects[1].unread, std::vector<std::string>{""}) << object;
        EXPECT_FALSE(ok(store_answer_from_json(store_operation::read, json{{"done", object}}))) << object;
    }
}

// Guards against an update that leaves out a change of which the object is not known.
TEST(gateways_messages, update_with_a_nameless_object_is_refused)
{
    for (const json& odd : {json(7), json::object(), json{{"name", 7}, {"revision", 3}}}) {
        auto update = to_json(feed_update{9, {make_object()}, {}, {}});
        update["changed"].push_back(odd);
        EXPECT_FALSE(ok(feed_update_from_json(update))) << odd;
    }
}

// Guards against an unread object that a polling gateway takes for a whole one.
TEST(gateways_messages, unread_parts_reach_the_polling_gateway)
{
    auto partly = make_object();
    partly.unread = {"/Specification/x"};
    const feed_update sent{9, {partly, {"r2", 8, nullptr, nullptr, {"/Metadata/Revision"}}}, {}, {}};
    const auto read = feed_update_from_json(to_json(sent));
    ASSERT_TRUE(ok(read));
    EXPECT_EQ(value(read).changed[0].unread, sent.changed[0].unread);
    EXPECT_EQ(value(read).changed[1].unread, sent.changed[1].unread);
    EXPECT_TRUE(value(read).changed[1].value.is_null());
}

// Guards against a gateway of an earlier version that takes organisations which were not read for none.
TEST(gateways_messages, earlier_versions_read_nothing_of_an_unread_object)
{
    auto partly = make_object();
    partly.unread = {"/Specification/x"};
    const auto sent = to_json(partly);
    EXPECT_TRUE(sent.at("value").is_null());
    EXPECT_TRUE(sent.at("status").is_null());
    EXPECT_EQ(object_from_json(sent).value, partly.value);
}

// Guards against an object that is so deep that the message in which it is sent on can't be read.
TEST(gateways_messages, deepest_object_of_the_store_fits_into_a_message)
{
    json deep = 1;
    for (std::size_t level = 0; level < max_json_depth / 2; ++level) {
        deep = json::array({std::move(deep)});
    }
    auto object = make_object();
    object.value = deep;
    object.status = deep;
    internal::sync_response response;
    response.feeds["servers"] = {feed_update{9, {object}, {}, {}}, milliseconds{1}};
    EXPECT_FALSE(parse_json(internal::to_json(response).dump()).is_discarded());
    const result<store_answer> listed{object_listing{{object}, false, 9}};
    EXPECT_FALSE(parse_json(to_json(listed).dump()).is_discarded());
}

// Guards against an exception on malformed messages, which would end the gateway.
RC_GTEST_PROP(gateways_messages, malformed_never_throw, ())
{
    const auto operation = *rc::gen::element(store_operation::read, store_operation::list,
                                             store_operation::replace, store_operation::set_status);
    store_call_from_json(mutated(to_json(make_call(operation))));
    store_answer_from_json(operation, mutated(to_json(result<store_answer>{make_object()})));
    const result<store_answer> listed{object_listing{{make_object()}, true, 9}};
    store_answer_from_json(operation, mutated(to_json(listed)));
    const result<store_answer> refused{error{error_code::conflict, run_state::not_run, "taken"}};
    store_answer_from_json(operation, mutated(to_json(refused)));
    feed_update_from_json(
        mutated(to_json(feed_update{9, {make_object()}, {make_object()}, std::set<std::string>{"r1"}})));
    feed_update_from_json(any_json());
}

} // namespace
} // namespace vanillagauge::gateway
