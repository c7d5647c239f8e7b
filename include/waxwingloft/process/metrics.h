#ifndef WAXWINGLOFT_PROCESS_METRICS_H
#define WAXWINGLOFT_PROCESS_METRICS_H

#include "waxwingloft/process/nametable.h"
#include "waxwingloft/process/outcome.h"

#include <array>
#include <memory>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>
#include <span>
#include <string>
#include <vector>

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
    StartsUnanswered, ///< runs with a start that may have taken effect though no answer came
    RunsListedUnexpectedly, ///< runs that an executor listed though they were not ordered or counted as over
    ExecutorCrashes, ///< executors that were replaced without having drained
    TasksGivenUp, ///< tasks that start no more because the executors that start them crash
    CallsWithoutTable, ///< callers' calls that were ended early because the table was known to be away
};

template<>
struct NameTable<Count> {
    static constexpr std::array<std::string_view, 18> names = {"waxwingloft_requests_accepted_total",
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
                                                               "waxwingloft_gangs_stopped_total",
                                                               "waxwingloft_starts_unanswered_total",
                                                               "waxwingloft_runs_listed_unexpectedly_total",
                                                               "waxwingloft_executor_crashes_total",
                                                               "waxwingloft_tasks_given_up_total",
                                                               "waxwingloft_calls_without_table_total"};
};

/** What a process shows the present value of. */
enum class Level {
    SettingsVersion,
    QueuedRequests,
    RunningRequests,
    KnownMembers,
    WaitingJobs,
    TableDown,
    ClosedZones, ///< that the operator keeps closed; only on the leading placer
    RunsInClosedZones, ///< that are left there; only on the leading placer
    LongWaits, ///< jobs with nothing running for too long beside room for them; only on the leading placer
};

template<>
struct NameTable<Level> {
    static constexpr std::array<std::string_view, 9> names = {"waxwingloft_settings_version",
                                                              "waxwingloft_queued_requests",
                                                              "waxwingloft_running_requests",
                                                              "waxwingloft_known_members",
                                                              "waxwingloft_waiting_jobs",
                                                              "waxwingloft_table_down",
                                                              "waxwingloft_closed_zones",
                                                              "waxwingloft_runs_in_closed_zones",
                                                              "waxwingloft_long_waits"};
};

/** The process's metrics. Thread safe; updates are atomic additions. */
class Metrics
{
public:
    Metrics();

    void add(Count count, double amount = 1.0);
    void set(Level level, double value);
    void addOutcome(Outcome outcome);

    /** Returns a counter called @p name for each of @p values of @p label. They live as long as this object; the same name and values give the same ones. */
    std::vector<prometheus::Counter *>
    addCounters(const std::string &name, const std::string &help, const std::string &label, std::span<const std::string_view> values);

    /** Returns all metrics in the Prometheus text format. */
    std::string text() const;

private:
    std::shared_ptr<prometheus::Registry> registry;
    std::array<prometheus::Counter *, NameTable<Count>::names.size()> counters{};
    std::array<prometheus::Gauge *, NameTable<Level>::names.size()> gauges{};
    std::vector<prometheus::Counter *> outcomes;
};

/** A counter for each enumerator of @p Enum, by the names of its table. Thread safe; updates are atomic additions. */
template<typename Enum>
class CountersBy
{
public:
    /** The counters belong to @p metrics, which must outlive this object. */
    CountersBy(Metrics &metrics, const std::string &name, const std::string &help, const std::string &label)
        : counters(metrics.addCounters(name, help, label, NameTable<Enum>::names))
    {
    }

    void add(Enum value) const
    {
        this->counters[static_cast<std::size_t>(value)]->Increment();
    }

private:
    const std::vector<prometheus::Counter *> counters;
};

} // namespace waxwingloft

#endif
