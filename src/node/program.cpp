#include "node/program.hpp"

#include "observe/crash_report.hpp"
#include "observe/json_text.hpp"
#include "observe/log.hpp"
#include "observe/trace.hpp"
#include "wire/http_server.hpp"

#include <tclap/CmdLine.h>

#include <malloc.h>

#include <csignal>
#include <iostream>
#include <thread>

namespace vanillagauge::node {
namespace {

/// How long a program waits at its start for settings that cannot be read.
constexpr milliseconds settings_wait{1000};
constexpr milliseconds settings_retry_interval{50};

/// Blocks of this size or more go back to the system as soon as they are freed.
constexpr int returned_block_bytes = 128 << 10;

struct arguments {
    std::string settings_file;
    bool check = false;
};

std::variant<arguments, exit_now> parse_arguments(const std::string& program, int argc, char** argv)
{
    TCLAP::CmdLine line(program + " of vanillagauge; see docs/settings.md", ' ', version());
    const TCLAP::ValueArg<std::string> file("s", "settings", "The VM's settings file", true, "", "FILE",
                                            line);
    const TCLAP::SwitchArg check("c", "check", "Check the settings and exit", line);
    if (const auto end = parse_command_line(line, argc, argv)) {
        return *end;
    }
    return arguments{file.getValue(), check.getValue()};
}

// The platform may be writing the file anew, so that it is empty or cut off for a moment.
result<config::settings> wait_for_settings(const std::string& file)
{
    const auto until = steady::now() + settings_wait;
    auto loaded = config::load_settings(file);
    while (!ok(loaded) && steady::now() < until) {
        std::this_thread::sleep_for(settings_retry_interval);
        loaded = config::load_settings(file);
    }
    return loaded;
}

observe::log_level to_level(const std::string& text)
{
    if (text == "debug") {
        return observe::log_level::debug;
    }
    if (text == "warning") {
        return observe::log_level::warning;
    }
    return text == "error" ? observe::log_level::error : observe::log_level::info;
}

sigset_t stop_signals()
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    sigaddset(&set, SIGHUP);
    return set;
}

} // namespace

std::variant<config::settings, exit_now> start(const std::string& program, int argc, char** argv,
                                               observe::log_sink sink)
{
    // Before anything else: SIGHUP while the settings are read would terminate the program.
    block_stop_signals();
    // Left alone, the allocator raises this as large blocks are freed, and keeps later ones for itself.
    ::mallopt(M_MMAP_THRESHOLD, returned_block_bytes);
    observe::report_crashes(program);
    auto parsed = parse_arguments(program, argc, argv);
    if (const auto* end = std::get_if<exit_now>(&parsed)) {
        return *end;
    }
    const auto& chosen = std::get<arguments>(parsed);
    auto loaded =
        chosen.check ? config::load_settings(chosen.settings_file) : wait_for_settings(chosen.settings_file);
    if (!ok(loaded)) {
        std::cerr << program << ": " << failure(loaded).detail << "\n";
        return exit_now{exit_settings};
    }
    if (chosen.check) {
        std::cout << chosen.settings_file << ": settings are valid\n";
        return exit_now{exit_success};
    }
    auto& settings = value(loaded);
    observe::start_log(program, settings.vm, to_level(settings.log_level), sink);
    observe::open_span_file(settings.span_file, program, settings.vm);
    wire::set_http_threads(static_cast<std::size_t>(settings.http_threads));
    return std::move(settings);
}

int report_unopened(const error& why)
{
    if (why.code == error_code::cancelled) {
        observe::log(observe::log_level::info, "stopped_at_start", {{"why", why.detail}});
        return exit_success;
    }
    std::cerr << describe(why) << "\n";
    return exit_failure;
}

const char* version()
{
    return VANILLAGAUGE_VERSION;
}

std::string build_info(const std::string& program)
{
    return "vanillagauge_build_info{program=\"" + program + "\",version=\"" + version() + "\"}";
}

std::optional<exit_now> parse_command_line(TCLAP::CmdLine& line, int argc, char** argv)
{
    line.setExceptionHandling(false);
    try {
        line.parse(argc, argv);
        return std::nullopt;
    }
    catch (const TCLAP::ExitException& end) {
        return exit_now{end.getExitStatus() == 0 ? exit_success : exit_usage};
    }
    catch (const TCLAP::ArgException& wrong) {
        std::cerr << line.getProgramName() << ": " << wrong.error() << " " << wrong.argId()
                  << " (try --help)\n";
        return exit_now{exit_usage};
    }
}

void block_stop_signals()
{
    const auto set = stop_signals();
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGXFSZ, SIG_IGN); // a log that has reached the limit on file sizes
}

void print_ready(const std::string& program,
                 std::initializer_list<std::pair<const char*, std::string>> fields)
{
    std::string line = R"({"ready":true,"program":)" + observe::json_text(program);
    for (const auto& [key, text] : fields) {
        line += "," + observe::json_text(key) + ":" + observe::json_text(text);
    }
    std::cout << line << "}" << std::endl;
    observe::log(observe::log_level::info, "ready", {{"version", std::string(version())}});
}

node_signal wait_for_signal()
{
    const auto set = stop_signals();
    int received = 0;
    sigwait(&set, &received);
    const bool reload = received == SIGHUP;
    observe::log(observe::log_level::info, reload ? "reload_requested" : "stop_requested",
                 {{"signal", std::int64_t{received}}});
    return reload ? node_signal::reload : node_signal::stop;
}

// Waits again after SIGHUP, which would otherwise stop the program and abort all requests in flight.
void wait_for_stop()
{
    while (wait_for_signal() == node_signal::reload) {
        observe::log(observe::log_level::info, "reload_ignored",
                     {{"why", std::string("this program reads its settings at its start only")}});
    }
}

wire::access_table access_of(const config::token_settings& tokens)
{
    wire::access_table table;
    table.tokens[wire::role::caller] = tokens.caller;
    table.tokens[wire::role::trainer] = tokens.trainer;
    table.tokens[wire::role::operators] = tokens.operators;
    table.tokens[wire::role::peer] = tokens.peer;
    return table;
}

std::uint64_t new_incarnation()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(now).count());
}

} // namespace vanillagauge::node
