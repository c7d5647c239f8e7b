#include "waxwingloft/request/incarnationcandidate.h"

namespace waxwingloft {

namespace {

/** Without a start in the answer only the id tells incarnations apart, which the executor has checked. */
bool isAnswerOf(const ExecutorIncarnation &asked, const std::optional<ExecutorIncarnation> &current, const ExecutorStamp &stamp)
{
    return stamp.startedAt ? *stamp.startedAt == asked.startedAt : !current || current->id != asked.id;
}

} // namespace

bool IncarnationCandidate::heartbeat(const ExecutorHeartbeat &heartbeat)
{
    const bool isSame = this->isPresent && this->latest.incarnation == heartbeat.incarnation;
    if (isSame && heartbeat.sequence <= this->latest.sequence) {
        return false;
    }
    this->latest = heartbeat;
    this->isPresent = true;
    this->isNext = this->isNext || !isSame;
    this->pollSerial = isSame ? this->pollSerial : 0;
    return !isSame;
}

std::optional<ExecutorIncarnation> IncarnationCandidate::poll(const std::optional<ExecutorIncarnation> &current, std::uint64_t serial)
{
    if (!this->isPresent || (!this->isNext && current)) {
        this->isNext = this->isPresent;
        this->pollSerial = 0;
        return std::nullopt;
    }
    this->isNext = false;
    this->pollSerial = serial;
    return this->latest.incarnation;
}

bool IncarnationCandidate::isPoll(std::uint64_t serial) const
{
    return this->isPresent && this->pollSerial == serial;
}

IncarnationVerdict IncarnationCandidate::judge(const std::optional<ExecutorIncarnation> &current, const Result<RunListAnswer> &answer)
{
    if (!succeeded(answer) && errorOf(answer).kind != ErrorKind::Stale) {
        return IncarnationVerdict::Unknown;
    }
    this->isPresent = false;
    const bool isLive = succeeded(answer) && isAnswerOf(this->latest.incarnation, current, valueOf(answer).stamp);
    return isLive ? IncarnationVerdict::Live : IncarnationVerdict::Another;
}

const ExecutorHeartbeat &IncarnationCandidate::latestHeartbeat() const
{
    return this->latest;
}

} // namespace waxwingloft
