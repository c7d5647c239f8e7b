#include "waxwingloft/connection/relaytable.h"

#include <algorithm>
#include <array>

namespace waxwingloft {

namespace {

const std::string ProbedKey = "office/placer"; ///< any row will do

bool isFailure(const Error &error)
{
    return error.kind == ErrorKind::PlatformDown || error.kind == ErrorKind::Ambiguous;
}

RelayTableAnswer answerOf(const std::optional<Row> &row)
{
    RelayTableAnswer answer;
    if (row) {
        answer.rows.push_back({*row, false});
    }
    return answer;
}

RelayTableAnswer answerOf(const RowList &list)
{
    RelayTableAnswer answer{{}, list.revision};
    for (const auto &row : list.rows) {
        answer.rows.push_back({row, false});
    }
    return answer;
}

RelayTableAnswer answerOf(const Commit &commit)
{
    return {{}, commit.revision};
}

RelayTableAnswer answerOf(const ChangeBatch &batch)
{
    return {batch.changes, batch.revision};
}

template<typename T>
Message messageOf(const Result<T> &result)
{
    return succeeded(result) ? Message(answerOf(valueOf(result))) : replyWith(errorOf(result));
}

/** Whether @p kind says that the call did not reach a peer, or that the peer did not carry it out. */
bool isProofOfNoEffect(ErrorKind kind)
{
    constexpr std::array Proofs = {ErrorKind::Unreachable, ErrorKind::PlatformDown, ErrorKind::LimitExceeded, ErrorKind::Draining, ErrorKind::InvalidInput};
    return std::find(Proofs.begin(), Proofs.end(), kind) != Proofs.end();
}

/** A call that no peer has answered may have had an effect only if it was a commit. */
Error lost(const Error &error, TableCallKind kind)
{
    const bool mayHaveHadEffect = kind == TableCallKind::Commit && !isProofOfNoEffect(error.kind);
    return makeError(mayHaveHadEffect ? ErrorKind::Ambiguous : ErrorKind::PlatformDown, error.message);
}

/** Whether @p kind is the store's own verdict on a call, which a peer passes on. */
bool isVerdict(ErrorKind kind, TableCallKind call)
{
    return kind == ErrorKind::Conflict || kind == ErrorKind::Rejected || (kind == ErrorKind::Stale && call == TableCallKind::Changes);
}

} // namespace

RelayTable::RelayTable(TableStore &direct, TableFeed &directFeed, NodePort &nodes, Clock &clock, PeerSource peers, RelayTableOptions options)
    : direct(direct)
    , directFeed(directFeed)
    , nodes(nodes)
    , clock(clock)
    , peers(std::move(peers))
    , options(options)
    , log(LogPart::Table)
{
}

void RelayTable::setOutlook(StoreOutlook &outlook)
{
    this->outlook = &outlook;
}

/** Makes a direct call and takes note of its outcome. The table may withhold the answer for @p wait. */
template<typename T, typename Direct>
Result<T> RelayTable::noted(Direct direct, Millis wait)
{
    const auto dueAt = this->clock.now() + wait;
    Result<T> result = direct();
    const bool isFailing = !succeeded(result) && isFailure(errorOf(result));
    if (this->outlook != nullptr) {
        this->outlook->noteDirect(!isFailing, dueAt);
    }
    if (this->isDirectFailing.exchange(isFailing, std::memory_order_acq_rel) != isFailing) {
        if (isFailing) {
            this->log.warn("The table is not reached directly; peers are asked first: " + errorOf(result).message);
        } else {
            this->hasPeerReachedTable.store(false, std::memory_order_release);
            this->log.info("The table is reached directly again.");
        }
    }
    return result;
}

template<typename T, typename Direct, typename Relayed>
Result<T> RelayTable::through(Direct direct, Relayed relayed, Millis wait)
{
    if (this->isFailing()) {
        Result<T> answer = relayed();
        if (succeeded(answer) || errorOf(answer).kind != ErrorKind::PlatformDown) {
            return answer;
        }
        return this->noted<T>(direct);
    }
    auto answer = this->noted<T>(direct, wait);
    const bool hadNoEffect = !succeeded(answer) && errorOf(answer).kind == ErrorKind::PlatformDown;
    // A silent table has taken a time-out already and may take as long at each peer; the probe of the peers finds out for all calls. No caller waits for
    // the answer to a call that may wait itself, and the feed may be silent here while the probes are answered.
    const bool isLeftToProbe = wait == Millis(0) && this->outlook != nullptr && this->outlook->state() == StoreState::InDoubt;
    return hadNoEffect && !isLeftToProbe ? Result<T>(relayed()) : answer;
}

Result<RelayTableAnswer> RelayTable::relay(const RelayTableCall &call)
{
    auto answer = this->askPeers(call);
    const bool hasReached = succeeded(answer) || isVerdict(errorOf(answer).kind, call.kind);
    this->hasPeerReachedTable.store(hasReached, std::memory_order_release);
    if (this->outlook != nullptr) {
        this->outlook->notePeers(hasReached);
    }
    return answer;
}

Result<RelayTableAnswer> RelayTable::askPeers(const RelayTableCall &call)
{
    Error last = makeError(ErrorKind::PlatformDown, "no peer is known that could reach the table");
    for (const auto &address : this->usablePeers()) {
        auto answer = expectReply<RelayTableAnswer>(this->nodes.call(address, call, this->options.timeout));
        if (succeeded(answer)) {
            return answer;
        }
        const auto kind = errorOf(answer).kind;
        if (isVerdict(kind, call.kind)) {
            return errorOf(answer);
        }
        if (kind == ErrorKind::Unreachable || kind == ErrorKind::Ambiguous) {
            this->leaveOut(address);
        }
        last = lost(errorOf(answer), call.kind);
        if (last.kind == ErrorKind::Ambiguous) {
            return last;
        }
    }
    return last;
}

std::vector<std::string> RelayTable::usablePeers()
{
    auto usable = this->peers();
    const auto now = this->clock.now();
    const std::lock_guard<std::mutex> guard(this->mutex);
    std::erase_if(this->leftOutUntil, [now](const auto &item) { return item.second <= now; });
    std::erase_if(usable, [this](const std::string &peer) { return this->leftOutUntil.contains(peer); });
    usable.resize(std::min(usable.size(), this->options.peers));
    return usable;
}

void RelayTable::leaveOut(const std::string &peer)
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    this->leftOutUntil[peer] = this->clock.now() + this->options.peerPause;
}

