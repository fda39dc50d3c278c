#include "gateway/gateway.hpp"

#include "base/listening.hpp"
#include "gateway/callers/request_relay.hpp"
#include "gateway/connection_limits.hpp"
#include "gateway/engines/engine_exchange.hpp"
#include "gateway/untrusted_json.hpp"
#include "net/http_service.hpp"
#include "node/program.hpp"
#include "observe/log.hpp"

#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <map>
#include <optional>
#include <utility>

namespace vanillagauge::gateway {

using nlohmann::json;

namespace {

/// A request is quarantined after losing two replicas here, or three across all gateways: a harmless request
/// may be in flight at two gateways when replicas are lost at the same time.
constexpr policy::quarantine_limits crash_limits{2, 3};

constexpr milliseconds housekeeping_interval{100};

/// Longer than a watch or a listing of the store takes to succeed or to fail.
constexpr milliseconds max_refresh_time{1000};
constexpr milliseconds retirement_retry_delay{1000};

/// A VM to be retired that runs a gateway completes its retirement itself within this time.
constexpr milliseconds absence_time{1000};
constexpr const char* retirement_key = "retirements";

/// Most addresses returned to a caller.
constexpr std::size_t max_addresses = 64;

usage::report_times report_times(const config::settings& settings)
{
    // A third of the time until a report is due is left for counts that come late, the rest for the report.
    constexpr int closing_share = 3;
    const auto& chosen = settings.gateway;
    const auto window = chosen.duties_address.empty() ? milliseconds{0} : chosen.usage_window;
    return {window, chosen.usage_due, chosen.usage_due / closing_share};
}

/// Of a name in the log.
constexpr std::size_t max_logged_bytes = 64;

std::string series_of(const char* metric, const std::string& kind)
{
    return std::string(metric) + "{kind=\"" + kind + "\"}";
}

} // namespace

struct gateway::state {
    state(wire::event_loop& events, const config::settings& chosen, object_store& store,
          duty_platform& platform, const target_protocol& protocol, store_schema known);

    wire::event_loop& event_loop;
    net::loop& loop;
    config::settings settings;
    store_schema schema;
    observe::metrics counts;
    connection_reporter connection_reports{counts};
    std::shared_ptr<net::connection_account> connections;
    std::shared_ptr<net::byte_budget> batch_memory;
    wire::peer_limits limits_of_peers();
    fleet_view fleet;
    peer_relay relay;
    member_registry members;
    target_registry targets;
    engine_view engines;
    trainer_schedules trainers;
    configuration current;
    policy::quarantine crashes{crash_limits};
    forwarder forwarding;
    request_relay hubs;
    item_scorer scorer;
    batch_runner runner;
    feed replicas;
    feed configurations;
    feed versions;
    feed batch_headers;
    feed retirements;
    feed_sync feeds;
    batch_service batches;
    duty_lease duties;
    weights_updater weights;
    engine_exchange engine_reports;
    usage_exchange runs;
    usage_reporter usage_reports;
    net::http_service peers;
    bool draining = false;
    std::map<std::string, time_point> open_retirements; ///< by VM, when they were seen here

