/// How long a replica stays in use after its entry has vanished from the store.
#ifndef VANILLAGAUGE_POLICY_EXPIRY_GRACE_HPP
#define VANILLAGAUGE_POLICY_EXPIRY_GRACE_HPP

#include "base/clock.hpp"

#include <optional>

namespace vanillagauge::policy {

class expiry_grace {
public:
    /// The store answered a call that some gateway made at `requested_at`, and this gateway knows of it.
    void on_answer(time_point requested_at);
    /// A call to the store failed, made by this gateway or one that told it.
    void on_failure(time_point failed_at);
    /// Entries that vanish before may have expired in an outage of the store; the epoch if there was none.
    time_point ends_at() const { return ends_at_; }

private:
    std::optional<time_point> last_answer_;
    std::optional<time_point> last_failure_;
    time_point ends_at_{};
};

} // namespace vanillagauge::policy

#endif
