#include "gateways.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <nlohmann/json.hpp>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstring>
#include <deque>
#include <fstream>
#include <stdexcept>

namespace vanillagauge::odd_entries {

namespace {

using nlohmann::json;

constexpr milliseconds restart_pause{500};
constexpr std::size_t last_lines = 3;
constexpr std::size_t shown_bytes = 300;

/// Ports below those that the kernel gives to clients, so that a gateway gets its own again. They stay bound
/// here until the program ends: another test takes none of them, and a gateway, which reuses addresses, can.
class reserved_ports {
public:
    std::string take()
    {
        while (true) {
            next_ = next_ + 1 < first + count ? next_ + 1 : first;
            acceptor held(context_);
            boost::system::error_code taken;
            held.open(boost::asio::ip::tcp::v4());
            held.bind({boost::asio::ip::make_address("127.0.0.1"), static_cast<unsigned short>(next_)},
                      taken);
            if (!taken) {
                held.set_option(acceptor::reuse_address(true));
                held_.push_back(std::move(held));
                return "127.0.0.1:" + std::to_string(next_);
            }
        }
    }

private:
    using acceptor = boost::asio::ip::tcp::acceptor;
    static constexpr unsigned first = 20000;
    static constexpr unsigned count = 12000;
    boost::asio::io_context context_;
    std::vector<acceptor> held_;
    unsigned next_ = first + static_cast<unsigned>(getpid()) * 61U % count;
};

std::string end_of(int status)
{
    return WIFSIGNALED(status) ? std::string("SIG") + sigabbrev_np(WTERMSIG(status))
                               : "code " + std::to_string(WEXITSTATUS(status));
}

std::string tail_of(const std::filesystem::path& file)
{
    std::ifstream in(file);
    std::deque<std::string> lines;
    for (std::string line; std::getline(in, line);) {
        lines.push_back(line.substr(0, shown_bytes));
        if (lines.size() > last_lines) {
            lines.pop_front();
        }
    }
    std::string text;
    for (const auto& line : lines) {
        text += "\n    " + line;
    }
    return text;
}

} // namespace

gateways::gateways(std::filesystem::path program, std::filesystem::path folder, std::size_t fronts,
                   std::size_t storages, const std::string& store, end_observer on_end, std::size_t memory_mb)
    : program_(std::move(program)), folder_(std::move(folder)), on_end_(std::move(on_end)),
      memory_mb_(memory_mb)
{
    static reserved_ports ports;
    for (std::size_t number = 0; number < fronts; ++number) {
        places_.push_back({"front-" + std::to_string(number), ports.take(), ports.take(), ports.take(),
                           ports.take(), ports.take(), ports.take()});
    }
    for (std::size_t number = 0; number < storages; ++number) {
        places_.push_back({"storage-" + std::to_string(number), {}, {}, {}, {}, ports.take(), ports.take()});
    }
    for (auto& place : places_) {
        write_settings(place, store);
    }
    for (auto& place : places_) {
        start(place);
    }
}

gateways::~gateways()
{
    for (const auto& place : places_) {
        if (place.process > 0) {
            kill(place.process, SIGKILL);
            waitpid(place.process, nullptr, 0);
        }
    }
}

std::filesystem::path gateways::file_of(const gateway_place& place, const char* suffix) const
{
    return folder_ / (place.vm + suffix);
}

void gateways::write_settings(const gateway_place& place, const std::string& store) const
{
    constexpr std::size_t max_seeds = 3;
    json seeds = json::array();
    for (std::size_t number = 0; number < std::min(max_seeds, places_.size()); ++number) {
        seeds.push_back(places_[number].peer);
    }
    json settings{{"vm", place.vm},
                  {"failure_domain", "z" + std::to_string(&place - places_.data())},
                  {"data_folder", ""},
                  {"platform", store},
                  {"http_threads", 2}};
    settings["tokens"] = {{"caller", "caller-token"},
                          {"trainer", "trainer-token"},
                          {"operator", "operator-token"},
                          {"peer", "gateway-peers"}};
    settings["keeper"] = {{"address", place.peer}, {"peer_listen", place.peer}, {"seeds", std::move(seeds)}};
    settings["gateway"] = {{"relay_listen", place.relay},
                           {"front_listen", place.front},
                           {"ready_listen", place.ready},
                           {"metrics_listen", place.metrics},
                           {"directory_listen", place.directory},
                           {"model_order_holder", place.vm},
                           {"stop_grace_s", 8},
                           {"order_lease_ms", 3000},
                           {"advice_time_ms", 2000},
                           {"duties_address", ""},
                           {"usage_window_s", 0},
                           {"usage_due_s", 10},
                           {"cpu_share", place.front.empty() ? 0.5 : 0.25}};
    if (memory_mb_ > 0) {
        settings["gateway"]["memory_mb"] = memory_mb_;
    }
    std::ofstream(file_of(place, ".json")) << settings.dump(2);
}

void gateways::start(gateway_place& place)
{
    const auto log = file_of(place, ".log").string();
    const auto settings = file_of(place, ".json").string();
    std::string program = program_.string();
    std::string option = "--settings";
    std::string option_value = settings;
    std::array<char*, 4> arguments{program.data(), option.data(), option_value.data(), nullptr};
    posix_spawn_file_actions_t files;
    posix_spawn_file_actions_init(&files);
    posix_spawn_file_actions_addopen(&files, STDOUT_FILENO, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&files, STDOUT_FILENO, STDERR_FILENO);
    posix_spawn_file_actions_addclosefrom_np(&files, STDERR_FILENO + 1); // the sockets of the stand-ins
    const int failed =
        posix_spawn(&place.process, program.c_str(), &files, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&files);
    if (failed != 0) {
        place.process = -1;
        throw std::runtime_error("cannot start " + program + ": " + std::strerror(failed));
    }
    place.changed_at = steady::now();
}

void gateways::note_end(gateway_place& place, int status)
{
    const auto ran = std::chrono::duration_cast<milliseconds>(steady::now() - place.changed_at);
    const auto pid = place.process;
    place.process = -1;
    place.changed_at = steady::now();
    ++place.ends;
    on_end_(place, place.vm + " (" + std::to_string(pid) + ") ended by itself with " + end_of(status) +
                       " after " + std::to_string(ran.count()) +
                       " ms; its last lines:" + tail_of(file_of(place, ".log")));
}

std::size_t gateways::peak_memory(const gateway_place& place)
{
    constexpr std::size_t kilobyte = 1024;
    const std::string field = "VmHWM:";
    std::ifstream status("/proc/" + std::to_string(place.process) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with(field)) {
            return std::stoul(line.substr(field.size())) * kilobyte;
        }
    }
    return 0;
}

void gateways::check()
{
    for (auto& place : places_) {
        int status = 0;
        if (place.process > 0 && waitpid(place.process, &status, WNOHANG) == place.process) {
            note_end(place, status);
        }
        else if (place.process < 0 && steady::now() - place.changed_at >= restart_pause) {
            start(place);
        }
    }
}

} // namespace vanillagauge::odd_entries
