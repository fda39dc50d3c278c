#include "gateway/batch_runner.hpp"

#include "fleet/rendezvous.hpp"
#include "observe/log.hpp"
#include "policy/engine_speed.hpp"
#include "policy/step_placement.hpp"

#include <algorithm>

namespace vanillagauge::gateway {
namespace {

/// How often a batch looks at what is late, silent or to be listed.
constexpr milliseconds look_every{50};

/// Between two writes of results. Trainers read about twice a second; a write costs a call.
constexpr milliseconds list_every{400};
/// A result whose group is not whole waits this long for others to be listed with it.
constexpr milliseconds list_wait{600};

/// A full engine refuses until a request of its ends, which takes some hundred milliseconds.
constexpr milliseconds full_back_off{100};
/// A replica whose connection failed: crashed ones are back after some seconds.
constexpr milliseconds broken_back_off{500};

/// An engine makes an event in some 40 ms and reads a prompt in a few; a second of silence is a hung run.
constexpr milliseconds silence{1000};
/// The first event may wait in the engine's line.
constexpr milliseconds first_silence{2000};

/// A run this old is moved from a slow engine, once others have room: what it has is kept, and the prompt is
/// read again in a few milliseconds. Shorter ones are over soon.
constexpr milliseconds least_run{600};

/// A gateway that has just started knows nobody else yet and would take every batch for its own. After a loss
/// of power of the whole fleet seven fronts ran each open batch, 842 runs for 184 items, and the steps behind
/// them came late. Members find each other in about a second.
constexpr milliseconds view_settles{1500};

constexpr milliseconds store_retry{300};
constexpr milliseconds connect_time{1000};

double slow_gap_of(const std::vector<target_ref>& engines)
{
    std::vector<double> gaps;
    gaps.reserve(engines.size());
    for (const auto& engine : engines) {
        gaps.push_back(engine->piece_gap_ms);
    }
    return policy::slow_gap(std::move(gaps));
}

std::uint64_t prompt_hash(const batch_item& item)
{
    return hash64(item.group.empty() ? item.id : item.group);
}

} // namespace

/// An item's run at a replica, for those that must end it early.
struct batch_runner::stream {
    std::shared_ptr<net::http_connection> connection;
    target_ref at;
    time_point began{};
    time_point last_event{};
    bool heard = false;
};

struct batch_runner::run {
    run(net::loop& loop, batch_header header, std::vector<batch_item> items)
        : progress(std::move(header), std::move(items)), changed(loop)
    {
    }

    batch_progress progress;
    net::signal changed;
    std::map<std::size_t, std::shared_ptr<stream>> streams; ///< by the item's place
    bool ended = false;
    bool listing = false;
    time_point last_listing{};
    time_point first_unlisted{};
    wall_time give_up_at{};

