#include "fleet/failure_detector.hpp"

#include <algorithm>

namespace vanillagauge::fleet {
namespace {

/// A tick this late means that the process was paused; see detect_pause.
constexpr milliseconds pause_threshold{700};
/// How often a node gossips a changed configuration; the digests in probes and acks reach the rest.
constexpr int config_transmit_limit = 8;

} // namespace

failure_detector::failure_detector(node self, detector_timing timing, membership_timing member_timing,
                                   std::uint64_t seed, time_point now)
    : view_(std::move(self), member_timing, now), timing_(timing), random_(seed), last_tick_(now),
      next_probe_(now), next_gossip_(now), next_reconnect_(now + timing.reconnect_interval),
      next_compare_(now), tokens_(static_cast<double>(timing.burst_bytes))
{
}

void failure_detector::set_config(config_mark mark)
{
    if (mark.digest != config_.digest) {
        config_transmissions_ = config_transmit_limit;
    }
    config_ = mark;
}

void failure_detector::refill(time_point now)
{
    const std::chrono::duration<double> passed = now - last_tick_;
    tokens_ = std::min(static_cast<double>(timing_.burst_bytes),
                       tokens_ + passed.count() * static_cast<double>(timing_.bytes_per_second));
}

// After a pause of the process all its probes are overdue, though the acks may have arrived unread. Without
// this it would suspect every VM that it was probing and declare its suspects dead.
void failure_detector::detect_pause(time_point now)
{
    const auto late = now - last_tick_;
    if (late < pause_threshold) {
        return;
    }
    probes_.clear();
    relayed_.clear();
    view_.extend_suspicions(late);
    next_probe_ = now;
}

detector_actions failure_detector::tick(time_point now)
{
    detector_actions actions;
    refill(now);
    detect_pause(now);
    last_tick_ = now;
    check_probes(now, actions);
    view_.tick(now);
    if (now >= next_probe_) {
        next_probe_ = now + timing_.probe_interval;
        start_probe(now, actions);
    }
    const auto last = view_.last_recovery();
    if (last && *last >= last_recovery_seen_) {
        last_recovery_seen_ = *last + milliseconds{1};
        next_reconnect_ = std::min(next_reconnect_, now + timing_.recovery_reconnect_interval);
    }
    if (now >= next_reconnect_) {
        reconnect(now, actions);
    }
    if (now >= next_gossip_) {
        next_gossip_ = now + timing_.gossip_interval;
        send_gossip(actions);
    }
    return actions;
}

std::string failure_detector::next_target()
{
    for (int round = 0; round < 2; ++round) {
        while (!order_.empty()) {
            auto vm = std::move(order_.front());
            order_.pop_front();
            const auto living = view_.in_state(member_state::alive);
            const auto suspects = view_.in_state(member_state::suspect);
            if (std::find(living.begin(), living.end(), vm) != living.end() ||
                std::find(suspects.begin(), suspects.end(), vm) != suspects.end()) {
                return vm;
            }
        }
        auto next = view_.in_state(member_state::alive);
        const auto suspects = view_.in_state(member_state::suspect);
        next.insert(next.end(), suspects.begin(), suspects.end());
        std::shuffle(next.begin(), next.end(), random_);
        order_.assign(next.begin(), next.end());
    }
    return {};
}

void failure_detector::start_probe(time_point now, detector_actions& actions)
{
    const auto vm = next_target();
    const auto* target = view_.find(vm);
    if (target == nullptr) {
        return;
    }
    const auto sequence = ++sequence_;
    probes_[sequence] = {vm, now, false};
    const auto address = target->datagram_address;
    send(address, make(datagram_kind::ping, vm, sequence), actions);
}

void failure_detector::check_probes(time_point now, detector_actions& actions)
{
    for (auto it = probes_.begin(); it != probes_.end();) {
        auto& pending = it->second;
        const auto waited = now - pending.started;
        if (waited >= timing_.probe_timeout) {
            view_.suspect(pending.vm, now);
            it = probes_.erase(it);
            continue;
        }
        if (waited >= timing_.ack_timeout && !pending.relayed) {
            pending.relayed = true;
            request_relays(it->first, pending, actions);
        }
        ++it;
    }
    std::erase_if(relayed_, [this, now](const auto& entry) {
        return now - entry.second.started > timing_.probe_timeout;
    });
}

// A lost datagram or a broken path between two VMs must not make one suspect, so other VMs probe it first.
void failure_detector::request_relays(std::uint64_t sequence, const probe& pending, detector_actions& actions)
{
    const auto* target = view_.find(pending.vm);
    if (target == nullptr) {
        return;
    }
    const auto target_address = target->datagram_address;
    for (const auto& vm : random_peers(timing_.relays, pending.vm)) {
        auto request = make(datagram_kind::relay_request, vm, sequence);
        request.relay_vm = pending.vm;
        request.relay_address = target_address;
        send(view_.find(vm)->datagram_address, std::move(request), actions);
    }
}

void failure_detector::send_gossip(detector_actions& actions)
{
    const bool config_changed = config_transmissions_ > 0;
    if (!view_.has_updates() && !config_changed) {
        return;
    }
    for (const auto& vm : random_peers(timing_.gossip_fanout, {})) {
        auto message = make(datagram_kind::gossip, vm, 0);
        if (tokens_ < static_cast<double>(estimated_size(message) + view_.smallest_update())) {
            return;
        }
        send(view_.find(vm)->datagram_address, std::move(message), actions);
    }
    config_transmissions_ = std::max(0, config_transmissions_ - 1);
}

// After a long partition each side considers the other dead and probes only live VMs, so the sides would
// never merge. A random dead VM is therefore pinged; the ping carries its state here, and its refutation
// spreads like any update, without seeds. After one recovery others behind the same link have likely
// recovered too, so the interval is shortened.
void failure_detector::reconnect(time_point now, detector_actions& actions)
{
    const auto last = view_.last_recovery();
    const bool recovering = last && now - *last < timing_.recovery_window;
    next_reconnect_ = now + (recovering ? timing_.recovery_reconnect_interval : timing_.reconnect_interval);
    const auto dead = view_.in_state(member_state::dead);
    if (dead.empty() || tokens_ < static_cast<double>(timing_.max_datagram_bytes)) {
        return;
    }
    const auto& vm = dead[random_() % dead.size()];
    send(view_.find(vm)->datagram_address, make(datagram_kind::ping, vm, 0), actions);
}

std::vector<std::string> failure_detector::random_peers(std::size_t count, const std::string& except)
{
    auto living = view_.in_state(member_state::alive);
    std::erase(living, except);
    for (std::size_t index = 0; index < std::min(count, living.size()); ++index) {
        std::swap(living[index], living[index + random_() % (living.size() - index)]);
    }
    living.resize(std::min(count, living.size()));
    return living;
}

datagram failure_detector::make(datagram_kind kind, const std::string& to, std::uint64_t sequence) const
{
    datagram message;
    message.kind = kind;
    message.from = view_.self().vm;
    message.from_address = view_.self().datagram_address;
    message.from_peer_address = view_.self().peer_address;
    message.to = to;
    message.sequence = sequence;
    message.members_digest = view_.digest();
    message.config = config_;
    return message;
}

void failure_detector::send(const std::string& address, datagram message, detector_actions& actions)
{
    if (address.empty()) {
        return;
    }
    message.updates = view_.update_about(message.to);
    const auto bare = estimated_size(message);
    tokens_ -= static_cast<double>(bare);
    const auto room =
        std::min(tokens_, static_cast<double>(timing_.max_datagram_bytes) - static_cast<double>(bare));
    if (room > 0) {
        for (auto& update : view_.take_updates(static_cast<std::size_t>(room))) {
            tokens_ -= static_cast<double>(estimated_size(update));
            message.updates.push_back(std::move(update));
        }
    }
    actions.emplace_back(send_datagram{address, std::move(message)});
}

detector_actions failure_detector::receive(const datagram& message, time_point now)
{
    detector_actions actions;
    if (message.to != view_.self().vm || message.from == view_.self().vm) {
        return actions;
    }
    for (const auto& update : message.updates) {
        view_.merge(update, now);
    }
    view_.note_config(message.from, message.config.newest_version);
    switch (message.kind) {
    case datagram_kind::ping:
        send(message.from_address, make(datagram_kind::ack, message.from, message.sequence), actions);
        break;
    case datagram_kind::ack:
        handle_ack(message, actions);
        break;
    case datagram_kind::relay_request:
        handle_relay_request(message, now, actions);
        break;
    case datagram_kind::gossip:
        break;
    }
    maybe_compare(message, now, actions);
    return actions;
}

void failure_detector::handle_ack(const datagram& message, detector_actions& actions)
{
    const auto pending = probes_.find(message.sequence);
    if (pending != probes_.end()) {
        probes_.erase(pending);
        return;
    }
    const auto relayed = relayed_.find(message.sequence);
    if (relayed != relayed_.end()) {
        const auto& origin = relayed->second;
        send(origin.origin_address, make(datagram_kind::ack, origin.origin_vm, origin.origin_sequence),
             actions);
        relayed_.erase(relayed);
    }
}

void failure_detector::handle_relay_request(const datagram& request, time_point now,
                                            detector_actions& actions)
{
    const auto sequence = ++sequence_;
    relayed_[sequence] = {request.from, request.from_address, request.sequence, now};
    send(request.relay_address, make(datagram_kind::ping, request.relay_vm, sequence), actions);
}

// Gossip may miss a member, and after a partition more differs than the queue spreads. Equal digests settle
// the matter for 8 bytes. Views with different digests are compared whole, on average at most every
// `compare_interval` to bound the bytes, and not while updates are still queued.
void failure_detector::maybe_compare(const datagram& message, time_point now, detector_actions& actions)
{
    const bool unknown_sender = view_.find(message.from) == nullptr;
    if (message.members_digest == view_.digest() || message.from_peer_address.empty()) {
        return;
    }
    if ((view_.has_updates() && !unknown_sender) || now < next_compare_) {
        return;
    }
    const auto jitter =
        milliseconds{random_() % static_cast<std::uint64_t>(timing_.compare_interval.count())};
    next_compare_ = now + timing_.compare_interval / 2 + jitter;
    actions.emplace_back(compare_views{message.from_peer_address});
}

detector_actions failure_detector::leave(time_point now)
{
    detector_actions actions;
    view_.leave(now);
    for (const auto& vm : random_peers(2 * timing_.relays, {})) {
        auto message = make(datagram_kind::gossip, vm, 0);
        send(view_.find(vm)->datagram_address, std::move(message), actions);
    }
    return actions;
}

} // namespace vanillagauge::fleet
