#ifndef WAXWINGLOFT_BENCH_METRIC_H
#define WAXWINGLOFT_BENCH_METRIC_H

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

namespace waxwingloft::bench {

/** How large a fleet a scenario uses. */
enum class Size {
    Today,
    Design,
};

/** One line of output: the same figure for the naive and the chosen policy. */
struct Metric {
    std::string name;
    double naive = 0.0;
    double chosen = 0.0;
    double target = 0.0;
    bool higherIsBetter = true;
    std::string unit;
};

/** Returns the value below which a share of @p quantile of the values lies; zero for none. */
inline double quantileOf(std::vector<double> values, double quantile)
{
    if (values.empty()) {
        return 0.0;
    }
    const auto rank = static_cast<std::ptrdiff_t>(quantile * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + rank, values.end());
    return values[static_cast<std::size_t>(rank)];
}

/** Returns the mean of the values; zero for none. */
inline double meanOf(const std::vector<double> &values)
{
    double sum = 0.0;
    for (const auto value : values) {
        sum += value;
    }
    return values.empty() ? 0.0 : sum / static_cast<double>(values.size());
}

/** Returns left / right; zero when right is zero. */
inline double ratioOf(double left, double right)
{
    return right == 0.0 ? 0.0 : left / right;
}

} // namespace waxwingloft::bench

#endif
