/// Operators' watch requests: each waits for the next change of its kind.
#ifndef VANILLAGAUGE_KEEPER_OPERATOR_WATCH_HPP
#define VANILLAGAUGE_KEEPER_OPERATOR_WATCH_HPP

#include "keeper/keeper_state.hpp"
#include "wire/event_loop.hpp"

#include "vanillagauge.pb.h"

#include <map>
#include <mutex>

namespace vanillagauge::keeper {

v1::Object to_operator_object(const config::object& item);

/// Thread-safe. The state and the loop must outlive it.
class operator_watch {
public:
    operator_watch(const keeper_state& state, wire::event_loop& loop) : state_(state), loop_(loop) {}

    /// Replies once there is a change after the requested revision, or after the requested time.
    void wait(const v1::WatchRequest& request, v1::WatchReply* reply, google::protobuf::Closure* done);
    /// Replies to the requests that a change matches.
    void notify();
    /// Replies to all requests, and from now on to later ones at once, as the process stops.
    void stop();

private:
    struct pending_watch {
        std::string kind;
        std::uint64_t since = 0;
        v1::WatchReply* reply = nullptr;
        google::protobuf::Closure* done = nullptr;
    };
    const keeper_state& state_;
    wire::event_loop& loop_;
    std::mutex mutex_;
    std::map<std::uint64_t, pending_watch> pending_;
    std::uint64_t next_id_ = 0;
    bool stopped_ = false;

    bool has_changes(const pending_watch& watcher) const;
    void answer(const pending_watch& watcher) const;
    void expire(std::uint64_t id);
};

} // namespace vanillagauge::keeper

#endif
