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
#include <string_view>

namespace poplarroad
{

/** How a connection ended. */
enum class LinkEnd : std::uint8_t {
    Closed,
    ConnectFailed,
    FrameTooLong, ///< the other end announced a frame above the limit
};

template<>
struct EnumNames<LinkEnd>
{
    static constexpr std::array table{
        EnumName<LinkEnd>{ LinkEnd::Closed, "closed" },
        EnumName<LinkEnd>{ LinkEnd::ConnectFailed, "connect-failed" },
        EnumName<LinkEnd>{ LinkEnd::FrameTooLong, "frame-too-long" },
    };
};

/** Bounds of one connection. */
struct FrameLimits
{
    std::size_t frame = MaxFrame; ///< bytes
    std::size_t queued = 4 * MaxFrame; ///< bytes that wait for the other end to read
    Milliseconds connectTimeout{ 1000 };
};

/**
 * One TCP connection that carries frames, each with its length as 4 bytes in network order before it.
 *
 * The handlers may destroy the link.
 */
class FrameLink
{
public:
    using FrameHandler = std::function<void(std::string_view)>;
    using EndHandler = std::function<void(LinkEnd)>;

    /** Takes an accepted socket. */
    FrameLink(EventLoop &loop, evutil_socket_t socket, FrameLimits limits, FrameHandler onFrame, EndHandler onEnd);
    /** Connects; frames sent before the connection is made wait for it. */
    FrameLink(EventLoop &loop, const HostAddress &to, FrameLimits limits, FrameHandler onFrame, EndHandler onEnd);
    ~FrameLink();
    FrameLink(const FrameLink &) = delete;
    FrameLink &operator=(const FrameLink &) = delete;

    /** @return false when the frame is too long or too much waits to be written; the frame is not sent then */
    bool send(std::string_view frame);
    /** @return whether at least one byte sent since the last mark() may have left */
    bool writtenSinceMark() const;
    /** Starts counting for writtenSinceMark(). */
    void mark();

private:
    struct Handlers
    {
        FrameHandler onFrame;
        EndHandler onEnd;
    };

    FrameLink(EventLoop &loop, evutil_socket_t socket, FrameLimits limits, Handlers handlers);
    static void onReadable(bufferevent *, void *self);
    static void onEvent(bufferevent *, short events, void *self);
    void readFrames();
    void end(LinkEnd reason);

    FrameLimits limits_;
    bufferevent *buffer_;
    bool connected_;
    std::size_t addedSinceMark_ = 0;
    std::shared_ptr<Handlers> handlers_; ///< kept alive during a call that destroys the link
};

/** Accepts connections on one address. */
class Listener
{
public:
    using AcceptHandler = std::function<void(evutil_socket_t, const HostAddress &)>;

    Listener(EventLoop &loop, const HostAddress &address, AcceptHandler onAccept);
    /** @return whether the address could be bound; errno tells why not */
    bool listening() const
    {
        return listener_ != nullptr;
    }
    /** Leaves new connections in the system's queue until resume(). */
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
