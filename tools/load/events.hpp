/// Timed faults of a load run: set through the control service of stand-ins, or signals to processes.
#ifndef VANILLAGAUGE_TOOLS_LOAD_EVENTS_HPP
#define VANILLAGAUGE_TOOLS_LOAD_EVENTS_HPP

#include "base/base.hpp"
#include "node/channel_pool.hpp"

#include "target.pb.h"

#include <string>
#include <variant>

namespace vanillagauge::load {

struct fault_event {
    std::string address; ///< of the stand-in target
    target::v1::FaultRequest fault;
};

struct signal_event {
    int pid = 0;
    int signal = 0; ///< SIGKILL, SIGSTOP, SIGCONT or SIGTERM
};

struct timed_event {
    milliseconds at{0};
    std::variant<fault_event, signal_event> what;
};

/// `MS,IP:PORT,{"delay_ms":200}`
result<timed_event> parse_fault(const std::string& text);
/// `MS,PID,KILL`; also STOP, CONT and TERM.
result<timed_event> parse_signal(const std::string& text);

void trigger(const timed_event& event, node::channel_pool& targets);

} // namespace vanillagauge::load

#endif
