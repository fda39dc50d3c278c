#include "rollout/job_runner.hpp"

#include "observe/log.hpp"

namespace vanillagauge::rollout {
namespace {

constexpr milliseconds longest_wait{20000};
constexpr milliseconds retry_pause{100};
constexpr std::size_t default_pull = 64;

v1::Sample to_message(const generated& product, const std::string& id, std::int64_t step, int group,
                      int index)
{
    v1::Sample sample;
    sample.set_id(id);
    sample.set_step(step);
    sample.set_group(group);
    sample.set_index(index);
    sample.set_text(product.text);
    for (const auto& part : product.labels.spans()) {
        auto* span = sample.add_spans();
        span->set_version(part.version);
        span->set_tokens(part.tokens);
    }
    sample.set_oldest_version(product.labels.oldest());
    sample.set_score(product.score);
    return sample;
}

} // namespace

job_runner::job_runner(const context& shared, config::job_spec spec)
    : context_(shared), spec_(std::move(spec))
{
    slots_.resize(static_cast<std::size_t>(spec_.group_size) *
                  static_cast<std::size_t>(spec_.groups_per_step));
}

std::string job_runner::sample_id(std::int64_t step, std::size_t place) const
{
    const auto size = static_cast<std::size_t>(spec_.group_size);
    return spec_.name + "/" + std::to_string(step) + "/" + std::to_string(place / size) + "/" +
           std::to_string(place % size);
}

const std::string& job_runner::prompt(std::int64_t step, std::size_t place) const
{
    const auto group = place / static_cast<std::size_t>(spec_.group_size);
    const auto groups = static_cast<std::size_t>(spec_.groups_per_step);
    return spec_.prompts[(static_cast<std::size_t>(step) * groups + group) % spec_.prompts.size()];
}

result<samples::cursor> job_runner::position_of(const v1::PullRequest& request) const
{
    if (request.cursor().empty()) {
        return samples::step_start(spec_.name, step_, slots_.size());
    }
    auto opened = samples::open_cursor(request.cursor(), context_.settings.tokens.peer);
    if (!ok(opened)) {
        return opened;
    }
    auto& position = value(opened);
    if (position.job != spec_.name || position.taken.size() != slots_.size()) {
        return error{error_code::stale_cursor, run_state::not_run,
                     "the cursor belongs to another job or to an earlier form of this one"};
    }
    if (samples::complete(position)) {
        position = samples::step_start(spec_.name, position.step + 1, slots_.size());
    }
    if (position.step < step_) {
        return error{error_code::stale_cursor, run_state::not_run,
                     "expected a cursor of step " + std::to_string(step_) + ", found step " +
                         std::to_string(position.step)};
    }
    return opened;
}

void job_runner::pull(const v1::PullRequest& request, pull_done on_done)
{
    std::optional<v1::PullReply> reply;
    std::optional<error> refused;
    std::uint64_t ticket = 0;
    {
        const std::lock_guard lock(mutex_);
        const auto position = position_of(request);
        if (!ok(position)) {
            refused = failure(position);
        }
        else {
            advance_to(value(position).step);
            trainer_version_ = std::max(trainer_version_, request.trainer_version());
            discard_stale();
            const auto most =
                request.max_samples() > 0 ? static_cast<std::size_t>(request.max_samples()) : default_pull;
            auto ready = collect(value(position), most);
            if (ready.samples_size() > 0 || request.wait_ms() == 0) {
                reply = std::move(ready);
            }
            else {
                ticket = ++next_ticket_;
                waiting_.push_back({ticket, value(position), most, on_done});
            }
        }
    }
    if (refused) {
        on_done(*refused);
        return;
    }
    if (reply) {
        on_done(std::move(*reply));
    }
    else {
        const auto wait = std::min(milliseconds{request.wait_ms()}, longest_wait);
        context_.loop.after(wait, [self = shared_from_this(), ticket] { self->expire(ticket); });
    }
    pump();
}

void job_runner::advance_to(std::int64_t step)
{
    if (step <= step_) {
        return;
    }
    for (auto& entry : slots_) {
        if (entry.running) {
            entry.running->cancel();
        }
        entry = slot{};
    }
    step_ = step;
}

// Staleness is judged at the pull, by the oldest span, against the version that the trainer states in this
// very request: judged any earlier, a weight change between the check and the delivery would let an old
// sample through.
void job_runner::discard_stale()
{
    for (auto& entry : slots_) {
        const bool ready = entry.state == slot_state::ready;
        if (ready && !samples::fresh(entry.product.labels.oldest(), trainer_version_, spec_.max_staleness)) {
            ++discarded_;
            wasted_tokens_ += entry.product.labels.tokens();
            entry = slot{};
        }
    }
}

v1::PullReply job_runner::collect(const samples::cursor& position, std::size_t most)
{
    v1::PullReply reply;
    samples::cursor next = position;
    const auto size = static_cast<std::size_t>(spec_.group_size);
    for (std::size_t place = 0; place < slots_.size(); ++place) {
        const bool wanted = slots_[place].state == slot_state::ready && !next.taken[place];
        if (!wanted || static_cast<std::size_t>(reply.samples_size()) >= most) {
            continue;
        }
        auto sample = to_message(slots_[place].product, sample_id(step_, place), step_,
                                 static_cast<int>(place / size), static_cast<int>(place % size));
        sample.set_prompt(prompt(step_, place));
        *reply.add_samples() = std::move(sample);
        next.taken[place] = true;
        ++delivered_;
    }
    reply.set_cursor(samples::seal(next, context_.settings.tokens.peer));
    reply.set_step(next.step);
    reply.set_step_complete(samples::complete(next));
    reply.set_discarded_stale(discarded_);
    return reply;
}

void job_runner::answer_waiting()
{
    std::vector<std::pair<pull_done, v1::PullReply>> answers;
    {
        const std::lock_guard lock(mutex_);
        for (auto it = waiting_.begin(); it != waiting_.end();) {
            if (it->position.step != step_) {
                it = waiting_.erase(it);
                continue;
            }
            auto reply = collect(it->position, it->most);
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
    std::optional<v1::PullReply> reply;
    {
        const std::lock_guard lock(mutex_);
        for (auto it = waiting_.begin(); it != waiting_.end(); ++it) {
            if (it->ticket == ticket) {
                found = std::move(*it);
                waiting_.erase(it);
                reply = collect(found->position, found->most);
                break;
            }
        }
    }
    if (found) {
        found->on_done(std::move(*reply));
    }
}

void job_runner::pump()
{
    const auto engines = context_.directory.find(spec_.deployment);
    if (!engines) {
        return;
    }
    std::vector<start_order> orders;
    {
        const std::lock_guard lock(mutex_);
        for (std::size_t place = 0; place < slots_.size() && !stopped_; ++place) {
            if (slots_[place].state != slot_state::idle) {
                continue;
            }
            auto order = prepare(place, *engines);
            if (!order) {
                break;
            }
            orders.push_back(std::move(*order));
        }
    }
    for (const auto& order : orders) {
        order.generation->start(order.address);
    }
}

std::optional<job_runner::start_order> job_runner::prepare(std::size_t place, node::target_group& engines)
{
    const auto taken = engines.acquire(context_.settings.failure_domain, {});
    if (!taken) {
        return std::nullopt;
    }
    generation_request request;
    request.sample_id = sample_id(step_, place);
    request.prompt = prompt(step_, place);
    request.max_tokens = spec_.max_tokens;
    request.scorer = spec_.scorer;
    auto self = shared_from_this();
    const auto engines_again = context_.directory.find(spec_.deployment);
    auto finish = [self, engines_again, id = taken->id, step = step_, place](result<generated> outcome) {
        engines_again->release(id);
        self->on_generated(step, place, std::move(outcome));
    };
    auto generation = std::make_shared<slot_generation>(context_, std::move(request), std::move(finish));
    slots_[place].state = slot_state::running;
    slots_[place].running = generation;
    return start_order{generation, taken->address};
}

void job_runner::on_generated(std::int64_t step, std::size_t place, result<generated> outcome)
{
    bool failed = false;
    {
        const std::lock_guard lock(mutex_);
        if (step != step_ || slots_[place].state != slot_state::running) {
            return;
        }
        auto& entry = slots_[place];
        entry.running.reset();
        if (ok(outcome)) {
            entry.state = slot_state::ready;
            entry.product = value(std::move(outcome));
            discard_stale();
        }
        else {
            failed = true;
            entry.state = slot_state::idle;
            observe::log(observe::log_level::warning, "sample_failed",
                         {{"sample", sample_id(step, place)}, {"detail", describe(failure(outcome))}});
        }
    }
    if (failed) {
        context_.loop.after(retry_pause, [self = shared_from_this()] { self->pump(); });
        return;
    }
    answer_waiting();
    pump();
}

void job_runner::stop()
{
    std::deque<waiting_pull> waiting;
    {
        const std::lock_guard lock(mutex_);
        stopped_ = true;
        for (auto& entry : slots_) {
            if (entry.running) {
                entry.running->cancel();
            }
        }
        waiting.swap(waiting_);
    }
    for (const auto& pull : waiting) {
        pull.on_done(error{error_code::draining, run_state::not_run, "the job moves to another node",
                           milliseconds{200}});
    }
}

v1::JobStatusReply job_runner::status() const
{
    const std::lock_guard lock(mutex_);
    v1::JobStatusReply reply;
    reply.set_job(spec_.name);
    reply.set_owner(context_.settings.vm);
    reply.set_step(step_);
    for (const auto& entry : slots_) {
        reply.set_ready(reply.ready() + (entry.state == slot_state::ready ? 1 : 0));
        reply.set_running(reply.running() + (entry.state == slot_state::running ? 1 : 0));
    }
    reply.set_announced_version(trainer_version_);
    reply.set_wasted_tokens(wasted_tokens_);
    reply.set_delivered(delivered_);
    return reply;
}

std::uint64_t job_runner::announced_version() const
{
    const std::lock_guard lock(mutex_);
    return trainer_version_;
}

} // namespace vanillagauge::rollout
