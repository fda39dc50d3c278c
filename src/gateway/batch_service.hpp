/// Accepts, reads and ends batches for callers, at any gateway.
#ifndef VANILLAGAUGE_GATEWAY_BATCH_SERVICE_HPP
#define VANILLAGAUGE_GATEWAY_BATCH_SERVICE_HPP

#include "gateway/batch.hpp"
#include "gateway/batch_runner.hpp"
#include "gateway/batch_store.hpp"
#include "gateway/feed.hpp"
#include "gateway/peer_relay.hpp"
#include "gateway/result_reader.hpp"

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace vanillagauge::gateway {

/// Path of peers' requests to run a batch speculatively.
constexpr const char* speculative_path = "/ahead";
/// Path of peers' requests for the body of an item.
constexpr const char* body_path = "/body";
/// Path on which peers send a batch that they have accepted, or ended, to its owner.
constexpr const char* accepted_path = "/accepted";

class batch_service {
public:
    /// All must outlive it. `headers` is the feed of batches.
    batch_service(net::loop& loop, peer_relay& store, feed& headers, batch_runner& runner,
                  const fleet_view& fleet);

    /// Success means that the complete batch is stored, now or by an earlier submission. `not_run` errors
    /// guarantee that no part of it runs; `in_doubt` errors guarantee nothing.
    net::task_of<done> submit(batch_submission submission);
    /// Handles a peer's request to run a batch that the store does not accept at the moment, or its query
    /// whether this gateway runs one.
    net::http_response serve_speculative(const net::http_request& request);
    /// Handles a batch that a peer has accepted for this gateway to run, or has ended.
    net::http_response serve_accepted(const net::http_request& request);
    /// Serves a peer's read of the results of a batch that runs here.
    net::task<net::http_response> serve_results(const net::http_request& request)
    {
        return results_.serve(request);
    }
    /// Serves a peer's request for the body of an item of a batch that runs here.
    net::http_response serve_body(const net::http_request& request) const;
    /// Waits at most `wait` for a result. `not_found` only if the store confirms it now; `unavailable` if a
    /// result published by another gateway may be missing here.
    net::task_of<result_page> read(std::string batch, std::size_t first, milliseconds wait);
    /// The batch as far as this gateway knows it without asking; null if it does not.
    const batch_header* find_known(const std::string& batch) const { return runner_.find(batch); }
    /// The organisation that submitted the batch; empty if it acts for none.
    net::task_of<std::string> organisation_of(std::string batch);
    /// The decoded body of an item.
    net::task_of<std::string> item_body(std::string batch, std::string item);
    /// Ends the batch on behalf of its trainer; running items are cancelled.
    net::task_of<done> end(std::string batch);

private:
    struct cached_items {
        std::string batch;
        held_items held;
    };
    net::loop& loop_;
    peer_relay& store_;
    feed& headers_;
    batch_runner& runner_;
    const fleet_view& fleet_;
    result_reader results_;
    std::list<cached_items> cache_; ///< newest first

    std::size_t being_stored_ = 0; ///< submissions

    struct attempt;                                       ///< an attempt to store a submission
    std::map<std::string, time_point> speculative_until_; ///< speculative batches running here

    /// Room for the items and for what storing them takes; null if there is none.
    item_room storing_room(const std::vector<batch_item>& items);
    /// Refuses a batch that has no room here; success if it is stored already.
    net::task_of<done> refuse_unless_stored(batch_header header, error reason);
    /// A refusal is none while a peer may be running the batch.
    net::task_of<done> to_refusal(error reason, batch_header header);
    net::task<void> resolve_attempt(std::shared_ptr<attempt> current);
    net::task_of<done> store_batch(std::shared_ptr<attempt> current, time_point until);
    /// Leaves the items to the runner, which runs the batch once its header is stored.
    void cache_items(attempt& current);
    /// After a header that was not stored.
    void take_items_back(attempt& current);
    net::task_of<done> store_items(std::shared_ptr<attempt> current, time_point until);
    net::task<void> speculate_when_slow(std::shared_ptr<attempt> current);
    std::optional<gateway_peer> other_owner(const batch_header& header) const;
    net::task<bool> runs_speculatively(const batch_header& header);
    /// `room` is that of the parts; null if there are none.
    net::task<void> send_to_owner(stored_object stored, nlohmann::json parts, item_room room,
                                  std::string address);
    net::task<void> send_speculative(std::shared_ptr<attempt> current);
    /// False, and nothing is run, where there is no room for it.
    bool run_speculative(batch_submission submission);
    net::task<void> resolve_speculative(std::shared_ptr<attempt> current);
    /// `make` makes the value of each try: one that is kept for the next try would be held twice meanwhile.
    net::task_of<stored_object> create_with_retry(std::string kind, std::string name,
                                                  std::function<nlohmann::json()> make, time_point until);
    net::task_of<batch_header> find(std::string batch);
    net::task_of<std::string> body_from_owner(const batch_header& header, const std::string& item);
    net::task_of<std::vector<batch_item>> items_of(batch_header header);
};

} // namespace vanillagauge::gateway

#endif
