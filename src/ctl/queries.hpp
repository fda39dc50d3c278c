/// The commands of vgctl that only look.
#ifndef VANILLAGAUGE_CTL_QUERIES_HPP
#define VANILLAGAUGE_CTL_QUERIES_HPP

#include "ctl/session.hpp"

#include <string>
#include <vector>

namespace vanillagauge::ctl {

result<done> get(const session& keeper, const std::string& kind, const std::string& name);
result<done> list(const session& keeper, const std::string& kind);
/// Prints each change as it comes, until `count` of them; 0: until the process is ended.
result<done> watch(const session& keeper, const std::string& kind, int count);
result<done> status(const session& keeper);
/// KIND/NAME is asked of the keeper; a request id or a trace id is looked for in the span files.
result<done> explain(const session& keeper, const std::string& subject,
                     const std::vector<std::string>& files);

/// What collected log lines say about a request, batch or item. Needs no keeper.
result<done> explain_logs(std::ostream& out, output_format format, const std::string& id,
                          const std::vector<std::string>& files);

/// The hops of one trace or request, from files of spans. Needs no keeper.
result<done> trace(std::ostream& out, output_format format, const std::string& id,
                   const std::vector<std::string>& files);

} // namespace vanillagauge::ctl

#endif
