/// Lets callbacks of other threads through until it is closed.
#ifndef VANILLAGAUGE_WIRE_INTERNAL_CALLBACK_GATE_HPP
#define VANILLAGAUGE_WIRE_INTERNAL_CALLBACK_GATE_HPP

#include <condition_variable>
#include <cstddef>
#include <functional>
#include <mutex>

namespace vanillagauge::wire::internal {

/// Thread-safe.
class callback_gate {
public:
    /// Runs the callback; false, without running it, once the gate is closed.
    bool run(const std::function<void()>& callback);
    void close();
    /// Returns once no callback is running. Must not be called from one.
    void wait_until_idle();

private:
    std::mutex mutex_;
    std::condition_variable left_;
    std::size_t running_ = 0;
    bool closed_ = false;

    void leave();
};

} // namespace vanillagauge::wire::internal

#endif
