#include "keeper/snapshot.hpp"

#include "base/digest.hpp"
#include "node/convert.hpp"

#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <unistd.h>

namespace vanillagauge::keeper {
namespace {

/// The header line holds the format, the body's digest and its size.
constexpr const char* format = "vanillagauge-snapshot-1";
constexpr mode_t owner_only = 0600;

error failed(const std::string& what, const std::string& path)
{
    return {error_code::unavailable, run_state::in_doubt, what + " " + path + ": " + std::strerror(errno)};
}

error incomplete(const std::string& found)
{
    return {error_code::incomplete, run_state::not_run, "expected a complete snapshot, found " + found};
}

class open_file {
public:
    open_file(const std::string& path, int flags)
        : descriptor_(::open(path.c_str(), flags | O_CLOEXEC, owner_only))
    {
    }
    ~open_file()
    {
        if (descriptor_ >= 0) {
            ::close(descriptor_);
        }
    }
    open_file(const open_file&) = delete;
    open_file& operator=(const open_file&) = delete;

    bool good() const { return descriptor_ >= 0; }
    bool sync() const { return ::fsync(descriptor_) == 0; }
    bool write(std::string_view bytes) const
    {
        while (!bytes.empty()) {
            const auto count = ::write(descriptor_, bytes.data(), bytes.size());
            if (count < 0 && errno != EINTR) {
                return false;
            }
            bytes.remove_prefix(count < 0 ? 0 : static_cast<std::size_t>(count));
        }
        return true;
    }

private:
    int descriptor_;
};

} // namespace

std::string encode(const snapshot& content)
{
    v1::KeeperSnapshot message;
    for (const auto& item : content.objects) {
        *message.add_entries() = node::to_message(item);
    }
    for (const auto& address : content.peer_addresses) {
        message.add_peer_addresses(address);
    }
    const auto body = message.SerializeAsString();
    return std::string(format) + " " + digest(body) + " " + std::to_string(body.size()) + "\n" + body;
}

// After a crash the file may be truncated or hold blocks of an older one. Size or digest then differ, and the
// keeper starts without a snapshot.
result<snapshot> decode(const std::string& bytes)
{
    const auto line_end = bytes.find('\n');
    if (line_end == std::string::npos) {
        return incomplete("no header line");
    }
    std::istringstream line(bytes.substr(0, line_end));
    std::string found_format;
    std::string found_digest;
    std::size_t size = 0;
    line >> found_format >> found_digest >> size;
    const auto body = bytes.substr(line_end + 1);
    if (found_format != format) {
        return incomplete("the format \"" + found_format + "\"");
    }
    if (body.size() != size || digest(body) != found_digest) {
        return incomplete(std::to_string(body.size()) + " bytes with digest " + digest(body));
    }
    v1::KeeperSnapshot message;
    if (!message.ParseFromString(body)) {
        return incomplete("a body that cannot be parsed");
    }
    snapshot content;
    for (const auto& entry : message.entries()) {
        content.objects.push_back(node::from_message(entry));
    }
    content.peer_addresses.assign(message.peer_addresses().begin(), message.peer_addresses().end());
    return content;
}

result<done> write_snapshot(const std::string& path, const snapshot& content)
{
    const auto folder = std::filesystem::path(path).parent_path();
    std::error_code ignored;
    std::filesystem::create_directories(folder, ignored);
    const auto temp_path = path + ".draft";
    {
        const open_file file(temp_path, O_WRONLY | O_CREAT | O_TRUNC);
        // Sync before the rename: otherwise a crash may leave the renamed file without its content.
        if (!file.good() || !file.write(encode(content)) || !file.sync()) {
            return failed("cannot write", temp_path);
        }
    }
    if (::rename(temp_path.c_str(), path.c_str()) != 0) {
        return failed("cannot rename to", path);
    }
    const open_file directory(folder.string(), O_RDONLY | O_DIRECTORY);
    if (!directory.good() || !directory.sync()) {
        return failed("cannot sync", folder.string());
    }
    return done{};
}

result<snapshot> read_snapshot(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        return error{error_code::not_found, run_state::not_run, "no snapshot at " + path};
    }
    std::ostringstream bytes;
    bytes << file.rdbuf();
    return decode(bytes.str());
}

} // namespace vanillagauge::keeper
