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
    /** Queues a datagram; it leaves with the others of the same turn of the loop. */
    virtual void send(const HostAddress &to, std::string datagram) = 0;
};

/** UDP socket of one task; receives and sends in batches, one system call for up to 64 datagrams. */
class DatagramSocket final : public DatagramSender
{
public:
    using Handler = std::function<void(const HostAddress &from, std::string_view datagram)>;

    /**
     * @param address where the socket is bound; port 0 takes any
     * @param onDatagram called for each datagram; one that is longer than MaxDatagram is cut to MaxDatagram + 1 bytes
     */
    DatagramSocket(EventLoop &loop, const HostAddress &address, Handler onDatagram);
    ~DatagramSocket() override;
    DatagramSocket(const DatagramSocket &) = delete;
    DatagramSocket &operator=(const DatagramSocket &) = delete;

    /** @return whether the address could be bound */
    bool bound() const
    {
        return bound_;
    }
    void send(const HostAddress &to, std::string datagram) override;
    /**
     * Queues a datagram of two parts without copying the second one.
     *
     * @param header at most HeaderCapacity bytes
     * @param body part of the datagram that the handler was called with; only valid inside the handler
     */
    void forward(const HostAddress &to, std::string_view header, std::string_view body);
    /** Reads again after stopReading(). */
    void startReading()
    {
        event_add(readable_.get(), nullptr);
    }
    /** Leaves what still arrives in the system's buffer. */
    void stopReading()
    {
        event_del(readable_.get());
    }
    /** @return datagrams that the system did not take */
    std::uint64_t dropped() const
    {
        return dropped_;
    }

    static constexpr std::size_t HeaderCapacity = 64;

private:
    struct Outgoing
    {
        HostAddress to;
        std::string datagram; ///< empty when forwarded
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
