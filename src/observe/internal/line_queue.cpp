#include "observe/internal/line_queue.hpp"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>

namespace vanillagauge::observe::internal {
namespace {

/// How often a writer whose reader takes nothing looks whether the program ends.
constexpr int look_every_ms = 100;

} // namespace

line_queue::line_queue(int descriptor, std::size_t most_bytes)
    : descriptor_(descriptor), most_bytes_(most_bytes), writer_([this] { write_all(); })
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

// A reader that stops reading would otherwise stop the program at its next line, with every request in
// flight.
void line_queue::push(std::string line)
{
    {
        const std::lock_guard lock(mutex_);
        if (bytes_ + line.size() > most_bytes_) {
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

std::string line_queue::take()
{
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [this] { return stopping_ || !lines_.empty(); });
    if (lines_.empty()) {
        return {};
    }
    std::string text;
    if (dropped_ > told_) {
        text = R"({"level":"warning","event":"log_lines_dropped","lines":)" +
               std::to_string(dropped_ - told_) + "}\n";
        told_ = dropped_;
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
        if (::poll(&ready, 1, look_every_ms) <= 0) {
            const std::lock_guard lock(mutex_);
            if (stopping_) {
                return false;
            }
            continue;
        }
        // No more than a pipe takes without waiting once it is writable.
        constexpr std::size_t most_at_once = 4096;
        const auto size = std::min(line.size() - written, most_at_once);
        const auto count = ::write(descriptor_, line.data() + written, size);
        if (count < 0 && errno != EINTR && errno != EAGAIN) {
            return true; // nobody reads any more: the line is lost
        }
        written += count > 0 ? static_cast<std::size_t>(count) : 0;
    }
    return true;
}

void line_queue::write_all()
{
    while (true) {
        const auto line = take();
        if (line.empty() || !write_line(line)) {
            return;
        }
    }
}

} // namespace vanillagauge::observe::internal
