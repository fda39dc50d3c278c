#include "standins/users/fake_duties.hpp"

#include <nlohmann/json.hpp>

namespace vanillagauge::standins {

using nlohmann::json;

fake_duties::fake_duties(net::loop& loop)
    : loop_(loop),
      service_(
          loop, [] { return net::service_limits{}; },
          [this](const net::http_request& request, net::responder& answer) { return serve(request, answer); })
{
}

void fake_duties::record_usage(const net::http_request& request)
{
    const auto body = json::parse(request.body);
    usage_call call;
    call.window = body.at("WindowNumber").get<std::uint64_t>();
    call.runs = body.at("Counts").get<std::map<std::string, std::uint64_t>>();
    call.holder = std::string(request.fields.find("Duty-Holder"));
    call.fencing_token = std::stoull(std::string(request.fields.find("Fencing-Token")));
    usage.push_back(std::move(call));
}

net::task<void> fake_duties::serve(const net::http_request& request, net::responder& answer)
{
    net::http_response response;
    if (faults.silent) {
        co_await net::sleep_for(loop_, seconds(30));
        co_return;
    }
    if (faults.refuse > 0) {
        --faults.refuse;
        response.status = 429;
        co_await answer.send(std::move(response));
        co_return;
    }
    try {
        record_usage(request);
    }
    catch (const std::exception& why) {
        response.status = 400;
        response.body = why.what();
    }
    if (faults.lose_answers > 0) {
        --faults.lose_answers;
        answer.abort();
        co_return;
    }
    co_await answer.send(std::move(response));
}

} // namespace vanillagauge::standins
