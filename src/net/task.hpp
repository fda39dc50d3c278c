/// Coroutine types and helpers of the event loop.
#ifndef VANILLAGAUGE_NET_TASK_HPP
#define VANILLAGAUGE_NET_TASK_HPP

#include "base/base.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>

namespace vanillagauge::net {

template <class Value>
using task = boost::asio::awaitable<Value>;

/// A task that may fail.
template <class Value>
using task_of = task<result<Value>>;

using loop = boost::asio::io_context;

/// Starts the task on the loop; an exception that escapes it terminates the program, whose own state may be
/// broken. Requests are contained by their service.
void start(loop& context, task<void> work);

/// Suspends the task for `pause` on the steady clock.
task<void> sleep_for(loop& context, duration pause);

} // namespace vanillagauge::net

#endif
