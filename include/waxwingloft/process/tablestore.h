#ifndef WAXWINGLOFT_PROCESS_TABLESTORE_H
#define WAXWINGLOFT_PROCESS_TABLESTORE_H

#include "waxwingloft/process/error.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace waxwingloft {

/** A row of the platform's table service. */
struct Row {
    std::string key;
    std::string value;
    std::uint64_t revision = 0; ///< grows with every write of the table; zero means absent
    std::string operation; ///< id of the transaction that wrote it
};

/** Holds when the row's revision is the given one; revision zero demands that the row is absent. */
struct Condition {
    std::string key;
    std::uint64_t revision = 0;
};

/** Writes a value, or deletes the row when there is none. */
struct Write {
    std::string key;
    std::optional<std::string> value;
};

/** Writes that take effect together when every condition holds, or not at all. */
struct Transaction {
    std::string operation; ///< fresh id, found on the rows it wrote
    std::vector<Condition> conditions;
    std::vector<Write> writes;
};

/** The effect of a committed transaction. */
struct Commit {
    std::uint64_t revision = 0;
};

/** Rows under a prefix and the revision of the table that the list is complete up to. */
struct RowList {
    std::vector<Row> rows;
    std::uint64_t revision = 0;
};

/**
 * The platform's transactional table service.
 *
 * Errors: Conflict when a condition does not hold, PlatformDown when the call surely had no effect,
 * Ambiguous when it may have had one, Rejected when a commit had no effect and never will, for instance because a row is too large.
 */
class TableStore
{
public:
    virtual ~TableStore() = default;

    /** Returns the row, or nothing when it is absent. */
    virtual Result<std::optional<Row>> get(const std::string &key) = 0;

    /** Returns the present rows under @p prefix with a revision greater than @p since, in order of key. */
    virtual Result<RowList> list(const std::string &prefix, std::uint64_t since) = 0;

    /** Applies @p transaction when all its conditions hold. */
    virtual Result<Commit> commit(const Transaction &transaction) = 0;
};

/** The platform's object store. Errors as those of TableStore; NotFound for an absent object. */
class ObjectStore
{
public:
    virtual ~ObjectStore() = default;

    virtual Status put(const std::string &key, const std::string &bytes) = 0;
    virtual Result<std::string> fetch(const std::string &key) = 0;
};

} // namespace waxwingloft

#endif
