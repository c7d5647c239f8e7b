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

/** Table of the leading placer and of all entries. */
constexpr std::string_view PlacerTable = "office";
constexpr std::string_view PlacerKey = "office/placer";
constexpr std::string_view EntryPrefix = "office/entries/";

/** An entry or the leading placer. The revision of the placer's row is its epoch. */
struct PlacerRecord {
    NodeId holder;
    std::string address; ///< RPC address
};

std::string encodePlacer(const PlacerRecord &record);
Result<PlacerRecord> parsePlacer(const std::string &value);

/** Returns the key of the row in which an entry publishes its address. */
std::string entryKey(const NodeId &entry);

/** Tracks the leading placer and the entries. Thread safe. */
class PlacerDirectory : public TableObserver
{
public:
    explicit PlacerDirectory(NodeId self);

    /** Sets a callback for a change of the leading placer. It is called without a lock held. */
    void setListener(std::function<void()> listener);

    void reset(const RowList &rows) override;
    void apply(const ChangeBatch &batch) override;

    /** Applies a row that was read directly, not through the change feed. */
    void applyRow(const Row &row);

    /** Returns the RPC address of the leading placer; empty when none is known. */
    std::string placerAddress() const;

    /** Returns the RPC addresses of all other entries. */
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
