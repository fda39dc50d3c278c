#include "net/signal.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <list>

namespace vanillagauge::net {

using boost::asio::redirect_error;
using boost::asio::steady_timer;
using boost::asio::use_awaitable;

signal::signal(loop& where) : loop_(where) {}

void signal::notify()
{
    if (turn_) {
        turn_->cancel();
        turn_.reset();
    }
}

// One timer serves all waiters of a turn, so it is set to the earliest of their times; the others find their
// condition unmet and wait again.
task<void> signal::wait_until(time_point until)
{
    if (!turn_) {
        turn_ = std::make_shared<steady_timer>(loop_, until);
    }
    else if (until < turn_->expiry()) {
        const auto earlier = std::make_shared<steady_timer>(loop_, until);
        turn_->cancel();
        turn_ = earlier;
    }
    const auto turn = turn_;
    boost::system::error_code ended;
    co_await turn->async_wait(redirect_error(use_awaitable, ended));
    if (turn_ == turn) {
        turn_.reset();
    }
}

} // namespace vanillagauge::net
