// Clients hand in many short requests for wide jobs that no executor can do.
#include "site.h"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <cstdlib>

namespace waxwingloft::review {

namespace {

using Json = nlohmann::json;

constexpr std::size_t Executors = 4;
constexpr int Clients = 8;
constexpr int JobsOfClient = 190;
constexpr auto Pause = Millis(50); ///< of a client between two requests
constexpr int Tasks = 1500;
constexpr std::size_t EntryMemoryMb = 260; ///< memory_mb of an entry's machine
constexpr std::size_t AgentMemoryMb = 128; ///< memory_mb of an agent's machine
constexpr auto RestartTime = Millis(1000);
constexpr auto Look = Millis(20);
constexpr auto Watch = Millis(25'000);
constexpr auto SmallWork = Millis(500);
constexpr auto SmallJob = "/queue/00000000000000f1";
constexpr auto SmallTask = "00000000000000f1.";

std::string pathOf(int number)
{
    const auto digits = std::to_string(number);
    return "/queue/f" + std::string(15 - digits.size(), '0') + digits;
}

/** Ends processes that use more memory than their machine has, and starts them again, as the platform does. */
class MemoryWatch
{
public:
    MemoryWatch(Site &site, Record &record)
        : site(site)
        , record(record)
        , thread([this] { this->run(); })
    {
    }

    ~MemoryWatch()
    {
        this->isOver = true;
        this->thread.join();
    }

    MemoryWatch(const MemoryWatch &) = delete;
    MemoryWatch &operator=(const MemoryWatch &) = delete;

    int ends() const
    {
        return this->count;
    }

private:
    void run()
    {
        while (!this->isOver) {
            for (std::size_t number = 0; number < this->site.entries(); ++number) {
                this->look(this->site.entry(number), EntryMemoryMb);
            }
            for (std::size_t number = 0; number < this->site.executors(); ++number) {
                this->look(this->site.agent(number), AgentMemoryMb);
            }
            std::this_thread::sleep_for(Look);
        }
    }

    void look(Daemon &daemon, std::size_t limitMb)
    {
        const auto used = daemon.memoryMb();
        if (used <= limitMb) {
            return;
        }
        ++this->count;
        this->record.line("platform  ends " + daemon.name + ", which uses " + std::to_string(used) + " MB of " + std::to_string(limitMb));
        daemon.signal(SIGKILL);
        std::this_thread::sleep_for(RestartTime);
        waitFor(RestartTime, [&daemon] { return daemon.hasEnded(); });
        daemon.start();
    }

    Site &site;
    Record &record;
    std::atomic<bool> isOver = false;
    std::atomic<int> count = 0;
    std::thread thread;
};

int play(Record &record)
{
    SiteOptions options;
    options.settings = settingsWithOneRoute();
    for (std::size_t number = 0; number < Executors; ++number) {
        options.labels.push_back({"a", "r1-" + std::to_string(number / 3)});
    }
    Site site(record, options);
    if (!site.waitUntilReady()) {
        return CouldNotRun;
    }
    const MemoryWatch memory(site, record);
    std::atomic<int> accepted = 0;
    std::vector<std::thread> crowd;
    for (int client = 0; hasTrouble() && client < Clients; ++client) {
        crowd.emplace_back([&site, &accepted, client] {
            const Json wide{{"count", Tasks}, {"cpu", 100}, {"mem_mb", 10}, {"estimate_ms", 1000}, {"requires", "b"}};
            const auto body = Json{{"spec", "1000"}, {"steps", Json::array({wide})}}.dump();
            for (int number = 0; number < JobsOfClient; ++number) {
                const auto answer = site.ask(static_cast<std::size_t>(client) % site.entries(), "POST", pathOf(client * JobsOfClient + number), body);
                accepted += answer.status / 100 == 2 ? 1 : 0;
                std::this_thread::sleep_for(Pause);
            }
        });
    }
    for (auto &client : crowd) {
        client.join();
    }
    record.line("wide jobs accepted: " + std::to_string(accepted.load()) + " of " + std::to_string(Clients * JobsOfClient));
    std::this_thread::sleep_for(Millis(2000));
    const Json one{{"count", 1}, {"cpu", 1000}, {"mem_mb", 1000}, {"estimate_ms", SmallWork.count()}};
    if (!site.submit(SmallJob, {{"spec", std::to_string(SmallWork.count())}, {"steps", Json::array({one})}})) {
        return CouldNotRun;
    }
    const auto begunOf = [&site](const std::string &prefix) {
        const auto starts = site.runs.starts();
        return std::count_if(starts.begin(), starts.end(), [&prefix](const Start &start) { return start.task.starts_with(prefix); });
    };
    waitFor(Watch, [&begunOf] { return begunOf(SmallTask) > 0; });
    record.line("starts of the ordinary job: " + std::to_string(begunOf(SmallTask)) + "; of all: " + std::to_string(site.runs.starts().size()));
    record.line("processes ended for their memory: " + std::to_string(memory.ends()));
    return begunOf(SmallTask) == 0 || memory.ends() >= 3 ? RuleBroken : RuleHeld;
}

} // namespace

} // namespace waxwingloft::review

int main(int argc, char **argv)
{
    return waxwingloft::review::runCase(argc, argv, &waxwingloft::review::play);
}
