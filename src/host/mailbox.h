#ifndef POPLARROAD_HOST_MAILBOX_H
#define POPLARROAD_HOST_MAILBOX_H

#include "base/eventloop.h"

#include <sys/eventfd.h>
#include <unistd.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <mutex>
#include <utility>
#include <vector>

namespace poplarroad
{

/**
 * Queue of typed messages to one task. Any thread can post; the task's event loop wakes up and handles them in order.
 *
 * A burst of posts wakes the loop only once, since the descriptor is written only when the queue was empty.
 */
template<typename Message>
class Mailbox
{
public:
    using Handler = std::function<void(Message &&)>;

    /**
     * @param loop the event loop of the receiving task
     * @param handler called in the task's thread for each message
     */
    Mailbox(EventLoop &loop, Handler handler)
        : handler_(std::move(handler))
        , descriptor_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
        , event_(event_new(loop.base(), descriptor_, EV_READ | EV_PERSIST, &Mailbox::onReadable, this))
    {
        event_add(event_.get(), nullptr);
    }

    ~Mailbox()
    {
        event_.reset();
        close(descriptor_);
    }

    Mailbox(const Mailbox &) = delete;
    Mailbox &operator=(const Mailbox &) = delete;

    /** Adds a message. Thread-safe. */
    void post(Message message)
    {
        bool wasEmpty = false;
        {
            const std::lock_guard lock(mutex_);
            wasEmpty = messages_.empty();
            messages_.push_back(std::move(message));
        }
        if (wasEmpty) {
            eventfd_write(descriptor_, 1);
        }
    }

private:
    static void onReadable(evutil_socket_t, short, void *self)
    {
        static_cast<Mailbox *>(self)->drain();
    }

    void drain()
    {
        eventfd_t ignored = 0;
        eventfd_read(descriptor_, &ignored);
        {
            const std::lock_guard lock(mutex_);
            batch_.swap(messages_);
        }
        for (Message &message : batch_) {
            handler_(std::move(message));
        }
        batch_.clear();
    }

    Handler handler_;
    int descriptor_;
    EventPtr event_;
    std::mutex mutex_;
    std::vector<Message> messages_;
    std::vector<Message> batch_; ///< used only by the task's thread; a member to keep its capacity
};

} // namespace poplarroad

#endif
