/// The claim records of this process, in shards with a lock each.
#ifndef VANILLAGAUGE_ENTRY_CLAIM_STORE_HPP
#define VANILLAGAUGE_ENTRY_CLAIM_STORE_HPP

#include "claims/claims.hpp"

#include <array>
#include <functional>
#include <mutex>

namespace vanillagauge::entry {

/// All keys of a pair are in one shard, chosen by the peer's VM, so that closing a pair is atomic.
class claim_store {
public:
    static constexpr std::size_t shard_count = 4;

    explicit claim_store(claims::memory_limits limits_per_shard);

    /// Runs `use` on the shard's primary under the shard's lock.
    template <class Use>
    auto with_primary(const claims::claim_pair& pair, Use use)
    {
        auto& part = shard_of(pair.backup.vm);
        const std::lock_guard lock(part.mutex);
        return use(part.primary);
    }

    /// Runs `use` on the shard's backup under the shard's lock.
    template <class Use>
    auto with_backup(const claims::claim_pair& pair, Use use)
    {
        auto& part = shard_of(pair.primary.vm);
        const std::lock_guard lock(part.mutex);
        return use(part.backup);
    }

    void freeze();
    void expire(std::int64_t wall_ms);
    std::size_t unsettled() const;
    std::size_t keys() const;
    std::map<claims::claim_pair, std::vector<claims::settled_record>> settled_records() const;

private:
    struct shard {
        mutable std::mutex mutex;
        claims::primary primary;
        claims::backup backup;
    };
    std::array<shard, shard_count> shards_;

    shard& shard_of(const std::string& vm);
};

} // namespace vanillagauge::entry

#endif
