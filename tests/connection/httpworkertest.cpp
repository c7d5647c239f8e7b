#include "waxwingloft/connection/httpbackend.h"

#include <gtest/gtest.h>
#include <httplib.h>
#include <nlohmann/json.hpp>
#include <thread>

namespace waxwingloft::tests {

namespace {

/** A worker that hands out a checkpoint and keeps what the last start was told. */
class CheckpointingWorker
{
public:
    explicit CheckpointingWorker(std::string checkpoint)
    {
        this->server.Post("/v1/tasks", [this](const httplib::Request &request, httplib::Response &) { this->started = request.body; });
        this->server.Post("/v1/tasks/t/checkpoint",
                          [checkpoint = std::move(checkpoint)](const httplib::Request &, httplib::Response &response) { response.body = checkpoint; });
        this->port = this->server.bind_to_any_port("127.0.0.1");
        this->thread = std::thread([this] { this->server.listen_after_bind(); });
        while (!this->server.is_running()) {
            std::this_thread::sleep_for(Millis(1));
        }
    }

    ~CheckpointingWorker()
    {
        this->server.stop();
        this->thread.join();
    }

    CheckpointingWorker(const CheckpointingWorker &) = delete;
    CheckpointingWorker &operator=(const CheckpointingWorker &) = delete;

    std::string base() const
    {
        return "http://127.0.0.1:" + std::to_string(this->port);
    }

    std::string started;

private:
    httplib::Server server;
    int port = 0;
    std::thread thread;
};

constexpr auto Timeout = Millis(5000);

} // namespace

TEST(HttpWorkerTest, HandsAllBytesOfACheckpointOn)
{
    using namespace std::string_literals;
    const auto checkpoint = "a\0b\n\u00e9"s;
    CheckpointingWorker worker(checkpoint);
    HttpWorker port(worker.base(), Timeout);
    const auto read = port.checkpoint("t");
    ASSERT_TRUE(succeeded(read));
    EXPECT_EQ(valueOf(read), checkpoint);
    TaskOrder order;
    order.id = "t";
    order.resumeFrom = valueOf(read);
    ASSERT_TRUE(succeeded(port.start(order)));
    EXPECT_EQ(nlohmann::json::parse(worker.started).at("resume_from").get<std::string>(), checkpoint);
}

// A checkpoint that no body can hold was stored, and each later start of its gang threw.
TEST(HttpWorkerTest, RefusesACheckpointThatNoStartCanCarry)
{
    CheckpointingWorker worker("\xff\xfe");
    HttpWorker port(worker.base(), Timeout);
    const auto read = port.checkpoint("t");
    ASSERT_FALSE(succeeded(read));
    EXPECT_EQ(errorOf(read).kind, ErrorKind::InvalidInput);
}

} // namespace waxwingloft::tests
