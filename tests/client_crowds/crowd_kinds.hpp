/// Clients that do not behave: what each of a crowd sends, and at which bounds the process is to stay.
#ifndef VANILLAGAUGE_TESTS_CLIENT_CROWDS_CROWD_KINDS_HPP
#define VANILLAGAUGE_TESTS_CLIENT_CROWDS_CROWD_KINDS_HPP

#include <cstddef>
#include <functional>
#include <map>
#include <string>

namespace vanillagauge::client_crowds {

constexpr std::size_t megabyte = std::size_t{1} << 20U;

/// What the process may take at most while the crowd stands and afterwards.
struct process_bounds {
    std::size_t memory_mb = 64;    ///< named in the settings too
    std::size_t descriptors = 300; ///< the limit of the system for the process
    std::size_t descriptors_left = 20;
};

struct crowd_kind {
    std::size_t clients = 0;
    process_bounds bounds{};
    /// Sent first, by the client with this number.
    std::function<std::string(std::size_t number)> opening{};
    /// Sent again and again after it, until `piece_bytes_in_all` are.
    std::string piece{};
    std::size_t piece_bytes_in_all = 0;
    bool closes = false; ///< once all is sent, instead of staying
    /// What has arrived at the address and has not been read counts with the process's memory.
    bool counts_unread = false;
};

/// By name. No client reads what it gets.
const std::map<std::string, crowd_kind>& all_kinds();

} // namespace vanillagauge::client_crowds

#endif
