#include "net/connection_pool.hpp"

#include <algorithm>
#include <charconv>

namespace vanillagauge::net {
namespace {

constexpr std::size_t max_idle = 64;

/// The pool drops a connection this long before the peer does: a request that crosses the peer's close may or
/// may not have run.
constexpr milliseconds close_margin{400};

} // namespace

void connection_pool::drop_expired()
{
    const auto now = steady::now();
    std::erase_if(idle_, [now](const idle_connection& entry) { return now >= entry.expires; });
}

task<http_result<std::shared_ptr<http_connection>>> connection_pool::acquire(time_point deadline)
{
    drop_expired();
    while (!idle_.empty()) {
        auto connection = std::move(idle_.back().connection);
        idle_.pop_back();
        if (connection->reusable()) {
            co_return connection;
        }
    }
    co_return co_await acquire_new(deadline);
}

task<http_result<std::shared_ptr<http_connection>>> connection_pool::acquire_new(time_point deadline)
{
    auto connection = std::make_shared<http_connection>(*loop_);
    auto connected = co_await connection->connect(address_, deadline);
    if (auto* failure = std::get_if<http_failure>(&connected)) {
        co_return std::move(*failure);
    }
    co_return connection;
}

void connection_pool::release(std::shared_ptr<http_connection> connection, duration idle_time)
{
    drop_expired();
    if (idle_time.count() <= 0 || !connection->reusable()) {
        return;
    }
    // The one released last has the longest time until the peer closes it.
    if (idle_.size() >= max_idle) {
        idle_.erase(idle_.begin());
    }
    idle_.push_back({std::move(connection), steady::now() + idle_time});
}

bool connection_pool::has_idle()
{
    drop_expired();
    std::erase_if(idle_, [](const idle_connection& entry) { return !entry.connection->reusable(); });
    return !idle_.empty();
}

duration idle_time_of(const http_fields& fields, duration fallback)
{
    const auto value = fields.find("Keep-Alive");
    const auto at = value.find("timeout=");
    if (at == std::string_view::npos) {
        return fallback;
    }
    int whole_seconds = 0;
    const auto digits = value.substr(at + 8);
    std::from_chars(digits.data(), digits.data() + digits.size(), whole_seconds);
    return std::max<duration>(seconds(whole_seconds) - close_margin, duration{0});
}

} // namespace vanillagauge::net
