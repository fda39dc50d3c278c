/// Exchanges records of requests that crash targets with the other entry processes.
#ifndef VANILLAGAUGE_ENTRY_QUARANTINE_EXCHANGE_HPP
#define VANILLAGAUGE_ENTRY_QUARANTINE_EXCHANGE_HPP

#include "entry/entry_service.hpp"

#include <atomic>

namespace vanillagauge::entry {

class quarantine_exchange final : public v1::EntryPeer {
public:
    /// Starts to send records. The referenced objects must outlive it.
    quarantine_exchange(const entry_context& context, node::channel_pool& peers);

    void ShareCrashes(google::protobuf::RpcController* control, const v1::ShareCrashesRequest* request,
                      v1::ShareCrashesReply* reply, google::protobuf::Closure* done) override;

private:
    entry_context context_;
    node::channel_pool& peers_;
    std::atomic<bool> send_scheduled_{false};

    void schedule_send();
    void send();
};

} // namespace vanillagauge::entry

#endif
