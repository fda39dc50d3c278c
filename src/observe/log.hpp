/// Structured logging through log4cxx: one JSON object per line.
#ifndef VANILLAGAUGE_OBSERVE_LOG_HPP
#define VANILLAGAUGE_OBSERVE_LOG_HPP

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

namespace vanillagauge::observe {

enum class log_level { debug, info, warning, error };

struct log_field {
    std::string_view name;
    std::variant<std::int64_t, double, std::string> value;
};

enum class log_sink {
    standard_error,
    /// Through a bounded queue: if the reader stalls, lines are dropped and the program is not blocked.
    standard_output,
};

/// Configures the log of this process. Call once, before other threads start.
void start_log(std::string_view program, std::string_view vm, log_level min_level,
               log_sink sink = log_sink::standard_error);

/// Writes one event; ignored before start_log. Event and field names are string literals, never data.
void log(log_level level, std::string_view event, std::initializer_list<log_field> fields = {});

} // namespace vanillagauge::observe

#endif
