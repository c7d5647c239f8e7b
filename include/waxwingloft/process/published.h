#ifndef WAXWINGLOFT_PROCESS_PUBLISHED_H
#define WAXWINGLOFT_PROCESS_PUBLISHED_H

#include <atomic>
#include <memory>
#include <mutex>
#include <utility>

namespace waxwingloft {

/**
 * A read-copy-update read section of the calling thread.
 *
 * Registers the thread with liburcu on first use. Do not block while one is open.
 */
class ReadSection
{
public:
    ReadSection();
    ~ReadSection();
    ReadSection(const ReadSection &) = delete;
    ReadSection &operator=(const ReadSection &) = delete;
};

/** Waits until every read section that was open at the call has ended. */
void waitForReaders();

/**
 * An immutable object that readers use without locks and writers replace whole.
 *
 * Readers open a ReadSection and keep the pointer only inside it. Writers are serialized; the old
 * object is freed after a grace period, on the writer's thread.
 */
template<typename T>
class Published
{
public:
    explicit Published(T initial)
        : current(new T(std::move(initial)))
    {
    }

    ~Published()
    {
        delete this->current.load(std::memory_order_acquire);
    }

    Published(const Published &) = delete;
    Published &operator=(const Published &) = delete;

    /** Returns the current object; valid until @p section closes. */
    const T &read(const ReadSection & /*section*/) const
    {
        return *this->current.load(std::memory_order_acquire);
    }

    /** Returns a copy of the current object, for use off the path of a request. */
    T copy() const
    {
        const ReadSection section;
        return this->read(section);
    }

    /** Replaces the object by what @p change makes of a copy of it. */
    template<typename Change>
    void update(Change change)
    {
        const std::lock_guard<std::mutex> guard(this->writers);
        auto next = std::make_unique<T>(*this->current.load(std::memory_order_acquire));
        change(*next);
        this->swap(std::move(next));
    }

    /** Replaces the object by @p next when @p accepts says so of the current one; returns whether it did. */
    template<typename Accepts>
    bool replaceIf(T next, Accepts accepts)
    {
        const std::lock_guard<std::mutex> guard(this->writers);
        if (!accepts(*this->current.load(std::memory_order_acquire))) {
            return false;
        }
        this->swap(std::make_unique<T>(std::move(next)));
        return true;
    }

private:
    void swap(std::unique_ptr<T> next)
    {
        const T *const old = this->current.exchange(next.release(), std::memory_order_acq_rel);
        waitForReaders();
        delete old;
    }

    std::atomic<const T *> current;
    std::mutex writers;
};

} // namespace waxwingloft

#endif
