#include "waxwingloft/request/fairqueue.h"

#include <gtest/gtest.h>

namespace waxwingloft::tests {

namespace {

QueuedCall callOf(Ticket ticket, const std::string &workspace, const std::string &kind, const std::string &caller, Urgency urgency = Urgency::Normal)
{
    QueuedCall call;
    call.ticket = ticket;
    call.workspace.value = workspace;
    call.kind.value = kind;
    call.caller.value = caller;
    call.urgency = urgency;
    call.deadline = Instant(Millis(1'000'000));
    return call;
}

bool anyKind(const KindId & /*kind*/)
{
    return true;
}

} // namespace

TEST(FairQueueTest, aSingleRequestPassesABulkCaller)
{
    FairQueue queue;
    for (Ticket ticket = 1; ticket <= 50; ++ticket) {
        queue.push(callOf(ticket, "w", "k", "bulk"), Instant());
    }
    queue.pop(Instant(), &anyKind);
    queue.push(callOf(100, "w", "k", "lone"), Instant());
    const auto first = queue.pop(Instant(), &anyKind);
    const auto second = queue.pop(Instant(), &anyKind);
    EXPECT_TRUE(first->ticket == 100 || second->ticket == 100);
}

TEST(FairQueueTest, urgencyGivesABoundedLeadNotALargerShare)
{
    FairQueue queue;
    WorkspaceLimits limits;
    for (Ticket ticket = 1; ticket <= 400; ++ticket) {
        auto call = callOf(
            ticket, "w", ticket % 2 == 0 ? "urgent" : "patient", "c" + std::to_string(ticket % 20), ticket % 2 == 0 ? Urgency::Urgent : Urgency::Patient);
        queue.push(call, Instant());
    }
    int patient = 0;
    for (int served = 0; served < 200; ++served) {
        const auto call = queue.pop(Instant(), &anyKind);
        patient += call->kind.value == "patient" ? 1 : 0;
        queue.chargeActual(*call, Millis(10));
    }
    EXPECT_GE(patient, 70);
    EXPECT_LT(patient, 100) << "the urgent kind goes ahead by its credit";
}

TEST(FairQueueTest, limitsACallerAndRefusesARequestThatCannotMeetItsDeadline)
{
    FairQueue queue;
    std::size_t accepted = 0;
    for (Ticket ticket = 1; ticket <= 100; ++ticket) {
        accepted += succeeded(queue.push(callOf(ticket, "w", "k", "c"), Instant())) ? 1 : 0;
    }
    EXPECT_EQ(accepted, WorkspaceLimits{}.maxQueuedPerCaller);
    for (int served = 1; served <= 30; ++served) {
        queue.pop(Instant(Millis(served * 100)), &anyKind);
    }
    auto hasty = callOf(200, "w", "k", "c");
    hasty.deadline = Instant(Millis(3200));
    const auto refused = queue.push(hasty, Instant(Millis(3000)));
    ASSERT_FALSE(succeeded(refused));
    EXPECT_EQ(errorOf(refused).kind, ErrorKind::DeadlineExceeded);
}

TEST(FairQueueTest, removesARequestAndServesOnlyAvailableKinds)
{
    FairQueue queue;
    queue.push(callOf(1, "w", "a", "c"), Instant());
    queue.push(callOf(2, "w", "b", "c"), Instant());
    EXPECT_EQ(queue.pop(Instant(), [](const KindId &kind) { return kind.value == "b"; })->ticket, 2U);
    EXPECT_FALSE(queue.pop(Instant(), [](const KindId &kind) { return kind.value == "b"; }).has_value());
    EXPECT_TRUE(queue.remove(1));
    EXPECT_FALSE(queue.remove(1));
    EXPECT_EQ(queue.size(), 0U);
}

} // namespace waxwingloft::tests
