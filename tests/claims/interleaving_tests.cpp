// Drives the real primary and backup with the events of tests/models/claims.pml in random order: lost, late,
// duplicated and reordered messages, pauses, restarts, clock steps, takeover and hand-over. The answers to
// callers are compared with what the target ran.

#include "claims/claims.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace vanillagauge::claims {
namespace {

const claim_pair pair{{"vm-1", 7}, {"vm-2", 9}};
constexpr int key_count = 3;
constexpr int request_count = 2;
constexpr std::int64_t start_ms = 1000;
constexpr std::int64_t expiry_ms = 2000;

enum class event {
    call_primary,
    call_backup,
    deliver_record,
    deliver_acknowledgement,
    deliver_refusal,
    time_out,
    dispatch,
    finish,
    deliver_settled,
    freeze,
    hand_over,
    restart_primary,
    restart_backup,
    primary_clock,
    backup_clock,
};

struct step {
    event what = event::call_primary;
    std::size_t pick = 0; ///< which message, key or request
};

// RapidCheck requires this name to print a failing history.
void showValue(const step& item, std::ostream& out) // NOLINT(readability-identifier-naming)
{
    out << "{" << static_cast<int>(item.what) << "," << item.pick << "}";
}

class simulation {
public:
    void apply(const step& item)
    {
        pick_ = item.pick;
        switch (item.what) {
        case event::call_primary:
            call_primary();
            break;
        case event::call_backup:
            call_backup();
            break;
        case event::deliver_record:
            deliver_record();
            break;
        case event::deliver_acknowledgement:
            with(acknowledgements_,
                 [this](const call_key& key) { collect(primary_.acknowledged(key, primary_ms_)); });
            break;
        case event::deliver_refusal:
            with(refusals_,
                 [this](const call_key& key) { collect(primary_.refused(key, refusal::pair_closed)); });
            break;
        case event::time_out:
            collect(primary_.refused(key(), refusal::backup_unreachable));
            break;
        case event::dispatch:
            dispatch();
            break;
        case event::finish:
            with(running_, [this](const call_key& key) { collect(primary_.finished(key, answer_of(key))); });
            break;
        case event::deliver_settled:
            with(settled_, [this](const settled_record& record) { backup_.settle(record, backup_ms_); });
            break;
        case event::freeze:
            primary_.freeze();
            break;
        case event::hand_over:
            hand_over();
            break;
        case event::restart_primary:
            restart_primary();
            break;
        case event::restart_backup:
            backup_ = backup();
            backup_original_ = false;
            break;
        case event::primary_clock:
            primary_ms_ = start_ms + static_cast<std::int64_t>(pick_ % 7) * 200; // may step back
            primary_.expire(primary_ms_);
            break;
        case event::backup_clock:
            backup_ms_ = start_ms + static_cast<std::int64_t>(pick_ % 7) * 200;
            backup_.expire(backup_ms_);
            break;
        }
    }

    int dispatches() const { return dispatches_; }

private:
    primary primary_;
    backup backup_;
    bool primary_original_ = true;
    bool backup_original_ = true;
    std::int64_t primary_ms_ = start_ms;
    std::int64_t backup_ms_ = start_ms;
    std::size_t pick_ = 0;
    waiter_id next_ = 0;
    std::map<waiter_id, std::pair<call_key, std::uint64_t>> waiters_;
    // Sent messages are never removed: each may arrive again at any time.
    std::vector<send_record> records_;
    std::vector<call_key> acknowledgements_;
    std::vector<call_key> refusals_;
    std::vector<settled_record> settled_;
    std::vector<call_key> pending_dispatches_; ///< a paused primary has not run these yet
    std::vector<call_key> running_;
    // What really ran and was answered.
    std::map<std::string, std::uint64_t> run_by_;
    std::set<std::pair<std::string, std::uint64_t>> answered_not_run_;
    int dispatches_ = 0;

    template <class Item, class Use>
    void with(const std::vector<Item>& items, Use use)
    {
        if (!items.empty()) {
            // A copy, since `use` may add to the items.
            use(Item(items[pick_ % items.size()]));
        }
    }

    call_key key() const { return {pair, expiry_ms, "k" + std::to_string(pick_ % key_count)}; }
    std::uint64_t request() const { return (pick_ / key_count) % request_count; }
    outcome answer_of(const call_key& ran) const { return std::to_string(run_by_.at(ran.suffix)); }

    void call_primary()
    {
        if (!primary_original_) {
            // A restarted primary has no records and lets the backup decide.
            call_backup();
            return;
        }
        waiters_[++next_] = {key(), request()};
        collect(primary_.call(key(), request(), next_, primary_ms_));
    }

