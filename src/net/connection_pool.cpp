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

// Connections go silent together, as in a partition or at the loss of a middlebox's state: without this, each
// one that is idle would cost a request its time.
void connection_pool::drop_expired()
{
    const auto now = steady::now();
    std::erase_if(idle_, [this, now](const idle_connection& entry) {
        return now >= entry.expires || entry.released <= silence_->since;
    });
}

// A peer may send a response once more, at any later time, where the next response is expected. Its id tells
// it from the responses to other requests, but not from the one to a second request with the same id.
task<http_result<std::shared_ptr<http_connection>>> connection_pool::acquire(time_point deadline,
                                                                             std::string exchange)
{
    drop_expired();
    for (auto left = idle_.size(); left > 0; --left) {
        const auto candidate = idle_.begin() + static_cast<std::ptrdiff_t>(left - 1);
        if (candidate->connection->history().contains(exchange)) {
            continue;
        }
        auto connection = std::move(candidate->connection);
        idle_.erase(candidate);
        if (connection->reusable()) {
            connection->history().add(exchange);
            co_return connection;
        }
    }
    co_return co_await acquire_new(deadline, std::move(exchange));
}

task<http_result<std::shared_ptr<http_connection>>> connection_pool::acquire_new(time_point deadline,
                                                                                 std::string exchange)
{
    auto connection = std::make_shared<http_connection>(*loop_, silence_limit_);
    auto connected = co_await connection->connect(address_, deadline);
    if (auto* failure = std::get_if<http_failure>(&connected)) {
        co_return std::move(*failure);
    }
    connection->history().add(exchange);
    connection->report_silence_to(silence_);
    co_return connection;
}

void connection_pool::release(std::shared_ptr<http_connection> connection, duration idle_time)
{
    drop_expired();
    if (idle_time.count() <= 0 || !connection->reusable() || connection->history().full()) {
        return;
    }
    // The one released last has the longest time until the peer closes it.
    if (idle_.size() >= max_idle) {
        idle_.erase(idle_.begin());
    }
    const auto now = steady::now();
    idle_.push_back({std::move(connection), now, now + idle_time});
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
