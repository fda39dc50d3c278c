/// Interface to the platform's calls that one gateway at a time may make.
#ifndef VANILLAGAUGE_GATEWAY_DUTY_PLATFORM_HPP
#define VANILLAGAUGE_GATEWAY_DUTY_PLATFORM_HPP

#include "net/task.hpp"
#include "usage/ledger.hpp"

#include <cstdint>
#include <string>

namespace vanillagauge::gateway {

/// Who makes a call on behalf of a duty.
struct duty_caller {
    std::string holder;
    std::uint64_t fencing_token = 0;
};

class duty_platform {
public:
    duty_platform() = default;
    virtual ~duty_platform() = default;
    duty_platform(const duty_platform&) = delete;
    duty_platform& operator=(const duty_platform&) = delete;

    /// Reports the runs of a window. `unavailable` if the call may be repeated, `invalid_argument` if the
    /// platform will never accept it.
    virtual net::task_of<done> report_usage(duty_caller caller, std::uint64_t window, usage::counts runs) = 0;
};

} // namespace vanillagauge::gateway

#endif
