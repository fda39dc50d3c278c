/// The weight versions that produced a sample, by span of tokens.
#ifndef VANILLAGAUGE_SAMPLES_VERSION_SPANS_HPP
#define VANILLAGAUGE_SAMPLES_VERSION_SPANS_HPP

#include <cstdint>
#include <vector>

namespace vanillagauge::samples {

struct version_span {
    std::uint64_t version = 0;
    int tokens = 0;

    friend bool operator==(const version_span&, const version_span&) = default;
};

class version_spans {
public:
    /// Adds a chunk's tokens. Version 0 means that the engine named none; the sample is then invalid.
    void add(std::uint64_t version, int tokens);

    const std::vector<version_span>& spans() const { return spans_; }
    /// The oldest version; 0 where nothing was added.
    std::uint64_t oldest() const;
    int tokens() const;
    bool unversioned() const { return unversioned_; }

private:
    std::vector<version_span> spans_;
    bool unversioned_ = false;
};

/// True where a sample whose oldest version is `oldest` may be delivered to a trainer at `trainer_version`.
bool fresh(std::uint64_t oldest, std::uint64_t trainer_version, int max_staleness);

} // namespace vanillagauge::samples

#endif
