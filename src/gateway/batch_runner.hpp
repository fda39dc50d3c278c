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
#include "observe/metrics.hpp"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace vanillagauge::gateway {

class batch_runner {
public:
    /// All must outlive it.
    batch_runner(net::loop& loop, object_store& store, const fleet_view& fleet,
                 const target_registry& targets, engine_view& engines, const target_protocol& protocol,
                 item_scorer& scorer, observe::metrics& counts, const trainer_schedules& trainers);

    /// What the items of batches may take here; 0: no limit. A batch beyond it waits in the store, unless it
    /// is the only one.
    void set_item_limit(std::size_t bytes) { item_limit_ = bytes; }
    /// Whether so many bytes of items, beside those held here and by others, are within the limit. The first
    /// ones always are.
    bool has_room(std::size_t bytes, std::size_t held_by_others = 0) const;
    void count_refusal() { counts_.add("batches_refused_total"); }
    /// Caches the items of a batch that is being accepted here, so that they need not be read back; not those
    /// without room.
    void cache_items(const std::string& batch, std::vector<batch_item> items);
    /// The batch's header in the store is new or has changed.
    void update_header(const batch_header& header);
    /// Runs a batch that may not be stored yet; results are published once `update_header` confirms that this
    /// gateway owns it.
    void run_speculative(const batch_header& header, std::vector<batch_item> items);
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
    std::map<std::string, std::vector<batch_item>> cached_items_;
    std::map<std::string, batch_run_ref> active_;
    std::deque<batch_run_ref> recent_; ///< ended, with their published results
    std::set<std::string> finished_;   ///< all results published, not yet ended by their trainers
    time_point started_;
    std::size_t item_limit_ = 0;
    bool starts_batches_ = true;
    bool view_complete_ = false;

    /// Of the batches that run here or are about to.
    std::size_t item_bytes() const;
    /// Waits until there is room for the batch's items; false once the batch has ended.
    net::task<bool> wait_for_room(std::string batch, std::size_t bytes);
    bool owned_here(const batch_header& header) const;
    /// Whether the batch is known to have been ended by its trainer.
    bool has_ended(const std::string& batch) const;
    void start(const batch_header& header);
    void confirm_speculative(const batch_run_ref& batch, const batch_header& header);
    net::task<void> load_and_run(batch_header header);
    net::task<bool> claim(batch_header& header);
    net::task_of<std::vector<batch_item>> load_items(const batch_header& header);
    net::task<bool> load_results(batch_run& batch);
    net::task<void> load_texts(batch_run_ref batch);
    void resume_scoring(const batch_run_ref& batch);
    void save_texts(const batch_run_ref& batch);
    net::task<void> write_texts(batch_run_ref batch);
    void resume_texts(const batch_run_ref& batch);
    net::task<void> run_until_done(batch_run_ref batch);
    void place_items();
    bool place_items_of(const batch_run_ref& batch, const std::vector<target_ref>& engines);
    net::task<void> run_item(batch_run_ref batch, std::size_t index, target_ref engine);
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
