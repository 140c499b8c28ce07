#ifndef POPLARROAD_HOST_OPERATORTASK_H
#define POPLARROAD_HOST_OPERATORTASK_H

#include "taskmessages.h"

#include <memory>

namespace poplarroad
{

/** Where the operator interface listens and how it finds the one of another balancer. */
struct OperatorEndpoint
{
    HostAddress listen;
    /** Operator port minus peer port; the same on all balancers, so that a peer address gives the operator address. */
    std::uint16_t portOffset = 1;
};

/**
 * The task that serves operators by Cap'n Proto RPC.
 *
 * It runs kj's event loop in its own thread; a question to another task is a message with a callback that completes a
 * promise of this loop.
 */
class OperatorTask
{
public:
    /**
     * @param endpoint where to listen
     * @param senders posts to the other tasks
     */
    OperatorTask(OperatorEndpoint endpoint, TaskSenders senders);
    ~OperatorTask();
    OperatorTask(const OperatorTask &) = delete;
    OperatorTask &operator=(const OperatorTask &) = delete;

    /** Starts the thread. @return whether the address could be bound */
    bool start();
    /** Ends the thread; open calls are dropped. */
    void stop();

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace poplarroad

#endif
