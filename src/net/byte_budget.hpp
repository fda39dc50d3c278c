/// How much memory the messages of clients may take in one process.
#ifndef VANILLAGAUGE_NET_BYTE_BUDGET_HPP
#define VANILLAGAUGE_NET_BYTE_BUDGET_HPP

#include "base/clock.hpp"

#include <cstddef>
#include <memory>
#include <utility>

namespace vanillagauge::net {

/// A body of at most so many bytes is small: large bodies leave room for it.
constexpr std::size_t small_body_bytes = 64U << 10U;

/// Counts the bytes that are held, and decides what more is taken in. A small body may use all room that is
/// left; a large one leaves a quarter of the total to the small ones. Not thread-safe.
class byte_budget {
public:
    /// A total of 0 is no limit. What is held here is held of the whole too, if there is one.
    explicit byte_budget(std::size_t total = 0, std::shared_ptr<byte_budget> whole = nullptr)
        : total_(total), whole_(std::move(whole))
    {
    }

    /// Holds so many bytes more of a body that then has `body_bytes`; false, and nothing held, without room.
    bool take(std::size_t bytes, std::size_t body_bytes);
    /// Holds so many bytes more, whether there is room or not.
    void add(std::size_t bytes);
    /// Whether `take` would succeed.
    bool has_room(std::size_t bytes, std::size_t body_bytes) const
    {
        return lacking(bytes, body_bytes) == nullptr;
    }
    /// The budget without room for so many bytes more: this one or the whole; null if there is room.
    const byte_budget* lacking(std::size_t bytes, std::size_t body_bytes) const;
    /// Whether what is held here is held of the other one too.
    bool counts_in(const byte_budget& other) const { return this == &other || whole_.get() == &other; }
    /// `held` is how long a body of so many bytes took room.
    void give_back(std::size_t bytes, duration held);
    /// When room for a body of so many bytes is expected, by how long the last large bodies took theirs.
    duration expected_wait(std::size_t body_bytes) const;

    void set_total(std::size_t total) { total_ = total; }
    std::size_t held() const { return held_; }

private:
    std::size_t total_;
    std::shared_ptr<byte_budget> whole_;
    std::size_t held_ = 0;
    duration mean_hold_ = milliseconds{500}; ///< of large bodies, newer ones counting more

    /// How many bytes may be held once a body of this size is among them.
    std::size_t limit_for(std::size_t body_bytes) const;
};

/// The room that one body takes, given back at its end.
class byte_reservation {
public:
    /// Without a budget, everything has room.
    explicit byte_reservation(std::shared_ptr<byte_budget> budget) : budget_(std::move(budget)) {}
    ~byte_reservation() { release(); }
    byte_reservation(const byte_reservation&) = delete;
    byte_reservation& operator=(const byte_reservation&) = delete;

    /// Takes room for a body of so many bytes in all; false, and as much held as before, if there is none.
    bool grow_to(std::size_t bytes);
    /// As `grow_to`, but where the budget holds nothing yet, everything has room.
    bool grow_or_be_first(std::size_t bytes);
    /// Gives back all but so many bytes.
    void shrink_to(std::size_t bytes);
    void release() { shrink_to(0); }
    std::size_t bytes() const { return bytes_; }
    /// Null: everything has room.
    byte_budget* budget() const { return budget_.get(); }

private:
    std::shared_ptr<byte_budget> budget_;
    std::size_t bytes_ = 0;
    time_point since_{}; ///< when it took its first bytes
};

} // namespace vanillagauge::net

#endif
