#include "waxwingloft/connection/httpserver.h"

#include "httpconnection.h"
#include "waxwingloft/process/guard.h"
#include "waxwingloft/process/logger.h"
#include "waxwingloft/process/threadpool.h"

#include <array>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <condition_variable>
#include <future>
#include <map>
#include <mutex>
#include <optional>
#include <stdexcept>
#include <thread>
#include <unordered_map>

namespace waxwingloft {

namespace {

constexpr auto SweepInterval = std::chrono::milliseconds(250); ///< a tenth of the shortest time limit
constexpr auto AcceptPause = std::chrono::milliseconds(100); ///< when descriptors have run out
constexpr auto AnswerTime = Millis(2000); ///< for the last answers of a listener that stops
constexpr int StatusInternal = 500;

asio::ip::tcp::endpoint endpointOf(const std::string &address)
{
    const auto colon = address.rfind(':');
    if (colon == std::string::npos) {
        throw std::runtime_error("cannot listen on " + address + "; give it as IP:PORT");
    }
    const auto host = address.substr(0, colon);
    const auto port = static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)));
    return {asio::ip::make_address(host == "localhost" ? "127.0.0.1" : host), port};
}

} // namespace

struct HttpServer::Core : public HttpConnectionHost {
    struct Listener;

    Core(IngressLimits limits, Metrics *metrics);
    ~Core() override;

    const IngressLimits &ingressLimits() const override;
    void enter(ConnectionKey connection, IngressPhase phase) override;
    void hold(ConnectionKey connection, std::size_t bytes) override;
    bool submit(const std::shared_ptr<HttpConnection> &connection, ListenerKey key, HttpRequest request) override;
    void finishRequest(ListenerKey key) override;
    bool isStopping(ListenerKey listener) const override;
    void note(IngressRefusal reason) override;
    void forget(ConnectionKey connection, ListenerKey listener) override;

    void run();
    Listener &at(ListenerKey key) const;
    void accept(ListenerKey key);
    void admit(ListenerKey key, asio::ip::tcp::socket socket);
    void armSweep();
    void drop(const IngressDrop &drop);
    void runOnLoop(const std::function<void()> &action);
    void closeConnections(ListenerKey key, bool all);

    /** How often a reason has occurred since its last log line. */
    struct Told {
        std::optional<Instant> at;
        std::uint64_t count = 0;
    };

    const IngressLimits limits;
    SystemClock clock;
    const Logger log;
    std::optional<CountersBy<IngressRefusal>> refusals;
    asio::io_context loop{1};
    asio::executor_work_guard<asio::io_context::executor_type> work;
    mutable std::mutex mutex; ///< guards the map of listeners, not what they point at
    std::map<ListenerKey, std::unique_ptr<Listener>> listeners;
    // All below belongs to the loop thread.
    IngressGovernor governor;
    std::array<Told, NameTable<IngressRefusal>::names.size()> told;
    std::unordered_map<ConnectionKey, std::shared_ptr<HttpConnection>> connections;
    ConnectionKey lastConnection = 0;
    asio::steady_timer sweepTimer;
    bool isSweeping = false;
    std::thread thread;
};

/** An address that is listened on. */
struct HttpServer::Core::Listener {
    Listener(asio::io_context &loop, HttpListenerOptions options)
        : options(options)
        , acceptor(loop)
        , pause(loop)
    {
    }

    const HttpListenerOptions options;
    HttpHandler handler;
    asio::ip::tcp::acceptor acceptor;
    asio::steady_timer pause;
    std::unique_ptr<ThreadPool> workers;
    bool isStopping = false; ///< of the loop thread
    std::mutex mutex;
    std::condition_variable wakeUp; ///< when a connection or a request has ended
    std::size_t open = 0; ///< connections
    std::size_t inHand = 0; ///< requests that were read and are not answered

    void count(std::size_t Listener::*counter, int change)
    {
        {
            const std::lock_guard<std::mutex> guard(this->mutex);
            this->*counter += static_cast<std::size_t>(change);
        }
        this->wakeUp.notify_all();
    }
};

HttpServer::Core::Core(IngressLimits limits, Metrics *metrics)
    : limits(limits)
    , log(LogPart::Http)
    , work(asio::make_work_guard(this->loop))
    , governor(limits)
    , sweepTimer(this->loop)
{
    if (metrics != nullptr) {
        this->refusals.emplace(*metrics, "waxwingloft_ingress_refusals_total", "Requests refused and connections closed by reason", "reason");
    }
    this->thread = std::thread([this] { this->run(); });
}

