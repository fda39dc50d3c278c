#include "policy/engine_ledger.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <limits>

namespace vanillagauge::policy {
namespace {

constexpr time_point start{seconds{100}};
constexpr int slots = 8;

engine_report report_of(const std::string& vm, std::uint64_t sequence, int streams)
{
    return {vm, 1, sequence, {{"e", streams, 0}}, {}};
}

rc::Gen<engine_report> any_report()
{
    return rc::gen::map(
        rc::gen::tuple(rc::gen::inRange(0, 3), rc::gen::inRange<std::uint64_t>(0, 3),
                       rc::gen::inRange<std::uint64_t>(0, 6), rc::gen::inRange(-1, 20)),
        [](const auto& drawn) {
            const auto& [vm, incarnation, sequence, streams] = drawn;
            return engine_report{
                "v" + std::to_string(vm), incarnation, sequence, {{"e", streams, double(streams) * 2}}, {}};
        });
}

RC_GTEST_PROP(engine_ledger, free_places_are_within_the_slots, ())
{
    engine_ledger ledger("self");
    ledger.set_expected_reporters({"v0", "v3", "self"}, start);
    auto now = start;
    for (const auto& report : *rc::gen::container<std::vector<engine_report>>(any_report())) {
        ledger.apply(report, now);
        ledger.observe_load("e", {*rc::gen::inRange(-3, 30), *rc::gen::inRange(-3, 30), slots},
                            *rc::gen::inRange(0, 12), now);
        const auto before = ledger.free_places("e", slots, 0, now);
        RC_ASSERT(before >= 0 && before <= slots);
        RC_ASSERT(ledger.free_places("e", slots, *rc::gen::inRange(0, 20), now) >= 0);
        now += milliseconds{*rc::gen::inRange(0, 1000)};
    }
}

// Guards against messages that overtake each other, arrive twice or are malformed: the newest sound report of
// each gateway counts.
RC_GTEST_PROP(engine_ledger, newest_report_counts_in_any_order_of_arrival, ())
{
    // A process sends one report for each sequence.
    const auto reports =
        *rc::gen::uniqueBy<std::vector<engine_report>>(any_report(), [](const engine_report& report) {
            return std::tuple(report.vm, report.incarnation, report.sequence);
        });
    std::map<std::string, engine_report> newest;
    for (const auto& report : reports) {
        auto& known = newest[report.vm];
        const bool newer = known.vm.empty() || std::pair(report.incarnation, report.sequence) >
                                                   std::pair(known.incarnation, known.sequence);
        if (newer && report.uses.front().streams >= 0) {
            known = report;
        }
    }
    engine_ledger ledger("self");
    for (int round = 0; round < 2; ++round) {
        auto waiting = reports;
        while (!waiting.empty()) {
            const auto at = *rc::gen::inRange<std::size_t>(0, waiting.size());
            ledger.apply(waiting[at], start);
            waiting.erase(waiting.begin() + static_cast<std::ptrdiff_t>(at));
        }
    }
    int streams = 0;
    for (const auto& [vm, report] : newest) {
        streams += report.uses.empty() ? 0 : report.uses.front().streams;
    }
    RC_ASSERT(ledger.streams_elsewhere("e", start) == streams);
    RC_ASSERT(ledger.events_elsewhere("e", start) == streams * 2.0);
}

// Guards against owners that are cut off from each other and together exceed an engine's slots.
RC_GTEST_PROP(engine_ledger, shares_of_silent_reporters_fit_the_slots, ())
{
    const auto owners = *rc::gen::inRange(1, 12);
    const auto places = *rc::gen::inRange(1, 64);
    std::set<std::string> vms;
    for (int index = 0; index < owners; ++index) {
        vms.insert("v" + std::to_string(index));
    }
    int used = 0;
    for (const auto& vm : vms) {
        engine_ledger ledger(vm);
        ledger.set_expected_reporters(vms, start);
        const auto share = ledger.free_places("e", places, 0, start + report_validity);
        RC_ASSERT(share >= 1);
        used += share;
    }
    RC_ASSERT(used <= std::max(places, owners));
}

// Guards against a stale or malformed report that replaces a sound one, or that is not dropped as such.
TEST(engine_ledger, refuses_stale_and_malformed_reports)
{
    engine_ledger ledger("self");
    EXPECT_TRUE(ok(ledger.apply(report_of("a", 5, 3), start)));
    auto restarted = report_of("a", 1, 2);
    restarted.incarnation = 0;
    for (const auto& stale :
         {report_of("a", 5, 1), report_of("a", 4, 1), restarted, report_of("self", 9, 1)}) {
        const auto applied = ledger.apply(stale, start + seconds{1});
        ASSERT_FALSE(ok(applied));
        EXPECT_EQ(failure(applied).code, error_code::conflict);
    }
    const auto with_load = [](milliseconds left) {
        return engine_report{"a", 1, 9, {}, {{"e", "m", 1, left}}};
    };
    const auto with_events = [](double left) { return engine_report{"a", 1, 9, {{"e", 1, left}}, {}}; };
    for (const auto& malformed :
         {report_of("a", 9, -1), report_of("", 9, 1), report_of("a", 9, std::numeric_limits<int>::max()),
          with_load(milliseconds{-1}), with_load(milliseconds{2001}), with_events(-1),
          with_events(std::numeric_limits<double>::quiet_NaN())}) {
        const auto applied = ledger.apply(malformed, start);
        ASSERT_FALSE(ok(applied));
        EXPECT_EQ(failure(applied).code, error_code::invalid_argument);
    }
    EXPECT_EQ(ledger.streams_elsewhere("e", start), 3);
    EXPECT_EQ(ledger.streams_elsewhere("e", start + report_validity), 0) << "a stale report extends nothing";
    restarted.incarnation = 2;
    EXPECT_TRUE(ok(ledger.apply(restarted, start))) << "a restarted gateway counts from 1 again";
}

// Guards against places kept free for streams that have ended, after a gateway or its last message is lost.
TEST(engine_ledger, reports_expire)
{
    engine_ledger ledger("self");
    ledger.apply(report_of("a", 1, 6), start);
    EXPECT_EQ(ledger.free_places("e", slots, 1, start + report_validity - milliseconds{1}), 1);
    EXPECT_EQ(ledger.free_places("e", slots, 1, start + report_validity), 7);
    EXPECT_EQ(ledger.free_places("e@2", slots, 0, start), slots) << "another instance inherits nothing";
}

TEST(engine_ledger, load_reports_only_reduce_room)
{
    engine_ledger ledger("self");
    ledger.apply(report_of("a", 1, 4), start);
    ledger.observe_load("e", {2, 0, slots}, 2, start);
    EXPECT_EQ(ledger.free_places("e", slots, 2, start), 2) << "it may miss requests on their way";
    ledger.observe_load("e", {8, 1, slots}, 2, start);
    EXPECT_EQ(ledger.streams_elsewhere("e", start), 7);
    EXPECT_EQ(ledger.free_places("e", slots, 2, start), 0);
    EXPECT_EQ(ledger.free_places("e", slots, 2, start + observation_validity), 2);
}

// Guards against an engine kept unused after the holder of the lease was lost during a load.
TEST(engine_ledger, loads_end_by_their_longest_time)
{
    engine_ledger ledger("self");
    ledger.apply({"a", 1, 1, {}, {{"e", "m", 2, milliseconds{900}}, {"f", "m", 2, milliseconds{0}}}}, start);
    EXPECT_TRUE(ledger.is_loading("e", "m", start + milliseconds{899}));
    EXPECT_FALSE(ledger.is_loading("e", "m", start + milliseconds{900}));
    EXPECT_FALSE(ledger.is_loading("e", "other", start));
    EXPECT_FALSE(ledger.is_loading("f", "m", start));
    EXPECT_EQ(ledger.engines_loading_elsewhere(start + milliseconds{899}), 1U);
    EXPECT_EQ(ledger.engines_loading_elsewhere(start + milliseconds{900}), 0U);
}

// Guards against a step that gets half of the slots while the first reports are on their way.
TEST(engine_ledger, shares_slots_with_silent_reporters_only)
{
    engine_ledger ledger("self");
    ledger.set_expected_reporters({"a", "b"}, start);
    EXPECT_EQ(ledger.free_places("e", slots, 0, start + milliseconds{1499}), slots);
    const auto later = start + report_validity;
    ledger.apply(report_of("a", 1, 1), later);
    EXPECT_EQ(ledger.silent_reporters(later), std::set<std::string>{"b"});
    EXPECT_EQ(ledger.free_places("e", slots, 0, later), 4);
    EXPECT_EQ(ledger.free_places("e", slots, 5, later), 0);
    ledger.set_expected_reporters({"a"}, later);
    EXPECT_EQ(ledger.free_places("e", slots, 0, later), 7);
}

} // namespace
} // namespace vanillagauge::policy
