/// Parses and checks files of objects for `vgctl apply` and `vgctl check`.
#ifndef VANILLAGAUGE_CTL_OBJECT_FILE_HPP
#define VANILLAGAUGE_CTL_OBJECT_FILE_HPP

#include "base/base.hpp"

#include "vanillagauge.pb.h"

#include <optional>
#include <string>
#include <vector>

namespace vanillagauge::ctl {

struct declared_object {
    v1::Object object;
    bool versioned = false; ///< the text gives the version that the change is based on
};

/// One object or an array of them. An error gives the origin and the position in the array.
result<std::vector<declared_object>> parse_objects(const std::string& text, const std::string& origin);
/// The same for a file; `-` reads standard input.
result<std::vector<declared_object>> read_objects(const std::string& file);

/// Validates the specs as a keeper does, without connecting to one.
result<done> check_objects(const std::vector<declared_object>& objects);

} // namespace vanillagauge::ctl

#endif
