#include "waxwingloft/request/executoragent.h"

#include "waxwingloft/process/guard.h"

namespace waxwingloft {

namespace {

constexpr std::size_t MaxQueuedOrders = 10'000;

} // namespace

ExecutorAgent::ExecutorAgent(Clock &clock,
                             Metrics &metrics,
                             TableStore &table,
                             NodePort &nodes,
                             ExecutorPort &executor,
                             PlacerDirectory &directory,
                             NodeId self,
                             std::string address,
                             ExecutorControllerOptions controllerOptions,
                             ExecutorAgentOptions options)
    : clock(clock)
    , table(table)
    , nodes(nodes)
    , executor(executor)
    , directory(directory)
    , self(self)
    , options(options)
    , log(LogPart::Gangs)
    , controller(clock, metrics, std::move(self), std::move(address), controllerOptions)
    , lastPlacerAnswerAt(clock.now())
{
}

ExecutorAgent::~ExecutorAgent()
{
    this->stop();
}

void ExecutorAgent::start()
{
    this->orderPool = std::make_unique<ThreadPool>("orders to the executor", this->options.orderThreads, MaxQueuedOrders);
    this->reportTicker = std::make_unique<Ticker>("reports to the placer", this->options.reportInterval, [this] { this->report(); });
    this->orderTicker = std::make_unique<Ticker>("due orders", this->options.orderInterval, [this] { this->sendOrders(); });
    this->directory.setListener([this] { this->reportTicker->nudge(); });
    this->controller.setWakeUp([this] {
        this->orderTicker->nudge();
        this->reportTicker->nudge();
        this->wakeUp.notify_all();
    });
    this->pollThread = std::thread([this] { this->pollLoop(); });
}

void ExecutorAgent::stop()
{
    if (!this->pollThread.joinable()) {
        return;
    }
    {
        const std::lock_guard<std::mutex> guard(this->mutex);
        this->isStopping = true;
    }
    this->wakeUp.notify_all();
    this->pollThread.join();
    this->reportTicker->stop();
    this->orderTicker->stop();
    this->orderPool->close();
}

bool ExecutorAgent::finish(Millis limit)
{
    const auto deadline = this->clock.now() + limit;
    while (this->controller.hasUnconfirmedEnds()) {
        if (this->clock.now() >= deadline) {
            this->log.warn("Stopping before the placer has confirmed that all runs of the executor are over; it waits until their leases expire.");
            return false;
        }
        this->clock.sleepFor(this->options.finishPollInterval);
    }
    return true;
}

Message ExecutorAgent::handle(const Header & /*header*/, const Message &message)
{
    const auto *const sync = std::get_if<AssignmentSync>(&message);
    if (sync == nullptr) {
        return replyWith(makeError(ErrorKind::InvalidInput, "an agent accepts only assignments"));
    }
    this->controller.apply(*sync);
    return Ack{};
}

void ExecutorAgent::heartbeat(const ExecutorHeartbeat &heartbeat)
{
    this->controller.heartbeat(heartbeat);
}

void ExecutorAgent::deregister(const ExecutorIncarnation &incarnation)
{
    this->controller.deregister(incarnation);
}

/**
 * Writes the agent's row and uses its revision as the generation. It is higher than every earlier epoch and generation,
 * so earlier orders that are still in flight are fenced off. The placer row names the lowest epoch that this agent obeys.
 */
bool ExecutorAgent::acquireGeneration()
{
    if (!this->controller.needsGeneration()) {
        return true;
    }
    const auto placer = this->table.get(std::string(PlacerKey));
    if (!succeeded(placer)) {
        this->log.warn("Row " + std::string(PlacerKey) + " cannot be read: " + toString(errorOf(placer)));
        return false;
    }
    if (valueOf(placer)) {
        this->directory.applyRow(*valueOf(placer));
    }
    const auto key = "agents/" + this->self.value;
    const auto row = this->table.get(key);
    if (!succeeded(row)) {
        this->log.warn("Row " + key + " cannot be read: " + toString(errorOf(row)));
        return false;
    }
    const auto revision = valueOf(row) ? valueOf(row)->revision : 0;
    const auto operation = std::to_string(this->clock.wallMillis());
    const auto written = this->table.commit(Transaction{operation, {{key, revision}}, {{key, "{}"}}});
    if (!succeeded(written)) {
        this->log.warn("Row " + key + " cannot be written: " + toString(errorOf(written)));
        return false;
    }
    this->log.info("The agent has generation " + std::to_string(valueOf(written).revision) + ".");
    this->controller.setGeneration(valueOf(written).revision, valueOf(placer) ? valueOf(placer)->revision : 0);
    return true;
}

void ExecutorAgent::report()
{
    if (!this->acquireGeneration()) {
        this->clock.sleepFor(this->options.reportRetry);
        this->reportTicker->nudge();
        return;
    }
    const auto address = this->directory.placerAddress();
    const auto report = this->controller.report();
    if (!report || address.empty()) {
        return;
    }
    const auto changes = this->controller.changes();
    const auto sentAt = this->clock.now();
    const auto answer = expectReply<AssignmentSync>(this->nodes.call(address, *report, this->options.reportTimeout));
    if (succeeded(answer)) {
        this->lastPlacerAnswerAt = this->clock.now();
        this->controller.applyAnswer(valueOf(answer), sentAt);
        if (this->controller.changes() != changes) {
            this->reportTicker->nudge();
        }
        return;
    }
    if (this->clock.now() - this->lastPlacerAnswerAt >= this->options.placerRowReadAfter) {
        this->readPlacerRow();
    }
    this->clock.sleepFor(this->options.reportRetry);
    this->reportTicker->nudge();
}

/** Reads the leading placer from the table, because the change feed may be interrupted. */
void ExecutorAgent::readPlacerRow()
{
    this->lastPlacerAnswerAt = this->clock.now();
    const auto row = this->table.get(std::string(PlacerKey));
    if (succeeded(row) && valueOf(row)) {
        this->directory.applyRow(*valueOf(row));
    }
}

void ExecutorAgent::sendOrders()
{
    for (auto &order : this->controller.takeDueOrders()) {
        const bool isPosted = this->orderPool->post([this, order] { this->sendOrder(order); });
        if (!isPosted) {
            const auto error = makeError(ErrorKind::LimitExceeded, "the queue of outgoing orders is full");
            order.isStop ? this->controller.stopAnswered(order, error) : this->controller.startAnswered(order, error);
        }
    }
}

void ExecutorAgent::sendOrder(const DueOrder &order)
{
    if (order.isStop) {
        this->controller.stopAnswered(order, this->executor.stop(order.incarnation, order.start.run, order.start.fencingToken));
    } else if (!this->controller.maySendStarts()) {
        this->controller.startAnswered(order, makeError(ErrorKind::Unreachable, "the permission to start has expired before the start was sent"));
    } else {
        this->controller.startAnswered(order, this->executor.start(order.incarnation, order.start));
    }
}

void ExecutorAgent::pollLoop()
{
    std::unique_lock<std::mutex> lock(this->mutex);
    while (!this->isStopping) {
        lock.unlock();
        bool isApplied = false;
        runGuarded("polls of the executor", [this, &isApplied] { isApplied = this->pollOnce(); });
        lock.lock();
        if (!isApplied && !this->isStopping) {
            this->wakeUp.wait_for(lock, this->options.pollRetry);
        }
    }
}

/** Returns whether the executor's lists were taken over. */
bool ExecutorAgent::pollOnce()
{
    const auto poll = this->controller.nextRunListQuery();
    if (!poll) {
        return false;
    }
    const auto answer = this->executor.pollRuns(poll->incarnation, poll->question);
    const bool isApplied = this->controller.runListAnswered(*poll, answer);
    if (!succeeded(answer) && poll->isOfLeaver && this->executor.isAbsent()) {
        this->controller.leaverIsAbsent(*poll);
    }
    return isApplied;
}

} // namespace waxwingloft
