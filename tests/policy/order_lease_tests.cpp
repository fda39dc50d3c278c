#include "policy/order_lease.hpp"

#include <gtest/gtest.h>

namespace vanillagauge::policy {
namespace {

constexpr time_point start{seconds{100}};

order_lease_options options(const std::string& vm)
{
    return {.self = vm, .ttl = milliseconds{3000}, .max_order_time = milliseconds{3000}};
}

/// The lease object: each write that names the standing version succeeds.
struct lease_object {
    std::string holder;
    std::string previous_holder;
    std::uint64_t version = 0;
    milliseconds takeover_wait{0};

    bool replace(std::uint64_t expected, const std::string& by, milliseconds waits = {})
    {
        if (expected != version) {
            return false;
        }
        previous_holder = by.empty() ? holder : "";
        holder = by;
        takeover_wait = waits;
        version += 10;
        return true;
    }
};

void step(order_lease& lease, lease_object& store, const std::string& vm, time_point now)
{
    switch (lease.next(now)) {
    case lease_action::read:
        lease.on_read({store.holder, store.previous_holder, store.version, store.takeover_wait}, now);
        break;
    case lease_action::write:
        if (store.replace(lease.expected_version(), vm, lease.takeover_wait(now))) {
            lease.on_written(store.version, now);
        }
        else {
            lease.on_conflict();
        }
        break;
    case lease_action::none:
        break;
    }
}

/// Reads that there is none, and writes it.
void take_lease(order_lease& lease, lease_object& store, const std::string& vm)
{
    lease.on_candidate(true);
    step(lease, store, vm, start);
    step(lease, store, vm, start);
}

TEST(order_lease, lets_the_first_holder_order_at_once)
{
    order_lease lease(options("a"));
    lease_object store;
    take_lease(lease, store, "a");
    EXPECT_EQ(lease.fencing_token(start), store.version);
}

// Two machines order the same engine in turn, the second with a lower number. Both believe that the fleet's
// view names them while one is cut off. The view must not decide: the lease of a holder that renews is never
// taken.
TEST(order_lease, is_not_taken_from_a_holder_that_renews)
{
    order_lease holder(options("a"));
    order_lease other(options("b"));
    lease_object store;
    take_lease(holder, store, "a");
    other.on_candidate(true);
    for (auto now = start; now < start + seconds{30}; now += milliseconds{100}) {
        step(holder, store, "a", now);
        step(other, store, "b", now);
        EXPECT_TRUE(holder.fencing_token(now));
        EXPECT_FALSE(other.fencing_token(now));
    }
}

// A holder is suspended at its renewal: its own clock stands still, the others' do not. It wakes when another
// holds the lease, and must not order by what it remembers.
TEST(order_lease, keeps_two_holders_orders_apart)
{
    order_lease holder(options("a"));
    order_lease other(options("b"));
    lease_object store;
    take_lease(holder, store, "a");
    other.on_candidate(true);
    auto now = start;
    std::optional<time_point> last_of_holder;
    std::optional<time_point> first_of_other;
    for (; now < start + seconds{15}; now += milliseconds{50}) {
        if (holder.fencing_token(now)) {
            last_of_holder = now;
        }
        step(other, store, "b", now);
        if (other.fencing_token(now) && !first_of_other) {
            first_of_other = now;
        }
    }
    ASSERT_TRUE(last_of_holder && first_of_other);
    EXPECT_GE(*first_of_other - *last_of_holder, milliseconds{3000});
    holder.on_suspended();
    EXPECT_FALSE(holder.fencing_token(start));
    step(holder, store, "a", now);
    EXPECT_FALSE(holder.fencing_token(now));
}

// The store does a renewal whose answer is lost. The next renewal names the version before and is refused;
// reading shows the machine's own name, so nobody else has held the lease between.
TEST(order_lease, goes_on_after_a_renewal_whose_answer_was_lost)
{
    order_lease lease(options("a"));
    lease_object store;
    take_lease(lease, store, "a");
    const auto renewal = start + milliseconds{1100};
    ASSERT_EQ(lease.next(renewal), lease_action::write);
    ASSERT_TRUE(store.replace(lease.expected_version(), "a"));
    lease.on_failed(renewal);
    auto now = renewal + milliseconds{600};
    step(lease, store, "a", now);
    step(lease, store, "a", now);
    EXPECT_EQ(lease.fencing_token(now), store.version);
}

TEST(order_lease, stops_before_its_end_when_the_store_does_not_answer)
{
    order_lease lease(options("a"));
    lease_object store;
    take_lease(lease, store, "a");
    EXPECT_TRUE(lease.fencing_token(start + milliseconds{2500}));
    EXPECT_FALSE(lease.fencing_token(start + milliseconds{2700}));
}

// Every VM is restarted in turn, each some seconds after the other. A lease that must lapse each time leaves
// the engines without new weights for six seconds a holder.
TEST(order_lease, is_taken_at_once_from_a_holder_that_gave_it_up)
{
    order_lease holder(options("a"));
    order_lease other(options("b"));
    lease_object store;
    take_lease(holder, store, "a");
    const auto released = holder.release(start);
    ASSERT_TRUE(released);
    ASSERT_TRUE(store.replace(*released, ""));
    EXPECT_FALSE(holder.fencing_token(start));
    other.on_candidate(true);
    std::optional<time_point> first_order;
    for (auto now = start; now < start + seconds{5} && !first_order; now += milliseconds{50}) {
        step(other, store, "b", now);
        if (other.fencing_token(now)) {
            first_order = now;
        }
    }
    ASSERT_TRUE(first_order);
    EXPECT_GE(*first_order - start, milliseconds{3000}) << "orders of two holders lie apart";
    EXPECT_LE(*first_order - start, milliseconds{3200});
}

// All machines lose power. The holder's next process finds itself named while another machine ranks first
// now; without it the lease would have to lapse and nobody would order for six seconds.
TEST(order_lease, is_retaken_at_once_by_a_machine_that_finds_itself_named)
{
    order_lease before(options("a"));
    lease_object store;
    take_lease(before, store, "a");
    const auto back = start + milliseconds{1500};
    order_lease after(options("a"));
    step(after, store, "a", back);
    EXPECT_TRUE(after.names_self());
    after.on_candidate(after.names_self());
    step(after, store, "a", back);
    EXPECT_EQ(after.fencing_token(back), store.version);
}

// The holder had taken the lease over from another machine and was waiting for that one's last orders to
// arrive when it lost its power. Its next process must not order earlier than it would have itself.
TEST(order_lease, retaken_keeps_the_wait_for_the_holder_before)
{
    order_lease lost(options("x"));
    order_lease before(options("a"));
    lease_object store;
    take_lease(lost, store, "x");
    before.on_candidate(true);
    auto now = start;
    while (!before.names_self()) {
        now += milliseconds{50};
        step(before, store, "a", now);
    }
    EXPECT_FALSE(before.fencing_token(now));
    order_lease after(options("a"));
    std::optional<time_point> first_order;
    for (; now < start + seconds{15} && !first_order; now += milliseconds{50}) {
        step(after, store, "a", now);
        after.on_candidate(after.names_self());
        if (after.fencing_token(now)) {
            first_order = now;
        }
    }
    ASSERT_TRUE(first_order);
    constexpr milliseconds last_of_lost{2600};
    EXPECT_GE(*first_order - (start + last_of_lost), milliseconds{3000});
}

// All machines are restarted in turn. The holder comes back 1.6 s after it gave the lease up and goes on at
// once; had another taken it in the meantime, nobody would order for three seconds, and again when that one's
// turn comes.
TEST(order_lease, given_up_is_left_to_its_holder_for_the_time_of_a_restart)
{
    order_lease before(options("a"));
    order_lease other(options("b"));
    lease_object store;
    take_lease(before, store, "a");
    const auto released = before.release(start);
    ASSERT_TRUE(released);
    ASSERT_TRUE(store.replace(*released, ""));
    other.on_candidate(true);
    auto now = start;
    for (; now < start + milliseconds{1600}; now += milliseconds{50}) {
        step(other, store, "b", now);
    }
    EXPECT_EQ(store.holder, "");
    order_lease after(options("a"));
    step(after, store, "a", now);
    after.on_candidate(after.names_self());
    step(after, store, "a", now);
    EXPECT_TRUE(after.fencing_token(now));
}

// The holder dies just after a renewal. The successor read the lease a moment before and would read it again
// a whole length later; the fleet's word that the holder is gone makes it look at once.
TEST(order_lease, read_in_doubt_is_waited_out_from_that_moment)
{
    order_lease holder(options("a"));
    order_lease other(options("b"));
    lease_object store;
    take_lease(holder, store, "a");
    other.on_candidate(true);
    step(other, store, "b", start);
    const auto renewal = start + milliseconds{1000};
    step(holder, store, "a", renewal);
    const auto doubt = start + milliseconds{1200};
    other.invalidate();
    std::optional<time_point> taken;
    for (auto now = doubt; now < start + seconds{15} && !taken; now += milliseconds{50}) {
        step(other, store, "b", now);
        if (store.holder == "b") {
            taken = now;
        }
    }
    ASSERT_TRUE(taken);
    EXPECT_GE(*taken, renewal + milliseconds{3000}) << "the lease has not ended";
    EXPECT_LE(*taken, doubt + milliseconds{3300});
}

// Another machine took the lease while the process was down: that one's lease is waited out like anybody's.
TEST(order_lease, named_for_another_is_not_retaken)
{
    order_lease other(options("b"));
    lease_object store;
    take_lease(other, store, "b");
    order_lease back(options("a"));
    step(back, store, "a", start);
    EXPECT_FALSE(back.names_self());
    back.on_candidate(true);
    step(back, store, "a", start + milliseconds{3000});
    EXPECT_EQ(store.holder, "b");
}

TEST(order_lease, gives_a_stopping_process_no_order)
{
    order_lease lease(options("a"));
    lease_object store;
    take_lease(lease, store, "a");
    lease.on_candidate(false);
    EXPECT_FALSE(lease.fencing_token(start));
    EXPECT_EQ(lease.next(start + seconds{2}), lease_action::none);
}

} // namespace
} // namespace vanillagauge::policy