    void cancel_streams()
    {
        for (auto& [place, open] : streams) {
            if (open->connection) {
                open->connection->close();
            }
        }
    }
};

batch_runner::batch_runner(net::loop& loop, object_store& store, const fleet_view& fleet,
                           const target_registry& targets, const target_protocol& protocol,
                           observe::metrics& counts)
    : loop_(loop), store_(store), fleet_(fleet), targets_(targets), protocol_(protocol), counts_(counts),
      started_(steady::now())
{
}

void batch_runner::keep_items(const std::string& batch, std::vector<batch_item> items)
{
    kept_items_[batch] = std::move(items);
}

const batch_header* batch_runner::find(const std::string& batch) const
{
    const auto found = headers_.find(batch);
    return found == headers_.end() ? nullptr : &found->second;
}

// The gateway that accepted a batch runs it. When that process is gone, one of the others does, the same by
// every view that agrees on the members. Two that run it waste work and cannot list an item twice.
bool batch_runner::is_mine(const batch_header& header) const
{
    if (fleet_.lives(header.owner_vm, header.owner_incarnation)) {
        return header.owner_vm == fleet_.self();
    }
    if (steady::now() - started_ < view_settles) {
        return false;
    }
    std::vector<std::string> able;
    for (const auto& peer : fleet_.peers()) {
        if (!peer.draining && !peer.front_address.empty()) {
            able.push_back(peer.vm);
        }
    }
    const auto ranked = fleet::ranked_owners(header.id, std::move(able));
    return !ranked.empty() && ranked.front() == fleet_.self();
}

void batch_runner::take_header(const batch_header& header)
{
    headers_[header.id] = header;
    const auto found = active_.find(header.id);
    if (header.ended) {
        kept_items_.erase(header.id);
        finished_.erase(header.id);
        if (found != active_.end() && found->second) {
            end(found->second, "ended by its trainer");
        }
        return;
    }
    if (found == active_.end() && !finished_.contains(header.id) && is_mine(header)) {
        start(header);
    }
}

void batch_runner::review()
{
    for (const auto& [id, header] : headers_) {
        if (!header.ended && !finished_.contains(id) && !active_.contains(id) && is_mine(header)) {
            start(header);
        }
    }
}

void batch_runner::start(const batch_header& header)
{
    if (!taking_) {
        return;
    }
    active_[header.id] = nullptr;
    observe::log(observe::log_level::info, "batch_taken",
                 {{"batch", header.id},
                  {"step", static_cast<std::int64_t>(header.step)},
                  {"items", static_cast<std::int64_t>(header.total)},
                  {"accepted_by", header.owner_vm},
                  {"least_version", static_cast<std::int64_t>(header.least_version)}});
    net::start(loop_, drive(header));
}

net::task_of<std::vector<batch_item>> batch_runner::load_items(const batch_header& header)
{
    const auto kept = kept_items_.find(header.id);
    if (kept != kept_items_.end()) {
        auto items = std::move(kept->second);
        kept_items_.erase(kept);
        co_return items;
    }
    std::vector<batch_item> items;
    for (std::size_t part = 0; part < header.parts; ++part) {
        const auto stored = co_await store_.read(item_kind, part_name(header.id, part));
        if (!ok(stored)) {
            co_return failure(stored);
        }
        auto parsed = items_from_json(value(stored).value);
        if (!ok(parsed)) {
            co_return failure(parsed);
        }
        std::move(value(parsed).begin(), value(parsed).end(), std::back_inserter(items));
    }
    co_return items;
}

net::task<bool> batch_runner::load_log(run& batch)
{
    const auto kind = log_kind(batch.progress.header().id);
    std::string after;
    while (true) {
        const auto page = co_await store_.list(kind, after);
        if (!ok(page)) {
            co_return false;
        }
        for (const auto& object : value(page).objects) {
            after = object.name;
            const auto segment = segment_from_json(object.name, object.value);
            if (ok(segment)) {
                batch.progress.take_segment(value(segment));
            }
        }
        if (!value(page).more) {
            co_return true;
        }
    }
}

net::task<void> batch_runner::drive(batch_header header)
{
    const bool fresh = kept_items_.contains(header.id);
    auto items = co_await load_items(header);
    while (!ok(items)) {
        observe::log(observe::log_level::warning, "batch_items_unread",
                     {{"batch", header.id}, {"why", describe(failure(items))}});
        co_await net::sleep_for(loop_, store_retry);
        const auto* now_known = find(header.id);
        if (now_known != nullptr && now_known->ended) {
            active_.erase(header.id);
            co_return;
        }
        items = co_await load_items(header);
    }
    const auto batch = std::make_shared<run>(loop_, header, std::move(value(items)));
    batch->give_up_at = header.accepted + header.max_age;
    bool loaded = fresh;
    while (!loaded) {
        loaded = co_await load_log(*batch);
        if (!loaded) {
            co_await net::sleep_for(loop_, store_retry);
        }
    }
    const auto* known = find(header.id);
    if (known != nullptr && known->ended) {
        active_.erase(header.id);
        co_return;
    }
    active_[header.id] = batch;
    co_await work_through(batch);
}

net::task<void> batch_runner::work_through(run_ref batch)
{
    while (!batch->ended) {
        place_items();
        move_stragglers(*batch);
        give_up_old(*batch);
        const auto now = steady::now();
        auto& progress = batch->progress;
        if (progress.unlisted_results() == 0) {
            batch->first_unlisted = now;
        }
        const bool whole = progress.unlisted_results() + progress.listed() >= progress.header().total;
        const bool due = progress.group_waits() || whole || now - batch->first_unlisted >= list_wait;
        const bool rested = now - batch->last_listing >= list_every || whole;
        if (!batch->listing && progress.unlisted_results() > 0 && due && rested) {
            batch->listing = true;
            batch->last_listing = now;
            net::start(loop_, list_results(batch));
        }
        if (progress.all_listed()) {
            finished_.insert(progress.header().id);
            end(batch, "all items are listed");
            break;
        }
        co_await batch->changed.wait_until(now + look_every);
    }
}

void batch_runner::end(const run_ref& batch, const char* why)
{
    if (batch->ended) {
        return;
    }
    batch->ended = true;
    batch->cancel_streams();
    const auto& progress = batch->progress;
    observe::log(observe::log_level::info, "batch_done",
                 {{"batch", progress.header().id},
                  {"why", std::string(why)},
                  {"listed", static_cast<std::int64_t>(progress.listed())},
                  {"items", static_cast<std::int64_t>(progress.header().total)}});
    counts_.add("batches_done_total");
    batch->changed.notify();
    active_.erase(progress.header().id);
    wake();
}

void batch_runner::wake()
{
    for (const auto& [id, batch] : active_) {
        if (batch) {
            batch->changed.notify();
        }
    }
}

bool batch_runner::someone_waits() const
{
    for (const auto& [id, batch] : active_) {
        if (!batch) {
            continue;
        }
        const auto& items = batch->progress.items();
        if (std::any_of(items.begin(), items.end(),
                        [](const item_progress& entry) { return entry.state == work_state::waiting; })) {
            return true;
        }
    }
    return false;
}

// The batch that is due first goes first: its trainer stands idle until it is whole.
void batch_runner::place_items()
{
    std::vector<run_ref> batches;
    for (const auto& [id, batch] : active_) {
        if (batch && !batch->ended) {
            batches.push_back(batch);
        }
    }
    std::sort(batches.begin(), batches.end(), [](const run_ref& left, const run_ref& right) {
        const auto& a = left->progress.header();
        const auto& b = right->progress.header();
        return a.accepted + a.result_time < b.accepted + b.result_time;
    });
    for (const auto& batch : batches) {
        const auto engines = targets_.of_service(batch->progress.header().service);
        place_items_of(batch, engines);
    }
}

bool batch_runner::place_items_of(const run_ref& batch, const std::vector<target_ref>& engines)
{
    const auto now = steady::now();
    auto& progress = batch->progress;
    std::vector<policy::engine_view> views;
    for (const auto& engine : engines) {
        policy::engine_view view;
        view.id = engine->info.lifetime();
        view.in_flight = engine->streams;
        view.limit = engine->info.slots;
        view.version = engine->version_of(progress.header().model);
        view.usable = now >= engine->back_off_until;
        views.push_back(std::move(view));
    }
    // An engine's step grows by some 0.3% with each request that it runs, so the fast ones are filled first.
    auto fast = views;
    const auto slow = slow_gap_of(engines);
    for (std::size_t place = 0; place < engines.size(); ++place) {
        fast[place].usable = fast[place].usable && (slow <= 0 || engines[place]->piece_gap_ms < slow);
    }
    for (const auto place : progress.order()) {
        auto& entry = progress.items()[place];
        if (entry.state != work_state::waiting || entry.not_before > now) {
            continue;
        }
        policy::sample_view sample;
        sample.prefix_hash = prompt_hash(entry.item);
        sample.least_version = progress.header().least_version;
        sample.avoid = entry.avoid;
        auto chosen = policy::place_sample(fast, sample);
        if (!chosen) {
            chosen = policy::place_sample(views, sample);
        }
        if (!chosen) {
            if (entry.avoid.empty()) {
                return false;
            }
            entry.avoid.clear();
            continue;
        }
        ++fast[*chosen].in_flight;
        ++views[*chosen].in_flight;
        ++engines[*chosen]->streams;
        progress.start(place);
        net::start(loop_, run_item(batch, place, engines[*chosen]));
    }
    return true;
}

net::task<void> batch_runner::run_item(run_ref batch, std::size_t place, target_ref at)
{
    const auto open = std::make_shared<stream>();
    open->at = at;
    open->began = steady::now();
    open->last_event = open->began;
    batch->streams[place] = open;
    auto taken = co_await at->pool.take(steady::now() + connect_time);
    if (auto* connection = std::get_if<std::shared_ptr<net::http_connection>>(&taken)) {
        open->connection = *connection;
        if (!batch->ended && batch->progress.items()[place].state == work_state::running) {
            co_await read_answer(batch, place, at, open);
        }
    }
    else {
        at->back_off_until = steady::now() + broken_back_off;
        batch->progress.release(place, {}, at->info.lifetime());
    }
    --at->streams;
    batch->streams.erase(place);
    batch->changed.notify();
}

void batch_runner::take_failure(run& batch, std::size_t place, target_ref at, int status, bool not_run)
{
    const auto now = steady::now();
    const auto& item = batch.progress.items()[place].item;
    if (not_run) {
        at->back_off_until = now + full_back_off;
        batch.progress.release(place, {}, at->info.lifetime());
        return;
    }
    observe::log(observe::log_level::warning, "item_failed",
                 {{"request", item.id},
                  {"batch", batch.progress.header().id},
                  {"replica", at->info.lifetime()},
                  {"status", std::int64_t{status}}});
    constexpr int never = 422;
    constexpr int attempt_failed = 500;
    if (status == never || (status == attempt_failed && batch.progress.fail_attempt(place))) {
        batch.progress.terminate(place);
        return;
    }
    batch.progress.release(place, now + full_back_off, at->info.lifetime());
}

void batch_runner::log_completed(const batch_progress& progress, std::size_t place, const stream& open) const
{
    const auto& entry = progress.items()[place];
    const auto run_ms = std::chrono::duration_cast<milliseconds>(steady::now() - open.began);
    const auto age_ms = std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now() -
                                                                 progress.header().accepted);
    observe::log(observe::log_level::info, "item_completed",
                 {{"request", entry.item.id},
                  {"batch", progress.header().id},
                  {"replica", open.at->info.lifetime()},
                  {"runs", std::int64_t{entry.runs}},
                  {"events", static_cast<std::int64_t>(entry.events)},
                  {"run_ms", std::int64_t{run_ms.count()}},
                  {"age_ms", std::int64_t{age_ms.count()}},
                  {"newest_version", static_cast<std::int64_t>(entry.current_version)}});
}

