/// One batch as its owner runs it.
#ifndef VANILLAGAUGE_GATEWAY_INTERNAL_BATCH_RUN_HPP
#define VANILLAGAUGE_GATEWAY_INTERNAL_BATCH_RUN_HPP

#include "gateway/batch_runner.hpp"
#include "gateway/batch_texts.hpp"

namespace vanillagauge::gateway {

/// An item's run at a replica, for those that must end it early.
struct batch_runner::stream {
    std::shared_ptr<net::http_connection> connection;
    target_ref at;
    time_point began{};
    time_point last_event{};
    bool heard = false;
};

struct batch_runner::run {
    run(net::loop& loop, object_store& store, const batch_header& header, std::vector<batch_item> items)
        : progress(header, std::move(items)), changed(loop), texts(store, header.id)
    {
    }

    batch_progress progress;
    net::signal changed;
    std::map<std::size_t, std::shared_ptr<stream>> streams;                   ///< by the item's place
    std::map<std::size_t, std::shared_ptr<cancellation_token>> scoring_calls; ///< by the item's place
    bool accepted = true;                                                     ///< the store has the batch
    bool ended = false;
    bool listing = false;
    time_point last_listing{};
    time_point first_unlisted{};
    text_keeper texts;
    bool keeping_texts = false;
    time_point texts_kept{}; ///< what was made since then would be lost with this gateway
    wall_time give_up_at{};

    void cancel_work()
    {
        for (auto& [place, ticket] : scoring_calls) {
            ticket->cancel();
        }
        for (auto& [place, open] : streams) {
            if (open->connection) {
                open->connection->close();
            }
        }
    }
};

} // namespace vanillagauge::gateway

#endif
