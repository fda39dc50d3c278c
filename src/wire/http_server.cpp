#include "wire/http_server.hpp"

#include "base/address.hpp"
#include "base/listening.hpp"
#include "wire/internal/http_connection.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/strand.hpp>
#include <pplx/threadpool.h>

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <set>
#include <thread>

namespace vanillagauge::wire {
namespace {

using boost::asio::ip::tcp;

constexpr milliseconds full_retry_after{1000};
constexpr milliseconds accept_retry_delay{50};

std::atomic<std::size_t>& server_threads()
{
    static std::atomic<std::size_t> threads{4};
    return threads;
}

} // namespace

void set_http_threads(std::size_t threads)
{
    server_threads() = threads;
    crossplat::threadpool::initialize_with_threads(threads);
}

struct http_server::state {
    using connection = std::shared_ptr<internal::http_connection>;

    internal::live_connections live;
    internal::server_context shared;
    boost::asio::io_context context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> guard{context.get_executor()};
    boost::asio::strand<boost::asio::io_context::executor_type> accept_strand{context.get_executor()};
    tcp::acceptor acceptor{accept_strand};
    boost::asio::steady_timer accept_retry_timer{accept_strand};
    std::vector<std::thread> threads;
    std::mutex mutex;
    std::condition_variable connection_ended;
    std::set<connection> connections;
    bool draining = false;
    bool listening = true;

    state(const dispatcher& calls, http_limits limits,
          std::map<std::string, std::function<std::string()>> pages)
        : shared{calls, limits, std::move(pages), live}
    {
    }

    void run()
    {
        for (std::size_t index = 0; index < server_threads(); ++index) {
            threads.emplace_back([this] { context.run(); });
        }
    }

    void accept()
    {
        acceptor.async_accept(boost::asio::make_strand(context),
                              [this](const boost::system::error_code& failed, tcp::socket peer) {
                                  on_accept(failed, std::move(peer));
                              });
    }

    void on_accept(const boost::system::error_code& failed, tcp::socket peer)
    {
        if (!failed) {
            start_connection(std::move(peer));
        }
        if (!acceptor.is_open()) {
            on_acceptor_closed();
            return;
        }
        if (!failed) {
            accept();
            return;
        }
        // Usually out of file descriptors; the delay keeps accept from failing in a tight loop.
        accept_retry_timer.expires_after(accept_retry_delay);
        accept_retry_timer.async_wait([this](const boost::system::error_code& cancelled) {
            if (cancelled) {
                on_acceptor_closed();
                return;
            }
            accept();
        });
    }

    void start_connection(tcp::socket peer)
    {
        boost::system::error_code ignored;
        peer.set_option(tcp::no_delay(true), ignored);
        auto accepted = std::make_shared<internal::http_connection>(std::move(peer), shared);
        bool full = false;
        bool stops = false;
        {
            const std::lock_guard lock(mutex);
            full = connections.size() >= shared.limits.connections;
            stops = draining;
            connections.insert(accepted);
        }
        const std::weak_ptr<internal::http_connection> weak = accepted;
        const auto on_end = [this, weak] { remove_connection(weak.lock()); };
        if (full) {
            accepted->reject_connection({error_code::overloaded, run_state::not_run,
                                         "the server has reached its connection limit", full_retry_after},
                                        on_end);
        }
        else {
            accepted->start(on_end);
        }
        if (stops) {
            accepted->drain();
        }
    }

    void remove_connection(const connection& over)
    {
        const std::lock_guard lock(mutex);
        connections.erase(over);
        connection_ended.notify_all();
    }

    /// Closing the acceptor resets the connections in its backlog, which may carry requests, so they are
    /// accepted and served first.
    void close_acceptor()
    {
        boost::system::error_code failed;
        acceptor.non_blocking(true, failed);
        while (!failed) {
            tcp::socket peer(boost::asio::make_strand(context));
            acceptor.accept(peer, failed);
            if (!failed) {
                start_connection(std::move(peer));
            }
        }
        acceptor.close(failed);
        accept_retry_timer.cancel();
    }

    /// No further connection will be accepted.
    void on_acceptor_closed()
    {
        const std::lock_guard lock(mutex);
        listening = false;
        connection_ended.notify_all();
    }

    void drain()
    {
        drain_connections();
        // A handler whose client has left may still run; its last access to the connection is to the socket.
        live.wait_until_none();
    }

    void drain_connections()
    {
        std::unique_lock lock(mutex);
        draining = true;
        boost::asio::post(accept_strand, [this] { close_acceptor(); });
        for (const auto& open : connections) {
            open->drain();
        }
        connection_ended.wait(lock, [this] { return !listening && connections.empty(); });
    }

    void stop()
    {
        guard.reset();
        context.stop();
        for (auto& thread : threads) {
            thread.join();
        }
        threads.clear();
    }
};

http_server::http_server(const dispatcher& calls, http_limits limits,
                         std::map<std::string, std::function<std::string()>> pages)
    : state_(std::make_unique<state>(calls, limits, std::move(pages)))
{
}

http_server::~http_server()
{
    close();
}

result<std::string> http_server::open(const std::string& address)
{
    const auto parsed = parse_endpoint(address);
    if (!ok(parsed)) {
        return failure(parsed);
    }
    const auto& [host, port] = value(parsed);
    const tcp::endpoint local(boost::asio::ip::make_address(host), port);
    auto& acceptor = state_->acceptor;
    const auto failed = listen(acceptor, local, duration{0});
    if (failed) {
        return listening_error(address, failed);
    }
    const auto bound = host + ":" + std::to_string(acceptor.local_endpoint().port());
    state_->accept();
    state_->run();
    return bound;
}

void http_server::close()
{
    if (state_->threads.empty()) {
        return;
    }
    state_->drain();
    state_->stop();
}

} // namespace vanillagauge::wire
