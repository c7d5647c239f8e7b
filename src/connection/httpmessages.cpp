#include "waxwingloft/connection/httpserver.h"

#include <algorithm>
#include <httplib.h>

namespace waxwingloft {

namespace {

char lower(char letter)
{
    return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
}

} // namespace

std::string HttpRequest::header(std::string_view name) const
{
    const auto found = std::find_if(this->headers.begin(), this->headers.end(), [name](const auto &field) {
        return std::equal(field.first.begin(), field.first.end(), name.begin(), name.end(), [](char one, char other) { return lower(one) == lower(other); });
    });
    return found == this->headers.end() ? std::string() : found->second;
}

std::string pathOfTarget(std::string_view target)
{
    return httplib::detail::decode_url(std::string(target.substr(0, target.find_first_of("?#"))), false);
}

} // namespace waxwingloft
