// Runs items at replicas.
#include "gateway/internal/batch_run.hpp"
#include "gateway/internal/foreign_response.hpp"
#include "observe/log.hpp"
#include "observe/trace.hpp"

#include <algorithm>

namespace vanillagauge::gateway {
namespace {

/// An engine at its capacity refuses until a request ends, typically within some hundred milliseconds.
constexpr milliseconds overload_backoff{100};
/// After a failed connection; a crashed replica takes some seconds to return.
constexpr milliseconds failure_backoff{500};

/// Many times the interval between events, and longer than loading weights suspends a run.
constexpr milliseconds event_timeout{1000};
/// The first event may wait in the engine's queue.
constexpr milliseconds first_event_timeout{2000};

/// Between two events, while other bytes arrive.
constexpr milliseconds max_event_gap{5000};

constexpr milliseconds connect_timeout{1000};

constexpr milliseconds scoring_retry_delay{100};

net::http_request item_request(const batch_header& header, const batch_item& item)
{
    net::http_request request;
    request.method = "POST";
    request.target = item.path;
    request.fields.add("Host", header.host);
    for (const auto& field : item.fields) {
        request.fields.add(field.name, field.value);
    }
    // The encoding was checked when the batch was accepted.
    auto body = decode_base64(item.body_base64);
    request.body = ok(body) ? std::move(value(body)) : std::string{};
    return request;
}

} // namespace

net::task<void> batch_runner::run_item(batch_run_ref batch, std::size_t index, target_ref engine)
{
    const auto run = std::make_shared<item_run>();
    run->engine = engine;
    run->began = steady::now();
    run->last_event = run->began;
    batch->item_runs[index] = run;
    observe::span hop(observe::trace_from_id(batch->progress.header().id), "item_run");
    hop.set_attribute("request_id", batch->progress.items()[index].item.id);
    hop.set_attribute("replica", engine->info.instance_id());
    const auto until = steady::now() + connect_timeout;
    auto taken = co_await engine->pool.acquire(until, batch->progress.items()[index].item.id);
    const auto* connection = std::get_if<std::shared_ptr<net::http_connection>>(&taken);
    if (connection == nullptr) {
        engine->back_off_until = steady::now() + failure_backoff;
        batch->progress.release(index, {}, engine->info.instance_id());
    }
    else if (!co_await targets_.may_send(engine, until)) {
        batch->progress.release(index, {}, engine->info.instance_id());
    }
    else if (!batch->ended && batch->progress.items()[index].state == work_state::running) {
        run->connection = *connection;
        co_await read_answer(batch, index, engine, run);
    }
    --engine->streams;
    batch->item_runs.erase(index);
    wake(*batch);
}

std::vector<policy::engine_use> batch_runner::engine_uses() const
{
    std::map<std::string, policy::engine_use> uses;
    // Streams of a batch that has ended still use their places until their connections are closed.
    for (const auto& engine : targets_.all()) {
        if (engine->streams > 0) {
            const auto instance_id = engine->info.instance_id();
            uses[instance_id] = {instance_id, engine->streams, 0};
        }
    }
    for (const auto& [id, batch] : active_) {
        if (!batch) {
            continue;
        }
        for (const auto& [index, run] : batch->item_runs) {
            const auto use = uses.find(run->engine->info.instance_id());
            if (use != uses.end()) {
                const auto left = policy::likely_events_left(batch->progress.length_of(index));
                use->second.events_left += left.value_or(0);
            }
        }
    }
    std::vector<policy::engine_use> listed;
    listed.reserve(uses.size());
    for (auto& [engine, use] : uses) {
        listed.push_back(std::move(use));
    }
    return listed;
}

std::map<std::string, std::set<std::string>> batch_runner::open_owners() const
{
    std::map<std::string, std::set<std::string>> owners;
    for (const auto& [id, header] : headers_) {
        if (!header.ended && fleet_.is_alive(header.owner_vm, header.owner_incarnation)) {
            owners[header.service].insert(header.owner_vm);
        }
    }
    return owners;
}

void batch_runner::handle_failure(batch_run& batch, std::size_t index, target_ref engine, int status,
                                  bool not_run)
{
    const auto now = steady::now();
    const auto& item = batch.progress.items()[index].item;
    if (not_run) {
        engine->back_off_until = now + overload_backoff;
        batch.progress.refuse(index, now, engine->info.instance_id());
        return;
    }
    observe::log(observe::log_level::warning, "item_failed",
                 {{"request", item.id},
                  {"batch", batch.progress.header().id},
                  {"replica", engine->info.instance_id()},
                  {"status", std::int64_t{status}}});
    constexpr int never = 422;
    constexpr int attempt_failed = 500;
    if (status == never || (status == attempt_failed && batch.progress.fail_attempt(index))) {
        batch.progress.terminate(index);
        return;
    }
    batch.progress.release(index, now + overload_backoff, engine->info.instance_id());
}

void batch_runner::log_completed(const batch_progress& progress, std::size_t index, const item_run& run) const
{
    const auto& entry = progress.items()[index];
    const auto run_ms = std::chrono::duration_cast<milliseconds>(steady::now() - run.began);
    const auto age_ms = std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now() -
                                                                 progress.header().accepted);
    observe::log(observe::log_level::info, "item_completed",
                 {{"request", entry.item.id},
                  {"batch", progress.header().id},
                  {"replica", run.engine->info.instance_id()},
                  {"runs", std::int64_t{entry.runs}},
                  {"events", static_cast<std::int64_t>(entry.events)},
                  {"run_ms", std::int64_t{run_ms.count()}},
                  {"age_ms", std::int64_t{age_ms.count()}},
                  {"newest_version", static_cast<std::int64_t>(entry.current_version)}});
}

