#ifndef WAXWINGLOFT_CONNECTION_RELAYTABLE_H
#define WAXWINGLOFT_CONNECTION_RELAYTABLE_H

#include "waxwingloft/connection/nodeport.h"
#include "waxwingloft/connection/storeoutlook.h"
#include "waxwingloft/process/clock.h"
#include "waxwingloft/process/logger.h"
#include "waxwingloft/process/tablefeed.h"
#include "waxwingloft/process/tablestore.h"

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace waxwingloft {

/** Bounds of relayed calls. */
struct RelayTableOptions {
    Millis timeout = Millis(900); ///< of a relayed call; above the table's own timeout at the peer
    std::size_t peers = 2; ///< peers tried for one call
    Millis peerPause = Millis(3000); ///< for which a peer that could not be reached is left out
    Millis pollInterval = Millis(200); ///< between looks for changes while they come through a peer
};

/**
 * The table as reached directly, or through a peer while the direct way fails.
 *
 * The table may turn some hosts away and serve others. A call without an answer is never repeated here: it ends as
 * Ambiguous, and its settling goes through a peer. Thread safe.
 */
class RelayTable : public TableStore, public TableFeed
{
public:
    /** Returns the RPC addresses of processes that may reach the table. */
    using PeerSource = std::function<std::vector<std::string>()>;

    RelayTable(TableStore &direct, TableFeed &directFeed, NodePort &nodes, Clock &clock, PeerSource peers, RelayTableOptions options);

    Result<std::optional<Row>> get(const std::string &key) override;
    Result<RowList> list(const std::string &prefix, std::uint64_t since) override;
    Result<Commit> commit(const Transaction &transaction) override;
    Result<ChangeBatch> changes(const std::string &table, std::uint64_t after, Millis wait) override;

    /** Has @p outlook told of the outcome of all calls. Call before the first call on the table. */
    void setOutlook(StoreOutlook &outlook);

    /** Looks whether the direct way works again. Call about once a second. */
    void probe();

    /** Looks whether peers reach the table. For the time in which the direct way fails. */
    void probePeers();

    /** Whether the direct way has failed last. */
    bool isFailing() const;

    /** Whether the direct way has failed last while a peer has reached the table. False while the table is away from all. */
    bool isRelaying() const;

    /** Makes a call for a peer, on the direct way only. */
    Message serve(const RelayTableCall &call);

private:
    template<typename T, typename Direct, typename Relayed>
    Result<T> through(Direct direct, Relayed relayed, Millis wait = Millis(0));
    template<typename T, typename Direct>
    Result<T> noted(Direct direct, Millis wait = Millis(0));
    Result<RelayTableAnswer> relay(const RelayTableCall &call);
    Result<RelayTableAnswer> askPeers(const RelayTableCall &call);
    std::vector<std::string> usablePeers();
    void leaveOut(const std::string &peer);

    TableStore &direct;
    TableFeed &directFeed;
    NodePort &nodes;
    Clock &clock;
    const PeerSource peers;
    const RelayTableOptions options;
    const Logger log;
    StoreOutlook *outlook = nullptr;
    std::atomic<bool> isDirectFailing = false;
    std::atomic<bool> hasPeerReachedTable = false; ///< with the last relayed call
    std::mutex mutex;
    std::map<std::string, Instant> leftOutUntil;
};

} // namespace waxwingloft

#endif
