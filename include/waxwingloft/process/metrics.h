#ifndef WAXWINGLOFT_PROCESS_METRICS_H
#define WAXWINGLOFT_PROCESS_METRICS_H

#include "waxwingloft/process/nametable.h"
#include "waxwingloft/process/outcome.h"

#include <array>
#include <memory>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>
#include <string>

namespace waxwingloft {

/** What a process counts. Names follow the Prometheus conventions. */
enum class Count {
    RequestsAccepted,
    RequestsRefused,
    Retries,
    LateAnswers,
    RpcCalls,
    RpcFailures,
    RpcSentBytes,
    RpcReceivedBytes,
    TableCalls,
    TableFailures,
    JobsSubmitted,
    GangsStarted,
    GangsStopped,
};

template<>
struct NameTable<Count> {
    static constexpr std::array<std::string_view, 13> names = {"waxwingloft_requests_accepted_total",
                                                               "waxwingloft_requests_refused_total",
                                                               "waxwingloft_retries_total",
                                                               "waxwingloft_late_answers_total",
                                                               "waxwingloft_rpc_calls_total",
                                                               "waxwingloft_rpc_failures_total",
                                                               "waxwingloft_rpc_sent_bytes_total",
                                                               "waxwingloft_rpc_received_bytes_total",
                                                               "waxwingloft_table_calls_total",
                                                               "waxwingloft_table_failures_total",
                                                               "waxwingloft_jobs_submitted_total",
                                                               "waxwingloft_gangs_started_total",
                                                               "waxwingloft_gangs_stopped_total"};
};

/** What a process shows the present value of. */
enum class Level {
    SettingsVersion,
    QueuedRequests,
    RunningRequests,
    KnownMembers,
    WaitingJobs,
    TableDown,
};

template<>
struct NameTable<Level> {
    static constexpr std::array<std::string_view, 6> names = {"waxwingloft_settings_version",
                                                              "waxwingloft_queued_requests",
                                                              "waxwingloft_running_requests",
                                                              "waxwingloft_known_members",
                                                              "waxwingloft_waiting_jobs",
                                                              "waxwingloft_table_down"};
};

/** The process's metrics. Thread safe; updates are atomic additions. */
class Metrics
{
public:
    Metrics();

    void add(Count count, double amount = 1.0);
    void set(Level level, double value);
    void addOutcome(Outcome outcome);

    /** Returns all metrics in the Prometheus text format. */
    std::string text() const;

private:
    std::shared_ptr<prometheus::Registry> registry;
    std::array<prometheus::Counter *, NameTable<Count>::names.size()> counters{};
    std::array<prometheus::Gauge *, NameTable<Level>::names.size()> gauges{};
    std::array<prometheus::Counter *, NameTable<Outcome>::names.size()> outcomes{};
};

} // namespace waxwingloft

#endif
