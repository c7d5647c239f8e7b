#ifndef WAXWINGLOFT_PROCESS_FANOUT_H
#define WAXWINGLOFT_PROCESS_FANOUT_H

#include "waxwingloft/process/threadpool.h"

#include <functional>

namespace waxwingloft {

/** Runs a function for many indices and returns when all calls have returned. */
class FanOut
{
public:
    virtual ~FanOut() = default;

    virtual void forEach(std::size_t count, const std::function<void(std::size_t)> &call) = 0;
};

/** Runs the calls on the threads of a pool of its own. */
class PoolFanOut : public FanOut
{
public:
    explicit PoolFanOut(std::size_t threads);

    void forEach(std::size_t count, const std::function<void(std::size_t)> &call) override;

private:
    ThreadPool pool;
};

/** Runs the calls one after the other on the calling thread. */
class SerialFanOut : public FanOut
{
public:
    void forEach(std::size_t count, const std::function<void(std::size_t)> &call) override;
};

} // namespace waxwingloft

#endif