    net::task<void> serve_peer(const net::http_request& request, net::responder& answer);
    net::task<void> run_housekeeping();
    net::task<void> mark_retired(std::string vm);
    void retire_absent();
    void report_escape(const std::string& id, const net::http_request& request, std::string_view why);
    /// Passes a change on, and notes where the object could not be read whole.
    feed::handler handler_of(const std::string& kind, void (state::*on_change)(const object_change&));
    void note_unread(const std::string& kind, const stored_object& object);
    void note_unreadable(const std::string& kind, const stored_object& object, const error& why);
    void on_replica(const object_change& change);
    void on_configuration(const object_change& change);
    void on_version(const object_change& change);
    void on_batch(const object_change& change);
    void on_retirement(const object_change& change);
    void update_trainer(const batch_header& header);
    void replicas_changed();
    bool ready() const;
    bool serves_callers() const { return !settings.gateway.front_listen.empty(); }
};

gateway::state::state(wire::event_loop& events, const config::settings& chosen, object_store& store,
                      duty_platform& platform, const target_protocol& protocol, store_schema known)
    : event_loop(events), loop(events.context()), settings(chosen), schema(std::move(known)),
      connections(std::make_shared<net::connection_account>(connection_limits(chosen.gateway))),
      batch_memory(
          std::make_shared<net::byte_budget>(batch_item_limit(chosen.gateway), connections->whole())),
      fleet(events, settings, limits_of_peers()), relay(loop, store, fleet), members(loop, relay, fleet),
      targets(loop), engines(fleet.self()),
      forwarding(loop, targets, protocol, counts, crashes, settings.failure_domain),
      hubs(
          loop, forwarding, fleet, targets, counts, [this]() -> const configuration& { return current; },
          [this] { return feeds.refresh(schema.configurations, steady::now() + max_refresh_time); },
          settings.gateway.max_direct_pairs),
      scorer(forwarding, protocol, [this]() -> const configuration& { return current; }),
      runner(loop, relay, fleet, targets, engines, protocol, scorer, counts, trainers),
      replicas(schema.replicas, handler_of(schema.replicas, &state::on_replica)),
      configurations(schema.configurations, handler_of(schema.configurations, &state::on_configuration)),
      versions(schema.versions, handler_of(schema.versions, &state::on_version)),
      batch_headers(batch_kind, handler_of(batch_kind, &state::on_batch)),
      retirements(schema.retirements, handler_of(schema.retirements, &state::on_retirement)),
      // A VM that serves no callers does not use replicas, versions or batches; their updates would be most
      // of its traffic.
      feeds(loop, store, relay, fleet, crashes,
            {{&configurations},
             {&replicas, serves_callers()},
             {&versions, serves_callers(), policy::feed_pace::frequent},
             {&batch_headers, serves_callers(), policy::feed_pace::frequent},
             {&retirements, true, policy::feed_pace::frequent}}),
      batches(loop, relay, batch_headers, runner, fleet), duties(loop, relay, fleet, settings),
      weights(
          loop, duties, targets, engines, protocol, settings,
          [this]() -> const configuration& { return current; }, trainers, counts),
      engine_reports(loop, relay, fleet, targets, runner, engines, counts),
      runs(loop, relay, fleet, duties, report_times(settings)),
      usage_reports(loop, relay, platform, duties, runs, counts, settings.vm, report_times(settings),
                    [this]() -> const configuration& { return current; }),
      peers(
          loop, [] { return net::service_limits{}; },
          [this](const net::http_request& request, net::responder& answer) {
              return serve_peer(request, answer);
          },
          [this](const net::http_request& request, std::string_view why) { report_escape({}, request, why); },
          {}, connections)
{
    runner.set_item_budget(batch_memory);
    runner.set_running_limit(settings.gateway.running_batches);
    connections->set_observer([this](net::account_event event) {
        connection_reports.on_event(event, connections->connections(), steady::now());
    });
    targets.set_refresher([this](time_point until) { return feeds.refresh(schema.replicas, until); });
    forwarding.set_relay(&hubs);
    forwarding.set_run_recorder([this](const std::string& organisation, usage::wall_time began) {
        runs.record_run(organisation, began);
    });
}

wire::peer_limits gateway::state::limits_of_peers()
{
    auto limits = peer_limits(settings.gateway);
    limits.on_closed = [this](wire::closing_cause cause) {
        const auto event = cause == wire::closing_cause::memory
                               ? net::account_event::given_up_for_memory
                               : net::account_event::given_up_for_connections;
        connection_reports.on_event(event, connections->connections(), steady::now());
    };
    return limits;
}

void gateway::state::replicas_changed()
{
    forwarding.refresh(steady::now());
    runner.notify();
}

feed::handler gateway::state::handler_of(const std::string& kind,
                                         void (state::*on_change)(const object_change&))
{
    return [this, kind, on_change](const object_change& change) {
        if (!change.removed) {
            note_unread(kind, change.object);
        }
        (this->*on_change)(change);
    };
}

// A part that is not told apart from others may be another object's.
void gateway::state::note_unread(const std::string& kind, const stored_object& object)
{
    const auto part = std::find_if(object.unread.begin(), object.unread.end(),
                                   [](const std::string& at) { return !at.empty(); });
    if (part == object.unread.end()) {
        return;
    }
    counts.add(series_of("store_entries_partly_unreadable_total", kind));
    observe::log(observe::log_level::warning, "entry_partly_unreadable",
                 {{"kind", kind},
                  {"name", object.name.substr(0, max_logged_bytes)},
                  {"revision", static_cast<std::int64_t>(object.revision)},
                  {"part", *part}});
}

void gateway::state::note_unreadable(const std::string& kind, const stored_object& object, const error& why)
{
    counts.add(series_of("store_entries_unreadable_total", kind));
    observe::log(observe::log_level::warning, "entry_unreadable",
                 {{"kind", kind},
                  {"name", object.name.substr(0, max_logged_bytes)},
                  {"revision", static_cast<std::int64_t>(object.revision)},
                  {"why", why.detail}});
}

void gateway::state::on_replica(const object_change& change)
{
    const auto& object = change.object;
    if (change.removed) {
        const auto delay = milliseconds_between(feed::now(), replicas.expiry_grace_ends_at());
        if (delay > milliseconds{0}) {
            observe::log(observe::log_level::info, "replica_removal_delayed",
                         {{"replica", object.name}, {"delay_ms", std::int64_t{delay.count()}}});
        }
        targets.remove(object.name, steady::now() + delay);
        replicas_changed();
        return;
    }
    const auto decoded = schema.decode_replica(object);
    if (!ok(decoded)) {
        // Drop only the replica of the unreadable entry.
        note_unreadable(schema.replicas, object, failure(decoded));
        targets.remove(object.name, steady::now());
        replicas_changed();
        return;
    }
    targets.update(value(decoded));
    replicas_changed();
}

void gateway::state::on_configuration(const object_change& change)
{
    if (change.removed || change.object.name != schema.current_configuration) {
        return;
    }
    auto decoded = schema.decode_configuration(change.object);
    if (!ok(decoded)) {
        note_unreadable(schema.configurations, change.object, failure(decoded));
        return;
    }
    if (value(decoded).version <= current.version) {
        return;
    }
    observe::log(observe::log_level::info, "configuration_in_force",
                 {{"version", static_cast<std::int64_t>(value(decoded).version)},
                  {"before", static_cast<std::int64_t>(current.version)},
                  {"revision", static_cast<std::int64_t>(change.object.revision)}});
    current = std::move(value(decoded));
    for (const auto& [name, object] : batch_headers.objects()) {
        if (const auto header = header_from_json(name, object.value, object.status); ok(header)) {
            update_trainer(value(header));
        }
    }
    replicas_changed();
}

// A caller chooses the model that its batch names. Only those of the configuration get a schedule and
// metrics.
void gateway::state::update_trainer(const batch_header& header)
{
    const auto& known = current.services;
    if (std::any_of(known.begin(), known.end(), [&header](const auto& entry) {
            const auto& models = entry.second.models;
            return std::find(models.begin(), models.end(), header.model) != models.end();
        })) {
        trainers.update(header);
    }
}

void gateway::state::on_version(const object_change& change)
{
    if (change.removed) {
        return;
    }
    const auto decoded = schema.decode_version(change.object);
    if (!ok(decoded)) {
        note_unreadable(schema.versions, change.object, failure(decoded));
        return;
    }
    weights.require_version(value(decoded).model, value(decoded).version);
}

void gateway::state::on_batch(const object_change& change)
{
    if (change.removed) {
        return;
    }
    const auto header = header_from_json(change.object.name, change.object.value, change.object.status);
    if (!ok(header)) {
        note_unreadable(batch_kind, change.object, failure(header));
        return;
    }
    if (runner.find(value(header).id) == nullptr) {
        weights.note_demand(value(header).model, value(header).work);
    }
    update_trainer(value(header));
    runner.update_header(value(header));
}

// A VM holds no durable state, since batches and their results are in the store. So its retirement completes
// at once.
void gateway::state::on_retirement(const object_change& change)
{
    if (change.removed || change.object.status == schema.retirement_done) {
        open_retirements.erase(change.object.name);
        return;
    }
    if (change.object.name == fleet.self()) {
        net::start(loop, mark_retired(change.object.name));
        return;
    }
    open_retirements.try_emplace(change.object.name, steady::now());
}

// Not every VM that can be retired runs a gateway: a few in each failure domain serve the fleet. Nothing is
// stored on the others, but they cannot say so themselves.
void gateway::state::retire_absent()
{
    const auto now = steady::now();
    const auto& ranked = fleet.ranked_owners(retirement_key);
    const bool first = !ranked.empty() && ranked.front() == fleet.self();
    for (auto entry = open_retirements.begin(); entry != open_retirements.end();) {
        const bool absent = fleet.find_peer(entry->first) == nullptr;
        if (!first || !absent || now - entry->second < absence_time) {
            ++entry;
            continue;
        }
        net::start(loop, mark_retired(entry->first));
        entry = open_retirements.erase(entry);
    }
}

net::task<void> gateway::state::mark_retired(std::string vm)
{
    while (true) {
        const auto marked = co_await relay.set_status(schema.retirements, vm, schema.retirement_done);
        if (ok(marked) || failure(marked).code != error_code::unavailable) {
            observe::log(observe::log_level::info, "retired",
                         {{"vm", vm}, {"outcome", ok(marked) ? "done" : describe(failure(marked))}});
            co_return;
        }
        co_await net::sleep_for(loop, retirement_retry_delay);
    }
}

bool gateway::state::ready() const
{
    return !draining && current.version > 0 && replicas.synced();
}

net::task<void> gateway::state::run_housekeeping()
{
    while (true) {
        if (members.sees_all()) {
            runner.mark_view_complete();
        }
        const auto generation = targets.generation();
        targets.remove_expired(steady::now());
        if (targets.generation() != generation) {
            replicas_changed();
        }
        fleet.set_front_open(serves_callers() && ready() && !fleet.isolated());
        runner.review_ownership();
        retire_absent();
        co_await net::sleep_for(loop, housekeeping_interval);
    }
}

net::task<void> gateway::state::serve_peer(const net::http_request& request, net::responder& answer)
{
    if (request.target == forward_path) {
        co_await hubs.serve(request, answer);
        co_return;
    }
    net::http_response response;
    if (request.target == "/relay") {
        response = co_await relay.serve(request);
    }
    else if (request.target == speculative_path) {
        response = batches.serve_speculative(request);
    }
    else if (request.target == accepted_path) {
        response = batches.serve_accepted(request);
    }
    else if (request.target == body_path) {
        response = batches.serve_body(request);
    }
    else if (request.target == results_path) {
        response = co_await batches.serve_results(request);
    }
    else if (request.target == usage_counts_path) {
        response = runs.serve_counts(request);
    }
    else if (request.target == usage_window_path) {
        response = runs.serve_window(request);
    }
    else if (request.target == engine_report_path) {
        response = engine_reports.serve(request);
    }
    else if (request.target == "/sync") {
        response = co_await feeds.serve(request);
    }
    else {
        response.status = 404;
    }
    co_await answer.send(std::move(response));
}

gateway::gateway(wire::event_loop& loop, const config::settings& settings, object_store& store,
                 duty_platform& duties, const target_protocol& protocol, store_schema schema)
    : state_(std::make_unique<state>(loop, settings, store, duties, protocol, std::move(schema)))
{
}

gateway::~gateway() = default;

result<done> gateway::open(const std::string& front_address)
{
    auto& held = *state_;
    const auto relay_address = held.peers.open(held.settings.gateway.relay_listen, address_wait);
    if (!ok(relay_address)) {
        return failure(relay_address);
    }
    held.settings.gateway.front_listen = front_address;
    const auto joined = held.fleet.open(value(relay_address), front_address, [] {});
    if (!ok(joined)) {
        return failure(joined);
    }
    held.event_loop.post([this] {
        auto& all = *state_;
        all.members.start();
        net::start(all.loop, all.run_housekeeping());
        all.feeds.start();
        if (all.serves_callers()) {
            all.duties.start();
            all.weights.start();
            all.engine_reports.start();
            all.runs.start();
            all.usage_reports.start();
        }
    });
    return done{};
}

void gateway::reload(const config::settings& changed)
{
    auto& known = state_->settings;
    const bool same_addresses = known.gateway.front_listen == changed.gateway.front_listen &&
                                known.gateway.relay_listen == changed.gateway.relay_listen;
    if (std::exchange(known.platform, changed.platform) != changed.platform) {
        state_->feeds.restart_watches();
    }
    state_->connections->set_limits(connection_limits(changed.gateway));
    state_->batch_memory->set_total(batch_item_limit(changed.gateway));
    known.gateway.advice_time = changed.gateway.advice_time;
    known.gateway.stop_grace = changed.gateway.stop_grace;
    observe::log(observe::log_level::info, "reloaded",
                 {{"advice_time_ms", std::int64_t{known.gateway.advice_time.count()}},
                  {"stop_grace_ms", std::int64_t{known.gateway.stop_grace.count()}},
                  {"needs_restart", std::int64_t{!same_addresses}}});
}

void gateway::drain(std::shared_ptr<const policy::stop_plan> plan)
{
    state_->draining = true;
    state_->forwarding.set_stop_plan(std::move(plan));
    state_->fleet.set_draining();
    state_->runner.drain();
}

void gateway::leave()
{
    state_->weights.stop();
    state_->duties.stop();
    state_->runs.flush();
    state_->fleet.leave();
}

void gateway::close()
{
    state_->fleet.close();
}

net::task<void> gateway::forward(route chosen, caller_request request, net::responder& answer)
{
    return state_->forwarding.forward(std::move(chosen), std::move(request), answer);
}

const configuration& gateway::current_configuration() const
{
    return state_->current;
}

net::task<void> gateway::refresh_configuration()
{
    return state_->feeds.refresh(state_->schema.configurations, steady::now() + max_refresh_time);
}

milliseconds gateway::configuration_age() const
{
    return milliseconds_between(state_->configurations.confirmed_at(), feed::now());
}

bool gateway::ready() const
{
    return state_->ready();
}

const std::shared_ptr<net::connection_account>& gateway::connections() const
{
    return state_->connections;
}

std::size_t gateway::batches_running() const
{
    return state_->runner.running();
}

gateway_addresses gateway::addresses() const
{
    gateway_addresses found;
    found.cache_time = state_->settings.gateway.advice_time;
    for (const auto& peer : state_->fleet.peers()) {
        if (!peer.front_address.empty() && !peer.draining && found.front_addresses.size() < max_addresses) {
            found.front_addresses.push_back(peer.front_address);
        }
    }
    return found;
}

std::string gateway::relay_address() const
{
    const auto* self = state_->fleet.find_peer(state_->fleet.self());
    return self == nullptr ? std::string{} : self->relay_address;
}

batch_service& gateway::batches()
{
    return state_->batches;
}

void gateway::state::report_escape(const std::string& id, const net::http_request& request,
                                   std::string_view why)
{
    counts.add("requests_failed_inside_total");
    observe::log(
        observe::log_level::error, "request_failed_inside",
        {{"request", id}, {"method", request.method}, {"target", request.target}, {"why", std::string(why)}});
}

void gateway::report_escape(const std::string& id, const net::http_request& request, std::string_view why)
{
    state_->report_escape(id, request, why);
}

void gateway::report_refused_body(const std::string& id, std::size_t bytes, milliseconds retry_after)
{
    state_->counts.add("bodies_refused_total");
    observe::log(observe::log_level::info, "body_refused",
                 {{"request", id},
                  {"bytes", static_cast<std::int64_t>(bytes)},
                  {"retry_after_ms", std::int64_t{retry_after.count()}}});
}

std::string gateway::metrics_page() const
{
    const auto& held = *state_;
    const auto now = feed::now();
    for (const auto* content :
         {&held.configurations, &held.replicas, &held.versions, &held.batch_headers, &held.retirements}) {
        state_->counts.set("feed_objects{kind=\"" + content->kind() + "\"}",
                           static_cast<double>(content->objects().size()));
        state_->counts.set(series_of("store_entries_left_out", content->kind()),
                           static_cast<double>(content->left_out()));
        if (content->synced()) {
            const auto age = milliseconds_between(content->confirmed_at(), now);
            state_->counts.set("feed_age_ms{kind=\"" + content->kind() + "\"}",
                               static_cast<double>(age.count()));
        }
    }
    state_->counts.set("batches_running", static_cast<double>(held.runner.running()));
    state_->counts.set("batch_item_bytes", static_cast<double>(held.batch_memory->held()));
    state_->counts.set("client_memory_bytes", static_cast<double>(held.connections->whole()->held()));
    held.trainers.record(state_->counts);
    return node::build_info("vg-gateway") + " 1\n" + held.counts.page();
}

} // namespace vanillagauge::gateway
