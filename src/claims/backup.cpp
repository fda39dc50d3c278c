#include "claims/backup.hpp"

namespace vanillagauge::claims {

const backup::entry* backup::find(const call_key& key) const
{
    const auto pair = pairs_.find(key.pair);
    if (pair == pairs_.end()) {
        return nullptr;
    }
    const auto found = pair->second.find(id_of(key));
    return found == pair->second.end() ? nullptr : &found->second;
}

record_status backup::record(const call_key& key, std::uint64_t fingerprint, std::int64_t wall_ms)
{
    advance_clock(wall_ms);
    // A paused primary may resume and send its claims late. Since the takeover callers have been answered
    // "not run" for every unseen key, so a late claim must not be acknowledged.
    if (closed(key.pair)) {
        return record_status::closed;
    }
    if (horizon_.expired(key.expires_ms)) {
        return record_status::expired;
    }
    if (const auto* known = find(key)) {
        return known->fingerprint == fingerprint ? record_status::recorded : record_status::other_request;
    }
    const auto pair = pairs_.find(key.pair);
    const bool pair_full = pair != pairs_.end() && pair->second.size() >= limits_.keys_per_pair;
    if (keys_ >= limits_.keys || pair_full) {
        return record_status::full;
    }
    pairs_[key.pair][id_of(key)].fingerprint = fingerprint;
    ++keys_;
    return record_status::recorded;
}

void backup::store_answer(entry& item, const outcome& answer)
{
    item.answer = std::make_unique<outcome>(retained_outcome(answer, answer_bytes_, limits_));
    answer_bytes_ += answer_size(*item.answer);
}

void backup::settle(const settled_record& record, std::int64_t wall_ms)
{
    advance_clock(wall_ms);
    const auto pair = pairs_.find(record.key.pair);
    if (pair == pairs_.end()) {
        return;
    }
    const auto found = pair->second.find(id_of(record.key));
    if (found == pair->second.end() || found->second.fingerprint != record.fingerprint ||
        found->second.answer) {
        return;
    }
    store_answer(found->second, record.answer);
}

void backup::close(const claim_pair& pair)
{
    auto& through = closed_through_[pair.primary.vm];
    through = std::max(through, pair.primary.number);
}

bool backup::closed(const claim_pair& pair) const
{
    const auto found = closed_through_.find(pair.primary.vm);
    return found != closed_through_.end() && pair.primary.number <= found->second;
}

call_reply backup::take_over(const call_key& key, std::uint64_t fingerprint, std::int64_t wall_ms)
{
    close(key.pair);
    advance_clock(wall_ms);
    if (horizon_.expired(key.expires_ms)) {
        return {refusal_error(refusal::expired)};
    }
    if (auto known = settled_answer(key, fingerprint)) {
        return std::move(*known);
    }
    return {refusal_error(find(key) == nullptr ? refusal::pair_closed : refusal::outcome_unknown)};
}

std::optional<call_reply> backup::settled_answer(const call_key& key, std::uint64_t fingerprint) const
{
    const auto* known = find(key);
    if (known == nullptr) {
        return {};
    }
    if (known->fingerprint != fingerprint) {
        return call_reply{refusal_error(refusal::other_request)};
    }
    if (!known->answer) {
        return {};
    }
    return call_reply{*known->answer, true};
}

void backup::accept_transfer(const claim_pair& pair, const std::vector<settled_record>& records,
                             std::int64_t wall_ms)
{
    close(pair);
    // Every key that ran was recorded here first. A key not found here was refused by the primary and is
    // answered "not run" without an entry.
    for (const auto& record : records) {
        if (record.key.pair == pair) {
            settle(record, wall_ms);
        }
    }
}

void backup::advance_clock(std::int64_t wall_ms)
{
    horizon_.advance(wall_ms);
    if (horizon_.wall_ms() >= next_sweep_ms_) {
        expire(wall_ms);
        next_sweep_ms_ = horizon_.wall_ms() + sweep_interval.count();
    }
}

void backup::expire(std::int64_t wall_ms)
{
    horizon_.advance(wall_ms);
    for (auto pair = pairs_.begin(); pair != pairs_.end();) {
        auto& items = pair->second;
        while (!items.empty() && horizon_.expired(items.begin()->first.expires_ms)) {
            const auto& answer = items.begin()->second.answer;
            answer_bytes_ -= answer ? answer_size(*answer) : 0;
            --keys_;
            items.erase(items.begin());
        }
        pair = items.empty() ? pairs_.erase(pair) : std::next(pair);
    }
}

} // namespace vanillagauge::claims