// The text of an item may be made by several runs, each asked to go on behind the event that stands here.
// What does not continue it is dropped with its connection.
net::task<void> batch_runner::read_answer(run_ref batch, std::size_t place, target_ref at,
                                          std::shared_ptr<stream> open)
{
    auto& progress = batch->progress;
    const auto lifetime = at->info.lifetime();
    net::http_request request;
    attempt_request sent;
    {
        auto& entry = progress.items()[place];
        request.method = "POST";
        request.target = entry.item.path;
        request.fields.add("Host", progress.header().host);
        for (const auto& field : entry.item.fields) {
            request.fields.add(field.name, field.value);
        }
        auto body = decode_base64(entry.item.body_base64);
        request.body = ok(body) ? std::move(value(body)) : std::string{};
        sent.attempt_id = entry.item.id;
        sent.replica_id = at->info.id;
        sent.resume_after = entry.last_event;
    }
    request = protocol_.to_replica(std::move(request), sent);
    auto& connection = *open->connection;
    const auto written = co_await connection.send(request, steady::now() + connect_time);
    net::http_result<net::response_head> read = net::http_failure{};
    if (std::holds_alternative<done>(written)) {
        read = co_await connection.read_head(steady::now() + first_silence);
    }
    const auto* head = std::get_if<net::response_head>(&read);
    if (head == nullptr) {
        if (!connection.reused()) {
            at->back_off_until = steady::now() + broken_back_off;
        }
        progress.release(place, {}, lifetime);
        co_return;
    }
    const auto marks = protocol_.marks(head->status, head->fields, sent.attempt_id);
    if (marks.weights_version > 0) {
        at->saw_version(progress.header().model, marks.weights_version);
    }
    const auto idle = head->keep_alive ? net::idle_time_of(head->fields, seconds(4)) : duration{0};
    if (head->status != 200 || marks.not_run) {
        const auto status = head->status;
        const auto rest = co_await connection.read_body(64U << 10U, steady::now() + connect_time);
        if (std::holds_alternative<std::string>(rest)) {
            at->pool.give_back(open->connection, idle);
        }
        take_failure(*batch, place, at, status, marks.not_run);
        co_return;
    }
    const bool sound = marks.echoes_attempt && marks.authenticated;
    const auto began = sound ? progress.begin_run(place, marks.weights_version) : run_break::wrong_event;
    if (began != run_break::none) {
        if (began == run_break::mixed_weights) {
            progress.restart(place);
        }
        connection.close();
        progress.release(place, steady::now() + full_back_off, lifetime);
        co_return;
    }
    net::event_reader reader;
    while (!batch->ended && progress.items()[place].state == work_state::running) {
        const auto patience = open->heard ? silence : first_silence;
        auto piece = co_await connection.read_piece(steady::now() + patience);
        auto* bytes = std::get_if<net::body_piece>(&piece);
        if (bytes == nullptr || progress.items()[place].state != work_state::running) {
            break;
        }
        for (const auto& event : reader.take(bytes->bytes)) {
            const auto broken = progress.take_event(place, event, protocol_.weights_version(event));
            if (broken != run_break::none) {
                progress.restart(place);
                connection.close();
                progress.release(place, steady::now() + full_back_off, lifetime);
                co_return;
            }
            const auto now = steady::now();
            if (open->heard) {
                at->saw_gap(now - open->last_event);
            }
            open->heard = true;
            open->last_event = now;
        }
        if (bytes->last && !reader.mid_event()) {
            at->saw_version(progress.header().model, progress.items()[place].current_version);
            log_completed(progress, place, *open);
            progress.complete(place);
            counts_.add("items_completed_total");
            at->pool.give_back(open->connection, idle);
            co_return;
        }
        if (bytes->last) {
            break;
        }
    }
    connection.close();
    progress.release(place, {}, lifetime);
}

