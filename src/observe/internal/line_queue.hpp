/// Lines on their way to a file descriptor, written by a thread of their own.
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
    /// Keeps at most `most_bytes` that are not written yet.
    line_queue(int descriptor, std::size_t max_bytes);
    /// Writes what the reader still takes within a moment; the rest is lost.
    ~line_queue();
    line_queue(const line_queue&) = delete;
    line_queue& operator=(const line_queue&) = delete;

    /// Never waits for the reader: a line beyond the bound is dropped and counted.
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
    std::uint64_t reported_dropped_ = 0; ///< of the dropped lines, how many a written line has told of
    bool stopping_ = false;
    std::thread writer_;

    void run_writer();
    std::string pop();
    bool write_line(const std::string& line);
};

} // namespace vanillagauge::observe::internal

#endif
