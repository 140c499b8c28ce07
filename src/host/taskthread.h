#ifndef POPLARROAD_HOST_TASKTHREAD_H
#define POPLARROAD_HOST_TASKTHREAD_H

#include "base/eventloop.h"

#include <pthread.h>

#include <string>
#include <thread>

namespace poplarroad
{

/** The thread of one task; runs the task's event loop until the loop is stopped. */
class TaskThread
{
public:
    ~TaskThread()
    {
        join();
    }
    void start(EventLoop &loop, const std::string &name)
    {
        thread_ = std::thread([&loop, name] {
            pthread_setname_np(pthread_self(), name.c_str());
            loop.run();
        });
    }
    void join()
    {
        if (thread_.joinable()) {
            thread_.join();
        }
    }

private:
    std::thread thread_;
};

} // namespace poplarroad

#endif
