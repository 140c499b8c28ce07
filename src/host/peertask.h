#ifndef POPLARROAD_HOST_PEERTASK_H
#define POPLARROAD_HOST_PEERTASK_H

#include "base/counters.h"
#include "link/datagramsocket.h"
#include "link/frameconnection.h"
#include "link/peerauth.h"
#include "link/snapshotassembler.h"
#include "link/wire.h"
#include "mailbox.h"
#include "settings.h"
#include "taskmessages.h"
#include "taskthread.h"

#include <absl/container/flat_hash_map.h>

#include <memory>

namespace poplarroad
{

/** Owns the sockets to the other balancers and the membership. */
class PeerTask
{
public:
    /** @param links posts to the other tasks; used after start() only */
    PeerTask(const Settings &settings, const TaskSenders &links, CounterSet &counters);

    /** @return whether both sockets for other balancers are bound */
    bool bound() const
    {
        return udp_.bound() && listener_.listening();
    }
    void start();
    /** Callable from any thread. */
    void post(PeerTaskMessage message);
    void join();

private:
    void handle(PeerTaskMessage &&message);
    void onDatagram(std::string_view bytes);
    void onFrame(std::string_view bytes);
    void onAccept(evutil_socket_t socket);
    void onLinkEnd(const HostAddress &host, ConnectionEnd end);
    void onPaused(Incarnation incarnation);
    /** @return the bytes that were queued; 0 when the link takes no more */
    std::size_t sendFrame(const HostAddress &host, const PeerFrame &frame);
    std::size_t sendFrame(const HostAddress &host, const std::string &encoded);
    void sendDatagram(const HostAddress &host, const std::string &encoded);
    void sendFleetMessage(const SendFleetMessage &send);
    /** @return whether the payload is a message on services and targets; it is passed on then */
    bool onFleetMessage(const PeerIdentity &from, std::string_view payload);
    void carryOut(const MembershipActions &actions);

    const TaskSenders &links_;
    CounterSet &counters_;
    MembershipTiming timing_;
    PeerIdentity self_;
    FrameLimits limits_;
    EventLoop loop_;
    WireCodec codec_;
    PeerAuth sealer_;
    // Frames overtake datagrams by far more than a replay window, so each kind of link has windows of its own.
    PeerAuth datagramOpener_;
    PeerAuth frameOpener_;
    SnapshotAssembler snapshots_;
    Membership membership_;
    DatagramSocket udp_;
    Listener listener_;
    std::uint64_t nextAccepted_ = 1;
    absl::flat_hash_map<std::uint64_t, std::unique_ptr<FrameConnection>> accepted_; ///< other balancers send here
    absl::flat_hash_map<HostAddress, std::unique_ptr<FrameConnection>> outgoing_; ///< this balancer sends here
    LoopTimer timer_;
    Mailbox<PeerTaskMessage> mailbox_;
    TaskThread thread_;
};

} // namespace poplarroad

#endif
