#ifndef WAXWINGLOFT_TESTS_PROCESS_FAULTPLAN_H
#define WAXWINGLOFT_TESTS_PROCESS_FAULTPLAN_H

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace waxwingloft::tests {

/** A moment at which two parts of a site meet. */
struct Point {
    std::string from; ///< node that asks
    std::string to; ///< node that is asked, "table" or "objects"
    std::string what; ///< message or row
};

/** What the transport does at a point. */
enum class Transport {
    Deliver,
    LoseRequest, ///< the other side never hears of it
    LoseReply, ///< the other side does it; the answer is lost
    Duplicate, ///< the other side does it twice
    Delay, ///< the asker gives up; the other side does it much later
    CrossReply, ///< the asker gets the answer to another question
    KillAsker, ///< the asker dies before it sends
    KillAskerAfter, ///< the asker dies after the other side did it
    KillAsked, ///< the other side dies before it hears of it
    KillAskedAfter, ///< the other side dies before it answers
    FreezeAsked, ///< the other side stands still past all leases and then goes on
};

/** Counts the points of a scenario and injects faults at chosen ones. */
class FaultPlan
{
public:
    using Fault = std::function<Transport(const Point &)>;

    /** Injects @p fault at the point with the given number, counted from zero. */
    void injectAt(std::size_t number, Fault fault)
    {
        this->faults.emplace_back(number, std::move(fault));
    }

    void start()
    {
        this->isCounting = true;
    }

    void stop()
    {
        this->isCounting = false;
    }

    /** Called by the fakes at every point. */
    Transport pass(const Point &point)
    {
        if (!this->isCounting) {
            return Transport::Deliver;
        }
        const auto number = this->passed.size();
        this->passed.push_back(point);
        for (const auto &[at, fault] : this->faults) {
            if (at == number) {
                return fault(point);
            }
        }
        return Transport::Deliver;
    }

    const std::vector<Point> &points() const
    {
        return this->passed;
    }

private:
    bool isCounting = false;
    std::vector<Point> passed;
    std::vector<std::pair<std::size_t, Fault>> faults;
};

/** Thrown out of a process's code when a fault kills it; the site catches it. */
struct ProcessKilled {
    std::string node;
};

} // namespace waxwingloft::tests

#endif
