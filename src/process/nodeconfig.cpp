#include "waxwingloft/process/nodeconfig.h"

#include "waxwingloft/process/nearestname.h"

#include <toml++/toml.h>

#include <algorithm>

namespace waxwingloft {

namespace {

/** Reads keys of one TOML table into fields and collects mistakes with their places. */
class TableReader
{
public:
    TableReader(const toml::table &table, std::string prefix, std::vector<ConfigMistake> &mistakes)
        : table(table)
        , prefix(std::move(prefix))
        , mistakes(mistakes)
    {
    }

    void text(std::string_view key, std::string &field, bool isRequired = false)
    {
        const auto *const node = this->find(key, isRequired);
        if (node == nullptr) {
            return;
        }
        const auto value = node->value_exact<std::string>();
        if (!value) {
            this->fail(node->source(), key, "expected a string");
            return;
        }
        field = *value;
    }

    void texts(std::string_view key, std::vector<std::string> &field)
    {
        const auto *const node = this->find(key, false);
        if (node == nullptr) {
            return;
        }
        const auto *const array = node->as_array();
        if (array == nullptr) {
            this->fail(node->source(), key, "expected an array of strings");
            return;
        }
        for (const auto &item : *array) {
            const auto value = item.value_exact<std::string>();
            if (value) {
                field.push_back(*value);
            } else {
                this->fail(item.source(), key, "expected a string");
            }
        }
    }

    std::int64_t whole(std::string_view key, std::int64_t fallback, std::int64_t lowest, std::int64_t highest)
    {
        const auto *const node = this->find(key, false);
        if (node == nullptr) {
            return fallback;
        }
        const auto value = node->value_exact<std::int64_t>();
        if (!value || *value < lowest || *value > highest) {
            this->fail(node->source(), key, "expected a whole number from " + std::to_string(lowest) + " to " + std::to_string(highest));
            return fallback;
        }
        return *value;
    }

    double rate(std::string_view key, double fallback, double lowest, double highest)
    {
        const auto *const node = this->find(key, false);
        if (node == nullptr) {
            return fallback;
        }
        const auto value = node->value<double>();
        if (!value || !(*value >= lowest && *value <= highest)) {
            this->fail(node->source(), key, "expected a number from " + std::to_string(lowest) + " to " + std::to_string(highest));
            return fallback;
        }
        return *value;
    }

    void address(std::string_view key, std::string &field, bool isRequired)
    {
        this->text(key, field, isRequired);
        const auto colon = field.rfind(':');
        const auto port = colon == std::string::npos ? std::string() : field.substr(colon + 1);
        const bool isNumber = !port.empty() && port.size() <= 5 && port.find_first_not_of("0123456789") == std::string::npos && std::stoi(port) <= 65535;
        const auto *const node = this->table.get(key);
        if (node != nullptr && node->is_string() && (colon == 0 || !isNumber)) {
            this->fail(node->source(), key, "expected IP:PORT, such as \"127.0.0.1:7000\"");
        }
    }

    template<typename Enum>
    void name(std::string_view key, Enum &field)
    {
        std::string word(nameOf(field));
        this->text(key, word, true);
        const auto value = fromName<Enum>(word);
        if (value) {
            field = *value;
        } else {
            this->fail(this->table.get(key)->source(), key, "\"" + word + "\" is not one of " + allNames<Enum>());
        }
    }

    const toml::table *child(std::string_view key)
    {
        const auto *const node = this->find(key, false);
        if (node != nullptr && !node->is_table()) {
            this->fail(node->source(), key, "expected a table");
        }
        return node == nullptr ? nullptr : node->as_table();
    }

    void finish()
    {
        for (const auto &[key, node] : this->table) {
            const std::string name(key.str());
            if (std::find(this->knownKeys.begin(), this->knownKeys.end(), name) != this->knownKeys.end()) {
                continue;
            }
            const auto nearest = nearestName(name, this->knownKeys);
            this->fail(key.source(), name, nearest.empty() ? "unknown key" : "unknown key; did you mean \"" + nearest + "\"?");
        }
    }

private:
    const toml::node *find(std::string_view key, bool isRequired)
    {
        this->knownKeys.emplace_back(key);
        const auto *const node = this->table.get(key);
        if (node == nullptr && isRequired) {
            this->fail(this->table.source(), key, "is missing");
        }
        return node;
    }

