#include "observe/log.hpp"

#include "observe/json_text.hpp"

#include "observe/internal/line_queue.hpp"

#include <log4cxx/consoleappender.h>
#include <log4cxx/helpers/writer.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>
#include <log4cxx/writerappender.h>

#include <unistd.h>

#include <array>
#include <chrono>

namespace vanillagauge::observe {
namespace {

std::string& fixed_fields()
{
    static std::string fields;
    return fields;
}

log4cxx::LoggerPtr logger()
{
    static const log4cxx::LoggerPtr shared = log4cxx::Logger::getLogger("vanillagauge");
    return shared;
}

/// About two thousand lines, ten seconds of a busy gateway's log.
constexpr std::size_t max_queued_bytes = 512U << 10U;

class queue_writer final : public log4cxx::helpers::Writer {
public:
    void write(const log4cxx::LogString& text, log4cxx::helpers::Pool& /*pool*/) override
    {
        lines_.push(text);
    }
    void flush(log4cxx::helpers::Pool& /*pool*/) override {}
    void close(log4cxx::helpers::Pool& /*pool*/) override {}

private:
    internal::line_queue lines_{STDOUT_FILENO, max_queued_bytes};
};

class queue_appender final : public log4cxx::WriterAppender {
public:
    explicit queue_appender(const log4cxx::LayoutPtr& layout)
    {
        setLayout(layout);
        setWriter(std::make_shared<queue_writer>());
        log4cxx::helpers::Pool pool;
        activateOptions(pool);
    }
};

// Initialised by code that a thread sanitizer sees; it doesn't see that the library's own first use is
// guarded.
const log4cxx::LevelPtr& to_level(log_level level)
{
    static const std::array levels{log4cxx::Level::getDebug(), log4cxx::Level::getInfo(),
                                   log4cxx::Level::getWarn(), log4cxx::Level::getError()};
    return levels.at(static_cast<std::size_t>(level));
}

std::string_view level_name(log_level level)
{
    switch (level) {
    case log_level::debug:
        return "debug";
    case log_level::info:
        return "info";
    case log_level::warning:
        return "warning";
    case log_level::error:
        break;
    }
    return "error";
}

std::int64_t wall_milliseconds()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

} // namespace

void start_log(std::string_view program, std::string_view vm, log_level min_level, log_sink sink)
{
    auto& fields = fixed_fields();
    fields = ",\"program\":";
    fields += json_text(program);
    fields += ",\"vm\":";
    fields += json_text(vm);
    auto layout = std::make_shared<log4cxx::PatternLayout>("%m%n");
    if (sink == log_sink::standard_output) {
        logger()->addAppender(std::make_shared<queue_appender>(layout));
    }
    else {
        logger()->addAppender(std::make_shared<log4cxx::ConsoleAppender>(layout, "System.err"));
    }
    logger()->setAdditivity(false);
    logger()->setLevel(to_level(min_level));
}

void log(log_level level, std::string_view event, std::initializer_list<log_field> fields)
{
    const auto& log4cxx_level = to_level(level);
    // Without an appender, log4cxx prints a warning on standard error that is not a JSON line.
    if (fixed_fields().empty() || !logger()->isEnabledFor(log4cxx_level)) {
        return;
    }
    std::string line = "{\"time_ms\":" + std::to_string(wall_milliseconds());
    line += ",\"level\":";
    line += json_text(level_name(level));
    line += fixed_fields();
    line += ",\"event\":";
    line += json_text(event);
    for (const auto& field : fields) {
        line += ',';
        line += json_text(field.name);
        line += ':';
        if (const auto* text = std::get_if<std::string>(&field.value)) {
            line += json_text(*text);
        }
        else if (const auto* integer = std::get_if<std::int64_t>(&field.value)) {
            line += std::to_string(*integer);
        }
        else {
            line += std::to_string(std::get<double>(field.value));
        }
    }
    line += "}";
    logger()->forcedLog(log4cxx_level, line);
}

} // namespace vanillagauge::observe
