#include "waxwingloft/process/memberdirectory.h"

namespace waxwingloft {

void MemberDirectory::setListener(Listener listener)
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    this->listener = std::move(listener);
}

BookPosition MemberDirectory::apply(const MembersDelta &delta)
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    auto &position = this->shards[delta.shard];
    const bool continues = delta.since == 0 || (delta.book == position.book && delta.since <= position.revision);
    if (!continues) {
        return position;
    }
    if (delta.book == position.book && delta.revision < position.revision) {
        return position;
    }
    position = {delta.book, delta.revision};
    for (const auto &member : delta.changed) {
        this->noteLocked(member);
    }
    return position;
}

void MemberDirectory::note(const Member &member)
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    this->noteLocked(member);
}

std::optional<Member> MemberDirectory::find(const NodeId &node) const
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    const auto found = this->members.find(node);
    return found == this->members.end() ? std::nullopt : std::optional<Member>(found->second);
}

std::vector<Member> MemberDirectory::all() const
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    std::vector<Member> list;
    list.reserve(this->members.size());
    for (const auto &[node, member] : this->members) {
        list.push_back(member);
    }
    return list;
}

std::uint64_t MemberDirectory::generation() const
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    return this->changes;
}

void MemberDirectory::noteLocked(const Member &member)
{
    auto &known = this->members[member.node];
    if (known == member) {
        return;
    }
    known = member;
    ++this->changes;
    if (this->listener) {
        this->listener(member);
    }
}

} // namespace waxwingloft
