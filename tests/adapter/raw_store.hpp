/// A store that answers with texts of the test's choice, and its client.
#ifndef VANILLAGAUGE_TESTS_ADAPTER_RAW_STORE_HPP
#define VANILLAGAUGE_TESTS_ADAPTER_RAW_STORE_HPP

#include "net/http_service.hpp"
#include "platform/platform_store.hpp"
#include "wire/event_loop.hpp"

#include <future>
#include <string>

namespace vanillagauge::platform {

class raw_store {
public:
    raw_store()
        : service_(
              loop_.context(), [] { return net::service_limits{}; }, handler())
    {
    }
    ~raw_store() { loop_.stop(); }
    raw_store(const raw_store&) = delete;
    raw_store& operator=(const raw_store&) = delete;

    /// The answer to the next calls.
    std::string body;
    int status = 200;

    result<gateway::stored_object> read()
    {
        return run<gateway::stored_object>([this] { return client_.read("servers", "r1"); });
    }
    result<gateway::object_listing> list(const std::string& after = {})
    {
        return run<gateway::object_listing>([this, after] { return client_.list("servers", after); });
    }
    result<gateway::object_changes> watch(std::uint64_t since)
    {
        return run<gateway::object_changes>(
            [this, since] { return client_.watch("servers", since, milliseconds{100}); });
    }
    result<gateway::stored_object> create()
    {
        return run<gateway::stored_object>([this] { return client_.create("servers", "r1", {{"n", 1}}); });
    }

private:
    wire::event_loop loop_;
    net::http_service service_;
    platform_store client_{loop_.context(), value(service_.open("127.0.0.1:0"))};

    net::http_handler handler()
    {
        return [this](const net::http_request&, net::responder& answer) { return serve(answer); };
    }

    net::task<void> serve(net::responder& answer)
    {
        net::http_response response;
        response.status = status;
        response.body = body;
        co_await answer.send(std::move(response));
    }

    template <class Value>
    result<Value> run(std::function<net::task_of<Value>()> call)
    {
        std::promise<result<Value>> promise;
        loop_.post([&] { net::start(loop_.context(), complete(call, promise)); });
        return promise.get_future().get();
    }

    template <class Value>
    static net::task<void> complete(const std::function<net::task_of<Value>()>& call,
                                    std::promise<result<Value>>& promise)
    {
        auto outcome = co_await call();
        promise.set_value(std::move(outcome));
    }
};

} // namespace vanillagauge::platform

#endif