HttpServer::Core::~Core()
{
    this->work.reset();
    this->loop.stop();
    this->thread.join();
    this->connections.clear();
}

/** An exception ends one piece of work, never the loop. */
void HttpServer::Core::run()
{
    while (!this->loop.stopped()) {
        try {
            this->loop.run();
        } catch (const std::exception &error) {
            this->log.error(std::string("An unexpected error ended a piece of work of the HTTP server: ") + error.what());
        }
    }
}

const IngressLimits &HttpServer::Core::ingressLimits() const
{
    return this->limits;
}

void HttpServer::Core::enter(ConnectionKey connection, IngressPhase phase)
{
    this->governor.enter(connection, phase, this->clock.now());
}

void HttpServer::Core::hold(ConnectionKey connection, std::size_t bytes)
{
    for (const auto &victim : this->governor.hold(connection, bytes, this->clock.now())) {
        this->drop(victim);
    }
}

HttpServer::Core::Listener &HttpServer::Core::at(ListenerKey key) const
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    return *this->listeners.at(key);
}

void HttpServer::Core::accept(ListenerKey key)
{
    auto &listener = this->at(key);
    if (listener.isStopping) {
        return;
    }
    listener.acceptor.async_accept([this, key, &listener](const boost::system::error_code &error, asio::ip::tcp::socket socket) {
        if (error && listener.acceptor.is_open()) {
            listener.pause.expires_after(AcceptPause);
            listener.pause.async_wait([this, key](const boost::system::error_code &) { this->accept(key); });
            return;
        }
        if (!error) {
            runGuarded("the admission of a connection", [&] { this->admit(key, std::move(socket)); });
            this->accept(key);
        }
    });
}

void HttpServer::Core::admit(ListenerKey key, asio::ip::tcp::socket socket)
{
    auto &listener = this->at(key);
    const auto name = ++this->lastConnection;
    const auto bound = listener.options.connections == 0 ? this->limits.connections : listener.options.connections;
    const auto connection = std::make_shared<HttpConnection>(*this, name, key, listener.options.maxBodyBytes, std::move(socket));
    this->connections[name] = connection;
    listener.count(&Listener::open, 1);
    const auto drop = this->governor.open(name, {key, bound, listener.options.isReserved}, this->clock.now());
    if (drop) {
        this->drop(*drop);
    }
    connection->start();
    this->armSweep();
}

void HttpServer::Core::armSweep()
{
    if (this->isSweeping || this->connections.empty()) {
        return;
    }
    this->isSweeping = true;
    this->sweepTimer.expires_after(SweepInterval);
    this->sweepTimer.async_wait([this](const boost::system::error_code &error) {
        this->isSweeping = false;
        if (error) {
            return;
        }
        runGuarded("the look at slow connections", [this] {
            for (const auto &drop : this->governor.collectExpired(this->clock.now())) {
                this->drop(drop);
            }
        });
        this->armSweep();
    });
}

void HttpServer::Core::drop(const IngressDrop &drop)
{
    const auto found = this->connections.find(drop.connection);
    if (found == this->connections.end()) {
        return;
    }
    const auto connection = found->second;
    // The descriptor is needed at once; the answers that are not read leave no room for another.
    const bool closesAtOnce = !drop.reason || *drop.reason == IngressRefusal::NoConnections || statusOf(*drop.reason) == 0;
    if (drop.reason) {
        connection->refuse(*drop.reason);
    }
    if (closesAtOnce) {
        connection->close();
    }
}

void HttpServer::Core::note(IngressRefusal reason)
{
    constexpr auto LogInterval = Millis(5000); ///< for each reason; attacks repeat it thousands of times a second
    if (this->refusals) {
        this->refusals->add(reason);
    }
    auto &told = this->told.at(static_cast<std::size_t>(reason));
    ++told.count;
    const auto now = this->clock.now();
    if (told.at && now - *told.at < LogInterval) {
        return;
    }
    this->log.warn("Requests were refused or connections closed.",
                   {{"reason", std::string(nameOf(reason))},
                    {"since_last_line", std::to_string(told.count)},
                    {"connections", std::to_string(this->governor.openConnections())},
                    {"held_bytes", std::to_string(this->governor.heldBytes())}});
    told = {now, 0};
}