void batch_runner::log_interrupted(const batch_progress& progress, std::size_t index, const item_run& run,
                                   const net::http_failure& why) const
{
    const auto silent_ms = std::chrono::duration_cast<milliseconds>(steady::now() - run.last_event);
    observe::log(observe::log_level::warning, "item_interrupted",
                 {{"request", progress.items()[index].item.id},
                  {"batch", progress.header().id},
                  {"replica", run.engine->info.instance_id()},
                  {"events", static_cast<std::int64_t>(progress.items()[index].events)},
                  {"silent_ms", std::int64_t{silent_ms.count()}},
                  {"why", std::string(net::name(why.kind)) + ", " + why.detail}});
}

// Calls that complete a group get the higher priority, since a trainer consumes whole groups. A permanent
// failure terminates the item, so that the trainer does not wait for its score.
net::task<void> batch_runner::score_item(batch_run_ref batch, std::size_t index)
{
    auto& progress = batch->progress;
    const auto& entry = progress.items()[index];
    const auto began = steady::now();
    int internal_errors = 0;
    int calls = 0;
    while (!batch->ended && entry.state == work_state::scoring) {
        const auto cancellation = std::make_shared<cancellation_token>();
        batch->scoring_calls[index] = cancellation;
        const bool last = progress.open_in_group(index) <= 1;
        const auto urgency = last ? policy::priority::gate : policy::priority::member;
        const auto outcome = co_await scorer_.score(*entry.item.scoring, urgency, cancellation);
        batch->scoring_calls.erase(index);
        ++calls;
        internal_errors += outcome.internal_errors;
        const bool scored = ok(outcome.score);
        const auto max_errors = std::max(outcome.max_internal_errors, progress.header().attempts);
        const bool permanent = !scored && internal_errors >= max_errors;
        if (scored) {
            progress.set_score(index, value(outcome.score));
        }
        else if (permanent) {
            progress.terminate(index);
        }
        const auto took = std::chrono::duration_cast<milliseconds>(steady::now() - began);
        observe::log(scored ? observe::log_level::info : observe::log_level::warning, "item_scored",
                     {{"request", entry.item.id},
                      {"batch", progress.header().id},
                      {"scoring_call", entry.item.scoring->id},
                      {"calls", std::int64_t{calls}},
                      {"internal_errors", std::int64_t{internal_errors}},
                      {"took_ms", std::int64_t{took.count()}},
                      {"outcome", scored ? std::string("scored")
                                         : (permanent ? "failed permanently: " : "") +
                                               describe(failure(outcome.score))}});
        if (!scored && !permanent) {
            co_await net::sleep_for(loop_, scoring_retry_delay);
        }
    }
    wake(*batch);
}

// The request ends with this task: its body would be held beside the item for as long as the stream lasts.
net::task<net::http_result<done>> batch_runner::send_item(batch_run_ref batch, std::size_t index,
                                                          std::shared_ptr<item_run> run, attempt_request sent)
{
    const auto& progress = batch->progress;
    const auto request =
        protocol_.replica_request(item_request(progress.header(), progress.items()[index].item), sent);
    co_return co_await run->connection->send(request, steady::now() + connect_timeout);
}

