#ifndef WAXWINGLOFT_REVIEW_RECORD_H
#define WAXWINGLOFT_REVIEW_RECORD_H

#include <chrono>
#include <fstream>
#include <mutex>
#include <string>

namespace waxwingloft::review {

using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;

/** The file that says what was sent, answered and run, in milliseconds since the case began. */
class Record
{
public:
    explicit Record(const std::string &file);
    void line(const std::string &text);
    Millis now() const;

private:
    const Clock::time_point begin = Clock::now();
    std::mutex mutex;
    std::ofstream stream;
};

} // namespace waxwingloft::review

#endif
