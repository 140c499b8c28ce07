#ifndef POPLARROAD_LINK_DATAGRAMSOCKET_H
#define POPLARROAD_LINK_DATAGRAMSOCKET_H

#include "base/eventloop.h"
#include "poplarroad/host.h"

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace poplarroad
{

/** Sends datagrams; an interface so that tests can record them. */
class DatagramSender
{
public:
    virtual ~DatagramSender() = default;
    /** Queues a datagram; all that were queued in one iteration of the event loop are sent together. */
    virtual void send(const HostAddress &to, std::string datagram) = 0;
};

/** UDP socket of one task; sends and receives up to 64 datagrams with one system call. */
class DatagramSocket final : public DatagramSender
{
public:
    using Handler = std::function<void(const HostAddress &from, std::string_view datagram)>;

    /**
     * @param address local address; port 0 binds any free port
     * @param onDatagram called for each datagram; one longer than MaxDatagram is truncated to MaxDatagram + 1 bytes
     */
    DatagramSocket(EventLoop &loop, const HostAddress &address, Handler onDatagram);
    ~DatagramSocket() override;
    DatagramSocket(const DatagramSocket &) = delete;
    DatagramSocket &operator=(const DatagramSocket &) = delete;

    /** @return whether binding the address succeeded */
    bool bound() const
    {
        return bound_;
    }
    void send(const HostAddress &to, std::string datagram) override;
    /**
     * Queues a datagram of a header and a body without copying the body.
     *
     * @param header at most HeaderCapacity bytes
     * @param body part of the datagram that the handler received; call this only from within the handler
     */
    void forward(const HostAddress &to, std::string_view header, std::string_view body);
    /** Resumes reading after stopReading(). */
    void startReading()
    {
        event_add(readable_.get(), nullptr);
    }
    /** Stops reading; datagrams that arrive stay in the socket's receive buffer. */
    void stopReading()
    {
        event_del(readable_.get());
    }
    /** @return number of datagrams that the kernel did not accept for sending */
    std::uint64_t dropped() const
    {
        return dropped_;
    }

    static constexpr std::size_t HeaderCapacity = 64;

private:
    struct Outgoing
    {
        HostAddress to;
        std::string datagram; ///< empty if the datagram consists of header and body
        std::array<char, HeaderCapacity> header;
        std::size_t headerSize = 0;
        std::string_view body;
    };
    struct Batch;

    static void onReadable(evutil_socket_t, short, void *self);
    static void onFlush(evutil_socket_t, short, void *self);
    void receive();
    Outgoing &queue(const HostAddress &to);
    void flush();
    std::size_t sendBatch(std::size_t first);

    Handler onDatagram_;
    int socket_;
    bool bound_ = false;
    std::unique_ptr<Batch> batch_;
    std::vector<Outgoing> outgoing_;
    std::uint64_t dropped_ = 0;
    EventPtr readable_;
    EventPtr flush_;
};

} // namespace poplarroad

#endif
