#include "gateway/forwarder.hpp"

#include "observe/log.hpp"
#include "observe/trace.hpp"

#include <algorithm>
#include <variant>

namespace vanillagauge::gateway {
namespace {

/// A route without a time-out and a caller that names no time.
constexpr milliseconds longest_call{60000};

/// A replica that has not answered an idempotent request after this many target latencies is taken for hung,
/// while there is another to ask: the slowest of a hundred answers takes some five times the mean.
constexpr int hung_after_targets = 4;
constexpr milliseconds hung_least{400};

constexpr std::size_t largest_answer = 64U << 20U;

/// Of a replica that names no time for idle connections.
constexpr milliseconds idle_time{4000};

/// When to come back to a service without a usable replica: one that crashed is back after some seconds.
constexpr milliseconds no_replica_retry_after{500};

/// A stream is silent for at most this long before it is taken for broken.
constexpr milliseconds stream_silence{5000};

/// W3C trace context.
constexpr const char* trace_field = "traceparent";

error not_run(error_code code, std::string detail, milliseconds retry_after)
{
    return {code, run_state::not_run, std::move(detail), retry_after};
}

policy::priority urgency_of(int priority)
{
    // Lower numbers are more urgent; the scheduler knows three classes.
    if (priority <= 0) {
        return policy::priority::gate;
    }
    return priority <= 2 ? policy::priority::member : policy::priority::batch;
}

net::http_fields forwarded(const net::http_fields& fields)
{
    net::http_fields kept;
    const auto connection = fields.find("Connection");
    for (const auto& field : fields.all()) {
        if (!net::concerns_connection(field.name, connection)) {
            kept.add(field.name, field.value);
        }
    }
    return kept;
}

/// Whole events of a stream as they were sent, for a stream that may be resumed: half an event could not be
/// completed by another replica.
class whole_events {
public:
    /// The text up to the end of the last whole event.
    std::string take(std::string_view bytes)
    {
        held_ += bytes;
        const auto end = held_.rfind("\n\n");
        if (end == std::string::npos) {
            return {};
        }
        auto whole = held_.substr(0, end + 2);
        held_.erase(0, end + 2);
        return whole;
    }
    bool mid_event() const { return !held_.empty(); }

private:
    std::string held_;
};

} // namespace

struct forwarder::call {
    const route& chosen;
    const caller_request& request;
    net::responder& answer;
    time_point deadline;
    observe::span hop;                        ///< the request's way through this gateway
    observe::trace_context attempt_context{}; ///< of the attempt in flight
    std::string replica{};                    ///< of the attempt in flight
    time_point sent{};                        ///< when it was sent there
    std::string service{};
    policy::work work{};
    std::uint64_t fingerprint = 0;
    int attempts = 0;
    bool gone = false;
    bool begun = false; ///< the head of a stream has gone to the client
    std::optional<std::uint64_t> last_event{};
    std::shared_ptr<net::http_connection> connection{}; ///< of the attempt in flight

    bool repeatable() const
    {
        return chosen.kind == route_kind::idempotent ||
               (chosen.kind == route_kind::stream && chosen.resumable);
    }
};

/// What one replica did with the request.
struct forwarder::attempt_outcome {
    std::variant<net::http_response, error> result = error{};
    bool finished_stream = false; ///< the client has the whole stream
    bool not_run = false;
    std::optional<policy::load_report> load{};
    std::string replica{};

