// The only source that includes Boost.Beast, which is slow to compile.
#include "httpconnection.h"

#include "waxwingloft/process/guard.h"

#include <array>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>

namespace waxwingloft {

namespace {

namespace http = boost::beast::http;
using ErrorCode = boost::system::error_code;

constexpr std::size_t BodyReadBytes = 16'384; ///< of one read
constexpr std::size_t HeaderReadBytes = 4096; ///< of one read; bounds the pipelined requests that a connection may hold
constexpr std::size_t DiscardedBytes = std::size_t(1) << 20U; ///< of a refused request, so that its sender reads the refusal
constexpr auto RetryAfterSeconds = "1"; ///< unfinished requests are dropped within seconds
constexpr auto ContinueLine = "HTTP/1.1 100 Continue\r\n\r\n";

/** A body that takes no memory ahead of its bytes: their number is the client's claim. */
struct GrowingBody {
    using value_type = std::string;

    class reader // NOLINT(readability-identifier-naming): the library asks for this name
    {
    public:
        template<bool IsRequest, typename Fields>
        reader(http::header<IsRequest, Fields> & /*header*/, value_type &body)
            : body(body)
        {
        }

        void init(const boost::optional<std::uint64_t> & /*length*/, ErrorCode &error)
        {
            error = {};
        }

        template<typename Buffers>
        std::size_t put(const Buffers &buffers, ErrorCode &error)
        {
            error = {};
            std::size_t count = 0;
            for (auto part = asio::buffer_sequence_begin(buffers); part != asio::buffer_sequence_end(buffers); ++part) {
                this->body.append(static_cast<const char *>(part->data()), part->size());
                count += part->size();
            }
            return count;
        }

        void finish(ErrorCode &error)
        {
            error = {};
        }

