#ifndef WAXWINGLOFT_TESTS_PROCESS_FAKETABLE_H
#define WAXWINGLOFT_TESTS_PROCESS_FAKETABLE_H

#include "faultplan.h"
#include "waxwingloft/process/tablestore.h"

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace waxwingloft::tests {

/** What the users' platform takes in one transaction; values are in base64 there. */
struct TableLimits {
    std::size_t rowBytes = std::size_t(65'536) * 3 / 4;
    std::size_t bytes = std::size_t(1'000'000) * 3 / 4;
    std::size_t operations = 100;

    bool allow(const Transaction &transaction) const
    {
        std::size_t total = 0;
        for (const auto &write : transaction.writes) {
            const auto size = write.value.value_or("").size();
            if (size > this->rowBytes) {
                return false;
            }
            total += size;
        }
        return total <= this->bytes && transaction.conditions.size() + transaction.writes.size() <= this->operations;
    }
};

/** The rows of the table service, shared by the views of all processes. */
struct FakeRows {
    bool isDown = false;
    std::optional<TableLimits> limits; ///< left out, there are none
    int rejections = 0; ///< of transactions over the limits
    std::uint64_t revision = 0;
    std::map<std::string, Row> rows;

    Result<std::optional<Row>> get(const std::string &key) const
    {
        if (this->isDown) {
            return makeError(ErrorKind::PlatformDown, "down");
        }
        const auto found = this->rows.find(key);
        return found == this->rows.end() ? std::optional<Row>() : std::optional<Row>(found->second);
    }

    Result<RowList> list(const std::string &prefix, std::uint64_t since) const
    {
        if (this->isDown) {
            return makeError(ErrorKind::PlatformDown, "down");
        }
        RowList found{{}, this->revision};
        for (auto row = this->rows.lower_bound(prefix); row != this->rows.end() && row->first.starts_with(prefix); ++row) {
            if (row->second.revision > since) {
                found.rows.push_back(row->second);
            }
        }
        return found;
    }

    Result<Commit> commit(const Transaction &transaction)
    {
        if (this->isDown) {
            return makeError(ErrorKind::PlatformDown, "down");
        }
        if (this->limits && !this->limits->allow(transaction)) {
            ++this->rejections;
            return makeError(ErrorKind::Rejected, "over the limits of a transaction");
        }
        for (const auto &condition : transaction.conditions) {
            const auto found = this->rows.find(condition.key);
            if ((found == this->rows.end() ? 0 : found->second.revision) != condition.revision) {
                return makeError(ErrorKind::Conflict, condition.key);
            }
        }
        ++this->revision;
        for (const auto &write : transaction.writes) {
            if (write.value) {
                this->rows[write.key] = {write.key, *write.value, this->revision, transaction.operation};
            } else {
                this->rows.erase(write.key);
            }
        }
        return Commit{this->revision};
    }
};

/** One process's view of the table; commits are points of the fault plan. */
class FakeTable : public TableStore
{
public:
    FakeTable(FakeRows &rows, FaultPlan &plan, std::string node, std::shared_ptr<bool> isAlive)
        : rows(rows)
        , plan(plan)
        , node(std::move(node))
        , isAlive(std::move(isAlive))
    {
    }

    Result<std::optional<Row>> get(const std::string &key) override
    {
        this->endIfKilled();
        return this->rows.get(key);
    }

    Result<RowList> list(const std::string &prefix, std::uint64_t since) override
    {
        this->endIfKilled();
        return this->rows.list(prefix, since);
    }

    Result<Commit> commit(const Transaction &transaction) override
    {
        this->endIfKilled();
        const auto &key = transaction.writes.front().key;
        const bool isBackground = key.starts_with("duty/");
        const auto transport = isBackground ? Transport::Deliver : this->plan.pass({this->node, "table", key.substr(0, key.find('/'))});
        switch (transport) {
        case Transport::KillAsker:
            throw ProcessKilled{this->node};
        case Transport::KillAskerAfter:
            this->rows.commit(transaction);
            throw ProcessKilled{this->node};
        case Transport::LoseRequest:
        case Transport::Delay:
            return makeError(ErrorKind::Ambiguous, "lost");
        case Transport::LoseReply:
            this->rows.commit(transaction);
            return makeError(ErrorKind::Ambiguous, "lost");
        case Transport::Duplicate:
            this->rows.commit(transaction);
            return this->rows.commit(transaction);
        default:
            return this->rows.commit(transaction);
        }
    }

private:
    void endIfKilled() const
    {
        if (!*this->isAlive) {
            throw ProcessKilled{this->node};
        }
    }

    FakeRows &rows;
    FaultPlan &plan;
    const std::string node;
    const std::shared_ptr<bool> isAlive; ///< code of a killed process that is still on the stack ends here
};

/** An object store in memory. */
class FakeObjects : public ObjectStore
{
public:
    Status put(const std::string &key, const std::string &bytes) override
    {
        if (this->isDown) {
            return makeError(ErrorKind::PlatformDown, "down");
        }
        this->objects[key] = this->cutsShort ? bytes.substr(0, bytes.size() / 2) : bytes;
        return Done{};
    }

    Result<std::string> fetch(const std::string &key) override
    {
        if (this->isDown) {
            return makeError(ErrorKind::PlatformDown, "down");
        }
        const auto found = this->objects.find(key);
        return found == this->objects.end() ? Result<std::string>(makeError(ErrorKind::NotFound, key)) : found->second;
    }

    bool isDown = false;
    bool cutsShort = false; ///< keeps only half of what is put
    std::map<std::string, std::string> objects;
};

} // namespace waxwingloft::tests

#endif
