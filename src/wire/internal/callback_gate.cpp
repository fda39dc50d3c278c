#include "wire/internal/callback_gate.hpp"

namespace vanillagauge::wire::internal {

bool callback_gate::run(const std::function<void()>& callback)
{
    {
        const std::lock_guard lock(mutex_);
        if (closed_) {
            return false;
        }
        ++running_;
    }
    struct visit {
        callback_gate& gate;
        ~visit() { gate.leave(); }
    };
    const visit inside{*this};
    callback();
    return true;
}

void callback_gate::leave()
{
    const std::lock_guard lock(mutex_);
    --running_;
    left_.notify_all();
}

void callback_gate::close()
{
    const std::lock_guard lock(mutex_);
    closed_ = true;
}

void callback_gate::wait_until_idle()
{
    std::unique_lock lock(mutex_);
    left_.wait(lock, [this] { return running_ == 0; });
}

} // namespace vanillagauge::wire::internal
