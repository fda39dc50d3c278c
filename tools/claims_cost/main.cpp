/// vg-claims-cost: memory for each key of a claim pair, and processor time for each decision on one.

#include "claims/claims.hpp"

#include <malloc.h>

#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <memory>

namespace {

using namespace vanillagauge;
using namespace vanillagauge::claims;

constexpr std::int64_t now_ms = 1'764'000'000'000;
constexpr std::int64_t ttl_ms = 60'000;
constexpr std::uint64_t fingerprint = 11;
constexpr std::size_t suffix_length = 24;

/// Keys as callers send them: spread over `pairs` backups, with a nonce and a caller's suffix.
std::vector<call_key> make_keys(int count, int pairs)
{
    std::vector<call_key> keys;
    for (int index = 0; index < count; ++index) {
        const claim_pair pair{{"vm-home", 1}, {"vm-" + std::to_string(index % pairs), 1}};
        auto suffix = std::to_string(index) + "-" + std::string(suffix_length, 'x');
        keys.push_back({pair, now_ms + ttl_ms + index % 5000, std::move(suffix)});
    }
    return keys;
}

std::size_t heap_bytes()
{
    const auto info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

void run_primary(primary& side, const std::vector<call_key>& keys, const std::string& answer)
{
    waiter_id waiter = 0;
    for (const auto& key : keys) {
        side.call(key, fingerprint, ++waiter, now_ms);
        side.acknowledged(key, now_ms);
        side.finished(key, answer);
    }
}

void run_backup(backup& side, const std::vector<call_key>& keys, const std::string& answer)
{
    for (const auto& key : keys) {
        side.record(key, fingerprint, now_ms);
        side.settle({key, fingerprint, answer}, now_ms);
    }
}

/// Processor time for each key in nanoseconds, so that other programs on the machine do not count.
template <class Work>
double time_per_key(std::size_t keys, Work work)
{
    const auto start = std::clock();
    work();
    const auto taken = static_cast<double>(std::clock() - start) / CLOCKS_PER_SEC;
    return taken * 1e9 / static_cast<double>(keys);
}

template <class Side, class Run>
void report(const char* name, const memory_limits& limits, const std::vector<call_key>& keys,
            const std::string& answer, Run run)
{
    const auto before = heap_bytes();
    auto side = std::make_unique<Side>(limits);
    const auto nanoseconds = time_per_key(keys.size(), [&] { run(*side, keys, answer); });
    const auto held = heap_bytes() - before;
    std::printf("%-7s %7zu keys kept  %4zu-byte answers  %6.1f bytes/key  %7.0f ns/call\n", name,
                side->keys(), answer.size(), static_cast<double>(held) / static_cast<double>(side->keys()),
                nanoseconds);
}

} // namespace

int main(int argc, char** argv)
{
    const int count = argc > 1 ? std::atoi(argv[1]) : 8192;
    const int pairs = argc > 2 ? std::atoi(argv[2]) : 7;
    const auto keys = make_keys(count, pairs);
    const auto key_limit = static_cast<std::size_t>(count) * 2;
    const memory_limits limits{.keys = key_limit, .keys_per_pair = key_limit, .answer_bytes = 64U << 20U};
    std::printf("%d keys over %d pairs\n", count, pairs);
    for (const std::size_t answer_bytes : {0U, 64U, 256U}) {
        const std::string answer(answer_bytes, 'a');
        report<primary>("home", limits, keys, answer, run_primary);
        report<backup>("backup", limits, keys, answer, run_backup);
    }
    return 0;
}
