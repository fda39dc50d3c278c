#include "claims/primary.hpp"

#include <algorithm>

namespace vanillagauge::claims {
namespace {

/// The last quarter of the entries is reserved for refusals. If a refusal were not recorded, a delayed copy
/// of the request could still run the key.
constexpr std::size_t reserved_divisor = 4;

send_reply reply_error(waiter_id waiter, const error& failure)
{
    return {waiter, {failure, false}};
}

} // namespace

primary::entry* primary::find(const call_key& key)
{
    const auto pair = pairs_.find(key.pair);
    if (pair == pairs_.end()) {
        return nullptr;
    }
    const auto found = pair->second.entries.find(id_of(key));
    return found == pair->second.entries.end() ? nullptr : &found->second;
}

primary_actions primary::call(const call_key& key, std::uint64_t fingerprint, waiter_id waiter,
                              std::int64_t wall_ms, const std::optional<error>& immediate_refusal)
{
    advance_clock(wall_ms);
    if (entry* known = find(key)) {
        if (known->fingerprint != fingerprint) {
            return {reply_error(waiter, refusal_error(refusal::other_request))};
        }
        if (known->state == phase::settled) {
            return {send_reply{waiter, {*known->answer, true}}};
        }
        known->waiting.push_back(waiter);
        return {};
    }
    if (horizon_.expired(key.expires_ms)) {
        return {reply_error(waiter, refusal_error(refusal::expired))};
    }
    if (key.expires_ms > horizon_.wall_ms() + limits_.max_lifetime.count()) {
        return {reply_error(waiter, refusal_error(refusal::excessive_lifetime))};
    }
    return begin(key, fingerprint, waiter, immediate_refusal);
}

primary_actions primary::begin(const call_key& key, std::uint64_t fingerprint, waiter_id waiter,
                               const std::optional<error>& immediate_refusal)
{
    if (keys_ >= limits_.keys) {
        return {reply_error(waiter, refusal_error(refusal::exhausted))};
    }
    auto& pair = pairs_[key.pair];
    const auto reason = immediate_refusal ? immediate_refusal : reason_to_refuse(pair);
    auto& item = pair.entries[id_of(key)];
    ++keys_;
    item.fingerprint = fingerprint;
    item.waiting.push_back(waiter);
    if (reason) {
        return settle(key, item, *reason);
    }
    return {send_record{key, fingerprint}};
}

std::optional<error> primary::reason_to_refuse(const pair_state& pair) const
{
    if (frozen_) {
        return refusal_error(refusal::stopping);
    }
    if (pair.closed) {
        return refusal_error(refusal::pair_closed);
    }
    const auto room = limits_.keys - limits_.keys / reserved_divisor;
    if (keys_ >= room || pair.entries.size() >= limits_.keys_per_pair) {
        return refusal_error(refusal::full);
    }
    return {};
}

primary_actions primary::acknowledged(const call_key& key, std::int64_t wall_ms)
{
    horizon_.advance(wall_ms);
    entry* item = find(key);
    if (item == nullptr || item->state != phase::recording) {
        return {};
    }
    if (horizon_.expired(key.expires_ms)) {
        return settle(key, *item, refusal_error(refusal::expired_before_run));
    }
    if (item->waiting.empty()) {
        return settle(key, *item, refusal_error(refusal::no_waiters));
    }
    item->state = phase::running;
    return {dispatch_call{key, item->waiting.front()}};
}

primary_actions primary::refused(const call_key& key, refusal why)
{
    entry* item = find(key);
    if (item == nullptr || item->state != phase::recording) {
        return {};
    }
    auto actions = settle(key, *item, refusal_error(why));
    auto& pair = pairs_[key.pair];
    if (why == refusal::pair_closed && !std::exchange(pair.closed, true)) {
        actions.push_back(renew_pair{key.pair});
    }
    return actions;
}

primary_actions primary::finished(const call_key& key, const outcome& answer)
{
    entry* item = find(key);
    if (item == nullptr || item->state != phase::running) {
        return {};
    }
    const auto fingerprint = item->fingerprint;
    auto actions = settle(key, *item, answer);
    actions.push_back(send_settled{{key, fingerprint, answer}});
    return actions;
}

primary_actions primary::settle(const call_key& key, entry& item, const outcome& answer)
{
    primary_actions actions;
    for (const auto waiter : item.waiting) {
        actions.push_back(send_reply{waiter, {answer, !actions.empty()}});
    }
    item.waiting = {};
    item.state = phase::settled;
    item.answer = std::make_unique<outcome>(retained_outcome(answer, answer_bytes_, limits_));
    answer_bytes_ += answer_size(*item.answer);
    if (horizon_.expired(key.expires_ms)) {
        expire(horizon_.wall_ms());
    }
    return actions;
}

primary_actions primary::remove_waiter(const call_key& key, waiter_id waiter)
{
    entry* item = find(key);
    if (item == nullptr || std::erase(item->waiting, waiter) == 0) {
        return {};
    }
    return {reply_error(waiter, refusal_error(refusal::deadline_exceeded))};
}

void primary::advance_clock(std::int64_t wall_ms)
{
    horizon_.advance(wall_ms);
    if (horizon_.wall_ms() >= next_sweep_ms_) {
        expire(wall_ms);
        next_sweep_ms_ = horizon_.wall_ms() + sweep_interval.count();
    }
}

void primary::expire(std::int64_t wall_ms)
{
    horizon_.advance(wall_ms);
    for (auto pair = pairs_.begin(); pair != pairs_.end();) {
        auto& entries = pair->second.entries;
        for (auto item = entries.begin();
             item != entries.end() && horizon_.expired(item->first.expires_ms);) {
            if (item->second.state != phase::settled) {
                ++item; // has waiters; removed once it is settled
                continue;
            }
            answer_bytes_ -= answer_size(*item->second.answer);
            --keys_;
            item = entries.erase(item);
        }
        pair = entries.empty() ? pairs_.erase(pair) : std::next(pair);
    }
}

std::map<claim_pair, std::vector<settled_record>> primary::settled_records() const
{
    std::map<claim_pair, std::vector<settled_record>> all;
    for (const auto& [pair, memory] : pairs_) {
        auto& records = all[pair];
        for (const auto& [id, item] : memory.entries) {
            if (item.state == phase::settled) {
                records.push_back({{pair, id.expires_ms, id.suffix}, item.fingerprint, *item.answer});
            }
        }
    }
    return all;
}

std::size_t primary::unsettled() const
{
    std::size_t count = 0;
    for (const auto& [pair, memory] : pairs_) {
        count += static_cast<std::size_t>(
            std::count_if(memory.entries.begin(), memory.entries.end(),
                          [](const auto& item) { return item.second.state != phase::settled; }));
    }
    return count;
}

} // namespace vanillagauge::claims
