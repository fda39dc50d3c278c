// Speculative batches: they run before they are stored.
#include "gateway/internal/batch_attempt.hpp"
#include "gateway/untrusted_json.hpp"
#include "observe/log.hpp"

#include <algorithm>
#include <iterator>

namespace vanillagauge::gateway {

using nlohmann::json;

namespace {

/// A batch that is not stored within this time is run speculatively.
constexpr milliseconds speculation_delay{500};
/// A speculative batch is dropped this long after its trainer last submitted it.
constexpr milliseconds speculation_timeout{4000};
constexpr milliseconds speculation_call_timeout{1500};
constexpr milliseconds query_timeout{500};

/// Long enough for a slow store.
constexpr milliseconds store_check_timeout{450};

result<batch_submission> submission_from_json(const json& from)
{
    const error unreadable{error_code::invalid_argument, run_state::not_run,
                           "cannot decode a speculative batch"};
    return decode<batch_submission>(from, unreadable, [](const json& text) -> result<batch_submission> {
        auto header = header_from_json(text.at("id").get<std::string>(), text.at("header"), json());
        if (!ok(header)) {
            return failure(header);
        }
        batch_submission submission;
        submission.header = std::move(value(header));
        auto items = items_from_parts(text.at("parts"));
        if (!ok(items)) {
            return failure(items);
        }
        submission.items = std::move(value(items));
        return submission;
    });
}

} // namespace

// A store that responds accepts a batch within a fraction of the delay.
net::task<void> batch_service::speculate_when_slow(std::shared_ptr<attempt> current)
{
    co_await net::sleep_for(loop_, speculation_delay);
    auto& header = current->submission.header;
    if (current->outcome || current->storing_header || headers_.objects().contains(header.id)) {
        co_return;
    }
    current->speculative = true;
    co_await send_speculative(current);
}

// None if it is this gateway.
std::optional<gateway_peer> batch_service::other_owner(const batch_header& header) const
{
    const auto& ranked = fleet_.ranked_owners(owner_key(header));
    if (ranked.empty() || ranked.front() == fleet_.self()) {
        return std::nullopt;
    }
    const auto* owner = fleet_.find_peer(ranked.front());
    return owner != nullptr ? std::optional(*owner) : std::nullopt;
}

// A refusal guarantees that no part of the batch runs, but the trainer may have submitted it to another
// gateway before. A peer that does not respond may be running it.
net::task<bool> batch_service::runs_speculatively(const batch_header& header)
{
    if (speculative_until_.contains(header.id)) {
        co_return true;
    }
    const auto owner = other_owner(header);
    if (!owner) {
        co_return false;
    }
    json body{{"id", header.id}};
    const auto reply = co_await store_.call_peer(owner->relay_address, speculative_path, std::move(body),
                                                 steady::now() + query_timeout);
    co_return !ok(reply) || member_or_null(value(reply), "runs") != json(false);
}

// The trainer may submit the batch to several gateways in turn. All choose the same one to run it, so that
// the engines do the work once.
net::task<void> batch_service::send_speculative(std::shared_ptr<attempt> current)
{
    auto& header = current->submission.header;
    const auto owner = other_owner(header);
    if (!owner) {
        run_speculative(current->submission);
        co_return;
    }
    json body{{"id", header.id},
              {"header", to_json(header)},
              {"parts", to_parts(current->submission.items, max_part_bytes)}};
    const auto reply = co_await store_.call_peer(owner->relay_address, speculative_path, std::move(body),
                                                 steady::now() + speculation_call_timeout);
    if (ok(reply) && !current->storing_header) {
        header.owner_vm = owner->vm;
        header.owner_incarnation = owner->incarnation;
    }
    observe::log(ok(reply) ? observe::log_level::info : observe::log_level::warning, "batch_sent_ahead",
                 {{"batch", header.id},
                  {"to", owner->vm},
                  {"outcome", ok(reply) ? std::string("accepted") : describe(failure(reply))}});
}

net::http_response batch_service::serve_speculative(const net::http_request& request)
{
    net::http_response response;
    const auto body = parse_peer_json(request.body);
    const auto batch = string_or_empty(body, "id");
    if (member_or_null(body, "header").is_null() && !batch.empty()) {
        response.body = json{{"runs", speculative_until_.contains(batch)}}.dump();
        return response;
    }
    response.body = "{}";
    auto read = submission_from_json(body);
    if (!ok(read)) {
        observe::log(observe::log_level::warning, "ahead_call_refused", {{"why", describe(failure(read))}});
        response.status = 400;
        response.body = failure(read).detail;
        return response;
    }
    if (!runner_.starts_batches()) {
        response.status = 503;
        return response;
    }
    if (!run_speculative(std::move(value(read)))) {
        response.status = 503;
    }
    return response;
}

bool batch_service::run_speculative(batch_submission submission)
{
    auto& header = submission.header;
    if (headers_.objects().contains(header.id)) {
        return true;
    }
    const auto until = steady::now() + speculation_timeout;
    if (const auto running = speculative_until_.find(header.id); running != speculative_until_.end()) {
        running->second = until;
        return true;
    }
    const auto current = std::make_shared<attempt>(loop_);
    current->room = storing_room(submission.items);
    held_items held{submission.items, runner_.room_for(bytes_of(submission.items))};
    if (!runner_.may_run_more(0) || !current->room || !held.room) {
        runner_.count_refusal();
        return false;
    }
    speculative_until_[header.id] = until;
    header.owner_vm = fleet_.self();
    header.owner_incarnation = fleet_.incarnation();
    runner_.run_speculative(header, std::move(held));
    current->submission = std::move(submission);
    net::start(loop_, resolve_speculative(current));
    return true;
}

net::task<void> batch_service::resolve_speculative(std::shared_ptr<attempt> current)
{
    const auto id = current->submission.header.id;
    // After this the trainer has most probably abandoned the batch, and would not end it if it were stored.
    const auto last = steady::now() + current->submission.header.result_time;
    while (!headers_.objects().contains(id) && steady::now() < std::min(last, speculative_until_[id])) {
        // A short check detects a recovered store sooner than a hanging write.
        const auto reachable = co_await store_.ping(batch_kind, store_check_timeout);
        if (!ok(reachable)) {
            co_await net::sleep_for(loop_, retry_interval);
            continue;
        }
        const auto stored = co_await store_batch(current, steady::now() + resolve_timeout);
        if (ok(stored)) {
            break;
        }
        co_await net::sleep_for(loop_, retry_interval);
    }
    // If the header exists, the feed delivers it with its owner.
    while (!headers_.objects().contains(id) && steady::now() < speculative_until_[id]) {
        co_await net::sleep_for(loop_, retry_interval);
    }
    speculative_until_.erase(id);
    runner_.drop_speculative(id);
}

} // namespace vanillagauge::gateway
