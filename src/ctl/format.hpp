/// Output formats of vgctl: tables and JSON.
#ifndef VANILLAGAUGE_CTL_FORMAT_HPP
#define VANILLAGAUGE_CTL_FORMAT_HPP

#include <string>
#include <vector>

namespace google::protobuf {
class Message;
}

namespace vanillagauge::ctl {

/// Columns as wide as their widest cell. The first row is the heading.
std::string table(const std::vector<std::vector<std::string>>& rows);

/// Indented JSON with the schema's field names.
std::string pretty(const google::protobuf::Message& message);
/// The same on one line.
std::string compact(const google::protobuf::Message& message);

} // namespace vanillagauge::ctl

#endif
