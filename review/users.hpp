/// Stand-ins for the users' side: metadata store, replicas and clients, and the gateway processes under test.
/// They use blocking sockets and one thread a connection, so that a case can send any bytes at any moment.
#ifndef VANILLAGAUGE_REVIEW_USERS_HPP
#define VANILLAGAUGE_REVIEW_USERS_HPP

#include <nlohmann/json.hpp>

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace review {

using json = nlohmann::json;
using std::chrono::milliseconds;
using steady = std::chrono::steady_clock;

/// Writes record.txt: one line an event, with the milliseconds since the start.
class recorder {
public:
    explicit recorder(const std::string& path) : out_(path), began_(steady::now()) {}
    void line(const std::string& text);

private:
    std::mutex lock_;
    std::ofstream out_;
    steady::time_point began_;
};

struct http_message {
    std::string method;                          ///< of a request
    std::string target;                          ///< of a request
    int status = 0;                              ///< of a response; 0: none was received
    std::map<std::string, std::string> fields{}; ///< names in lower case
    std::string body{};

    std::string field(const std::string& name) const;
    /// The path of the target, without its query.
    std::string path() const { return target.substr(0, target.find('?')); }
    std::string query(const std::string& name) const;
};

/// One accepted connection.
class connection {
public:
    explicit connection(int handle) : handle_(handle) {}
    ~connection();
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    /// False at the end of the connection.
    bool read(http_message& request);
    bool write(const std::string& bytes);
    /// Whether the peer has closed the connection.
    bool closed();
    /// Answers nothing more; returns once the peer has closed the connection.
    void stay_silent();

    std::string pending_extra; ///< a second answer to an earlier request, sent before the next answer

private:
    int handle_;
    std::string buffer_;

    bool fill();
    bool read_line(std::string& line);
};

std::string response_text(int status, const std::vector<std::pair<std::string, std::string>>& fields,
                          const std::string& body);

/// An HTTP/1.1 server on a free port of 127.0.0.1; the handler answers one request at a time.
class server {
public:
    using handler = std::function<void(connection&, const http_message&)>;
    explicit server(handler answer);
    const std::string& address() const { return address_; }

private:
    handler answer_;
    std::string address_;
};

/// The platform's metadata store.
class store {
public:
    explicit store(recorder& record);
    const std::string& address() const { return server_.address(); }
    /// Writes as the operator or a replica does; the return is the acknowledgement.
    void put(const std::string& kind, const std::string& name, const json& specification);
    /// The object; null if it does not exist.
    json find(const std::string& kind, const std::string& name);

    /// A call as the store sees it; `watch`: its answer tells changes of the kind.
    struct call {
        std::string method;
        std::string kind;
        std::string name;
        bool watch = false;
        bool may_be_stale = false; ///< the gateways' pings are such calls
    };
    /// Set before the first call; asked when the answer is due. True: the call is done and its answer is
    /// lost; the connection returns nothing more.
    std::function<bool(const call&)> loses_answer = [](const call&) { return false; };

private:
    struct change {
        std::uint64_t revision = 0;
        std::string kind;
        json object;
    };
    recorder& record_;
    std::mutex lock_;
    std::condition_variable changed_;
    std::map<std::pair<std::string, std::string>, json> objects_;
    std::vector<change> history_;
    std::uint64_t revision_ = 100;
    server server_;

    void serve(connection& at, const http_message& request);
    std::string read(const http_message& request, const call& wanted);
    std::string watch(const http_message& request, const std::string& kind);
    std::string write(const http_message& request, const call& wanted);
    json apply(const std::string& kind, const std::string& name, json object);
};

/// A replica of a plain service or a model engine.
class replica {
public:
    struct traits {
        std::string id;
        std::string service;
        std::string model; ///< empty: a plain service
        int slots = 4;
        int events = 12; ///< of a stream
        milliseconds event_interval{20};
    };
    replica(traits chosen, recorder& record);
    /// Its entry in the store.
    json entry();
    const traits& known() const { return traits_; }

    /// Set before the first request. The status to answer an item with, in place of a run; 0: run it.
    std::function<int(const std::string& id)> status_for = [](const std::string&) { return 0; };
    /// Whether to send a second copy of this answer later, before the next answer on the connection.
    std::function<bool(const std::string& id)> repeats_answer = [](const std::string&) { return false; };
    /// Told of each request that starts to run.
    std::function<void(const std::string& id)> on_run = [](const std::string&) {};

private:
    traits traits_;
    recorder& record_;
    std::atomic<int> running_{0};
    std::atomic<std::uint64_t> beats_{0};
    std::atomic<std::uint64_t> orders_{0};
    std::atomic<std::uint64_t> version_{1};
    server server_;

    void serve(connection& at, const http_message& request);
    void answer(connection& at, const std::string& id, const std::string& text);
    void run(connection& at, const http_message& request, const std::string& id);
    void stream(connection& at, const http_message& request, const std::string& id);
    void order(connection& at, const http_message& request);
};

/// Sends one request on a new connection; status 0 where no complete response came in time.
http_message call(const std::string& address, const std::string& method, const std::string& target,
                  const std::vector<std::pair<std::string, std::string>>& fields, const std::string& body,
                  milliseconds within);

/// One machine with its gateway process.
struct machine {
    std::string node;
    std::string front; ///< address for callers; empty on a storage machine
    std::string ready;
    std::string settings_file;
    std::string log_file;
    pid_t process = -1;
};

/// The gateway processes, started as deploy/system.toml says with settings from its template.
class fleet {
public:
    /// `fronts` machines for callers, in as many zones, and one storage machine.
    fleet(std::string program, std::string folder, std::size_t fronts, const std::string& store_address,
          recorder& record);
    fleet(const fleet&) = delete;
    fleet& operator=(const fleet&) = delete;

    /// False if a gateway is not ready in time.
    bool wait_until_ready(milliseconds within);
    std::vector<machine>& machines() { return machines_; }
    /// SIGKILL.
    void kill(machine& which);
    /// Whether a process that was not killed has ended by itself.
    bool lost_one();
    /// Ends the processes and this program. The stand-ins' threads run until then, so nothing is destroyed.
    [[noreturn]] void finish(int code);

private:
    std::string program_;
    recorder& record_;
    std::vector<machine> machines_;

    void start(machine& which);
};

/// Keeps the replicas' entries in the store up to date.
void keep_entries(store& at, const std::vector<std::shared_ptr<replica>>& replicas);

struct options {
    std::string program;
    std::string folder; ///< temporary
    std::string record;
    bool trouble = true;
};
/// From the command line: PROGRAM FOLDER RECORD TROUBLE.
options parse_options(int argc, char** argv);

/// Exit codes of a case.
constexpr int rule_held = 0;
constexpr int rule_broken = 1;
constexpr int not_run = 2;

} // namespace review

#endif
