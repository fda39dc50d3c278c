/// Thread-safe quarantine of requests that crash targets, one for the process.
#ifndef VANILLAGAUGE_NODE_SHARED_QUARANTINE_HPP
#define VANILLAGAUGE_NODE_SHARED_QUARANTINE_HPP

#include "policy/quarantine.hpp"

#include <functional>
#include <mutex>
#include <string>

namespace vanillagauge::node {

class shared_quarantine {
public:
    /// Sets the handler called, on any thread, after a crash here or a new record from another node.
    void on_update(std::function<void()> handler) { on_update_ = std::move(handler); }

    void on_crash(std::uint64_t fingerprint, const std::string& target, time_point started_at);
    void on_answer(std::uint64_t fingerprint);
    void merge(const std::vector<policy::crash_record>& records);

    result<done> check(std::uint64_t fingerprint) const;
    std::vector<policy::crash_record> records() const;

private:
    std::function<void()> on_update_;
    mutable std::mutex mutex_;
    policy::quarantine quarantine_;
};

} // namespace vanillagauge::node

#endif
