#include "waxwingloft/request/officewatch.h"

#include <nlohmann/json.hpp>

namespace waxwingloft {

std::string encodeOffice(const OfficeRecord &record)
{
    return nlohmann::json{{"holder", record.holder.value}, {"address", record.address}}.dump();
}

Result<OfficeRecord> parseOffice(const std::string &value)
{
    const auto json = nlohmann::json::parse(value, nullptr, false);
    if (!json.is_object()) {
        return makeError(ErrorKind::Damaged, "the row of the office is not a JSON object");
    }
    return OfficeRecord{NodeId{json.value("holder", "")}, json.value("address", "")};
}

std::string entryKey(const NodeId &entry)
{
    return std::string(EntryPrefix) + entry.value;
}

OfficeWatch::OfficeWatch(NodeId self)
    : self(std::move(self))
    , log(LogPart::Members)
{
}

void OfficeWatch::setListener(std::function<void()> listener)
{
    this->listener = std::move(listener);
}

void OfficeWatch::reset(const RowList &rows)
{
    for (const auto &row : rows.rows) {
        this->take(row);
    }
}

void OfficeWatch::apply(const ChangeBatch &batch)
{
    for (const auto &change : batch.changes) {
        if (change.isRemoved) {
            this->forget(change.row.key);
        } else {
            this->take(change.row);
        }
    }
}

void OfficeWatch::forget(const std::string &key)
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    this->addressByKey.erase(key);
}

void OfficeWatch::take(const Row &row)
{
    const auto record = parseOffice(row.value);
    if (!succeeded(record)) {
        this->log.warn("Row " + row.key + " left out: " + toString(errorOf(record)));
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
        if (row.key != OfficeKey || row.revision <= this->officeRevision) {
            return;
        }
        this->officeRevision = row.revision;
        this->placer = valueOf(record);
    }
    this->log.info("The placer in office is " + valueOf(record).holder.value + ", epoch " + std::to_string(row.revision) + ".");
    if (this->listener) {
        this->listener();
    }
}

std::string OfficeWatch::placerAddress() const
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    return this->placer.address;
}

std::vector<std::string> OfficeWatch::peers() const
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    std::vector<std::string> addresses;
    for (const auto &[key, address] : this->addressByKey) {
        addresses.push_back(address);
    }
    return addresses;
}

} // namespace waxwingloft
