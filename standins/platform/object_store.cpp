#include "object_store.hpp"

#include <algorithm>

namespace vanillagauge::standins {

namespace pb = ::platform::v1;

pb::WriteReply object_store::write(const pb::WriteRequest& request)
{
    const std::pair key{request.kind(), request.name()};
    const auto found = objects_.find(key);
    const std::uint64_t current =
        found == objects_.end() || found->second.deleted() ? 0 : found->second.version();
    pb::WriteReply reply;
    if (current != request.expected_version()) {
        if (found != objects_.end()) {
            *reply.mutable_object() = found->second;
        }
        else {
            reply.mutable_object()->set_kind(request.kind());
            reply.mutable_object()->set_name(request.name());
        }
        return reply;
    }
    auto& item = objects_[key];
    item.set_kind(request.kind());
    item.set_name(request.name());
    item.set_value(request.value());
    item.set_version(++revision_);
    item.set_operation_id(request.operation_id());
    item.set_deleted(request.remove());
    reply.set_applied(true);
    *reply.mutable_object() = item;
    return reply;
}

pb::ReadReply object_store::read(const std::string& kind, const std::string& name) const
{
    pb::ReadReply reply;
    const auto found = objects_.find({kind, name});
    if (found != objects_.end()) {
        reply.set_found(true);
        *reply.mutable_object() = found->second;
    }
    return reply;
}

pb::ListReply object_store::list(const std::string& kind) const
{
    pb::ListReply reply;
    reply.set_revision(revision_);
    for (const auto& [key, item] : objects_) {
        if ((kind.empty() || key.first == kind) && !item.deleted()) {
            *reply.add_objects() = item;
        }
    }
    return reply;
}

pb::WatchReply object_store::changes(const pb::WatchRequest& request) const
{
    pb::WatchReply reply;
    reply.set_revision(revision_);
    if (request.since_revision() < compacted_revision_) {
        reply.set_compacted(true);
        return reply;
    }
    const auto& kinds = request.kinds();
    for (const auto& [key, item] : objects_) {
        const bool requested = std::find(kinds.begin(), kinds.end(), key.first) != kinds.end();
        if (requested && item.version() > request.since_revision()) {
            *reply.add_objects() = item;
        }
    }
    return reply;
}

} // namespace vanillagauge::standins
