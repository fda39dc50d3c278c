/// Which exchanges a connection has carried, so that a late second copy of an earlier response cannot be
/// taken for the response to a later request with the same id.
#ifndef VANILLAGAUGE_NET_EXCHANGE_HISTORY_HPP
#define VANILLAGAUGE_NET_EXCHANGE_HISTORY_HPP

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace vanillagauge::net {

/// Keeps a hash of each id. Two ids with the same hash count as one, which costs a new connection.
class exchange_history {
public:
    /// Bounds the memory of one connection, to 4 KB.
    static constexpr std::size_t max_exchanges = 512;

    bool contains(std::string_view id) const;
    /// Ignores an empty id: that of an exchange whose response repeats none.
    void add(std::string_view id);
    /// The connection must carry no further exchange.
    bool full() const { return hashes_.size() >= max_exchanges; }

private:
    std::vector<std::uint64_t> hashes_;
};

} // namespace vanillagauge::net

#endif
