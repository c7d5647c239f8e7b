#include "waxwingloft/request/executoragent.h"

namespace waxwingloft {

namespace {

constexpr std::size_t MaxQueuedOrders = 10'000;

} // namespace

ExecutorAgent::ExecutorAgent(Clock &clock,
                             TableStore &table,
                             NodePort &nodes,
                             ExecutorPort &executor,
                             PlacerDirectory &office,
                             NodeId self,
                             std::string address,
                             ExecutorControllerOptions keeperTerms,
                             ExecutorAgentOptions options)
    : clock(clock)
    , table(table)
    , nodes(nodes)
    , executor(executor)
    , office(office)
    , self(self)
    , options(options)
    , log(LogPart::Gangs)
    , keeper(clock, std::move(self), std::move(address), keeperTerms)
    , placerHeardAt(clock.now())
{
}

ExecutorAgent::~ExecutorAgent()
{
    this->stop();
}

void ExecutorAgent::start()
{
    this->orders = std::make_unique<ThreadPool>(this->options.orderThreads, MaxQueuedOrders);
    this->reporting = std::make_unique<Ticker>(this->options.reportInterval, [this] { this->report(); });
    this->ordering = std::make_unique<Ticker>(this->options.orderInterval, [this] { this->sendOrders(); });
    this->office.setListener([this] { this->reporting->nudge(); });
    this->keeper.setWakeUp([this] {
        this->ordering->nudge();
        this->reporting->nudge();
        this->wakeUp.notify_all();
    });
    this->holding = std::thread([this] { this->holdLoop(); });
}

void ExecutorAgent::stop()
{
    if (!this->holding.joinable()) {
        return;
    }
    {
        const std::lock_guard<std::mutex> guard(this->mutex);
        this->isStopping = true;
    }
    this->wakeUp.notify_all();
    this->holding.join();
    this->reporting->stop();
    this->ordering->stop();
    this->orders->close();
}

bool ExecutorAgent::finish(Millis limit)
{
    const auto deadline = this->clock.now() + limit;
    while (this->keeper.awaitsEnds()) {
        if (this->clock.now() >= deadline) {
            this->log.warn("Stopping before the placer knows that all runs of the executor are over; it waits for their lease.");
            return false;
        }
        this->clock.sleepFor(this->options.finishLook);
    }
    return true;
}

Message ExecutorAgent::handle(const Header & /*header*/, const Message &message)
{
    const auto *const sync = std::get_if<AssignmentSync>(&message);
    if (sync == nullptr) {
        return replyWith(makeError(ErrorKind::InvalidInput, "an agent takes assignments only"));
    }
    this->keeper.apply(*sync);
    return Ack{};
}

void ExecutorAgent::heartbeat(const ExecutorHeartbeat &heartbeat)
{
    this->keeper.heartbeat(heartbeat);
}

void ExecutorAgent::deregister(const std::string &executorId)
{
    this->keeper.deregister(executorId);
}

/**
 * Writes the agent's row. Its revision is the generation: it is higher than every epoch and generation before,
 * so orders that are still under way from before are fenced off.
 */
bool ExecutorAgent::begin()
{
    if (!this->keeper.needsGeneration()) {
        return true;
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
    this->log.info("Agent of generation " + std::to_string(valueOf(written).revision) + ".");
    this->keeper.setGeneration(valueOf(written).revision);
    return true;
}

void ExecutorAgent::report()
{
    if (!this->begin()) {
        this->clock.sleepFor(this->options.reportRetry);
        this->reporting->nudge();
        return;
    }
    const auto address = this->office.placerAddress();
    const auto report = this->keeper.report();
    if (!report || address.empty()) {
        return;
    }
    const auto changes = this->keeper.changes();
    const auto sentAt = this->clock.now();
    const auto answer = expectReply<AssignmentSync>(this->nodes.call(address, *report, this->options.reportTimeout));
    if (succeeded(answer)) {
        this->placerHeardAt = this->clock.now();
        this->keeper.applyAnswer(valueOf(answer), sentAt);
        if (this->keeper.changes() != changes) {
            this->reporting->nudge();
        }
        return;
    }
    if (this->clock.now() - this->placerHeardAt >= this->options.officeReadAfter) {
        this->readOffice();
    }
    this->clock.sleepFor(this->options.reportRetry);
    this->reporting->nudge();
}

/** Looks who is in office, as the feed may be silent just now. */
void ExecutorAgent::readOffice()
{
    this->placerHeardAt = this->clock.now();
    const auto row = this->table.get(std::string(PlacerKey));
    if (succeeded(row) && valueOf(row)) {
        this->office.take(*valueOf(row));
    }
}

void ExecutorAgent::sendOrders()
{
    for (auto &order : this->keeper.takeDueOrders()) {
        const bool isPosted = this->orders->post([this, order] { this->carryOut(order); });
        if (!isPosted) {
            const auto error = makeError(ErrorKind::LimitExceeded, "too many orders wait to be sent");
            order.isStop ? this->keeper.stopAnswered(order, error) : this->keeper.startAnswered(order, error);
        }
    }
}

void ExecutorAgent::carryOut(const DueOrder &order)
{
    if (order.isStop) {
        this->keeper.stopAnswered(order, this->executor.stop(order.incarnation, order.start.run, order.start.fencingToken));
    } else {
        this->keeper.startAnswered(order, this->executor.start(order.incarnation, order.start));
    }
}

void ExecutorAgent::holdLoop()
{
    std::unique_lock<std::mutex> lock(this->mutex);
    while (!this->isStopping) {
        lock.unlock();
        const auto hold = this->keeper.nextRunListQuery();
        bool isAnswered = false;
        if (hold) {
            const auto answer = this->executor.hold(hold->incarnation, hold->question);
            isAnswered = succeeded(answer);
            this->keeper.runListAnswered(*hold, answer);
        }
        lock.lock();
        if (!isAnswered && !this->isStopping) {
            this->wakeUp.wait_for(lock, this->options.holdRetry);
        }
    }
}

} // namespace waxwingloft
