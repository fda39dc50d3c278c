/// Reads of a batch's items and results from the store.
#ifndef VANILLAGAUGE_GATEWAY_BATCH_STORE_HPP
#define VANILLAGAUGE_GATEWAY_BATCH_STORE_HPP

#include "gateway/batch.hpp"
#include "gateway/object_store.hpp"

#include <string>
#include <vector>

namespace vanillagauge::gateway {

struct segment_listing {
    std::vector<result_segment> segments;
    std::uint64_t as_of = 0; ///< store revision; a watch from here shows later segments
};

net::task_of<std::vector<batch_item>> read_items(object_store& store, batch_header header);

/// The segments with names after `after`, ordered by position.
net::task_of<segment_listing> read_segments(object_store& store, std::string batch, std::string after);

} // namespace vanillagauge::gateway

#endif
