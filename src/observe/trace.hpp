/// Spans with W3C trace context, written as OTLP JSON lines.
#ifndef VANILLAGAUGE_OBSERVE_TRACE_HPP
#define VANILLAGAUGE_OBSERVE_TRACE_HPP

#include <chrono>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace vanillagauge::observe {

/// A span's trace id and span id, hexadecimal as in the traceparent header.
struct trace_context {
    std::string trace_id; ///< 32 digits
    std::string span_id;  ///< 16 digits
};

/// A context with a random trace id and no span.
trace_context new_trace();

/// A context whose trace id is derived from `id`, so that every program gets the same one.
trace_context trace_from_id(std::string_view id);

/// The context of a traceparent header; a new trace if the header is missing or malformed.
trace_context parse_traceparent(std::string_view header);
std::string traceparent(const trace_context& context);
constexpr const char* traceparent_header = "traceparent";

/// Opens the file that spans are appended to; an empty path disables spans. Call once at startup.
void open_span_file(const std::string& path, std::string_view program, std::string_view vm);

/// One operation of a trace, timed from construction to end() or destruction.
class span {
public:
    /// Starts a child of `parent`.
    span(const trace_context& parent, std::string_view name);
    ~span();
    span(const span&) = delete;
    span& operator=(const span&) = delete;
    span(span&& other) noexcept;
    span& operator=(span&&) = delete;

    const trace_context& context() const { return context_; }
    /// Records a decision or an outcome; dropped if spans are disabled.
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
