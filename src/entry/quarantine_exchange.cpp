#include "entry/quarantine_exchange.hpp"

#include "wire/call.hpp"

#include <algorithm>
#include <random>

namespace vanillagauge::entry {
namespace {

/// A crash makes all requests in flight at the target suspect; this batches them in one message. Callers
/// retry after about a second, so the records arrive before the retry.
constexpr milliseconds batch_delay{50};
/// Covers all entries of a small fleet. In a larger one each entry forwards records that are new to it, which
/// reaches nearly all entries in a few rounds and then stops.
constexpr std::size_t max_recipients = 8;
constexpr milliseconds send_timeout{2000};

std::vector<std::string> other_entries(const node::view& view, const entry_context& self)
{
    std::vector<std::string> addresses;
    for (const auto& member : view.nodes) {
        for (const auto& process : member.info.processes) {
            const bool own = member.info.vm == self.settings.vm && process.incarnation == self.incarnation;
            if (process.role == "entry" && !own && !process.peer_address.empty()) {
                addresses.push_back(process.peer_address);
            }
        }
    }
    return addresses;
}

v1::ShareCrashesRequest message_of(const std::vector<policy::crash_record>& records)
{
    v1::ShareCrashesRequest message;
    for (const auto& record : records) {
        auto* item = message.add_records();
        item->set_fingerprint(record.fingerprint);
        item->mutable_targets()->Add(record.targets.begin(), record.targets.end());
        item->set_left_ms(record.remaining.count());
    }
    return message;
}

} // namespace

quarantine_exchange::quarantine_exchange(const entry_context& context, node::channel_pool& peers)
    : context_(context), peers_(peers)
{
    context_.directory.quarantine().on_update([this] { schedule_send(); });
}

void quarantine_exchange::ShareCrashes(google::protobuf::RpcController* /*control*/,
                                       const v1::ShareCrashesRequest* request,
                                       v1::ShareCrashesReply* /*reply*/, google::protobuf::Closure* done)
{
    std::vector<policy::crash_record> records;
    for (const auto& item : request->records()) {
        records.push_back({item.fingerprint(),
                           {item.targets().begin(), item.targets().end()},
                           std::max(milliseconds{0}, milliseconds{item.left_ms()})});
    }
    context_.directory.quarantine().merge(records);
    done->Run();
}

void quarantine_exchange::schedule_send()
{
    const auto count = context_.directory.quarantine().records().size();
    context_.metrics.set("vg_entry_crash_records", static_cast<double>(count));
    if (send_scheduled_.exchange(true)) {
        return;
    }
    context_.loop.after(batch_delay, [this] {
        send_scheduled_ = false;
        send();
    });
}

void quarantine_exchange::send()
{
    thread_local std::mt19937_64 random{std::random_device{}()};
    auto others = other_entries(*context_.keeper.current(), context_);
    std::shuffle(others.begin(), others.end(), random);
    others.resize(std::min(others.size(), max_recipients));
    const auto message = message_of(context_.directory.quarantine().records());
    wire::call_options options;
    options.timeout = send_timeout;
    options.token = context_.settings.tokens.peer;
    for (const auto& address : others) {
        wire::call<v1::ShareCrashesReply>(*peers_.at(address), wire::method<v1::EntryPeer>("ShareCrashes"),
                                          message, options, [](const result<v1::ShareCrashesReply>&) {});
    }
}

} // namespace vanillagauge::entry
