/// Operators' watches: each waits for the next change of its kind.
#ifndef VANILLAGAUGE_KEEPER_OPERATOR_WATCH_HPP
#define VANILLAGAUGE_KEEPER_OPERATOR_WATCH_HPP

#include "keeper/keeper_state.hpp"
#include "wire/event_loop.hpp"

#include "vanillagauge.pb.h"

#include <map>
#include <mutex>

namespace vanillagauge::keeper {

v1::Object to_operator_object(const config::object& item);

/// Safe for several threads. The state and the loop must outlive it.
class operator_watch {
public:
    operator_watch(const keeper_state& state, wire::event_loop& loop) : state_(state), loop_(loop) {}

    /// Answers once there is a change after the asked revision, or the asked time is over.
    void wait(const v1::WatchRequest& request, v1::WatchReply* reply, google::protobuf::Closure* done);
    /// Answers those whose change has come.
    void notify();
    /// Answers all, and all that come later at once: the process is to stop.
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
