#include "gateway/batch_service.hpp"

#include "gateway/internal/batch_attempt.hpp"
#include "gateway/untrusted_json.hpp"
#include "observe/log.hpp"

#include <algorithm>

namespace vanillagauge::gateway {

using nlohmann::json;

namespace {

constexpr milliseconds poll_interval{50};

/// Retry delay sent to a client whose batch could not be stored.
constexpr milliseconds store_retry_after{500};

/// A part that is being stored is held as JSON, as text, in the store's answer and in what is read of it.
constexpr std::size_t storing_copies = 4;

/// Of a batch that has no room; batches end over seconds.
constexpr milliseconds full_retry_after{1000};

/// Bodies are requested rarely and of few batches; an item list takes about 200 KB.
constexpr std::size_t max_cached = 1;

constexpr milliseconds owner_call_timeout{1000};
/// An owner that takes longer is asked in vain; the store has the items too.
constexpr milliseconds body_timeout{300};

/// Guards against an organisation that submits under the id of another's batch: "accepted" would tell that
/// the other batch exists, and its results would never be this submitter's.
result<done> check_same_submitter(const batch_header& stored, const batch_header& submitted)
{
    if (stored.organisation != submitted.organisation) {
        return error{error_code::invalid_argument, run_state::not_run, "the id of the batch is in use"};
    }
    return done{};
}

/// A header that cannot be read shows that the batch is stored, no more.
result<done> check_same_submitter(const result<batch_header>& stored, const batch_header& submitted)
{
    return ok(stored) ? check_same_submitter(value(stored), submitted) : result<done>(done{});
}

error batch_full()
{
    return {error_code::unavailable, run_state::not_run, "no memory for the batch", full_retry_after};
}

error too_many_batches()
{
    return {error_code::unavailable, run_state::not_run, "too many batches run", full_retry_after};
}

/// A batch as stored, from the gateway that accepted or ended it.
struct accepted_batch {
    stored_object object;
    std::vector<batch_item> items; ///< empty for an ended batch
};

result<accepted_batch> accepted_batch_from_json(const json& body)
{
    const error unreadable{error_code::invalid_argument, run_state::not_run,
                           "cannot decode an accepted batch"};
    return decode<accepted_batch>(body, unreadable, [](const json& from) -> result<accepted_batch> {
        accepted_batch accepted;
        accepted.object = object_from_json(from.at("object"));
        auto items = items_from_parts(from.at("parts"));
        if (!ok(items)) {
            return failure(items);
        }
        accepted.items = std::move(value(items));
        return accepted;
    });
}

} // namespace

batch_service::batch_service(net::loop& loop, peer_relay& store, feed& headers, batch_runner& runner,
                             const fleet_view& fleet)
    : loop_(loop), store_(store), headers_(headers), runner_(runner), fleet_(fleet),
      results_(store, runner, fleet)
{
}

// A creation without a response may have taken effect, or may do so later; repeating it under the same name
// shows which. `not_run` errors guarantee that none of the tries wrote anything.
net::task_of<stored_object> batch_service::create_with_retry(std::string kind, std::string name,
                                                             std::function<json()> make, time_point until)
{
    auto ran = run_state::not_run;
    while (true) {
        auto value = make();
        auto created = co_await store_.create(kind, name, std::move(value));
        if (ok(created) || failure(created).code == error_code::conflict) {
            co_return created;
        }
        auto reason = failure(created);
        ran = std::max(ran, reason.ran);
        if (ran == run_state::not_run || steady::now() >= until) {
            reason.ran = ran;
            co_return reason;
        }
        co_await net::sleep_for(loop_, retry_interval);
    }
}

// A batch exists once its header does, which is created only once; resubmission finds it. The items are
// stored first, so that a gateway that reads the header can run it; items without a header are ignored. A
// header write without a response may have taken effect, so it is no refusal.
net::task_of<done> batch_service::submit(batch_submission submission)
{
    if (const auto* known = runner_.find(submission.header.id)) {
        co_return check_same_submitter(*known, submission.header);
    }
    const bool may_run = runner_.may_run_more(being_stored_);
    auto room = may_run ? storing_room(submission.items) : item_room{};
    if (!room) {
        runner_.count_refusal();
        auto refusing = refuse_unless_stored(submission.header, may_run ? batch_full() : too_many_batches());
        auto refused = co_await std::move(refusing);
        co_return refused;
    }
    const auto current = std::make_shared<attempt>(loop_);
    current->submission = std::move(submission);
    current->room = std::move(room);
    ++being_stored_;
    auto& header = current->submission.header;
    header.total = current->submission.items.size();
    header.work = expected_output(current->submission.items);
    header.owner_vm = fleet_.self();
    header.owner_incarnation = fleet_.incarnation();
    const auto id = header.id;
    net::start(loop_, speculate_when_slow(current));
    net::start(loop_, resolve_attempt(current));
    // The feed may show the batch while the call that stored it still hangs; the trainer need not wait.
    while (!current->outcome && !headers_.objects().contains(id)) {
        co_await current->changed.wait_until(steady::now() + poll_interval);
    }
    if (!current->outcome) {
        const auto* known = runner_.find(id);
        current->outcome = known != nullptr ? check_same_submitter(*known, header) : result<done>(done{});
    }
    const auto stored = *current->outcome;
    if (ok(stored)) {
        co_return stored;
    }
    auto reason = failure(stored);
    if (current->speculative) {
        reason.ran = std::max(reason.ran, run_state::in_doubt);
    }
    auto refusing = to_refusal(std::move(reason), header);
    auto refused = co_await std::move(refusing);
    co_return refused;
}

item_room batch_service::storing_room(const std::vector<batch_item>& items)
{
    std::size_t largest_part = 0;
    for (const auto& part : part_ranges(items, max_part_bytes)) {
        largest_part = std::max(largest_part, part.bytes);
    }
    return runner_.room_for(bytes_of(items) + storing_copies * largest_part);
}

// Another gateway may have accepted the batch a moment ago, which this one's feed does not show yet.
net::task_of<done> batch_service::refuse_unless_stored(batch_header header, error reason)
{
    const auto stored = co_await store_.read(batch_kind, header.id);
    if (ok(stored)) {
        const auto existing = header_from_json(header.id, value(stored).value, value(stored).status);
        co_return check_same_submitter(existing, header);
    }
    if (failure(stored).code != error_code::not_found) {
        reason.ran = run_state::in_doubt;
    }
    auto refusing = to_refusal(std::move(reason), std::move(header));
    auto refused = co_await std::move(refusing);
    co_return refused;
}

net::task_of<done> batch_service::to_refusal(error reason, batch_header header)
{
    if (reason.ran != run_state::not_run) {
        co_return reason;
    }
    const bool may_run = co_await runs_speculatively(header);
    reason.ran = may_run ? run_state::in_doubt : run_state::not_run;
    co_return reason;
}

net::task<void> batch_service::resolve_attempt(std::shared_ptr<attempt> current)
{
    auto stored = co_await store_batch(current, steady::now() + resolve_timeout);
    if (!current->outcome) {
        current->outcome = std::move(stored);
    }
    --being_stored_;
    std::vector<batch_item>().swap(current->submission.items);
    current->room.reset();
    current->changed.notify();
}

void batch_service::cache_items(attempt& current)
{
    auto& items = current.submission.items;
    if (current.room) {
        current.room->shrink_to(bytes_of(items));
        runner_.cache_items(current.submission.header.id, {std::move(items), std::move(current.room)});
    }
}

// A gateway that runs the batch all the same reads its items from the store.
void batch_service::take_items_back(attempt& current)
{
    auto unused = runner_.take_cached(current.submission.header.id);
    if (unused.room) {
        current.submission.items = std::move(unused.items);
        current.room = std::move(unused.room);
    }
}

net::task_of<done> batch_service::store_items(std::shared_ptr<attempt> current, time_point until)
{
    auto& header = current->submission.header;
    const auto& items = current->submission.items;
    const auto parts = part_ranges(items, max_part_bytes);
    header.parts = parts.size();
    for (std::size_t part = 0; part < parts.size(); ++part) {
        const auto make = [&items, &range = parts[part]] { return to_part(items, range); };
        const auto stored = co_await create_with_retry(item_kind, part_name(header.id, part), make, until);
        if (!ok(stored) && failure(stored).code != error_code::conflict) {
            co_return error{error_code::unavailable, run_state::not_run, describe(failure(stored)),
                            store_retry_after};
        }
    }
    co_return done{};
}

net::task_of<done> batch_service::store_batch(std::shared_ptr<attempt> current, time_point until)
{
    auto& header = current->submission.header;
    auto items_stored = co_await store_items(current, until);
    if (!ok(items_stored)) {
        co_return items_stored;
    }
    current->storing_header = true;
    // What runs the batch speculatively keeps it.
    const bool placed = header.owner_vm != fleet_.self() || runner_.runs(header.id);
    const auto owner = placed ? std::nullopt : other_owner(header);
    if (owner) {
        header.owner_vm = owner->vm;
        header.owner_incarnation = owner->incarnation;
    }
    if (header.owner_vm == fleet_.self() && !runner_.runs(header.id)) {
        cache_items(*current);
    }
    const auto make = [&header] { return to_json(header); };
    auto created = co_await create_with_retry(batch_kind, header.id, make, until);
    if (ok(created)) {
        if (owner) {
            json sent = to_parts(current->submission.items, max_part_bytes);
            net::start(loop_, send_to_owner(value(created), std::move(sent), std::move(current->room),
                                            owner->relay_address));
        }
        headers_.apply_own_write(std::move(value(created)));
        runner_.drop_unused_items(header.id);
        co_return done{};
    }
    take_items_back(*current);
    if (failure(created).code == error_code::conflict) {
        const auto existing = header_from_json(header.id, parse_json(failure(created).current), {});
        co_return check_same_submitter(existing, header);
    }
    auto reason = failure(created);
    reason.retry_after = store_retry_after;
    co_return reason;
}

// Without it the owner learns of the batch, or of its end, from its feed, most of a second later: it reads
// the items back, or keeps engines busy for nobody.
net::task<void> batch_service::send_to_owner(stored_object stored, json parts, item_room room,
                                             std::string address)
{
    json body{{"object", gateway::to_json(stored)}, {"parts", std::move(parts)}};
    const auto reply = co_await store_.call_peer(std::move(address), accepted_path, std::move(body),
                                                 steady::now() + owner_call_timeout);
    if (!ok(reply)) {
        observe::log(observe::log_level::warning, "owner_not_told",
                     {{"batch", stored.name}, {"why", describe(failure(reply))}});
    }
    room.reset();
}

net::http_response batch_service::serve_accepted(const net::http_request& request)
{
    net::http_response response;
    response.body = "{}";
    auto read = accepted_batch_from_json(parse_peer_json(request.body));
    if (!ok(read)) {
        observe::log(observe::log_level::warning, "accepted_call_refused",
                     {{"why", describe(failure(read))}});
        response.status = 400;
        response.body = failure(read).detail;
        return response;
    }
    auto& accepted = value(read);
    const auto name = accepted.object.name;
    if (!accepted.items.empty() && !runner_.runs(name)) {
        if (auto room = runner_.room_for(bytes_of(accepted.items))) {
            runner_.cache_items(name, {std::move(accepted.items), std::move(room)});
        }
    }
    headers_.apply_own_write(std::move(accepted.object));
    runner_.drop_unused_items(name);
    return response;
}

net::task_of<batch_header> batch_service::find(std::string batch)
{
    const auto known = headers_.objects().find(batch);
    if (known != headers_.objects().end()) {
        co_return header_from_json(batch, known->second.value, known->second.status);
    }
    const auto stored = co_await store_.read(batch_kind, batch);
    if (!ok(stored)) {
        co_return failure(stored);
    }
    co_return header_from_json(batch, value(stored).value, value(stored).status);
}

net::task_of<std::string> batch_service::organisation_of(std::string batch)
{
    const auto header = co_await find(std::move(batch));
    if (!ok(header)) {
        co_return failure(header);
    }
    co_return value(header).organisation;
}

net::task_of<result_page> batch_service::read(std::string batch, std::size_t first, milliseconds wait)
{
    const auto header = co_await find(batch);
    if (!ok(header)) {
        co_return failure(header);
    }
    co_return co_await results_.read(value(header), first, wait);
}

net::task_of<std::vector<batch_item>> batch_service::items_of(batch_header header)
{
    const auto cached = std::find_if(cache_.begin(), cache_.end(), [&header](const cached_items& entry) {
        return entry.batch == header.id;
    });
    if (cached != cache_.end()) {
        co_return cached->held.items;
    }
    cache_.resize(std::min(cache_.size(), max_cached - 1));
    auto room = runner_.room_for(header.parts * max_part_bytes);
    if (!room) {
        co_return batch_full();
    }
    auto read = co_await read_items(store_, header);
    if (!ok(read)) {
        co_return failure(read);
    }
    auto& items = value(read);
    room->shrink_to(bytes_of(items));
    cache_.push_front({header.id, {items, std::move(room)}});
    if (cache_.size() > max_cached) {
        cache_.pop_back();
    }
    co_return items;
}

// The encoded body; `unavailable` if the owner does not know it.
net::task_of<std::string> batch_service::body_from_owner(const batch_header& header, const std::string& item)
{
    const error unknown{error_code::unavailable, run_state::not_run, "the owner does not know the item"};
    const auto owner = fleet_.owner_of(header.owner_vm, header.owner_incarnation, owner_key(header));
    if (owner == fleet_.self()) {
        auto body = runner_.find_body(header.id, item);
        co_return body ? result<std::string>(std::move(*body)) : unknown;
    }
    const auto* peer = fleet_.find_peer(owner);
    if (peer == nullptr || peer->relay_address.empty()) {
        co_return unknown;
    }
    json wanted{{"batch", header.id}, {"item", item}};
    const auto answer = co_await store_.call_peer(peer->relay_address, body_path, std::move(wanted),
                                                  steady::now() + body_timeout);
    if (!ok(answer) || !member_or_null(value(answer), "body").is_string()) {
        co_return unknown;
    }
    co_return string_or_empty(value(answer), "body");
}

net::http_response batch_service::serve_body(const net::http_request& request) const
{
    net::http_response response;
    const auto wanted = parse_peer_json(request.body);
    const auto body = runner_.find_body(string_or_empty(wanted, "batch"), string_or_empty(wanted, "item"));
    response.body = body ? json{{"body", *body}}.dump() : "{}";
    return response;
}

net::task_of<std::string> batch_service::item_body(std::string batch, std::string item)
{
    const auto header = co_await find(batch);
    if (!ok(header)) {
        co_return failure(header);
    }
    const auto owned = co_await body_from_owner(value(header), item);
    if (ok(owned)) {
        co_return decode_base64(value(owned));
    }
    const auto items = co_await items_of(value(header));
    if (!ok(items)) {
        co_return failure(items);
    }
    for (const auto& entry : value(items)) {
        if (entry.id == item) {
            co_return decode_base64(entry.body_base64);
        }
    }
    co_return error{error_code::not_found, run_state::not_run, "no such item in the batch"};
}

net::task_of<done> batch_service::end(std::string batch)
{
    const auto header = co_await find(batch);
    if (!ok(header)) {
        co_return failure(header);
    }
    if (value(header).ended) {
        co_return done{};
    }
    const json status{{"ended", true}};
    auto ended = co_await store_.set_status(batch_kind, batch, status);
    if (!ok(ended)) {
        co_return failure(ended);
    }
    const auto* owner = fleet_.find_peer(value(header).owner_vm);
    if (owner != nullptr && owner->vm != fleet_.self()) {
        net::start(loop_, send_to_owner(value(ended), json::array(), nullptr, owner->relay_address));
    }
    headers_.apply_own_write(std::move(value(ended)));
    co_return done{};
}

} // namespace vanillagauge::gateway
