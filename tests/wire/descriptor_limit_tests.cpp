#include "wire/wire.hpp"

#include "target.pb.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <gtest/gtest.h>

#include <sys/resource.h>

#include <future>
#include <thread>

namespace vanillagauge::wire {
namespace {

using boost::asio::ip::tcp;

/// Takes all file descriptors of the process while it lives.
class no_descriptors {
public:
    no_descriptors()
    {
        getrlimit(RLIMIT_NOFILE, &before_);
        set_limit(0);
    }
    ~no_descriptors() { set_limit(before_.rlim_cur); }
    no_descriptors(const no_descriptors&) = delete;
    no_descriptors& operator=(const no_descriptors&) = delete;

private:
    rlimit before_{};

    void set_limit(rlim_t descriptors) const
    {
        const rlimit limit{descriptors, before_.rlim_max};
        setrlimit(RLIMIT_NOFILE, &limit);
    }
};

// A peer that was out of descriptors once accepted no connection for the rest of its life.
TEST(peer_server, accepts_again_once_descriptors_are_free)
{
    const dispatcher calls({});
    event_loop loop;
    peer_server server(loop, calls);
    const auto address = server.open("127.0.0.1:0");
    ASSERT_TRUE(ok(address));
    std::promise<void> descriptors_gone;
    loop.post([&descriptors_gone] { descriptors_gone.get_future().wait(); });
    boost::asio::io_context context;
    tcp::socket waiting(context);
    const auto port =
        static_cast<unsigned short>(std::stoi(value(address).substr(value(address).rfind(':') + 1)));
    waiting.connect({boost::asio::ip::make_address("127.0.0.1"), port});
    {
        const no_descriptors none;
        descriptors_gone.set_value();
        std::this_thread::sleep_for(milliseconds{200});
    }
    event_loop client_loop;
    peer_channel link(client_loop, value(address));
    const auto answered = call_and_wait<target::v1::CallReply>(link, method<target::v1::PlainService>("Call"),
                                                               target::v1::CallRequest{}, {});
    ASSERT_FALSE(ok(answered));
    EXPECT_EQ(failure(answered).code, error_code::unimplemented) << describe(failure(answered));
}

} // namespace
} // namespace vanillagauge::wire
