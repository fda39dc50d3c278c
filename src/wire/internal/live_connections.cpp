#include "wire/internal/live_connections.hpp"

namespace vanillagauge::wire::internal {

live_connections::entry::entry(live_connections& all) : all_(all)
{
    const std::lock_guard lock(all_.mutex_);
    ++all_.count_;
}

live_connections::entry::~entry()
{
    const std::lock_guard lock(all_.mutex_);
    --all_.count_;
    // Under the lock: the waiting thread may destroy the object as soon as it has it.
    all_.changed_.notify_all();
}

void live_connections::wait_until_none()
{
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [this] { return count_ == 0; });
}

} // namespace vanillagauge::wire::internal
