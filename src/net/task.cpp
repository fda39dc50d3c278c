#include "net/task.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <exception>

namespace vanillagauge::net {

void start(loop& where, task<void> work)
{
    boost::asio::co_spawn(where, std::move(work), [](std::exception_ptr failed) {
        if (failed) {
            std::rethrow_exception(failed);
        }
    });
}

task<void> sleep_for(loop& where, duration pause)
{
    boost::asio::steady_timer timer(where, pause);
    co_await timer.async_wait(boost::asio::use_awaitable);
}

} // namespace vanillagauge::net
