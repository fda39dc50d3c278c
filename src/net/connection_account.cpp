#include "net/connection_account.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace vanillagauge::net {
namespace {

/// Descriptors for files, and the part of a small total that they get.
constexpr std::size_t file_descriptors = 200;
constexpr std::size_t file_share_divisor = 4;

/// Of the other descriptors, a request that is passed on takes a second one; a fifth is left for the store,
/// for the calls of other machines and for background work.
constexpr std::size_t accepted_numerator = 2;
constexpr std::size_t accepted_denominator = 5;

/// A connection costs some of it before it holds anything: sockets, timers and suspended tasks.
constexpr std::size_t connection_bytes = std::size_t{8} << 10U;

/// Parts of the memory. What is left is for the process at rest and for its own work.
constexpr std::size_t connection_memory_divisor = 4;
constexpr std::size_t head_memory_divisor = 8;
constexpr std::size_t body_memory_divisor = 2;

/// What a process takes that serves nobody.
constexpr std::size_t rest_bytes = std::size_t{24} << 20U;

/// Of the memory beyond it, what all of these may take together; the rest is for connections and for copies
/// of a moment. At least a part of the whole memory.
constexpr std::size_t whole_numerator = 3;
constexpr std::size_t whole_denominator = 4;
constexpr std::size_t least_whole_divisor = 4;

/// An address with fewer connections takes one more whatever the others hold.
constexpr std::size_t least_connections = 8;

/// A client that moves no byte for so long gives its memory up to others.
constexpr seconds stall_time{2};

/// Searches among many connections must not take the processor.
constexpr milliseconds search_pause{50};

/// Of the resource with this total; none where it is unknown.
std::size_t connections_within(std::size_t total, std::size_t connections)
{
    return total == 0 ? std::numeric_limits<std::size_t>::max() : std::max(connections, least_connections);
}

std::size_t whole_within(std::size_t memory_bytes)
{
    const auto beyond_rest = memory_bytes - std::min(memory_bytes, rest_bytes);
    return std::max(beyond_rest / whole_denominator * whole_numerator, memory_bytes / least_whole_divisor);
}

} // namespace

std::size_t sockets_within(std::size_t descriptors)
{
    return descriptors - std::min(file_descriptors, descriptors / file_share_divisor);
}

account_limits limits_within(const process_resources& resources)
{
    const auto sockets = sockets_within(resources.descriptors);
    const auto by_descriptors =
        connections_within(resources.descriptors, sockets / accepted_denominator * accepted_numerator);
    const auto by_memory = connections_within(
        resources.memory_bytes, resources.memory_bytes / connection_memory_divisor / connection_bytes);
    account_limits limits;
    const auto strictest = std::min(by_descriptors, by_memory);
    limits.connections = strictest == std::numeric_limits<std::size_t>::max() ? 0 : strictest;
    limits.head_bytes = resources.memory_bytes / head_memory_divisor;
    limits.body_bytes = resources.memory_bytes / body_memory_divisor;
    limits.all_bytes = whole_within(resources.memory_bytes);
    return limits;
}

const char* name(account_event event)
{
    switch (event) {
    case account_event::given_up_for_connections:
        return "given_up_for_connections";
    case account_event::given_up_for_memory:
        return "given_up_for_memory";
    case account_event::refused:
        break;
    }
    return "refused";
}

connection_account::connection_account(const account_limits& limits)
{
    set_limits(limits);
}

void connection_account::set_limits(const account_limits& limits)
{
    max_connections_ = limits.connections;
    whole_->set_total(limits.all_bytes);
    heads_->set_total(limits.head_bytes);
    bodies_->set_total(limits.body_bytes);
}

connection_account::listening_address* connection_account::largest_with_waiting()
{
    listening_address* largest = nullptr;
    for (auto& [id, address] : addresses_) {
        if (!address.waiting.empty() && (largest == nullptr || address.connections > largest->connections)) {
            largest = &address;
        }
    }
    return largest;
}

bool connection_account::admit(address_id address)
{
    if (max_connections_ == 0 || count_ < max_connections_ || free_descriptor()) {
        return true;
    }
    if (addresses_[address].connections < least_connections) {
        return true;
    }
    tell(account_event::refused);
    return false;
}

bool connection_account::free_descriptor()
{
    auto* largest = largest_with_waiting();
    if (largest == nullptr) {
        return false;
    }
    give_up(*largest->waiting.front(), account_event::given_up_for_connections);
    return true;
}

void connection_account::make_room(byte_budget& budget, std::size_t bytes, std::size_t body_bytes,
                                   time_point now)
{
    if (now < next_search_) {
        return;
    }
    next_search_ = now + search_pause;
    for (auto& [id, address] : addresses_) {
        auto next = address.waiting.begin();
        const byte_budget* lacking = nullptr;
        while (next != address.waiting.end() && (lacking = budget.lacking(bytes, body_bytes)) != nullptr) {
            auto& entry = **next++; // giving it up takes it out of the list
            if (now - entry.since_ < stall_time) {
                break;
            }
            if (entry.actions_.holds(*lacking)) {
                give_up(entry, account_event::given_up_for_memory);
            }
        }
    }
}

// The entry is removed at once: its connection is only told to end, and what it opened is closed by then.
void connection_account::give_up(connection_entry& entry, account_event why)
{
    entry.remove();
    entry.actions_.give_up();
    tell(why);
}

void connection_account::tell(account_event event) const
{
    if (on_event_) {
        on_event_(event);
    }
}

connection_entry::connection_entry(std::shared_ptr<connection_account> account,
                                   connection_account::address_id address, connection_actions actions)
    : account_(std::move(account)), address_(address), actions_(std::move(actions)),
      counted_(account_ != nullptr)
{
    if (counted_) {
        ++account_->count_;
        ++account_->addresses_[address_].connections;
    }
}

connection_entry::~connection_entry()
{
    remove();
}

void connection_entry::remove()
{
    stop_waiting();
    if (std::exchange(counted_, false)) {
        --account_->count_;
        --account_->addresses_[address_].connections;
    }
}

void connection_entry::stop_waiting()
{
    if (std::exchange(waits_, false)) {
        account_->addresses_[address_].waiting.erase(place_);
    }
}

void connection_entry::wait_for_client(time_point now)
{
    if (!counted_) {
        return;
    }
    stop_waiting();
    auto& waiting = account_->addresses_[address_].waiting;
    since_ = now;
    place_ = waiting.insert(waiting.end(), this);
    waits_ = true;
}

void connection_entry::wait_for_close()
{
    if (!counted_) {
        return;
    }
    stop_waiting();
    auto& waiting = account_->addresses_[address_].waiting;
    since_ = {};
    place_ = waiting.insert(waiting.begin(), this);
    waits_ = true;
}

void connection_entry::serve()
{
    stop_waiting();
}

bool hold(byte_reservation& room, std::size_t bytes, connection_account* account)
{
    if (room.grow_to(bytes)) {
        return true;
    }
    if (account == nullptr) {
        return false;
    }
    account->make_room(*room.budget(), bytes - room.bytes(), bytes, steady::now());
    return room.grow_to(bytes);
}

} // namespace vanillagauge::net
