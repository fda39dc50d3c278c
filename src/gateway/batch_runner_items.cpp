// The runs of items at replicas.
#include "gateway/internal/batch_run.hpp"
#include "observe/log.hpp"
#include "observe/trace.hpp"

#include <algorithm>

namespace vanillagauge::gateway {
namespace {

/// A full engine refuses until a request of its ends, which takes some hundred milliseconds.
constexpr milliseconds full_back_off{100};
/// A replica whose connection failed: crashed ones are back after some seconds.
constexpr milliseconds broken_back_off{500};

/// Many times what an engine takes for an event, or a load of weights holds a run up.
constexpr milliseconds silence{1000};
/// The first event may wait in the engine's line.
constexpr milliseconds first_silence{2000};

constexpr milliseconds connect_time{1000};

/// Before a scoring call is made again.
constexpr milliseconds score_pause{100};

net::http_request item_request(const batch_header& header, const batch_item& item)
{
    net::http_request request;
    request.method = "POST";
    request.target = item.path;
    request.fields.add("Host", header.host);
    for (const auto& field : item.fields) {
        request.fields.add(field.name, field.value);
    }
    // The body was checked when the batch was accepted.
    auto body = decode_base64(item.body_base64);
    request.body = ok(body) ? std::move(value(body)) : std::string{};
    return request;
}

} // namespace

net::task<void> batch_runner::run_item(run_ref batch, std::size_t place, target_ref at)
{
    const auto open = std::make_shared<stream>();
    open->at = at;
    open->began = steady::now();
    open->last_event = open->began;
    batch->streams[place] = open;
    observe::span hop(observe::trace_of(batch->progress.header().id), "item_run");
    hop.note("request_id", batch->progress.items()[place].item.id);
    hop.note("replica", at->info.instance_id());
    auto taken = co_await at->pool.take(steady::now() + connect_time);
    if (auto* connection = std::get_if<std::shared_ptr<net::http_connection>>(&taken)) {
        open->connection = *connection;
        if (!batch->ended && batch->progress.items()[place].state == work_state::running) {
            co_await read_answer(batch, place, at, open);
        }
    }
    else {
        at->back_off_until = steady::now() + broken_back_off;
        batch->progress.release(place, {}, at->info.instance_id());
    }
    --at->streams;
    batch->streams.erase(place);
    batch->changed.notify();
}

void batch_runner::take_failure(run& batch, std::size_t place, target_ref at, int status, bool not_run)
{
    const auto now = steady::now();
    const auto& item = batch.progress.items()[place].item;
    if (not_run) {
        at->back_off_until = now + full_back_off;
        batch.progress.release(place, {}, at->info.instance_id());
        return;
    }
    observe::log(observe::log_level::warning, "item_failed",
                 {{"request", item.id},
                  {"batch", batch.progress.header().id},
                  {"replica", at->info.instance_id()},
                  {"status", std::int64_t{status}}});
    constexpr int never = 422;
    constexpr int attempt_failed = 500;
    if (status == never || (status == attempt_failed && batch.progress.fail_attempt(place))) {
        batch.progress.terminate(place);
        return;
    }
    batch.progress.release(place, now + full_back_off, at->info.instance_id());
}

void batch_runner::log_completed(const batch_progress& progress, std::size_t place, const stream& open) const
{
    const auto& entry = progress.items()[place];
    const auto run_ms = std::chrono::duration_cast<milliseconds>(steady::now() - open.began);
    const auto age_ms = std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now() -
                                                                 progress.header().accepted);
    observe::log(observe::log_level::info, "item_completed",
                 {{"request", entry.item.id},
                  {"batch", progress.header().id},
                  {"replica", open.at->info.instance_id()},
                  {"runs", std::int64_t{entry.runs}},
                  {"events", static_cast<std::int64_t>(entry.events)},
                  {"run_ms", std::int64_t{run_ms.count()}},
                  {"age_ms", std::int64_t{age_ms.count()}},
                  {"newest_version", static_cast<std::int64_t>(entry.current_version)}});
}

