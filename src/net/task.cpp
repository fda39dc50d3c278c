#include "net/task.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <exception>

namespace vanillagauge::net {

void start(loop& context, task<void> work)
{
    boost::asio::co_spawn(context, std::move(work), [](std::exception_ptr failed) {
        if (failed) {
            std::rethrow_exception(failed);
        }
    });
}

task<void> sleep_for(loop& context, duration pause)
{
    boost::asio::steady_timer timer(context, pause);
    co_await timer.async_wait(boost::asio::use_awaitable);
}

} // namespace vanillagauge::net
