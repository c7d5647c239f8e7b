#include "waxwingloft/request/placerservice.h"

#include "waxwingloft/request/jobrows.h"

#include <cstdlib>

namespace waxwingloft {

namespace {

constexpr std::size_t MaxQueuedPushes = 10'000;
constexpr std::size_t MaxMissedNotices = 1000; ///< of what an entry accepts in ten seconds
constexpr std::int64_t LongestNoticeAgeMs = 10'000; ///< of a submission; a job's rows are kept for minutes, so no older notice brings back a removed job

std::string millisSince(Instant since, Instant now)
{
    return std::to_string(std::chrono::duration_cast<Millis>(now - since).count());
}

} // namespace

PlacerService::PlacerService(Clock &clock,
                             EventLog &events,
                             IdSource &ids,
                             TableStore &table,
                             NodePort &nodes,
                             NodeId self,
                             std::string address,
                             TaskPlacer &placer,
                             JobCache &jobCache,
                             PlacerServiceOptions options)
    : clock(clock)
    , ids(ids)
    , table(table)
    , nodes(nodes)
    , self(std::move(self))
    , address(std::move(address))
    , placer(placer)
    , jobCache(jobCache)
    , options(options)
    , log(LogPart::Placer)
    , election(table, clock, events, ids, "placer", this->self, this->address, options.lease)
{
}

PlacerService::~PlacerService()
{
    this->stop();
}

void PlacerService::setPeers(std::function<std::vector<std::string>()> addresses)
{
    this->peers = std::move(addresses);
}

void PlacerService::setTableWatch(std::function<bool()> isIndirect)
{
    this->isTableIndirect = std::move(isIndirect);
}

void PlacerService::start()
{
    this->pushPool = std::make_unique<ThreadPool>("pushes of assignments", this->options.pushThreads, MaxQueuedPushes);
    this->writeTicker = std::make_unique<Ticker>("writes of progress", this->options.planInterval, [this] { this->write(); });
    this->planTicker = std::make_unique<Ticker>("plans", this->options.planInterval, [this] { this->plan(); });
    this->electionTicker = std::make_unique<Ticker>("the election", this->options.electionInterval, [this] { this->pursueLeadership(); });
    this->isRunning.store(true, std::memory_order_release);
}

void PlacerService::stop()
{
    if (!this->isRunning || this->isStopping.exchange(true)) {
        return;
    }
    this->election.retire();
    // Before the threads end, as an open call on the table may hold them up for longer than the process has left.
    this->giveUpLeadership("this process is stopping");
    this->electionTicker->stop();
    this->planTicker->stop();
    this->writeTicker->stop();
    // A call that was open may have acquired it anew.
    this->giveUpLeadership("this process is stopping");
    const auto lapsesAt = this->clock.now() + this->options.lease.term;
    while (!this->election.release() && this->clock.now() < lapsesAt) {
        this->clock.sleepFor(this->options.releaseRetry);
    }
    const auto removed = this->table.commit(Transaction{this->ids.next(), {}, {{entryKey(this->self), std::nullopt}}});
    if (!succeeded(removed)) {
        this->log.warn("The row of this entry could not be removed: " + toString(errorOf(removed)));
    }
    this->pushPool->close();
}

void PlacerService::nudge()
{
    // Messages of other processes come in before the threads are started.
    if (this->isRunning.load(std::memory_order_acquire)) {
        this->planTicker->nudge();
    }
}

/** Writes the row through which other processes find this entry. */
void PlacerService::announceEntry()
{
    const auto value = encodePlacer({this->self, this->address});
    this->isAnnounced = succeeded(this->table.commit(Transaction{this->ids.next(), {}, {{entryKey(this->self), value}}}));
}

/** Steps down, notifies the peers, and tries to write that to the table. */
void PlacerService::giveUpLeadership(const std::string &reason)
{
    this->placer.stepDown(reason);
    if (const auto grant = this->election.giveUp()) {
        this->notifyPeers(*grant);
    }
    this->election.release();
}

/** Sends all other entries a notice that @p grant of leadership is given up, as the table may not take that in time. */
void PlacerService::notifyPeers(const DutyRecord &grant)
{
    if (!this->peers) {
        return;
    }
    const RowNotice notice{{this->election.key(), encodeDuty({grant.holder, grant.address, grant.epoch, Millis(0)}), 0, {}}};
    for (const auto &address : this->peers()) {
        this->pushPool->post([this, address, notice] { this->nodes.call(address, notice, this->options.pushTimeout); });
    }
}

void PlacerService::pursueLeadership()
{
    if (this->isStopping) {
        return;
    }
    if (!this->isAnnounced) {
        this->announceEntry();
    }
    this->repeatNotices();
    if (this->leavesLeadershipToOthers()) {
        // Notices of rows go to the leader that is known here.
        this->election.refresh();
        return;
    }
    this->election.pursue();
    const auto holder = this->election.lastKnown();
    const auto renewedAt = this->election.renewedAt();
    if (!renewedAt) {
        if (holder && !holder->holder.isEmpty() && holder->holder != this->self) {
            this->placer.stepDown("the leader is " + holder->holder.value);
        }
        return;
    }
    if (!this->isTermInForce(*renewedAt)) {
        return;
    }
    this->placer.leadershipRenewed(*renewedAt);
    if (!this->placer.isLeader() && this->becomeLeader()) {
        this->jobCache.forwardAll();
        this->planTicker->nudge();
    }
}

/**
 * Checks, once for each renewal, that the placer row is still the one of the present term; steps down if it is not. Returns false while that is unknown.
 *
 * Another entry may have led and left while this one did not reach the table, or may have written the row after its own lease had lapsed. Agents then
 * report to that entry, and a placer without agents writes nothing that would be rejected.
 */
bool PlacerService::isTermInForce(Instant renewedAt)
{
    const auto epoch = this->placer.view().epoch;
    if (epoch == 0 || this->termCheckedFor == renewedAt) {
        return true;
    }
    const auto row = this->table.get(std::string(PlacerKey));
    if (!succeeded(row)) {
        return false;
    }
    if (!valueOf(row) || valueOf(row)->revision != epoch) {
        this->placer.stepDown("another entry has led since");
    }
    this->termCheckedFor = renewedAt;
    return true;
}

/**
 * Whether another entry should lead, because each call on the table goes through a peer here. Gives leadership up if it is held.
 *
 * An entry yields once in such a time; if nobody else leads by the end of the yield time, it competes as before.
 */
bool PlacerService::leavesLeadershipToOthers()
{
    const auto now = this->clock.now();
    if (!this->isTableIndirect || !this->isTableIndirect()) {
        this->indirectSince.reset();
        this->hasYielded = false;
        return false;
    }
    this->indirectSince = this->indirectSince.value_or(now);
    const bool isLeading = this->election.heldEpoch().has_value();
    if (isLeading && !this->hasYielded && now - *this->indirectSince >= this->options.handOverAfter) {
        this->log.warn("Leadership is handed over, as the table is reached only through peers.");
        this->giveUpLeadership("the table is reached only through peers");
        this->indirectSince = now;
        this->hasYielded = true;
        return true;
    }
    return !isLeading && now - *this->indirectSince < this->options.yieldTime;
}

/** Writes the placer row, which fences off all earlier placers, and only then reads the jobs: nobody else can change their progress any more. */
bool PlacerService::becomeLeader()
{
    const std::string key(PlacerKey);
    const auto row = this->table.get(key);
    if (!succeeded(row)) {
        this->log.warn("The placer row cannot be read: " + toString(errorOf(row)));
        return false;
    }
    // Looked up after the row was read, so that the write fails if a successor that was told of the stop has written it since.
    if (this->isStopping) {
        return false;
    }
    const auto revision = valueOf(row) ? valueOf(row)->revision : 0;
    const auto written = this->table.commit(Transaction{this->ids.next(), {{key, revision}}, {{key, encodePlacer({this->self, this->address})}}});
    if (!succeeded(written)) {
        this->log.warn("The placer row cannot be written: " + toString(errorOf(written)));
        return false;
    }
    const auto leaseEpoch = this->election.heldEpoch();
    auto state = this->readStoredState();
    const auto renewedAt = this->election.renewedAt();
    if (!state) {
        return false;
    }
    if (!renewedAt || this->election.heldEpoch() != leaseEpoch) {
        this->log.warn("Leadership was lost while the jobs were read.");
        return false;
    }
    this->placer.leadershipRenewed(*renewedAt);
    // Leadership is taken over when it has not been renewed for its whole term, or has been given up.
    this->placer.becomeLeader(valueOf(written).revision, std::move(state->jobs), {std::move(state->bounds), this->options.lease.term});
    if (this->isStopping) {
        this->placer.stepDown("this process is stopping");
        return false;
    }
    return true;
}

/** Reads what a new leader must know. Renews leadership meanwhile, as that may take longer than the lease lasts and holds up the thread of the election. */
std::optional<PlacerService::StoredState> PlacerService::readStoredState()
{
    const Ticker renewals("renewals of leadership", this->options.electionInterval, [this] { this->election.pursue(); });
    const auto rows = this->table.list(std::string(JobTable) + "/", 0);
    if (!succeeded(rows)) {
        this->log.warn("The jobs cannot be read: " + toString(errorOf(rows)));
        return std::nullopt;
    }
    const auto parts = hasProgressParts(valueOf(rows)) ? this->table.list(std::string(ProgressPartTable) + "/", 0) : Result<RowList>(RowList());
    if (!succeeded(parts)) {
        this->log.warn("The parts of jobs' progress cannot be read: " + toString(errorOf(parts)));
        return std::nullopt;
    }
    const auto bounds = this->table.get(std::string(AgentBoundsKey));
    if (!succeeded(bounds)) {
        this->log.warn("The bounds of agents cannot be read: " + toString(errorOf(bounds)));
        return std::nullopt;
    }
    return StoredState{storedJobsOf(valueOf(rows), valueOf(parts), this->log), storedBoundsOf(valueOf(bounds), this->log)};
}

void PlacerService::plan()
{
    if (!this->placer.isLeader()) {
        return;
    }
    this->placer.plan();
    this->pushAssignments();
    this->writeTicker->nudge();
}

void PlacerService::write()
{
    this->writeBounds();
    this->writeProgress();
}

/** Writes the bounds of the agents' runs when that is due, on condition that the term lasts and that no other write came between. */
void PlacerService::writeBounds()
{
    const auto write = this->placer.takeBoundsWrite();
    if (!write) {
        return;
    }
    const std::string key(AgentBoundsKey);
    const auto committed = this->table.commit(
        Transaction{this->ids.next(), {{std::string(PlacerKey), write->epoch}, {key, write->revision}}, {{key, encodeAgentBounds(write->bounds)}}});
    if (succeeded(committed)) {
        this->placer.boundsWritten(*write, valueOf(committed).revision);
    } else if (errorOf(committed).kind == ErrorKind::PlatformDown) {
        this->placer.boundsNotWritten(*write);
    } else {
        this->log.warn("The bounds of agents may not have been written: " + toString(errorOf(committed)));
        const auto row = this->table.get(key);
        this->placer.boundsInDoubt(*write, succeeded(row) ? std::optional(storedBoundsOf(valueOf(row), this->log)) : std::nullopt);
    }
}

/** Writes all pending progress, one transaction at a time, each on condition that its term lasts; steps down when a write is rejected. */
void PlacerService::writeProgress()
{
    auto writes = this->placer.takeWrites();
    auto lastEffectAt = this->clock.now();
    bool isStallLogged = false;
    while (!writes.empty()) {
        const auto committed = this->table.commit(transactionOf(this->ids.next(), writes));
        if (succeeded(committed)) {
            if (isStallLogged) {
                this->log.info("The progress of jobs is written again.", {{"after_ms", millisSince(lastEffectAt, this->clock.now())}});
            }
            lastEffectAt = this->clock.now();
            isStallLogged = false;
            this->placer.written(writes, valueOf(committed).revision);
            this->pushAssignments();
            this->writeBounds();
            writes = this->placer.takeWrites();
        } else if (errorOf(committed).kind == ErrorKind::Rejected) {
            this->placer.refused(writes, toString(errorOf(committed)));
            writes = this->placer.takeWrites();
        } else if (errorOf(committed).kind == ErrorKind::PlatformDown) {
            if (!isStallLogged && this->clock.now() - lastEffectAt >= this->options.stallLogAfter) {
                isStallLogged = true;
                this->log.warn("Nothing starts, as the progress of jobs cannot be written.",
                               {{"rows", std::to_string(writes.size())},
                                {"since_ms", millisSince(lastEffectAt, this->clock.now())},
                                {"reason", errorOf(committed).message}});
            }
            this->clock.sleepFor(this->options.writeRetry);
            if (!this->placer.isCurrent(writes)) {
                return;
            }
        } else {
            this->placer.notWritten(writes, "progress could not be written: " + toString(errorOf(committed)));
            return;
        }
    }
}

void PlacerService::pushAssignments()
{
    for (auto &outgoing : this->placer.takeSyncs()) {
        const auto address = outgoing.address;
        {
            const std::lock_guard<std::mutex> guard(this->pushMutex);
            const bool isQueued = !this->queuedPushes.insert_or_assign(address, std::move(outgoing.sync)).second;
            if (isQueued) {
                continue;
            }
        }
        if (!this->pushPool->post([this, address] { this->push(address); })) {
            const std::lock_guard<std::mutex> guard(this->pushMutex);
            this->queuedPushes.erase(address);
            this->log.warn("The queue of outgoing assignments is full; agents get theirs in the answers to their next reports.");
        }
    }
}

/** Sends the newest assignments for the agent at @p address. */
void PlacerService::push(const std::string &address)
{
    AssignmentSync sync;
    {
        const std::lock_guard<std::mutex> guard(this->pushMutex);
        sync = std::move(this->queuedPushes.extract(address).mapped());
    }
    const auto reply = this->nodes.call(address, sync, this->options.pushTimeout);
    if (!succeeded(reply)) {
        this->log.warn("Assignments to " + address + " were not acknowledged; they are repeated in the answer to its next report: " + toString(errorOf(reply)));
    }
}

void PlacerService::reset(const RowList &rows)
{
    this->jobCache.reset(rows);
    this->nudge();
}

void PlacerService::apply(const ChangeBatch &batch)
{
    this->jobCache.apply(batch);
    if (!batch.changes.empty()) {
        this->nudge();
    }
}

void PlacerService::noticeRow(const Row &row)
{
    const auto dropAt = this->clock.now() + Millis(LongestNoticeAgeMs);
    const bool isPosted = this->pushPool->post([this, row, dropAt] {
        if (!this->sendNotice(row)) {
            const std::lock_guard<std::mutex> guard(this->noticeMutex);
            if (this->missedNotices.size() < MaxMissedNotices) {
                this->missedNotices.push_back({row, dropAt});
            } else {
                this->log.info("Too many notices wait for a leader; the leading placer finds " + row.key + " in the table.");
            }
        }
    });
    if (!isPosted) {
        this->log.info("The queue of outgoing messages is full; the leading placer finds " + row.key + " in the table.");
    }
}

/** Tells the entry that leads now of @p row. Returns whether it has been told, or is this one. */
bool PlacerService::sendNotice(const Row &row)
{
    const auto leader = this->election.lastKnown();
    if (!leader || leader->holder.isEmpty()) {
        return false;
    }
    if (leader->holder == this->self) {
        this->nudge();
        return this->placer.isLeader();
    }
    const auto reply = expectReply<Ack>(this->nodes.call(leader->address, RowNotice{row}, this->options.pushTimeout));
    if (!succeeded(reply)) {
        this->log.info("The leading placer at " + leader->address + " was not told of " + row.key + "; it follows the table: " + toString(errorOf(reply)));
    }
    return succeeded(reply);
}

/** Sends again the notices that no leader took. One after another until one fails, so that a silent leader holds a single thread. */
void PlacerService::repeatNotices()
{
    {
        const std::lock_guard<std::mutex> guard(this->noticeMutex);
        if (this->missedNotices.empty() || this->isRepeatingNotices) {
            return;
        }
        this->isRepeatingNotices = true;
    }
    const bool isPosted = this->pushPool->post([this] {
        std::unique_lock<std::mutex> lock(this->noticeMutex);
        while (!this->missedNotices.empty()) {
            const auto notice = this->missedNotices.front();
            lock.unlock();
            const bool isDone = this->clock.now() >= notice.dropAt || this->sendNotice(notice.row);
            lock.lock();
            if (!isDone) {
                break;
            }
            this->missedNotices.pop_front();
        }
        this->isRepeatingNotices = false;
    });
    if (!isPosted) {
        const std::lock_guard<std::mutex> guard(this->noticeMutex);
        this->isRepeatingNotices = false;
    }
}

/** Whether a notice of @p row can be taken over: late ones may be of jobs that were removed meanwhile. */
bool PlacerService::isRecent(const Row &row) const
{
    const auto name = parseJobKey(row.key);
    if (!name || name->kind == JobRowKind::Progress) {
        return false;
    }
    if (name->kind == JobRowKind::Cancellation) {
        return this->jobCache.contains(name->job);
    }
    const auto submission = parseSubmission(row.value);
    return succeeded(submission) && std::abs(this->clock.wallMillis() - valueOf(submission).acceptedAt) <= LongestNoticeAgeMs;
}

Message PlacerService::take(const RowNotice &notice)
{
    const auto &row = notice.row;
    if (row.key == this->election.key()) {
        const auto grant = parseDuty(row.value);
        if (succeeded(grant) && valueOf(grant).term == Millis(0)) {
            this->election.noteGivenUp(valueOf(grant));
            if (this->isRunning.load(std::memory_order_acquire)) {
                this->electionTicker->nudge();
            }
        }
        return Ack{};
    }
    // An entry that is about to lead may have read the jobs before the row was written.
    if (this->isRecent(row)) {
        this->jobCache.applyRow(row);
        this->nudge();
    }
    return this->placer.isLeader() ? Message(Ack{})
                                   : replyWith(makeError(ErrorKind::Stale, "this entry does not lead", "repeat the notice when the leader is known"));
}

Message PlacerService::handle(const Header & /*header*/, const Message &message)
{
    if (const auto *const notice = std::get_if<RowNotice>(&message)) {
        return this->take(*notice);
    }
    const auto *const report = std::get_if<AgentReport>(&message);
    if (report == nullptr) {
        return replyWith(makeError(ErrorKind::InvalidInput, "a placer accepts only reports of agents and notices of rows"));
    }
    auto sync = this->placer.report(*report);
    if (!succeeded(sync)) {
        return replyWith(errorOf(sync));
    }
    if (this->placer.isPlanDue()) {
        this->planTicker->nudge();
    }
    if (this->placer.isBoundsWriteUrgent()) {
        this->writeTicker->nudge();
    }
    return std::move(valueOf(sync));
}

} // namespace waxwingloft
