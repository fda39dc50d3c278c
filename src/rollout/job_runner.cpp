#include "rollout/job_runner.hpp"

#include "observe/log.hpp"
#include "rollout/core/core.hpp"
#include "rollout/scoring.hpp"

namespace vanillagauge::rollout {
namespace {

constexpr milliseconds retry_delay{100};
constexpr milliseconds weight_interval{1000};

} // namespace

job_runner::job_runner(const context& shared, config::job_spec spec)
    : context_(shared), spec_(std::move(spec)),
      stream_prefix_(shared.settings.vm + "-" + hex(node::new_incarnation())),
      checkpoint_(std::make_shared<checkpoint_store>(shared, spec_.name)),
      job_(shared.records, shape_of(spec_))
{
}

std::string job_runner::sample_id(const samples::slot_key& slot) const
{
    const auto size = static_cast<std::size_t>(spec_.group_size);
    return spec_.name + "/" + std::to_string(slot.step) + "/" + std::to_string(slot.index / size) + "/" +
           std::to_string(slot.index % size);
}

const std::string& job_runner::prompt(const samples::slot_key& slot) const
{
    const auto group = slot.index / static_cast<std::size_t>(spec_.group_size);
    const auto groups = static_cast<std::size_t>(spec_.groups_per_step);
    return spec_.prompts[(static_cast<std::size_t>(slot.step) * groups + group) % spec_.prompts.size()];
}

void job_runner::tick()
{
    rescue_stragglers();
    start_streams();
    checkpoint_->tick();
}

// Job specs rarely change and streams are started with every sample, so the specs are read once per second.
int job_runner::capacity_share(engine_pool& engines)
{
    const auto now = steady::now();
    const std::lock_guard lock(mutex_);
    if (now >= total_weight_due_) {
        total_weight_due_ = now + weight_interval;
        total_weight_ = 0;
        const auto view = context_.keeper.current();
        for (const auto& item : view->config.list("job")) {
            const auto other = config::parse_job(item.name, item.spec_json);
            total_weight_ +=
                ok(other) && value(other).deployment == spec_.deployment ? value(other).weight : 0;
        }
    }
    return policy::job_share(engines.capacity(now), spec_.weight, total_weight_);
}

policy::sample_view job_runner::view_of(const samples::slot_key& slot, std::uint64_t min_version) const
{
    return {hash64(prompt(slot)), min_version, {}};
}

void job_runner::start_streams()
{
    const auto engines = context_.engines.find(spec_.deployment);
    if (!engines) {
        return;
    }
    const int share = capacity_share(*engines);
    std::vector<stream_start> starts;
    {
        const std::lock_guard lock(mutex_);
        while (!stopped_) {
            auto start = start_next(*engines, share);
            if (!start) {
                break;
            }
            starts.push_back(std::move(*start));
        }
    }
    launch(starts);
}

std::optional<job_runner::stream_start> job_runner::start_next(engine_pool& engines, int share)
{
    const auto next = job_.state().next_slot();
    if (!next || job_.state().in_flight() >= static_cast<std::size_t>(share)) {
        return std::nullopt;
    }
    const auto now = steady::now();
    const auto endpoint = engines.acquire(view_of(next->slot, next->min_version), spec_.plain, now);
    if (!endpoint) {
        return std::nullopt;
    }
    return make_stream(job_.begin(next->slot, endpoint->engine, now), *endpoint);
}

std::optional<job_runner::stream_start> job_runner::start_race(engine_pool& engines,
                                                               const samples::attempt& first)
{
    const auto now = steady::now();
    auto wanted = view_of(first.slot, 0);
    wanted.avoid = first.engine;
    const auto endpoint = engines.acquire(wanted, spec_.plain, now);
    if (!endpoint) {
        return std::nullopt;
    }
    const auto second = job_.race(first.slot, endpoint->engine, now);
    if (!second) {
        engines.release(endpoint->engine);
        return std::nullopt;
    }
    return make_stream(*second, *endpoint);
}

job_runner::stream_start job_runner::make_stream(const samples::attempt& stream,
                                                 const engine_endpoint& endpoint)
{
    generation_request request;
    request.request_id = sample_id(stream.slot) + "#" + stream_prefix_ + "-" + std::to_string(stream.id);
    request.prompt = prompt(stream.slot);
    request.max_tokens = spec_.max_tokens;
    request.resume_text = stream.so_far.text;
    request.resume_tokens = stream.so_far.spans.tokens();
    auto self = shared_from_this();
    auto generation = std::make_shared<slot_generation>(
        context_, std::move(request),
        [self, id = stream.id, engine = endpoint.engine](const samples::chunk_info& chunk,
                                                         const std::string& text) {
            self->on_chunk(id, engine, chunk, text);
        },
        [self, id = stream.id, engine = endpoint.engine](generation_end end, const std::string& detail) {
            self->on_end(id, engine, end, detail);
        });
    streams_[stream.id] = generation;
    return {std::move(generation), endpoint.address};
}

void job_runner::launch(const std::vector<stream_start>& starts)
{
    for (const auto& start : starts) {
        start.generation->start(start.address);
    }
}

void job_runner::cancel_streams(const std::vector<samples::attempt>& ended)
{
    for (const auto& stream : ended) {
        std::shared_ptr<slot_generation> generation;
        {
            const std::lock_guard lock(mutex_);
            const auto found = streams_.find(stream.id);
            generation = found == streams_.end() ? nullptr : found->second;
        }
        if (generation) {
            generation->cancel();
        }
    }
}

void job_runner::rescue_stragglers()
{
    const auto engines = context_.engines.find(spec_.deployment);
    if (!engines || spec_.plain) {
        return;
    }
    std::vector<stream_start> races;
    std::vector<samples::attempt> ended;
    {
        const std::lock_guard lock(mutex_);
        const auto now = steady::now();
        for (const auto& decision : job_.stragglers(engines->free_capacity(0, now), now)) {
            if (decision.action == policy::straggler_action::resume) {
                if (auto left = job_.interrupt(decision.attempt)) {
                    ended.push_back(std::move(*left));
                }
                continue;
            }
            const auto first = job_.state().find(decision.attempt);
            auto race = first ? start_race(*engines, *first) : std::nullopt;
            if (race) {
                races.push_back(std::move(*race));
            }
        }
    }
    for (const auto& stream : ended) {
        engines->on_failure(stream.engine, steady::now());
    }
    cancel_streams(ended);
    launch(races);
}

void job_runner::on_chunk(samples::attempt_id id, const std::string& engine, const samples::chunk_info& chunk,
                          const std::string& text)
{
    if (const auto engines = context_.engines.find(spec_.deployment)) {
        engines->set_version(engine, chunk.version);
    }
    const std::lock_guard lock(mutex_);
    job_.on_chunk(id, text, chunk.version, chunk.tokens, steady::now());
}

void job_runner::on_end(samples::attempt_id id, const std::string& engine, generation_end end,
                        const std::string& detail)
{
    const auto engines = context_.engines.find(spec_.deployment);
    bool owned = false;
    {
        const std::lock_guard lock(mutex_);
        streams_.erase(id);
        owned = job_.state().find(id).has_value();
        if (end != generation_end::complete) {
            job_.on_failed(id, end == generation_end::failed);
        }
    }
    if (engines) {
        engines->release(engine);
    }
    if (end == generation_end::complete) {
        engines ? engines->on_success(engine) : void();
        on_complete(id);
        return;
    }
    if (owned) {
        engines ? engines->on_failure(engine, steady::now()) : void();
        observe::log(observe::log_level::warning, "stream_failed", {{"engine", engine}, {"detail", detail}});
    }
    context_.loop.after(owned ? retry_delay : milliseconds{0},
                        [self = shared_from_this()] { self->start_streams(); });
}

void job_runner::on_complete(samples::attempt_id id)
{
    std::optional<samples::sample_content> sample;
    std::vector<samples::attempt> losers;
    samples::slot_key slot;
    {
        const std::lock_guard lock(mutex_);
        const auto stream = job_.state().find(id);
        sample = job_.on_generated(id, losers);
        slot = stream ? stream->slot : slot;
    }
    cancel_streams(losers);
    if (sample && !spec_.scorer.empty()) {
        score(id, slot, std::move(*sample));
    }
    else if (sample) {
        on_sample(id, std::move(*sample));
    }
    start_streams();
}

void job_runner::score(samples::attempt_id id, const samples::slot_key& slot, samples::sample_content sample)
{
    score_request request{spec_.scorer, sample_id(slot), prompt(slot), sample.text};
    auto job = std::make_shared<scoring>(
        context_, std::move(request),
        [self = shared_from_this(), id, sample = std::move(sample)](const result<double>& score) mutable {
            if (ok(score)) {
                sample.score = value(score);
            }
            else {
                sample.unscored_reason = describe(failure(score));
            }
            self->on_sample(id, std::move(sample));
        });
    job->start();
}

void job_runner::on_sample(samples::attempt_id id, samples::sample_content sample)
{
    {
        const std::lock_guard lock(mutex_);
        job_.on_ready(id, std::move(sample));
    }
    serve_waiting();
}

void job_runner::stop()
{
    std::deque<waiting_pull> waiting;
    std::vector<samples::attempt> ended;
    {
        const std::lock_guard lock(mutex_);
        stopped_ = true;
        ended = job_.state().running();
        waiting.swap(waiting_);
    }
    cancel_streams(ended);
    for (const auto& pull : waiting) {
        pull.on_done(error{error_code::draining, run_state::not_run, "the job is moving to another node",
                           milliseconds{200}});
    }
}

v1::JobStatusReply job_runner::status() const
{
    const std::lock_guard lock(mutex_);
    const auto& counts = job_.state().counts();
    v1::JobStatusReply reply;
    reply.set_job(spec_.name);
    reply.set_owner(context_.settings.vm);
    reply.set_step(job_.state().step());
    reply.set_ready(static_cast<int>(job_.state().filled_slots(job_.state().step())));
    reply.set_running(static_cast<int>(job_.state().in_flight()));
    reply.set_announced_version(job_.state().trainer_version());
    reply.set_wasted_tokens(counts.wasted_tokens);
    reply.set_delivered(counts.delivered);
    reply.set_discarded_stale(counts.discarded_stale);
    reply.set_cancelled(counts.cancelled);
    reply.set_resumed(counts.resumed);
    reply.set_raced(counts.raced);
    reply.set_checkpoint_step(checkpoint_->recorded_step());
    return reply;
}

} // namespace vanillagauge::rollout
