/// Runs the batches owned by this gateway: sends items to engines and results to the store.
#ifndef VANILLAGAUGE_GATEWAY_BATCH_RUNNER_HPP
#define VANILLAGAUGE_GATEWAY_BATCH_RUNNER_HPP

#include "gateway/batch_progress.hpp"
#include "gateway/batches/trainer_schedules.hpp"
#include "gateway/batches/unfinished_texts.hpp"
#include "gateway/engines/engine_view.hpp"
#include "gateway/fleet_view.hpp"
#include "gateway/item_scorer.hpp"
#include "gateway/object_store.hpp"
#include "gateway/target_protocol.hpp"
#include "gateway/target_registry.hpp"
#include "net/async_condition.hpp"
#include "net/byte_budget.hpp"
#include "observe/metrics.hpp"

#include <deque>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace vanillagauge::gateway {

/// The memory that items of batches may take, given back at its end.
using item_room = std::unique_ptr<net::byte_reservation>;

struct held_items {
    std::vector<batch_item> items;
    item_room room; ///< null: there are no items
};

class batch_runner {
public:
    /// All must outlive it.
    batch_runner(net::loop& loop, object_store& store, const fleet_view& fleet,
                 const target_registry& targets, engine_view& engines, const target_protocol& protocol,
                 item_scorer& scorer, observe::metrics& counts, const trainer_schedules& trainers);

    /// How many batches run here at a time; further ones wait in the store.
    void set_running_limit(std::size_t batches) { running_limit_ = batches; }
    /// Whether one more batch may run, beside so many that are not stored yet.
    bool may_run_more(std::size_t being_stored) const
    {
        return active_.size() + being_stored < running_limit_;
    }
    /// Bounds the items of batches here. A batch beyond it waits in the store.
    void set_item_budget(std::shared_ptr<net::byte_budget> budget) { item_budget_ = std::move(budget); }
    /// Takes room for so many bytes of items, for which ended batches leave memory where needed; null if
    /// there is none. The only items always have room.
    item_room room_for(std::size_t bytes);
    void count_refusal() { counts_.add("batches_refused_total"); }
    /// Caches the items of a batch that is being accepted here, so that they need not be read back.
    void cache_items(const std::string& batch, held_items items);
    /// Those that are cached, which are no longer then.
    held_items take_cached(const std::string& batch);
    /// Drops the cached items of a batch whose header has not made it run here.
    void drop_unused_items(const std::string& batch);
    /// The batch's header in the store is new or has changed.
    void update_header(const batch_header& header);
    /// Runs a batch that may not be stored yet; results are published once `update_header` confirms that this
    /// gateway owns it.
    void run_speculative(const batch_header& header, held_items items);
    /// Ends a batch started by `run_speculative` that was never stored.
    void drop_speculative(const std::string& batch);
    /// Membership may have changed: starts batches of failed owners that now belong to this gateway.
    void review_ownership();
    /// This gateway has discovered all registered members, so its view of the fleet can decide on ownership.
    void mark_view_complete() { view_complete_ = true; }
    /// Replicas were added, removed or changed.
    void notify();
    /// Starts no new batches; running ones continue.
    void drain() { starts_batches_ = false; }

    /// Published results at the positions from `first` on, of a batch that runs here or ran here recently;
    /// empty if there was none until `until`. `unavailable` where another gateway may have published further
    /// ones.
    net::task_of<std::vector<item_result>> read_results(std::string id, std::size_t first, time_point until);

    /// The encoded body of an item of a batch that runs here or ran here recently; none if it is not known
    /// here.
    std::optional<std::string> find_body(const std::string& batch, const std::string& item) const;

    const batch_header* find(const std::string& batch) const;
    /// This gateway's streams at the engines, and the events that those of running batches have left.
    std::vector<policy::engine_use> engine_uses() const;
    /// By service, the VMs of the live gateways that own an open batch of it.
    std::map<std::string, std::set<std::string>> open_owners() const;
    std::size_t running() const { return active_.size(); }
    bool starts_batches() const { return starts_batches_; }
    bool runs(const std::string& batch) const { return active_.contains(batch); }

private:
    struct batch_run;
    using batch_run_ref = std::shared_ptr<batch_run>;
    struct item_run;

