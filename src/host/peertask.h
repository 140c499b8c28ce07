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
#include <absl/container/flat_hash_set.h>

#include <memory>

namespace poplarroad
{

/** Task that owns the sockets to other balancers and the membership. */
class PeerTask
{
public:
    /** @param senders post to the other tasks; used only after start() */
    PeerTask(const Settings &settings, const TaskSenders &senders, CounterSet &counters);

    /** @return whether the UDP and the TCP socket for other balancers are bound */
    bool bound() const
    {
        return udp_.bound() && listener_.listening();
    }
    void start();
    /** Posts a message. Thread-safe. */
    void post(PeerTaskMessage message);
    void join();

private:
    void handle(PeerTaskMessage &&message);
    void onDatagram(std::string_view bytes);
    void onFrame(std::string_view bytes);
    void onAccept(evutil_socket_t socket);
    void onLinkEnd(const HostAddress &host, ConnectionEnd end);
    /** Probes the outgoing links, and closes those that fell silent. */
    void onProbeTimer();
    /** @return when a link counts as silent; TimePoint::max() if its host is not known to answer probes */
    TimePoint silentAt(const HostAddress &host, const FrameConnection &link) const;
    void closeSilentLinks(TimePoint now);
    /** Arms the timer for the next probes, or for the next link that may count as silent. */
    void armProbeTimer();
    void onPaused(Incarnation incarnation);
    /** @return the number of bytes queued; 0 if the send queue of the link is full */
    std::size_t sendFrame(const HostAddress &host, const PeerFrame &frame);
    std::size_t sendFrame(const HostAddress &host, const std::string &encoded);
    void sendDatagram(const HostAddress &host, const std::string &encoded);
    void sendFleetMessage(const SendFleetMessage &send);
    /** Passes a message about services and targets to the packet front end. @return whether the payload is one */
    bool onFleetMessage(const PeerIdentity &from, std::string_view payload);
    void execute(const MembershipActions &actions);

    const TaskSenders &senders_;
    CounterSet &counters_;
    MembershipTiming timing_;
    PeerIdentity self_;
    FrameLimits limits_;
    EventLoop loop_;
    WireCodec codec_;
    PeerAuth signer_;
    // Frames can overtake datagrams by far more than a replay window, so each kind has replay windows of its own.
    PeerAuth datagramAuthenticator_;
    PeerAuth frameAuthenticator_;
    SnapshotAssembler snapshots_;
    Membership membership_;
    DatagramSocket udp_;
    Listener listener_;
    std::uint64_t nextIncomingKey_ = 1;
    absl::flat_hash_map<std::uint64_t, std::unique_ptr<FrameConnection>> incomingLinks_; ///< used to receive
    absl::flat_hash_map<HostAddress, std::unique_ptr<FrameConnection>> outgoingLinks_; ///< used to send
    absl::flat_hash_set<HostAddress> probedHosts_; ///< hosts that have answered a probe; earlier versions answer none
    TimePoint nextProbe_;
    LoopTimer timer_;
    LoopTimer probeTimer_;
    Mailbox<PeerTaskMessage> mailbox_;
    TaskThread thread_;
};

} // namespace poplarroad

#endif
