/// A thread that runs posted work and timers, on Boost.Asio.
#ifndef VANILLAGAUGE_WIRE_EVENT_LOOP_HPP
#define VANILLAGAUGE_WIRE_EVENT_LOOP_HPP

#include "base/clock.hpp"

#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace vanillagauge::wire {

/// Cancels its timer; safe after the timer has fired.
using timer_cancel = std::function<void()>;

class event_loop {
public:
    event_loop();
    /// Stops the thread; work that has not started is dropped.
    ~event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;

    void post(std::function<void()> work);
    /// Runs it on the loop's thread and waits for its end; on this one where the loop has ended. Not beside
    /// `stop` on another thread.
    void run_and_wait(const std::function<void()>& work);
    timer_cancel after(milliseconds delay, std::function<void()> work);
    /// Ends the thread and waits for it; further work is dropped.
    void stop();

    boost::asio::io_context& context();

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace vanillagauge::wire

#endif
