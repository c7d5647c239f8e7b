#include "waxwingloft/request/placerdirectory.h"

#include <nlohmann/json.hpp>

namespace waxwingloft {

std::string encodePlacer(const PlacerRecord &record)
{
    return nlohmann::json{{"holder", record.holder.value}, {"address", record.address}}.dump();
}

Result<PlacerRecord> parsePlacer(const std::string &value)
{
    const auto json = nlohmann::json::parse(value, nullptr, false);
    if (!json.is_object()) {
        return makeError(ErrorKind::Damaged, "the row is not a JSON object");
    }
    return PlacerRecord{NodeId{json.value("holder", "")}, json.value("address", "")};
}

std::string entryKey(const NodeId &entry)
{
    return std::string(EntryPrefix) + entry.value;
}

PlacerDirectory::PlacerDirectory(NodeId self)
    : self(std::move(self))
    , log(LogPart::Members)
{
}

void PlacerDirectory::setListener(std::function<void()> listener)
{
    this->listener = std::move(listener);
}

void PlacerDirectory::reset(const RowList &rows)
{
    for (const auto &row : rows.rows) {
        this->applyRow(row);
    }
}

void PlacerDirectory::apply(const ChangeBatch &batch)
{
    for (const auto &change : batch.changes) {
        if (change.isRemoved) {
            this->removeEntry(change.row.key);
        } else {
            this->applyRow(change.row);
        }
    }
}

void PlacerDirectory::removeEntry(const std::string &key)
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    this->addressByKey.erase(key);
}

void PlacerDirectory::applyRow(const Row &row)
{
    const auto record = parsePlacer(row.value);
    if (!succeeded(record)) {
        this->log.warn("Row " + row.key + " skipped: " + toString(errorOf(record)));
        return;
    }
    {
        const std::lock_guard<std::mutex> guard(this->mutex);
        if (row.key.starts_with(EntryPrefix)) {
            if (valueOf(record).holder != this->self) {
                this->addressByKey[row.key] = valueOf(record).address;
            }
            return;
        }
        if (row.key != PlacerKey || row.revision <= this->placerRevision) {
            return;
        }
        this->placerRevision = row.revision;
        this->placer = valueOf(record);
    }
    this->log.info("The leading placer is " + valueOf(record).holder.value + ", epoch " + std::to_string(row.revision) + ".");
    if (this->listener) {
        this->listener();
    }
}

std::string PlacerDirectory::placerAddress() const
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    return this->placer.address;
}

std::vector<std::string> PlacerDirectory::peers() const
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    std::vector<std::string> addresses;
    for (const auto &[key, address] : this->addressByKey) {
        addresses.push_back(address);
    }
    return addresses;
}

} // namespace waxwingloft
