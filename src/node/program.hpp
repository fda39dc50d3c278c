/// Start and stop of a program: command line, settings, logs, the ready line and signals.
#ifndef VANILLAGAUGE_NODE_PROGRAM_HPP
#define VANILLAGAUGE_NODE_PROGRAM_HPP

#include "config/settings.hpp"
#include "observe/log.hpp"
#include "wire/access.hpp"

#include <initializer_list>
#include <optional>
#include <string>
#include <utility>
#include <variant>

namespace TCLAP { // NOLINT(readability-identifier-naming): the name is the library's
class CmdLine;
}

namespace vanillagauge::node {

/// Exit codes of every program.
constexpr int exit_success = 0;
constexpr int exit_failure = 1;
constexpr int exit_usage = 2;
constexpr int exit_settings = 3;

/// The program must exit at once with this code (--help, --version, --check, or an error already printed).
struct exit_now {
    int code = exit_success;
};

/// Reads the command line and the settings, then starts logging and tracing. Settings that cannot be read are
/// tried again for a second. Blocks SIGTERM, SIGINT and SIGHUP for this thread and those it creates, so call
/// it before any thread starts.
std::variant<config::settings, exit_now> start(const std::string& program, int argc, char** argv,
                                               observe::log_sink sink = observe::log_sink::standard_error);

/// The exit code of a program that could not be opened, after it has printed why: a failure unless the
/// program was told to stop meanwhile.
int report_unopened(const error& why);

/// The project's version, from the build.
const char* version();

/// The name of the metric, always 1, that gives program and version as labels.
std::string build_info(const std::string& program);

/// Parses the program's command line. Prints help, version or the error; returns empty to continue.
std::optional<exit_now> parse_command_line(TCLAP::CmdLine& line, int argc, char** argv);

/// Blocks SIGTERM, SIGINT and SIGHUP and ignores SIGPIPE and SIGXFSZ, for programs that do not call `start`.
void block_stop_signals();

/// Prints the line that announces readiness, as JSON with the given fields.
void print_ready(const std::string& program,
                 std::initializer_list<std::pair<const char*, std::string>> fields);

enum class node_signal { stop, reload };

/// Waits for SIGTERM or SIGINT (stop) or SIGHUP (reload the settings).
node_signal wait_for_signal();

/// Waits for SIGTERM or SIGINT; SIGHUP is logged and otherwise ignored.
void wait_for_stop();

wire::access_table access_of(const config::token_settings& tokens);

/// A number that grows with each start of a process.
std::uint64_t new_incarnation();

} // namespace vanillagauge::node

#endif
