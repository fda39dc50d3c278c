#include "gateway/organisations.hpp"

#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <cstring>

namespace vanillagauge::gateway {
namespace {

constexpr std::size_t secret_bytes = 32;
using process_secret = std::array<unsigned char, secret_bytes>;

const process_secret& secret()
{
    static const process_secret drawn = [] {
        process_secret bytes{};
        RAND_bytes(bytes.data(), static_cast<int>(bytes.size()));
        return bytes;
    }();
    return drawn;
}

error invalid_key(const organisation& owner, std::size_t position, const std::string& expected)
{
    return {error_code::invalid_argument, run_state::not_run,
            "organisation " + owner.name + ", key " + std::to_string(position) + ": expected " + expected};
}

} // namespace

// Keys are looked up by a digest under a secret of this process: a caller cannot choose a key whose digest
// resembles another's, so the time of a lookup tells nothing about the keys in force.
organisation_directory::key_digest organisation_directory::digest_of(std::string_view key)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> code{};
    unsigned int size = 0;
    HMAC(EVP_sha256(), secret().data(), static_cast<int>(secret().size()),
         reinterpret_cast<const unsigned char*>(key.data()), key.size(), code.data(), &size);
    key_digest digest{};
    std::memcpy(digest.data(), code.data(), sizeof(digest));
    return digest;
}

result<done> organisation_directory::add(organisation added, const std::vector<std::string>& keys)
{
    const auto [known, inserted] = by_name_.try_emplace(added.name, organisations_.size());
    if (inserted) {
        organisations_.push_back(added);
    }
    const auto index = known->second;
    for (std::size_t position = 0; position < keys.size(); ++position) {
        if (keys[position].empty()) {
            return invalid_key(added, position, "a key of at least one character");
        }
        const auto [entry, is_new] = by_key_.try_emplace(digest_of(keys[position]), index);
        if (!is_new && entry->second != index) {
            return invalid_key(added, position,
                               "a key of its own, found a key of " + organisations_[entry->second].name);
        }
    }
    return done{};
}

const organisation* organisation_directory::find_by_key(std::string_view key) const
{
    const auto found = by_key_.find(digest_of(key));
    return found == by_key_.end() ? nullptr : &organisations_[found->second];
}

const organisation* organisation_directory::find_by_name(const std::string& name) const
{
    const auto found = by_name_.find(name);
    return found == by_name_.end() ? nullptr : &organisations_[found->second];
}

} // namespace vanillagauge::gateway
