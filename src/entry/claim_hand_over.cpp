// Hand-over of a primary's records at a planned stop, and periodic expiry of keys.

#include "entry/claim_calls.hpp"
#include "entry/claim_wire.hpp"
#include "observe/log.hpp"

#include <future>
#include <thread>

namespace vanillagauge::entry {
namespace {

constexpr std::size_t records_per_transfer = 256;
constexpr milliseconds transfer_timeout{2000};
constexpr milliseconds settle_poll_interval{20};
/// Calls in flight end by their own deadlines; this bounds the wait for a caller's far deadline.
constexpr milliseconds max_settle_time{30000};
constexpr milliseconds expiry_interval{2000};

std::vector<v1::ClaimTransfer> transfers_of(const claims::claim_pair& pair,
                                            const std::vector<claims::settled_record>& records)
{
    std::vector<v1::ClaimTransfer> transfers(1);
    transfers.back().set_pair(claims::format_pair(pair));
    for (const auto& record : records) {
        if (static_cast<std::size_t>(transfers.back().records_size()) == records_per_transfer) {
            transfers.emplace_back().set_pair(claims::format_pair(pair));
        }
        *transfers.back().add_records() = settled_message(record);
    }
    return transfers;
}

} // namespace

void claim_calls::hand_over()
{
    store_.freeze();
    const auto latest = steady::now() + max_settle_time;
    while (store_.unsettled() > 0 && steady::now() < latest) {
        std::this_thread::sleep_for(settle_poll_interval);
    }
    std::vector<std::future<bool>> answers;
    for (const auto& [pair, records] : store_.settled_records()) {
        for (const auto& transfer : transfers_of(pair, records)) {
            auto accepted = std::make_shared<std::promise<bool>>();
            answers.push_back(accepted->get_future());
            link_.transfer(pair.backup.vm, transfer, {transfer_timeout},
                           [accepted](const result<v1::ClaimTransferReply>& reply) {
                               accepted->set_value(ok(reply) && value(reply).accepted());
                           });
        }
    }
    std::int64_t taken = 0;
    for (auto& answer : answers) {
        taken += answer.get() ? 1 : 0;
    }
    observe::log(observe::log_level::info, "claims_handed_over",
                 {{"accepted", taken}, {"sent", static_cast<std::int64_t>(answers.size())}});
}

void claim_calls::start_expiry()
{
    context_.loop.after(expiry_interval, [this] {
        store_.expire(wall_milliseconds());
        start_expiry();
    });
}

} // namespace vanillagauge::entry
