/// The objects of a file that an operator applies.
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
    bool versioned = false; ///< the text names the version that the change was made from
};

/// One object or an array of them. An error names the place in the text.
result<std::vector<declared_object>> parse_objects(const std::string& text, const std::string& origin);
/// The same for a file; `-` reads standard input.
result<std::vector<declared_object>> read_objects(const std::string& file);

/// Checks the specs as a keeper would, without one.
result<done> check_objects(const std::vector<declared_object>& objects);

} // namespace vanillagauge::ctl

#endif
