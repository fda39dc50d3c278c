#include "entry/claim_store.hpp"

#include "base/digest.hpp"

namespace vanillagauge::entry {

claim_store::claim_store(claims::memory_limits limits_per_shard)
{
    for (auto& part : shards_) {
        part.primary = claims::primary(limits_per_shard);
        part.backup = claims::backup(limits_per_shard);
    }
}

claim_store::shard& claim_store::shard_of(const std::string& vm)
{
    return shards_[hash64(vm) % shard_count];
}

void claim_store::freeze()
{
    for (auto& part : shards_) {
        const std::lock_guard lock(part.mutex);
        part.primary.freeze();
    }
}

void claim_store::expire(std::int64_t wall_ms)
{
    for (auto& part : shards_) {
        const std::lock_guard lock(part.mutex);
        part.primary.expire(wall_ms);
        part.backup.expire(wall_ms);
    }
}

std::size_t claim_store::unsettled() const
{
    std::size_t count = 0;
    for (const auto& part : shards_) {
        const std::lock_guard lock(part.mutex);
        count += part.primary.unsettled();
    }
    return count;
}

std::size_t claim_store::keys() const
{
    std::size_t count = 0;
    for (const auto& part : shards_) {
        const std::lock_guard lock(part.mutex);
        count += part.primary.keys() + part.backup.keys();
    }
    return count;
}

std::map<claims::claim_pair, std::vector<claims::settled_record>> claim_store::settled_records() const
{
    std::map<claims::claim_pair, std::vector<claims::settled_record>> all;
    for (const auto& part : shards_) {
        const std::lock_guard lock(part.mutex);
        all.merge(part.primary.settled_records());
    }
    return all;
}

} // namespace vanillagauge::entry
