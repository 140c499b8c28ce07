#include "link/targetconnections.h"

#include "poplarroad/visitor.h"

#include <algorithm>

namespace poplarroad
{

namespace
{

/** @return the request of an event, or nothing for a report about the target itself */
std::optional<RequestId> requestOf(const TargetEvent &event)
{
    return std::visit(Visitor{
                          [](const TargetReport &) { return std::optional<RequestId>(); },
                          [](const auto &other) { return std::optional<RequestId>(other.id); },
                      },
                      event);
}

bool endsRun(const TargetEvent &event)
{
    const auto *result = std::get_if<TargetResult>(&event);
    return result == nullptr || result->last;
}

} // namespace

SocketTargetConnections::SocketTargetConnections(EventLoop &loop, WireCodec &codec, Milliseconds connectTimeout,
                                                 CounterSet &counters, EventHandler onEvent)
    : loop_(loop)
    , codec_(codec)
    , counters_(counters)
    , onEvent_(std::move(onEvent))
{
    limits_.connectTimeout = connectTimeout;
}

void SocketTargetConnections::run(const PoolId &pool, const HostAddress &address, const RunAtTarget &run)
{
    counters_.add(Counter::TargetRuns);
    ConnectionKey key = 0;
    Connection &connection = acquire(pool, address, run, key);
    connection.currentRequest = run.request.id;
    connection.busy = true;
    connectionOfRun_[{ run.target, run.request.id }] = key;
    connection.stream->markWritePosition();
    connection.stream->send(encodeTargetCall(run));
}

SocketTargetConnections::Connection &SocketTargetConnections::acquire(const PoolId &pool, const HostAddress &address,
                                                                      const RunAtTarget &run, ConnectionKey &key)
{
    std::vector<ConnectionKey> &idle = idle_[address];
    if (run.occupancy == Occupancy::Slot && !idle.empty()) {
        key = idle.back();
        idle.pop_back();
        Connection &connection = *connections_.at(key);
        // The address may belong to another target by now.
        connection.target = run.target;
        connection.pool = pool;
        return connection;
    }
    key = nextKey_++;
    auto connection = std::make_unique<Connection>();
    connection->pool = pool;
    connection->target = run.target;
    connection->address = address;
    connection->occupancy = run.occupancy;
    connection->stream = std::make_unique<FrameConnection>(
        loop_, address, limits_, [this, key](std::string_view frame) { onFrame(key, frame); },
        [this, key](ConnectionEnd end) { onEnd(key, end); });
    return *(connections_[key] = std::move(connection));
}

void SocketTargetConnections::cancel(const CancelAtTarget &cancel)
{
    const auto run = connectionOfRun_.find({ cancel.target, cancel.id });
    if (run == connectionOfRun_.end()) {
        return;
    }
    // The target still answers or refuses the request; until then the connection is not reused.
    Connection &connection = *connections_.at(run->second);
    connection.cancelled = true;
    connection.stream->send(encodeTargetCall(cancel));
    connectionOfRun_.erase(run);
}

void SocketTargetConnections::onFrame(ConnectionKey key, std::string_view frame)
{
    Connection &connection = *connections_.at(key);
    auto event = codec_.decodeTargetEvent(frame, connection.target);
    const auto id = event ? requestOf(*event) : std::nullopt;
    if (!event || (id && (!connection.busy || *id != connection.currentRequest))) {
        // An answer to another request must not reach the caller, and the rest of the stream cannot be trusted.
        counters_.add(Counter::TargetFramesRefused);
        onEnd(key, ConnectionEnd::Closed);
        return;
    }
    if (std::holds_alternative<TargetResult>(*event)) {
        counters_.add(Counter::TargetResults);
    } else if (std::holds_alternative<TargetRefused>(*event)) {
        counters_.add(Counter::TargetRefusals);
    }
    const PoolId pool = connection.pool;
    const bool reported = !connection.cancelled || !id;
    if (id && endsRun(*event)) {
        finishRequest(key);
    }
    if (reported) {
        onEvent_(pool, std::move(*event));
    }
}

void SocketTargetConnections::finishRequest(ConnectionKey key)
{
    Connection &connection = *connections_.at(key);
    if (!connection.cancelled) {
        // After a cancellation this entry may belong to a later run of the same request on another connection.
        connectionOfRun_.erase({ connection.target, connection.currentRequest });
    }
    connection.busy = false;
    connection.cancelled = false;
    if (connection.occupancy == Occupancy::Connection) {
        close(key);
        return;
    }
    idle_[connection.address].push_back(key);
}

void SocketTargetConnections::onEnd(ConnectionKey key, ConnectionEnd end)
{
    const Connection &connection = *connections_.at(key);
    if (end == ConnectionEnd::FrameTooLong) {
        counters_.add(Counter::FramesTooLong);
    }
    if (!connection.busy || connection.cancelled) {
        close(key);
        return;
    }
    counters_.add(Counter::TargetLosses);
    const PoolId pool = connection.pool;
    const bool written = end != ConnectionEnd::ConnectFailed && connection.stream->hasWrittenSinceMark();
    TargetLost lost{ connection.target, connection.currentRequest, written };
    connectionOfRun_.erase({ connection.target, connection.currentRequest });
    close(key);
    onEvent_(pool, lost);
}

void SocketTargetConnections::close(ConnectionKey key)
{
    const auto found = connections_.find(key);
    const auto idle = idle_.find(found->second->address);
    if (idle != idle_.end()) {
        std::erase(idle->second, key);
        if (idle->second.empty()) {
            idle_.erase(idle);
        }
    }
    connections_.erase(found);
}

void SocketTargetConnections::closeAll()
{
    connections_.clear();
    idle_.clear();
    connectionOfRun_.clear();
}

} // namespace poplarroad