    std::string text() const
    {
        if (finished_stream) {
            return "stream_finished";
        }
        const auto* response = std::get_if<net::http_response>(&result);
        return response != nullptr ? "status " + std::to_string(response->status)
                                   : describe(std::get<error>(result));
    }
    bool succeeded() const
    {
        const auto* response = std::get_if<net::http_response>(&result);
        return finished_stream || (response != nullptr && response->status < 500 && !not_run);
    }
};

forwarder::forwarder(net::loop& loop, const target_registry& targets, const target_protocol& protocol,
                     observe::metrics& counts, policy::quarantine& crashes, std::string failure_domain)
    : loop_(loop), targets_(targets), protocol_(protocol), counts_(counts), crashes_(crashes),
      failure_domain_(std::move(failure_domain))
{
}

service_gate* forwarder::gate_of(const std::string& service)
{
    auto& gate = gates_[service];
    if (!gate) {
        const auto replicas = targets_.of_service(service);
        if (replicas.empty()) {
            return nullptr;
        }
        gate = std::make_unique<service_gate>(loop_, random_(), replicas.front()->info.slots);
        gate->update(replicas, steady::now());
    }
    return gate.get();
}

void forwarder::refresh(time_point now)
{
    for (auto& [service, gate] : gates_) {
        if (gate) {
            gate->update(targets_.of_service(service), now);
        }
    }
}

net::task<void> forwarder::forward(route chosen, caller_request request, net::responder& answer)
{
    const auto allowed = request.time_allowed.value_or(longest_call);
    const auto kept = chosen.timeout.count() > 0 ? std::min(allowed, chosen.timeout) : allowed;
    call current{chosen, request, answer, request.arrived + kept,
                 observe::span(observe::parse_traceparent(request.http.fields.find(trace_field)), "forward")};
    current.hop.note("request_id", request.attempt_id);
    current.hop.note("route", chosen.name);
    current.service = pick_service(chosen, std::uniform_real_distribution<double>(0, 1)(random_));
    current.work.id = next_work_++;
    current.work.caller = request.host;
    current.work.urgency = urgency_of(chosen.priority);
    current.work.deadline = current.deadline;
    current.work.near_domain = failure_domain_;
    current.fingerprint = policy::request_fingerprint(
        current.service, request.http.method + request.http.target, request.http.body);
    current.last_event = request.resume_after;
    answer.on_client_gone([this, &current] {
        current.gone = true;
        if (current.connection) {
            current.connection->close();
        }
        const auto gate = gates_.find(current.service);
        if (gate != gates_.end() && gate->second) {
            gate->second->withdraw(current.work.id);
        }
    });
    co_await run(current);
}

net::task<void> forwarder::run(call& current)
{
    attempt_outcome outcome;
    auto* gate = gate_of(current.service);
    if (gate == nullptr) {
        outcome.result =
            not_run(error_code::unavailable, "the service has no usable replica", no_replica_retry_after);
        co_await answer_with(current, std::move(outcome));
        co_return;
    }
    const auto suspect = crashes_.check(current.fingerprint, steady::now());
    if (!ok(suspect)) {
        outcome.result = failure(suspect);
        co_await answer_with(current, std::move(outcome));
        co_return;
    }
    auto admitted = co_await gate->admit(current.work);
    while (true) {
        if (!ok(admitted)) {
            outcome.result = failure(admitted);
            break;
        }
        const auto lifetime = value(admitted);
        const auto at = targets_.find(lifetime);
        const auto began = steady::now();
        if (!at || !at->usable) {
            gate->finish(lifetime, {});
            outcome.result = not_run(error_code::unavailable, "the replica has left", no_replica_retry_after);
        }
        else {
            ++current.attempts;
            observe::span hop(current.hop.context(), "attempt");
            hop.note("replica", lifetime);
            current.replica = lifetime;
            current.attempt_context = hop.context();
            if (current.chosen.kind == route_kind::stream) {
                outcome = co_await stream(current, at, current.deadline);
            }
            else {
                outcome = co_await attempt(current, at, attempt_end(current, began));
            }
            outcome.replica = lifetime;
            hop.note("outcome", outcome.text());
            report(*gate, at, outcome, steady::now() - began);
        }
        const auto now = steady::now();
        if (outcome.succeeded() || !may_go_on(current, outcome, now)) {
            break;
        }
        current.work.tried.insert(lifetime);
        const auto next = gate->retry(current.work);
        if (!next) {
            break;
        }
        admitted = *next;
    }
    co_await answer_with(current, std::move(outcome));
}

time_point forwarder::attempt_end(const call& current, time_point now) const
{
    if (!current.repeatable() || current.attempts >= current.chosen.attempts) {
        return current.deadline;
    }
    const auto patience = std::max(current.chosen.target_latency * hung_after_targets, hung_least);
    return std::min(current.deadline, now + patience);
}

// A request that is not idempotent goes on only where the replica itself, or a connection that was never
// made, proves that it has not run. A reset or a silence proves nothing.
bool forwarder::may_go_on(const call& current, const attempt_outcome& outcome, time_point now) const
{
    if (current.gone || now >= current.deadline || current.attempts >= current.chosen.attempts) {
        return false;
    }
    if (current.begun) {
        return current.repeatable();
    }
    const auto* failed = std::get_if<error>(&outcome.result);
    const bool provably_not_run = outcome.not_run || (failed != nullptr && failed->ran == run_state::not_run);
    return provably_not_run || current.repeatable();
}

void forwarder::report(service_gate& gate, const target_ref& at, const attempt_outcome& outcome,
                       duration took)
{
    policy::ending_report ended;
    ended.latency = took;
    const auto* failed = std::get_if<error>(&outcome.result);
    const bool cancelled = failed != nullptr && failed->code == error_code::cancelled;
    if (cancelled || outcome.not_run) {
        ended.kind = policy::ending::unknown;
    }
    else {
        ended.kind = outcome.succeeded() ? policy::ending::answered : policy::ending::failed;
    }
    if (outcome.load) {
        gate.on_load(at->info.lifetime(), *outcome.load);
    }
    gate.finish(at->info.lifetime(), ended);
}

namespace {

error broken(const net::http_failure& failed, bool repeatable)
{
    const auto ran = failed.sent ? run_state::in_doubt : run_state::not_run;
    if (failed.kind == net::failure_kind::cancelled) {
        return {error_code::cancelled, ran, "the client has left"};
    }
    const auto code = failed.kind == net::failure_kind::timeout && !repeatable ? error_code::deadline_exceeded
                                                                               : error_code::unavailable;
    return {code, ran,
            std::string("the replica's connection: ") + net::name(failed.kind) + ", " + failed.detail};
}

} // namespace

void forwarder::note_crash(const call& current, bool reused)
{
    const auto now = steady::now();
    if (reused) {
        crashes_.on_doubtful_crash(current.fingerprint, now);
    }
    else {
        crashes_.on_crash(current.fingerprint, current.replica, current.sent, now);
    }
    observe::log(observe::log_level::warning, "replica_lost_under_request",
                 {{"request", current.request.attempt_id},
                  {"replica", current.replica},
                  {"certain", std::int64_t{reused ? 0 : 1}},
                  {"held", std::int64_t{ok(crashes_.check(current.fingerprint, now)) ? 0 : 1}}});
}

// Opens a connection, sends the request and reads the head. An answer whose id is another one's, or a success
// that the replica did not authenticate, belongs to nobody: its connection ends here.
net::task<forwarder::attempt_outcome>
forwarder::open_answer(call& current, target_ref at, time_point until,
                       std::shared_ptr<net::http_connection>& connection, net::response_head& head)
{
    attempt_outcome outcome;
    // A pooled connection may be closed by the replica while the request is under way, which leaves open
    // whether it ran; only what may run again takes that chance, and nothing that may have crashed a replica.
    const bool may_reuse = current.repeatable() && !crashes_.suspects(current.fingerprint, steady::now());
    auto connecting = may_reuse ? at->pool.take(until) : at->pool.take_new(until);
    auto taken = co_await std::move(connecting);
    if (const auto* failed = std::get_if<net::http_failure>(&taken)) {
        outcome.result = broken(*failed, current.repeatable());
        co_return outcome;
    }
    connection = std::get<std::shared_ptr<net::http_connection>>(taken);
    if (current.gone) {
        outcome.result = error{error_code::cancelled, run_state::not_run, "the client has left"};
        co_return outcome;
    }
    current.connection = connection;
    attempt_request sent;
    sent.attempt_id = current.request.attempt_id;
    sent.replica_id = at->info.id;
    sent.time_left = remaining(steady::now(), current.deadline);
    sent.resume_after = current.last_event;
    auto request = protocol_.to_replica(current.request.http, sent);
    if (request.fields.contains(trace_field)) {
        request.fields.set(trace_field, observe::traceparent(current.attempt_context));
    }
    current.sent = steady::now();
    const auto written = co_await connection->send(request, until);
    // A replica may answer and close before it has read a long body; the answer counts.
    const auto* unwritten = std::get_if<net::http_failure>(&written);
    if (unwritten != nullptr && unwritten->kind != net::failure_kind::closed) {
        outcome.result = broken(*unwritten, current.repeatable());
        co_return outcome;
    }
    auto read = co_await connection->read_head(until);
    if (const auto* failed = std::get_if<net::http_failure>(&read)) {
        if (failed->kind == net::failure_kind::closed) {
            note_crash(current, connection->reused());
        }
        outcome.result = broken(*failed, current.repeatable());
        co_return outcome;
    }
    head = std::move(std::get<net::response_head>(read));
    const auto marks = protocol_.marks(head.status, head.fields, current.request.attempt_id);
    outcome.load = marks.load;
    outcome.not_run = marks.not_run;
    const bool success = head.status >= 200 && head.status < 300;
    if (!marks.not_run && (!marks.echoes_attempt || (success && !marks.authenticated))) {
        connection->close();
        outcome.result = error{error_code::incomplete, run_state::in_doubt,
                               "the answer belongs to another request or is not the replica's"};
        co_return outcome;
    }
    outcome.result = net::http_response{head.status, forwarded(head.fields), {}};
    co_return outcome;
}

net::task<forwarder::attempt_outcome> forwarder::attempt(call& current, target_ref at, time_point until)
{
    std::shared_ptr<net::http_connection> connection;
    net::response_head head;
    auto outcome = co_await open_answer(current, at, until, connection, head);
    if (std::holds_alternative<net::http_response>(outcome.result)) {
        auto body = co_await connection->read_body(largest_answer, until);
        if (const auto* failed = std::get_if<net::http_failure>(&body)) {
            outcome.result = broken(*failed, current.repeatable());
        }
        else {
            std::get<net::http_response>(outcome.result).body = std::move(std::get<std::string>(body));
            if (!outcome.not_run) {
                crashes_.on_answer(current.fingerprint, steady::now());
            }
            at->pool.give_back(connection,
                               head.keep_alive ? net::idle_time_of(head.fields, idle_time) : duration{0});
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
    if (response != nullptr && !outcome.not_run && head.status >= 200 && head.status < 300) {
        const auto load = outcome.load;
        outcome = co_await forward_events(current, *connection, std::move(head));
        outcome.load = load;
        if (outcome.finished_stream) {
            crashes_.on_answer(current.fingerprint, steady::now());
        }
    }
    else if (response != nullptr) {
        auto body = co_await connection->read_body(largest_answer, until);
        if (auto* text = std::get_if<std::string>(&body)) {
            response->body = std::move(*text);
        }
        else {
            outcome.result = broken(std::get<net::http_failure>(body), current.repeatable());
        }
    }
    if (connection) {
        connection->close();
    }
    current.connection.reset();
    co_return outcome;
}

net::task<forwarder::attempt_outcome>
forwarder::forward_events(call& current, net::http_connection& connection, net::response_head head)
{
    attempt_outcome outcome;
    if (!current.begun) {
        current.begun = true;
        const bool handed_over = co_await current.answer.begin(head.status, forwarded(head.fields));
        if (!handed_over) {
            outcome.result = error{error_code::cancelled, run_state::in_doubt, "the client has left"};
            co_return outcome;
        }
    }
    whole_events events;
    net::event_reader reader;
    bool any_event = false; // a replica that is lost later had begun to run the request safely
    while (true) {
        auto read = co_await connection.read_piece(steady::now() + stream_silence);
        if (const auto* failed = std::get_if<net::http_failure>(&read)) {
            if (failed->kind == net::failure_kind::closed && !any_event) {
                note_crash(current, false);
            }
            outcome.result = broken(*failed, current.repeatable());
            co_return outcome;
        }
        auto& piece = std::get<net::body_piece>(read);
        auto text = current.chosen.resumable ? events.take(piece.bytes) : std::move(piece.bytes);
        for (const auto& event : reader.take(text)) {
            any_event = true;
            current.last_event = event.id ? event.id : current.last_event;
        }
        bool handed_over = true;
        if (!text.empty()) {
            handed_over = co_await current.answer.write(std::move(text));
        }
        if (!handed_over) {
            outcome.result = error{error_code::cancelled, run_state::in_doubt, "the client has left"};
            co_return outcome;
        }
        if (piece.last && !events.mid_event()) {
            co_await current.answer.finish();
            outcome.finished_stream = true;
            co_return outcome;
        }
        if (piece.last) {
            outcome.result = error{error_code::incomplete, run_state::in_doubt, "the stream ended mid-event"};
            co_return outcome;
        }
    }
}

net::task<void> forwarder::answer_with(call& current, attempt_outcome outcome)
{
    log_end(current, outcome);
    if (outcome.finished_stream) {
        co_return;
    }
    if (current.begun || current.gone) {
        current.answer.abort(); // an answer that has begun and cannot be completed must not look whole
        co_return;
    }
    if (auto* response = std::get_if<net::http_response>(&outcome.result); response && !outcome.not_run) {
        co_await current.answer.send(std::move(*response));
        co_return;
    }
    auto reason = outcome.not_run
                      ? not_run(error_code::overloaded, "the replicas are full", no_replica_retry_after)
                      : std::get<error>(outcome.result);
    co_await current.answer.send(protocol_.to_response(reason));
}

void forwarder::log_end(call& current, const attempt_outcome& outcome) const
{
    const auto took = std::chrono::duration_cast<milliseconds>(steady::now() - current.request.arrived);
    counts_.record("request_time", steady::now() - current.request.arrived);
    const bool good = outcome.succeeded();
    counts_.add(good ? "requests_total{outcome=\"answered\"}" : "requests_total{outcome=\"failed\"}");
    const auto text = outcome.text();
    current.hop.note("outcome", text);
    observe::log(good ? observe::log_level::info : observe::log_level::warning, "request_ended",
                 {{"request", current.request.attempt_id},
                  {"route", current.chosen.name},
                  {"replica", outcome.replica},
                  {"attempts", std::int64_t{current.attempts}},
                  {"took_ms", std::int64_t{took.count()}},
                  {"left_ms", std::int64_t{remaining(steady::now(), current.deadline).count()}},
                  {"outcome", text}});
}

} // namespace vanillagauge::gateway
