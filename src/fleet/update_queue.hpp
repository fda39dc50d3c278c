/// Updates to be sent to peers, piggybacked on datagrams that are sent anyway.
#ifndef VANILLAGAUGE_FLEET_UPDATE_QUEUE_HPP
#define VANILLAGAUGE_FLEET_UPDATE_QUEUE_HPP

#include "fleet/node.hpp"

#include <vector>

namespace vanillagauge::fleet {

class update_queue {
public:
    /// Replaces a queued update about the same VM.
    void push(member_update update);
    /// The least transmitted updates that fit into `bytes`; each is dropped after `transmit_limit`.
    std::vector<member_update> take(std::size_t bytes, int transmit_limit);
    bool empty() const { return queue_.empty(); }
    /// Estimated bytes of the smallest update; 0 if there is none.
    std::size_t smallest() const;

private:
    struct queued {
        member_update update;
        int transmissions = 0;
    };
    std::vector<queued> queue_;
};

} // namespace vanillagauge::fleet

#endif
