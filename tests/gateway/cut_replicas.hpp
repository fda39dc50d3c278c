/// Replicas that cut or break responses as planned.
#ifndef VANILLAGAUGE_TESTS_GATEWAY_CUT_REPLICAS_HPP
#define VANILLAGAUGE_TESTS_GATEWAY_CUT_REPLICAS_HPP

#include "../scripted_peer.hpp"
#include "deployment.hpp"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>

namespace vanillagauge::gateway {

constexpr int events_of_stream = 3;

struct planned_cut {
    framing how = framing::length;
    connection_end end = connection_end::fin;
    std::size_t bytes = 0;
    bool kept = false; ///< only on a connection that has carried another request
};

/// Makes a response of the replica's fields, each a line that ends with CRLF, and a body.
using planned_response = std::function<scripted_response(const std::string& fields, const std::string& body)>;

inline std::string plain_body(const std::string& id)
{
    return "response to " + id;
}

/// The events after the one with the number `after`.
inline std::string events_after(const std::string& id, int after)
{
    std::string text;
    for (int number = after + 1; number <= events_of_stream; ++number) {
        const auto digits = std::to_string(number);
        text.append("id: ").append(digits).append("\ndata: ").append(id).append("-").append(digits);
        text += "\n\n";
    }
    return text;
}

inline std::string replica_fields(const std::string& id)
{
    return "Attempt-Id: " + id + "\r\nWeight-Versions: 1\r\nServer-Stamp: stamp-of-" + id + "\r\n";
}

/// Two replicas of one service, whose requests with token counts are streams.
class cut_replicas {
public:
    cut_replicas(deployment& all, const std::string& service)
    {
        for (const auto* id : {"c1", "c2"}) {
            auto& added = *peers_.emplace_back(std::make_unique<scripted_peer>(
                [this](const scripted_request& request) { return respond(request); }));
            all.put_replica_at(added.address(), service, service + "-" + id);
        }
    }

    /// Cuts the first response to the request with this id.
    void plan(const std::string& id, planned_cut cut)
    {
        const auto make = [cut](const std::string& fields, const std::string& body) -> scripted_response {
            return {response_text(cut.how, fields, body).substr(0, cut.bytes), cut.end};
        };
        add(id, {make, cut.kept});
    }
    /// Makes the first response to the request with this id.
    void plan(const std::string& id, planned_response make) { add(id, {std::move(make), std::nullopt}); }
    /// Whether the planned response to this id was sent.
    bool played(const std::string& id)
    {
        const std::lock_guard lock(mutex_);
        return !planned_.contains(id);
    }
    int runs(const std::string& id)
    {
        const std::lock_guard lock(mutex_);
        return runs_[id];
    }
    /// Whether replicas keep connections after whole responses.
    void set_keeping(bool keeping)
    {
        const std::lock_guard lock(mutex_);
        keeping_ = keeping;
    }

private:
    struct plan_entry {
        planned_response make;
        std::optional<bool> kept; ///< none: on any connection
    };

    std::mutex mutex_;
    std::map<std::string, plan_entry> planned_;
    std::map<std::string, int> runs_;
    bool keeping_ = true;
    std::vector<std::unique_ptr<scripted_peer>> peers_{}; ///< last: their threads call `respond`

    void add(const std::string& id, plan_entry planned)
    {
        const std::lock_guard lock(mutex_);
        planned_[id] = std::move(planned);
    }

    scripted_response respond(const scripted_request& request)
    {
        const std::lock_guard lock(mutex_);
        const auto id = request.field("Attempt-Id");
        ++runs_[id];
        const bool streams = !request.field("Token-Counts").empty();
        const auto after = request.field("Last-Event-Id");
        const auto body = streams ? events_after(id, after.empty() ? 0 : std::stoi(after)) : plain_body(id);
        const auto found = planned_.find(id);
        if (found != planned_.end() && found->second.kept.value_or(request.kept) == request.kept) {
            const auto make = std::move(found->second.make);
            planned_.erase(found);
            return make(replica_fields(id), body);
        }
        const auto how = streams ? framing::chunked : framing::length;
        if (keeping_) {
            return {response_text(how, replica_fields(id), body)};
        }
        return {response_text(how, replica_fields(id) + "Connection: close\r\n", body), connection_end::fin};
    }
};

} // namespace vanillagauge::gateway

#endif
