/// A stand-in for the users' metadata store: objects with revisions, watches and injected faults. Requests
/// for other paths are refused and logged to stderr: the port may have belonged to another program whose
/// clients still call it.
#ifndef VANILLAGAUGE_STANDINS_USERS_FAKE_STORE_HPP
#define VANILLAGAUGE_STANDINS_USERS_FAKE_STORE_HPP

#include "net/async_condition.hpp"
#include "net/http_service.hpp"

#include <nlohmann/json.hpp>

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace vanillagauge::standins {

/// What happens to one write.
enum class write_fault {
    refuse,      ///< answered 503 without being applied
    lose_answer, ///< applied, but the connection is closed without a response
};

/// How the store ends watches.
enum class watch_end {
    on_change,    ///< with a change, or after the wait
    at_once,      ///< at once, with the changes that there are
    refused,      ///< at once, with 503
    history_gone, ///< at once, with 410
};

/// Faults injected into the store's calls; in force until changed.
struct store_faults {
    bool refuse = false;  ///< answers 503 without executing the call
    int lose_answers = 0; ///< number of writes applied whose connection is closed without a response
    int delay_writes = 0; ///< number of writes left unanswered and applied later, if their precondition holds
    milliseconds write_delay{0}; ///< of those writes
    bool second_silent = false;  ///< requests at the second address, pending ones too, get no response
    bool lose_watches = false;   ///< watches that are due get no response, also later
    watch_end end_watches = watch_end::on_change;
    std::optional<std::uint64_t> stated_revision{}; ///< what lists and watches give as the store's revision
    std::string held_kind{};                        ///< reads and lists of this kind wait
    std::string scripted_kind{};                    ///< the kind whose next writes `script` is for
    std::deque<write_fault> script{};
};

class fake_store {
public:
    explicit fake_store(net::loop& loop);

    result<std::string> open() { return service_.open("127.0.0.1:0"); }
    /// Opens a second address of the same store, so that a fault can affect some clients only.
    result<std::string> open_second() { return second_service_.open("127.0.0.1:0"); }
    /// Writes unconditionally, on behalf of the operator or a replica.
    void put(const std::string& kind, const std::string& name, nlohmann::json specification);
    /// Puts an entry that another writer left: `object` is handed out as it stands, whatever it holds, in
    /// place of the object of that name. It is to bear the next revision, `revision() + 1`.
    void put_text(const std::string& kind, const std::string& name, std::string object);
    void remove(const std::string& kind, const std::string& name);
    /// Discards the history; watches from an earlier revision get 410.
    void compact_history();

    store_faults faults;

    /// Null if the object does not exist.
    nlohmann::json find(const std::string& kind, const std::string& name) const;
    /// Of the last change.
    std::uint64_t revision() const { return revision_; }
    std::size_t count(const std::string& kind) const;
    /// Write requests, rejected ones included, but none answered under `faults.refuse`.
    std::uint64_t write_calls() const { return write_calls_; }
    std::uint64_t list_calls(const std::string& kind) const;
    /// Requests answered 503 under `faults.refuse`.
    std::uint64_t refused_calls() const { return refused_calls_; }
    /// Reads, lists and watches.
    std::uint64_t read_calls(const std::string& kind) const;
    /// Those of all kinds.
    std::uint64_t read_calls() const;

private:
    using key = std::pair<std::string, std::string>;
    struct event {
        std::uint64_t revision = 0;
        std::string kind;
        std::string object;
        bool removed = false;
    };
    net::loop& loop_;
    net::async_condition changed_;
    std::map<key, nlohmann::json> objects_;
    std::map<key, std::string> texts_; ///< of `put_text`
    std::vector<event> history_;
    std::uint64_t revision_ = 100;
    std::uint64_t compacted_revision_ = 0;
    std::uint64_t write_calls_ = 0;
    std::uint64_t refused_calls_ = 0;
    std::map<std::string, std::uint64_t> list_calls_; ///< by kind
    std::map<std::string, std::uint64_t> read_calls_; ///< by kind
    net::http_service service_;
    net::http_service second_service_;

    enum class endpoint { first, second };
    net::task<void> serve(endpoint used, const net::http_request& request, net::responder& answer);
    net::task<void> watch(endpoint used, std::string kind, std::uint64_t since, milliseconds wait,
                          net::responder& answer);
    net::task<void> wait_while_silent(endpoint used, net::responder& answer);
    net::task<void> write_later(net::http_request request);
    net::http_response list(const std::string& kind, const std::string& after) const;
    std::uint64_t stated_revision() const { return faults.stated_revision.value_or(revision_); }
    /// Takes the next fault of the script, if it is for this kind.
    std::optional<write_fault> next_fault(const std::string& kind);
    net::http_response write(const net::http_request& request);
    /// Applies a POST or PUT; throws json::exception if the body lacks a required field.
    net::http_response write_object(const net::http_request& request);
    nlohmann::json store(const key& at, nlohmann::json object);
};

} // namespace vanillagauge::standins

#endif