// Several runs may generate one text, each requested to resume after the last event received here. A response
// that does not continue the text is dropped together with its connection.
net::task<void> batch_runner::read_answer(batch_run_ref batch, std::size_t index, target_ref engine,
                                          std::shared_ptr<item_run> run)
{
    auto& progress = batch->progress;
    const auto instance_id = engine->info.instance_id();
    const auto& item = progress.items()[index].item;
    attempt_request sent;
    sent.attempt_id = item.id;
    sent.replica_id = engine->info.id;
    sent.organisation = progress.header().organisation;
    sent.resume_after = progress.items()[index].last_event;
    auto& connection = *run->connection;
    const auto written = co_await send_item(batch, index, run, sent);
    net::http_result<net::response_head> read = net::http_failure{};
    if (std::holds_alternative<done>(written)) {
        read = co_await connection.read_head(steady::now() + first_event_timeout);
    }
    const auto* head = std::get_if<net::response_head>(&read);
    if (head == nullptr) {
        const auto* unsent = std::get_if<net::http_failure>(&written);
        log_interrupted(progress, index, *run, unsent ? *unsent : std::get<net::http_failure>(read));
        if (!connection.reused()) {
            engine->back_off_until = steady::now() + failure_backoff;
        }
        progress.release(index, {}, instance_id);
        co_return;
    }
    const auto marks = protocol_.parse_metadata(head->status, head->fields, sent.attempt_id);
    // A late second copy of an earlier response on this connection says nothing about this item, whatever its
    // status: taken for its own, a 422 would terminate it for good.
    if (!marks.answers_attempt(connection.reused())) {
        report_foreign_response(counts_, item.id, instance_id, head->status);
        connection.close();
        progress.release(index, {}, instance_id);
        co_return;
    }
    if (marks.load) {
        engines_.observe_load(*engine, *marks.load, steady::now());
    }
    if (marks.weights_version > 0) {
        engine->record_version(progress.header().model, marks.weights_version);
    }
    const auto idle = head->keep_alive ? net::idle_time_of(head->fields, seconds(4)) : duration{0};
    if (head->status != 200 || marks.not_run) {
        const auto status = head->status;
        const auto rest = co_await connection.read_body(64U << 10U, steady::now() + connect_timeout);
        if (std::holds_alternative<std::string>(rest)) {
            engine->pool.release(run->connection, idle);
        }
        handle_failure(*batch, index, engine, status, marks.not_run);
        co_return;
    }
    const bool sound = !marks.authentication_code.empty();
    const auto began = sound ? progress.begin_run(index, marks.weights_version) : run_rejection::wrong_event;
    if (began != run_rejection::none) {
        if (began == run_rejection::mixed_weights) {
            progress.discard_text(index);
        }
        connection.close();
        progress.release(index, steady::now() + overload_backoff, instance_id);
        co_return;
    }
    const bool complete = co_await read_events(batch, index, run);
    if (complete) {
        engine->pool.release(run->connection, idle);
        co_return;
    }
    connection.close();
    progress.release(index, {}, instance_id);
}

// True if the text is complete.
net::task<bool> batch_runner::read_events(batch_run_ref batch, std::size_t index,
                                          std::shared_ptr<item_run> run)
{
    auto& progress = batch->progress;
    auto& connection = *run->connection;
    const auto engine = run->engine;
    const auto instance_id = engine->info.instance_id();
    net::event_reader reader;
    while (!batch->ended && progress.items()[index].state == work_state::running) {
        const auto timeout = run->received_event ? event_timeout : first_event_timeout;
        auto piece = co_await connection.read_piece(steady::now() + timeout);
        auto* bytes = std::get_if<net::body_piece>(&piece);
        if (const auto* failed = std::get_if<net::http_failure>(&piece)) {
            log_interrupted(progress, index, *run, *failed);
        }
        if (bytes == nullptr || progress.items()[index].state != work_state::running) {
            break;
        }
        for (const auto& event : reader.feed(bytes->bytes)) {
            const auto broken = progress.append_event(index, event, protocol_.weights_version(event));
            if (broken != run_rejection::none) {
                progress.discard_text(index);
                progress.release(index, steady::now() + overload_backoff, instance_id);
                co_return false;
            }
            const auto now = steady::now();
            if (run->received_event) {
                engine->record_event_gap(now - run->last_event);
            }
            run->received_event = true;
            run->last_event = now;
        }
        // A faulty engine may send bytes without end that complete no event.
        if (reader.too_long() || steady::now() - run->last_event > max_event_gap) {
            break;
        }
        if (bytes->last && !reader.has_partial_event()) {
            engine->record_version(progress.header().model, progress.items()[index].current_version);
            log_completed(progress, index, *run);
            progress.complete(index);
            if (progress.items()[index].state == work_state::scoring) {
                net::start(loop_, score_item(batch, index));
            }
            counts_.add("items_completed_total");
            co_return true;
        }
        if (bytes->last) {
            break;
        }
    }
    co_return false;
}

} // namespace vanillagauge::gateway
