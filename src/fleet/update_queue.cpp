#include "fleet/update_queue.hpp"

#include <algorithm>

namespace vanillagauge::fleet {

void update_queue::push(member_update update)
{
    std::erase_if(queue_, [&update](const queued& item) { return item.update.info.vm == update.info.vm; });
    queue_.push_back({std::move(update), 0});
}

std::size_t update_queue::smallest() const
{
    std::size_t least = 0;
    for (const auto& item : queue_) {
        const auto size = estimated_size(item.update);
        least = least == 0 ? size : std::min(least, size);
    }
    return least;
}

std::vector<member_update> update_queue::take(std::size_t bytes, int transmit_limit)
{
    // Least transmitted first: a new death must not wait behind updates that most of the fleet has received.
    std::stable_sort(queue_.begin(), queue_.end(), [](const queued& left, const queued& right) {
        return left.transmissions < right.transmissions;
    });
    std::vector<member_update> taken;
    for (auto& item : queue_) {
        const auto size = estimated_size(item.update);
        if (size > bytes) {
            continue;
        }
        bytes -= size;
        ++item.transmissions;
        taken.push_back(item.update);
    }
    std::erase_if(queue_,
                  [transmit_limit](const queued& item) { return item.transmissions >= transmit_limit; });
    return taken;
}

} // namespace vanillagauge::fleet
