#ifndef WAXWINGLOFT_CONNECTION_HTTPTABLESTORE_H
#define WAXWINGLOFT_CONNECTION_HTTPTABLESTORE_H

#include "waxwingloft/process/clock.h"
#include "waxwingloft/process/metrics.h"
#include "waxwingloft/process/tablestore.h"

#include <memory>
#include <string>

namespace waxwingloft {

class HttpClients;

/** The platform's table service over HTTP and JSON. Thread safe. */
class HttpTableStore : public TableStore
{
public:
    /** @p base is such as "http://127.0.0.1:9000"; @p timeout bounds each call. */
    HttpTableStore(const std::string &base, Millis timeout, Metrics &metrics);
    ~HttpTableStore() override;

    Result<std::optional<Row>> get(const std::string &key) override;
    Result<RowList> list(const std::string &prefix, std::uint64_t since) override;
    Result<Commit> commit(const Transaction &transaction) override;

private:
    std::unique_ptr<HttpClients> clients;
    const Millis timeout;
    Metrics &metrics;
};

/** The platform's object store over HTTP. Thread safe. */
class HttpObjectStore : public ObjectStore
{
public:
    HttpObjectStore(const std::string &base, Millis timeout);
    ~HttpObjectStore() override;

    Status put(const std::string &key, const std::string &bytes) override;
    Result<std::string> fetch(const std::string &key) override;

private:
    std::unique_ptr<HttpClients> clients;
    const Millis timeout;
};

} // namespace waxwingloft

#endif
