#include "fault_proxy.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>

namespace vanillagauge::soak {

namespace asio = boost::asio;
using asio::redirect_error;
using asio::use_awaitable;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr milliseconds hold_step{10};
constexpr std::size_t piece_bytes = 16U << 10U;

tcp::endpoint to_endpoint(const std::string& address)
{
    const auto colon = address.rfind(':');
    const auto port = static_cast<unsigned short>(std::stoi(address.substr(colon + 1)));
    return {asio::ip::make_address(address.substr(0, colon)), port};
}

void reset(tcp::socket& socket)
{
    error_code ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

} // namespace

struct fault_proxy::link {
    explicit link(net::loop& loop) : near(loop), far(loop) {}
    tcp::socket near; ///< to the caller
    tcp::socket far;  ///< to the target
};

fault_proxy::fault_proxy(net::loop& loop, std::string target)
    : loop_(loop), target_(std::move(target)), acceptor_(loop)
{
}

std::string fault_proxy::open()
{
    const tcp::endpoint any(asio::ip::make_address("127.0.0.1"), 0);
    acceptor_.open(any.protocol());
    acceptor_.bind(any);
    acceptor_.listen();
    net::start(loop_, accept());
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
}

void fault_proxy::set(link_fault fault, milliseconds delay)
{
    if (fault_harms()) {
        harmed_until_ = steady::now();
    }
    fault_ = fault;
    delay_ = delay;
    if (fault == link_fault::reset) {
        for (const auto& known : links_) {
            if (const auto open = known.lock()) {
                reset(open->near);
                reset(open->far);
            }
        }
    }
    links_.remove_if([](const std::weak_ptr<link>& known) { return known.expired(); });
}

bool fault_proxy::held(bool there) const
{
    return fault_ == link_fault::silent || fault_ == (there ? link_fault::cut_there : link_fault::cut_back);
}

net::task<void> fault_proxy::accept()
{
    while (true) {
        auto joined = std::make_shared<link>(loop_);
        error_code failed;
        co_await acceptor_.async_accept(joined->near, redirect_error(use_awaitable, failed));
        if (failed == asio::error::operation_aborted) {
            co_return;
        }
        if (failed) {
            co_await net::sleep_for(loop_, hold_step);
            continue;
        }
        if (fault_ == link_fault::reset) {
            reset(joined->near);
            continue;
        }
        links_.push_back(joined);
        net::start(loop_, join(joined));
    }
}

net::task<void> fault_proxy::join(std::shared_ptr<link> joined)
{
    error_code failed;
    co_await joined->far.async_connect(to_endpoint(target_), redirect_error(use_awaitable, failed));
    if (failed) {
        reset(joined->near);
        co_return;
    }
    joined->near.set_option(tcp::no_delay(true), failed);
    joined->far.set_option(tcp::no_delay(true), failed);
    net::start(loop_, pump(joined, false));
    co_await pump(joined, true);
}

// One direction; each byte keeps its place, as in a link that loses packets and sends them again.
net::task<void> fault_proxy::pump(std::shared_ptr<link> joined, bool there)
{
    auto& from = there ? joined->near : joined->far;
    auto& to = there ? joined->far : joined->near;
    std::array<char, piece_bytes> bytes{};
    error_code failed;
    while (!failed) {
        const auto count =
            co_await from.async_read_some(asio::buffer(bytes), redirect_error(use_awaitable, failed));
        if (count == 0) {
            break;
        }
        if (fault_ == link_fault::delay) {
            co_await net::sleep_for(loop_, delay_);
        }
        while (held(there)) {
            co_await net::sleep_for(loop_, hold_step);
        }
        error_code unsent;
        co_await asio::async_write(to, asio::buffer(bytes.data(), count),
                                   redirect_error(use_awaitable, unsent));
        if (unsent) {
            failed = unsent;
        }
    }
    while (held(there)) {
        co_await net::sleep_for(loop_, hold_step);
    }
    // The end of one side is passed on as what it was.
    error_code ignored;
    if (failed && failed != asio::error::eof) {
        reset(to);
        reset(from);
    }
    else {
        to.shutdown(tcp::socket::shutdown_send, ignored);
    }
}

} // namespace vanillagauge::soak
