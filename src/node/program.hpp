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

/// The program is to end at once with this code (--help, --version, --check, or an error already printed).
struct exit_now {
    int code = exit_success;
};

/// Reads the command line and the settings, then starts logs and spans. Blocks SIGTERM, SIGINT and SIGHUP for
/// this thread and all that it starts, so call it first.
std::variant<config::settings, exit_now>
start(const std::string& program, int argc, char** argv,
      observe::log_target target = observe::log_target::standard_error);

/// The project's version, from the build.
const char* version();

/// The series, always 1, that names program and version on a metrics page.
std::string build_info(const std::string& program);

/// Parses a command line that is the program's own: prints help, version or what is wrong. Empty: go on.
std::optional<exit_now> parse_command_line(TCLAP::CmdLine& line, int argc, char** argv);

/// Blocks SIGTERM, SIGINT and SIGHUP and ignores SIGPIPE, for programs with a command line of their own.
void block_stop_signals();

/// Prints the one line that says the program is up, as JSON with the given fields.
void print_ready(const std::string& program,
                 std::initializer_list<std::pair<const char*, std::string>> fields);

enum class node_signal { stop, reload };

/// Waits for SIGTERM or SIGINT, which ask to stop, or SIGHUP, which says that the settings have changed.
node_signal wait_for_signal();

/// Waits for SIGTERM or SIGINT; a SIGHUP is logged and changes nothing.
void wait_for_stop();

wire::access_table access_of(const config::token_settings& tokens);

/// A number that grows with each start of a process.
std::uint64_t new_incarnation();

} // namespace vanillagauge::node

#endif
