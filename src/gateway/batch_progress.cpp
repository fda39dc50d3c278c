#include "gateway/batch_progress.hpp"

#include <algorithm>
#include <numeric>

namespace vanillagauge::gateway {
namespace {

/// The most that a page of results holds.
constexpr std::size_t max_text_bytes = 1U << 20U;

} // namespace

batch_progress::batch_progress(batch_header header, std::vector<batch_item> items)
    : header_(std::move(header))
{
    std::map<std::string, std::size_t> group_by_name;
    for (auto& item : items) {
        index_by_id_[item.id] = items_.size();
        const auto group = group_by_name.try_emplace(item.group, groups_.size()).first->second;
        if (group == groups_.size()) {
            groups_.emplace_back();
        }
        ++groups_[group].open;
        ++groups_[group].unpublished;
        items_.push_back({std::move(item), group});
    }
    header_.total = items_.size();
    order_.resize(items_.size());
    std::iota(order_.begin(), order_.end(), std::size_t{0});
    // A long item that starts last ends last and delays its whole group while the replicas that finished the
    // short ones are idle.
    std::stable_sort(order_.begin(), order_.end(), [this](std::size_t left, std::size_t right) {
        return items_[left].item.length_hint > items_[right].item.length_hint;
    });
}

void batch_progress::close_in_group(const item_progress& entry)
{
    auto& open = groups_[entry.group].open;
    --open;
    complete_groups_ += open == 0 ? 1 : 0;
}

void batch_progress::publish_in_group(const item_progress& entry)
{
    auto& unpublished = groups_[entry.group].unpublished;
    --unpublished;
    published_groups_ += unpublished == 0 ? 1 : 0;
}

// A stored segment is final. If another owner published an item first, this owner's result for it is dropped,
// since the trainer reads the published one.
void batch_progress::apply_segment(const result_segment& segment)
{
    if (segment.first != published()) {
        return;
    }
    for (const auto& published : segment.results) {
        results_.push_back(published);
        const auto found = index_by_id_.find(published.id);
        if (found == index_by_id_.end()) {
            continue;
        }
        auto& entry = items_[found->second];
        if (entry.state == work_state::published) {
            continue;
        }
        if (entry.state == work_state::finished) {
            --finished_;
        }
        else {
            close_in_group(entry);
        }
        publish_in_group(entry);
        entry.state = work_state::published;
        entry.text.clear();
        entry.text.shrink_to_fit();
        entry.result = {};
    }
    writing_ = false;
}

run_rejection batch_progress::begin_run(std::size_t index, std::uint64_t version)
{
    auto& entry = items_[index];
    // Another owner may have published the item while this run's request was under way.
    if (entry.state != work_state::running) {
        return run_rejection::not_running;
    }
    if (version < header_.min_version) {
        return run_rejection::old_weights;
    }
    const bool mixes = !entry.versions.empty() && !entry.versions.contains(version);
    if (header_.single_version && mixes) {
        return run_rejection::mixed_weights;
    }
    entry.current_version = version;
    entry.refusals = 0;
    return run_rejection::none;
}

run_rejection batch_progress::append_event(std::size_t index, const net::stream_event& event,
                                           std::optional<std::uint64_t> new_version)
{
    auto& entry = items_[index];
    if (event.id && entry.last_event && *event.id != *entry.last_event + 1) {
        return run_rejection::wrong_event;
    }
    // Results and saved texts are written as JSON, which holds no other bytes; replaced ones would be another
    // text than the replica's.
    if (!is_utf8(event.data)) {
        return run_rejection::not_text;
    }
    if (entry.text.size() + event.data.size() >= max_text_bytes) {
        return run_rejection::too_long;
    }
    if (new_version) {
        entry.current_version = *new_version;
    }
    if (entry.current_version < header_.min_version) {
        return run_rejection::old_weights;
    }
    if (header_.single_version && !entry.versions.empty() &&
        !entry.versions.contains(entry.current_version)) {
        return run_rejection::mixed_weights;
    }
    entry.text += entry.events > 0 ? "\n" : "";
    entry.text += event.data;
    ++entry.events;
    entry.versions.insert(entry.current_version);
    entry.last_event = event.id ? event.id : entry.last_event;
    return run_rejection::none;
}

void batch_progress::start(std::size_t index)
{
    auto& entry = items_[index];
    if (entry.state == work_state::waiting) {
        entry.state = work_state::running;
        ++entry.runs;
    }
}

// Ignores texts that weights too old for the batch have generated.
void batch_progress::restore_text(const saved_text& text)
{
    const auto found = index_by_id_.find(text.id);
    if (found == index_by_id_.end() || text.versions.empty() ||
        *text.versions.begin() < header_.min_version) {
        return;
    }
    auto& entry = items_[found->second];
    const bool mixed = header_.single_version && text.versions.size() > 1;
    if (entry.state != work_state::waiting || entry.events > 0 || mixed) {
        return;
    }
    entry.text = text.text;
    entry.events = text.events;
    entry.last_event = text.last_event;
    entry.versions = text.versions;
    if (text.complete) {
        entry.state = work_state::running;
        complete(found->second);
    }
}

std::optional<saved_text> batch_progress::text_to_save(std::size_t index) const
{
    const auto& entry = items_[index];
    const bool has_text = entry.events > 0 && entry.state != work_state::published;
    if (!has_text || (entry.state == work_state::finished && entry.result.state == item_state::terminated)) {
        return std::nullopt;
    }
    const bool finished = entry.state == work_state::finished;
    return saved_text{entry.item.id,  finished ? entry.result.text : entry.text,
                      entry.events,   entry.last_event,
                      entry.versions, finished || entry.state == work_state::scoring};
}

void batch_progress::discard_text(std::size_t index)
{
    auto& entry = items_[index];
    entry.text.clear();
    entry.events = 0;
    entry.last_event.reset();
    entry.versions.clear();
}

void batch_progress::finish(std::size_t index, item_result result)
{
    auto& entry = items_[index];
    if (entry.state == work_state::published || entry.state == work_state::finished) {
        return;
    }
    close_in_group(entry);
    entry.state = work_state::finished;
    entry.result = std::move(result);
    ++finished_;
}

void batch_progress::complete(std::size_t index)
{
    auto& entry = items_[index];
    if (entry.item.scoring && entry.state == work_state::running) {
        entry.state = work_state::scoring;
        return;
    }
    finish_completed(index, {});
}

void batch_progress::set_score(std::size_t index, const std::string& score)
{
    if (items_[index].state == work_state::scoring) {
        finish_completed(index, score);
    }
}

void batch_progress::finish_completed(std::size_t index, const std::string& score)
{
    auto& entry = items_[index];
    finish(index, {entry.item.id,
                   item_state::completed,
                   std::move(entry.text),
                   {entry.versions.begin(), entry.versions.end()},
                   score});
    entry.text.clear();
}

void batch_progress::terminate(std::size_t index)
{
    finish(index, {items_[index].item.id, item_state::terminated, {}, {}, {}});
    items_[index].text.clear();
}

void batch_progress::release(std::size_t index, time_point not_before, const std::string& avoid)
{
    auto& entry = items_[index];
    if (entry.state == work_state::running) {
        entry.state = work_state::waiting;
        entry.not_before = not_before;
        entry.avoid = avoid;
    }
}

// Load pattern: more streams than the engines have slots, from several owners. Without a delay an item that
// is refused goes to one engine after the other, thousands of times a second, and the refusals cost the
// engines and the owner more than the runs do.
void batch_progress::refuse(std::size_t index, time_point now, const std::string& avoid)
{
    constexpr milliseconds first_delay{10};
    constexpr int max_doublings = 6;
    auto& entry = items_[index];
    // The first refusal may be by chance: another engine is tried at once.
    const auto delay = entry.refusals == 0 ? milliseconds{0}
                                           : first_delay * (1 << std::min(entry.refusals - 1, max_doublings));
    ++entry.refusals;
    release(index, now + delay, avoid);
}

bool batch_progress::fail_attempt(std::size_t index)
{
    discard_text(index);
    return ++items_[index].failures >= header_.attempts;
}

std::optional<result_segment> batch_progress::next_segment(const std::string& writer)
{
    if (writing_ || finished_ == 0) {
        return std::nullopt;
    }
    // A segment must fit into one store object and one response to a reader.
    constexpr std::size_t max_bytes = 600U << 10U;
    result_segment segment;
    segment.first = published();
    segment.writer = writer;
    std::size_t bytes = 0;
    for (const auto& entry : items_) {
        if (entry.state != work_state::finished) {
            continue;
        }
        bytes += entry.result.text.size() + entry.result.id.size() + 64;
        if (bytes > max_bytes && !segment.results.empty()) {
            break;
        }
        segment.results.push_back(entry.result);
    }
    writing_ = true;
    return segment;
}

policy::run_length batch_progress::length_of(std::size_t index) const
{
    const auto& entry = items_[index];
    policy::run_length length;
    length.generated = static_cast<double>(entry.events);
    if (header_.tokens_per_event > 0) {
        length.hint = entry.item.length_hint / header_.tokens_per_event;
        length.limit = entry.item.max_output / header_.tokens_per_event;
    }
    return length;
}

std::size_t batch_progress::open_in_group(std::size_t index) const
{
    return groups_[items_[index].group].open;
}

} // namespace vanillagauge::gateway
