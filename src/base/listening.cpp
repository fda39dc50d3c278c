#include "base/listening.hpp"

#include <csignal>
#include <thread>

namespace vanillagauge {

using boost::asio::ip::tcp;

namespace {

constexpr milliseconds pause_between_attempts{100};

boost::system::error_code listen_once(tcp::acceptor& acceptor, const tcp::endpoint& local)
{
    boost::system::error_code failed;
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
        boost::system::error_code ignored;
        acceptor.close(ignored);
    }
    return failed;
}

bool is_stop_pending()
{
    sigset_t pending;
    sigemptyset(&pending);
    sigpending(&pending);
    return sigismember(&pending, SIGTERM) == 1 || sigismember(&pending, SIGINT) == 1;
}

} // namespace

boost::system::error_code listen(tcp::acceptor& acceptor, const tcp::endpoint& local, duration patience)
{
    const auto until = steady::now() + patience;
    auto failed = listen_once(acceptor, local);
    while (failed == boost::asio::error::address_in_use && steady::now() + pause_between_attempts <= until) {
        if (is_stop_pending()) {
            return boost::asio::error::operation_aborted;
        }
        std::this_thread::sleep_for(pause_between_attempts);
        failed = listen_once(acceptor, local);
    }
    return failed;
}

error listening_error(const std::string& address, boost::system::error_code why)
{
    const bool stopped = why == boost::asio::error::operation_aborted;
    return {stopped ? error_code::cancelled : error_code::unavailable, run_state::not_run,
            "cannot listen on " + address + ": " + (stopped ? "told to stop" : why.message())};
}

} // namespace vanillagauge
