#include "net/async_condition.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <list>

namespace vanillagauge::net {

using boost::asio::redirect_error;
using boost::asio::steady_timer;
using boost::asio::use_awaitable;

async_condition::async_condition(loop& context) : loop_(context) {}

void async_condition::notify()
{
    if (timer_) {
        timer_->cancel();
        timer_.reset();
    }
}

// All waiters share one timer, set to the earliest deadline; waiters with a later one resume spuriously and
// wait again.
task<void> async_condition::wait_until(time_point deadline)
{
    if (!timer_) {
        timer_ = std::make_shared<steady_timer>(loop_, deadline);
    }
    else if (deadline < timer_->expiry()) {
        const auto earlier = std::make_shared<steady_timer>(loop_, deadline);
        timer_->cancel();
        timer_ = earlier;
    }
    const auto timer = timer_;
    boost::system::error_code ended;
    co_await timer->async_wait(redirect_error(use_awaitable, ended));
    if (timer_ == timer) {
        timer_.reset();
    }
}

} // namespace vanillagauge::net
