#ifndef WAXWINGLOFT_TESTS_INGRESS_INGRESSSITE_H
#define WAXWINGLOFT_TESTS_INGRESS_INGRESSSITE_H

#include "httpexecutor.h"
#include "platform/fakestore.h"

#include <memory>
#include <string>
#include <sys/types.h>

namespace waxwingloft::tests {

/** A process of the product, with its peaks of memory and descriptors. */
class DaemonProcess
{
public:
    /** Starts the daemon with @p settings; files go below @p folder under @p name. WAXWINGLOFT_TESTED_DAEMON names one of another build. */
    DaemonProcess(const std::string &folder, const std::string &name, const std::string &settings);
    ~DaemonProcess();
    DaemonProcess(const DaemonProcess &) = delete;
    DaemonProcess &operator=(const DaemonProcess &) = delete;

    bool isAlive();

    /** Sends @p number to the process if it is alive. */
    void sendSignal(int number);

    std::size_t peakResidentKib() const;

    /** Counts the open descriptors now. */
    std::size_t descriptors() const;

private:
    pid_t process = -1;
};

/** One entry, one agent and its executor on a store of their own, on loopback addresses of this test process. */
class IngressSite
{
public:
    /** Each run of a job takes @p workTime. */
    explicit IngressSite(Millis workTime);
    ~IngressSite();
    IngressSite(const IngressSite &) = delete;
    IngressSite &operator=(const IngressSite &) = delete;

    /** Waits until the entry is ready. */
    bool waitUntilReady(Millis patience);

    /** Submits a job, again where the entry refuses it or does not answer; returns whether it was accepted within @p patience. */
    bool submit(const std::string &job, Millis patience);

    /** Waits until @p job is done; asks again where the entry refuses or does not answer. */
    bool waitUntilDone(const std::string &job, Millis patience);

    /** Whether readiness is answered with 200 within @p patience. */
    bool isReady(Millis patience);

    /** Whether a heartbeat of the executor is accepted within @p patience. */
    bool takesHeartbeat(Millis patience);

    /** Whether the entry tells operators that it is ready, within @p patience. */
    bool answersOperator(Millis patience);

    std::string frontAddress() const;
    std::string readyAddress() const;
    std::string heartbeatAddress() const;
    std::string operatorAddress() const;

    /** Header lines with which the entry accepts a call. */
    static std::string callerHeaders();
    static std::string jobPath(const std::string &job);

private:
    std::string settings(const std::string &templateFile, const std::string &host, const std::string &name) const;

    const std::string folder;
    const std::string entryHost;
    const std::string agentHost;
    FakeStore store;
    HttpExecutor executor;

public:
    std::unique_ptr<DaemonProcess> agent;
    std::unique_ptr<DaemonProcess> entry;
};

} // namespace waxwingloft::tests

#endif
