#include "users.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <random>
#include <sstream>
#include <thread>

namespace review {
namespace {

constexpr milliseconds heartbeat{1200};
/// Of the store, as the deployments' sheets say.
constexpr milliseconds answer_time{4};
constexpr const char* objects_path = "/api/objects/";

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return text;
}

std::uint64_t number_in(const std::string& text)
{
    return text.empty() ? 0 : std::strtoull(text.c_str(), nullptr, 10);
}

sockaddr_in to_socket_address(const std::string& address)
{
    const auto colon = address.rfind(':');
    sockaddr_in parsed{};
    parsed.sin_family = AF_INET;
    parsed.sin_port = htons(static_cast<std::uint16_t>(number_in(address.substr(colon + 1))));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &parsed.sin_addr);
    return parsed;
}

/// A listening socket and its port; -1 if the address is in use.
std::pair<int, int> listen_on(const std::string& ip, int port)
{
    const int handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(handle, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    auto at = to_socket_address(ip + ":" + std::to_string(port));
    socklen_t size = sizeof at;
    if (::bind(handle, reinterpret_cast<const sockaddr*>(&at), size) != 0 || ::listen(handle, 256) != 0) {
        ::close(handle);
        return {-1, 0};
    }
    ::getsockname(handle, reinterpret_cast<sockaddr*>(&at), &size);
    return {handle, ntohs(at.sin_port)};
}

int free_port(const std::string& ip)
{
    const auto [handle, port] = listen_on(ip, 0);
    if (handle >= 0) {
        ::close(handle);
    }
    return port;
}

/// A loopback address whose fixed metrics port is free.
std::string free_ip()
{
    static std::mt19937 random{std::random_device{}()};
    std::uniform_int_distribution<int> part(2, 250);
    constexpr int metrics_port = 9464;
    while (true) {
        auto ip = "127." + std::to_string(part(random)) + "." + std::to_string(part(random)) + "." +
                  std::to_string(part(random));
        const auto [handle, port] = listen_on(ip, metrics_port);
        if (handle >= 0) {
            ::close(handle);
            return ip;
        }
    }
}

const json* look_up(const json& values, const std::string& name)
{
    const auto* found = &values;
    std::stringstream parts(name);
    for (std::string part; std::getline(parts, part, '.');) {
        if (found->is_array() && number_in(part) < found->size()) {
            found = &(*found)[number_in(part)];
        }
        else if (found->is_object() && found->contains(part)) {
            found = &(*found)[part];
        }
        else {
            return nullptr;
        }
    }
    return found;
}

std::string placeholder(const json& values, std::string name)
{
    const auto bar = name.find("|json");
    const auto* found = look_up(values, name.substr(0, bar));
    if (bar != std::string::npos) {
        return found == nullptr ? "null" : found->dump();
    }
    if (found == nullptr) {
        return {};
    }
    return found->is_string() ? found->get<std::string>() : found->dump();
}

/// The part of DEPLOY.md's templates that this project's template uses: values and sections that are not
/// nested.
std::string render(std::string text, const json& values)
{
    std::string rendered;
    for (auto open = text.find("{{"); open != std::string::npos; open = text.find("{{")) {
        const auto close = text.find("}}", open);
        const auto name = text.substr(open + 2, close - open - 2);
        rendered += text.substr(0, open);
        text.erase(0, close + 2);
        if (name[0] != '#' && name[0] != '^') {
            rendered += placeholder(values, name);
            continue;
        }
        const auto end_mark = "{{/" + name.substr(1) + "}}";
        const auto end = text.find(end_mark);
        const bool present = look_up(values, name.substr(1)) != nullptr;
        if (present == (name[0] == '#')) {
            rendered += render(text.substr(0, end), values);
        }
        text.erase(0, end + end_mark.size());
    }
    return rendered + text;
}

std::string file_text(const std::string& path)
{
    std::ifstream in(path);
    std::stringstream text;
    text << in.rdbuf();
    return text.str();
}

std::string status_text(int status)
{
    static const std::map<int, std::string> names{{200, "OK"},
                                                  {201, "Created"},
                                                  {202, "Accepted"},
                                                  {404, "Not Found"},
                                                  {409, "Conflict"},
                                                  {421, "Misdirected Request"},
                                                  {503, "Service Unavailable"}};
    const auto found = names.find(status);
    return found == names.end() ? "Status" : found->second;
}

std::string json_response(int status, const json& body)
{
    return response_text(status, {{"Content-Type", "application/json"}}, body.dump());
}

} // namespace

