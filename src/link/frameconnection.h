#ifndef POPLARROAD_LINK_FRAMECONNECTION_H
#define POPLARROAD_LINK_FRAMECONNECTION_H

#include "base/eventloop.h"
#include "link/wire.h"
#include "poplarroad/enumnames.h"
#include "poplarroad/host.h"

#include <event2/bufferevent.h>
#include <event2/listener.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>

namespace poplarroad
{

/** How a connection ended. */
enum class ConnectionEnd : std::uint8_t {
    Closed,
    ConnectFailed,
    FrameTooLong, ///< the peer announced a frame longer than the limit
};

template<>
struct EnumNames<ConnectionEnd>
{
    static constexpr std::array table{
        EnumName<ConnectionEnd>{ ConnectionEnd::Closed, "closed" },
        EnumName<ConnectionEnd>{ ConnectionEnd::ConnectFailed, "connect-failed" },
        EnumName<ConnectionEnd>{ ConnectionEnd::FrameTooLong, "frame-too-long" },
    };
};

/** Limits of one connection. */
struct FrameLimits
{
    std::size_t maxFrameBytes = MaxFrame;
    std::size_t maxQueuedBytes = 4 * MaxFrame; ///< bytes in the output buffer that are not yet written to the socket
    Milliseconds connectTimeout{ 1000 };
    bool probes = false; ///< empty frames are probes and their answers, see FrameConnection::probe()
};

/**
 * TCP connection that carries frames, each prefixed with its length as 4 bytes in network order.
 *
 * The handlers may destroy the connection.
 */
class FrameConnection
{
public:
    using FrameHandler = std::function<void(std::string_view)>;
    using EndHandler = std::function<void(ConnectionEnd)>;

    /** Takes ownership of an accepted socket. */
    FrameConnection(EventLoop &loop, evutil_socket_t socket, FrameLimits limits, FrameHandler onFrame,
                    EndHandler onEnd);
    /** Connects to an address; frames sent before the connection is established are queued. */
    FrameConnection(EventLoop &loop, const HostAddress &to, FrameLimits limits, FrameHandler onFrame, EndHandler onEnd);
    ~FrameConnection();
    FrameConnection(const FrameConnection &) = delete;
    FrameConnection &operator=(const FrameConnection &) = delete;

    /** @return false, without sending the frame, if it is too long or the output buffer is full */
    bool send(std::string_view frame);
    /**
     * Asks the peer for an answer, which shows that the connection still works: it can fall silent without an end.
     *
     * Only with FrameLimits::probes. The side that accepted the connection answers each probe, the other one sends them.
     */
    void probe(TimePoint now);
    /**
     * @param timeout time for an answer, besides that for the bytes that were queued before the probe
     * @return when the connection counts as silent; TimePoint::max() if no answer is due or it is not yet established
     */
    TimePoint silentAt(Milliseconds timeout) const
    {
        return probedAt_ && connected_ ? *probedAt_ + timeout + queueTime_ : TimePoint::max();
    }
    /** @return whether the peer has answered a probe on this connection */
    bool hasAnsweredProbe() const
    {
        return answers_ > 0;
    }
    /** @return whether at least one byte that was sent after the last markWritePosition() was written to the socket */
    bool hasWrittenSinceMark() const;
    /** Marks the end of the output so far as the start for hasWrittenSinceMark(). */
    void markWritePosition();

private:
    struct Handlers
    {
        FrameHandler onFrame;
        EndHandler onEnd;
    };

    FrameConnection(EventLoop &loop, evutil_socket_t socket, FrameLimits limits, Handlers handlers);
    static void onReadable(bufferevent *, void *self);
    static void onEvent(bufferevent *, short events, void *self);
    void readFrames();
    void onEmptyFrame();
    void end(ConnectionEnd reason);

    FrameLimits limits_;
    bufferevent *buffer_;
    bool connected_;
    bool accepted_;
    std::uint64_t probesSent_ = 0;
    std::uint64_t answers_ = 0;
    std::optional<TimePoint> probedAt_; ///< of the oldest probe without an answer, or the last answer since
    Milliseconds queueTime_{ 0 }; ///< for the bytes before the last probe, on a slow link
    std::size_t addedSinceMark_ = 0;
    std::shared_ptr<Handlers> handlers_; ///< shared with running calls, which may destroy the connection
};

/** Accepts TCP connections on one address. */
class Listener
{
public:
    using AcceptHandler = std::function<void(evutil_socket_t, const HostAddress &)>;

    Listener(EventLoop &loop, const HostAddress &address, AcceptHandler onAccept);
    /** @return whether binding the address succeeded; otherwise errno has the cause */
    bool listening() const
    {
        return listener_ != nullptr;
    }
    /** Stops accepting until resume(); new connections wait in the listen backlog. */
    void pause()
    {
        if (listener_) {
            evconnlistener_disable(listener_.get());
        }
    }
    void resume()
    {
        if (listener_) {
            evconnlistener_enable(listener_.get());
        }
    }
    void close()
    {
        listener_.reset();
    }

private:
    struct Deleter
    {
        void operator()(evconnlistener *listener) const
        {
            evconnlistener_free(listener);
        }
    };
    static void onConnection(evconnlistener *, evutil_socket_t socket, sockaddr *address, int, void *self);

    AcceptHandler onAccept_;
    std::unique_ptr<evconnlistener, Deleter> listener_;
};

} // namespace poplarroad

#endif