    private:
        value_type &body;
    };
};

IngressRefusal refusalOf(const ErrorCode &error)
{
    if (error == http::error::header_limit) {
        return IngressRefusal::HeadersTooLarge;
    }
    return error == http::error::body_limit ? IngressRefusal::BodyTooLarge : IngressRefusal::Malformed;
}

std::string reasonOf(IngressRefusal reason)
{
    return nlohmann::json{{"error", "the request was not run: " + std::string(nameOf(reason))}}.dump();
}

std::string toText(boost::beast::string_view view)
{
    return {view.data(), view.size()};
}

} // namespace

struct HttpConnection::Message {
    http::request_parser<GrowingBody> parser;
    bool hasHeaders = false;
    std::size_t headerBytes = 0;
    bool keepsAlive = false; ///< what the client asked for
    bool isHead = false;
    unsigned version = 11;
    http::response<http::string_body> response;
};

HttpConnection::HttpConnection(HttpConnectionHost &host, ConnectionKey key, ListenerKey listener, std::size_t maxBodyBytes, asio::ip::tcp::socket socket)
    : host(host)
    , key(key)
    , listener(listener)
    , maxBodyBytes(maxBodyBytes)
    , socket(std::move(socket))
{
}

HttpConnection::~HttpConnection() = default;

ListenerKey HttpConnection::listenerKey() const
{
    return this->listener;
}

bool HttpConnection::hasRequestInHand() const
{
    return this->phase == IngressPhase::Running || this->phase == IngressPhase::Answering;
}

void HttpConnection::enter(IngressPhase next)
{
    this->phase = next;
    this->host.enter(this->key, next);
}

void HttpConnection::start()
{
    ErrorCode error;
    this->socket.set_option(asio::ip::tcp::no_delay(true), error);
    this->socket.non_blocking(true, error);
    this->waitToRead(&HttpConnection::readSome);
}

/** Waits without a buffer, so that a connection without bytes takes no memory for them. */
void HttpConnection::waitToRead(Step step)
{
    if (!this->isOpen) {
        return;
    }
    this->socket.async_wait(asio::ip::tcp::socket::wait_read, [self = this->shared_from_this(), step](const ErrorCode &error) {
        const bool isUsable = !error && self->isOpen;
        if (!isUsable || !runGuarded("the reading of a connection", [&self, step] { (self.get()->*step)(); })) {
            self->close();
        }
    });
}

void HttpConnection::readSome()
{
    if (this->phase != IngressPhase::Idle && this->phase != IngressPhase::Headers && this->phase != IngressPhase::Body) {
        return;
    }
    std::array<char, BodyReadBytes> buffer; // NOLINT(cppcoreguidelines-pro-type-member-init): it is filled at once
    ErrorCode error;
    const auto room = this->phase == IngressPhase::Body ? BodyReadBytes : HeaderReadBytes;
    const auto count = this->socket.read_some(asio::buffer(buffer.data(), room), error);
    if (error == asio::error::would_block || error == asio::error::try_again) {
        this->waitToRead(&HttpConnection::readSome);
        return;
    }
    if (error) {
        // A client may end its sending side and read on.
        const bool isCutShort = error == asio::error::eof && this->phase != IngressPhase::Idle;
        if (isCutShort) {
            this->refuse(IngressRefusal::Malformed);
        } else {
            this->close();
        }
        return;
    }
    this->pending.append(buffer.data(), count);
    this->parse();
}

void HttpConnection::beginRequest()
{
    this->message = std::make_unique<Message>();
    this->message->parser.header_limit(static_cast<std::uint32_t>(this->host.ingressLimits().headerBytes));
    this->message->parser.body_limit(this->maxBodyBytes);
    this->enter(IngressPhase::Headers);
}

/** Parses what was read, and reads on or runs the request. */
void HttpConnection::parse()
{
    while (!this->pending.empty()) {
        if (!this->message) {
            this->beginRequest();
        }
        auto &parser = this->message->parser;
        ErrorCode error;
        const auto count = parser.put(asio::const_buffer(this->pending.data(), this->pending.size()), error);
        this->pending.erase(0, count);
        if (error && error != http::error::need_more) {
            this->refuse(refusalOf(error));
            return;
        }
        if (!this->message->hasHeaders && parser.is_header_done()) {
            this->message->headerBytes = count;
            if (!this->takeHeaders()) {
                return;
            }
        }
        if (parser.is_done()) {
            this->run();
            return;
        }
        if (count == 0) {
            break;
        }
    }
    // What the parser leaves unread is part of the headers, of a trailer or of the line of a chunk.
    if (this->pending.size() > this->host.ingressLimits().headerBytes) {
        this->refuse(IngressRefusal::HeadersTooLarge);
        return;
    }
    if (this->message) {
        this->host.hold(this->key, this->pending.capacity() + this->message->headerBytes + this->message->parser.get().body().capacity());
    }
    if (this->phase == IngressPhase::Idle || this->phase == IngressPhase::Headers || this->phase == IngressPhase::Body) {
        this->waitToRead(&HttpConnection::readSome);
    }
}

/** Returns whether the body may follow. */
bool HttpConnection::takeHeaders()
{
    this->message->hasHeaders = true;
    auto &parser = this->message->parser;
    const auto &request = parser.get();
    if (static_cast<std::size_t>(std::distance(request.begin(), request.end())) > this->host.ingressLimits().headerFields) {
        this->refuse(IngressRefusal::HeadersTooLarge);
        return false;
    }
    // Its length was checked against the limit with the headers; this is before any byte of the body is read.
    parser.eager(true);
    this->enter(IngressPhase::Body);
    if (!parser.is_done() && boost::beast::iequals(request[http::field::expect], "100-continue")) {
        this->continueBody();
    }
    return this->phase == IngressPhase::Body;
}

/** The line is far smaller than the socket's empty buffer, so that it is sent at once or the client reads no answers. */
void HttpConnection::continueBody()
{
    ErrorCode error;
    asio::write(this->socket, asio::buffer(std::string_view(ContinueLine)), error);
    if (error) {
        this->close();
    }
}

void HttpConnection::run()
{
    auto &whole = this->message->parser.get();
    HttpRequest request;
    request.method = toText(whole.method_string());
    request.path = pathOfTarget(toText(whole.target()));
    for (const auto &field : whole) {
        request.headers.emplace_back(toText(field.name_string()), toText(field.value()));
    }
    this->message->keepsAlive = whole.keep_alive();
    this->message->isHead = whole.method() == http::verb::head;
    this->message->version = whole.version();
    request.body = std::move(whole.body());
    this->host.hold(this->key, this->pending.capacity() + this->message->headerBytes + request.body.capacity());
    if (this->phase != IngressPhase::Headers && this->phase != IngressPhase::Body) {
        return;
    }
    this->enter(IngressPhase::Running);
    if (!this->host.submit(this->shared_from_this(), this->listener, std::move(request))) {
        this->enter(IngressPhase::Headers);
        this->refuse(IngressRefusal::NoWorkers);
    }
}

void HttpConnection::answer(HttpResponse answer)
{
    if (!this->isOpen || this->phase != IngressPhase::Running) {
        return;
    }
    this->enter(IngressPhase::Answering);
    if (!runGuarded("the answer to a request", [this, &answer] { this->send(std::move(answer)); })) {
        this->close();
    }
}

void HttpConnection::send(HttpResponse answer)
{
    auto &response = this->message->response;
    const bool endsConnection = answer.endsConnection || !this->message->keepsAlive || this->host.isStopping(this->listener);
    response.version(this->message->version);
    response.result(static_cast<unsigned>(answer.status));
    response.keep_alive(!endsConnection);
    for (const auto &[name, value] : answer.headers) {
        response.set(name, value);
    }
    if (!answer.contentType.empty()) {
        response.set(http::field::content_type, answer.contentType);
    }
    response.content_length(answer.body.size());
    if (!this->message->isHead) {
        response.body() = std::move(answer.body);
    }
    http::async_write(this->socket, response, [self = this->shared_from_this(), endsConnection](const ErrorCode &error, std::size_t /*bytes*/) {
        const bool isUsable = !error && self->isOpen;
        if (!isUsable || !runGuarded("the end of an answer", [&self, endsConnection] { self->finishAnswer(endsConnection); })) {
            self->close();
        }
    });
}

void HttpConnection::finishAnswer(bool endsConnection)
{
    this->host.finishRequest(this->listener);
    this->message.reset();
    if (endsConnection) {
        this->lingerAfterAnswer();
        return;
    }
    this->enter(IngressPhase::Idle);
    if (this->pending.empty()) {
        this->pending.shrink_to_fit();
        this->waitToRead(&HttpConnection::readSome);
    } else {
        this->parse();
    }
}

void HttpConnection::refuse(IngressRefusal reason)
{
    if (!this->isOpen || this->phase == IngressPhase::Closing) {
        return;
    }
    this->host.note(reason);
    if (this->hasRequestInHand()) {
        return;
    }
    const bool wasIdle = this->phase == IngressPhase::Idle;
    this->message.reset();
    this->pending = {};
    if (!wasIdle && statusOf(reason) != 0) {
        http::response<http::string_body> response(static_cast<http::status>(statusOf(reason)), 11);
        response.keep_alive(false);
        response.set(http::field::content_type, "application/json");
        if (isWorthRetrying(reason)) {
            response.set(http::field::retry_after, RetryAfterSeconds);
        }
        response.body() = reasonOf(reason);
        response.prepare_payload();
        // It does not block: a client that reads no answers gets none.
        ErrorCode ignored;
        http::write(this->socket, response, ignored);
    }
    this->lingerAfterAnswer();
}

/** Ends the sending side and reads on for a while: closing with unread bytes would take the answer from the client. */
void HttpConnection::lingerAfterAnswer()
{
    this->enter(IngressPhase::Closing);
    ErrorCode ignored;
    this->socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    this->waitToRead(&HttpConnection::discardSome);
}

void HttpConnection::discardSome()
{
    std::array<char, BodyReadBytes> buffer; // NOLINT(cppcoreguidelines-pro-type-member-init): its content is not used
    ErrorCode error;
    this->discarded += this->socket.read_some(asio::buffer(buffer), error);
    const bool isOver = error && error != asio::error::would_block && error != asio::error::try_again;
    if (isOver || this->discarded > DiscardedBytes) {
        this->close();
    } else {
        this->waitToRead(&HttpConnection::discardSome);
    }
}

void HttpConnection::close()
{
    if (!this->isOpen) {
        return;
    }
    this->isOpen = false;
    if (this->hasRequestInHand()) {
        this->host.finishRequest(this->listener);
    }
    ErrorCode ignored;
    this->socket.close(ignored);
    this->host.forget(this->key, this->listener);
}

} // namespace waxwingloft
