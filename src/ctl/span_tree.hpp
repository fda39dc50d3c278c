/// Builds the span tree of one trace from files of OTLP JSON lines.
#ifndef VANILLAGAUGE_CTL_SPAN_TREE_HPP
#define VANILLAGAUGE_CTL_SPAN_TREE_HPP

#include "base/base.hpp"

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace vanillagauge::ctl {

struct span_record {
    std::string trace_id;
    std::string span_id;
    std::string parent_id;
    std::string name;
    std::string program;
    std::string vm;
    std::chrono::nanoseconds start{0}; ///< since the Unix epoch
    std::chrono::nanoseconds end{0};
    std::vector<std::pair<std::string, std::string>> attributes; ///< in recording order
};

struct span_node {
    span_record span;
    std::vector<span_node> children; ///< by start time
};

/// Parses one text. Lines that are not spans are skipped: a killed program can leave a truncated line.
std::vector<span_record> parse_spans(const std::string& text);
result<std::vector<span_record>> read_spans(const std::vector<std::string>& files);

/// `id` is a trace id, a traceparent, or the request id of a call.
std::optional<std::string> find_trace(const std::vector<span_record>& spans, const std::string& id);

/// The roots of the tree, which include spans whose parent is missing.
std::vector<span_node> build_tree(const std::vector<span_record>& spans, const std::string& trace_id);

std::string tree_text(const std::string& trace_id, const std::vector<span_node>& hops);
std::string tree_json(const std::string& trace_id, const std::vector<span_node>& hops);

} // namespace vanillagauge::ctl

#endif
