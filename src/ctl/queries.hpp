/// The read-only commands of vgctl.
#ifndef VANILLAGAUGE_CTL_QUERIES_HPP
#define VANILLAGAUGE_CTL_QUERIES_HPP

#include "ctl/session.hpp"

#include <string>
#include <vector>

namespace vanillagauge::ctl {

result<done> get(const session& keeper, const std::string& kind, const std::string& name);
result<done> list(const session& keeper, const std::string& kind);
/// Prints each change as it arrives and returns after `count`; 0: runs until the process is stopped.
result<done> watch(const session& keeper, const std::string& kind, int count);
result<done> status(const session& keeper);
/// KIND/NAME is requested from the keeper; a request id or trace id is searched in the span files.
result<done> explain(const session& keeper, const std::string& subject,
                     const std::vector<std::string>& files);

/// Timeline of a request, batch or item from collected log files. Needs no keeper.
result<done> explain_logs(std::ostream& out, output_format format, const std::string& id,
                          const std::vector<std::string>& files);

/// Span tree of a trace or request from span files. Needs no keeper.
result<done> trace(std::ostream& out, output_format format, const std::string& id,
                   const std::vector<std::string>& files);

} // namespace vanillagauge::ctl

#endif
