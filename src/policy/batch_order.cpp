#include "policy/batch_order.hpp"

#include <algorithm>
#include <numeric>
#include <string_view>
#include <tuple>

namespace vanillagauge::policy {
namespace {

/// Share of a batch's time after which it goes first. A step that has lost more cannot end in time.
constexpr int waiting_share = 4;

} // namespace

bool waits_too_long(const queued_batch& batch)
{
    return !batch.started && batch.result_time > duration{0} &&
           batch.age >= batch.result_time / waiting_share;
}

// Load pattern: the steps of several trainers compete for the engines of one gateway. A trainer that is
// behind never catches up if its steps wait for those of a trainer that is ahead, so the least slack goes
// first. A trainer trains its steps in their order, so its older step goes first. A batch without a start
// goes first after a quarter of its time, since a trainer that stays behind would otherwise keep all others
// waiting.
std::vector<std::size_t> batch_order(const std::vector<queued_batch>& batches)
{
    std::vector<std::size_t> order(batches.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    const auto rank = [&batches](std::size_t index) {
        const auto& batch = batches[index];
        const auto left = batch.result_time - batch.age;
        return std::tuple(!waits_too_long(batch), batch.slack.value_or(left), std::string_view(batch.model),
                          batch.step, left);
    };
    std::stable_sort(order.begin(), order.end(),
                     [&rank](std::size_t left, std::size_t right) { return rank(left) < rank(right); });
    return order;
}

} // namespace vanillagauge::policy
