#include "wire/controller.hpp"

namespace vanillagauge::wire {

void controller::SetFailed(const std::string& reason)
{
    failure_ = error{error_code::internal, run_state::in_doubt, reason};
}

void controller::NotifyOnCancel(google::protobuf::Closure* /*callback*/) {}

controller& controller_of(google::protobuf::RpcController* base)
{
    return *static_cast<controller*>(base);
}

} // namespace vanillagauge::wire
