/// Claims that still have to be told to peers. Each rides on datagrams that are sent anyway.
#ifndef VANILLAGAUGE_FLEET_UPDATE_QUEUE_HPP
#define VANILLAGAUGE_FLEET_UPDATE_QUEUE_HPP

#include "fleet/node.hpp"

#include <vector>

namespace vanillagauge::fleet {

class update_queue {
public:
    /// Replaces what was queued about the same VM.
    void push(member_update update);
    /// The least told claims that fit into `bytes`; each is dropped after `most_tellings`.
    std::vector<member_update> take(std::size_t bytes, int transmit_limit);
    bool empty() const { return queue_.empty(); }
    /// Estimated bytes of the smallest claim; 0 where there is none.
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