// An item older than its route allows may be given up; the trainer hears of it rather than wait for ever.
void batch_runner::give_up_old(run& batch)
{
    if (batch.progress.header().max_age.count() <= 0 || std::chrono::system_clock::now() < batch.give_up_at) {
        return;
    }
    for (std::size_t place = 0; place < batch.progress.items().size(); ++place) {
        const auto state = batch.progress.items()[place].state;
        if (state == work_state::waiting || state == work_state::running) {
            observe::log(
                observe::log_level::warning, "item_given_up",
                {{"request", batch.progress.items()[place].item.id}, {"batch", batch.progress.header().id}});
            batch.progress.terminate(place);
        }
    }
    batch.cancel_streams();
}

// Load pattern: a few engines several times slower than the rest, and a step that waits for its last items.
// Without moving them, a long item on a slow engine takes longer than the whole step may. Only while nothing
// waits for a place: then the places of faster engines are free.
void batch_runner::move_stragglers(run& batch)
{
    if (batch.streams.empty() || someone_waits()) {
        return;
    }
    const auto engines = targets_.of_service(batch.progress.header().service);
    const auto slow_from = slow_gap_of(engines);
    if (slow_from <= 0) {
        return;
    }
    const auto now = steady::now();
    for (const auto& entry : batch.streams) {
        const auto& open = entry.second;
        const bool slow = open->at->piece_gap_ms >= slow_from;
        if (!slow || !open->connection || now - open->began < least_run) {
            continue;
        }
        const bool better = std::any_of(engines.begin(), engines.end(), [&](const target_ref& engine) {
            return engine != open->at && engine->streams < engine->info.slots &&
                   now >= engine->back_off_until && engine->piece_gap_ms > 0 &&
                   engine->piece_gap_ms < slow_from &&
                   engine->version_of(batch.progress.header().model) >= batch.progress.header().least_version;
        });
        if (better) {
            open->connection->close();
            return;
        }
    }
}

