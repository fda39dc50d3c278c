#include "entry/claim_calls.hpp"

#include "entry/claim_wire.hpp"
#include "observe/log.hpp"

namespace vanillagauge::entry {
namespace {

/// A record is one message to a nearby process; bounds the caller's wait for a lost backup.
constexpr milliseconds record_timeout{1000};
/// The first record sent over a connection that a restart of the backup broke is lost.
constexpr int max_record_attempts = 2;
constexpr milliseconds close_timeout{1500};
constexpr milliseconds settled_timeout{2000};
/// Reserved for the peer's answer to travel back before the caller's deadline.
constexpr milliseconds reply_margin{30};
/// Fraction of the time left that the primary may take while the backup is still to be asked.
constexpr double primary_share = 0.6;
/// Bounds memory under a flood of calls; see docs/design/claims.md.
constexpr claims::memory_limits shard_limits{
    .keys = 8192, .keys_per_pair = 6144, .answer_bytes = 512U << 10U, .max_answer_bytes = 16U << 10U};

error no_key()
{
    return {error_code::invalid_argument, run_state::not_run,
            "a call that is not idempotent needs a key: the key_prefix of a Locate answer and a suffix"};
}

milliseconds time_left(time_point deadline)
{
    return milliseconds_between(steady::now(), deadline) - reply_margin;
}

v1::CallRequest with_deadline(v1::CallRequest request, milliseconds left)
{
    request.set_deadline_ms(left.count());
    return request;
}

} // namespace

std::int64_t wall_milliseconds()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<milliseconds>(now).count();
}

claim_calls::claim_calls(claim_context context, claim_runner runner)
    : context_(std::move(context)), runner_(std::move(runner)),
      link_(context_.keeper, context_.peers, context_.peer_token),
      store_(shard_limits), incarnations_{context_.incarnation}
{
}

claims::pair_role claim_calls::role_of(const claims::claim_pair& pair) const
{
    const std::lock_guard lock(incarnations_mutex_);
    return claims::role_of(pair, context_.vm, incarnations_);
}

void claim_calls::call(const v1::CallRequest& request, time_point deadline,
                       const observe::trace_context& trace, completion on_done)
{
    if (request.key().empty()) {
        on_done(no_key());
        return;
    }
    auto key = claims::parse_key(request.key());
    if (!ok(key)) {
        on_done(failure(key));
        return;
    }
    auto call = std::make_shared<pending_call>(pending_call{
        request, value(std::move(key)), request_fingerprint(request), deadline, trace, std::move(on_done)});
    switch (role_of(call->key.pair)) {
    case claims::pair_role::primary:
        call_as_primary(call);
        return;
    case claims::pair_role::backup:
        call_as_backup(call);
        return;
    case claims::pair_role::restarted_primary:
        request_close(call);
        return;
    case claims::pair_role::restarted_backup:
        forward_to_primary(call, time_left(deadline), [call] {
            call->on_done(claims::refusal_error(claims::refusal::pair_unavailable));
        });
        return;
    case claims::pair_role::neither:
        forward_to_primary(call,
                           milliseconds(static_cast<std::int64_t>(
                               primary_share * static_cast<double>(time_left(deadline).count()))),
                           [this, call] { forward_to_backup(call); });
        return;
    }
}

// ---- Primary ----

void claim_calls::call_as_primary(const pending_call_ptr& call)
{
    const auto who = ++next_waiter_;
    const auto refused = runner_.refusal(call->request);
    {
        const std::lock_guard lock(waiting_mutex_);
        waiting_[who] = {call->request, call->deadline, call->trace, call->on_done};
    }
    perform(store_.with_primary(call->key.pair,
                                [&](claims::primary& primary) {
                                    return primary.call(call->key, call->fingerprint, who,
                                                        wall_milliseconds(), refused);
                                }),
            call->trace);
    arm_deadline(who, call->key, call->deadline);
}

void claim_calls::arm_deadline(claims::waiter_id who, const claims::call_key& key, time_point deadline)
{
    const std::lock_guard lock(waiting_mutex_);
    const auto found = waiting_.find(who);
    if (found == waiting_.end()) {
        return;
    }
    const auto left = milliseconds_between(steady::now(), deadline);
    found->second.timer = context_.loop.after(left, [this, who, key] { remove_waiter(key, who); });
}

void claim_calls::remove_waiter(const claims::call_key& key, claims::waiter_id who)
{
    perform(store_.with_primary(key.pair,
                                [&](claims::primary& primary) { return primary.remove_waiter(key, who); }));
}

void claim_calls::perform(const claims::primary_actions& actions, const observe::trace_context& trace)
{
    for (const auto& action : actions) {
        if (const auto* record = std::get_if<claims::send_record>(&action)) {
            send_record(*record, trace, 1);
        }
        else if (const auto* granted = std::get_if<claims::dispatch_call>(&action)) {
            dispatch(*granted);
        }
        else if (const auto* settled = std::get_if<claims::send_settled>(&action)) {
            send_settled(settled->record);
        }
        else if (const auto* answer = std::get_if<claims::send_reply>(&action)) {
            reply(*answer);
        }
        else {
            renew_incarnation();
        }
    }
}

