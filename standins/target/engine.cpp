#include "engine.hpp"

#include <algorithm>
#include <cmath>

namespace vanillagauge::standins {

namespace pb = target::v1;

namespace {

constexpr std::size_t max_cache_events = 256;
constexpr std::size_t prefix_length = 64;
/// Log-normal lengths: most samples are short, a few come close to their token limit.
constexpr double length_sigma = 0.8;
constexpr double median_share = 0.25;

} // namespace

engine::engine(engine_options options, fault_state& faults, wire::event_loop& loop)
    : options_(options), faults_(faults), loop_(loop), random_(options.seed), version_(options.version)
{
}

int engine::draw_length(const std::string& request_id, int max_tokens) const
{
    std::mt19937_64 drawn(hash64(std::string_view(request_id).substr(0, request_id.find('#'))));
    std::lognormal_distribution<double> lengths(std::log(std::max(1.0, max_tokens * median_share)),
                                                length_sigma);
    return std::clamp(static_cast<int>(lengths(drawn)), 1, std::max(1, max_tokens));
}

/// Streams pause while weights load and resume afterwards.
milliseconds engine::remaining_load_time() const
{
    return milliseconds_between(steady::now(), loading_until_);
}

void engine::record_load()
{
    const auto now = steady::now();
    load_history_.emplace_back(now, static_cast<int>(streams_.size()));
    while (load_history_.size() > 1 && now - load_history_[1].first > options_.report_lag) {
        load_history_.pop_front();
    }
}

void engine::record_prefix(const std::string& prompt)
{
    pb::CacheEvent event;
    event.set_sequence(next_cache_event_++);
    event.set_prefix_hash(digest(std::string_view(prompt).substr(0, prefix_length)));
    cache_events_.push_back(std::move(event));
    if (cache_events_.size() > max_cache_events) {
        cache_events_.pop_front();
    }
}

milliseconds engine::chunk_delay()
{
    const auto streams = static_cast<std::int64_t>(streams_.size());
    const auto effective_streams = std::max<std::int64_t>(options_.capacity, streams);
    return remaining_load_time() +
           milliseconds{options_.chunk_time.count() * effective_streams / options_.capacity};
}

void engine::Generate(google::protobuf::RpcController* control, const pb::GenerateRequest* request,
                      pb::GenerateChunk* /*unused*/, google::protobuf::Closure* done)
{
    faults_.crash_if_requested(request->prompt());
    const auto fault = faults_.current();
    if (fault.silent()) {
        return;
    }
    if (fault.refuse()) {
        wire::controller_of(control).fail(
            {error_code::unavailable, run_state::not_run, "the engine takes nothing"});
        done->Run();
        return;
    }
    auto running = std::make_shared<stream>();
    running->control = &wire::controller_of(control);
    running->done = done;
    running->request_id = request->request_id();
    milliseconds delay{fault.delay_ms()};
    {
        const std::lock_guard lock(mutex_);
        running->total_tokens =
            std::max(1, draw_length(request->request_id(), request->max_tokens()) - request->resume_tokens());
        streams_[request->request_id()] = running;
        record_load();
        record_prefix(request->prompt());
        delay += chunk_delay();
    }
    loop_.after(delay, [this, running] { send_chunk(running); });
}

void engine::send_chunk(const stream_ptr& running)
{
    const auto fault = faults_.current();
    pb::GenerateChunk chunk;
    milliseconds delay{fault.delay_ms()};
    bool last = false;
    {
        const std::lock_guard lock(mutex_);
        const int count = std::min(options_.chunk_tokens, running->total_tokens - running->tokens);
        running->tokens += count;
        last = running->tokens >= running->total_tokens || running->cancelled;
        chunk.set_request_id(running->request_id);
        chunk.set_sequence(running->sequence++);
        chunk.set_tokens(count);
        for (int index = 0; index < count; ++index) {
            chunk.set_text(chunk.text() + "t" + std::to_string(random_() % 1000) + " ");
        }
        chunk.set_version(fault.omit_labels() ? 0 : version_);
        chunk.set_done(last);
        chunk.set_total_tokens(last ? running->tokens : 0);
        if (last) {
            streams_.erase(running->request_id);
        }
        record_load();
        delay += chunk_delay();
    }
    if (fault.silent()) {
        return;
    }
    {
        const std::lock_guard lock(faults_.mutex);
        faults_.counts.set_tokens(faults_.counts.tokens() + chunk.tokens());
    }
    {
        const std::lock_guard lock(faults_.mutex);
        if (const int left = faults_.active.cross_next_chunks(); left > 0) {
            faults_.active.set_cross_next_chunks(left - 1);
            chunk.set_request_id("late-" + chunk.request_id());
        }
    }
    running->control->write(chunk);
    if (last) {
        faults_.count_run(running->request_id);
        running->done->Run();
        return;
    }
    loop_.after(delay, [this, running] { send_chunk(running); });
}

void engine::Cancel(google::protobuf::RpcController* /*control*/, const pb::CancelRequest* request,
                    pb::CancelReply* reply, google::protobuf::Closure* done)
{
    {
        const std::lock_guard lock(mutex_);
        const auto found = streams_.find(request->request_id());
        if (found != streams_.end()) {
            found->second->cancelled = true;
            reply->set_tokens(found->second->tokens);
            const std::lock_guard counts_lock(faults_.mutex);
            faults_.counts.set_cancelled(faults_.counts.cancelled() + 1);
        }
    }
    done->Run();
}

void engine::Order(google::protobuf::RpcController* /*control*/, const pb::OrderRequest* request,
                   pb::OrderReply* reply, google::protobuf::Closure* done)
{
    bool refused = false;
    {
        const std::lock_guard lock(faults_.mutex);
        const int left = faults_.active.fail_next_orders();
        refused = left > 0;
        faults_.active.set_fail_next_orders(std::max(0, left - 1));
    }
    {
        const std::lock_guard lock(mutex_);
        loading_until_ = std::max(loading_until_, steady::now() + options_.load_time);
    }
    loop_.after(options_.load_time, [this, request = *request, reply, done, refused] {
        {
            const std::lock_guard lock(mutex_);
            const bool stale = options_.enforce_fencing && request.fencing() < fencing_token_;
            fencing_token_ = std::max(fencing_token_, request.fencing());
            reply->set_accepted(!refused && !stale);
            reply->set_detail(refused ? "the load failed" : stale ? "the fencing number is old" : "");
            if (reply->accepted() && request.operation() == "load_version") {
                version_ = request.version();
            }
            if (reply->accepted() && request.operation() == "set_role") {
                role_ = request.role();
            }
            reply->set_version(version_);
            reply->set_fencing(fencing_token_);
        }
        done->Run();
    });
}

void engine::Load(google::protobuf::RpcController* /*control*/, const pb::LoadRequest* /*request*/,
                  pb::LoadReply* reply, google::protobuf::Closure* done)
{
    const auto fault = faults_.current();
    {
        const std::lock_guard lock(mutex_);
        const auto now = steady::now();
        const int running = load_history_.empty() ? 0 : load_history_.front().second;
        const double scale = fault.load_scale() == 0 ? 1 : fault.load_scale();
        reply->set_running(static_cast<int>(running * scale));
        reply->set_capacity(options_.capacity);
        reply->set_version(version_);
        reply->set_role(role_);
        const auto age = load_history_.empty() ? duration{} : now - load_history_.front().first;
        reply->set_age_ms(std::chrono::duration_cast<milliseconds>(age).count());
    }
    done->Run();
}

void engine::CacheEvents(google::protobuf::RpcController* /*control*/, const pb::CacheEventsRequest* request,
                         pb::CacheEventsReply* reply, google::protobuf::Closure* done)
{
    {
        const std::lock_guard lock(mutex_);
        reply->set_next(next_cache_event_);
        for (const auto& event : cache_events_) {
            // Drops every seventh event: the feeds of real engines have gaps.
            if (event.sequence() >= request->since() && event.sequence() % 7 != 0) {
                *reply->add_events() = event;
            }
        }
    }
    done->Run();
}

void engine::ExportCache(google::protobuf::RpcController* control, const pb::ExportRequest* request,
                         pb::ExportReply* reply, google::protobuf::Closure* done)
{
    {
        const std::lock_guard lock(mutex_);
        const auto found = streams_.find(request->request_id());
        if (found == streams_.end()) {
            wire::controller_of(control).fail({error_code::not_found, run_state::not_run, "no such stream"});
        }
        else {
            reply->set_cache(request->request_id() + ":" + std::to_string(found->second->tokens));
            reply->set_version(version_);
        }
    }
    done->Run();
}

void engine::ImportCache(google::protobuf::RpcController* /*control*/, const pb::ImportRequest* request,
                         pb::ImportReply* reply, google::protobuf::Closure* done)
{
    reply->set_cache_handle(digest(request->cache()));
    done->Run();
}

} // namespace vanillagauge::standins
