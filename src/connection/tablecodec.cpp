#include "tablecodec.h"

#include "recordcodec.h"

namespace waxwingloft::codec {

namespace {

void encode(const Transaction &transaction, wire::Transaction::Builder builder)
{
    builder.setOperation(toText(transaction.operation));
    auto conditions = builder.initConditions(static_cast<unsigned>(transaction.conditions.size()));
    for (unsigned index = 0; index < conditions.size(); ++index) {
        conditions[index].setKey(toText(transaction.conditions[index].key));
        conditions[index].setRevision(transaction.conditions[index].revision);
    }
    auto writes = builder.initWrites(static_cast<unsigned>(transaction.writes.size()));
    for (unsigned index = 0; index < writes.size(); ++index) {
        const auto &write = transaction.writes[index];
        writes[index].setKey(toText(write.key));
        writes[index].setHasValue(write.value.has_value());
        if (write.value) {
            writes[index].setValue(bytesOf(*write.value));
        }
    }
}

Transaction decode(wire::Transaction::Reader reader)
{
    Transaction transaction;
    transaction.operation = textOf(reader.getOperation());
    for (const auto condition : reader.getConditions()) {
        transaction.conditions.push_back({textOf(condition.getKey()), condition.getRevision()});
    }
    for (const auto write : reader.getWrites()) {
        transaction.writes.push_back({textOf(write.getKey()), std::nullopt});
        if (write.getHasValue()) {
            transaction.writes.back().value = stringOf(write.getValue());
        }
    }
    return transaction;
}

void encode(const RowChange &change, wire::Row::Builder builder)
{
    builder.setKey(toText(change.row.key));
    builder.setValue(bytesOf(change.row.value));
    builder.setRevision(change.row.revision);
    builder.setOperation(toText(change.row.operation));
    builder.setRemoved(change.isRemoved);
}

RowChange decode(wire::Row::Reader reader)
{
    return {{textOf(reader.getKey()), stringOf(reader.getValue()), reader.getRevision(), textOf(reader.getOperation())}, reader.getRemoved()};
}

} // namespace

void encode(const RelayTableCall &call, wire::RelayTableCall::Builder builder)
{
    builder.setKind(static_cast<std::uint8_t>(call.kind));
    builder.setKey(toText(call.key));
    builder.setSince(call.since);
    encode(call.transaction, builder.initTransaction());
}

RelayTableCall decode(wire::RelayTableCall::Reader reader)
{
    const auto kind = reader.getKind();
    return {kind < NameTable<TableCallKind>::names.size() ? static_cast<TableCallKind>(kind) : TableCallKind::Get,
            textOf(reader.getKey()),
            reader.getSince(),
            decode(reader.getTransaction())};
}

void encode(const RowNotice &notice, wire::Row::Builder builder)
{
    encode(RowChange{notice.row, false}, builder);
}

RowNotice decodeRowNotice(wire::Row::Reader reader)
{
    return {decode(reader).row};
}

void encode(const RelayTableAnswer &answer, wire::RelayTableAnswer::Builder builder)
{
    builder.setRevision(answer.revision);
    auto rows = builder.initRows(static_cast<unsigned>(answer.rows.size()));
    for (unsigned index = 0; index < rows.size(); ++index) {
        encode(answer.rows[index], rows[index]);
    }
}

RelayTableAnswer decode(wire::RelayTableAnswer::Reader reader)
{
    RelayTableAnswer answer;
    answer.revision = reader.getRevision();
    for (const auto row : reader.getRows()) {
        answer.rows.push_back(decode(row));
    }
    return answer;
}

} // namespace waxwingloft::codec
