#include "observe/trace.hpp"

#include "base/digest.hpp"
#include "observe/json_text.hpp"

#include <fstream>
#include <mutex>
#include <random>

namespace vanillagauge::observe {
namespace {

constexpr std::size_t trace_id_digits = 32;
constexpr std::size_t span_id_digits = 16;
constexpr std::size_t traceparent_length = 55;

struct span_file {
    std::mutex mutex;
    std::ofstream out;
    std::string resource;
};

span_file& shared_span_file()
{
    static span_file shared;
    return shared;
}

std::uint64_t random_bits()
{
    thread_local std::mt19937_64 generator{std::random_device{}()};
    return generator();
}

std::string attribute(std::string_view key, std::string_view value)
{
    return "{\"key\":" + json_text(key) + ",\"value\":{\"stringValue\":" + json_text(value) + "}}";
}

std::string nanoseconds(std::chrono::system_clock::time_point at)
{
    const auto since = std::chrono::duration_cast<std::chrono::nanoseconds>(at.time_since_epoch());
    return std::to_string(since.count());
}

bool all_hex(std::string_view text)
{
    return text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

} // namespace

trace_context new_trace()
{
    return {hex(random_bits()) + hex(random_bits()), std::string()};
}

trace_context trace_from_id(std::string_view id)
{
    return {hex(hash64(id, 0)) + hex(hash64(id, 1)), std::string()};
}

trace_context parse_traceparent(std::string_view header)
{
    const bool well_formed = header.size() >= traceparent_length && header[2] == '-' && header[35] == '-';
    if (!well_formed) {
        return new_trace();
    }
    const auto trace_id = header.substr(3, trace_id_digits);
    const auto span_id = header.substr(36, span_id_digits);
    if (!all_hex(trace_id) || !all_hex(span_id)) {
        return new_trace();
    }
    return {std::string(trace_id), std::string(span_id)};
}

std::string traceparent(const trace_context& context)
{
    const std::string span_id = context.span_id.empty() ? hex(random_bits()) : context.span_id;
    return "00-" + context.trace_id + "-" + span_id + "-01";
}

void open_span_file(const std::string& path, std::string_view program, std::string_view vm)
{
    if (path.empty()) {
        return;
    }
    auto& shared = shared_span_file();
    const std::lock_guard lock(shared.mutex);
    shared.out.open(path, std::ios::app);
    shared.resource = R"({"resource":{"attributes":[)" + attribute("service.name", program) + "," +
                      attribute("vm", vm) + "]}";
}

span::span(const trace_context& parent, std::string_view name)
    : context_{parent.trace_id, hex(random_bits())}, parent_span_id_(parent.span_id), name_(name),
      start_(std::chrono::system_clock::now())
{
}

span::span(span&& other) noexcept
    : context_(std::move(other.context_)), parent_span_id_(std::move(other.parent_span_id_)),
      name_(std::move(other.name_)), start_(other.start_), attributes_(std::move(other.attributes_)),
      ended_(std::exchange(other.ended_, true))
{
}

span::~span()
{
    end();
}

void span::set_attribute(std::string_view key, std::string_view value)
{
    if (shared_span_file().out.is_open()) {
        attributes_.emplace_back(key, value);
    }
}

void span::end()
{
    if (std::exchange(ended_, true)) {
        return;
    }
    auto& shared = shared_span_file();
    if (!shared.out.is_open()) {
        return;
    }
    std::string line = R"(,"scopeSpans":[{"spans":[{"traceId":)" + json_text(context_.trace_id);
    line += ",\"spanId\":" + json_text(context_.span_id);
    line += ",\"parentSpanId\":" + json_text(parent_span_id_);
    line += ",\"name\":" + json_text(name_);
    line += ",\"startTimeUnixNano\":\"" + nanoseconds(start_) + "\"";
    line += ",\"endTimeUnixNano\":\"" + nanoseconds(std::chrono::system_clock::now()) + "\"";
    line += ",\"attributes\":[";
    for (std::size_t index = 0; index < attributes_.size(); ++index) {
        line += index == 0 ? "" : ",";
        line += attribute(attributes_[index].first, attributes_[index].second);
    }
    line += "]}]}]}";
    const std::lock_guard lock(shared.mutex);
    shared.out << R"({"resourceSpans":[)" << shared.resource << line << "]}\n" << std::flush;
}

} // namespace vanillagauge::observe
