/// One submission on its way to the store.
#ifndef VANILLAGAUGE_GATEWAY_INTERNAL_BATCH_ATTEMPT_HPP
#define VANILLAGAUGE_GATEWAY_INTERNAL_BATCH_ATTEMPT_HPP

#include "gateway/batch_service.hpp"
#include "net/signal.hpp"

#include <optional>

namespace vanillagauge::gateway {

struct batch_service::attempt {
    explicit attempt(net::loop& loop) : changed(loop) {}

    batch_submission submission;
    bool storing_header = false; ///< the header is on its way to the store, with its owner
    std::optional<result<done>> outcome{};
    net::signal changed;
    bool speculative = false; ///< a gateway was told to run the batch before the store has it
};

/// Below the store's limit of a megabyte a value, with room for what JSON adds.
constexpr std::size_t max_part_bytes = 800U << 10U;

/// How long an acceptance whose outcome is not known is tried to be settled. Its client waits a few seconds.
constexpr milliseconds resolve_timeout{3000};
constexpr milliseconds retry_interval{150};

} // namespace vanillagauge::gateway

#endif
