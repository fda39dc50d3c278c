#include "usage/window.hpp"

#include <algorithm>

namespace vanillagauge::usage {
namespace {

/// Windows come from peers and from the store; a later end would be beyond what a clock can represent.
constexpr milliseconds max_unix_time = std::chrono::hours{24 * 365 * 200};

} // namespace

std::uint64_t window_at(wall_time at, milliseconds length)
{
    const auto since_epoch = std::chrono::floor<milliseconds>(at.time_since_epoch());
    return static_cast<std::uint64_t>(since_epoch.count() / length.count());
}

wall_time end_of_window(std::uint64_t window, milliseconds length)
{
    const auto last = static_cast<std::uint64_t>(max_unix_time / std::max(length, milliseconds{1}));
    return wall_time{length * static_cast<milliseconds::rep>(std::min(window, last) + 1)};
}

} // namespace vanillagauge::usage
