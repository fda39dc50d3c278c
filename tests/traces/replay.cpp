#include "replay.hpp"

#include <fstream>

namespace vanillagauge::traces {
namespace {

using nlohmann::json;

time_point at(const json& line, const char* field = "us")
{
    return time_point(std::chrono::microseconds(line.at(field).get<std::int64_t>()));
}

class replayer {
public:
    outcome run(const std::string& path)
    {
        std::ifstream file(path);
        std::string text;
        std::getline(file, text);
        found_.trainer = json::parse(text).at("trainer");
        while (std::getline(file, text)) {
            ++number_;
            const json line = json::parse(text);
            const auto subject = line.at("subject").get<std::string>();
            feed(subject, line);
        }
        return found_;
    }

private:
    outcome found_;
    int number_ = 1;
    std::map<std::string, samples::job_state> jobs_;
    std::map<std::string, policy::wave_fence> fences_;
    std::map<std::string, samples::stream_validator> streams_;
    std::map<samples::attempt_id, samples::sample_content> made_;

    void feed(const std::string& subject, const json& line)
    {
        if (subject == "job") {
            job(line);
        }
        else if (subject == "fence") {
            fence(line);
        }
        else if (subject == "wave") {
            const auto version = line.at("in_force").get<std::uint64_t>();
            found_.orders_failed += version == 0 ? 1 : 0;
            auto& held = found_.in_force[line.at("engine").get<std::string>()];
            held = version == 0 ? held : version;
        }
        else {
            stream(line);
        }
    }

    template <class Value>
    void compare(const char* what, const Value& recorded, const Value& replayed)
    {
        if (recorded != replayed) {
            found_.differences.push_back("line " + std::to_string(number_) + ": " + what);
        }
    }

    static samples::cursor cursor_of(const json& line, const samples::job_state& state)
    {
        auto position = samples::empty_cursor(state.shape().job, line.at("step").get<std::int64_t>(),
                                              state.shape().slots());
        const auto bits = line.at("taken").get<std::string>();
        for (std::size_t place = 0; place < bits.size(); ++place) {
            position.taken[place] = bits[place] == '1';
        }
        return position;
    }

    static std::vector<samples::attempt_id> ids(const std::vector<samples::attempt>& streams)
    {
        std::vector<samples::attempt_id> all;
        all.reserve(streams.size());
        for (const auto& stream : streams) {
            all.push_back(stream.id);
        }
        return all;
    }

    void open(const json& line)
    {
        samples::job_shape shape;
        line.at("job").get_to(shape.job);
        line.at("group_size").get_to(shape.group_size);
        line.at("groups").get_to(shape.groups);
        line.at("max_staleness").get_to(shape.max_staleness);
        line.at("planned_staleness").get_to(shape.planned_staleness);
        line.at("lookahead").get_to(shape.lookahead);
        jobs_.insert_or_assign(line.at("vm").get<std::string>(), samples::job_state(shape));
    }

    void pull(const json& line, samples::job_state& state)
    {
        const auto position = cursor_of(line, state);
        found_.announced = std::max(found_.announced, line.at("version").get<std::uint64_t>());
        const auto ended = state.on_pull(position, line.at("version").get<std::uint64_t>());
        compare("streams ended by a pull", line.at("ended").get<std::vector<samples::attempt_id>>(),
                ids(ended));
        for (std::int64_t step = 0; step < position.step; ++step) {
            for (std::size_t place = 0; place < state.shape().slots(); ++place) {
                found_.unserved_in_closed_steps += found_.served.contains({step, place}) ? 0 : 1;
            }
        }
    }

    void collect(const json& line, samples::job_state& state)
    {
        const auto position = cursor_of(line, state);
        const auto version = line.at("version").get<std::uint64_t>();
        const auto taken = state.collect(position, version, line.at("most").get<std::size_t>());
        std::vector<std::size_t> places;
        for (const auto& item : taken.samples) {
            places.push_back(item.slot.index);
            found_.served_after_acknowledgement += position.taken[item.slot.index] ? 1 : 0;
            found_.served_again += found_.served.insert({item.slot.step, item.slot.index}).second ? 0 : 1;
            const auto bound = state.shape().max_staleness;
            found_.stale_served += samples::fresh(item.sample.spans.oldest(), version, bound) ? 0 : 1;
        }
        compare("slots served", line.at("served").get<std::vector<std::size_t>>(), places);
    }

    void begin(const json& line, samples::job_state& state, bool race)
    {
        const samples::slot_key slot{line.at("step").get<std::int64_t>(),
                                     line.at("place").get<std::size_t>()};
        const auto engine = line.at("engine").get<std::string>();
        const auto id = line.at("id").get<samples::attempt_id>();
        if (race) {
            const auto second = state.race(slot, engine, at(line));
            compare("race", id, second ? second->id : samples::attempt_id{0});
            ++found_.raced;
            return;
        }
        const auto next = state.next_slot();
        compare("slot to start next", true, next.has_value() && next->slot == slot);
        const auto stream = state.begin(slot, engine, at(line));
        compare("attempt", id, stream.id);
        compare("text resumed from", line.at("resumed").get<int>(), stream.resumed_tokens);
        found_.resumed_with_text += stream.resumed_tokens > 0 ? 1 : 0;
    }

