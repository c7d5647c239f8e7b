#include "record.h"

#include <iomanip>

namespace waxwingloft::review {

Record::Record(const std::string &file)
    : stream(file)
{
}

void Record::line(const std::string &text)
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    this->stream << std::setw(7) << this->now().count() << " ms  " << text << std::endl;
}

Millis Record::now() const
{
    return std::chrono::duration_cast<Millis>(Clock::now() - this->begin);
}

} // namespace waxwingloft::review
