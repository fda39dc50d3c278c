/// Injected faults and counters of a stand-in target.
#ifndef VANILLAGAUGE_STANDINS_TARGET_FAULTS_HPP
#define VANILLAGAUGE_STANDINS_TARGET_FAULTS_HPP

#include "target.pb.h"
#include "wire/wire.hpp"

#include <map>
#include <mutex>
#include <string>

namespace vanillagauge::standins {

struct fault_state {
    std::mutex mutex;
    target::v1::FaultRequest active;
    target::v1::CountsReply counts;
    std::map<std::string, int> runs; ///< by request id

    target::v1::FaultRequest current();
    /// Counts a run; a repeated request id also counts in runs_doubled.
    void count_run(const std::string& request_id);
    /// Exits the process if the text contains the active fault's crash_on.
    void crash_if_requested(const std::string& text);
};

class target_control final : public target::v1::Control {
public:
    explicit target_control(fault_state& faults) : faults_(faults) {}

    void Fault(google::protobuf::RpcController* control, const target::v1::FaultRequest* request,
               target::v1::FaultReply* reply, google::protobuf::Closure* done) override;
    void Counts(google::protobuf::RpcController* control, const target::v1::CountsRequest* request,
                target::v1::CountsReply* reply, google::protobuf::Closure* done) override;

private:
    fault_state& faults_;
};

} // namespace vanillagauge::standins

#endif
