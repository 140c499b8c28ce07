#include "link/frameconnection.h"

#include "link/socketaddress.h"

#include <event2/buffer.h>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cstring>

namespace poplarroad
{

namespace
{

constexpr std::size_t PrefixLength = sizeof(std::uint32_t);

timeval toTimeval(Milliseconds time)
{
    constexpr std::int64_t second = 1000;
    return { time.count() / second, time.count() % second * second };
}

} // namespace

FrameConnection::FrameConnection(EventLoop &loop, evutil_socket_t socket, FrameLimits limits, Handlers handlers)
    : limits_(limits)
    , buffer_(bufferevent_socket_new(loop.base(), socket, BEV_OPT_CLOSE_ON_FREE))
    , connected_(socket >= 0)
    , accepted_(socket >= 0)
    , handlers_(std::make_shared<Handlers>(std::move(handlers)))
{
    bufferevent_setcb(buffer_, &FrameConnection::onReadable, nullptr, &FrameConnection::onEvent, this);
    // Buffers at most one whole frame, so that a peer cannot make the input buffer grow without bound.
    bufferevent_setwatermark(buffer_, EV_READ, 0, limits_.maxFrameBytes + PrefixLength);
}

FrameConnection::FrameConnection(EventLoop &loop, evutil_socket_t socket, FrameLimits limits, FrameHandler onFrame,
                                 EndHandler onEnd)
    : FrameConnection(loop, socket, limits, Handlers{ std::move(onFrame), std::move(onEnd) })
{
    const int enabled = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
    bufferevent_enable(buffer_, EV_READ | EV_WRITE);
}

FrameConnection::FrameConnection(EventLoop &loop, const HostAddress &to, FrameLimits limits, FrameHandler onFrame,
                                 EndHandler onEnd)
    : FrameConnection(loop, -1, limits, Handlers{ std::move(onFrame), std::move(onEnd) })
{
    const timeval timeout = toTimeval(limits_.connectTimeout);
    bufferevent_set_timeouts(buffer_, nullptr, &timeout);
    bufferevent_enable(buffer_, EV_READ | EV_WRITE);
    const sockaddr_in address = toSocketAddress(to);
    bufferevent_socket_connect(buffer_, reinterpret_cast<const sockaddr *>(&address), sizeof(address));
}

FrameConnection::~FrameConnection()
{
    bufferevent_free(buffer_);
}

bool FrameConnection::send(std::string_view frame)
{
    evbuffer *output = bufferevent_get_output(buffer_);
    if (frame.size() > limits_.maxFrameBytes || evbuffer_get_length(output) + frame.size() > limits_.maxQueuedBytes) {
        return false;
    }
    const std::uint32_t prefix = htonl(static_cast<std::uint32_t>(frame.size()));
    evbuffer_add(output, &prefix, PrefixLength);
    evbuffer_add(output, frame.data(), frame.size());
    addedSinceMark_ += PrefixLength + frame.size();
    return true;
}

void FrameConnection::probe(TimePoint now)
{
    /** Of the slowest link between balancers: 10 Mbit/s. */
    constexpr std::int64_t bytesPerMillisecond = 1250;
    const std::uint32_t empty = 0;
    evbuffer *output = bufferevent_get_output(buffer_);
    queueTime_ = Milliseconds(static_cast<std::int64_t>(evbuffer_get_length(output)) / bytesPerMillisecond);
    evbuffer_add(output, &empty, PrefixLength);
    addedSinceMark_ += PrefixLength;
    ++probesSent_;
    probedAt_ = probedAt_.value_or(now);
}

void FrameConnection::onEmptyFrame()
{
    if (accepted_) {
        const std::uint32_t empty = 0;
        evbuffer_add(bufferevent_get_output(buffer_), &empty, PrefixLength);
        return;
    }
    ++answers_;
    probedAt_ = answers_ < probesSent_ ? std::optional(std::chrono::steady_clock::now()) : std::nullopt;
}

bool FrameConnection::hasWrittenSinceMark() const
{
    return evbuffer_get_length(bufferevent_get_output(buffer_)) < addedSinceMark_;
}

void FrameConnection::markWritePosition()
{
    addedSinceMark_ = evbuffer_get_length(bufferevent_get_output(buffer_));
}

void FrameConnection::onReadable(bufferevent * /*buffer*/, void *self)
{
    static_cast<FrameConnection *>(self)->readFrames();
}

void FrameConnection::onEvent(bufferevent * /*buffer*/, short events, void *self)
{
    auto *connection = static_cast<FrameConnection *>(self);
    if ((events & BEV_EVENT_CONNECTED) != 0) {
        connection->connected_ = true;
        // The write timeout applies only to connecting; a peer that reads slowly is limited by maxQueuedBytes.
        bufferevent_set_timeouts(connection->buffer_, nullptr, nullptr);
        const int enabled = 1;
        setsockopt(bufferevent_getfd(connection->buffer_), IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
        return;
    }
    connection->end(connection->connected_ ? ConnectionEnd::Closed : ConnectionEnd::ConnectFailed);
}

void FrameConnection::readFrames()
{
    evbuffer *input = bufferevent_get_input(buffer_);
    const std::weak_ptr<Handlers> alive = handlers_;
    while (evbuffer_get_length(input) >= PrefixLength) {
        std::uint32_t prefix = 0;
        evbuffer_copyout(input, &prefix, PrefixLength);
        const std::size_t length = ntohl(prefix);
        if (length > limits_.maxFrameBytes) {
            end(ConnectionEnd::FrameTooLong);
            return;
        }
        if (evbuffer_get_length(input) < PrefixLength + length) {
            return;
        }
        evbuffer_drain(input, PrefixLength);
        if (length == 0 && limits_.probes) {
            onEmptyFrame();
            continue;
        }
        std::string frame(length, '\0');
        evbuffer_remove(input, frame.data(), length);
        if (const auto handlers = alive.lock()) {
            handlers->onFrame(frame);
        }
        if (alive.expired()) {
            return;
        }
    }
}

void FrameConnection::end(ConnectionEnd reason)
{
    bufferevent_disable(buffer_, EV_READ | EV_WRITE);
    const auto handlers = handlers_;
    handlers->onEnd(reason);
}

Listener::Listener(EventLoop &loop, const HostAddress &address, AcceptHandler onAccept)
    : onAccept_(std::move(onAccept))
{
    constexpr int backlog = 4096;
    const sockaddr_in bound = toSocketAddress(address);
    listener_.reset(evconnlistener_new_bind(loop.base(), &Listener::onConnection, this,
                                            LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE, backlog,
                                            reinterpret_cast<const sockaddr *>(&bound), sizeof(bound)));
}

void Listener::onConnection(evconnlistener * /*listener*/, evutil_socket_t socket, sockaddr *address, int /*length*/,
                            void *self)
{
    sockaddr_in from{};
    std::memcpy(&from, address, sizeof(from));
    static_cast<Listener *>(self)->onAccept_(socket, fromSocketAddress(from));
}

} // namespace poplarroad
