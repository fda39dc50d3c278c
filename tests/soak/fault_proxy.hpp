/// A TCP proxy on loopback that spoils the link behind it on demand.
#ifndef VANILLAGAUGE_TESTS_SOAK_FAULT_PROXY_HPP
#define VANILLAGAUGE_TESTS_SOAK_FAULT_PROXY_HPP

#include "net/task.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <list>
#include <memory>
#include <string>

namespace vanillagauge::soak {

enum class link_fault {
    none,
    delay,     ///< every piece waits
    reset,     ///< open connections are reset, new ones at once
    cut_there, ///< bytes to the target are held back until the fault ends
    cut_back,  ///< bytes from the target are held back until the fault ends
    silent,    ///< both
};

class fault_proxy {
public:
    fault_proxy(net::loop& loop, std::string target);

    /// Listens on a free port; returns its address.
    std::string open();
    void set(link_fault fault, milliseconds delay = milliseconds{0});
    /// Whether a fault since then may have broken off or held back what went over it.
    bool harmed_since(time_point from) const { return fault_harms() || harmed_until_ > from; }

private:
    struct link;
    net::loop& loop_;
    std::string target_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::list<std::weak_ptr<link>> links_;
    link_fault fault_ = link_fault::none;
    milliseconds delay_{0};
    time_point harmed_until_{};

    bool fault_harms() const { return fault_ != link_fault::none && fault_ != link_fault::delay; }
    net::task<void> accept();
    net::task<void> join(std::shared_ptr<link> joined);
    net::task<void> pump(std::shared_ptr<link> joined, bool there);
    bool held(bool there) const;
};

} // namespace vanillagauge::soak

#endif
