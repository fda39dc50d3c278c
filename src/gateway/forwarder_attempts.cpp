// Attempts at a single replica.
#include "gateway/internal/foreign_response.hpp"
#include "gateway/internal/forwarded_call.hpp"
#include "observe/log.hpp"
#include "policy/stream_silence.hpp"

#include <algorithm>

namespace vanillagauge::gateway {
namespace {

constexpr std::size_t max_response_bytes = 64U << 20U;

/// For a replica that sends no Keep-Alive timeout.
constexpr milliseconds default_idle_timeout{4000};

net::http_fields end_to_end_fields(const net::http_fields& fields)
{
    net::http_fields kept;
    const auto connection = fields.find("Connection");
    for (const auto& field : fields.all()) {
        if (!net::is_hop_by_hop(field.name, connection)) {
            kept.add(field.name, field.value);
        }
    }
    return kept;
}

/// Splits a resumable stream at event boundaries: another replica could not complete a partial event.
class event_buffer {
public:
    /// Adds bytes and removes the text up to the end of the last complete event.
    std::string take(std::string_view bytes)
    {
        if (too_long()) {
            return {};
        }
        pending_ += bytes;
        const auto end = pending_.rfind("\n\n");
        if (end == std::string::npos) {
            return {};
        }
        auto complete = pending_.substr(0, end + 2);
        pending_.erase(0, end + 2);
        return complete;
    }
    bool has_partial_event() const { return !pending_.empty(); }
    bool too_long() const { return pending_.size() > net::event_reader::max_event_bytes; }

private:
    std::string pending_;
};

error connection_error(const net::http_failure& failed, bool repeatable)
{
    const auto ran = failed.sent ? run_state::in_doubt : run_state::not_run;
    if (failed.kind == net::failure_kind::cancelled) {
        return {error_code::cancelled, ran, "the client has left"};
    }
    const auto code = failed.kind == net::failure_kind::timeout && !repeatable ? error_code::deadline_exceeded
                                                                               : error_code::unavailable;
    return {code, ran,
            std::string("connection to the replica failed: ") + net::name(failed.kind) + ", " +
                failed.detail};
}

} // namespace

// What the caller has not read counts as held by its connection. An item's text is held by its batch.
net::room_taker forwarder::room_for(const call& current)
{
    if (current.answer == nullptr) {
        return nullptr;
    }
    return [answer = current.answer](std::size_t bytes) { return answer->take_room(bytes); };
}

// A call of an item is made again for as long as its batch is open: it is owed, and is never the request that
// crashes its replicas.
result<done> forwarder::check_crashes(const call& current) const
{
    return current.internal() ? done{} : crashes_.check(current.fingerprint, steady::now());
}

void forwarder::record_crash(const call& current, bool reused)
{
    if (current.internal()) {
        return;
    }
    const auto now = steady::now();
    if (reused) {
        crashes_.on_possible_crash(current.fingerprint, now);
    }
    else {
        crashes_.on_crash(current.fingerprint, current.replica, current.sent_at, now);
    }
    observe::log(observe::log_level::warning, "replica_lost_under_request",
                 {{"request", current.request.attempt_id},
                  {"replica", current.replica},
                  {"certain", std::int64_t{reused ? 0 : 1}},
                  {"held", std::int64_t{ok(crashes_.check(current.fingerprint, now)) ? 0 : 1}}});
}

// Opens a connection, sends the request and reads the response head. Drops a response with another request's
// id, and a success without the replica's authentication code, and closes the connection.
net::task<forwarder::attempt_outcome>
forwarder::open_answer(call& current, target_ref at, time_point until,
                       std::shared_ptr<net::http_connection>& connection, net::response_head& head)
{
    attempt_outcome outcome;
    // A replica may close a pooled connection while the request is in flight, which leaves its execution in
    // doubt. So only repeatable requests reuse one, and none suspected of crashing replicas.
    const bool may_reuse = current.repeatable() && !crashes_.is_suspect(current.fingerprint, steady::now());
    const auto& id = current.request.attempt_id;
    auto connecting = may_reuse ? at->pool.acquire(until, id) : at->pool.acquire_new(until, id);
    auto taken = co_await std::move(connecting);
    if (const auto* failed = std::get_if<net::http_failure>(&taken)) {
        outcome.result = connection_error(*failed, current.repeatable());
        co_return outcome;
    }
    connection = std::get<std::shared_ptr<net::http_connection>>(taken);
    if (!co_await targets_.may_send(at, until)) {
        co_return attempt_outcome::left();
    }
    if (current.client_gone) {
        outcome.result = error{error_code::cancelled, run_state::not_run, "the client has left"};
        co_return outcome;
    }
    current.connection = connection;
    attempt_request sent;
    sent.attempt_id = current.request.attempt_id;
    sent.replica_id = at->info.id;
    sent.organisation = current.request.acts_for ? current.request.acts_for->name : std::string{};
    sent.time_left = milliseconds_between(steady::now(), current.deadline);
    sent.resume_after = current.last_event;
    auto request = protocol_.replica_request(net::head_of(current.request.http), sent);
    if (request.fields.contains(observe::traceparent_header)) {
        request.fields.set(observe::traceparent_header, observe::traceparent(current.attempt_context));
    }
    current.sent = true;
    current.sent_at = steady::now();
    current.sent_wall = std::chrono::system_clock::now();
    const auto written = co_await connection->send(request, current.request.http.body, until);
    outcome.reused_connection = connection->reused(); // counts the request just sent
    if (!outcome.reused_connection) {
        counts_.add("replica_connections_total");
    }
    // A replica may respond and close before reading all of a long body; that response is valid.
    const auto* unwritten = std::get_if<net::http_failure>(&written);
    if (unwritten != nullptr && unwritten->kind != net::failure_kind::closed) {
        outcome.result = connection_error(*unwritten, current.repeatable());
        co_return outcome;
    }
    auto read = co_await connection->read_head(until);
    if (const auto* failed = std::get_if<net::http_failure>(&read)) {
        if (failed->kind == net::failure_kind::closed) {
            outcome.closed = true;
            record_crash(current, connection->reused());
        }
        outcome.result = connection_error(*failed, current.repeatable());
        co_return outcome;
    }
    head = std::move(std::get<net::response_head>(read));
    const auto marks = protocol_.parse_metadata(head.status, head.fields, current.request.attempt_id);
    if (!marks.answers_attempt(connection->reused())) {
        report_foreign_response(counts_, current.request.attempt_id, current.replica, head.status);
        connection->close();
        outcome.result =
            error{error_code::incomplete, run_state::in_doubt, "the response belongs to another request"};
        co_return outcome;
    }
    const bool success = head.status >= 200 && head.status < 300;
    if (success && !marks.not_run && marks.authentication_code.empty()) {
        connection->close();
        outcome.result =
            error{error_code::incomplete, run_state::in_doubt, "the response has no authentication code"};
        co_return outcome;
    }
    outcome.load = marks.load;
    outcome.not_run = marks.not_run;
    outcome.result = net::http_response{head.status, end_to_end_fields(head.fields), {}};
    co_return outcome;
}

net::task<forwarder::attempt_outcome> forwarder::attempt(call& current, target_ref at, time_point until)
{
    std::shared_ptr<net::http_connection> connection;
    net::response_head head;
    auto outcome = co_await open_answer(current, at, until, connection, head);
    if (std::holds_alternative<net::http_response>(outcome.result)) {
        auto reading = connection->read_body(max_response_bytes, until, room_for(current));
        auto body = co_await std::move(reading);
        if (const auto* failed = std::get_if<net::http_failure>(&body)) {
            outcome.result = connection_error(*failed, current.repeatable());
        }
        else {
            std::get<net::http_response>(outcome.result).body = std::move(std::get<std::string>(body));
            if (!outcome.not_run) {
                crashes_.on_answer(current.fingerprint, steady::now());
            }
            at->pool.release(connection, head.keep_alive
                                             ? net::idle_time_of(head.fields, default_idle_timeout)
                                             : duration{0});
        }
    }
    current.connection.reset();
    co_return outcome;
}

net::task<forwarder::attempt_outcome> forwarder::stream(call& current, target_ref at, time_point until)
{
    std::shared_ptr<net::http_connection> connection;
    net::response_head head;
    auto outcome = co_await open_answer(current, at, until, connection, head);
    auto* response = std::get_if<net::http_response>(&outcome.result);
    const auto idle_time =
        head.keep_alive ? net::idle_time_of(head.fields, default_idle_timeout) : duration{0};
    bool complete = false; // the answer was read to its end
    if (response != nullptr && !outcome.not_run && head.status >= 200 && head.status < 300) {
        const auto load = outcome.load;
        outcome = co_await forward_events(current, *connection, std::move(head));
        outcome.load = load;
        complete = outcome.finished_stream;
        if (complete) {
            crashes_.on_answer(current.fingerprint, steady::now());
        }
    }
    else if (response != nullptr) {
        auto reading = connection->read_body(max_response_bytes, until, room_for(current));
        auto body = co_await std::move(reading);
        if (auto* text = std::get_if<std::string>(&body)) {
            response->body = std::move(*text);
            complete = true;
        }
        else {
            outcome.result = connection_error(std::get<net::http_failure>(body), current.repeatable());
        }
    }
    if (connection && complete) {
        at->pool.release(connection, idle_time);
    }
    else if (connection) {
        connection->close();
    }
    current.connection.reset();
    co_return outcome;
}

time_point forwarder::silence_deadline(const call& current)
{
    auto* queue = queue_of(current);
    policy::stream_options options;
    options.may_move = current.repeatable() && current.attempts < current.max_attempts() &&
                       queue != nullptr && queue->may_retry(current.work, current.replica);
    options.target_latency = current.chosen.target_latency;
    const auto silence = policy::max_stream_silence(options);
    return silence ? std::min(current.deadline, steady::now() + *silence) : current.deadline;
}

net::task<forwarder::attempt_outcome>
forwarder::forward_events(call& current, net::http_connection& connection, net::response_head head)
{
    attempt_outcome outcome;
    if (!current.response_started) {
        current.response_started = true;
        const bool handed_over = co_await current.answer->begin(head.status, end_to_end_fields(head.fields));
        if (!handed_over) {
            outcome.result = error{error_code::cancelled, run_state::in_doubt, "the client has left"};
            co_return outcome;
        }
    }
    event_buffer events;
    net::event_reader reader;
    bool any_event = false; // once set, a lost replica is not counted as a crash by this request
    while (true) {
        const auto until = silence_deadline(current);
        auto read = co_await connection.read_piece(until);
        if (const auto* failed = std::get_if<net::http_failure>(&read)) {
            if (failed->kind == net::failure_kind::closed && !any_event) {
                record_crash(current, false);
            }
            outcome.result = connection_error(*failed, current.repeatable());
            co_return outcome;
        }
        auto& piece = std::get<net::body_piece>(read);
        auto text = current.chosen.resumable ? events.take(piece.bytes) : std::move(piece.bytes);
        if (events.too_long()) {
            outcome.result = error{error_code::incomplete, run_state::in_doubt, "an event exceeds the limit"};
            co_return outcome;
        }
        for (const auto& event : reader.feed(text)) {
            any_event = true;
            current.last_event = event.id ? event.id : current.last_event;
        }
        bool handed_over = true;
        if (!text.empty()) {
            handed_over = co_await current.answer->write(std::move(text));
        }
        if (!handed_over) {
            outcome.result = error{error_code::cancelled, run_state::in_doubt, "the client has left"};
            co_return outcome;
        }
        // A body without length and chunks ends with its connection, also where the replica was cut off.
        if (piece.last && (events.has_partial_event() || reader.has_partial_event())) {
            outcome.result =
                error{error_code::incomplete, run_state::in_doubt, "the stream ended within an event"};
            co_return outcome;
        }
        if (piece.last) {
            co_await current.answer->finish();
            outcome.finished_stream = true;
            co_return outcome;
        }
    }
}

} // namespace vanillagauge::gateway
