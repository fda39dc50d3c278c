/// State of a batch while its owner runs it.
#ifndef VANILLAGAUGE_GATEWAY_INTERNAL_BATCH_RUN_HPP
#define VANILLAGAUGE_GATEWAY_INTERNAL_BATCH_RUN_HPP

#include "gateway/batch_runner.hpp"
#include "gateway/batch_texts.hpp"
#include "policy/publish_plan.hpp"

#include <optional>

namespace vanillagauge::gateway {

/// Between two tries of a call to the store.
constexpr milliseconds store_retry_delay{300};

/// One run of an item at an engine.
struct batch_runner::item_run {
    std::shared_ptr<net::http_connection> connection;
    target_ref engine;
    time_point began{};
    time_point last_event{};
    bool received_event = false;
};

struct batch_runner::batch_run {
    batch_run(net::loop& loop, object_store& store, const batch_header& header, held_items held)
        : room(std::move(held.room)), progress(header, std::move(held.items)), changed(loop),
          last_publish(steady::now()),
          due(last_publish + (header.accepted + header.result_time - std::chrono::system_clock::now())),
          texts(store, header.id), expires_at(header.accepted + header.max_age)
    {
    }

    item_room room; ///< of the items
    batch_progress progress;
    net::async_condition changed;
    std::map<std::size_t, std::shared_ptr<item_run>> item_runs;               ///< by item index
    std::map<std::size_t, std::shared_ptr<cancellation_token>> scoring_calls; ///< by item index
    bool stored = true; ///< false while the batch is speculative
    bool ended = false;
    bool publishing = false;
    /// By `time_since_boot`: the store had no result after the published ones then; none: never confirmed.
    std::optional<duration> end_confirmed_at{};
    time_point last_publish{};
    time_point due{}; ///< when the trainer's results are due
    text_store texts;
    bool saving_texts = false;
    time_point texts_saved_at{}; ///< newer text is lost if this gateway fails
    wall_time expires_at{};

    /// When the wanted groups will be complete at the latest, as far as the items' lengths are known; none if
    /// they are not.
    std::optional<time_point> wanted_by(time_point now) const;

    policy::publish_view publish_state(time_point now) const
    {
        policy::publish_view view;
        view.results = progress.unpublished_results();
        view.total = progress.header().total;
        view.published = progress.published();
        view.wanted_groups = progress.header().wanted_groups;
        view.complete_groups = progress.complete_groups();
        view.published_groups = progress.published_groups();
        view.last_publish = last_publish;
        view.due = due;
        view.wanted_by = view.results > 0 ? wanted_by(now) : std::nullopt;
        return view;
    }

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
