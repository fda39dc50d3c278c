#include "gateway/engines/engine_exchange.hpp"

#include "gateway/untrusted_json.hpp"
#include "observe/log.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace vanillagauge::gateway {

using nlohmann::json;

namespace {

constexpr milliseconds poll_interval{50};
/// Steps are placed within some hundred milliseconds; less often, two owners would fill the same places.
constexpr milliseconds min_send_interval{100};
/// Leaves room for two lost messages before a report expires.
constexpr milliseconds max_send_interval{500};
/// A peer that takes longer is as good as silent, and the next report is due.
constexpr milliseconds send_timeout{500};

constexpr std::size_t max_body_bytes = 64U << 10U;
/// A VM may use 6 KB/s for soft state, other messages included.
constexpr double bytes_per_second = 5000;
/// Time of unused bytes that may be made up for: a step starts with many changes after a calm second.
constexpr milliseconds max_credit{1000};
/// HTTP fields of a message, beside its body.
constexpr std::size_t head_bytes = 120;

/// The most that a ledger accepts; lengths come from clients, and a report with more would be refused whole.
constexpr double max_events_left = 1e9;

/// -1, which the ledger refuses, if the number is absent or does not fit.
int count_of(const json& object, const char* member)
{
    const auto number = integer_or(object, member, -1);
    return number > std::numeric_limits<int>::max() || number < 0 ? -1 : static_cast<int>(number);
}

/// Throws json::exception unless the member is an integer of 0 or more; `get` alone would convert others.
std::uint64_t unsigned_of(const json& object, const char* member)
{
    return object.at(member).get_ref<const json::number_unsigned_t&>();
}

} // namespace

json to_json(const policy::engine_report& report)
{
    auto uses = json::array();
    for (const auto& use : report.uses) {
        uses.push_back({{"engine", use.engine},
                        {"streams", use.streams},
                        {"left", std::llround(std::min(use.events_left, max_events_left))}});
    }
    auto loads = json::array();
    for (const auto& load : report.loads) {
        loads.push_back({{"engine", load.engine},
                         {"model", load.model},
                         {"version", load.version},
                         {"left_ms", load.left.count()}});
    }
    return {{"vm", report.vm},
            {"incarnation", report.incarnation},
            {"sequence", report.sequence},
            {"uses", std::move(uses)},
            {"loads", std::move(loads)}};
}

result<policy::engine_report> engine_report_from_json(const json& document)
{
    return decode<policy::engine_report>(
        document, malformed("cannot decode an engine report"),
        [](const json& from) -> result<policy::engine_report> {
            policy::engine_report report;
            report.vm = from.at("vm").get<std::string>();
            report.incarnation = unsigned_of(from, "incarnation");
            report.sequence = unsigned_of(from, "sequence");
            for (const auto& entry : from.at("uses")) {
                report.uses.push_back({entry.at("engine").get<std::string>(), count_of(entry, "streams"),
                                       entry.at("left").get<double>()});
            }
            for (const auto& entry : from.at("loads")) {
                report.loads.push_back({entry.at("engine").get<std::string>(),
                                        entry.at("model").get<std::string>(), unsigned_of(entry, "version"),
                                        milliseconds{count_of(entry, "left_ms")}});
            }
            return report;
        });
}

engine_exchange::engine_exchange(net::loop& loop, peer_relay& peers, const fleet_view& fleet,
                                 const target_registry& targets, const batch_runner& runner,
                                 engine_view& engines, observe::metrics& counts)
    : loop_(loop), peers_(peers), fleet_(fleet), targets_(targets), runner_(runner), engines_(engines),
      counts_(counts)
{
}

void engine_exchange::start()
{
    net::start(loop_, run_loop());
}

net::task<void> engine_exchange::run_loop()
{
    while (true) {
        update(steady::now());
        co_await net::sleep_for(loop_, poll_interval);
    }
}

void engine_exchange::record_outcome(const char* outcome)
{
    counts_.add(std::string("engine_reports_total{outcome=\"") + outcome + "\"}");
}

bool engine_exchange::is_active(time_point now) const
{
    return runner_.running() > 0 || !engines_.own_uses().empty() || !engines_.own_loads(now).empty();
}

void engine_exchange::update(time_point now)
{
    if (runner_.running() > 0 || !engines_.own_uses().empty()) {
        engines_.set_own_uses(runner_.engine_uses());
    }
    engines_.ledger().expire(now);
    const auto loading = engines_.ledger().engines_loading_elsewhere(now);
    counts_.set("engines_loading_elsewhere", static_cast<double>(loading));
    const bool active = is_active(now);
    const auto owners = active ? runner_.open_owners() : std::map<std::string, std::set<std::string>>{};
    expect_reports(owners, now);
    review_silence(now);
    std::set<std::string> receivers;
    for (const auto& [service, vms] : owners) {
        receivers.insert(vms.begin(), vms.end());
    }
    send_due_reports(receivers, active, now);
}

// A gateway that exchanges no reports expects none, so that the first moments of its next batch do not count
// as silence of the others.
void engine_exchange::expect_reports(const std::map<std::string, std::set<std::string>>& owners,
                                     time_point now)
{
    expected_.clear();
    for (const auto& [service, vms] : owners) {
        if (vms.contains(fleet_.self())) {
            expected_.insert(vms.begin(), vms.end());
        }
    }
    expected_.erase(fleet_.self());
    engines_.ledger().set_expected_reporters(expected_, now);
}

