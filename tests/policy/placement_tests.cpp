#include "policy/policy.hpp"

#include <gtest/gtest.h>

namespace vanillagauge::policy {
namespace {

const time_point start{std::chrono::hours{1}};

work from_near()
{
    work item;
    item.near_domain = "near";
    item.deadline = start + seconds{1};
    return item;
}

/// Places requests until none has room; counts by target.
std::map<std::string, int> fill(target_pool& pool, const work& item)
{
    std::map<std::string, int> taken;
    while (const auto id = pool.acquire(item, start)) {
        ++taken[*id];
    }
    return taken;
}

TEST(placement, prefers_the_near_domain_and_spills_when_it_is_full)
{
    target_pool pool(1, {});
    pool.update({{"n", "near"}, {"f", "far"}}, start);
    const int limit = pool.limit("n", start);
    for (int place = 0; place < limit; ++place) {
        EXPECT_EQ(pool.acquire(from_near(), start), "n");
    }
    EXPECT_EQ(pool.acquire(from_near(), start), "f");
    fill(pool, from_near());
    EXPECT_EQ(pool.acquire(from_near(), start), std::nullopt);
}

TEST(placement, gives_a_slow_target_less_work)
{
    target_pool pool(1, {});
    pool.update({{"slow", "near"}, {"b", "near"}, {"c", "near"}}, start);
    for (int place = 0; place < 200; ++place) {
        for (const char* id : {"slow", "b", "c"}) {
            pool.release(id, {ending::answered, id[0] == 's' ? milliseconds{40} : milliseconds{10}}, start);
        }
    }
    std::map<std::string, int> taken;
    for (int place = 0; place < 900; ++place) {
        const auto id = pool.acquire(from_near(), start);
        ASSERT_TRUE(id);
        ++taken[*id];
        pool.release(*id, {}, start);
    }
    EXPECT_LT(taken["slow"], 200);
}

TEST(placement, leaves_out_what_is_leaving_or_tried_already)
{
    target_pool pool(1, {});
    pool.update({{"leaving", "near", true}, {"tried", "near"}, {"free", "far"}}, start);
    auto item = from_near();
    item.tried = {"tried"};
    const auto taken = fill(pool, item);
    ASSERT_EQ(taken.size(), 1U);
    EXPECT_EQ(taken.begin()->first, "free");
}

TEST(placement, keeps_a_prefix_at_its_target_up_to_the_load_bound)
{
    target_pool pool(1, {});
    std::vector<pool_target> targets;
    targets.reserve(20);
    for (int place = 0; place < 20; ++place) {
        targets.push_back({"t" + std::to_string(place), "near"});
    }
    pool.update(targets, start);
    auto item = from_near();
    item.prefix = 77;
    std::set<std::string> alone;
    for (int place = 0; place < 20; ++place) {
        const auto id = pool.acquire(item, start);
        alone.insert(*id);
        pool.release(*id, {}, start);
    }
    EXPECT_EQ(alone.size(), 1U);
    std::map<std::string, int> hot;
    for (int place = 0; place < 100; ++place) {
        ++hot[*pool.acquire(item, start)];
    }
    EXPECT_LE(hot[*alone.begin()], 9); // a quarter above the mean of five, and two for rounding and choices
    EXPECT_GT(hot.size(), 10U);
}

TEST(prefix_ring, moves_few_prefixes_when_a_target_leaves)
{
    std::vector<std::pair<std::string, std::size_t>> targets;
    for (std::size_t place = 0; place < 20; ++place) {
        targets.emplace_back("t" + std::to_string(place), place);
    }
    const prefix_ring before(targets);
    targets.pop_back();
    const prefix_ring after(targets);
    int moved = 0;
    for (std::uint64_t prefix = 0; prefix < 1000; ++prefix) {
        const auto was = before.at(hash64(std::to_string(prefix)), 0);
        const auto is = after.at(hash64(std::to_string(prefix)), 0);
        moved += was != is && was != 19U ? 1 : 0;
    }
    EXPECT_EQ(moved, 0);
}

} // namespace
} // namespace vanillagauge::policy