net::task<void> batch_runner::list_results(run_ref batch)
{
    auto& progress = batch->progress;
    const auto writer = fleet_.self() + "/" + std::to_string(fleet_.incarnation());
    auto segment = progress.next_segment(writer);
    if (segment) {
        const auto kind = log_kind(progress.header().id);
        const auto name = segment_name(segment->first);
        const auto written = co_await store_.create(kind, name, to_json(*segment));
        if (ok(written)) {
            progress.take_segment(*segment);
        }
        else if (failure(written).code == error_code::conflict) {
            // Another owner, or a write of this one that was thought lost, has filled the position.
            const auto standing = nlohmann::json::parse(failure(written).current, nullptr, false);
            const auto parsed = segment_from_json(name, standing);
            if (ok(parsed)) {
                progress.take_segment(value(parsed));
            }
            observe::log(
                observe::log_level::info, "segment_stood",
                {{"batch", progress.header().id}, {"first", static_cast<std::int64_t>(segment->first)}});
        }
        else {
            observe::log(observe::log_level::warning, "segment_unwritten",
                         {{"batch", progress.header().id}, {"why", describe(failure(written))}});
            co_await net::sleep_for(loop_, store_retry);
        }
        progress.segment_failed();
    }
    batch->listing = false;
    batch->changed.notify();
}

} // namespace vanillagauge::gateway
