// Which connections are given up, and for what.
#include "net/connection_account.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

namespace vanillagauge::net {
namespace {

constexpr std::size_t kilobyte = 1024;
constexpr std::size_t megabyte = kilobyte * kilobyte;

/// A connection that notes when it is given up.
class connection {
public:
    connection(const std::shared_ptr<connection_account>& account, const int& address)
        : room(account->bodies()), entry(account, &address,
                                         {[this] {
                                              given_up = true;
                                              room.release();
                                          },
                                          [this](const byte_budget& budget) {
                                              return room.bytes() > 0 && room.budget()->counts_in(budget);
                                          }})
    {
    }

    byte_reservation room;
    bool given_up = false;
    connection_entry entry;
};

class connection_accounts : public testing::Test {
protected:
    std::shared_ptr<connection_account> account_ = std::make_shared<connection_account>(
        account_limits{.connections = 3, .head_bytes = megabyte, .body_bytes = megabyte});
    time_point now_ = steady::now();
    int front_ = 0;
    int ready_ = 0;
    std::vector<account_event> events_;

    void SetUp() override
    {
        account_->set_observer([this](account_event event) { events_.push_back(event); });
    }
};

TEST_F(connection_accounts, give_up_the_one_that_has_waited_longest)
{
    connection served(account_, front_);
    connection second(account_, front_);
    connection first(account_, front_);
    first.entry.wait_for_client(now_);
    second.entry.wait_for_client(now_ + milliseconds{1});
    EXPECT_TRUE(account_->admit(&front_));
    EXPECT_TRUE(first.given_up);
    EXPECT_FALSE(second.given_up || served.given_up);
    EXPECT_EQ(account_->connections(), 2U);
    EXPECT_EQ(events_, std::vector{account_event::given_up_for_connections});
}

TEST_F(connection_accounts, give_up_the_one_whose_answer_is_complete_before_any_other)
{
    connection idle(account_, front_);
    connection answered(account_, front_);
    connection served(account_, front_);
    idle.entry.wait_for_client(now_);
    answered.entry.wait_for_close();
    EXPECT_TRUE(account_->admit(&front_));
    EXPECT_TRUE(answered.given_up);
    EXPECT_FALSE(idle.given_up);
}

TEST_F(connection_accounts, give_up_one_of_the_address_that_has_most)
{
    connection checked(account_, ready_);
    connection one(account_, front_);
    connection other(account_, front_);
    checked.entry.wait_for_client(now_);
    one.entry.wait_for_client(now_ + milliseconds{1});
    other.entry.wait_for_client(now_ + milliseconds{2});
    EXPECT_TRUE(account_->admit(&ready_));
    EXPECT_TRUE(one.given_up);
    EXPECT_FALSE(checked.given_up);
}

TEST_F(connection_accounts, refuse_at_a_full_address_where_each_request_is_served)
{
    constexpr std::size_t count = 9;
    std::vector<std::unique_ptr<connection>> served;
    served.reserve(count);
    while (served.size() < count) {
        served.push_back(std::make_unique<connection>(account_, front_));
    }
    EXPECT_FALSE(account_->admit(&front_));
    EXPECT_TRUE(account_->admit(&ready_));
    EXPECT_EQ(events_, std::vector{account_event::refused});
    EXPECT_TRUE(std::none_of(served.begin(), served.end(), [](const auto& one) { return one->given_up; }));
}

TEST_F(connection_accounts, give_up_stalled_ones_for_memory_until_there_is_room)
{
    connection first(account_, front_);
    connection second(account_, front_);
    connection idle(account_, front_);
    ASSERT_TRUE(first.room.grow_to(megabyte / 4));
    ASSERT_TRUE(second.room.grow_to(megabyte / 2));
    for (auto* one : {&idle, &first, &second}) {
        one->entry.wait_for_client(now_);
    }
    account_->make_room(*account_->bodies(), megabyte / 4, megabyte / 4, now_ + seconds{3});
    EXPECT_TRUE(first.given_up);
    EXPECT_FALSE(second.given_up || idle.given_up);
    EXPECT_EQ(events_, std::vector{account_event::given_up_for_memory});
}

TEST_F(connection_accounts, give_up_stalled_ones_for_memory_of_another_kind)
{
    account_->set_limits({.head_bytes = megabyte, .body_bytes = megabyte, .all_bytes = megabyte});
    connection upload(account_, front_);
    ASSERT_TRUE(upload.room.grow_to(megabyte / 2));
    upload.entry.wait_for_client(now_);
    account_->make_room(*account_->heads(), megabyte / 2, megabyte / 2, now_ + seconds{3});
    EXPECT_TRUE(upload.given_up);
}

TEST_F(connection_accounts, keep_stalled_ones_whose_memory_would_not_help)
{
    connection upload(account_, front_);
    ASSERT_TRUE(upload.room.grow_to(megabyte / 2));
    upload.entry.wait_for_client(now_);
    ASSERT_TRUE(account_->heads()->take(megabyte / 2, megabyte / 2));
    account_->make_room(*account_->heads(), megabyte / 2, megabyte / 2, now_ + seconds{3});
    EXPECT_FALSE(upload.given_up);
}

// Guards against uploads that end each other's connections where a refusal would do.
TEST_F(connection_accounts, keep_those_that_move_bytes_where_memory_is_short)
{
    connection upload(account_, front_);
    ASSERT_TRUE(upload.room.grow_to(megabyte / 2));
    upload.entry.wait_for_client(now_);
    account_->make_room(*account_->bodies(), megabyte / 2, megabyte / 2, now_ + seconds{1});
    EXPECT_FALSE(upload.given_up);
}

TEST_F(connection_accounts, count_no_connection_twice)
{
    {
        connection given_up(account_, front_);
        given_up.entry.wait_for_client(now_);
        EXPECT_TRUE(account_->free_descriptor());
        EXPECT_EQ(account_->connections(), 0U);
    }
    EXPECT_EQ(account_->connections(), 0U);
    EXPECT_FALSE(account_->free_descriptor());
}

TEST(connection_limits, leave_descriptors_for_replicas_and_files)
{
    const auto limits = limits_within({.descriptors = 4100, .memory_bytes = 110 * megabyte});
    EXPECT_EQ(limits.connections, 1560U);
    EXPECT_EQ(limits.body_bytes, 55 * megabyte);
    EXPECT_EQ(limits.all_bytes, (110 - 24) * megabyte * 3 / 4);
    EXPECT_EQ(limits_within({.descriptors = 300}).connections, 90U);
}

// Guards against a single request inside the limits that is refused since ended batches are in memory.
TEST(connection_limits, leave_room_for_the_largest_body_beside_some_batches)
{
    connection_account account(limits_within({.descriptors = 4100, .memory_bytes = 88 * megabyte}));
    account.whole()->add(4 * megabyte);
    EXPECT_TRUE(account.bodies()->take(32 * megabyte, 32 * megabyte));
}

TEST(connection_limits, are_none_where_the_resources_are_unknown)
{
    const auto limits = limits_within({});
    EXPECT_EQ(limits.connections, 0U);
    EXPECT_EQ(limits.head_bytes, 0U);
    EXPECT_EQ(limits.body_bytes, 0U);
    EXPECT_TRUE(connection_account(limits).admit(nullptr));
}

TEST(connection_limits, leave_some_connections_where_resources_are_scarce)
{
    EXPECT_EQ(limits_within({.descriptors = 1}).connections, 8U);
    EXPECT_EQ(limits_within({.descriptors = 4100, .memory_bytes = 1}).connections, 8U);
}

TEST(connection_limits, hold_many_connections_no_more_than_the_memory_allows)
{
    EXPECT_EQ(limits_within({.descriptors = 1'000'000, .memory_bytes = 64 * megabyte}).connections, 2048U);
}

} // namespace
} // namespace vanillagauge::net
