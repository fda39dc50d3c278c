/// State of a batch's items at its owner, and the results to publish next. No network, no clock.
#ifndef VANILLAGAUGE_GATEWAY_BATCH_PROGRESS_HPP
#define VANILLAGAUGE_GATEWAY_BATCH_PROGRESS_HPP

#include "gateway/batch.hpp"
#include "net/event_stream.hpp"
#include "policy/run_length.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace vanillagauge::gateway {

enum class work_state {
    waiting,
    running,
    scoring, ///< text complete, score pending
    finished,
    published,
};

/// State of one item and the text generated so far.
struct item_progress {
    batch_item item;
    std::size_t group = 0; ///< index of its group within the batch
    work_state state = work_state::waiting;
    int runs = 0;            ///< times it was sent to a replica
    int failures = 0;        ///< responses that count as failed attempts
    int refusals = 0;        ///< responses in a row that it was not run
    time_point not_before{}; ///< earliest time of the next run
    std::string avoid{};     ///< instance of the replica that ran it last
    std::string text{};
    std::size_t events = 0;
    std::optional<std::uint64_t> last_event{};
    std::set<std::uint64_t> versions{};
    std::uint64_t current_version = 0; ///< weights of the current run
    item_result result{};              ///< set once finished
};

/// The text generated so far for an item, stored so that the next owner can continue it.
struct saved_text {
    std::string id;
    std::string text;
    std::size_t events = 0;
    std::optional<std::uint64_t> last_event{};
    std::set<std::uint64_t> versions{};
    bool complete = false; ///< only the score may be missing

    friend bool operator==(const saved_text&, const saved_text&) = default;
};

/// Why a run's response cannot extend the text generated so far.
enum class run_rejection { none, old_weights, mixed_weights, wrong_event, not_running, not_text, too_long };

class batch_progress {
public:
    batch_progress(batch_header header, std::vector<batch_item> items);

    /// Applies a segment stored at the next position, by whichever owner. Its items are finished.
    void apply_segment(const result_segment& segment);
    /// Marks a waiting item as running.
    void start(std::size_t index);
    /// The run's response has started, with this weights version; it extends the text generated so far.
    run_rejection begin_run(std::size_t index, std::uint64_t version);
    run_rejection append_event(std::size_t index, const net::stream_event& event,
                               std::optional<std::uint64_t> new_version);
    /// Restores text saved by an earlier owner, unless the item already has text here.
    void restore_text(const saved_text& text);
    /// Drops the text when no run can continue it.
    void discard_text(std::size_t index);
    /// The run has ended with a complete text. The item is finished, or waits for its score.
    void complete(std::size_t index);
    /// Finishes an item whose text is complete.
    void set_score(std::size_t index, const std::string& score);
    /// The item cannot be completed, or has expired.
    void terminate(std::size_t index);
    /// The run ended early; the item waits for another replica, which continues or restarts it.
    void release(std::size_t index, time_point not_before, const std::string& avoid);
    /// As `release`, after a replica refused the run; each further refusal doubles the delay.
    void refuse(std::size_t index, time_point now, const std::string& avoid);
    /// Counts a failed attempt; true if it was the last that the route allows.
    bool fail_attempt(std::size_t index);
    /// The next segment to write: finished, unpublished results. None while another is being written.
    std::optional<result_segment> next_segment(const std::string& writer);
    void finish_write() { writing_ = false; }

    const batch_header& header() const { return header_; }
    std::vector<item_progress>& items() { return items_; }
    const std::vector<item_progress>& items() const { return items_; }
    std::size_t published() const { return results_.size(); }
    bool all_published() const { return published() >= header_.total; }
    std::size_t unpublished_results() const { return finished_; }
    /// Groups all items of which are finished or published.
    std::size_t complete_groups() const { return complete_groups_; }
    /// Groups all items of which are published.
    std::size_t published_groups() const { return published_groups_; }
    /// Published results by position.
    const std::vector<item_result>& results() const { return results_; }
    /// Items of the same group, including this one, that are neither finished nor published.
    std::size_t open_in_group(std::size_t index) const;
    /// The item's length in events, as far as it is known; nothing bounds it where the engines' events have
    /// no known size.
    policy::run_length length_of(std::size_t index) const;
    std::size_t groups() const { return groups_.size(); }
    /// The text of an unpublished item; none if it has no text.
    std::optional<saved_text> text_to_save(std::size_t index) const;
    /// All items in the order in which they should run: longest expected output first.
    const std::vector<std::size_t>& order() const { return order_; }

private:
    batch_header header_;
    std::vector<item_progress> items_;
    std::vector<std::size_t> order_;
    std::map<std::string, std::size_t> index_by_id_;
    /// Items of a group that are still to be finished and to be published.
    struct group_count {
        std::size_t open = 0;
        std::size_t unpublished = 0;
    };
    std::vector<group_count> groups_;
    std::size_t complete_groups_ = 0;
    std::size_t published_groups_ = 0;
    std::vector<item_result> results_;
    std::size_t finished_ = 0;
    bool writing_ = false;

    void finish(std::size_t index, item_result result);
    void finish_completed(std::size_t index, const std::string& score);
    void close_in_group(const item_progress& entry);
    void publish_in_group(const item_progress& entry);
};

} // namespace vanillagauge::gateway

#endif