void engine_exchange::review_silence(time_point now)
{
    auto silent = engines_.ledger().silent_reporters(now);
    if (silent == silent_) {
        return;
    }
    for (const auto& vm : silent) {
        if (!silent_.contains(vm)) {
            observe::log(observe::log_level::warning, "engine_reporter_silent", {{"reporter", vm}});
        }
    }
    for (const auto& vm : silent_) {
        if (!silent.contains(vm)) {
            const bool heard = expected_.contains(vm);
            observe::log(observe::log_level::info, "engine_reporter_back",
                         {{"reporter", vm}, {"why", std::string(heard ? "reports" : "no longer expected")}});
        }
    }
    silent_ = std::move(silent);
    counts_.set("engine_reporters_silent", static_cast<double>(silent_.size()));
}

// A peer that has got this gateway's report in a response needs no call, so two gateways that use the same
// engines make one call per interval together.
void engine_exchange::send_due_reports(const std::set<std::string>& owners, bool active, time_point now)
{
    std::set<std::string> receivers = owners;
    if (!active) {
        for (const auto& [vm, sent] : sent_) {
            receivers.insert(vm);
        }
    }
    for (const auto& vm : receivers) {
        if (vm == fleet_.self() || sending_.contains(vm) || now < paid_until_) {
            continue;
        }
        const auto* peer = fleet_.find_peer(vm);
        if (peer == nullptr || peer->relay_address.empty()) {
            sent_.erase(vm);
            continue;
        }
        const auto sent = sent_.find(vm);
        if (sent != sent_.end() && active) {
            const auto age = now - sent->second.at;
            const bool changed = sent->second.changes != engines_.own_changes();
            if (age < (changed ? min_send_interval : max_send_interval)) {
                continue;
            }
        }
        net::start(loop_, send_to(vm, peer->relay_address, !active));
    }
}

void engine_exchange::charge(std::size_t bytes, time_point now)
{
    const std::chrono::duration<double> taken{static_cast<double>(bytes + head_bytes) / bytes_per_second};
    const auto earliest = now - max_credit;
    paid_until_ = std::max(paid_until_, earliest) + std::chrono::duration_cast<duration>(taken);
}

json engine_exchange::next_report(time_point now)
{
    policy::engine_report report;
    report.vm = fleet_.self();
    report.incarnation = fleet_.incarnation();
    report.sequence = ++sequence_;
    report.uses = engines_.own_uses();
    report.loads = engines_.own_loads(now);
    return to_json(report);
}

net::task<void> engine_exchange::send_to(std::string vm, std::string address, bool last)
{
    const auto now = steady::now();
    sending_.insert(vm);
    sent_[vm] = {engines_.own_changes(), now};
    auto body = next_report(now);
    charge(body.dump().size(), now);
    const auto answer = co_await peers_.call_peer(std::move(address), engine_report_path, std::move(body),
                                                  now + send_timeout);
    sending_.erase(vm);
    if (ok(answer)) {
        apply(engine_report_from_json(value(answer)));
    }
    else {
        record_outcome("unsent");
        sent_[vm].changes.reset();
    }
    if (last) {
        // Once only: a report that does not arrive expires at the peer.
        sent_.erase(vm);
    }
}

// Reports of gateways that are not known here are refused, which bounds the memory for them.
result<done> engine_exchange::apply(const result<policy::engine_report>& report)
{
    if (!ok(report)) {
        record_outcome("malformed");
        return failure(report);
    }
    const auto& from = value(report);
    result<done> applied =
        error{error_code::conflict, run_state::not_run, "engine report of an unknown gateway"};
    if (fleet_.find_peer(from.vm) != nullptr) {
        applied = engines_.ledger().apply(from, steady::now());
    }
    if (!ok(applied)) {
        const bool stale = failure(applied).code == error_code::conflict;
        record_outcome(stale ? "stale" : "malformed");
        return applied;
    }
    record_outcome("applied");
    for (const auto& load : from.loads) {
        const auto engine = load.left == milliseconds{0} ? targets_.find(load.engine) : nullptr;
        if (engine) {
            engine->record_version(load.model, load.version);
        }
    }
    return applied;
}

net::http_response engine_exchange::serve(const net::http_request& request)
{
    net::http_response response;
    const auto report = request.body.size() > max_body_bytes
                            ? result<policy::engine_report>(malformed("engine report larger than 64 KB"))
                            : engine_report_from_json(parse_peer_json(request.body));
    const auto applied = apply(report);
    if (!ok(applied) && failure(applied).code == error_code::invalid_argument) {
        observe::log(observe::log_level::warning, "engine_report_refused",
                     {{"why", describe(failure(applied))}});
        response.status = 400;
        response.body = failure(applied).detail;
        return response;
    }
    const auto now = steady::now();
    response.body = next_report(now).dump();
    charge(response.body.size(), now);
    if (ok(applied) && is_active(now)) {
        sent_[value(report).vm] = {engines_.own_changes(), now};
    }
    return response;
}

} // namespace vanillagauge::gateway
