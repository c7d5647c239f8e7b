#include "waxwingloft/process/published.h"

#include <urcu/urcu-memb.h>

namespace waxwingloft {

namespace {

struct ThreadRegistration {
    ThreadRegistration()
    {
        urcu_memb_register_thread();
    }

    ~ThreadRegistration()
    {
        urcu_memb_unregister_thread();
    }

    ThreadRegistration(const ThreadRegistration &) = delete;
    ThreadRegistration &operator=(const ThreadRegistration &) = delete;
};

void registerThisThread()
{
    thread_local ThreadRegistration registration;
    (void)registration;
}

} // namespace

ReadSection::ReadSection()
{
    registerThisThread();
    urcu_memb_read_lock();
}

ReadSection::~ReadSection()
{
    urcu_memb_read_unlock();
}

void waitForReaders()
{
    registerThisThread();
    urcu_memb_synchronize_rcu();
}

} // namespace waxwingloft
