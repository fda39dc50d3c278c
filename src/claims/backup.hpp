/// The backup of a claim pair: records claims until it takes over, and rejects them from then on.
#ifndef VANILLAGAUGE_CLAIMS_BACKUP_HPP
#define VANILLAGAUGE_CLAIMS_BACKUP_HPP

#include "claims/horizon.hpp"
#include "claims/record.hpp"
#include "claims/refusal.hpp"

#include <map>
#include <optional>
#include <vector>

namespace vanillagauge::claims {

enum class record_status { recorded, closed, expired, full, other_request };

class backup {
public:
    explicit backup(memory_limits limits = {}) : limits_(limits) {}

    /// Records a claim; the primary may dispatch only on `recorded`. A repeated claim is recorded as well.
    record_status record(const call_key& key, std::uint64_t fingerprint, std::int64_t wall_ms);
    /// Stores the outcome of a recorded claim; allowed after a takeover, since the primary knows that it ran.
    void settle(const settled_record& record, std::int64_t wall_ms);
    /// Permanently rejects claims of the pair and of older incarnations of its primary.
    void close(const claim_pair& pair);
    /// Closes the pair and answers from the recorded claims; an unseen key can no longer run.
    call_reply take_over(const call_key& key, std::uint64_t fingerprint, std::int64_t wall_ms);
    /// Closes the pair and stores the settled keys of its stopping primary until they expire.
    void accept_transfer(const claim_pair& pair, const std::vector<settled_record>& records,
                         std::int64_t wall_ms);
    /// Removes expired keys.
    void expire(std::int64_t wall_ms);

    bool closed(const claim_pair& pair) const;
    /// The answer that needs no request to the primary: of a settled key, or a conflict; otherwise empty.
    std::optional<call_reply> settled_answer(const call_key& key, std::uint64_t fingerprint) const;
    std::size_t keys() const { return keys_; }

private:
    struct entry {
        std::uint64_t fingerprint = 0;
        std::unique_ptr<outcome> answer; ///< null until the primary has sent it
    };
    using entries = std::map<call_id, entry>;

    memory_limits limits_;
    horizon horizon_;
    std::int64_t next_sweep_ms_ = 0;
    std::map<claim_pair, entries> pairs_;
    /// The highest closed incarnation by the primary's VM. A VM's incarnation numbers only increase, so one
    /// number covers all its closed pairs and the map does not grow with them.
    std::map<std::string, std::uint64_t> closed_through_;
    std::size_t keys_ = 0;
    std::size_t answer_bytes_ = 0;

    void advance_clock(std::int64_t wall_ms);
    const entry* find(const call_key& key) const;
    void store_answer(entry& item, const outcome& answer);
};

} // namespace vanillagauge::claims

#endif
