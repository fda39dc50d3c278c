#include "observe/crash_report.hpp"

#include "observe/last_inputs.hpp"

#include <sys/mman.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <csignal>
#include <string>

namespace vanillagauge::observe {
namespace {

constexpr std::size_t stack_bytes = 256U << 10U;
constexpr std::array fault_signals{SIGSEGV, SIGBUS, SIGFPE, SIGILL, SIGABRT};

std::string& program_name()
{
    static std::string name;
    return name;
}

/// A line of bounded length, built without allocation: the heap may be what is broken.
class crash_line {
public:
    void add(std::string_view text)
    {
        const auto count = std::min(text.size(), text_.size() - size_);
        std::copy_n(text.begin(), count, text_.begin() + static_cast<std::ptrdiff_t>(size_));
        size_ += count;
    }

    void add(int number)
    {
        std::array<char, 16> digits{};
        const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), number).ptr;
        add({digits.data(), static_cast<std::size_t>(end - digits.data())});
    }

    void write() const
    {
        const auto written = ::write(STDERR_FILENO, text_.data(), size_);
        static_cast<void>(written);
    }

private:
    std::array<char, 2048> text_{};
    std::size_t size_ = 0;
};

void add_last_inputs(crash_line& line)
{
    const auto& ring = internal::inputs_of_this_thread();
    for (std::size_t back = 1; back <= ring.entries.size(); ++back) {
        const auto& entry = ring.entries[(ring.next + ring.entries.size() - back) % ring.entries.size()];
        if (entry.size == 0) {
            return;
        }
        line.add(back == 1 ? "\"" : ",\"");
        line.add({entry.text.data(), entry.size});
        line.add("\"");
    }
}

// SA_RESETHAND has restored the signal's default action, which ends the process once this returns.
void report(int signal)
{
    crash_line line;
    line.add(R"({"event":"crashed","program":")");
    line.add(program_name());
    line.add(R"(","signal":)");
    line.add(signal);
    line.add(R"(,"last_inputs":[)");
    add_last_inputs(line);
    line.add("]}\n");
    line.write();
    std::raise(signal);
}

} // namespace

void report_crashes(std::string_view program)
{
    program_name() = program;
    struct sigaction action = {};
    action.sa_handler = report;
    action.sa_flags = static_cast<int>(SA_ONSTACK | SA_RESETHAND);
    sigemptyset(&action.sa_mask);
    for (const int signal : fault_signals) {
        sigaction(signal, &action, nullptr);
    }
}

// The lowest page stays without access: what needs more than the stack must not write beyond it.
crash_stack::crash_stack()
{
    const auto page = static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
    auto* const memory = mmap(nullptr, page + stack_bytes, PROT_NONE, MAP_PRIVATE | MAP_ANONYMOUS, -1, 0);
    if (memory == MAP_FAILED) {
        return;
    }
    memory_ = memory;
    bytes_ = page + stack_bytes;
    stack_t stack = {};
    stack.ss_sp = static_cast<std::byte*>(memory) + page;
    stack.ss_size = stack_bytes;
    if (mprotect(stack.ss_sp, stack_bytes, PROT_READ | PROT_WRITE) == 0) {
        sigaltstack(&stack, nullptr);
    }
}

crash_stack::~crash_stack()
{
    if (memory_ == nullptr) {
        return;
    }
    stack_t stack = {};
    stack.ss_flags = SS_DISABLE;
    sigaltstack(&stack, nullptr);
    munmap(memory_, bytes_);
}

} // namespace vanillagauge::observe
