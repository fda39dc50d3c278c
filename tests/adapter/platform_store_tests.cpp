#include "raw_store.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

namespace vanillagauge::platform {
namespace {

using gateway::stored_object;

std::string repeated(std::size_t count, const std::string& text)
{
    std::string all;
    for (std::size_t done = 0; done < count; ++done) {
        all += text;
    }
    return all;
}

std::string nested_arrays(std::size_t levels)
{
    return repeated(levels, "[") + repeated(levels, "]");
}

std::string nested_objects(std::size_t levels)
{
    return repeated(levels, R"({"a":)") + "1" + repeated(levels, "}");
}

std::string sound(const std::string& name, std::uint64_t revision = 7)
{
    return R"({"Metadata":{"Name":")" + name + R"(","Revision":)" + std::to_string(revision) +
           R"(},"Specification":{"n":1},"Status":{"State":"running"}})";
}

/// An object whose specification has this text as the member "odd".
std::string with_member(const std::string& name, const std::string& member)
{
    return R"({"Metadata":{"Name":")" + name + R"(","Revision":8},"Specification":{"n":1,"odd":)" + member +
           "}}";
}

std::string page(const std::vector<std::string>& items, bool more = false)
{
    std::string joined;
    for (const auto& item : items) {
        joined += (joined.empty() ? "" : ",") + item;
    }
    return R"({"Items":[)" + joined + R"(],"HasMore":)" + (more ? "true" : "false") + R"(,"AsOf":20})";
}

std::string event(const std::string& object, const std::string& removed = "false")
{
    return R"({"Object":)" + object + R"(,"Removed":)" + removed + "}";
}

std::string changes(const std::vector<std::string>& events)
{
    std::string joined;
    for (const auto& one : events) {
        joined += (joined.empty() ? "" : ",") + one;
    }
    return R"({"events":[)" + joined + R"(],"AsOf":20})";
}

std::vector<std::string> names_of(const std::vector<stored_object>& objects)
{
    std::vector<std::string> names;
    names.reserve(objects.size());
    for (const auto& object : objects) {
        names.push_back(object.name);
    }
    return names;
}

/// Texts of a member that no object of the system has.
std::vector<std::string> odd_members()
{
    return {nested_arrays(200000), nested_objects(200000), nested_arrays(100), "1e999", "-1e999",
            repeated(400, "9"),    R"("\ud800")"};
}

// Guards against one odd member of one object that ends the reader, or hides the whole list.
TEST(platform_store, one_odd_member_costs_no_object_of_the_list)
{
    raw_store store;
    for (const auto& member : odd_members()) {
        store.body = page({sound("a"), with_member("b", member), sound("c")});
        const auto listed = store.list();
        ASSERT_TRUE(ok(listed)) << member.substr(0, 20) << ": " << describe(failure(listed));
        EXPECT_EQ(names_of(value(listed).objects), (std::vector<std::string>{"a", "b", "c"}));
        EXPECT_EQ(value(listed).objects[1].value["n"], 1) << member.substr(0, 20);
        EXPECT_EQ(value(listed).as_of, 20U);
    }
}

TEST(platform_store, one_odd_member_costs_no_event_of_the_watch)
{
    raw_store store;
    for (const auto& member : odd_members()) {
        store.body = changes({event(sound("a")), event(with_member("b", member)), event(sound("c"), "true")});
        const auto seen = store.watch(5);
        ASSERT_TRUE(ok(seen)) << member.substr(0, 20) << ": " << describe(failure(seen));
        ASSERT_EQ(value(seen).events.size(), 3U);
        EXPECT_EQ(value(seen).events[1].object.value["n"], 1);
        EXPECT_TRUE(value(seen).events[2].removed);
        EXPECT_EQ(value(seen).as_of, 20U);
        EXPECT_EQ(value(seen).since, 5U);
    }
}

// Guards against the same member in a single object, and in the object that a refused write returns.
TEST(platform_store, one_odd_member_costs_no_read_and_no_conflict)
{
    raw_store store;
    for (const auto& member : odd_members()) {
        store.status = 200;
        store.body = with_member("r1", member);
        const auto read = store.read();
        ASSERT_TRUE(ok(read)) << member.substr(0, 20) << ": " << describe(failure(read));
        EXPECT_EQ(value(read).value["n"], 1);
        EXPECT_TRUE(ok(store.create()));
        store.status = 409;
        const auto created = store.create();
        ASSERT_FALSE(ok(created));
        EXPECT_EQ(failure(created).code, error_code::conflict);
        EXPECT_EQ(nlohmann::json::parse(failure(created).current)["n"], 1);
    }
}

// Guards against a page, or a watch, that is dropped for one object without the fields that every object has.
TEST(platform_store, one_malformed_object_costs_no_other)
{
    raw_store store;
    const std::vector<std::string> unnamed{"7",
                                           "null",
                                           "[]",
                                           "{}",
                                           R"({"Metadata":7})",
                                           R"({"Metadata":{"Name":7,"Revision":7}})",
                                           R"({"Metadata":{"Name":"\ud800","Revision":7}})",
                                           R"({"Metadata":{"Revision":7},"Specification":{"n":1}})"};
    for (const auto& odd : unnamed) {
        store.body = page({sound("a"), odd, sound("c")});
        const auto listed = store.list();
        ASSERT_TRUE(ok(listed)) << odd << ": " << describe(failure(listed));
        EXPECT_EQ(names_of(value(listed).objects), (std::vector<std::string>{"a", "c"})) << odd;
        EXPECT_EQ(value(listed).left_out, 1U) << odd;
        store.body = changes({event(sound("a")), event(odd), event(sound("c"))});
        const auto seen = store.watch(5);
        ASSERT_TRUE(ok(seen)) << odd << ": " << describe(failure(seen));
        EXPECT_EQ(value(seen).events.size(), 2U) << odd;
        EXPECT_EQ(value(seen).left_out, 1U) << odd;
    }
}

TEST(platform_store, object_without_a_revision_is_unread)
{
    raw_store store;
    for (const auto* revision : {"null", "-1", "1e300", "7.5", R"("7")", "1e999", "[]"}) {
        const auto odd = std::string(R"({"Metadata":{"Name":"b","Revision":)") + revision +
                         R"(},"Specification":{"n":1}})";
        store.body = page({sound("a"), odd, sound("c")});
        const auto listed = store.list();
        ASSERT_TRUE(ok(listed)) << revision << ": " << describe(failure(listed));
        ASSERT_EQ(names_of(value(listed).objects), (std::vector<std::string>{"a", "b", "c"})) << revision;
        EXPECT_EQ(value(listed).objects[1].revision, 20U) << revision;
        EXPECT_TRUE(value(listed).objects[1].value.is_null()) << revision;
        EXPECT_EQ(value(listed).objects[1].unread, std::vector<std::string>{"/Metadata/Revision"});
        store.body = changes({event(sound("a", 11)), event(odd), event(sound("b", 13))});
        const auto seen = store.watch(5);
        ASSERT_TRUE(ok(seen)) << revision << ": " << describe(failure(seen));
        EXPECT_EQ(value(seen).events[1].object.revision, 12U) << revision;
        EXPECT_EQ(value(seen).events[2].object.revision, 13U) << revision;
        store.body = changes({event(sound("a", 11)), event(odd), event(sound("c", 13))});
        EXPECT_EQ(value(store.watch(5)).events[1].object.revision, 20U)
            << "told to those who know revision 12";
        store.body = odd;
        const auto read = store.read();
        ASSERT_FALSE(ok(read)) << revision;
        EXPECT_EQ(failure(read).code, error_code::unavailable) << revision;
    }
}

// Guards against a gateway that serves nobody for minutes while it reads one answer.
TEST(platform_store, many_changes_without_a_revision_are_read_in_time)
{
    constexpr std::size_t count = 20'000;
    std::vector<std::string> events;
    for (std::size_t number = 0; number < count; ++number) {
        events.push_back(event(R"({"Metadata":{"Name":"r)" + std::to_string(number) + R"("}})", "true"));
    }
    raw_store store;
    store.body = changes(events);
    const auto began = steady::now();
    const auto seen = store.watch(5);
    ASSERT_TRUE(ok(seen)) << describe(failure(seen));
    EXPECT_EQ(value(seen).events.size(), count);
    EXPECT_LT(steady::now() - began, seconds{4});
}

// Guards against a sound change without content, such as a removal, that is taken for one without a revision.
TEST(platform_store, change_without_content_keeps_its_revision)
{
    raw_store store;
    const std::string removed = R"({"Metadata":{"Name":"b","Revision":12}})";
    store.body = changes({event(removed, "true"), event(sound("b", 13))});
    const auto seen = store.watch(5);
    ASSERT_TRUE(ok(seen));
    EXPECT_EQ(value(seen).events[0].object.revision, 12U);
    EXPECT_EQ(value(seen).events[1].object.revision, 13U);
}

// Guards against one odd revision that hides all later changes of the object.
TEST(platform_store, no_revision_is_later_than_its_answer)
{
    raw_store store;
    store.body = page({sound("a", 18446744073709551615U)});
    EXPECT_EQ(value(store.list()).objects[0].revision, 20U);
    store.body = changes({event(sound("a", 18446744073709551615U))});
    EXPECT_EQ(value(store.watch(5)).events[0].object.revision, 20U);
}

TEST(platform_store, change_of_unknown_kind_is_left_out)
{
    raw_store store;
    for (const auto* removed : {"null", "1", R"("true")", "1e999"}) {
        store.body = changes({event(sound("a"), removed), event(sound("b"))});
        const auto seen = store.watch(5);
        ASSERT_TRUE(ok(seen)) << removed << ": " << describe(failure(seen));
        EXPECT_EQ(value(seen).events.size(), 1U) << removed;
        EXPECT_EQ(value(seen).left_out, 1U) << removed;
    }
}

// Guards against a listing that never ends, since no store takes a request line with its last name.
TEST(platform_store, next_page_does_not_follow_a_name_that_is_too_long)
{
    raw_store store;
    store.body =
        page({sound("a"), sound("b" + std::string(1023, 'b')), sound(std::string(999'000, 'c'))}, true);
    const auto listed = store.list();
    ASSERT_TRUE(ok(listed));
    EXPECT_EQ(value(listed).objects.back().name.size(), 1024U);
    EXPECT_EQ(value(listed).left_out, 1U);
    store.body = changes({event(sound("a")), event(sound(std::string(1025, 'c')))});
    EXPECT_EQ(value(store.watch(5)).left_out, 1U);
}

// Guards against a listing that goes on after the same name for ever, or that drops the rest of its pages.
TEST(platform_store, next_page_follows_the_last_name_that_can_be_read)
{
    raw_store store;
    store.body = page({sound("a"), sound("b"), "{}"}, true);
    const auto first = store.list();
    ASSERT_TRUE(ok(first));
    EXPECT_TRUE(value(first).more);
    EXPECT_EQ(value(first).objects.back().name, "b");
    store.body = page({sound("a"), with_member("b", nested_arrays(200000))}, true);
    EXPECT_EQ(value(store.list()).objects.back().name, "b");
    store.body = page({"{}", "{}"}, true);
    const auto stuck = store.list("b");
    ASSERT_FALSE(ok(stuck));
    EXPECT_EQ(failure(stuck).code, error_code::unavailable);
}

// Guards against a part that is taken for absent, while it only could not be read.
TEST(platform_store, tells_which_parts_were_not_read)
{
    raw_store store;
    store.body = page({sound("a"), with_member("b", "1e999"), sound("c")});
    const auto listed = store.list();
    EXPECT_TRUE(value(listed).objects[0].unread.empty());
    EXPECT_EQ(value(listed).objects[1].unread, std::vector<std::string>{"/Specification/odd"});
    EXPECT_TRUE(value(listed).objects[2].unread.empty());
    std::string many = "[0";
    for (int count = 0; count < 1000; ++count) {
        many += ",1e999";
    }
    store.body = page({sound("a"), with_member("b", many + "]"), sound("c")});
    const auto uncertain = store.list();
    EXPECT_TRUE(value(uncertain).objects[0].unread.empty());
    EXPECT_EQ(value(uncertain).objects[1].unread.front(), "/Specification/odd/1");
    EXPECT_EQ(value(uncertain).objects[2].unread, std::vector<std::string>{""});
}

// The page's own fields stay strict: without them, nothing is known of the rest.
TEST(platform_store, refuses_answers_that_are_no_page)
{
    raw_store store;
    for (const auto* odd : {"", "[]", "{}", R"({"Items":[],"HasMore":false})", R"({"Items":{},"AsOf":1})",
                            R"({"Items":[],"AsOf":-1})", R"({"Items":[],"AsOf":1e300})",
                            R"({"Items":[],"AsOf":1,"HasMore":7})", R"({"Items":[],"AsOf":1)"}) {
        store.body = odd;
        const auto listed = store.list();
        ASSERT_FALSE(ok(listed)) << odd;
        EXPECT_EQ(failure(listed).code, error_code::unavailable) << odd;
    }
    for (const auto* odd : {"", "{}", R"({"events":7,"AsOf":1})", R"({"events":[]})"}) {
        store.body = odd;
        EXPECT_FALSE(ok(store.watch(5))) << odd;
    }
}

} // namespace
} // namespace vanillagauge::platform
