/// Renders a settings template as the platform does: DEPLOY.md, "Settings of a process".
#ifndef VANILLAGAUGE_TESTS_CONFIG_TEMPLATE_RENDERER_HPP
#define VANILLAGAUGE_TESTS_CONFIG_TEMPLATE_RENDERER_HPP

#include <nlohmann/json.hpp>

#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace vanillagauge {

class template_renderer {
public:
    explicit template_renderer(nlohmann::json fields) { scopes_.push_back(std::move(fields)); }

    std::string render(std::string_view text)
    {
        std::string out;
        while (!text.empty()) {
            const auto open = text.find("{{");
            out += text.substr(0, open);
            if (open == std::string_view::npos) {
                break;
            }
            const auto close = text.find("}}", open);
            const auto tag = text.substr(open + 2, close - open - 2);
            text.remove_prefix(close + 2);
            if (tag.starts_with('#') || tag.starts_with('^')) {
                const auto name = std::string(tag.substr(1));
                const auto end = "{{/" + name + "}}";
                const auto size = text.find(end);
                if (size == std::string_view::npos) {
                    throw std::invalid_argument("no end of the section " + name);
                }
                out += section(name, text.substr(0, size), tag.front() == '^');
                text.remove_prefix(size + end.size());
            }
            else {
                out += placeholder(tag);
            }
        }
        return out;
    }

private:
    using json = nlohmann::json;

    /// Null if there is no value.
    json find(const std::string& name) const
    {
        if (name == ".") {
            return scopes_.back();
        }
        std::string path = "/" + name;
        for (auto& letter : path) {
            letter = letter == '.' ? '/' : letter;
        }
        for (auto scope = scopes_.rbegin(); scope != scopes_.rend(); ++scope) {
            const json::json_pointer pointer(path);
            if (scope->is_structured() && scope->contains(pointer)) {
                return scope->at(pointer);
            }
        }
        return nullptr;
    }

    std::string placeholder(std::string_view tag) const
    {
        if (tag == ",") {
            return last_ ? "" : ",";
        }
        const auto bar = tag.find('|');
        const auto found = find(std::string(tag.substr(0, bar)));
        if (found.is_null()) {
            return "";
        }
        return found.is_string() && bar == std::string_view::npos ? found.get<std::string>() : found.dump();
    }

    std::string section(const std::string& name, std::string_view text, bool inverted)
    {
        const auto found = find(name);
        const bool missing = found.is_null() || found == json(false);
        if (inverted) {
            return missing ? render(text) : "";
        }
        std::string out;
        const auto entries = found.is_structured() ? found : missing ? json::array() : json::array({found});
        std::size_t left = entries.size();
        for (const auto& entry : entries) {
            last_ = --left == 0;
            scopes_.push_back(entry);
            out += render(text);
            scopes_.pop_back();
        }
        return out;
    }

    std::vector<json> scopes_;
    bool last_ = true; ///< whether the current entry of a section is its last
};

} // namespace vanillagauge

#endif
