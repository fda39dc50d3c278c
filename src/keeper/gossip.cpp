#include "keeper/gossip.hpp"

#include "node/convert.hpp"
#include "wire/call.hpp"

#include <set>

namespace vanillagauge::keeper {
namespace {

constexpr milliseconds round_every{300};
constexpr milliseconds exchange_timeout{1000};

template <class Message>
void fill_nodes(const keeper_state& state, Message& message)
{
    for (const auto& known : state.known_nodes()) {
        *message.add_nodes() = node::to_message(known);
    }
    message.set_config_digest(state.config_digest());
}

template <class Message>
void fill_config(const keeper_state& state, Message& message)
{
    for (const auto& item : state.config_since(0)) {
        *message.add_entries() = node::to_message(item);
    }
}

} // namespace

gossip::gossip(keeper_state& state, wire::event_loop& loop, const config::settings& settings)
    : state_(state), loop_(loop), peers_(node::peer_channels(loop)), seeds_(settings.keeper.seeds),
      token_(settings.tokens.peer)
{
}

v1::ExchangeReply gossip::answer(const v1::ExchangeRequest& request)
{
    take(request.nodes(), request.entries());
    v1::ExchangeReply reply;
    fill_nodes(state_, reply);
    if (request.config_digest() != state_.config_digest()) {
        fill_config(state_, reply);
    }
    return reply;
}

void gossip::take(const google::protobuf::RepeatedPtrField<v1::NodeInfo>& nodes,
                  const google::protobuf::RepeatedPtrField<v1::ConfigEntry>& entries)
{
    std::vector<fleet::node> said;
    for (const auto& message : nodes) {
        said.push_back(node::from_message(message));
    }
    state_.merge_nodes(said, steady::now());
    std::vector<config::object> objects;
    for (const auto& message : entries) {
        objects.push_back(node::from_message(message));
    }
    state_.merge_config(objects);
}

void gossip::round()
{
    state_.beat(steady::now());
    std::set<std::string> addresses(seeds_.begin(), seeds_.end());
    const auto self = state_.self();
    for (const auto& known : state_.known_nodes()) {
        addresses.insert(known.peer_address);
    }
    addresses.erase(self.peer_address);
    for (const auto& address : addresses) {
        exchange(address, false);
    }
    loop_.after(round_every, [this] { round(); });
}

void gossip::exchange(const std::string& address, bool whole_config)
{
    v1::ExchangeRequest request;
    fill_nodes(state_, request);
    if (whole_config) {
        fill_config(state_, request);
    }
    wire::call_options options;
    options.timeout = exchange_timeout;
    options.token = token_;
    wire::call<v1::ExchangeReply>(
        *peers_.at(address), wire::method<v1::KeeperPeer>("Exchange"), request, options,
        [this, address, whole_config](const result<v1::ExchangeReply>& reply) {
            if (!ok(reply)) {
                return;
            }
            take(value(reply).nodes(), value(reply).entries());
            const bool differs = value(reply).config_digest() != state_.config_digest();
            if (differs && !whole_config) {
                exchange(address, true);
            }
        });
}

} // namespace vanillagauge::keeper
