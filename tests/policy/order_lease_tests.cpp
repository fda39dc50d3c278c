#include "policy/order_lease.hpp"

#include <gtest/gtest.h>

namespace vanillagauge::policy {
namespace {

constexpr time_point start{seconds{100}};

order_lease_options options(const std::string& vm)
{
    return {.self = vm, .ttl = milliseconds{3000}, .max_order_time = milliseconds{3000}};
}

/// The stored lease: a write succeeds if it names the current version.
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

/// Finds no lease and creates it.
void take_lease(order_lease& lease, lease_object& store, const std::string& vm)
{
    lease.on_candidate(true);
    step(lease, store, vm, start);
    step(lease, store, vm, start);
}

TEST(order_lease, first_holder_may_order_at_once)
{
    order_lease lease(options("a"));
    lease_object store;
    take_lease(lease, store, "a");
    EXPECT_EQ(lease.fencing_token(start), store.version);
}

// Guards against a takeover from a holder that renews, when a network partition makes two VMs consider
// themselves selected.
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

// Guards against orders of a holder that was suspended, with its clock stopped, while another VM took over.
TEST(order_lease, separates_orders_of_two_holders)
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
    holder.observe_clocks(start, duration{0});
    EXPECT_TRUE(holder.observe_clocks(start, seconds{4}));
    EXPECT_FALSE(holder.fencing_token(start));
    step(holder, store, "a", now);
    EXPECT_FALSE(holder.fencing_token(now));
}

// Guards against orders of a resumed holder after another part of it has noticed the suspension first.
TEST(order_lease, stays_without_token_after_a_suspension_whoever_asks_first)
{
    order_lease holder(options("a"));
    lease_object store;
    take_lease(holder, store, "a");
    EXPECT_FALSE(holder.observe_clocks(start, seconds{50}));
    EXPECT_TRUE(holder.fencing_token(start));
    const auto resumed = start + milliseconds{10};
    EXPECT_TRUE(holder.observe_clocks(resumed, seconds{54}));
    EXPECT_FALSE(holder.observe_clocks(resumed, seconds{54}));
    EXPECT_FALSE(holder.fencing_token(resumed));
}

// A renewal takes effect but its response is lost, so the next one conflicts. The read shows the VM's own
// name: nobody else has held the lease in between.
TEST(order_lease, continues_after_a_lost_renewal_response)
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

TEST(order_lease, stops_before_expiry_without_a_renewal)
{
    order_lease lease(options("a"));
    lease_object store;
    take_lease(lease, store, "a");
    EXPECT_TRUE(lease.fencing_token(start + milliseconds{2500}));
    EXPECT_FALSE(lease.fencing_token(start + milliseconds{2700}));
}

// Guards against a rolling restart in which each holder's lease must expire before the next one may order.
TEST(order_lease, takeover_after_release_does_not_wait_for_expiry)
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
    EXPECT_GE(*first_order - start, milliseconds{3000}) << "orders of two holders must be separated";
    EXPECT_LE(*first_order - start, milliseconds{3200});
}

// Guards against waiting for the expiry of the VM's own lease after a power loss of all VMs.
TEST(order_lease, restarted_holder_continues_at_once)
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

// The holder lost power during its wait for the previous holder's last orders: its next process must not
// order before that wait is over.
TEST(order_lease, restarted_holder_keeps_the_takeover_wait)
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

// Guards against a takeover from a holder that restarts within 1.6 s in a rolling restart: each takeover
// costs three seconds without orders.
TEST(order_lease, released_lease_is_reserved_for_a_restart)
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

// Guards against a successor that notices a holder's failure only at its next regular read, up to one lease
// later.
TEST(order_lease, invalidation_starts_the_expiry_wait)
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
    EXPECT_GE(*taken, renewal + milliseconds{3000}) << "the lease has not expired";
    EXPECT_LE(*taken, doubt + milliseconds{3300});
}

// Another VM took the lease while the process was down: its lease must expire first.
TEST(order_lease, restart_does_not_retake_a_lost_lease)
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

TEST(order_lease, stopping_process_may_not_order)
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
