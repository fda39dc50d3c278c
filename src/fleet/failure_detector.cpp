#include "fleet/failure_detector.hpp"

#include <algorithm>

namespace vanillagauge::fleet {
namespace {

/// A tick that comes this much late means that the process did not run; see notice_pause.
constexpr milliseconds pause_notice{700};
/// A changed configuration is told this often by each node that took it; the comparison on every probe finds
/// the rest.
constexpr int config_tellings = 8;

} // namespace

failure_detector::failure_detector(node self, detector_timing timing, membership_timing member_timing,
                                   std::uint64_t seed, time_point now)
    : view_(std::move(self), member_timing, now), timing_(timing), random_(seed), last_tick_(now),
      next_probe_(now), next_news_(now), next_reconnect_(now + timing.reconnect_every), next_compare_(now),
      tokens_(static_cast<double>(timing.burst_bytes))
{
}

void failure_detector::set_config(config_mark mark)
{
    if (mark.digest != config_.digest) {
        config_tellings_ = config_tellings;
    }
    config_ = mark;
}

void failure_detector::refill(time_point now)
{
    const std::chrono::duration<double> passed = now - last_tick_;
    tokens_ = std::min(static_cast<double>(timing_.burst_bytes),
                       tokens_ + passed.count() * static_cast<double>(timing_.bytes_per_second));
}

// A process that was stopped for a while wakes with all its probes overdue. Its peers answered; it could not
// listen. Without this it would suspect every VM it was probing, and bury those it suspected before.
void failure_detector::notice_pause(time_point now)
{
    const auto late = now - last_tick_;
    if (late < pause_notice) {
        return;
    }
    probes_.clear();
    relayed_.clear();
    view_.postpone(late);
    next_probe_ = now;
}

detector_actions failure_detector::tick(time_point now)
{
    detector_actions actions;
    refill(now);
    notice_pause(now);
    last_tick_ = now;
    judge_probes(now, actions);
    view_.tick(now);
    if (now >= next_probe_) {
        next_probe_ = now + timing_.probe_every;
        start_probe(now, actions);
    }
    const auto last = view_.last_return();
    if (last && *last >= last_return_seen_) {
        last_return_seen_ = *last + milliseconds{1};
        next_reconnect_ = std::min(next_reconnect_, now + timing_.reconnect_returning);
    }
    if (now >= next_reconnect_) {
        reconnect(now, actions);
    }
    if (now >= next_news_) {
        next_news_ = now + timing_.news_every;
        tell_news(actions);
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

void failure_detector::judge_probes(time_point now, detector_actions& actions)
{
    for (auto it = probes_.begin(); it != probes_.end();) {
        auto& open = it->second;
        const auto waited = now - open.started;
        if (waited >= timing_.relayed_within) {
            view_.suspect(open.vm, now);
            it = probes_.erase(it);
            continue;
        }
        if (waited >= timing_.answer_within && !open.relayed) {
            open.relayed = true;
            ask_relays(it->first, open, actions);
        }
        ++it;
    }
    std::erase_if(relayed_, [this, now](const auto& entry) {
        return now - entry.second.started > timing_.relayed_within;
    });
}

// One lost datagram or one bad path between two VMs is no death: three others try before it is suspected.
void failure_detector::ask_relays(std::uint64_t sequence, const probe& open, detector_actions& actions)
{
    const auto* target = view_.find(open.vm);
    if (target == nullptr) {
        return;
    }
    const auto target_address = target->datagram_address;
    for (const auto& vm : random_peers(timing_.relays, open.vm)) {
        auto request = make(datagram_kind::relay_request, vm, sequence);
        request.relay_vm = open.vm;
        request.relay_address = target_address;
        send(view_.find(vm)->datagram_address, std::move(request), actions);
    }
}

void failure_detector::tell_news(detector_actions& actions)
{
    const bool config_news = config_tellings_ > 0;
    if (!view_.has_news() && !config_news) {
        return;
    }
    for (const auto& vm : random_peers(timing_.news_peers, {})) {
        auto message = make(datagram_kind::news, vm, 0);
        if (tokens_ < static_cast<double>(estimated_size(message) + view_.smallest_news())) {
            return;
        }
        send(view_.find(vm)->datagram_address, std::move(message), actions);
    }
    config_tellings_ = std::max(0, config_tellings_ - 1);
}

// Two halves of a fleet that lost each other for an hour hold each other for dead and probe only the living:
// without this they would stay apart after the link is back. A dead VM is tried in turn and told that it is
// held for dead; its refutation spreads like any statement, without any seed. Where one VM has come back the
// others behind the same link are likely back too, so they are tried in quick succession.
void failure_detector::reconnect(time_point now, detector_actions& actions)
{
    const auto last = view_.last_return();
    const bool returning = last && now - *last < timing_.returning;
    next_reconnect_ = now + (returning ? timing_.reconnect_returning : timing_.reconnect_every);
    const auto dead = view_.in_state(member_state::dead);
    if (dead.empty() || tokens_ < static_cast<double>(timing_.largest_datagram)) {
        return;
    }
    const auto& vm = dead[random_() % dead.size()];
    send(view_.find(vm)->datagram_address, make(datagram_kind::ping, vm, 0), actions);
}

std::vector<std::string> failure_detector::random_peers(std::size_t count, const std::string& except)
{
    auto living = view_.in_state(member_state::alive);
    std::erase(living, except);
    for (std::size_t place = 0; place < std::min(count, living.size()); ++place) {
        std::swap(living[place], living[place + random_() % (living.size() - place)]);
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
    message.updates = view_.said_of(message.to);
    const auto bare = estimated_size(message);
    tokens_ -= static_cast<double>(bare);
    const auto room =
        std::min(tokens_, static_cast<double>(timing_.largest_datagram) - static_cast<double>(bare));
    if (room > 0) {
        for (auto& update : view_.take_news(static_cast<std::size_t>(room))) {
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
        take_ack(message, actions);
        break;
    case datagram_kind::relay_request:
        answer_relay(message, now, actions);
        break;
    case datagram_kind::news:
        break;
    }
    consider_comparison(message, now, actions);
    return actions;
}

void failure_detector::take_ack(const datagram& message, detector_actions& actions)
{
    const auto open = probes_.find(message.sequence);
    if (open != probes_.end()) {
        probes_.erase(open);
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

void failure_detector::answer_relay(const datagram& request, time_point now, detector_actions& actions)
{
    const auto sequence = ++sequence_;
    relayed_[sequence] = {request.from, request.from_address, request.sequence, now};
    send(request.relay_address, make(datagram_kind::ping, request.relay_vm, sequence), actions);
}

// Gossip is random: now and then a claim misses somebody, and after a partition far more than fits the queue
// differs. Equal digests end the matter for 8 bytes; unequal ones lead to a comparison, at most one in ten
// seconds so that its bytes stay bounded, and not while claims are still on their way.
void failure_detector::consider_comparison(const datagram& message, time_point now, detector_actions& actions)
{
    const bool stranger = view_.find(message.from) == nullptr;
    if (message.members_digest == view_.digest() || message.from_peer_address.empty()) {
        return;
    }
    if ((view_.has_news() && !stranger) || now < next_compare_) {
        return;
    }
    const auto jitter = milliseconds{random_() % static_cast<std::uint64_t>(timing_.compare_every.count())};
    next_compare_ = now + timing_.compare_every / 2 + jitter;
    actions.emplace_back(compare_views{message.from_peer_address});
}

detector_actions failure_detector::leave(time_point now)
{
    detector_actions actions;
    view_.leave(now);
    for (const auto& vm : random_peers(2 * timing_.relays, {})) {
        auto message = make(datagram_kind::news, vm, 0);
        send(view_.find(vm)->datagram_address, std::move(message), actions);
    }
    return actions;
}

} // namespace vanillagauge::fleet
