/// Decides when a batch's finished results are written for its readers.
#ifndef VANILLAGAUGE_POLICY_PUBLISH_PLAN_HPP
#define VANILLAGAUGE_POLICY_PUBLISH_PLAN_HPP

#include "base/clock.hpp"

#include <cstddef>
#include <optional>

namespace vanillagauge::policy {

struct publish_view {
    std::size_t results = 0;          ///< finished, not yet published
    std::size_t total = 0;            ///< items of the batch
    std::size_t published = 0;        ///< items
    std::size_t wanted_groups = 0;    ///< complete groups that the trainer waits for
    std::size_t complete_groups = 0;  ///< all items finished, published or not
    std::size_t published_groups = 0; ///< all items published
    time_point last_publish{};        ///< start of the last write
    time_point due{};                 ///< when the trainer's results are due
    /// When the wanted groups will be complete at the latest; none: unknown.
    std::optional<time_point> wanted_by{};
};

bool should_publish(const publish_view& batch, time_point now);

} // namespace vanillagauge::policy

#endif
