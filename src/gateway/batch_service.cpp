#include "gateway/batch_service.hpp"

#include "gateway/internal/batch_attempt.hpp"
#include "observe/log.hpp"

#include <algorithm>

namespace vanillagauge::gateway {

using nlohmann::json;

namespace {

/// Limits the results in one response.
constexpr std::size_t max_page_bytes = 900U << 10U;

constexpr milliseconds poll_interval{50};

/// Retry delay sent to a client whose batch could not be stored.
constexpr milliseconds store_retry_after{500};

/// Bodies are requested rarely and of few batches; an item list takes about 200 KB.
constexpr std::size_t max_cached = 1;

/// Batches with known segment ends, a few dozen numbers each.
constexpr std::size_t max_known_results = 128;

/// A shorter wait for results is not worth a call to the store.
constexpr milliseconds min_wait{50};

} // namespace

batch_service::batch_service(net::loop& loop, peer_relay& store, feed& headers, batch_runner& runner,
                             const fleet_view& fleet)
    : loop_(loop), store_(store), headers_(headers), runner_(runner), fleet_(fleet)
{
}

// A creation without a response may have taken effect, or may do so later; repeating it under the same name
// shows which. `not_run` errors guarantee that none of the tries wrote anything.
net::task_of<stored_object> batch_service::create_with_retry(std::string kind, std::string name, json value,
                                                             time_point until)
{
    auto ran = run_state::not_run;
    while (true) {
        auto created = co_await store_.create(kind, name, value);
        if (ok(created) || failure(created).code == error_code::conflict) {
            co_return created;
        }
        auto reason = failure(created);
        ran = std::max(ran, reason.ran);
        if (ran == run_state::not_run || steady::now() >= until) {
            reason.ran = ran;
            co_return reason;
        }
        co_await net::sleep_for(loop_, retry_interval);
    }
}

// A batch exists once its header does, which is created only once; resubmission finds it. The items are
// stored first, so that a gateway that reads the header can run it; items without a header are ignored. A
// header write without a response may have taken effect, so it is no refusal.
net::task_of<done> batch_service::submit(batch_submission submission)
{
    if (headers_.objects().contains(submission.header.id)) {
        co_return done{};
    }
    const auto current = std::make_shared<attempt>(loop_);
    current->submission = std::move(submission);
    auto& header = current->submission.header;
    header.total = current->submission.items.size();
    header.owner_vm = fleet_.self();
    header.owner_incarnation = fleet_.incarnation();
    const auto id = header.id;
    net::start(loop_, speculate_when_slow(current));
    net::start(loop_, resolve_attempt(current));
    // The feed may show the batch while the call that stored it still hangs; the trainer need not wait.
    while (!current->outcome && !headers_.objects().contains(id)) {
        co_await current->changed.wait_until(steady::now() + poll_interval);
    }
    if (!current->outcome) {
        current->outcome = done{};
    }
    const auto stored = *current->outcome;
    if (ok(stored)) {
        co_return stored;
    }
    auto reason = failure(stored);
    if (reason.ran == run_state::not_run) {
        const bool may_run = current->speculative || co_await runs_speculatively(id);
        reason.ran = may_run ? run_state::in_doubt : run_state::not_run;
    }
    co_return reason;
}

net::task<void> batch_service::resolve_attempt(std::shared_ptr<attempt> current)
{
    auto stored = co_await store_batch(current, steady::now() + resolve_timeout);
    if (!current->outcome) {
        current->outcome = std::move(stored);
    }
    current->changed.notify();
}

net::task_of<done> batch_service::store_batch(std::shared_ptr<attempt> current, time_point until)
{
    auto& header = current->submission.header;
    auto parts = to_parts(current->submission.items, max_part_bytes);
    header.parts = parts.size();
    for (std::size_t part = 0; part < parts.size(); ++part) {
        const auto stored =
            co_await create_with_retry(item_kind, part_name(header.id, part), std::move(parts[part]), until);
        if (!ok(stored) && failure(stored).code != error_code::conflict) {
            co_return error{error_code::unavailable, run_state::not_run, describe(failure(stored)),
                            store_retry_after};
        }
    }
    current->storing_header = true;
    // A draining gateway starts no batch, and its peers would not take the batch over until it has left.
    const auto successor =
        runner_.starts_batches() || runner_.runs(header.id) ? std::nullopt : other_owner(header.id);
    if (successor) {
        header.owner_vm = successor->vm;
        header.owner_incarnation = successor->incarnation;
    }
    if (header.owner_vm == fleet_.self()) {
        runner_.cache_items(header.id, current->submission.items);
    }
    auto created = co_await create_with_retry(batch_kind, header.id, to_json(header), until);
    if (ok(created)) {
        headers_.apply_own_write(std::move(value(created)));
        co_return done{};
    }
    if (failure(created).code == error_code::conflict) {
        co_return done{};
    }
    auto reason = failure(created);
    reason.retry_after = store_retry_after;
    co_return reason;
}

net::task_of<batch_header> batch_service::find(std::string batch)
{
    const auto known = headers_.objects().find(batch);
    if (known != headers_.objects().end()) {
        co_return header_from_json(batch, known->second.value, known->second.status);
    }
    const auto stored = co_await store_.read(batch_kind, batch);
    if (!ok(stored)) {
        co_return failure(stored);
    }
    co_return header_from_json(batch, value(stored).value, value(stored).status);
}

void batch_service::record_segments(const std::string& batch, const std::vector<result_segment>& segments,
                                    std::uint64_t as_of)
{
    auto& known = known_results_[batch];
    for (const auto& segment : segments) {
        const auto end = segment.first + segment.results.size();
        known.segment_ends.insert(end);
        known.end = std::max(known.end, end);
    }
    known.as_of = std::max(known.as_of, as_of);
    if (known_results_.size() > max_known_results) {
        known_results_.erase(known_results_.begin()->first == batch ? std::next(known_results_.begin())
                                                                    : known_results_.begin());
    }
}

std::uint64_t batch_service::empty_as_of(const std::string& batch, std::size_t first) const
{
    const auto known = known_results_.find(batch);
    return known != known_results_.end() && known->second.end == first ? known->second.as_of : 0;
}

// Segments are named by their first position. A reader that resumes at a segment's end needs only the
// segments named after the preceding position; from any other position all are read.
net::task_of<segment_listing> batch_service::segments_from(std::string batch, std::size_t first)
{
    const auto known = known_results_.find(batch);
    const bool at_an_end =
        first > 0 && known != known_results_.end() && known->second.segment_ends.contains(first);
    auto after = at_an_end ? segment_name(first - 1) : std::string{};
    auto listing = co_await read_segments(store_, batch, std::move(after));
    if (ok(listing)) {
        record_segments(batch, value(listing).segments, value(listing).as_of);
    }
    co_return listing;
}

namespace {

void add_results(result_page& page, const std::vector<result_segment>& segments)
{
    std::size_t bytes = 0;
    for (const auto& segment : segments) {
        for (std::size_t index = 0; index < segment.results.size(); ++index) {
            const auto& entry = segment.results[index];
            const bool fits = page.results.empty() || bytes + entry.text.size() < max_page_bytes;
            if (segment.first + index == page.first + page.results.size() && fits) {
                bytes += entry.text.size() + entry.id.size();
                page.results.push_back(entry);
            }
        }
    }
}

/// Fails if any segment cannot be decoded.
result<std::vector<result_segment>> segments_of(const object_changes& changes)
{
    std::vector<result_segment> segments;
    for (const auto& change : changes.events) {
        if (change.removed) {
            continue;
        }
        auto segment = segment_from_json(change.object.name, change.object.value);
        if (!ok(segment)) {
            return failure(segment);
        }
        segments.push_back(std::move(value(segment)));
    }
    std::sort(segments.begin(), segments.end(), [](const result_segment& left, const result_segment& right) {
        return left.first < right.first;
    });
    return segments;
}

} // namespace

net::task<bool> batch_service::add_new_results(result_page& page, std::string batch, std::uint64_t since,
                                               time_point until)
{
    const auto left = std::chrono::duration_cast<milliseconds>(until - steady::now());
    const auto changed = co_await store_.watch(results_kind(batch), since, left);
    if (!ok(changed)) {
        co_return false;
    }
    const auto segments = segments_of(value(changed));
    if (!ok(segments)) {
        co_return false;
    }
    record_segments(batch, value(segments), value(changed).as_of);
    add_results(page, value(segments));
    co_return true;
}

net::task_of<result_page> batch_service::read(std::string batch, std::size_t first, milliseconds wait)
{
    const auto until = steady::now() + wait;
    const auto header = co_await find(batch);
    if (!ok(header)) {
        co_return failure(header);
    }
    result_page page;
    page.total = value(header).total;
    page.first = first;
    if (first >= page.total) {
        co_return page;
    }
    // A reader that resumes where the last response ended needs no listing: a watch from that response's
    // revision yields the newer results, with one call to the store instead of two.
    const auto since = empty_as_of(batch, first);
    bool received = false;
    if (since > 0 && wait > min_wait) {
        received = co_await add_new_results(page, batch, since, until);
    }
    if (received) {
        co_return page;
    }
    const auto listing = co_await segments_from(batch, first);
    if (!ok(listing)) {
        co_return failure(listing);
    }
    add_results(page, value(listing).segments);
    if (page.results.empty() && until - steady::now() > min_wait) {
        co_await add_new_results(page, batch, value(listing).as_of, until);
    }
    co_return page;
}

net::task_of<std::vector<batch_item>> batch_service::items_of(batch_header header)
{
    const auto cached = std::find_if(cache_.begin(), cache_.end(), [&header](const cached_items& entry) {
        return entry.batch == header.id;
    });
    if (cached != cache_.end()) {
        co_return cached->items;
    }
    auto read = co_await read_items(store_, header);
    if (!ok(read)) {
        co_return failure(read);
    }
    auto& items = value(read);
    cache_.push_front({header.id, items});
    if (cache_.size() > max_cached) {
        cache_.pop_back();
    }
    co_return items;
}

net::task_of<std::string> batch_service::item_body(std::string batch, std::string item)
{
    const auto header = co_await find(batch);
    if (!ok(header)) {
        co_return failure(header);
    }
    const auto items = co_await items_of(value(header));
    if (!ok(items)) {
        co_return failure(items);
    }
    for (const auto& entry : value(items)) {
        if (entry.id == item) {
            co_return decode_base64(entry.body_base64);
        }
    }
    co_return error{error_code::not_found, run_state::not_run, "no such item in the batch"};
}

net::task_of<done> batch_service::end(std::string batch)
{
    const auto header = co_await find(batch);
    if (!ok(header)) {
        co_return failure(header);
    }
    if (value(header).ended) {
        co_return done{};
    }
    const json status{{"ended", true}};
    auto ended = co_await store_.set_status(batch_kind, batch, status);
    if (!ok(ended)) {
        co_return failure(ended);
    }
    headers_.apply_own_write(std::move(value(ended)));
    co_return done{};
}

} // namespace vanillagauge::gateway