    void fail(const toml::source_region &where, std::string_view key, const std::string &message)
    {
        this->mistakes.push_back({where.begin.line, where.begin.column, this->prefix + std::string(key) + ": " + message});
    }

    const toml::table &table;
    const std::string prefix;
    std::vector<ConfigMistake> &mistakes;
    std::vector<std::string> knownKeys;
};

constexpr auto ShortestZoneClose = Millis(2000); ///< leaves an agent some reports' time after the margin of its start permission
constexpr auto LongestZoneClose = Millis(600'000);

void readPlace(TableReader &root, NodeConfig &config, std::vector<ConfigMistake> &mistakes)
{
    const auto *const table = root.child("place");
    if (table == nullptr) {
        mistakes.push_back({1, 1, "place: is missing; add [place] with region and data_centre"});
        return;
    }
    TableReader place(*table, "place.", mistakes);
    place.text("region", config.location.region, true);
    place.text("data_centre", config.location.dataCentre, true);
    place.text("rack", config.location.rack);
    place.text("shard", config.shard);
    place.finish();
}

void readPlatform(TableReader &root, NodeConfig &config, std::vector<ConfigMistake> &mistakes)
{
    const auto *const table = root.child("platform");
    if (table == nullptr && isJobRole(config.role)) {
        return;
    }
    if (table == nullptr) {
        mistakes.push_back({1, 1, "platform: is missing; add [platform] with table_url and objects_url"});
        return;
    }
    TableReader platform(*table, "platform.", mistakes);
    platform.text("table_url", config.tableUrl, true);
    platform.text("objects_url", config.objectsUrl, true);
    config.tableCallsPerSecond = static_cast<double>(platform.whole("table_calls_per_second", 20, 1, 2000));
    platform.finish();
}

void readJobs(TableReader &root, NodeConfig &config, std::vector<ConfigMistake> &mistakes)
{
    const auto *const table = root.child("jobs");
    if (table == nullptr) {
        if (isJobRole(config.role)) {
            mistakes.push_back({1, 1, "jobs: is missing; add [jobs] with store and the addresses of the role"});
        }
        return;
    }
    const bool isEntry = config.role == NodeRole::JobEntry;
    TableReader jobs(*table, "jobs.", mistakes);
    jobs.address("store", config.jobs.storeAddress, true);
    jobs.address("front", config.jobs.frontAddress, isEntry);
    jobs.address("ready", config.jobs.readyAddress, isEntry);
    jobs.address("heartbeats", config.jobs.heartbeatAddress, !isEntry);
    jobs.address("executor", config.jobs.executorAddress, !isEntry);
    config.jobs.longestLease = Millis(jobs.whole("longest_lease_ms", config.jobs.longestLease.count(), 1000, 600'000));
    config.jobs.storeWritesPerSecond = jobs.rate("store_writes_per_s", config.jobs.storeWritesPerSecond, 1.0, 1e6);
    config.jobs.wantedLease = Millis(jobs.whole("lease_ms", config.jobs.wantedLease.count(), 1000, 600'000));
    const auto zoneCloseMs = jobs.whole("zone_close_ms", 0, ShortestZoneClose.count(), LongestZoneClose.count());
    config.jobs.zoneCloseTime = zoneCloseMs > 0 ? std::optional(Millis(zoneCloseMs)) : std::nullopt;
    jobs.finish();
}

void readLimits(TableReader &root, NodeConfig &config, std::vector<ConfigMistake> &mistakes)
{
    const auto *const table = root.child("limits");
    if (table == nullptr) {
        return;
    }
    TableReader limits(*table, "limits.", mistakes);
    config.httpThreads = static_cast<std::uint32_t>(limits.whole("http_threads", config.httpThreads, 4, 4096));
    config.rpcThreads = static_cast<std::uint32_t>(limits.whole("rpc_threads", config.rpcThreads, 2, 4096));
    config.eventCapacity = static_cast<std::uint32_t>(limits.whole("events", config.eventCapacity, 100, 1'000'000));
    config.taskLease = Millis(limits.whole("task_lease_ms", config.taskLease.count(), 1000, 600'000));
    config.checkpointInterval = Millis(limits.whole("checkpoint_interval_ms", config.checkpointInterval.count(), 1000, 86'400'000));
    config.balancerWait = Millis(limits.whole("balancer_wait_ms", config.balancerWait.count(), 0, 600'000));
    config.shutdownLimit = Millis(limits.whole("shutdown_limit_ms", config.shutdownLimit.count(), 0, 86'400'000));
    limits.finish();
}

void readIngress(TableReader &root, IngressConfig &config, std::vector<ConfigMistake> &mistakes)
{
    const auto *const table = root.child("ingress");
    if (table == nullptr) {
        return;
    }
    TableReader ingress(*table, "ingress.", mistakes);
    const auto size = [&ingress](std::string_view key, std::size_t fallback, std::int64_t lowest, std::int64_t highest) {
        return static_cast<std::size_t>(ingress.whole(key, static_cast<std::int64_t>(fallback), lowest, highest));
    };
    config.memoryMb = size("memory_mb", config.memoryMb, 16, 1'000'000);
    config.connections = size("connections", config.connections, 16, 100'000);
    config.headerBytes = size("header_bytes", config.headerBytes, 1024, 1'000'000);
    config.headerFields = size("header_fields", config.headerFields, 16, 10'000);
    config.waitingRequests = size("waiting_requests", config.waitingRequests, 1, 100'000);
    config.headerTime = Millis(ingress.whole("header_ms", config.headerTime.count(), 100, 600'000));
    config.bodyTime = Millis(ingress.whole("body_ms", config.bodyTime.count(), 100, 600'000));
    config.bodyBytesPerSecond = size("body_bytes_per_s", config.bodyBytesPerSecond, 1, 1'000'000'000);
    config.answerTime = Millis(ingress.whole("answer_ms", config.answerTime.count(), 100, 600'000));
    config.idleTime = Millis(ingress.whole("idle_ms", config.idleTime.count(), 100, 86'400'000));
    ingress.finish();
}

} // namespace

ParsedNodeConfig parseNodeConfig(const std::string &text)
{
    ParsedNodeConfig parsed;
    toml::table table;
    try {
        table = toml::parse(text);
    } catch (const toml::parse_error &error) {
        parsed.mistakes.push_back({error.source().begin.line, error.source().begin.column, std::string(error.description())});
        return parsed;
    }
    auto &config = parsed.config;
    TableReader root(table, "", parsed.mistakes);
    root.name("role", config.role);
    root.text("node", config.node, true);
    root.address("rpc_address", config.rpcAddress, true);
    root.address("http_address", config.httpAddress, true);
    root.texts("entries", config.entries);
    root.text("operator_token", config.operatorToken, config.role == NodeRole::Entry);
    root.text("log_level", config.logLevel);
    readPlace(root, config, parsed.mistakes);
    readPlatform(root, config, parsed.mistakes);
    readJobs(root, config, parsed.mistakes);
    readLimits(root, config, parsed.mistakes);
    readIngress(root, config.ingress, parsed.mistakes);
    root.finish();
    if (config.shard.empty()) {
        config.shard = config.location.dataCentre;
    }
    return parsed;
}

bool setZoneCloseTime(NodeConfig &config, const std::string &text)
{
    if (text.empty()) {
        return true;
    }
    constexpr std::size_t LongestNumber = 6; ///< digits
    const bool isNumber = text.size() <= LongestNumber && text.find_first_not_of("0123456789") == std::string::npos;
    const auto time = Millis(isNumber ? std::stol(text) : 0);
    if (time < ShortestZoneClose || time > LongestZoneClose) {
        return false;
    }
    config.jobs.zoneCloseTime = time;
    return true;
}

std::string toString(const ConfigMistake &mistake, const std::string &file)
{
    return file + ":" + std::to_string(mistake.line) + ":" + std::to_string(mistake.column) + ": " + mistake.message;
}

} // namespace waxwingloft
