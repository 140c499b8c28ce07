#ifndef POPLARROAD_LINK_TARGETCONNECTIONS_H
#define POPLARROAD_LINK_TARGETCONNECTIONS_H

#include "base/counters.h"
#include "link/frameconnection.h"
#include "link/wire.h"
#include "poplarroad/dispatcher.h"
#include "poplarroad/service.h"

#include <absl/container/flat_hash_map.h>

#include <functional>
#include <memory>
#include <vector>

namespace poplarroad
{

/** Runs requests at targets; an interface, so that tests can replace the targets. */
class TargetConnections
{
public:
    virtual ~TargetConnections() = default;
    /** Sends a request. Unless it is cancelled, it ends with a last TargetResult, a TargetRefused or a TargetLost. */
    virtual void run(const PoolId &pool, const HostAddress &address, const RunAtTarget &run) = 0;
    virtual void cancel(const CancelAtTarget &cancel) = 0;
};

/**
 * TCP connections to targets. Those of slot requests are kept and reused; each feed, a request with a stream of
 * answers, has its own.
 */
class SocketTargetConnections final : public TargetConnections
{
public:
    using EventHandler = std::function<void(const PoolId &, TargetEvent)>;

    /** @param onEvent never called from within run() or cancel() */
    SocketTargetConnections(EventLoop &loop, WireCodec &codec, Milliseconds connectTimeout, CounterSet &counters,
                            EventHandler onEvent);
    void run(const PoolId &pool, const HostAddress &address, const RunAtTarget &run) override;
    void cancel(const CancelAtTarget &cancel) override;
    void closeAll();

private:
    struct Connection
    {
        PoolId pool;
        TargetId target;
        HostAddress address;
        Occupancy occupancy = Occupancy::Slot;
        RequestId currentRequest;
        bool busy = false;
        bool cancelled = false; ///< events of the request are no longer reported
        std::unique_ptr<FrameConnection> stream;
    };
    using ConnectionKey = std::uint64_t;
    using RunKey = std::pair<TargetId, RequestId>;

    Connection &acquire(const PoolId &pool, const HostAddress &address, const RunAtTarget &run, ConnectionKey &key);
    void onFrame(ConnectionKey key, std::string_view frame);
    void onEnd(ConnectionKey key, ConnectionEnd end);
    void finishRequest(ConnectionKey key);
    void close(ConnectionKey key);

    EventLoop &loop_;
    WireCodec &codec_;
    FrameLimits limits_;
    CounterSet &counters_;
    EventHandler onEvent_;
    ConnectionKey nextKey_ = 1;
    absl::flat_hash_map<ConnectionKey, std::unique_ptr<Connection>> connections_;
    absl::flat_hash_map<HostAddress, std::vector<ConnectionKey>> idle_;
    absl::flat_hash_map<RunKey, ConnectionKey> connectionOfRun_;
};

} // namespace poplarroad

#endif