void claim_calls::send_record(const claims::send_record& action, const observe::trace_context& trace,
                              int attempt)
{
    v1::ClaimRequest request;
    request.set_pair(claims::format_pair(action.key.pair));
    *request.mutable_record() = claim_message(format_key(action.key), action.fingerprint);
    link_.record(action.key.pair.backup.vm, request, {record_timeout, trace},
                 [this, action, trace, attempt](const result<v1::ClaimReply>& reply) {
                     on_recorded(action, trace, attempt, reply);
                 });
}

void claim_calls::on_recorded(const claims::send_record& action, const observe::trace_context& trace,
                              int attempt, const result<v1::ClaimReply>& reply)
{
    if (!ok(reply) && failure(reply).code == error_code::unavailable && attempt < max_record_attempts) {
        send_record(action, trace, attempt + 1);
        return;
    }
    const bool answered = ok(reply) && value(reply).key() == format_key(action.key);
    if (answered && value(reply).recorded()) {
        perform(store_.with_primary(action.key.pair, [&](claims::primary& primary) {
            return primary.acknowledged(action.key, wall_milliseconds());
        }));
        return;
    }
    const auto why = answered ? refusal_of(value(reply)) : claims::refusal::backup_unreachable;
    context_.metrics.add("vg_entry_claims_refused_total");
    perform(store_.with_primary(action.key.pair,
                                [&](claims::primary& primary) { return primary.refused(action.key, why); }));
}

void claim_calls::dispatch(const claims::dispatch_call& action)
{
    const auto finish = [this, key = action.key](const result<v1::CallReply>& answer) {
        perform(store_.with_primary(
            key.pair, [&](claims::primary& primary) { return primary.finished(key, to_outcome(answer)); }));
    };
    waiting_call first;
    {
        const std::lock_guard lock(waiting_mutex_);
        const auto found = waiting_.find(action.waiter);
        if (found != waiting_.end()) {
            first.request = found->second.request;
            first.deadline = found->second.deadline;
            first.trace = found->second.trace;
        }
    }
    if (first.request.key().empty()) {
        finish(claims::refusal_error(claims::refusal::no_waiters));
        return;
    }
    runner_.run(first.request, first.deadline, first.trace, finish);
}

void claim_calls::send_settled(const claims::settled_record& record)
{
    v1::ClaimRequest request;
    request.set_pair(claims::format_pair(record.key.pair));
    *request.mutable_record() = settled_message(record);
    link_.record(record.key.pair.backup.vm, request, {settled_timeout}, [](const result<v1::ClaimReply>&) {});
}

void claim_calls::reply(const claims::send_reply& action)
{
    waiting_call waiter;
    {
        const std::lock_guard lock(waiting_mutex_);
        auto found = waiting_.extract(action.waiter);
        if (found.empty()) {
            return;
        }
        waiter = std::move(found.mapped());
    }
    if (waiter.timer) {
        waiter.timer();
    }
    waiter.on_done(to_answer(action.answer, waiter.request.request_id()));
}

/// The backup closed the pair while this process was paused or partitioned, so it refuses every further key
/// of the pair. With a new incarnation number Locate mints keys of new pairs; the earlier numbers stay valid,
/// since this process still holds their records.
void claim_calls::renew_incarnation()
{
    std::uint64_t number = 0;
    {
        const std::lock_guard lock(incarnations_mutex_);
        number = std::max(node::new_incarnation(), *incarnations_.rbegin() + 1);
        incarnations_.insert(number);
    }
    observe::log(observe::log_level::warning, "claim_pairs_renewed",
                 {{"incarnation", static_cast<std::int64_t>(number)}});
    context_.keeper.announce([number](fleet::process& self) { self.incarnation = number; });
}

// ---- Backup ----

void claim_calls::call_as_backup(const pending_call_ptr& call)
{
    const auto known = store_.with_backup(call->key.pair, [&](claims::backup& backup) {
        return backup.settled_answer(call->key, call->fingerprint);
    });
    if (known) {
        call->on_done(to_answer(*known, call->request.request_id()));
        return;
    }
    const bool closed = store_.with_backup(
        call->key.pair, [&](claims::backup& backup) { return backup.closed(call->key.pair); });
    if (closed) {
        take_over(call);
        return;
    }
    forward_to_primary(call, time_left(call->deadline), [this, call] { take_over(call); });
}

void claim_calls::take_over(const pending_call_ptr& call)
{
    const auto verdict = store_.with_backup(call->key.pair, [&](claims::backup& backup) {
        return backup.take_over(call->key, call->fingerprint, wall_milliseconds());
    });
    context_.metrics.add("vg_entry_claim_takeovers_total");
    call->on_done(to_answer(verdict, call->request.request_id()));
}

