/// State of a batch while its owner runs it.
#ifndef VANILLAGAUGE_GATEWAY_INTERNAL_BATCH_RUN_HPP
#define VANILLAGAUGE_GATEWAY_INTERNAL_BATCH_RUN_HPP

#include "gateway/batch_runner.hpp"
#include "gateway/batch_texts.hpp"

namespace vanillagauge::gateway {

/// One run of an item at an engine.
struct batch_runner::item_run {
    std::shared_ptr<net::http_connection> connection;
    target_ref engine;
    time_point began{};
    time_point last_event{};
    bool received_event = false;
};

struct batch_runner::batch_run {
    batch_run(net::loop& loop, object_store& store, const batch_header& header, std::vector<batch_item> items)
        : progress(header, std::move(items)), changed(loop), texts(store, header.id)
    {
    }

    batch_progress progress;
    net::async_condition changed;
    std::map<std::size_t, std::shared_ptr<item_run>> item_runs;               ///< by item index
    std::map<std::size_t, std::shared_ptr<cancellation_token>> scoring_calls; ///< by item index
    bool stored = true; ///< false while the batch is speculative
    bool ended = false;
    bool publishing = false;
    time_point last_publish{};
    time_point first_unpublished{};
    text_store texts;
    bool saving_texts = false;
    time_point texts_saved_at{}; ///< newer text is lost if this gateway fails
    wall_time expires_at{};

    void cancel_work()
    {
        for (auto& [index, cancellation] : scoring_calls) {
            cancellation->cancel();
        }
        for (auto& [index, run] : item_runs) {
            if (run->connection) {
                run->connection->close();
            }
        }
    }
};

} // namespace vanillagauge::gateway

#endif
