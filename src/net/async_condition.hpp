/// Wakes tasks of one loop that wait for something to change.
#ifndef VANILLAGAUGE_NET_ASYNC_CONDITION_HPP
#define VANILLAGAUGE_NET_ASYNC_CONDITION_HPP

#include "net/task.hpp"

#include <boost/asio/steady_timer.hpp>

#include <memory>

namespace vanillagauge::net {

/// All waiters wake at each `notify`; a waiter checks its condition again. Belongs to the loop's thread.
class async_condition {
public:
    explicit async_condition(loop& context);

    void notify();
    /// Returns after the next `notify` or at `deadline`, whichever is first.
    task<void> wait_until(time_point deadline);

private:
    loop& loop_;
    std::shared_ptr<boost::asio::steady_timer> timer_; ///< expires at the next notify
};

} // namespace vanillagauge::net

#endif
