/// The trainer's side of job_runner: pulls, waiting pulls and the recovery of lost cursors.
#include "rollout/job_runner.hpp"

#include "rollout/core/core.hpp"
#include "rollout/sample_message.hpp"

namespace vanillagauge::rollout {
namespace {

constexpr milliseconds max_wait{20000};
constexpr std::size_t default_max_samples = 64;

} // namespace

void job_runner::pull(const v1::PullRequest& request, pull_done on_done)
{
    pull_options options;
    options.trainer_version = request.trainer_version();
    options.max_samples =
        request.max_samples() > 0 ? static_cast<std::size_t>(request.max_samples()) : default_max_samples;
    options.wait = std::min(milliseconds{request.wait_ms()}, max_wait);
    if (request.cursor().empty()) {
        recover_cursor(request, options, std::move(on_done));
        return;
    }
    const auto opened = samples::decode_cursor(request.cursor(), context_.settings.tokens.peer);
    if (!ok(opened)) {
        on_done(failure(opened));
        return;
    }
    pull_at(value(opened), options, std::move(on_done));
}

void job_runner::recover_cursor(const v1::PullRequest& request, const pull_options& options,
                                pull_done on_done)
{
    samples::cursor_recovery facts{request.trainer_version(), std::nullopt, {}, {}};
    if (request.has_begin_step()) {
        facts.begin_step = request.begin_step();
    }
    {
        const std::lock_guard lock(mutex_);
        facts.in_memory = {job_.state().step(), job_.state().trainer_version()};
    }
    auto settle = [self = shared_from_this(), facts, options,
                   on_done = std::move(on_done)](result<std::optional<samples::checkpoint>> stored) mutable {
        facts.stored = std::move(stored);
        const auto step = samples::recovery_step(facts);
        if (!ok(step)) {
            on_done(failure(step));
            return;
        }
        auto restart = options;
        restart.restarted = value(step) > 0 || facts.in_memory.trainer_version > 0;
        self->pull_at(
            samples::empty_cursor(self->spec_.name, value(step), self->job_.state().shape().slots()), restart,
            std::move(on_done));
    };
    if (facts.begin_step) {
        settle(std::optional<samples::checkpoint>());
        return;
    }
    checkpoint_->read(std::move(settle));
}

void job_runner::pull_at(const samples::cursor& presented, const pull_options& options, pull_done on_done)
{
    std::optional<result<v1::PullReply>> reply;
    std::vector<samples::attempt> ended;
    std::uint64_t ticket = 0;
    samples::checkpoint reached;
    {
        const std::lock_guard lock(mutex_);
        const auto position = job_.state().resolve(presented);
        if (stopped_) {
            reply = error{error_code::draining, run_state::not_run, "the job is moving to another node",
                          milliseconds{200}};
        }
        else if (!ok(position)) {
            reply = failure(position);
        }
        else {
            ended = job_.on_pull(value(position), options.trainer_version);
            auto ready = collect(value(position), options);
            reached = {job_.state().step(), job_.state().trainer_version()};
            if (ready.samples_size() > 0 || options.wait == milliseconds{0}) {
                reply = std::move(ready);
            }
            else {
                ticket = ++next_ticket_;
                waiting_.push_back({ticket, value(position), options, on_done});
            }
        }
    }
    if (reply) {
        on_done(std::move(*reply));
    }
    else {
        context_.loop.after(options.wait, [self = shared_from_this(), ticket] { self->expire(ticket); });
    }
    cancel_streams(ended);
    checkpoint_->advance(reached);
    start_streams();
}

v1::PullReply job_runner::collect(const samples::cursor& position, const pull_options& options)
{
    const auto found = job_.collect(position, options.trainer_version, options.max_samples);
    v1::PullReply reply;
    for (const auto& item : found.samples) {
        *reply.add_samples() = to_message(item, spec_, sample_id(item.slot), prompt(item.slot));
    }
    reply.set_cursor(samples::encode_cursor(found.next, context_.settings.tokens.peer));
    reply.set_step(position.step);
    reply.set_step_complete(found.step_complete);
    reply.set_discarded_stale(job_.state().counts().discarded_stale);
    reply.set_restarted(options.restarted);
    return reply;
}

// A pull waiting at a step that another pull has closed fails now instead of at its timeout.
void job_runner::serve_waiting()
{
    std::vector<pull_result> answers;
    {
        const std::lock_guard lock(mutex_);
        for (auto it = waiting_.begin(); it != waiting_.end();) {
            const auto position = job_.state().resolve(it->position);
            if (!ok(position)) {
                answers.emplace_back(std::move(it->on_done), failure(position));
                it = waiting_.erase(it);
                continue;
            }
            auto reply = collect(it->position, it->options);
            if (reply.samples_size() == 0) {
                ++it;
                continue;
            }
            answers.emplace_back(std::move(it->on_done), std::move(reply));
            it = waiting_.erase(it);
        }
    }
    for (auto& [on_done, reply] : answers) {
        on_done(std::move(reply));
    }
}

void job_runner::expire(std::uint64_t ticket)
{
    std::optional<waiting_pull> found;
    v1::PullReply reply;
    {
        const std::lock_guard lock(mutex_);
        for (auto it = waiting_.begin(); it != waiting_.end(); ++it) {
            if (it->ticket == ticket) {
                found = std::move(*it);
                waiting_.erase(it);
                reply = collect(found->position, found->options);
                break;
            }
        }
    }
    if (found) {
        found->on_done(std::move(reply));
    }
}

} // namespace vanillagauge::rollout
