/// A Boost.Asio io_context with its own thread.
#ifndef VANILLAGAUGE_WIRE_EVENT_LOOP_HPP
#define VANILLAGAUGE_WIRE_EVENT_LOOP_HPP

#include "base/clock.hpp"

#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace vanillagauge::wire {

namespace internal {
class callback_gate;
}

/// Cancels the timer; no effect after it has fired.
using timer_cancel = std::function<void()>;

class event_loop {
public:
    event_loop();
    /// Stops the thread; pending work is dropped.
    ~event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;

    void post(std::function<void()> work);
    /// Runs `work` on the loop's thread and waits for it; runs it on the calling thread if the loop has
    /// stopped. Must not run concurrently with `stop`.
    void run_and_wait(const std::function<void()>& work);
    timer_cancel after(milliseconds delay, std::function<void()> work);
    /// Stops and joins the thread; further work is dropped, and so is the completion of every call that other
    /// threads run for this loop.
    void stop();
    /// What such a thread passes to run a callback; may outlive the loop.
    std::shared_ptr<internal::callback_gate> callbacks() const;

    boost::asio::io_context& context();

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace vanillagauge::wire

#endif
