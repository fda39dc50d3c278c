/// A bounded queue of lines, written to a file descriptor by its own thread.
#ifndef VANILLAGAUGE_OBSERVE_INTERNAL_LINE_QUEUE_HPP
#define VANILLAGAUGE_OBSERVE_INTERNAL_LINE_QUEUE_HPP

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <thread>

namespace vanillagauge::observe::internal {

class line_queue {
public:
    /// Queues at most `max_bytes` of unwritten lines.
    line_queue(int descriptor, std::size_t max_bytes);
    /// Drains the queue until the descriptor is not writable for a poll interval; drops the rest.
    ~line_queue();
    line_queue(const line_queue&) = delete;
    line_queue& operator=(const line_queue&) = delete;

    /// Never blocks on the reader: a line that exceeds the bound is dropped and counted.
    void push(std::string line);
    std::uint64_t dropped() const;

private:
    int descriptor_;
    std::size_t max_bytes_;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::deque<std::string> lines_;
    std::size_t bytes_ = 0;
    std::uint64_t dropped_ = 0;
    std::uint64_t reported_dropped_ = 0; ///< dropped lines already reported in the output
    bool stopping_ = false;
    std::thread writer_;

    void run_writer();
    std::string pop();
    bool write_line(const std::string& line);
};

} // namespace vanillagauge::observe::internal

#endif
