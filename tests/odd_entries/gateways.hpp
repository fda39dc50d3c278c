/// Gateways as processes of their own, and what becomes of them.
#ifndef VANILLAGAUGE_TESTS_ODD_ENTRIES_GATEWAYS_HPP
#define VANILLAGAUGE_TESTS_ODD_ENTRIES_GATEWAYS_HPP

#include "base/clock.hpp"

#include <sys/types.h>

#include <filesystem>
#include <functional>
#include <string>
#include <vector>

namespace vanillagauge::odd_entries {

struct gateway_place {
    std::string vm;
    std::string front; ///< empty: a machine that serves no callers
    std::string ready;
    std::string directory;
    std::string metrics;
    std::string peer;
    std::string relay;
    pid_t process = -1;      ///< negative while it does not run
    time_point changed_at{}; ///< its start, or its end while it does not run
    std::size_t ends = 0;    ///< by itself
};

/// Starts the processes, and starts each again that has ended by itself. Ends them with SIGKILL.
class gateways {
public:
    /// Told what a process ended with, how long it ran and the last lines that it wrote.
    using end_observer = std::function<void(const gateway_place&, const std::string&)>;

    gateways(std::filesystem::path program, std::filesystem::path folder, std::size_t fronts,
             std::size_t storages, const std::string& store, end_observer on_end, std::size_t memory_mb = 0);
    ~gateways();
    gateways(const gateways&) = delete;
    gateways& operator=(const gateways&) = delete;

    /// Notes the processes that have ended, and starts those whose pause is over.
    void check();
    const std::vector<gateway_place>& places() const { return places_; }
    /// The most resident memory that the process has had, in bytes; 0 if it does not run.
    static std::size_t peak_memory(const gateway_place& place);

private:
    std::filesystem::path program_;
    std::filesystem::path folder_;
    std::vector<gateway_place> places_;
    end_observer on_end_;
    std::size_t memory_mb_; ///< in the settings of each; 0: none is named

    std::filesystem::path file_of(const gateway_place& place, const char* suffix) const;
    void write_settings(const gateway_place& place, const std::string& store) const;
    void start(gateway_place& place);
    void note_end(gateway_place& place, int status);
};

} // namespace vanillagauge::odd_entries

#endif
