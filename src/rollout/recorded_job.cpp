#include "rollout/recorded_job.hpp"

#include "rollout/core/core.hpp"

namespace vanillagauge::rollout {
namespace {

using nlohmann::json;

std::string bits(const std::vector<bool>& taken)
{
    std::string text;
    for (const bool bit : taken) {
        text += bit ? '1' : '0';
    }
    return text;
}

json ids(const std::vector<samples::attempt>& streams)
{
    json all = json::array();
    for (const auto& stream : streams) {
        all.push_back(stream.id);
    }
    return all;
}

json indices(const samples::delivery& found)
{
    json all = json::array();
    for (const auto& item : found.samples) {
        all.push_back(item.slot.index);
    }
    return all;
}

} // namespace

recorded_job::recorded_job(recorder& log, const samples::job_shape& shape) : log_(log), state_(shape)
{
    record("open", {{"job", shape.job},
                    {"group_size", shape.group_size},
                    {"groups", shape.groups},
                    {"max_staleness", shape.max_staleness},
                    {"planned_staleness", shape.planned_staleness},
                    {"lookahead", shape.lookahead}});
}

void recorded_job::record(const char* event, json fields)
{
    if (log_.enabled()) {
        log_.write("job", event, steady::now(), std::move(fields));
    }
}

std::vector<samples::attempt> recorded_job::on_pull(const samples::cursor& position,
                                                    std::uint64_t trainer_version)
{
    auto ended = state_.on_pull(position, trainer_version);
    record("pull", {{"step", position.step},
                    {"taken", bits(position.taken)},
                    {"version", trainer_version},
                    {"ended", ids(ended)}});
    return ended;
}

samples::delivery recorded_job::collect(const samples::cursor& position, std::uint64_t trainer_version,
                                        std::size_t max_samples)
{
    auto found = state_.collect(position, trainer_version, max_samples);
    if (!found.samples.empty()) {
        record("collect", {{"step", position.step},
                           {"taken", bits(position.taken)},
                           {"version", trainer_version},
                           {"most", max_samples},
                           {"served", indices(found)}});
    }
    return found;
}

samples::attempt recorded_job::begin(const samples::slot_key& slot, const std::string& engine, time_point now)
{
    auto stream = state_.begin(slot, engine, now);
    log_.enabled() ? log_.write("job", "begin", now,
                                {{"step", slot.step},
                                 {"place", slot.index},
                                 {"engine", engine},
                                 {"id", stream.id},
                                 {"resumed", stream.resumed_tokens}})
                   : void();
    return stream;
}

std::optional<samples::attempt> recorded_job::race(const samples::slot_key& slot, const std::string& engine,
                                                   time_point now)
{
    auto stream = state_.race(slot, engine, now);
    if (stream && log_.enabled()) {
        log_.write("job", "race", now,
                   {{"step", slot.step}, {"place", slot.index}, {"engine", engine}, {"id", stream->id}});
    }
    return stream;
}

std::optional<samples::attempt> recorded_job::interrupt(samples::attempt_id id)
{
    record("interrupt", {{"id", id}});
    return state_.interrupt(id);
}

bool recorded_job::on_chunk(samples::attempt_id id, const std::string& text, std::uint64_t version,
                            int tokens, time_point now)
{
    if (log_.enabled()) {
        log_.write("job", "chunk", now, {{"id", id}, {"version", version}, {"tokens", tokens}});
    }
    return state_.on_chunk(id, text, version, tokens, now);
}

std::optional<samples::sample_content> recorded_job::on_generated(samples::attempt_id id,
                                                                  std::vector<samples::attempt>& losers)
{
    auto made = state_.on_generated(id, losers);
    record("generated", {{"id", id}, {"in_time", made.has_value()}, {"losers", ids(losers)}});
    return made;
}

void recorded_job::on_ready(samples::attempt_id id, samples::sample_content sample)
{
    record("ready", {{"id", id}});
    state_.on_ready(id, std::move(sample));
}

void recorded_job::on_failed(samples::attempt_id id, bool keep)
{
    record("broken", {{"id", id}, {"keep", keep}});
    state_.on_failed(id, keep);
}

std::vector<policy::straggler_decision> recorded_job::stragglers(std::size_t free_capacity, time_point now)
{
    auto chosen = policy::find_stragglers(step_view_of(state_, free_capacity, now));
    if (!chosen.empty() && log_.enabled()) {
        json all = json::array();
        for (const auto& decision : chosen) {
            all.push_back(
                {{"id", decision.attempt}, {"race", decision.action == policy::straggler_action::race}});
        }
        log_.write("job", "stragglers", now, {{"free_places", free_capacity}, {"chosen", all}});
    }
    return chosen;
}

} // namespace vanillagauge::rollout
