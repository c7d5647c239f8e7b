#ifndef WAXWINGLOFT_REQUEST_PLACERDIRECTORY_H
#define WAXWINGLOFT_REQUEST_PLACERDIRECTORY_H

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
constexpr std::string_view PlacerTable = "office";
constexpr std::string_view PlacerKey = "office/placer";
constexpr std::string_view EntryPrefix = "office/entries/";

/** An entry, or the placer in office. The revision of the placer's row is its epoch. */
struct PlacerRecord {
    NodeId holder;
    std::string address; ///< RPC address
};

std::string encodePlacer(const PlacerRecord &record);
Result<PlacerRecord> parsePlacer(const std::string &value);

/** Returns the key of the row by which an entry makes itself known. */
std::string entryKey(const NodeId &entry);

/** Keeps who is in office and which entries there are. Thread safe. */
class PlacerDirectory : public TableObserver
{
public:
    explicit PlacerDirectory(NodeId self);

    /** Sets what is called when another placer is in office. */
    void setListener(std::function<void()> listener);

    void reset(const RowList &rows) override;
    void apply(const ChangeBatch &batch) override;

    /** Takes in a row that was read otherwise. */
    void applyRow(const Row &row);

    /** Returns the RPC address of the placer in office; empty when none is known. */
    std::string placerAddress() const;

    /** Returns the RPC addresses of the entries but this process. */
    std::vector<std::string> peers() const;

private:
    void removeEntry(const std::string &key);

    const NodeId self;
    const Logger log;
    std::function<void()> listener;
    mutable std::mutex mutex;
    std::uint64_t placerRevision = 0;
    PlacerRecord placer;
    std::map<std::string, std::string> addressByKey;
};

} // namespace waxwingloft

#endif
