/// The connections that a process has accepted on all its addresses, and the memory that they hold.
#ifndef VANILLAGAUGE_NET_CONNECTION_ACCOUNT_HPP
#define VANILLAGAUGE_NET_CONNECTION_ACCOUNT_HPP

#include "base/clock.hpp"
#include "net/byte_budget.hpp"

#include <cstddef>
#include <functional>
#include <list>
#include <map>
#include <memory>

namespace vanillagauge::net {

/// What the system grants a process; 0: unknown.
struct process_resources {
    std::size_t descriptors = 0; ///< open at once
    std::size_t memory_bytes = 0;
};

/// 0: no limit.
struct account_limits {
    std::size_t connections = 0; ///< accepted ones that are open at once
    std::size_t head_bytes = 0;  ///< of requests' heads that are being read or served
    std::size_t body_bytes = 0;  ///< of requests' and responses' bodies
    std::size_t all_bytes = 0;   ///< of these, and of what else is held of the whole
};

/// The descriptors that are not kept for files.
std::size_t sockets_within(std::size_t descriptors);

/// The part of a process's resources that its clients may take.
account_limits limits_within(const process_resources& resources);

/// What was done to a connection for lack of resources.
enum class account_event {
    given_up_for_connections, ///< closed for a newer one
    given_up_for_memory,      ///< closed for the memory that it held
    refused,                  ///< closed as it came, unread
};

const char* name(account_event event);

/// How the account acts on one connection.
struct connection_actions {
    /// Closes the connection and gives its memory back.
    std::function<void()> give_up;
    /// Whether it holds memory that counts in that budget.
    std::function<bool(const byte_budget&)> holds;
};

class connection_entry;

/// Decides which connection is given up for another one: the one that has waited longest for its client, at
/// the address that has most connections. A connection whose request is being served is never given up. Not
/// thread-safe.
class connection_account {
public:
    using observer = std::function<void(account_event)>;
    /// A listening address.
    using address_id = const void*;

    explicit connection_account(const account_limits& limits = {});

    void set_limits(const account_limits& limits);
    void set_observer(observer on_event) { on_event_ = std::move(on_event); }

    /// Whether one more connection at this address has room; gives up another one where needed.
    bool admit(address_id address);
    /// Gives up one connection, for a descriptor; false if each is being served.
    bool free_descriptor();
    /// Gives up stalled connections until the budget has room for so many bytes of a body of that size.
    void make_room(byte_budget& budget, std::size_t bytes, std::size_t body_bytes, time_point now);

    /// What all that clients make the process hold is counted in.
    const std::shared_ptr<byte_budget>& whole() const { return whole_; }
    const std::shared_ptr<byte_budget>& heads() const { return heads_; }
    const std::shared_ptr<byte_budget>& bodies() const { return bodies_; }
    std::size_t connections() const { return count_; }

private:
    friend class connection_entry;
    using waiting_list = std::list<connection_entry*>; ///< the one that has waited longest first

    struct listening_address {
        std::size_t connections = 0;
        waiting_list waiting{};
    };

    std::size_t max_connections_ = 0;
    std::shared_ptr<byte_budget> whole_ = std::make_shared<byte_budget>();
    std::shared_ptr<byte_budget> heads_ = std::make_shared<byte_budget>(0, whole_);
    std::shared_ptr<byte_budget> bodies_ = std::make_shared<byte_budget>(0, whole_);
    std::map<address_id, listening_address> addresses_;
    std::size_t count_ = 0;
    time_point next_search_{};
    observer on_event_;

    /// The address with most connections among those at which one waits; null if there is none.
    listening_address* largest_with_waiting();
    void give_up(connection_entry& entry, account_event why);
    void tell(account_event event) const;
};

/// One connection in the account, from its accept to its end.
class connection_entry {
public:
    /// Without an account, nothing is counted.
    connection_entry(std::shared_ptr<connection_account> account, connection_account::address_id address,
                     connection_actions actions);
    ~connection_entry();
    connection_entry(const connection_entry&) = delete;
    connection_entry& operator=(const connection_entry&) = delete;

    /// From now on the connection waits for bytes of its client, or for its client to read.
    void wait_for_client(time_point now);
    /// From now on it waits for its client to close, and is given up before all others.
    void wait_for_close();
    /// From now on its request is being served.
    void serve();

private:
    friend class connection_account;
    std::shared_ptr<connection_account> account_;
    connection_account::address_id address_;
    connection_actions actions_;
    bool counted_ = false;
    bool waits_ = false;
    time_point since_{};
    connection_account::waiting_list::iterator place_{};

    void stop_waiting();
    void remove();
};

/// Room in the budget for so many bytes in all, of which the account makes some where needed; false, and as
/// much held as before, if there is none.
bool hold(byte_reservation& room, std::size_t bytes, connection_account* account);

} // namespace vanillagauge::net

#endif
