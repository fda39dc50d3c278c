#include "membership_ways.hpp"

#include <algorithm>
#include <numeric>

namespace vanillagauge::slopes {
namespace {

constexpr milliseconds heartbeat_interval{500};
constexpr milliseconds dead_after{1500};
constexpr milliseconds step{50};
constexpr milliseconds span{10000};
constexpr milliseconds max_wait{60000};
/// IP and UDP headers, authentication, a name, an incarnation and a heartbeat.
constexpr std::size_t heartbeat_bytes = 100;
/// A membership change in a message: a name, an incarnation and a state.
constexpr std::size_t change_bytes = 40;

/// A fleet in which each node receives heartbeats from some others. The head of a domain is its first living
/// node.
struct heartbeat_fleet {
    std::size_t domains = 0; ///< 0: no tree, all nodes send to all
    std::vector<bool> running;
    std::vector<std::vector<time_point>> last_received; ///< by receiver and sender
    std::vector<std::vector<bool>> considered_dead;
    std::vector<std::size_t> bytes;
    std::vector<std::size_t> messages;
    time_point now{};

    heartbeat_fleet(std::size_t nodes, std::size_t domain_count)
        : domains(domain_count), running(nodes, true), last_received(nodes, std::vector<time_point>(nodes)),
          considered_dead(nodes, std::vector<bool>(nodes, false)), bytes(nodes, 0), messages(nodes, 0)
    {
    }

    std::size_t size() const { return running.size(); }
    std::size_t domain_of(std::size_t node) const { return domains == 0 ? 0 : node % domains; }

    /// The head of a domain as `by` sees it: its first node not considered dead.
    std::size_t head_of(std::size_t domain, std::size_t by) const
    {
        for (std::size_t node = domain; node < size(); node += domains) {
            if (!considered_dead[by][node]) {
                return node;
            }
        }
        return size();
    }

    bool is_head(std::size_t node) const { return domains > 0 && head_of(domain_of(node), node) == node; }

    std::vector<std::size_t> receivers(std::size_t node) const
    {
        std::vector<std::size_t> found;
        for (std::size_t other = 0; other < size(); ++other) {
            const bool own_domain = domains > 0 && domain_of(other) == domain_of(node);
            const bool wanted =
                domains == 0 || (is_head(node) ? own_domain || head_of(domain_of(other), node) == other
                                               : own_domain && head_of(domain_of(node), node) == other);
            if (other != node && wanted) {
                found.push_back(other);
            }
        }
        return found;
    }

    void send(std::size_t from, std::size_t to, std::size_t size_in_bytes)
    {
        bytes[from] += size_in_bytes;
        ++messages[from];
        if (running[to]) {
            last_received[to][from] = now;
        }
    }

    void send_heartbeats()
    {
        for (std::size_t node = 0; node < size(); ++node) {
            if (running[node]) {
                for (const auto other : receivers(node)) {
                    send(node, other, heartbeat_bytes);
                }
            }
        }
    }

    /// A head sends each death it detects to its members and the other heads; members watch only their head.
    void detect_deaths(std::size_t node)
    {
        for (std::size_t other = 0; other < size(); ++other) {
            if (other == node || considered_dead[node][other] || !listens_to(node, other) ||
                now - last_received[node][other] < dead_after) {
                continue;
            }
            considered_dead[node][other] = true;
            if (domains > 0 && is_head(node)) {
                announce_death(node, other);
                // A new head gets its members' heartbeats only from now on.
                for (std::size_t member = domain_of(node); member < size(); member += domains) {
                    last_received[node][member] = std::max(last_received[node][member], now);
                }
            }
        }
    }

    bool listens_to(std::size_t node, std::size_t other) const
    {
        if (domains == 0) {
            return true;
        }
        const bool own_domain = domain_of(node) == domain_of(other);
        if (is_head(node)) {
            return own_domain || head_of(domain_of(other), node) == other;
        }
        return own_domain && head_of(domain_of(node), node) == other;
    }

    void announce_death(std::size_t head, std::size_t dead)
    {
        for (const auto other : receivers(head)) {
            send(head, other, heartbeat_bytes + change_bytes);
            if (!running[other]) {
                continue;
            }
            considered_dead[other][dead] = true;
            if (domain_of(other) != domain_of(head)) {
                for (std::size_t member = domain_of(other); member < size(); member += domains) {
                    send(other, member, heartbeat_bytes + change_bytes);
                    considered_dead[member][dead] = true;
                }
            }
        }
    }

    void run(milliseconds time)
    {
        for (const auto end = now + time; now < end;) {
            now += step;
            if ((now - time_point{}) % heartbeat_interval == duration{0}) {
                send_heartbeats();
            }
            for (std::size_t node = 0; node < size(); ++node) {
                if (running[node]) {
                    detect_deaths(node);
                }
            }
        }
    }

    bool all_consider_dead(std::size_t dead) const
    {
        for (std::size_t node = 0; node < size(); ++node) {
            if (running[node] && !considered_dead[node][dead]) {
                return false;
            }
        }
        return true;
    }
};

milliseconds time_to_detect(std::size_t nodes, std::size_t domains, std::size_t victim, milliseconds offset)
{
    heartbeat_fleet fleet(nodes, domains);
    fleet.run(milliseconds{2000} + offset);
    fleet.running[victim] = false;
    const auto died = fleet.now;
    while (!fleet.all_consider_dead(victim) && fleet.now - died < max_wait) {
        fleet.run(step);
    }
    return std::chrono::duration_cast<milliseconds>(fleet.now - died);
}

protocol_figures measure(std::size_t nodes, std::size_t domains)
{
    heartbeat_fleet fleet(nodes, domains);
    const auto started = steady::now();
    fleet.run(span);
    const std::chrono::duration<double, std::micro> used = steady::now() - started;
    const double seconds_run = std::chrono::duration<double>(span).count();
    const auto count = static_cast<double>(nodes);
    protocol_figures found;
    found.messages_per_second =
        static_cast<double>(std::accumulate(fleet.messages.begin(), fleet.messages.end(), std::size_t{0})) /
        count / seconds_run;
    found.bytes_per_second =
        static_cast<double>(std::accumulate(fleet.bytes.begin(), fleet.bytes.end(), std::size_t{0})) / count /
        seconds_run;
    found.max_bytes_per_second =
        static_cast<double>(*std::max_element(fleet.bytes.begin(), fleet.bytes.end())) / seconds_run;
    found.processor_us_per_second = used.count() / count / seconds_run;
    constexpr int offsets = 5;
    for (int place = 0; place < offsets; ++place) {
        const auto took = time_to_detect(nodes, domains, nodes - 1, place * 2 * step);
        found.detected_mean += took / offsets;
        found.detected_max = std::max(found.detected_max, took);
    }
    found.key_node_detected = time_to_detect(nodes, domains, 0, milliseconds{0});
    return found;
}

} // namespace

protocol_figures direct_heartbeats(std::size_t nodes)
{
    return measure(nodes, 0);
}

protocol_figures domain_tree(std::size_t nodes, std::size_t domains)
{
    return measure(nodes, domains);
}

} // namespace vanillagauge::slopes
