#ifndef WAXWINGLOFT_REQUEST_OFFICEWATCH_H
#define WAXWINGLOFT_REQUEST_OFFICEWATCH_H

#include "waxwingloft/process/error.h"
#include "waxwingloft/process/ids.h"
#include "waxwingloft/process/logger.h"
#include "waxwingloft/process/tablefollower.h"

#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace waxwingloft {

/** Table that tells who is the placer in office, and which entries there are. */
constexpr std::string_view OfficeTable = "office";
constexpr std::string_view OfficeKey = "office/placer";
constexpr std::string_view EntryPrefix = "office/entries/";

/** An entry, or the placer in office. The revision of the placer's row is its epoch. */
struct OfficeRecord {
    NodeId holder;
    std::string address; ///< RPC address
};

std::string encodeOffice(const OfficeRecord &record);
Result<OfficeRecord> parseOffice(const std::string &value);

/** Returns the key of the row by which an entry makes itself known. */
std::string entryKey(const NodeId &entry);

/** Keeps who is in office and which entries there are. Thread safe. */
class OfficeWatch : public TableObserver
{
public:
    explicit OfficeWatch(NodeId self);

    /** Sets what is called when another placer is in office. */
    void setListener(std::function<void()> listener);

    void reset(const RowList &rows) override;
    void apply(const ChangeBatch &batch) override;

    /** Takes in a row that was read otherwise. */
    void take(const Row &row);

    /** Returns the RPC address of the placer in office; empty when none is known. */
    std::string placerAddress() const;

    /** Returns the RPC addresses of the entries but this process. */
    std::vector<std::string> peers() const;

private:
    void forget(const std::string &key);

    const NodeId self;
    const Logger log;
    std::function<void()> listener;
    mutable std::mutex mutex;
    std::uint64_t officeRevision = 0;
    OfficeRecord placer;
    std::map<std::string, std::string> addressByKey;
};

} // namespace waxwingloft

#endif
