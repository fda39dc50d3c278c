/// A stand-in for the platform's calls that one gateway at a time may make, with injected faults.
#ifndef VANILLAGAUGE_STANDINS_USERS_FAKE_DUTIES_HPP
#define VANILLAGAUGE_STANDINS_USERS_FAKE_DUTIES_HPP

#include "net/http_service.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace vanillagauge::standins {

struct usage_call {
    std::uint64_t window = 0;
    std::map<std::string, std::uint64_t> runs;
    std::string holder;
    std::uint64_t fencing_token = 0;
};

/// In force until changed.
struct duty_faults {
    int lose_answers = 0; ///< calls executed whose connection is closed without a response
    int refuse = 0;       ///< calls answered 429 without being executed
    bool silent = false;  ///< calls get no response and are not executed
};

class fake_duties {
public:
    explicit fake_duties(net::loop& loop);

    result<std::string> open() { return service_.open("127.0.0.1:0"); }

    duty_faults faults;
    std::vector<usage_call> usage; ///< all calls executed, in order

private:
    net::loop& loop_;
    net::http_service service_;

    net::task<void> serve(const net::http_request& request, net::responder& answer);
    /// Throws json::exception if a field is missing.
    void record_usage(const net::http_request& request);
};

} // namespace vanillagauge::standins

#endif
