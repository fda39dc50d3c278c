#include "crowd_replica.hpp"

#include "crowd_kinds.hpp"

namespace vanillagauge::client_crowds {
namespace {

constexpr seconds late_time{20};
constexpr std::size_t large_mb = 1;
constexpr std::size_t event_bytes = 32U << 10U;
constexpr int events = 128;

} // namespace

crowd_replica::crowd_replica(net::loop& loop)
    : loop_(loop),
      service_(
          loop, [] { return net::service_limits{.header_bytes = 128U << 10U}; },
          [this](const net::http_request& request, net::responder& answer) { return serve(request, answer); })
{
    address_ = value(service_.open("127.0.0.1:0"));
}

nlohmann::json crowd_replica::entry() const
{
    return {
        {"Service", "first"}, {"Address", address_}, {"Zone", "z1"},  {"Version", "v1"},
        {"Slots", 16},        {"State", "ready"},    {"Sequence", 1}, {"Models", nlohmann::json::array()}};
}

net::task<void> crowd_replica::serve(const net::http_request& request, net::responder& answer)
{
    net::http_response response;
    response.fields.add("Attempt-Id", request.fields.find("Attempt-Id"));
    response.fields.add("Server-Stamp", "stamp");
    response.fields.add("Replica-Load", "1,0,16");
    if (request.target.ends_with("/wait")) {
        co_await net::sleep_for(loop_, late_time);
    }
    if (request.target.starts_with("/stream/")) {
        co_await stream(std::move(response), answer);
        co_return;
    }
    if (request.target.ends_with("/large")) {
        response.body.assign(large_mb * megabyte, 'a');
    }
    co_await answer.send(std::move(response));
}

net::task<void> crowd_replica::stream(net::http_response head, net::responder& answer)
{
    head.fields.add("Content-Type", "text/event-stream");
    bool open = co_await answer.begin(200, head.fields);
    for (int number = 1; open && number <= events; ++number) {
        open = co_await answer.write("id: " + std::to_string(number) +
                                     "\ndata: " + std::string(event_bytes, 'a') + "\n\n");
    }
    if (open) {
        co_await answer.finish();
    }
}

} // namespace vanillagauge::client_crowds
