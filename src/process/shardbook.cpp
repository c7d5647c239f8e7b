#include "waxwingloft/process/shardbook.h"

#include <algorithm>

namespace waxwingloft {

ShardBook::ShardBook(Clock &clock, EventLog &events, std::string shard, Incarnation incarnation, FailureDetectionOptions options)
    : clock(clock)
    , events(events)
    , shard(std::move(shard))
    , incarnation(incarnation)
    , options(options)
{
}

void ShardBook::heartbeat(const Member &member)
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    const auto now = this->clock.now();
    auto &entry = this->entries[member.node];
    const bool isNew = entry.revision == 0;
    if (!isNew && entry.member.state != MemberState::Lost && member.incarnation < entry.member.incarnation) {
        return;
    }
    entry.heardAt = now;
    if (!isNew && entry.member == member) {
        return;
    }
    const bool rejoined = isNew || entry.member.state == MemberState::Lost || entry.member.incarnation != member.incarnation;
    if (member.state == MemberState::Leaving) {
        this->events.record(EventKind::MemberLeaving, member.node.value);
    } else if (rejoined) {
        this->events.record(EventKind::MemberJoined, member.node.value, {}, std::string(nameOf(member.role)));
    }
    entry.member = member;
    entry.revision = ++this->revision;
}

std::size_t ShardBook::sweep()
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    const auto now = this->clock.now();
    std::vector<const Entry *> lost;
    for (auto &[node, entry] : this->entries) {
        if (entry.member.state != MemberState::Lost && now - entry.heardAt >= this->options.silence) {
            entry.member.state = MemberState::Lost;
            entry.revision = ++this->revision;
            lost.push_back(&entry);
        }
    }
    this->reportLost(lost);
    std::erase_if(this->entries, [this, now](const auto &item) { return now - item.second.heardAt >= this->options.forget; });
    return lost.size();
}

MembersDelta ShardBook::changesSince(Incarnation book, std::uint64_t since) const
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    MembersDelta delta{
        this->shard, this->incarnation, book == this->incarnation ? since : 0, this->revision, {}, static_cast<std::uint32_t>(this->entries.size())};
    for (const auto &[node, entry] : this->entries) {
        if (entry.revision > delta.since) {
            delta.changed.push_back(entry.member);
        }
    }
    return delta;
}

void ShardBook::reportLost(const std::vector<const Entry *> &lost)
{
    std::map<std::string, std::size_t> lostByRack;
    for (const auto *entry : lost) {
        ++lostByRack[entry->member.location.rack];
    }
    for (const auto &[rack, count] : lostByRack) {
        const auto isThere = [&rack = rack](const auto &item) { return item.second.member.location.rack == rack; };
        const auto members = static_cast<std::size_t>(std::count_if(this->entries.begin(), this->entries.end(), isThere));
        if (count > 1 && count == members) {
            this->events.record(EventKind::MemberLost, "rack " + rack, {}, std::to_string(count) + " members");
            continue;
        }
        for (const auto *entry : lost) {
            if (entry->member.location.rack == rack) {
                this->events.record(EventKind::MemberLost, entry->member.node.value);
            }
        }
    }
}

} // namespace waxwingloft
