#include "base/listening.hpp"

#include <thread>

namespace vanillagauge {

using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr milliseconds pause_between_attempts{100};

error_code listen_once(tcp::acceptor& acceptor, const tcp::endpoint& local)
{
    error_code failed;
    acceptor.open(local.protocol(), failed);
    if (!failed) {
        acceptor.set_option(tcp::acceptor::reuse_address(true), failed);
    }
    if (!failed) {
        acceptor.bind(local, failed);
    }
    if (!failed) {
        acceptor.listen(boost::asio::socket_base::max_listen_connections, failed);
    }
    if (failed) {
        error_code ignored;
        acceptor.close(ignored);
    }
    return failed;
}

} // namespace

error_code listen(tcp::acceptor& acceptor, const tcp::endpoint& local, duration patience)
{
    const auto until = steady::now() + patience;
    auto failed = listen_once(acceptor, local);
    while (failed == boost::asio::error::address_in_use && steady::now() + pause_between_attempts <= until) {
        std::this_thread::sleep_for(pause_between_attempts);
        failed = listen_once(acceptor, local);
    }
    return failed;
}

} // namespace vanillagauge
