/// Spans with W3C trace context, written as OTLP JSON lines.
#ifndef VANILLAGAUGE_OBSERVE_TRACE_HPP
#define VANILLAGAUGE_OBSERVE_TRACE_HPP

#include <chrono>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace vanillagauge::observe {

/// The place of a hop in its trace; hexadecimal ids as in the traceparent header.
struct trace_context {
    std::string trace_id; ///< 32 digits
    std::string span_id;  ///< 16 digits
};

/// A context for a new trace.
trace_context new_trace();

/// The trace of what bears this id: the same in every program.
trace_context trace_from_id(std::string_view id);

/// The context a traceparent header carries; a new trace where the header is absent or malformed.
trace_context parse_traceparent(std::string_view header);
std::string traceparent(const trace_context& context);
/// The field of a request that carries it.
constexpr const char* traceparent_header = "traceparent";

/// Names the file that spans are appended to; an empty path turns them off. Call once at start.
void open_span_file(const std::string& path, std::string_view program, std::string_view vm);

/// One hop: from construction to destruction, unless ended before.
class span {
public:
    /// A child of `parent`.
    span(const trace_context& parent, std::string_view name);
    ~span();
    span(const span&) = delete;
    span& operator=(const span&) = delete;
    span(span&& other) noexcept;
    span& operator=(span&&) = delete;

    const trace_context& context() const { return context_; }
    /// Records a decision or an outcome on the hop.
    void set_attribute(std::string_view key, std::string_view value);
    void end();

private:
    trace_context context_;
    std::string parent_span_id_;
    std::string name_;
    std::chrono::system_clock::time_point start_;
    std::vector<std::pair<std::string, std::string>> attributes_;
    bool ended_ = false;
};

} // namespace vanillagauge::observe

#endif