void recorder::line(const std::string& text)
{
    const std::lock_guard held(lock_);
    const auto at = std::chrono::duration_cast<milliseconds>(steady::now() - began_);
    out_ << at.count() << " ms: " << text << std::endl;
}

std::string http_message::field(const std::string& name) const
{
    const auto found = fields.find(lower(name));
    return found == fields.end() ? std::string{} : found->second;
}

std::string http_message::query(const std::string& name) const
{
    const auto question = target.find('?');
    std::stringstream pairs(question == std::string::npos ? std::string{} : target.substr(question + 1));
    for (std::string pair; std::getline(pairs, pair, '&');) {
        if (pair.starts_with(name + "=")) {
            return pair.substr(name.size() + 1);
        }
    }
    return {};
}

connection::~connection()
{
    ::close(handle_);
}

bool connection::fill()
{
    std::array<char, 16384> bytes{};
    const auto size = ::recv(handle_, bytes.data(), bytes.size(), 0);
    if (size <= 0) {
        return false;
    }
    buffer_.append(bytes.data(), static_cast<std::size_t>(size));
    return true;
}

bool connection::read_line(std::string& line)
{
    auto end = buffer_.find("\r\n");
    while (end == std::string::npos) {
        if (!fill()) {
            return false;
        }
        end = buffer_.find("\r\n");
    }
    line = buffer_.substr(0, end);
    buffer_.erase(0, end + 2);
    return true;
}

// Serves for both sides: a status line begins with "HTTP/".
bool connection::read(http_message& message)
{
    message = {};
    std::string line;
    if (!read_line(line)) {
        return false;
    }
    std::stringstream first(line);
    first >> message.method >> message.target;
    if (message.method.starts_with("HTTP/")) {
        message.status = static_cast<int>(number_in(message.target));
    }
    while (read_line(line) && !line.empty()) {
        const auto colon = line.find(':');
        const auto value = line.find_first_not_of(' ', colon + 1);
        message.fields[lower(line.substr(0, colon))] =
            value == std::string::npos ? std::string{} : line.substr(value);
    }
    if (!line.empty()) {
        return false;
    }
    const auto size = number_in(message.field("Content-Length"));
    while (buffer_.size() < size) {
        if (!fill()) {
            return false;
        }
    }
    message.body = buffer_.substr(0, size);
    buffer_.erase(0, size);
    return true;
}

