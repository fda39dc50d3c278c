/// Orders batches that compete for engines at one gateway.
#ifndef VANILLAGAUGE_POLICY_BATCH_ORDER_HPP
#define VANILLAGAUGE_POLICY_BATCH_ORDER_HPP

#include "base/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace vanillagauge::policy {

struct queued_batch {
    std::string model;
    std::uint64_t step = 0;
    std::optional<duration> slack; ///< of its trainer; none if it is not known
    duration age{0};               ///< since its acceptance
    duration result_time{0};       ///< from its acceptance until its results are due
    bool started = false;          ///< an item has been started
};

/// Whether the batch has waited for so long that it goes first until one of its items starts.
bool waits_too_long(const queued_batch& batch);

/// Indexes of the batches, in the order in which they place their items.
std::vector<std::size_t> batch_order(const std::vector<queued_batch>& batches);

} // namespace vanillagauge::policy

#endif
