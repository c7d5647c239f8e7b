#include "waxwingloft/request/startworth.h"

#include <algorithm>

namespace waxwingloft {

double StartWorth::after(double seconds) const
{
    const double isInTime = seconds <= this->inTimeFor ? 1.0 : 0.0;
    const double share = this->spread > 0.0 ? std::clamp(0.5 + (this->inTimeFor - seconds) / (2.0 * this->spread), 0.0, 1.0) : isInTime;
    return share * this->inTime + (1.0 - share) * (seconds <= this->lateFor ? this->late : 0.0);
}

} // namespace waxwingloft
