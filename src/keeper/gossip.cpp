#include "keeper/gossip.hpp"

#include "node/convert.hpp"
#include "wire/call.hpp"

#include <algorithm>

namespace vanillagauge::keeper {
namespace {

constexpr milliseconds tick_interval{50};
constexpr milliseconds exchange_timeout{2000};
constexpr milliseconds seed_interval{500};
/// Concurrent changes accepted on two VMs may arrive out of order: a VM may hold the higher version and lack
/// the lower. A pull from this many versions before the newest finds both.
constexpr std::uint64_t pull_overlap = 1024;
/// Longer replies are split into several calls, which bounds the frame size and the memory used.
constexpr std::size_t max_pull_bytes = 256U << 10U;

std::vector<fleet::member_update>
updates_from(const google::protobuf::RepeatedPtrField<v1::MemberClaim>& messages)
{
    std::vector<fleet::member_update> updates;
    for (const auto& message : messages) {
        updates.push_back(node::from_message(message));
    }
    return updates;
}

} // namespace

gossip::gossip(keeper_state& state, wire::event_loop& loop, const config::settings& settings)
    : state_(state), loop_(loop), peers_(loop),
      datagrams_(loop, settings.tokens.peer, [this](const fleet::datagram& message) { receive(message); }),
      seeds_(settings.keeper.seeds), token_(settings.tokens.peer)
{
}

wire::call_options gossip::options() const
{
    wire::call_options chosen;
    chosen.timeout = exchange_timeout;
    chosen.token = token_;
    return chosen;
}

void gossip::stop()
{
    stopped_ = true;
    peers_.close_all();
}

void gossip::tick()
{
    if (stopped_) {
        return;
    }
    const auto now = steady::now();
    perform(state_.tick(now));
    contact_seed(now);
    peers_.close_idle(now);
    loop_.after(tick_interval, [this] { tick(); });
}

void gossip::receive(const fleet::datagram& message)
{
    const auto now = steady::now();
    perform(state_.receive(message, now));
    consider_pull(message, now);
}

void gossip::perform(const fleet::detector_actions& actions)
{
    for (const auto& action : actions) {
        if (const auto* send = std::get_if<fleet::send_datagram>(&action)) {
            datagrams_.send(send->address, send->message);
        }
        else {
            start_exchange(std::get<fleet::compare_views>(action).peer_address);
        }
    }
}

void gossip::set_store_peers(std::vector<std::string> addresses)
{
    loop_.post([this, addresses = std::move(addresses)]() mutable { store_peers_ = std::move(addresses); });
}

// Seeds are contacted only while no live peer is known; afterwards members are discovered by gossip. All
// seeds of the settings may have been replaced since they were written, so the peers listed in the store's
// leases are contacted too.
void gossip::contact_seed(time_point now)
{
    if ((seeds_.empty() && store_peers_.empty()) || now < next_seed_at_) {
        return;
    }
    next_seed_at_ = now + seed_interval;
    const auto address = has_live_peer() ? next_unknown_peer() : next_seed();
    if (!address.empty() && address != state_.self().peer_address) {
        start_exchange(address);
        pull(address, false);
    }
}

bool gossip::has_live_peer() const
{
    const auto self = state_.self();
    const auto members = state_.members();
    return std::any_of(members.begin(), members.end(), [&self](const fleet::member& known) {
        return known.info.vm != self.vm && known.state == fleet::member_state::alive;
    });
}

std::string gossip::next_seed()
{
    auto candidates = seeds_;
    candidates.insert(candidates.end(), store_peers_.begin(), store_peers_.end());
    return candidates[seed_index_++ % candidates.size()];
}

// VMs that discover each other in pairs at a simultaneous start would stay separate fleets, as each knows a
// live peer. So each peer that the store lists and that is no live member is contacted once.
std::string gossip::next_unknown_peer()
{
    const auto members = state_.members();
    while (!store_peers_.empty()) {
        auto address = std::move(store_peers_.back());
        store_peers_.pop_back();
        const bool known = std::any_of(members.begin(), members.end(), [&address](const fleet::member& one) {
            return one.state == fleet::member_state::alive && one.info.peer_address == address;
        });
        if (!known) {
            return address;
        }
    }
    return {};
}

void gossip::count_call(const google::protobuf::Message& request)
{
    ++calls_;
    call_bytes_ += request.ByteSizeLong();
}

void gossip::start_exchange(const std::string& address)
{
    if (stopped_) {
        return;
    }
    v1::ExchangeRequest request;
    for (const auto& line : state_.summary()) {
        *request.add_members() = node::to_message(line);
    }
    count_call(request);
    const auto channel = peers_.at(address, steady::now());
    wire::call<v1::ExchangeReply>(*channel, wire::method<v1::KeeperPeer>("Exchange"), request, options(),
                                  [this, channel, address](const result<v1::ExchangeReply>& reply) {
                                      if (ok(reply)) {
                                          call_bytes_ += value(reply).ByteSizeLong();
                                          finish_exchange(address, value(reply));
                                      }
                                  });
}

void gossip::finish_exchange(const std::string& address, const v1::ExchangeReply& reply)
{
    if (stopped_) {
        return;
    }
    state_.merge_updates(updates_from(reply.claims()), steady::now());
    const std::vector<std::uint64_t> wanted(reply.wanted().begin(), reply.wanted().end());
    if (wanted.empty()) {
        return;
    }
    v1::ExchangeRequest request;
    for (const auto& update : state_.updates_for(wanted)) {
        *request.add_claims() = node::to_message(update);
    }
    count_call(request);
    const auto channel = peers_.at(address, steady::now());
    wire::call<v1::ExchangeReply>(*channel, wire::method<v1::KeeperPeer>("Exchange"), request, options(),
                                  [channel](const result<v1::ExchangeReply>&) {});
}

v1::ExchangeReply gossip::answer(const v1::ExchangeRequest& request)
{
    v1::ExchangeReply reply;
    state_.merge_updates(updates_from(request.claims()), steady::now());
    if (request.members().empty()) {
        return reply;
    }
    std::vector<fleet::member_summary> theirs;
    for (const auto& line : request.members()) {
        theirs.push_back(node::from_message(line));
    }
    const auto difference = state_.compare(theirs);
    for (const auto& update : difference.newer_here) {
        *reply.add_claims() = node::to_message(update);
    }
    reply.mutable_wanted()->Add(difference.wanted.begin(), difference.wanted.end());
    return reply;
}

void gossip::consider_pull(const fleet::datagram& message, time_point now)
{
    const config::replica_mark theirs{message.config.digest, message.config.newest_version};
    const auto kind = pulls_.on_mark(state_.config_mark(), theirs, now);
    if (!kind) {
        return;
    }
    if (*kind != config::pull_kind::from_store) {
        pull(message.from_peer_address, *kind == config::pull_kind::complete);
        return;
    }
    pulls_.on_ended();
    if (list_needed_) {
        list_needed_();
    }
}

void gossip::pull(const std::string& address, bool complete)
{
    if (stopped_) {
        return;
    }
    v1::ConfigPullRequest request;
    const auto mark = state_.config_mark();
    const auto base = complete ? 0 : mark.newest_version - std::min(mark.newest_version, pull_overlap);
    request.set_newest_version(base);
    request.set_digest(mark.digest);
    request.set_whole(complete);
    for (const auto& line : state_.config_versions()) {
        if (line.version > base) {
            auto& held = *request.add_held();
            held.set_kind(line.kind);
            held.set_name(line.name);
            held.set_version(line.version);
        }
    }
    count_call(request);
    const auto channel = peers_.at(address, steady::now());
    wire::call<v1::ConfigPullReply>(
        *channel, wire::method<v1::KeeperPeer>("ConfigPull"), request, options(),
        [this, channel, address, complete](const result<v1::ConfigPullReply>& reply) {
            std::vector<config::object> objects;
            if (ok(reply)) {
                call_bytes_ += value(reply).ByteSizeLong();
                for (const auto& entry : value(reply).entries()) {
                    objects.push_back(node::from_message(entry));
                }
            }
            const bool taken = state_.merge_config(objects);
            if (ok(reply) && value(reply).more() && taken) {
                pull(address, complete);
                return;
            }
            loop_.post([this] { pulls_.on_ended(); });
        });
}

v1::ConfigPullReply gossip::answer(const v1::ConfigPullRequest& request) const
{
    v1::ConfigPullReply reply;
    const auto mark = state_.config_mark();
    reply.set_digest(mark.digest);
    reply.set_newest_version(mark.newest_version);
    std::vector<config::object_version> held;
    for (const auto& line : request.held()) {
        held.push_back({line.kind(), line.name(), line.version()});
    }
    auto objects = state_.config_newer_than(held);
    std::erase_if(objects, [&request](const config::object& item) {
        return !request.whole() && item.version <= request.newest_version();
    });
    std::sort(objects.begin(), objects.end(), [](const config::object& left, const config::object& right) {
        return left.version < right.version;
    });
    std::size_t bytes = 0;
    for (const auto& item : objects) {
        bytes += item.spec_json.size();
        if (bytes > max_pull_bytes && reply.entries_size() > 0) {
            reply.set_more(true);
            break;
        }
        *reply.add_entries() = node::to_message(item);
    }
    return reply;
}

void gossip::leave()
{
    perform(state_.leave(steady::now()));
}

} // namespace vanillagauge::keeper
