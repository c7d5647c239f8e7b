#include "waxwingloft/process/nearestname.h"

#include <algorithm>

namespace waxwingloft {

namespace {

std::size_t editDistance(const std::string &left, const std::string &right)
{
    std::vector<std::size_t> row(right.size() + 1);
    for (std::size_t column = 0; column < row.size(); ++column) {
        row[column] = column;
    }
    for (std::size_t line = 1; line <= left.size(); ++line) {
        std::size_t diagonal = row[0];
        row[0] = line;
        for (std::size_t column = 1; column < row.size(); ++column) {
            const std::size_t replaced = diagonal + (left[line - 1] == right[column - 1] ? 0 : 1);
            diagonal = row[column];
            row[column] = std::min({replaced, row[column] + 1, row[column - 1] + 1});
        }
    }
    return row.back();
}

} // namespace

std::string nearestName(const std::string &word, const std::vector<std::string> &candidates)
{
    std::string nearest;
    std::size_t best = word.size() / 3 + 2;
    for (const auto &candidate : candidates) {
        const auto distance = editDistance(word, candidate);
        if (distance < best) {
            best = distance;
            nearest = candidate;
        }
    }
    return nearest;
}

} // namespace waxwingloft