Result<std::optional<Row>> RelayTable::get(const std::string &key)
{
    return this->through<std::optional<Row>>([&] { return this->direct.get(key); },
                                             [&]() -> Result<std::optional<Row>> {
                                                 const auto answer = this->relay({TableCallKind::Get, key, 0, {}});
                                                 if (!succeeded(answer)) {
                                                     return errorOf(answer);
                                                 }
                                                 const auto &rows = valueOf(answer).rows;
                                                 return rows.empty() ? std::optional<Row>() : std::optional<Row>(rows.front().row);
                                             });
}

Result<RowList> RelayTable::list(const std::string &prefix, std::uint64_t since)
{
    return this->through<RowList>([&] { return this->direct.list(prefix, since); },
                                  [&]() -> Result<RowList> {
                                      const auto answer = this->relay({TableCallKind::List, prefix, since, {}});
                                      if (!succeeded(answer)) {
                                          return errorOf(answer);
                                      }
                                      RowList list{{}, valueOf(answer).revision};
                                      for (const auto &change : valueOf(answer).rows) {
                                          list.rows.push_back(change.row);
                                      }
                                      return list;
                                  });
}

Result<Commit> RelayTable::commit(const Transaction &transaction)
{
    return this->through<Commit>([&] { return this->direct.commit(transaction); },
                                 [&]() -> Result<Commit> {
                                     const auto answer = this->relay({TableCallKind::Commit, {}, 0, transaction});
                                     return succeeded(answer) ? Result<Commit>(Commit{valueOf(answer).revision}) : errorOf(answer);
                                 });
}

Result<ChangeBatch> RelayTable::changes(const std::string &table, std::uint64_t after, Millis wait)
{
    bool isRelayed = false;
    auto batch = this->through<ChangeBatch>([&] { return this->directFeed.changes(table, after, this->isFailing() ? Millis(0) : wait); },
                                            [&]() -> Result<ChangeBatch> {
                                                const auto answer = this->relay({TableCallKind::Changes, table, after, {}});
                                                if (!succeeded(answer)) {
                                                    return errorOf(answer);
                                                }
                                                isRelayed = true;
                                                return ChangeBatch{valueOf(answer).rows, valueOf(answer).revision};
                                            },
                                            wait);
    // A peer answers at once, so that nobody's threads are held by the wait.
    if (isRelayed && succeeded(batch) && valueOf(batch).changes.empty()) {
        this->clock.sleepFor(std::min(wait, this->options.pollInterval));
    }
    return batch;
}

void RelayTable::probe()
{
    const bool isExpectedAway = this->outlook != nullptr && this->outlook->state() != StoreState::Reachable;
    if (this->isFailing() || isExpectedAway) {
        this->noted<std::optional<Row>>([this] { return this->direct.get(ProbedKey); });
    }
}

void RelayTable::probePeers()
{
    this->relay({TableCallKind::Get, ProbedKey, 0, {}});
}

bool RelayTable::isFailing() const
{
    return this->isDirectFailing.load(std::memory_order_acquire);
}

bool RelayTable::isRelaying() const
{
    return this->isFailing() && this->hasPeerReachedTable.load(std::memory_order_acquire);
}

Message RelayTable::serve(const RelayTableCall &call)
{
    if (this->isFailing()) {
        return replyWith(makeError(ErrorKind::PlatformDown, "this process does not reach the table either"));
    }
    switch (call.kind) {
    case TableCallKind::Get:
        return messageOf(this->noted<std::optional<Row>>([&] { return this->direct.get(call.key); }));
    case TableCallKind::List:
        return messageOf(this->noted<RowList>([&] { return this->direct.list(call.key, call.since); }));
    case TableCallKind::Commit:
        return messageOf(this->noted<Commit>([&] { return this->direct.commit(call.transaction); }));
    case TableCallKind::Changes:
        return messageOf(this->noted<ChangeBatch>([&] { return this->directFeed.changes(call.key, call.since, Millis(0)); }));
    case TableCallKind::NoteDoubt:
        break;
    }
    return replyWith(makeError(ErrorKind::InvalidInput, "a call of an unknown kind on the table"));
}

} // namespace waxwingloft
