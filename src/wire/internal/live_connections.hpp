/// Counts the connections of a server that exist, ended ones included: a handler that runs on after its
/// client has left still holds its connection.
#ifndef VANILLAGAUGE_WIRE_INTERNAL_LIVE_CONNECTIONS_HPP
#define VANILLAGAUGE_WIRE_INTERNAL_LIVE_CONNECTIONS_HPP

#include <condition_variable>
#include <cstddef>
#include <mutex>

namespace vanillagauge::wire::internal {

class live_connections {
public:
    /// Counts one connection as long as it exists.
    class entry {
    public:
        explicit entry(live_connections& all);
        ~entry();
        entry(const entry&) = delete;
        entry& operator=(const entry&) = delete;

    private:
        live_connections& all_;
    };

    void wait_until_none();

private:
    std::mutex mutex_;
    std::condition_variable changed_;
    std::size_t count_ = 0;
};

} // namespace vanillagauge::wire::internal

#endif
