#include "observe/internal/line_queue.hpp"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>

namespace vanillagauge::observe::internal {
namespace {

/// How often a writer blocked by its reader checks whether the queue is being destroyed.
constexpr int poll_interval_ms = 100;

} // namespace

line_queue::line_queue(int descriptor, std::size_t max_bytes)
    : descriptor_(descriptor), max_bytes_(max_bytes), writer_([this] { run_writer(); })
{
}

line_queue::~line_queue()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    changed_.notify_one();
    writer_.join();
}

// A blocking write to a stalled reader would block the program at its next log line, with all requests in
// flight.
void line_queue::push(std::string line)
{
    {
        const std::lock_guard lock(mutex_);
        if (bytes_ + line.size() > max_bytes_) {
            ++dropped_;
            return;
        }
        bytes_ += line.size();
        lines_.push_back(std::move(line));
    }
    changed_.notify_one();
}

std::uint64_t line_queue::dropped() const
{
    const std::lock_guard lock(mutex_);
    return dropped_;
}

std::string line_queue::pop()
{
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [this] { return stopping_ || !lines_.empty(); });
    if (lines_.empty()) {
        return {};
    }
    std::string text;
    if (dropped_ > reported_dropped_) {
        text = R"({"level":"warning","event":"log_lines_dropped","lines":)" +
               std::to_string(dropped_ - reported_dropped_) + "}\n";
        reported_dropped_ = dropped_;
    }
    text += lines_.front();
    bytes_ -= lines_.front().size();
    lines_.pop_front();
    return text;
}

bool line_queue::write_line(const std::string& line)
{
    std::size_t written = 0;
    while (written < line.size()) {
        pollfd ready{descriptor_, POLLOUT, 0};
        if (::poll(&ready, 1, poll_interval_ms) <= 0) {
            const std::lock_guard lock(mutex_);
            if (stopping_) {
                return false;
            }
            continue;
        }
        // PIPE_BUF: a writable pipe accepts this much without blocking.
        constexpr std::size_t max_write_bytes = 4096;
        const auto size = std::min(line.size() - written, max_write_bytes);
        const auto count = ::write(descriptor_, line.data() + written, size);
        if (count < 0 && errno != EINTR && errno != EAGAIN) {
            return true; // e.g. the reader closed the pipe: the line is lost
        }
        written += count > 0 ? static_cast<std::size_t>(count) : 0;
    }
    return true;
}

void line_queue::run_writer()
{
    while (true) {
        const auto line = pop();
        if (line.empty() || !write_line(line)) {
            return;
        }
    }
}

} // namespace vanillagauge::observe::internal