    net::loop& loop_;
    object_store& store_;
    const fleet_view& fleet_;
    const target_registry& targets_;
    engine_view& engines_;
    const target_protocol& protocol_;
    item_scorer& scorer_;
    observe::metrics& counts_;
    const trainer_schedules& trainers_;
    unfinished_texts unfinished_texts_;
    std::map<std::string, batch_header> headers_;
    std::map<std::string, held_items> cached_items_;
    std::map<std::string, batch_run_ref> active_;
    std::deque<batch_run_ref> recent_; ///< ended, with their published results
    std::set<std::string> finished_;   ///< all results published, not yet ended by their trainers
    time_point started_;
    std::size_t running_limit_ = std::numeric_limits<std::size_t>::max();
    bool placement_wanted_ = false; ///< since something has changed
    time_point placed_at_{};
    std::shared_ptr<net::byte_budget> item_budget_ = std::make_shared<net::byte_budget>();
    bool starts_batches_ = true;
    bool view_complete_ = false;

    /// Waits until there is room for the batch's items; null if the batch has ended before.
    net::task<item_room> wait_for_room(std::string batch, std::size_t bytes);
    /// The items from the cache or from the store; no room if the batch has ended before.
    net::task<held_items> load_items(batch_header header, held_items cached);
    bool owned_here(const batch_header& header) const;
    /// Whether the batch is known to have been ended by its trainer.
    bool has_ended(const std::string& batch) const;
    void start(const batch_header& header);
    void confirm_speculative(const batch_run_ref& batch, const batch_header& header);
    net::task<void> load_and_run(batch_header header);
    net::task<bool> claim(batch_header& header);
    net::task<bool> load_results(batch_run& batch);
    net::task<void> load_texts(batch_run_ref batch);
    void resume_scoring(const batch_run_ref& batch);
    void save_texts(const batch_run_ref& batch);
    net::task<void> write_texts(batch_run_ref batch);
    void resume_texts(const batch_run_ref& batch);
    net::task<void> run_until_done(batch_run_ref batch);
    /// Places items where something has changed or some time has passed.
    void place_when_due();
    void place_items();
    /// The batch has changed: places items, and goes on with it.
    void wake(batch_run& batch);
    bool place_items_of(const batch_run_ref& batch, const std::vector<target_ref>& engines);
    net::task<void> run_item(batch_run_ref batch, std::size_t index, target_ref engine);
    net::task<net::http_result<done>> send_item(batch_run_ref batch, std::size_t index,
                                                std::shared_ptr<item_run> run, attempt_request sent);
    net::task<void> read_answer(batch_run_ref batch, std::size_t index, target_ref engine,
                                std::shared_ptr<item_run> run);
    net::task<bool> read_events(batch_run_ref batch, std::size_t index, std::shared_ptr<item_run> run);
    net::task<void> score_item(batch_run_ref batch, std::size_t index);
    void handle_failure(batch_run& batch, std::size_t index, target_ref engine, int status, bool not_run);
    void log_completed(const batch_progress& progress, std::size_t index, const item_run& run) const;
    /// `silent_ms` counts from the run's start or its last event.
    void log_interrupted(const batch_progress& progress, std::size_t index, const item_run& run,
                         const net::http_failure& why) const;
    net::task<void> publish_results(batch_run_ref batch);
    batch_run_ref find_run(const std::string& id) const;
    net::task<bool> confirm_end(batch_run_ref batch);
    void expire_items(batch_run& batch);
    void move_stragglers(batch_run& batch);
    /// Takes the reference by value: callers pass the one in `active_`, which it erases.
    void end(batch_run_ref batch, const char* why);
    bool has_waiting_items() const;
};

} // namespace vanillagauge::gateway

#endif
