#include "events.hpp"

#include "wire/call.hpp"
#include "wire/codec.hpp"

#include <charconv>
#include <csignal>
#include <iostream>
#include <map>
#include <optional>

namespace vanillagauge::load {
namespace {

struct parts {
    std::string time;
    std::string subject;
    std::string action;
};

std::optional<parts> split(const std::string& text)
{
    const auto first = text.find(',');
    const auto second = first == std::string::npos ? first : text.find(',', first + 1);
    if (second == std::string::npos) {
        return std::nullopt;
    }
    return parts{text.substr(0, first), text.substr(first + 1, second - first - 1), text.substr(second + 1)};
}

std::optional<int> number(const std::string& text)
{
    int parsed = 0;
    const auto end = text.data() + text.size();
    const auto [last, problem] = std::from_chars(text.data(), end, parsed);
    return problem == std::errc{} && last == end ? std::optional(parsed) : std::nullopt;
}

error unreadable(const std::string& text, const char* expected)
{
    return {error_code::invalid_argument, run_state::not_run,
            "expected " + std::string(expected) + ", found \"" + text + "\""};
}

void send(const fault_event& event, node::channel_pool& targets)
{
    wire::call<target::v1::FaultReply>(*targets.at(event.address), wire::method<target::v1::Control>("Fault"),
                                       event.fault, {}, [](const result<target::v1::FaultReply>& reply) {
                                           if (!ok(reply)) {
                                               std::cerr
                                                   << "the fault was not set: " << describe(failure(reply))
                                                   << "\n";
                                           }
                                       });
}

} // namespace

result<timed_event> parse_fault(const std::string& text)
{
    const auto found = split(text);
    const auto at = found ? number(found->time) : std::nullopt;
    fault_event event;
    if (!at || !ok(wire::decode(wire::codec::json, found->action, event.fault))) {
        return unreadable(text, "MS,IP:PORT,JSON");
    }
    event.address = found->subject;
    return timed_event{milliseconds{*at}, event};
}

result<timed_event> parse_signal(const std::string& text)
{
    static const std::map<std::string, int> signals{
        {"KILL", SIGKILL}, {"STOP", SIGSTOP}, {"CONT", SIGCONT}, {"TERM", SIGTERM}};
    const auto found = split(text);
    const auto at = found ? number(found->time) : std::nullopt;
    const auto pid = found ? number(found->subject) : std::nullopt;
    const auto signal = found ? signals.find(found->action) : signals.end();
    if (!at || !pid || *pid <= 1 || signal == signals.end()) {
        return unreadable(text, "MS,PID,KILL|STOP|CONT|TERM");
    }
    return timed_event{milliseconds{*at}, signal_event{*pid, signal->second}};
}

void trigger(const timed_event& event, node::channel_pool& targets)
{
    if (const auto* fault = std::get_if<fault_event>(&event.what)) {
        send(*fault, targets);
        return;
    }
    const auto& signal = std::get<signal_event>(event.what);
    if (::kill(signal.pid, signal.signal) != 0) {
        std::cerr << "process " << signal.pid << " could not be signalled\n";
    }
}

} // namespace vanillagauge::load
