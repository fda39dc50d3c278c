#include "keeper/datagram_link.hpp"

#include "base/address.hpp"
#include "node/convert.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>
#include <atomic>

namespace vanillagauge::keeper {
namespace {

using boost::asio::ip::udp;

constexpr std::size_t receive_buffer_size = 2048;
constexpr std::size_t mac_size = 16;

/// A truncated HMAC-SHA256: only holders of the peer token may declare a VM dead. A replayed datagram carries
/// old updates, which newer ones override.
std::string mac_of(const std::string& token, std::string_view body)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int size = 0;
    HMAC(EVP_sha256(), token.data(), static_cast<int>(token.size()),
         reinterpret_cast<const unsigned char*>(body.data()), body.size(), digest.data(), &size);
    return {reinterpret_cast<const char*>(digest.data()), mac_size};
}

} // namespace

struct datagram_link::state : std::enable_shared_from_this<state> {
    state(wire::event_loop& loop, std::string peer_token, receiver handler)
        : socket(loop.context()), token(std::move(peer_token)), on_datagram(std::move(handler))
    {
    }

    udp::socket socket;
    std::string token;
    receiver on_datagram;
    std::array<char, receive_buffer_size> buffer{};
    udp::endpoint from;
    std::atomic<std::uint64_t> sent{0};
    std::atomic<std::uint64_t> sent_bytes{0};
    std::atomic<std::uint64_t> received{0};
    std::atomic<std::uint64_t> received_bytes{0};
    std::atomic<std::uint64_t> refused{0};

    void listen()
    {
        socket.async_receive_from(
            boost::asio::buffer(buffer), from,
            [self = shared_from_this()](const boost::system::error_code& failed, std::size_t size) {
                if (!self->socket.is_open()) {
                    return;
                }
                // An error here reports an ICMP reply to an earlier datagram: that peer is unreachable.
                if (!failed) {
                    self->handle({self->buffer.data(), size});
                }
                self->listen();
            });
    }

    void handle(std::string_view bytes)
    {
        ++received;
        received_bytes += bytes.size();
        v1::Datagram message;
        if (bytes.size() < mac_size) {
            ++refused;
            return;
        }
        const auto body = bytes.substr(mac_size);
        const auto expected = mac_of(token, body);
        if (CRYPTO_memcmp(expected.data(), bytes.data(), mac_size) != 0 ||
            !message.ParseFromArray(body.data(), static_cast<int>(body.size()))) {
            ++refused;
            return;
        }
        on_datagram(node::from_message(message));
    }
};

datagram_link::datagram_link(wire::event_loop& loop, std::string token, receiver on_datagram)
    : state_(std::make_shared<state>(loop, std::move(token), std::move(on_datagram)))
{
}

datagram_link::~datagram_link()
{
    boost::system::error_code ignored;
    state_->socket.close(ignored);
}

result<std::string> datagram_link::open(const std::string& host)
{
    boost::system::error_code failed;
    const auto address = boost::asio::ip::make_address(host, failed);
    if (!failed) {
        state_->socket.open(address.is_v6() ? udp::v6() : udp::v4(), failed);
    }
    if (!failed) {
        state_->socket.bind(udp::endpoint(address, 0), failed);
    }
    if (failed) {
        return error{error_code::unavailable, run_state::not_run,
                     "cannot bind a UDP port at " + host + ": " + failed.message()};
    }
    state_->listen();
    const auto port = state_->socket.local_endpoint().port();
    return host + ":" + std::to_string(port);
}

void datagram_link::send(const std::string& address, const fleet::datagram& message)
{
    const auto parsed = parse_endpoint(address);
    if (!ok(parsed)) {
        return;
    }
    const udp::endpoint to(boost::asio::ip::make_address(value(parsed).host), value(parsed).port);
    const auto body = node::to_message(message).SerializeAsString();
    const auto bytes = mac_of(state_->token, body) + body;
    boost::system::error_code ignored; // datagrams may be lost anyway
    state_->socket.send_to(boost::asio::buffer(bytes), to, 0, ignored);
    ++state_->sent;
    state_->sent_bytes += bytes.size();
}

datagram_counts datagram_link::counts() const
{
    return {state_->sent, state_->sent_bytes, state_->received, state_->received_bytes, state_->refused};
}

} // namespace vanillagauge::keeper
