#ifndef POPLARROAD_HOST_OPERATORTASK_H
#define POPLARROAD_HOST_OPERATORTASK_H

#include "taskmessages.h"

#include <memory>

namespace poplarroad
{

/** Address of the operator interface, and how those of other balancers are derived. */
struct OperatorEndpoint
{
    HostAddress listen;
    /** Operator port minus peer port; the same on all balancers, so a peer address determines the operator address. */
    std::uint16_t portOffset = 1;
};

/**
 * Task that serves operators over Cap'n Proto RPC.
 *
 * It runs the kj event loop in its own thread. A query to another task is a message with a callback that fulfills a
 * promise of that loop.
 */
class OperatorTask
{
public:
    /**
     * @param endpoint where to listen
     * @param senders post to the other tasks
     */
    OperatorTask(OperatorEndpoint endpoint, TaskSenders senders);
    ~OperatorTask();
    OperatorTask(const OperatorTask &) = delete;
    OperatorTask &operator=(const OperatorTask &) = delete;

    /** Starts the thread. @return whether the address could be bound */
    bool start();
    /** Stops the thread; calls in progress are dropped. */
    void stop();

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace poplarroad

#endif
