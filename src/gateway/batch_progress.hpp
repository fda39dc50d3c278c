/// What the owner of a batch knows of its items, and which results it lists next. No network, no clock.
#ifndef VANILLAGAUGE_GATEWAY_BATCH_PROGRESS_HPP
#define VANILLAGAUGE_GATEWAY_BATCH_PROGRESS_HPP

#include "gateway/batch.hpp"
#include "net/event_stream.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace vanillagauge::gateway {

enum class work_state {
    waiting,
    running,
    scoring, ///< its text is whole, its score is not there yet
    finished,
    published,
};

/// The text of one item as far as it has been generated.
struct item_progress {
    batch_item item;
    work_state state = work_state::waiting;
    int runs = 0;            ///< sendings to a replica
    int failures = 0;        ///< answers that count as failed attempts
    time_point not_before{}; ///< waits until then
    std::string avoid{};     ///< the replica that it left last
    std::string text{};
    std::size_t events = 0;
    std::optional<std::uint64_t> last_event{};
    std::set<std::uint64_t> versions{};
    std::uint64_t current_version = 0; ///< of the run in flight
    item_result result{};              ///< once finished
};

/// An item's text as far as it was made, for an owner that goes on with it.
struct saved_text {
    std::string id;
    std::string text;
    std::size_t events = 0;
    std::optional<std::uint64_t> last_event{};
    std::set<std::uint64_t> versions{};
    bool complete = false; ///< nothing is missing but the score

    friend bool operator==(const saved_text&, const saved_text&) = default;
};

/// Why a run's answer does not continue the text that is there.
enum class run_rejection { none, old_weights, mixed_weights, wrong_event, not_running };

class batch_progress {
public:
    batch_progress(batch_header header, std::vector<batch_item> items);

    // Commands.
    /// What the log holds at the next position, whoever wrote it. Items listed by others are finished.
    void apply_segment(const result_segment& segment);
    /// A waiting item is given to a replica.
    void start(std::size_t index);
    /// A run began under this version of the weights, behind what is there already.
    run_rejection begin_run(std::size_t index, std::uint64_t version);
    run_rejection append_event(std::size_t index, const net::stream_event& event,
                               std::optional<std::uint64_t> new_version);
    /// The text that an earlier owner made of an item that has none here.
    void restore_text(const saved_text& text);
    /// Drops the text, which a run cannot continue.
    void discard_text(std::size_t index);
    /// The run is over and its text is whole. The item is finished, or waits for its score.
    void complete(std::size_t index);
    /// The score of an item whose text is whole.
    void set_score(std::size_t index, const std::string& score);
    /// The item can never be done, or may be given up.
    void terminate(std::size_t index);
    /// The run ended early; the item goes on, or begins, elsewhere.
    void release(std::size_t index, time_point not_before, const std::string& avoid);
    /// An answer that counts as a failed attempt; true where it was the last that the route allows.
    bool fail_attempt(std::size_t index);
    /// The segment to write next: results that are finished and not listed. None while one is being written.
    std::optional<result_segment> next_segment(const std::string& writer);
    void finish_write() { writing_ = false; }

    // Queries.
    const batch_header& header() const { return header_; }
    std::vector<item_progress>& items() { return items_; }
    const std::vector<item_progress>& items() const { return items_; }
    std::size_t published() const { return published_; }
    bool all_published() const { return published_ >= header_.total; }
    std::size_t unpublished_results() const { return finished_; }
    /// Finished results that make a group whole, so that the trainer should hear of them at once.
    bool has_complete_group() const;
    /// Items of the same group that are neither finished nor listed, this one with them.
    std::size_t open_in_group(std::size_t index) const;
    /// What was made of an item that is not listed; none where nothing was.
    std::optional<saved_text> text_to_save(std::size_t index) const;
    /// Waiting items in the order in which they are to run: carried-over groups stand first, the longest of a
    /// group's items before the shorter ones.
    const std::vector<std::size_t>& order() const { return order_; }

private:
    batch_header header_;
    std::vector<item_progress> items_;
    std::vector<std::size_t> order_;
    std::map<std::string, std::size_t> index_by_id_;
    std::map<std::string, std::size_t>
        open_in_group_; ///< items of a group that are neither finished nor listed
    std::size_t published_ = 0;
    std::size_t finished_ = 0;
    bool writing_ = false;

    void finish(std::size_t index, item_result result);
    void finish_completed(std::size_t index, const std::string& score);
    void close_in_group(const item_progress& entry);
};

} // namespace vanillagauge::gateway

#endif
