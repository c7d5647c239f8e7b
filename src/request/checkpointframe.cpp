#include "waxwingloft/request/checkpointframe.h"

#include <sstream>
#include <xxhash.h>

namespace waxwingloft {

namespace {

const std::string Magic = "waxwingloft-checkpoint-1";

} // namespace

std::string encodeCheckpointFrame(const std::string &bytes)
{
    return Magic + " " + std::to_string(bytes.size()) + " " + std::to_string(XXH3_64bits(bytes.data(), bytes.size())) + "\n" + bytes;
}

Result<std::string> decodeCheckpointFrame(const std::string &sealed)
{
    const auto damaged = makeError(ErrorKind::Damaged, "the checkpoint is truncated or corrupt");
    const auto headerEnd = sealed.find('\n');
    if (headerEnd == std::string::npos) {
        return damaged;
    }
    std::istringstream header(sealed.substr(0, headerEnd));
    std::string magic;
    std::size_t length = 0;
    std::uint64_t checksum = 0;
    header >> magic >> length >> checksum;
    auto bytes = sealed.substr(headerEnd + 1);
    if (!header || magic != Magic || bytes.size() != length || XXH3_64bits(bytes.data(), bytes.size()) != checksum) {
        return damaged;
    }
    return bytes;
}

} // namespace waxwingloft
