#include "rollout/sample_message.hpp"

namespace vanillagauge::rollout {

v1::Sample to_message(const samples::delivered& item, const config::job_spec& spec, const std::string& id,
                      const std::string& prompt)
{
    const auto size = static_cast<std::size_t>(spec.group_size);
    v1::Sample sample;
    sample.set_id(id);
    sample.set_step(item.slot.step);
    sample.set_group(static_cast<int>(item.slot.index / size));
    sample.set_index(static_cast<int>(item.slot.index % size));
    sample.set_prompt(prompt);
    sample.set_text(item.sample.text);
    for (const auto& part : item.sample.spans.spans()) {
        auto* span = sample.add_spans();
        span->set_version(part.version);
        span->set_tokens(part.tokens);
    }
    sample.set_oldest_version(item.sample.spans.oldest());
    sample.set_score(item.sample.score);
    sample.set_unscored(item.sample.unscored_reason);
    return sample;
}

} // namespace vanillagauge::rollout
