/// A stand-in for the users' metadata store: objects with revisions, watches, and the faults that tests ask
/// for. A call that is none of the store's is told so on stderr and refused: its port may have belonged to
/// another program, whose clients still call.
#ifndef VANILLAGAUGE_STANDINS_USERS_FAKE_STORE_HPP
#define VANILLAGAUGE_STANDINS_USERS_FAKE_STORE_HPP

#include "net/async_condition.hpp"
#include "net/http_service.hpp"

#include <nlohmann/json.hpp>

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace vanillagauge::standins {

/// What the store does with calls, until it is told otherwise.
struct store_faults {
    bool refuse = false;  ///< answers 503 and does nothing
    int lose_answers = 0; ///< so many writes are done and their connection closed without an answer
    int delay_writes = 0; ///< so many writes get no answer and are done later, where their condition holds
    milliseconds write_delay{0}; ///< that much later
    bool second_silent = false;  ///< calls at the second address, waiting ones too, get no answer
};

class fake_store {
public:
    explicit fake_store(net::loop& loop);

    result<std::string> open() { return service_.open("127.0.0.1:0"); }
    /// Another address of the same store, for callers that a fault concerns alone.
    result<std::string> open_second() { return second_service_.open("127.0.0.1:0"); }
    /// Writes as the operator or a replica does.
    void put(const std::string& kind, const std::string& name, nlohmann::json specification);
    void remove(const std::string& kind, const std::string& name);
    /// Watches from before now are told that their history is gone.
    void compact_history();

    store_faults faults;

    /// Null where there is none.
    nlohmann::json find(const std::string& kind, const std::string& name) const;
    std::size_t count(const std::string& kind) const;
    /// Calls that would change something, refused ones too.
    std::uint64_t write_calls() const { return write_calls_; }
    std::uint64_t list_calls(const std::string& kind) const;

private:
    using key = std::pair<std::string, std::string>;
    struct event {
        std::uint64_t revision = 0;
        std::string kind;
        nlohmann::json object;
        bool removed = false;
    };
    net::loop& loop_;
    net::async_condition changed_;
    std::map<key, nlohmann::json> objects_;
    std::vector<event> history_;
    std::uint64_t revision_ = 100;
    std::uint64_t compacted_revision_ = 0;
    std::uint64_t write_calls_ = 0;
    std::map<std::string, std::uint64_t> list_calls_; ///< by kind
    net::http_service service_;
    net::http_service second_service_;

    enum class endpoint { first, second };
    net::task<void> serve(endpoint used, const net::http_request& request, net::responder& answer);
    net::task<void> watch(endpoint used, std::string kind, std::uint64_t since, milliseconds wait,
                          net::responder& answer);
    net::task<void> wait_while_silent(endpoint used, net::responder& answer);
    net::task<void> write_later(net::http_request request);
    net::http_response list(const std::string& kind, const std::string& after) const;
    net::http_response write(const net::http_request& request);
    /// The object of a POST or PUT, with its name; throws json::exception where the body holds none.
    net::http_response write_object(const net::http_request& request);
    nlohmann::json store(const key& at, nlohmann::json object);
};

} // namespace vanillagauge::standins

#endif
