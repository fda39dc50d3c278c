#include "gateway/batch_store.hpp"

#include <iterator>

namespace vanillagauge::gateway {

net::task_of<std::vector<batch_item>> read_items(object_store& store, batch_header header)
{
    std::vector<batch_item> items;
    for (std::size_t part = 0; part < header.parts; ++part) {
        const auto stored = co_await store.read(item_kind, part_name(header.id, part));
        if (!ok(stored)) {
            co_return failure(stored);
        }
        auto parsed = items_from_json(value(stored).value);
        if (!ok(parsed)) {
            co_return failure(parsed);
        }
        std::move(value(parsed).begin(), value(parsed).end(), std::back_inserter(items));
    }
    co_return items;
}

net::task_of<segment_listing> read_segments(object_store& store, std::string batch, std::string after)
{
    segment_listing listing;
    bool more = true;
    while (more) {
        const auto page = co_await store.list(results_kind(batch), after);
        if (!ok(page)) {
            co_return failure(page);
        }
        // A watch from the first page's revision shows the changes made while the pages are read.
        listing.as_of = listing.as_of == 0 ? value(page).as_of : listing.as_of;
        more = value(page).more;
        for (const auto& object : value(page).objects) {
            after = object.name;
            auto segment = segment_from_json(object.name, object.value);
            if (!ok(segment)) {
                co_return failure(segment);
            }
            listing.segments.push_back(std::move(value(segment)));
        }
    }
    co_return listing;
}

} // namespace vanillagauge::gateway
