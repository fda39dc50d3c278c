/// A condition variable for the coroutines of one loop.
#ifndef VANILLAGAUGE_NET_ASYNC_CONDITION_HPP
#define VANILLAGAUGE_NET_ASYNC_CONDITION_HPP

#include "net/task.hpp"

#include <boost/asio/steady_timer.hpp>

#include <memory>

namespace vanillagauge::net {

/// `notify` resumes all waiters, which must check their condition again. Use on the loop's thread only.
class async_condition {
public:
    explicit async_condition(loop& context);

    void notify();
    /// Returns at the next `notify` or at `deadline`, or earlier (spuriously).
    task<void> wait_until(time_point deadline);

private:
    loop& loop_;
    std::shared_ptr<boost::asio::steady_timer> timer_; ///< expires at the next notify
};

} // namespace vanillagauge::net

#endif