// The calls of a group that waits for nothing else go first: a trainer takes whole groups. A call that fails
// for good ends its item; the trainer hears of it at once instead of waiting for a score that never comes.
net::task<void> batch_runner::score_item(run_ref batch, std::size_t place)
{
    auto& progress = batch->progress;
    const auto& entry = progress.items()[place];
    const auto began = steady::now();
    int internal_errors = 0;
    int calls = 0;
    while (!batch->ended && entry.state == work_state::scoring) {
        const auto ticket = std::make_shared<cancellation_token>();
        batch->scoring_calls[place] = ticket;
        const bool last = progress.open_in_group(place) <= 1;
        const auto urgency = last ? policy::priority::gate : policy::priority::member;
        const auto outcome = co_await scorer_.score(*entry.item.scoring, urgency, ticket);
        batch->scoring_calls.erase(place);
        ++calls;
        internal_errors += outcome.internal_errors;
        const bool scored = ok(outcome.score);
        const auto most_errors = std::max(outcome.most_internal_errors, progress.header().attempts);
        const bool hopeless = !scored && internal_errors >= most_errors;
        if (scored) {
            progress.take_score(place, value(outcome.score));
        }
        else if (hopeless) {
            progress.terminate(place);
        }
        const auto took = std::chrono::duration_cast<milliseconds>(steady::now() - began);
        observe::log(
            scored ? observe::log_level::info : observe::log_level::warning, "item_scored",
            {{"request", entry.item.id},
             {"batch", progress.header().id},
             {"scoring_call", entry.item.scoring->id},
             {"calls", std::int64_t{calls}},
             {"internal_errors", std::int64_t{internal_errors}},
             {"took_ms", std::int64_t{took.count()}},
             {"outcome", scored ? std::string("scored")
                                : (hopeless ? "given up: " : "") + describe(failure(outcome.score))}});
        if (!scored && !hopeless) {
            co_await net::sleep_for(loop_, score_pause);
        }
    }
    batch->changed.notify();
}

// The text of an item may be made by several runs, each asked to go on behind the event that stands here.
// What does not continue it is dropped with its connection.
net::task<void> batch_runner::read_answer(run_ref batch, std::size_t place, target_ref at,
                                          std::shared_ptr<stream> open)
{
    auto& progress = batch->progress;
    const auto instance_id = at->info.instance_id();
    const auto& item = progress.items()[place].item;
    attempt_request sent;
    sent.attempt_id = item.id;
    sent.replica_id = at->info.id;
    sent.resume_after = progress.items()[place].last_event;
    const auto request = protocol_.replica_request(item_request(progress.header(), item), sent);
    auto& connection = *open->connection;
    const auto written = co_await connection.send(request, steady::now() + connect_time);
    net::http_result<net::response_head> read = net::http_failure{};
    if (std::holds_alternative<done>(written)) {
        read = co_await connection.read_head(steady::now() + first_silence);
    }
    const auto* head = std::get_if<net::response_head>(&read);
    if (head == nullptr) {
        if (!connection.reused()) {
            at->back_off_until = steady::now() + broken_back_off;
        }
        progress.release(place, {}, instance_id);
        co_return;
    }
    const auto marks = protocol_.parse_metadata(head->status, head->fields, sent.attempt_id);
    if (marks.weights_version > 0) {
        at->record_version(progress.header().model, marks.weights_version);
    }
    const auto idle = head->keep_alive ? net::idle_time_of(head->fields, seconds(4)) : duration{0};
    if (head->status != 200 || marks.not_run) {
        const auto status = head->status;
        const auto rest = co_await connection.read_body(64U << 10U, steady::now() + connect_time);
        if (std::holds_alternative<std::string>(rest)) {
            at->pool.give_back(open->connection, idle);
        }
        take_failure(*batch, place, at, status, marks.not_run);
        co_return;
    }
    const bool sound = marks.echoes_attempt && !marks.authentication_code.empty();
    const auto began = sound ? progress.begin_run(place, marks.weights_version) : run_break::wrong_event;
    if (began != run_break::none) {
        if (began == run_break::mixed_weights) {
            progress.restart(place);
        }
        connection.close();
        progress.release(place, steady::now() + full_back_off, instance_id);
        co_return;
    }
    const bool whole = co_await read_events(batch, place, open);
    if (whole) {
        at->pool.give_back(open->connection, idle);
        co_return;
    }
    connection.close();
    progress.release(place, {}, instance_id);
}

// True where the text is whole.
net::task<bool> batch_runner::read_events(run_ref batch, std::size_t place, std::shared_ptr<stream> open)
{
    auto& progress = batch->progress;
    auto& connection = *open->connection;
    const auto at = open->at;
    const auto instance_id = at->info.instance_id();
    net::event_reader reader;
    while (!batch->ended && progress.items()[place].state == work_state::running) {
        const auto patience = open->heard ? silence : first_silence;
        auto piece = co_await connection.read_piece(steady::now() + patience);
        auto* bytes = std::get_if<net::body_piece>(&piece);
        if (bytes == nullptr || progress.items()[place].state != work_state::running) {
            break;
        }
        for (const auto& event : reader.take(bytes->bytes)) {
            const auto broken = progress.take_event(place, event, protocol_.weights_version(event));
            if (broken != run_break::none) {
                progress.restart(place);
                progress.release(place, steady::now() + full_back_off, instance_id);
                co_return false;
            }
            const auto now = steady::now();
            if (open->heard) {
                at->record_event_gap(now - open->last_event);
            }
            open->heard = true;
            open->last_event = now;
        }
        if (bytes->last && !reader.mid_event()) {
            at->record_version(progress.header().model, progress.items()[place].current_version);
            log_completed(progress, place, *open);
            progress.complete(place);
            if (progress.items()[place].state == work_state::scoring) {
                net::start(loop_, score_item(batch, place));
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
