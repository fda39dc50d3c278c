/// The primary of a claim pair: the only process that dispatches, and only claims that the backup recorded.
#ifndef VANILLAGAUGE_CLAIMS_PRIMARY_HPP
#define VANILLAGAUGE_CLAIMS_PRIMARY_HPP

#include "claims/horizon.hpp"
#include "claims/record.hpp"
#include "claims/refusal.hpp"

#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace vanillagauge::claims {

/// Identifies one request that waits for an outcome; assigned by the program.
using waiter_id = std::uint64_t;

/// Request the backup to record the claim; then call `acknowledged` or `refused`.
struct send_record {
    call_key key;
    std::uint64_t fingerprint = 0;
};
/// Run the call at a target, once; then call `finished`.
struct dispatch_call {
    call_key key;
    waiter_id waiter = 0;
};
/// Send the outcome to the backup. If it is lost, a later answer may be "in doubt", but nothing runs twice.
struct send_settled {
    settled_record record;
};
struct send_reply {
    waiter_id waiter = 0;
    call_reply answer;
};
/// The backup closed the pair: issue further keys under a new incarnation number, or all are refused.
struct renew_pair {
    claim_pair pair;
};

using primary_action = std::variant<send_record, dispatch_call, send_settled, send_reply, renew_pair>;
using primary_actions = std::vector<primary_action>;

class primary {
public:
    explicit primary(memory_limits limits = {}) : limits_(limits) {}

    /// Handles a call whose key has this process as primary. `immediate_refusal` settles an unseen key
    /// without a run.
    primary_actions call(const call_key& key, std::uint64_t fingerprint, waiter_id waiter,
                         std::int64_t wall_ms, const std::optional<error>& immediate_refusal = {});
    /// The backup has recorded the claim. Late and duplicate acknowledgements have no effect.
    primary_actions acknowledged(const call_key& key, std::int64_t wall_ms);
    /// The claim was not recorded, or that is unknown: the key will never be dispatched.
    primary_actions refused(const call_key& key, refusal why);
    /// The target's answer, or the error in its place.
    primary_actions finished(const call_key& key, const outcome& answer);
    /// The waiter's deadline passed before the outcome was known.
    primary_actions remove_waiter(const call_key& key, waiter_id waiter);
    /// Removes expired keys; one that is being recorded or run stays until it is settled.
    void expire(std::int64_t wall_ms);
    /// Refuses unseen keys from now on: the first step of a planned stop.
    void freeze() { frozen_ = true; }

    /// The settled keys of all pairs, for the hand-over to the backups before this process stops.
    std::map<claim_pair, std::vector<settled_record>> settled_records() const;
    /// Keys that are being recorded or run.
    std::size_t unsettled() const;
    std::size_t keys() const { return keys_; }

private:
    enum class phase { recording, running, settled };
    struct entry {
        std::uint64_t fingerprint = 0;
        phase state = phase::recording;
        std::vector<waiter_id> waiting;
        std::unique_ptr<outcome> answer;
    };
    struct pair_state {
        std::map<call_id, entry> entries;
        bool closed = false;
    };

    memory_limits limits_;
    horizon horizon_;
    std::int64_t next_sweep_ms_ = 0;
    std::map<claim_pair, pair_state> pairs_;
    std::size_t keys_ = 0;
    std::size_t answer_bytes_ = 0;
    bool frozen_ = false;

    void advance_clock(std::int64_t wall_ms);
    entry* find(const call_key& key);
    primary_actions begin(const call_key& key, std::uint64_t fingerprint, waiter_id waiter,
                          const std::optional<error>& immediate_refusal);
    primary_actions settle(const call_key& key, entry& item, const outcome& answer);
    std::optional<error> reason_to_refuse(const pair_state& pair) const;
};

} // namespace vanillagauge::claims

#endif
