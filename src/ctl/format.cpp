#include "ctl/format.hpp"

#include "wire/codec.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace vanillagauge::ctl {
namespace {

constexpr std::size_t gap = 2;
constexpr int indent = 2;

} // namespace

std::string table(const std::vector<std::vector<std::string>>& rows)
{
    std::vector<std::size_t> widths;
    for (const auto& row : rows) {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t column = 0; column < row.size(); ++column) {
            widths[column] = std::max(widths[column], row[column].size());
        }
    }
    std::string text;
    for (const auto& row : rows) {
        std::string line;
        for (std::size_t column = 0; column < row.size(); ++column) {
            line += row[column];
            line.append(widths[column] + gap - row[column].size(), ' ');
        }
        line.erase(line.find_last_not_of(' ') + 1);
        text += line + "\n";
    }
    return text;
}

std::string pretty(const google::protobuf::Message& message)
{
    return nlohmann::json::parse(wire::encode(wire::codec::json, message)).dump(indent) + "\n";
}

std::string compact(const google::protobuf::Message& message)
{
    return wire::encode(wire::codec::json, message) + "\n";
}

} // namespace vanillagauge::ctl