v1::ClaimReply claim_calls::record(const v1::ClaimRequest& request)
{
    v1::ClaimReply reply;
    reply.set_key(request.record().key());
    auto record = from_message(request.record());
    if (!ok(record)) {
        reply.set_reason("malformed");
        return reply;
    }
    const auto& claimed = value(record);
    if (role_of(claimed.key.pair) != claims::pair_role::backup) {
        reply.set_reason("other_incarnation");
        return reply;
    }
    store_.with_backup(claimed.key.pair, [&](claims::backup& backup) {
        if (is_settled(request.record())) {
            backup.settle(claimed, wall_milliseconds());
            context_.metrics.add("vg_entry_claims_settled_total");
            return;
        }
        const auto verdict = backup.record(claimed.key, claimed.fingerprint, wall_milliseconds());
        reply.set_recorded(verdict == claims::record_status::recorded);
        reply.set_closed(verdict == claims::record_status::closed);
        reply.set_reason(std::string(name(verdict)));
    });
    return reply;
}

v1::ClaimPairReply claim_calls::close(const v1::ClaimPairRequest& request)
{
    v1::ClaimPairReply reply;
    reply.mutable_verdict()->set_key(request.key());
    const auto key = claims::parse_key(request.key());
    const auto fingerprint = parse_fingerprint(request.fingerprint());
    if (!ok(key) || !ok(fingerprint) || role_of(value(key).pair) != claims::pair_role::backup) {
        return reply;
    }
    const auto verdict = store_.with_backup(value(key).pair, [&](claims::backup& backup) {
        return backup.take_over(value(key), value(fingerprint), wall_milliseconds());
    });
    reply.set_closed(true);
    *reply.mutable_verdict() = to_verdict(request.key(), to_answer(verdict, request.from()));
    return reply;
}

v1::ClaimTransferReply claim_calls::transfer(const v1::ClaimTransfer& request)
{
    v1::ClaimTransferReply reply;
    const auto pair = parse_pair(request.pair());
    if (!ok(pair) || role_of(value(pair)) != claims::pair_role::backup) {
        return reply;
    }
    std::vector<claims::settled_record> records;
    for (const auto& message : request.records()) {
        auto record = from_message(message);
        if (ok(record)) {
            records.push_back(value(std::move(record)));
        }
    }
    store_.with_backup(value(pair), [&](claims::backup& backup) {
        backup.accept_transfer(value(pair), records, wall_milliseconds());
    });
    reply.set_accepted(true);
    return reply;
}

// ---- Requests to peers ----

void claim_calls::forward_to_primary(const pending_call_ptr& call, milliseconds timeout,
                                     std::function<void()> fallback)
{
    if (timeout.count() <= 0) {
        call->on_done(claims::refusal_error(claims::refusal::deadline_exceeded));
        return;
    }
    link_.forward(call->key.pair.primary.vm, with_deadline(call->request, timeout), {timeout, call->trace},
                  [call, fallback = std::move(fallback)](const result<v1::ClaimVerdict>& reply) {
                      if (ok(reply) && value(reply).decided()) {
                          call->on_done(from_verdict(value(reply), call->request));
                          return;
                      }
                      // The call may be running at a slow primary: closing the pair would fail its other
                      // calls, so a missed deadline alone does not justify a takeover.
                      if (!ok(reply) && failure(reply).code == error_code::deadline_exceeded &&
                          time_left(call->deadline) <= reply_margin) {
                          call->on_done(claims::refusal_error(claims::refusal::deadline_exceeded));
                          return;
                      }
                      fallback();
                  });
}

void claim_calls::forward_to_backup(const pending_call_ptr& call)
{
    const auto timeout = time_left(call->deadline);
    link_.forward(call->key.pair.backup.vm, with_deadline(call->request, timeout), {timeout, call->trace},
                  [call](const result<v1::ClaimVerdict>& reply) {
                      call->on_done(ok(reply) ? from_verdict(value(reply), call->request)
                                              : claims::refusal_error(claims::refusal::pair_unavailable));
                  });
}

/// The key's primary was an earlier incarnation on this VM, which may have dispatched the call: only the
/// backup can decide, and only after it has closed the pair.
void claim_calls::request_close(const pending_call_ptr& call)
{
    v1::ClaimPairRequest request;
    request.set_pair(claims::format_pair(call->key.pair));
    request.set_from(call->request.request_id());
    request.set_key(call->request.key());
    request.set_fingerprint(hex(call->fingerprint));
    link_.close(call->key.pair.backup.vm, request,
                {std::min(close_timeout, time_left(call->deadline)), call->trace},
                [call](const result<v1::ClaimPairReply>& reply) {
                    call->on_done(ok(reply) ? from_verdict(value(reply).verdict(), call->request)
                                            : claims::refusal_error(claims::refusal::pair_unavailable));
                });
}

} // namespace vanillagauge::entry