void HttpServer::Core::forget(ConnectionKey connection, ListenerKey listener)
{
    this->governor.close(connection);
    this->connections.erase(connection);
    this->at(listener).count(&Listener::open, -1);
}

bool HttpServer::Core::isStopping(ListenerKey listener) const
{
    return this->at(listener).isStopping;
}

bool HttpServer::Core::submit(const std::shared_ptr<HttpConnection> &connection, ListenerKey key, HttpRequest request)
{
    auto &listener = this->at(key);
    listener.count(&Listener::inHand, 1);
    // The pool's tasks are copyable, requests are large.
    const auto shared = std::make_shared<HttpRequest>(std::move(request));
    const bool isTaken = listener.workers->post([this, &listener, connection, shared] {
        HttpResponse response;
        try {
            listener.handler(*shared, response);
        } catch (const std::exception &error) {
            this->log.error(std::string("An unexpected error ended a request: ") + error.what());
            response = {};
            response.status = StatusInternal;
        }
        asio::post(this->loop, [connection, response = std::move(response)]() mutable { connection->answer(std::move(response)); });
    });
    if (!isTaken) {
        this->finishRequest(key);
    }
    return isTaken;
}

void HttpServer::Core::finishRequest(ListenerKey key)
{
    this->at(key).count(&Listener::inHand, -1);
}

/** Runs @p action on the loop thread and waits for its end. */
void HttpServer::Core::runOnLoop(const std::function<void()> &action)
{
    std::promise<void> isDone;
    asio::post(this->loop, [&action, &isDone] {
        action();
        isDone.set_value();
    });
    isDone.get_future().wait();
}

/** Closes connections of @p key; only those without a whole request, unless @p all. */
void HttpServer::Core::closeConnections(ListenerKey key, bool all)
{
    std::vector<std::shared_ptr<HttpConnection>> found;
    for (const auto &[name, connection] : this->connections) {
        if (connection->listenerKey() == key && (all || !connection->hasRequestInHand())) {
            found.push_back(connection);
        }
    }
    for (const auto &connection : found) {
        connection->close();
    }
}

HttpServer::HttpServer(IngressLimits limits, Metrics *metrics)
    : core(std::make_unique<Core>(limits, metrics))
{
}

HttpServer::~HttpServer() = default;

ListenerKey HttpServer::bind(const std::string &address, HttpListenerOptions options)
{
    auto listener = std::make_unique<Core::Listener>(this->core->loop, options);
    try {
        const auto endpoint = endpointOf(address);
        listener->acceptor.open(endpoint.protocol());
        listener->acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true));
        listener->acceptor.bind(endpoint);
        listener->acceptor.listen();
    } catch (const std::exception &) {
        throw std::runtime_error("cannot listen on " + address + "; check that the address is this host's and the port is free");
    }
    const std::lock_guard<std::mutex> guard(this->core->mutex);
    const auto key = this->core->listeners.size();
    this->core->listeners.emplace(key, std::move(listener));
    return key;
}

int HttpServer::port(ListenerKey listener) const
{
    return this->core->at(listener).acceptor.local_endpoint().port();
}

void HttpServer::start(ListenerKey key, HttpHandler handler)
{
    auto &listener = this->core->at(key);
    listener.handler = std::move(handler);
    listener.workers = std::make_unique<ThreadPool>("requests", listener.options.threads, this->core->limits.waitingRequests);
    asio::post(this->core->loop, [core = this->core.get(), key] { core->accept(key); });
}

bool HttpServer::waitUntilIdle(ListenerKey key, Clock &clock, Millis limit)
{
    auto &listener = this->core->at(key);
    std::unique_lock<std::mutex> lock(listener.mutex);
    return clock.waitFor(lock, listener.wakeUp, limit, [&listener] { return listener.inHand == 0; });
}

void HttpServer::stop(ListenerKey key)
{
    auto &listener = this->core->at(key);
    this->core->runOnLoop([this, key, &listener] {
        listener.isStopping = true;
        boost::system::error_code ignored;
        listener.acceptor.close(ignored);
        listener.pause.cancel();
        this->core->closeConnections(key, false);
    });
    if (listener.workers) {
        listener.workers->close();
    }
    {
        std::unique_lock<std::mutex> lock(listener.mutex);
        listener.wakeUp.wait_for(lock, AnswerTime, [&listener] { return listener.open == 0; });
    }
    this->core->runOnLoop([this, key] { this->core->closeConnections(key, true); });
}

} // namespace waxwingloft
