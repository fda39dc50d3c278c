/// An attempt to store one submission.
#ifndef VANILLAGAUGE_GATEWAY_INTERNAL_BATCH_ATTEMPT_HPP
#define VANILLAGAUGE_GATEWAY_INTERNAL_BATCH_ATTEMPT_HPP

#include "gateway/batch_service.hpp"
#include "net/async_condition.hpp"

#include <optional>

namespace vanillagauge::gateway {

struct batch_service::attempt {
    explicit attempt(net::loop& loop) : changed(loop) {}

    batch_submission submission{};
    bool storing_header = false; ///< the header, with its owner, is being written
    std::optional<result<done>> outcome{};
    net::async_condition changed;
    bool speculative = false; ///< the batch may run before it is stored
    item_room room{};         ///< of the items, and of what storing them takes
};

/// Limits the retries of a write whose outcome is not known. The client waits a few seconds.
constexpr milliseconds resolve_timeout{3000};
constexpr milliseconds retry_interval{150};

} // namespace vanillagauge::gateway

#endif
