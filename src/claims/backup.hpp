/// The backup's side of claim pairs: it records claims until it takes over, and from then on none.
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

    // Commands.
    /// A claim of the home. Only `recorded` lets the home dispatch; a repeat of a recorded claim is recorded.
    record_status record(const call_key& key, std::uint64_t fingerprint, std::int64_t wall_ms);
    /// The outcome of a recorded claim; also taken after the takeover, since the home knows it ran.
    void settle(const settled_record& record, std::int64_t wall_ms);
    /// Ends recording for the pair and for older incarnations of its home, for good.
    void close(const claim_pair& pair);
    /// Closes the pair and answers from memory: unseen keys never run from now on.
    call_reply take_over(const call_key& key, std::uint64_t fingerprint, std::int64_t wall_ms);
    /// A stopping home's memory: the pair is closed, and its settled keys are kept until they expire.
    void accept_transfer(const claim_pair& pair, const std::vector<settled_record>& records,
                         std::int64_t wall_ms);
    /// Frees the memory of expired keys.
    void expire(std::int64_t wall_ms);

    // Queries.
    bool closed(const claim_pair& pair) const;
    /// The answer, where the key is settled; the home need not be asked.
    std::optional<call_reply> settled_answer(const call_key& key, std::uint64_t fingerprint) const;
    std::size_t keys() const { return keys_; }

private:
    struct entry {
        std::uint64_t fingerprint = 0;
        std::unique_ptr<outcome> answer; ///< null until the home has told it
    };
    using entries = std::map<call_id, entry>;

    memory_limits limits_;
    horizon horizon_;
    std::int64_t next_sweep_ms_ = 0;
    std::map<claim_pair, entries> pairs_;
    /// By the home's VM. Incarnation numbers of a VM grow, so one number stands for every pair closed so far
    /// and closures need no memory per pair.
    std::map<std::string, std::uint64_t> closed_through_;
    std::size_t keys_ = 0;
    std::size_t answer_bytes_ = 0;

    void advance_clock(std::int64_t wall_ms);
    const entry* find(const call_key& key) const;
    void store_answer(entry& item, const outcome& answer);
};

} // namespace vanillagauge::claims

#endif
