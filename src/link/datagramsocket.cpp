#include "link/datagramsocket.h"

#include "link/socketaddress.h"
#include "link/wire.h"

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>

namespace poplarroad
{

namespace
{

constexpr std::size_t BatchSize = 64; ///< datagrams per system call
// Large enough for a burst that arrives before the event loop reads the socket again.
constexpr int SocketBufferBytes = 4 << 20;

} // namespace

/** Buffers and headers of one recvmmsg call. */
struct DatagramSocket::Batch
{
    std::array<std::array<char, MaxDatagram + 1>, BatchSize> buffers;
    std::array<sockaddr_in, BatchSize> addresses;
    std::array<iovec, BatchSize> vectors;
    std::array<mmsghdr, BatchSize> headers;

    void reset()
    {
        for (std::size_t i = 0; i < BatchSize; ++i) {
            vectors[i] = { buffers[i].data(), buffers[i].size() };
            headers[i] = {};
            headers[i].msg_hdr.msg_name = &addresses[i];
            headers[i].msg_hdr.msg_namelen = sizeof(sockaddr_in);
            headers[i].msg_hdr.msg_iov = &vectors[i];
            headers[i].msg_hdr.msg_iovlen = 1;
        }
    }
};

DatagramSocket::DatagramSocket(EventLoop &loop, const HostAddress &address, Handler onDatagram)
    : onDatagram_(std::move(onDatagram))
    , socket_(::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0))
    , batch_(std::make_unique<Batch>())
    , readable_(event_new(loop.base(), socket_, EV_READ | EV_PERSIST, &DatagramSocket::onReadable, this))
    , flush_(event_new(loop.base(), -1, 0, &DatagramSocket::onFlush, this))
{
    setsockopt(socket_, SOL_SOCKET, SO_RCVBUF, &SocketBufferBytes, sizeof(SocketBufferBytes));
    setsockopt(socket_, SOL_SOCKET, SO_SNDBUF, &SocketBufferBytes, sizeof(SocketBufferBytes));
    const sockaddr_in local = toSocketAddress(address);
    bound_ = bind(socket_, reinterpret_cast<const sockaddr *>(&local), sizeof(local)) == 0;
    event_add(readable_.get(), nullptr);
}

DatagramSocket::~DatagramSocket()
{
    flush();
    readable_.reset();
    flush_.reset();
    close(socket_);
}

DatagramSocket::Outgoing &DatagramSocket::queue(const HostAddress &to)
{
    if (outgoing_.size() >= BatchSize) {
        flush();
    }
    if (outgoing_.empty()) {
        event_active(flush_.get(), EV_TIMEOUT, 0);
    }
    Outgoing &outgoing = outgoing_.emplace_back();
    outgoing.to = to;
    return outgoing;
}

void DatagramSocket::send(const HostAddress &to, std::string datagram)
{
    queue(to).datagram = std::move(datagram);
}

void DatagramSocket::forward(const HostAddress &to, std::string_view header, std::string_view body)
{
    Outgoing &outgoing = queue(to);
    outgoing.headerSize = header.copy(outgoing.header.data(), HeaderCapacity);
    outgoing.body = body;
}

void DatagramSocket::onReadable(evutil_socket_t /*socket*/, short /*what*/, void *self)
{
    static_cast<DatagramSocket *>(self)->receive();
}

void DatagramSocket::onFlush(evutil_socket_t /*socket*/, short /*what*/, void *self)
{
    static_cast<DatagramSocket *>(self)->flush();
}

void DatagramSocket::receive()
{
    batch_->reset();
    const int received = recvmmsg(socket_, batch_->headers.data(), BatchSize, MSG_DONTWAIT, nullptr);
    for (int i = 0; i < received; ++i) {
        const auto index = static_cast<std::size_t>(i);
        onDatagram_(fromSocketAddress(batch_->addresses[index]),
                    { batch_->buffers[index].data(), batch_->headers[index].msg_len });
    }
    // Bodies of forwarded datagrams point into the receive buffers, which the next batch overwrites.
    flush();
}

void DatagramSocket::flush()
{
    std::size_t sent = 0;
    while (sent < outgoing_.size()) {
        sent += sendBatch(sent);
    }
    outgoing_.clear();
}

std::size_t DatagramSocket::sendBatch(std::size_t first)
{
    const std::size_t count = std::min(BatchSize, outgoing_.size() - first);
    std::array<sockaddr_in, BatchSize> addresses{};
    std::array<std::array<iovec, 2>, BatchSize> vectors{};
    std::array<mmsghdr, BatchSize> headers{};
    for (std::size_t i = 0; i < count; ++i) {
        Outgoing &outgoing = outgoing_[first + i];
        addresses[i] = toSocketAddress(outgoing.to);
        const bool singlePart = outgoing.headerSize == 0;
        vectors[i][0] = singlePart ? iovec{ outgoing.datagram.data(), outgoing.datagram.size() }
                                   : iovec{ outgoing.header.data(), outgoing.headerSize };
        vectors[i][1] = { const_cast<char *>(outgoing.body.data()), outgoing.body.size() };
        headers[i].msg_hdr.msg_name = &addresses[i];
        headers[i].msg_hdr.msg_namelen = sizeof(sockaddr_in);
        headers[i].msg_hdr.msg_iov = vectors[i].data();
        headers[i].msg_hdr.msg_iovlen = singlePart ? 1 : 2;
    }
    const int sent = sendmmsg(socket_, headers.data(), static_cast<unsigned>(count), MSG_DONTWAIT);
    if (sent > 0) {
        return static_cast<std::size_t>(sent);
    }
    // Drops the first datagram, so that one invalid address does not block the others; UDP allows loss.
    ++dropped_;
    return 1;
}

} // namespace poplarroad
