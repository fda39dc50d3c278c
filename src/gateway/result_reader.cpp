#include "gateway/result_reader.hpp"

#include "gateway/untrusted_json.hpp"
#include "observe/log.hpp"

#include <algorithm>

namespace vanillagauge::gateway {

using nlohmann::json;

namespace {

/// Limits the results in one response.
constexpr std::size_t max_page_bytes = 900U << 10U;

/// Batches with known segment ends, a few dozen numbers each.
constexpr std::size_t max_known_results = 128;

/// A shorter wait for results is not worth a call to the store.
constexpr milliseconds min_wait{50};

/// The owner's confirmation that there are no further results is this much older at most when it arrives.
constexpr milliseconds owner_margin{400};

/// Bounds the time that a peer's read is held.
constexpr milliseconds max_owner_wait{2000};

struct owner_read {
    std::string batch;
    std::size_t first = 0;
    milliseconds wait{0};
};

json to_json(const owner_read& wanted)
{
    return {{"batch", wanted.batch}, {"first", wanted.first}, {"wait_ms", wanted.wait.count()}};
}

result<owner_read> owner_read_from_json(const json& text)
{
    const error unreadable{error_code::invalid_argument, run_state::not_run,
                           "cannot decode a read of results"};
    return decode<owner_read>(text, unreadable, [](const json& from) {
        return owner_read{from.at("batch").get<std::string>(), integer_at<std::size_t>(from, "first"),
                          milliseconds_at(from, "wait_ms", milliseconds{0}, max_owner_wait)};
    });
}

/// Adds the results that continue the page, as many as one response may hold; at least one.
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

} // namespace

result_reader::result_reader(peer_relay& store, batch_runner& runner, const fleet_view& fleet)
    : store_(store), runner_(runner), fleet_(fleet)
{
}

void result_reader::record_segments(const std::string& batch, const std::vector<result_segment>& segments,
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

std::uint64_t result_reader::empty_as_of(const std::string& batch, std::size_t first) const
{
    const auto known = known_results_.find(batch);
    return known != known_results_.end() && known->second.end == first ? known->second.as_of : 0;
}

// Segments are named by their first position. A reader that resumes at a segment's end needs only the
// segments named after the preceding position; from any other position all are read.
net::task_of<segment_listing> result_reader::segments_from(std::string batch, std::size_t first)
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

net::task<bool> result_reader::add_new_results(result_page& page, std::string batch, std::uint64_t since,
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

net::task_of<std::vector<item_result>> result_reader::ask_owner(const batch_header& header, std::size_t first,
                                                                time_point until)
{
    const auto owner = fleet_.owner_of(header.owner_vm, header.owner_incarnation, owner_key(header));
    if (owner == fleet_.self()) {
        co_return co_await runner_.read_results(header.id, first, until);
    }
    const auto* peer = fleet_.find_peer(owner);
    if (peer == nullptr || peer->relay_address.empty()) {
        co_return error{error_code::unavailable, run_state::not_run, "the owner is not known"};
    }
    const auto now = steady::now();
    auto wanted = to_json({header.id, first, milliseconds_between(now, until)});
    const auto answer = co_await store_.call_peer(peer->relay_address, results_path, std::move(wanted),
                                                  std::max(now, until) + owner_margin);
    if (!ok(answer)) {
        co_return failure(answer);
    }
    auto segment = segment_from_json(segment_name(first), value(answer));
    if (!ok(segment)) {
        co_return failure(segment);
    }
    co_return std::move(value(segment).results);
}

net::task<net::http_response> result_reader::serve(const net::http_request& request)
{
    net::http_response response;
    const auto wanted = owner_read_from_json(parse_peer_json(request.body));
    if (!ok(wanted)) {
        observe::log(observe::log_level::warning, "results_call_refused",
                     {{"why", describe(failure(wanted))}});
        response.status = 400;
        response.body = failure(wanted).detail;
        co_return response;
    }
    const auto& read = value(wanted);
    const auto until = steady::now() + read.wait;
    const auto results = co_await runner_.read_results(read.batch, read.first, until);
    if (!ok(results)) {
        response.status = 503;
        response.body = failure(results).detail;
        co_return response;
    }
    result_page page;
    page.first = read.first;
    add_results(page, {{read.first, fleet_.self(), value(results)}});
    const result_segment segment{read.first, fleet_.self(), std::move(page.results)};
    response.body = gateway::to_json(segment).dump();
    co_return response;
}

net::task_of<result_page> result_reader::read(batch_header header, std::size_t first, milliseconds wait)
{
    const auto until = steady::now() + wait;
    result_page page;
    page.total = header.total;
    page.first = first;
    if (first >= page.total) {
        co_return page;
    }
    const auto owned = co_await ask_owner(header, first, until);
    if (ok(owned)) {
        add_results(page, {{first, {}, value(owned)}});
        co_return page;
    }
    co_return co_await read_store(header.id, std::move(page), until);
}

net::task_of<result_page> result_reader::read_store(std::string batch, result_page page, time_point until)
{
    // A reader that resumes where the last response ended needs no listing: a watch from that response's
    // revision yields the newer results, with one call to the store instead of two.
    const auto since = empty_as_of(batch, page.first);
    if (since > 0 && until - steady::now() > min_wait &&
        co_await add_new_results(page, batch, since, until)) {
        co_return page;
    }
    const auto listing = co_await segments_from(batch, page.first);
    if (!ok(listing)) {
        co_return failure(listing);
    }
    add_results(page, value(listing).segments);
    if (page.results.empty() && until - steady::now() > min_wait) {
        co_await add_new_results(page, batch, value(listing).as_of, until);
    }
    co_return page;
}

} // namespace vanillagauge::gateway