bool connection::write(const std::string& bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto size = ::send(handle_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (size <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(size);
    }
    return true;
}

bool connection::closed()
{
    char byte = 0;
    const auto size = ::recv(handle_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void connection::stay_silent()
{
    while (fill()) {
        buffer_.clear();
    }
}

std::string response_text(int status, const std::vector<std::pair<std::string, std::string>>& fields,
                          const std::string& body)
{
    auto text = "HTTP/1.1 " + std::to_string(status) + " " + status_text(status) + "\r\n";
    for (const auto& [name, value] : fields) {
        text += name + ": " + value + "\r\n";
    }
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

server::server(handler answer) : answer_(std::move(answer))
{
    const auto [listening, port] = listen_on("127.0.0.1", 0);
    address_ = "127.0.0.1:" + std::to_string(port);
    // The threads end with the process.
    std::thread([this, from = listening] {
        while (true) {
            const int accepted = ::accept4(from, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0) {
                continue;
            }
            const int on = 1;
            ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            std::thread([this, accepted] {
                connection at(accepted);
                http_message request;
                while (at.read(request)) {
                    answer_(at, request);
                }
            }).detach();
        }
    }).detach();
}

store::store(recorder& record)
    : record_(record), server_([this](connection& at, const http_message& request) { serve(at, request); })
{
}

json store::apply(const std::string& kind, const std::string& name, json object)
{
    ++revision_;
    object["Metadata"] = {{"Name", name},
                          {"Revision", revision_},
                          {"Created", 1},
                          {"Finalizers", json::array()},
                          {"Deleting", false}};
    objects_[{kind, name}] = object;
    history_.push_back({revision_, kind, object});
    changed_.notify_all();
    return object;
}

void store::put(const std::string& kind, const std::string& name, const json& specification)
{
    const std::lock_guard held(lock_);
    auto object = objects_[{kind, name}];
    object["Specification"] = specification;
    object.emplace("Status", nullptr);
    apply(kind, name, std::move(object));
}

json store::find(const std::string& kind, const std::string& name)
{
    const std::lock_guard held(lock_);
    const auto found = objects_.find({kind, name});
    return found == objects_.end() ? json() : found->second;
}

void store::serve(connection& at, const http_message& request)
{
    const auto path = request.path();
    if (!path.starts_with(objects_path)) {
        at.write(json_response(404, json::object()));
        return;
    }
    std::stringstream parts(path.substr(std::string(objects_path).size()));
    call wanted{
        request.method, {}, {}, !request.query("Watch").empty(), !request.query("AllowStale").empty()};
    std::getline(parts, wanted.kind, '/');
    std::getline(parts, wanted.name, '/');
    std::string answer;
    if (wanted.watch) {
        answer = watch(request, wanted.kind);
    }
    else if (request.method == "GET") {
        answer = read(request, wanted);
    }
    else {
        answer = write(request, wanted);
    }
    std::this_thread::sleep_for(answer_time);
    if (loses_answer(wanted)) {
        record_.line("store: the answer to " + request.method + " " + request.target + " is lost");
        at.stay_silent();
        return;
    }
    at.write(answer);
}

std::string store::read(const http_message& request, const call& wanted)
{
    const std::lock_guard held(lock_);
    if (!wanted.name.empty()) {
        const auto found = objects_.find({wanted.kind, wanted.name});
        return found == objects_.end() ? json_response(404, json::object())
                                       : json_response(200, found->second);
    }
    json items = json::array();
    const auto after = request.query("After");
    for (const auto& [key, object] : objects_) {
        if (key.first == wanted.kind && key.second > after) {
            items.push_back(object);
        }
    }
    return json_response(200, {{"Items", std::move(items)}, {"HasMore", false}, {"AsOf", revision_}});
}

std::string store::watch(const http_message& request, const std::string& kind)
{
    const auto since = number_in(request.query("Watch"));
    const auto until = steady::now() + milliseconds(number_in(request.query("WaitMs")));
    std::unique_lock held(lock_);
    while (true) {
        json events = json::array();
        for (const auto& entry : history_) {
            if (entry.kind == kind && entry.revision > since) {
                events.push_back({{"Object", entry.object}, {"Removed", false}});
            }
        }
        if (!events.empty() || steady::now() >= until) {
            return json_response(200, {{"events", std::move(events)}, {"AsOf", revision_}});
        }
        changed_.wait_until(held, until);
    }
}

std::string store::write(const http_message& request, const call& wanted)
{
    const auto body = json::parse(request.body, nullptr, false);
    if (!body.is_object()) {
        return json_response(400, json::object());
    }
    const std::lock_guard held(lock_);
    const auto metadata = body.value("Metadata", json::object());
    const auto name = request.method == "POST" ? metadata.value("Name", std::string{}) : wanted.name;
    const auto found = objects_.find({wanted.kind, name});
    if (request.method == "POST") {
        if (found != objects_.end()) {
            return json_response(409, found->second);
        }
        const json object{{"Specification", body.value("Specification", json())}, {"Status", nullptr}};
        return json_response(201, apply(wanted.kind, name, object));
    }
    if (found == objects_.end()) {
        return json_response(404, json::object());
    }
    const auto expected = metadata.value("Revision", std::uint64_t{0});
    if (expected != 0 && expected != found->second["Metadata"]["Revision"].get<std::uint64_t>()) {
        return json_response(409, found->second);
    }
    const std::string field = request.path().ends_with("/status") ? "Status" : "Specification";
    auto object = found->second;
    const auto wanted_value = body.value(field, json());
    if (object[field] == wanted_value) {
        return json_response(200, object);
    }
    object[field] = wanted_value;
    return json_response(200, apply(wanted.kind, name, std::move(object)));
}

replica::replica(traits chosen, recorder& record)
    : traits_(std::move(chosen)), record_(record),
      server_([this](connection& at, const http_message& request) { serve(at, request); })
{
}

json replica::entry()
{
    json entry{{"Service", traits_.service},
               {"Address", server_.address()},
               {"Zone", "z1"},
               {"Version", "v1"},
               {"Slots", traits_.slots},
               {"State", "ready"},
               {"ColdRemainingMs", 0},
               {"Sequence", ++beats_}};
    if (!traits_.model.empty()) {
        entry["Stage"] = "both";
        entry["Models"] = json::array(
            {{{"Name", traits_.model}, {"Version", version_.load()}, {"Adapters", json::array()}}});
    }
    return entry;
}

void replica::answer(connection& at, const std::string& id, const std::string& text)
{
    at.write(text);
    if (repeats_answer(id)) {
        at.pending_extra = text;
    }
}

void replica::serve(connection& at, const http_message& request)
{
    const auto path = request.path();
    if (path == "/api/report") {
        json models = json::array({{{"Name", traits_.model}, {"Version", version_.load()}}});
        at.write(json_response(200, {{"Stage", "both"},
                                     {"Models", std::move(models)},
                                     {"Busy", false},
                                     {"Sequence", orders_.load()},
                                     {"RunningRequests", running_.load()}}));
        return;
    }
    const auto expected = request.field("Expect-Instance");
    if (!expected.empty() && expected != traits_.id) {
        at.write(response_text(421, {{"Replica-Id", traits_.id}}, {}));
        return;
    }
    if (path == "/api/order") {
        order(at, request);
        return;
    }
    if (path == "/health") {
        at.write(response_text(200, {{"Replica-Id", traits_.id}}, {}));
        return;
    }
    const auto id = request.field("Attempt-Id");
    if (++running_ > traits_.slots) {
        --running_;
        at.write(response_text(503, {{"Attempt-Id", id}, {"Not-Executed", "1"}}, {}));
        return;
    }
    run(at, request, id);
    --running_;
}

void replica::order(connection& at, const http_message& request)
{
    const auto body = json::parse(request.body, nullptr, false);
    if (!body.is_object() || body.value("Expected", orders_.load()) != orders_.load()) {
        at.write(response_text(409, {}, {}));
        return;
    }
    ++orders_;
    version_ = body.value("Version", version_.load());
    at.write(response_text(202, {}, {}));
}

void replica::run(connection& at, const http_message& request, const std::string& id)
{
    record_.line(traits_.id + " (" + traits_.service + "): runs " + id + " " + request.target);
    on_run(id);
    if (!at.pending_extra.empty()) {
        record_.line(traits_.id + ": sends an extra answer, to an earlier request on this connection");
        at.write(std::exchange(at.pending_extra, {}));
    }
    if (const int status = status_for(id); status != 0) {
        record_.line(traits_.id + ": answers " + id + " with " + std::to_string(status));
        answer(at, id, response_text(status, {{"Attempt-Id", id}, {"Keep-Alive", "timeout=10"}}, {}));
        return;
    }
    if (!request.field("Token-Counts").empty()) {
        stream(at, request, id);
        return;
    }
    std::this_thread::sleep_for(traits_.event_interval);
    answer(at, id,
           response_text(200, {{"Attempt-Id", id}, {"Server-Stamp", "stamp." + traits_.id + "." + id}},
                         "answer of " + traits_.service));
}

void replica::stream(connection& at, const http_message& request, const std::string& id)
{
    const auto last = number_in(request.field("Last-Event-Id"));
    at.write("HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nServer-Stamp: stamp." + traits_.id + "." + id +
             "\r\nWeight-Versions: " + std::to_string(version_.load()) +
             "\r\nKeep-Alive: timeout=10\r\nContent-Type: text/event-stream\r\n"
             "Transfer-Encoding: chunked\r\n\r\n");
    for (auto number = last + 1; number <= static_cast<std::uint64_t>(traits_.events); ++number) {
        std::this_thread::sleep_for(traits_.event_interval);
        if (at.closed()) {
            record_.line(traits_.id + ": drops " + id + ", its connection was closed");
            return;
        }
        const auto event =
            "id: " + std::to_string(number) + "\ndata: " + id + "-" + std::to_string(number) + "\n\n";
        std::stringstream size;
        size << std::hex << event.size();
        at.write(size.str() + "\r\n" + event + "\r\n");
    }
    at.write("0\r\n\r\n");
    record_.line(traits_.id + ": completes " + id);
}

http_message call(const std::string& address, const std::string& method, const std::string& target,
                  const std::vector<std::pair<std::string, std::string>>& fields, const std::string& body,
                  milliseconds within)
{
    const int handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const timeval limit{within.count() / 1000, (within.count() % 1000) * 1000};
    ::setsockopt(handle, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    const auto to = to_socket_address(address);
    connection at(handle);
    http_message response;
    if (::connect(handle, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0) {
        return response;
    }
    auto text = method + " " + target + " HTTP/1.1\r\n";
    for (const auto& [name, value] : fields) {
        text += name + ": " + value + "\r\n";
    }
    text += "Connection: close\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    if (!at.write(text) || !at.read(response)) {
        return {};
    }
    return response;
}

fleet::fleet(std::string program, std::string folder, std::size_t fronts, const std::string& store_address,
             recorder& record)
    : program_(std::move(program)), record_(record)
{
    struct place {
        std::string ip;
        int control = 0;
    };
    std::vector<place> places;
    json seeds = json::array();
    for (std::size_t index = 0; index <= fronts; ++index) {
        const auto ip = free_ip();
        places.push_back({ip, free_port(ip)});
        if (index < std::min<std::size_t>(fronts, 3)) {
            seeds.push_back(ip + ":" + std::to_string(places.back().control));
        }
    }
    const auto pattern = file_text("deploy/gateway.json.template");
    for (std::size_t index = 0; index <= fronts; ++index) {
        const bool storage = index == fronts;
        const auto& [ip, control] = places[index];
        const auto with_port = [ip = ip] { return ip + ":" + std::to_string(free_port(ip)); };
        machine made;
        made.node = storage ? "storage-z1-1" : "front-z" + std::to_string(index + 1) + "-1";
        json values{{"Node", made.node},
                    {"Zone", "z" + std::to_string(storage ? 1 : index + 1)},
                    {"Ip", ip},
                    {"InternalPorts", {free_port(ip), free_port(ip)}},
                    {"Seeds", seeds},
                    {"Platform", {{"Address", store_address}}},
                    {"Bounds", {{"GraceS", 8}, {"LeaseMs", 3000}}},
                    {"Limits", {{"CpuShare", 0.25}}},
                    {"ListenAddresses", json::object()}};
        if (storage) {
            values["DataDirectory"] = folder + "/data";
        }
        else {
            made.front = with_port();
            made.ready = with_port();
            values["ListenAddresses"] = {{"Front", made.front},
                                         {"Ready", made.ready},
                                         {"Control", ip + ":" + std::to_string(control)},
                                         {"Directory", with_port()}};
        }
        made.settings_file = folder + "/" + made.node + ".json";
        made.log_file = folder + "/" + made.node + ".log";
        std::ofstream(made.settings_file) << render(pattern, values);
        machines_.push_back(made);
    }
    for (auto& each : machines_) {
        start(each);
    }
}

void fleet::finish(int code)
{
    const int result = lost_one() ? rule_broken : code;
    for (auto& each : machines_) {
        kill(each);
    }
    std::_Exit(result);
}

void fleet::start(machine& which)
{
    const auto child = ::fork();
    if (child == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL); // no gateway outlives this program
        const int log = ::open(which.log_file.c_str(), O_CREAT | O_APPEND | O_WRONLY, 0600);
        ::dup2(log, STDOUT_FILENO);
        ::dup2(log, STDERR_FILENO);
        ::execl(program_.c_str(), program_.c_str(), "--settings", which.settings_file.c_str(), nullptr);
        ::_exit(127);
    }
    which.process = child;
    record_.line("start: " + which.node);
}

void fleet::kill(machine& which)
{
    if (which.process > 0) {
        ::kill(which.process, SIGKILL);
        ::waitpid(which.process, nullptr, 0);
        which.process = -1;
        record_.line("SIGKILL: " + which.node);
    }
}

bool fleet::lost_one()
{
    bool lost = false;
    for (auto& each : machines_) {
        if (each.process > 0 && ::waitpid(each.process, nullptr, WNOHANG) == each.process) {
            record_.line("ended by itself: " + each.node);
            each.process = -1;
            lost = true;
        }
    }
    return lost;
}

bool fleet::wait_until_ready(milliseconds within)
{
    const auto until = steady::now() + within;
    for (const auto& each : machines_) {
        while (!each.ready.empty() &&
               call(each.ready, "GET", "/api/ready", {{"Host", "ready"}}, {}, milliseconds(500)).status !=
                   200) {
            if (steady::now() >= until) {
                record_.line("not ready in time: " + each.node);
                return false;
            }
            std::this_thread::sleep_for(milliseconds(100));
        }
    }
    return true;
}

void keep_entries(store& at, const std::vector<std::shared_ptr<replica>>& replicas)
{
    for (const auto& each : replicas) {
        at.put("servers", each->known().id, each->entry());
    }
    std::thread([&at, replicas] {
        while (true) {
            std::this_thread::sleep_for(heartbeat);
            for (const auto& each : replicas) {
                at.put("servers", each->known().id, each->entry());
            }
        }
    }).detach();
}

options parse_options(int argc, char** argv)
{
    const std::vector<std::string> given(argv + 1, argv + argc);
    if (given.size() != 4) {
        std::fprintf(stderr, "usage: PROGRAM FOLDER RECORD TROUBLE\n");
        std::exit(not_run);
    }
    return {given[0], given[1], given[2], given[3] != "0"};
}

} // namespace review
