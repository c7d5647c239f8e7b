#ifndef WAXWINGLOFT_CONNECTION_TABLEMESSAGES_H
#define WAXWINGLOFT_CONNECTION_TABLEMESSAGES_H

#include "waxwingloft/process/nametable.h"
#include "waxwingloft/process/tablefeed.h"

#include <string>
#include <vector>

namespace waxwingloft {

/** Calls on the table that one process makes for another. */
enum class TableCallKind {
    Get,
    List,
    Commit,
    Changes,
    NoteDoubt, ///< no call on the table: tells an entry that a caller's call is in doubt after a call on the table without an answer
};

template<>
struct NameTable<TableCallKind> {
    static constexpr std::array<std::string_view, 5> names = {"get", "list", "commit", "changes", "note-doubt"};
};

/** Asks a process that reaches the table to make a call for one that does not. */
struct RelayTableCall {
    TableCallKind kind = TableCallKind::Get;
    std::string key; ///< of Get; the prefix of List; the table of Changes; names the call of NoteDoubt
    std::uint64_t since = 0; ///< of List and Changes
    Transaction transaction; ///< of Commit
};

/** The answer of the table. */
struct RelayTableAnswer {
    std::vector<RowChange> rows;
    std::uint64_t revision = 0;
};

/** Tells the leading placer of a row that its sender has just written, ahead of the change feed. */
struct RowNotice {
    Row row;
};

} // namespace waxwingloft

#endif