    void call_backup()
    {
        if (backup_original_) {
            check(key(), request(), backup_.take_over(key(), request(), backup_ms_));
        }
    }

    void deliver_record()
    {
        with(records_, [this](const send_record& message) {
            if (!backup_original_) {
                refusals_.push_back(message.key);
                return;
            }
            const auto decided = backup_.record(message.key, message.fingerprint, backup_ms_);
            (decided == record_status::recorded ? acknowledgements_ : refusals_).push_back(message.key);
        });
    }

    void dispatch()
    {
        with(pending_dispatches_, [this](const call_key& key) {
            std::erase_if(pending_dispatches_,
                          [&key](const call_key& item) { return item.suffix == key.suffix; });
            run(key);
        });
    }

    void run(const call_key& key)
    {
        const auto& records = records_;
        const auto sent = std::find_if(records.begin(), records.end(), [&key](const send_record& item) {
            return item.key.suffix == key.suffix;
        });
        RC_ASSERT(sent != records.end());
        RC_ASSERT(!run_by_.contains(key.suffix));
        RC_ASSERT(!answered_not_run_.contains({key.suffix, sent->fingerprint}));
        run_by_[key.suffix] = sent->fingerprint;
        running_.push_back(key);
        ++dispatches_;
    }

    void hand_over()
    {
        if (!primary_original_ || !backup_original_ || primary_.unsettled() > 0) {
            return;
        }
        primary_.freeze();
        for (const auto& [transferred, records] : primary_.settled_records()) {
            backup_.accept_transfer(transferred, records, backup_ms_);
        }
    }

    void restart_primary()
    {
        primary_ = primary();
        primary_original_ = false;
        pending_dispatches_.clear();
        running_.clear();
    }

    void collect(const primary_actions& actions)
    {
        for (const auto& action : actions) {
            if (const auto* record = std::get_if<send_record>(&action)) {
                records_.push_back(*record);
            }
            else if (const auto* dispatched = std::get_if<dispatch_call>(&action)) {
                pending_dispatches_.push_back(dispatched->key);
            }
            else if (const auto* settled = std::get_if<send_settled>(&action)) {
                settled_.push_back(settled->record);
            }
            else if (const auto* reply = std::get_if<send_reply>(&action)) {
                const auto& [key, request] = waiters_.at(reply->waiter);
                check(key, request, reply->answer);
            }
        }
    }

    void check(const call_key& key, std::uint64_t request, const call_reply& reply)
    {
        const auto ran = run_by_.find(key.suffix);
        const bool request_ran = ran != run_by_.end() && ran->second == request;
        if (ok(reply.answer)) {
            RC_ASSERT(request_ran);
            RC_ASSERT(value(reply.answer) == std::to_string(request));
        }
        else if (failure(reply.answer).ran == run_state::not_run) {
            RC_ASSERT(!request_ran);
            answered_not_run_.insert({key.suffix, request});
        }
        else if (failure(reply.answer).ran == run_state::ran) {
            RC_ASSERT(request_ran);
        }
    }
};

rc::Gen<step> any_step()
{
    // Restarts, stops and clock steps leave little to happen in a history, so they get a low weight.
    const auto what = rc::gen::weightedElement<event>({{12, event::call_primary},
                                                       {1, event::call_backup},
                                                       {12, event::deliver_record},
                                                       {12, event::deliver_acknowledgement},
                                                       {2, event::deliver_refusal},
                                                       {1, event::time_out},
                                                       {10, event::dispatch},
                                                       {8, event::finish},
                                                       {6, event::deliver_settled},
                                                       {1, event::freeze},
                                                       {1, event::hand_over},
                                                       {1, event::restart_primary},
                                                       {1, event::restart_backup},
                                                       {1, event::primary_clock},
                                                       {1, event::backup_clock}});
    return rc::gen::apply(
        [](event chosen, std::size_t pick) {
            return step{chosen, pick};
        },
        what, rc::gen::inRange<std::size_t>(0, 1000));
}

RC_GTEST_PROP(claim_interleavings, no_history_runs_a_key_twice_or_makes_an_answer_untrue, ())
{
    const auto steps = *rc::gen::container<std::vector<step>>(any_step());
    simulation simulated;
    for (const auto& item : steps) {
        simulated.apply(item);
    }
    RC_CLASSIFY(simulated.dispatches() > 0, "with a dispatch");
}

} // namespace
} // namespace vanillagauge::claims
