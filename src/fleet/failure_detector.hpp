/// Detects dead VMs by probing one VM per period and spreads membership updates by gossip; the bytes
/// sent are bounded whatever the size of the fleet.
#ifndef VANILLAGAUGE_FLEET_FAILURE_DETECTOR_HPP
#define VANILLAGAUGE_FLEET_FAILURE_DETECTOR_HPP

#include "fleet/datagram.hpp"
#include "fleet/membership.hpp"

#include <deque>
#include <map>
#include <random>
#include <variant>
#include <vector>

namespace vanillagauge::fleet {

struct detector_timing {
    milliseconds probe_interval{500};
    milliseconds ack_timeout{200}; ///< then other VMs are requested to probe
    milliseconds probe_timeout{450};
    milliseconds gossip_interval{100};             ///< between extra datagrams while updates are queued
    milliseconds reconnect_interval{5000};         ///< between pings of a random dead VM
    milliseconds recovery_window{10000};           ///< how long a recovery shortens the reconnect interval
    milliseconds recovery_reconnect_interval{250}; ///< the reconnect interval within that window
    milliseconds compare_interval{10000};          ///< mean time between comparisons of whole views
    std::size_t relays = 3;
    std::size_t gossip_fanout = 2;
    std::size_t bytes_per_second = 2000; ///< sent; probes and acks take precedence
    std::size_t burst_bytes = 6000;
    std::size_t max_datagram_bytes = 1200; ///< avoids IP fragmentation
};

/// Send this datagram to `address`.
struct send_datagram {
    std::string address;
    datagram message;
};

/// Compare whole views with the keeper at this address over a connection.
struct compare_views {
    std::string peer_address;
};

using detector_action = std::variant<send_datagram, compare_views>;
using detector_actions = std::vector<detector_action>;

class failure_detector {
public:
    failure_detector(node self, detector_timing timing, membership_timing member_timing, std::uint64_t seed,
                     time_point now);

    /// Call every 50 to 100 ms.
    detector_actions tick(time_point now);
    detector_actions receive(const datagram& message, time_point now);
    void announce(const node& self, time_point now) { view_.announce(self, now); }
    bool merge_diff(const std::vector<member_update>& updates, time_point now)
    {
        return view_.merge_diff(updates, now);
    }
    /// Announces to a few peers that this VM leaves.
    detector_actions leave(time_point now);
    void set_config(config_mark mark);

    const membership& view() const { return view_; }

private:
    struct probe {
        std::string vm;
        time_point started;
        bool relayed = false;
    };
    struct relayed_probe {
        std::string origin_vm;
        std::string origin_address;
        std::uint64_t origin_sequence = 0;
        time_point started;
    };
    membership view_;
    detector_timing timing_;
    std::mt19937_64 random_;
    config_mark config_;
    int config_transmissions_ = 0;
    std::uint64_t sequence_ = 0;
    std::map<std::uint64_t, probe> probes_;
    std::map<std::uint64_t, relayed_probe> relayed_;
    std::deque<std::string> order_; ///< VMs to probe; each other VM once per shuffled round
    time_point last_tick_;
    time_point next_probe_;
    time_point next_gossip_;
    time_point next_reconnect_;
    time_point next_compare_;
    time_point last_recovery_seen_{};
    double tokens_ = 0;

    void refill(time_point now);
    void detect_pause(time_point now);
    void start_probe(time_point now, detector_actions& actions);
    void check_probes(time_point now, detector_actions& actions);
    void request_relays(std::uint64_t sequence, const probe& pending, detector_actions& actions);
    void send_gossip(detector_actions& actions);
    void reconnect(time_point now, detector_actions& actions);
    void handle_relay_request(const datagram& request, time_point now, detector_actions& actions);
    void handle_ack(const datagram& message, detector_actions& actions);
    void maybe_compare(const datagram& message, time_point now, detector_actions& actions);
    std::string next_target();
    std::vector<std::string> random_peers(std::size_t count, const std::string& except);
    datagram make(datagram_kind kind, const std::string& to, std::uint64_t sequence) const;
    void send(const std::string& address, datagram message, detector_actions& actions);
};

} // namespace vanillagauge::fleet

#endif