    void generated(const json& line, samples::job_state& state)
    {
        const auto id = line.at("id").get<samples::attempt_id>();
        std::vector<samples::attempt> losers;
        const auto made = state.on_generated(id, losers);
        compare("whole in time", line.at("in_time").get<bool>(), made.has_value());
        compare("losers", line.at("losers").get<std::vector<samples::attempt_id>>(), ids(losers));
        if (made) {
            made_[id] = *made;
        }
    }

    void stragglers(const json& line, const samples::job_state& state)
    {
        const auto chosen = policy::find_stragglers(
            rollout::step_view_of(state, line.at("free_places").get<std::size_t>(), at(line)));
        json all = json::array();
        for (const auto& decision : chosen) {
            all.push_back(
                {{"id", decision.attempt}, {"race", decision.action == policy::straggler_action::race}});
        }
        compare("stragglers", line.at("chosen"), all);
    }

    void job(const json& line)
    {
        const auto event = line.at("event").get<std::string>();
        if (event == "open") {
            open(line);
            return;
        }
        auto& state = jobs_.at(line.at("vm").get<std::string>());
        const auto id = line.value("id", samples::attempt_id{0});
        if (event == "pull") {
            pull(line, state);
        }
        else if (event == "collect") {
            collect(line, state);
        }
        else if (event == "begin" || event == "race") {
            begin(line, state, event == "race");
        }
        else if (event == "chunk") {
            state.on_chunk(id, {}, line.at("version").get<std::uint64_t>(), line.at("tokens").get<int>(),
                           at(line));
        }
        else if (event == "generated") {
            generated(line, state);
        }
        else if (event == "ready") {
            state.on_ready(id, made_[id]);
        }
        else if (event == "broken") {
            found_.broken += state.find(id) ? 1 : 0;
            state.on_failed(id, line.at("keep").get<bool>());
        }
        else if (event == "interrupt") {
            ++found_.interrupted;
            state.interrupt(id);
        }
        else if (event == "stragglers") {
            stragglers(line, state);
        }
        else {
            found_.differences.push_back("unknown event " + event);
        }
    }

    policy::wave_fence& fence_of(const json& line)
    {
        const auto self = line.at("holder_self").get<std::string>();
        policy::fence_settings settings;
        settings.self = self;
        line.at("enforced").get_to(settings.enforced);
        return fences_.try_emplace(self, settings).first->second;
    }

    void fence(const json& line)
    {
        auto& state = fence_of(line);
        const auto event = line.at("event").get<std::string>();
        if (event == "tick") {
            state.on_view(line.at("ours").get<bool>(), at(line, "updated_us"), at(line));
            compare("action at the store", line.at("action").get<int>(),
                    static_cast<int>(state.next(at(line))));
        }
        else if (event == "read") {
            state.on_read(line.at("holder").get<std::string>(), line.at("version").get<std::uint64_t>(),
                          at(line));
        }
        else if (event == "written") {
            state.on_written(line.at("version").get<std::uint64_t>(), at(line, "asked_us"));
        }
        else if (event == "conflict") {
            ++found_.conflicts;
            state.on_conflict();
        }
        else if (event == "failed") {
            ++found_.store_failures;
            state.on_failed(at(line));
        }
        else if (event == "number") {
            state.on_fencing_token(line.at("seen").get<std::uint64_t>());
        }
        else {
            may_order(line, state);
        }
    }

    void may_order(const json& line, policy::wave_fence& state)
    {
        state.on_view(line.at("ours").get<bool>(), at(line, "updated_us"), at(line));
        const auto number = state.fencing_token(at(line));
        compare("leave to order", line.at("number"), number ? json(*number) : json());
        ++(number ? found_.orders_allowed : found_.orders_refused);
        found_.orders_by_vm[line.at("vm").get<std::string>()] += number ? 1 : 0;
    }

    void stream(const json& line)
    {
        const auto name = line.at("stream").get<std::string>();
        auto& check = streams_.try_emplace(name, name).first->second;
        const auto verdict =
            check.check({line.at("request_id").get<std::string>(), line.at("sequence").get<int>(),
                         line.at("tokens").get<int>(), line.at("version").get<std::uint64_t>(),
                         line.at("done").get<bool>(), line.at("total").get<int>()});
        compare("verdict on a chunk", line.at("verdict").get<int>(), static_cast<int>(verdict));
        found_.crossed += verdict == samples::chunk_verdict::mismatched ? 1 : 0;
    }
};

} // namespace

outcome replay(const std::string& path)
{
    return replayer().run(path);
}

} // namespace vanillagauge::traces
