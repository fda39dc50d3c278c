#include "samples/job_state.hpp"

#include <algorithm>

namespace vanillagauge::samples {
namespace {

error stale(std::string detail)
{
    return {error_code::stale_cursor, run_state::not_run, std::move(detail)};
}

std::uint64_t saturating_subtract(std::uint64_t version, std::int64_t versions)
{
    const auto by = static_cast<std::uint64_t>(std::max<std::int64_t>(versions, 0));
    return version > by ? version - by : 0;
}

constexpr std::size_t rate_window = 32;

int own_tokens(const attempt& stream)
{
    return stream.so_far.spans.tokens() - stream.resumed_tokens;
}

} // namespace

job_state::job_state(job_shape shape) : shape_(std::move(shape))
{
    open_window();
}

void job_state::open_window()
{
    for (std::int64_t step = step_; step <= step_ + shape_.lookahead; ++step) {
        steps_.try_emplace(step, step_slots(shape_.slots()));
    }
}

job_state::slot_state* job_state::find_slot(const slot_key& key)
{
    const auto found = steps_.find(key.step);
    return found == steps_.end() || key.index >= found->second.size() ? nullptr : &found->second[key.index];
}

result<cursor> job_state::resolve(const cursor& presented) const
{
    if (presented.job != shape_.job || presented.taken.size() != shape_.slots()) {
        return stale("the cursor belongs to another job or has another number of slots");
    }
    cursor position = presented;
    if (complete(position)) {
        position = empty_cursor(shape_.job, presented.step + 1, shape_.slots());
    }
    if (position.step < step_) {
        return stale("expected a cursor of step " + std::to_string(step_) + ", found step " +
                     std::to_string(position.step));
    }
    return position;
}

std::vector<attempt> job_state::on_pull(const cursor& position, std::uint64_t trainer_version)
{
    std::vector<attempt> ended;
    trainer_version_ = std::max(trainer_version_, trainer_version);
    if (position.step > step_) {
        ended = close_steps_before(position.step);
        step_ = position.step;
        open_window();
    }
    discard_stale();
    for (auto& more : {acknowledge(position), cancel_stale()}) {
        ended.insert(ended.end(), more.begin(), more.end());
    }
    return ended;
}

std::vector<attempt> job_state::cancel(const std::vector<attempt_id>& streams)
{
    std::vector<attempt> ended;
    for (const auto id : streams) {
        ended.push_back(remove_attempt(id));
        count_wasted(own_tokens(ended.back()));
        ++counts_.cancelled;
    }
    return ended;
}

// The cursor has moved past these steps, so this owner will deliver none of their slots.
std::vector<attempt> job_state::close_steps_before(std::int64_t step)
{
    std::vector<attempt_id> outdated;
    for (const auto& [id, stream] : attempts_) {
        if (stream.slot.step < step) {
            outdated.push_back(id);
        }
    }
    auto ended = cancel(outdated);
    const auto last = steps_.lower_bound(step);
    for (auto closed = steps_.begin(); closed != last; ++closed) {
        for (const auto& slot : closed->second) {
            count_wasted(slot.ready && !slot.delivered ? slot.ready->spans.tokens() : 0);
            count_wasted(slot.partial.spans.tokens());
        }
    }
    steps_.erase(steps_.begin(), last);
    return ended;
}

// The cursor alone decides what the trainer holds. From it a new owner learns which slots its predecessor
// delivered. A slot that the cursor lacks is delivered again even if an earlier reply contained it, because
// that reply may have been lost.
std::vector<attempt> job_state::acknowledge(const cursor& position)
{
    std::vector<attempt_id> redundant;
    auto& slots = steps_[position.step];
    for (std::size_t index = 0; index < slots.size(); ++index) {
        slots[index].acknowledged = position.taken[index];
    }
    for (const auto& [id, stream] : attempts_) {
        if (stream.slot.step == position.step && position.taken[stream.slot.index]) {
            redundant.push_back(id);
        }
    }
    return cancel(redundant);
}

// The trainer publishes about one version per step, so a sample k steps ahead is pulled k versions later.
// Ending a sample that would be too stale by then saves the rest of its tokens.
bool job_state::fresh_at_pull(const sample_content& sample, std::int64_t step) const
{
    const auto oldest = sample.spans.oldest();
    if (oldest == 0) {
        return true;
    }
    const auto ahead = static_cast<std::uint64_t>(std::max<std::int64_t>(step - step_, 0));
    return fresh(oldest, trainer_version_ + ahead, shape_.max_staleness);
}

std::vector<attempt> job_state::cancel_stale()
{
    std::vector<attempt_id> expired;
    for (const auto& [id, stream] : attempts_) {
        if (!fresh_at_pull(stream.so_far, stream.slot.step)) {
            count_wasted(stream.resumed_tokens);
            expired.push_back(id);
        }
    }
    return cancel(expired);
}

void job_state::discard_stale()
{
    for (auto& [step, slots] : steps_) {
        for (auto& slot : slots) {
            if (slot.ready && !slot.acknowledged && !fresh_at_pull(*slot.ready, step)) {
                ++counts_.discarded_stale;
                count_wasted(slot.ready->spans.tokens());
                slot.delivered = false;
                slot.ready.reset();
            }
            if (!fresh_at_pull(slot.partial, step)) {
                count_wasted(slot.partial.spans.tokens());
                slot.partial = {};
            }
        }
    }
}

delivery job_state::collect(const cursor& position, std::uint64_t trainer_version, std::size_t max_samples)
{
    delivery found;
    found.next = position;
    const auto step = steps_.find(position.step);
    const bool held_back = shape_.full_steps_only && filled_slots(position.step) < shape_.slots();
    if (step == steps_.end() || held_back) {
        return found;
    }
    for (std::size_t index = 0; index < step->second.size() && found.samples.size() < max_samples; ++index) {
        auto& slot = step->second[index];
        const bool wanted = slot.ready && !position.taken[index];
        if (wanted && fresh(slot.ready->spans.oldest(), trainer_version, shape_.max_staleness)) {
            found.samples.push_back({{position.step, index}, *slot.ready});
            found.next.taken[index] = true;
            slot.delivered = true;
            ++counts_.delivered;
        }
    }
    found.step_complete = complete(found.next);
    return found;
}

attempt job_state::add_attempt(const slot_key& slot, const std::string& engine, sample_content from,
                               time_point now)
{
    attempt stream;
    stream.id = next_attempt_++;
    stream.slot = slot;
    stream.engine = engine;
    stream.resumed_tokens = from.spans.tokens();
    stream.so_far = std::move(from);
    stream.started = now;
    stream.last_progress = now;
    ++find_slot(slot)->streams;
    attempts_[stream.id] = stream;
    return stream;
}

attempt job_state::begin(const slot_key& slot, const std::string& engine, time_point now)
{
    sample_content from = std::move(find_slot(slot)->partial);
    find_slot(slot)->partial = {};
    counts_.resumed += from.spans.tokens() > 0 ? 1 : 0;
    return add_attempt(slot, engine, std::move(from), now);
}

std::optional<attempt> job_state::race(const slot_key& slot, const std::string& engine, time_point now)
{
    const auto first = std::find_if(attempts_.begin(), attempts_.end(), [&](const auto& entry) {
        return entry.second.slot == slot && !entry.second.generated;
    });
    const auto* state = find_slot(slot);
    if (first == attempts_.end() || state == nullptr || state->streams != 1) {
        return std::nullopt;
    }
    ++counts_.raced;
    return add_attempt(slot, engine, first->second.so_far, now);
}

attempt job_state::remove_attempt(attempt_id id)
{
    const auto found = attempts_.find(id);
    attempt stream = std::move(found->second);
    attempts_.erase(found);
    if (auto* slot = find_slot(stream.slot)) {
        --slot->streams;
    }
    return stream;
}

std::optional<attempt> job_state::interrupt(attempt_id id)
{
    const auto found = attempts_.find(id);
    if (found == attempts_.end() || found->second.generated) {
        return std::nullopt;
    }
    const attempt stream = found->second;
    on_failed(id, true);
    return stream;
}

bool job_state::on_chunk(attempt_id id, const std::string& text, std::uint64_t version, int tokens,
                         time_point now)
{
    const auto found = attempts_.find(id);
    if (found == attempts_.end()) {
        return false;
    }
    found->second.so_far.text += text;
    found->second.so_far.spans.add(version, tokens);
    found->second.last_progress = now;
    return true;
}

// The first complete stream fills the slot; the tokens of the others are counted as wasted.
std::optional<sample_content> job_state::on_generated(attempt_id id, std::vector<attempt>& losers)
{
    const auto found = attempts_.find(id);
    if (found == attempts_.end()) {
        return std::nullopt;
    }
    found->second.generated = true;
    const auto took =
        std::chrono::duration<double>(found->second.last_progress - found->second.started).count();
    if (took > 0) {
        rates_.push_back(own_tokens(found->second) / took);
        rates_.size() > rate_window ? rates_.pop_front() : void();
    }
    std::vector<attempt_id> others;
    for (const auto& [other, stream] : attempts_) {
        if (other != id && stream.slot == found->second.slot) {
            others.push_back(other);
        }
    }
    for (const auto other : others) {
        losers.push_back(remove_attempt(other));
        const bool winner_resumed_it = losers.back().resumed_tokens < found->second.resumed_tokens;
        count_wasted(own_tokens(losers.back()) - (winner_resumed_it ? found->second.resumed_tokens : 0));
        ++counts_.cancelled;
    }
    return found->second.so_far;
}

void job_state::on_ready(attempt_id id, sample_content sample)
{
    if (!attempts_.contains(id)) {
        return;
    }
    const attempt stream = remove_attempt(id);
    if (auto* slot = find_slot(stream.slot)) {
        slot->ready = std::move(sample);
        slot->partial = {};
    }
    discard_stale();
}

// If another stream of the slot is still running, the slot continues with it.
void job_state::on_failed(attempt_id id, bool keep)
{
    if (!attempts_.contains(id)) {
        return;
    }
    attempt stream = remove_attempt(id);
    auto* slot = find_slot(stream.slot);
    if (slot == nullptr || slot->streams > 0) {
        count_wasted(own_tokens(stream));
        return;
    }
    if (!keep || !fresh_at_pull(stream.so_far, stream.slot.step)) {
        count_wasted(stream.so_far.spans.tokens());
        return;
    }
    slot->partial = std::move(stream.so_far);
}

std::optional<candidate_slot> job_state::next_slot() const
{
    for (const auto& [step, slots] : steps_) {
        const auto ahead = step - step_;
        const auto bound = ahead == 0 ? shape_.max_staleness : shape_.planned_staleness;
        for (std::size_t index = 0; index < slots.size(); ++index) {
            if (!slots[index].filled() && slots[index].streams == 0) {
                return candidate_slot{{step, index},
                                      saturating_subtract(trainer_version_ + std::uint64_t(ahead), bound)};
            }
        }
    }
    return std::nullopt;
}

double job_state::median_rate() const
{
    if (rates_.empty()) {
        return 0;
    }
    std::vector<double> sorted(rates_.begin(), rates_.end());
    const auto middle = sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() / 2);
    std::nth_element(sorted.begin(), middle, sorted.end());
    return *middle;
}

std::vector<attempt> job_state::running() const
{
    std::vector<attempt> all;
    all.reserve(attempts_.size());
    for (const auto& [id, stream] : attempts_) {
        all.push_back(stream);
    }
    return all;
}

std::optional<attempt> job_state::find(attempt_id id) const
{
    const auto found = attempts_.find(id);
    return found == attempts_.end() ? std::nullopt : std::optional<attempt>(found->second);
}

std::size_t job_state::filled_slots(std::int64_t step) const
{
    const auto found = steps_.find(step);
    if (found == steps_.end()) {
        return 0;
    }
    const auto& slots = found->second;
    return static_cast<std::size_t>(
        std::count_if(slots.begin(), slots.end(), [](const auto& slot) { return slot.filled(); }));
}

} // namespace vanillagauge::samples
