#ifndef POPLARROAD_TESTS_MEMBERSHIPNETWORK_H
#define POPLARROAD_TESTS_MEMBERSHIPNETWORK_H

#include "link/peerauth.h"
#include "link/wire.h"
#include "poplarroad/membership.h"
#include "poplarroad/visitor.h"
#include "zone/seededrandom.h"

#include <absl/container/flat_hash_map.h>

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <vector>

namespace poplarroad
{

/** @return the bytes of a datagram as sent: the encoded message with the header and MAC of PeerAuth */
inline std::size_t sealedSize(const PeerDatagram &datagram)
{
    return encodePeerDatagram(datagram).size() + PeerAuth::Overhead;
}

/** Simulated hosts in virtual time on a network with loss, delay, duplication and partitions. */
class MembershipNetwork
{
public:
    struct Node
    {
        PeerIdentity identity;
        std::unique_ptr<Membership> membership;
        bool running = true;
        bool paused = false;
        std::uint64_t generation = 0; ///< counts the processes at the address; timers of earlier ones are ignored
        std::uint64_t datagrams = 0;
        std::uint64_t bytes = 0;
        std::size_t largestDatagram = 0;
        std::vector<NewerRevisionSeen> revisionsSeen;
    };

    static constexpr unsigned HostsOfOtherZones = 4;

    explicit MembershipNetwork(std::uint64_t seed)
        : random_(seed)
    {
    }

    double loss = 0.0;
    double duplication = 0.0;
    Microseconds delay{ 300 };
    Microseconds jitter{ 500 };
    /** @return whether all datagrams from the first to the second host are dropped */
    std::function<bool(const Node &, const Node &)> isPartitioned;

    TimePoint now() const
    {
        return now_;
    }
    static HostAddress address(unsigned zone, unsigned host)
    {
        return { 0x0a000000U + (zone << 16U) + host, 7000 };
    }

    /** Starts a process at an address; replaces an earlier one. */
    Node &start(unsigned zone, unsigned host, std::vector<HostAddress> seeds, std::uint64_t epoch = 0)
    {
        const HostAddress hostAddress = address(zone, host);
        Node &node = nodes_[hostAddress];
        node.identity = { hostAddress, { random_.next() }, { zone } };
        node.membership =
            std::make_unique<Membership>(node.identity, std::move(seeds), MembershipTiming{}, random_.next(), epoch);
        node.running = true;
        node.paused = false;
        ++node.generation;
        scheduleTimer(node, now_ + Milliseconds(random_.nextBelow(500)));
        return node;
    }
    /** Starts hosts 0 to count - 1 of a zone; the seeds are the first two hosts of the zone and the first of zone 0. */
    void startZone(unsigned zone, unsigned count)
    {
        for (unsigned i = 0; i < count; ++i) {
            start(zone, i, { address(zone, 0), address(zone, 1), address(0, 0) });
        }
    }
    /** Starts zone 0 with `count` hosts, the others with HostsOfOtherZones; host 0 of every zone is a seed. */
    void startZones(unsigned count, unsigned zones)
    {
        std::vector<HostAddress> seeds;
        for (unsigned zone = 0; zone < zones; ++zone) {
            seeds.push_back(address(zone, 0));
        }
        for (unsigned zone = 0; zone < zones; ++zone) {
            for (unsigned host = 0; host < (zone == 0 ? count : HostsOfOtherZones); ++host) {
                start(zone, host, seeds);
            }
        }
    }
    Node &node(unsigned zone, unsigned host)
    {
        return nodes_.at(address(zone, host));
    }
    std::map<HostAddress, Node> &nodes()
    {
        return nodes_;
    }
    void kill(Node &node)
    {
        node.running = false;
    }
    void pause(Node &node)
    {
        node.paused = true;
    }
    /** Resumes a paused process and runs its overdue timer; drawIncarnation() has to follow. */
    void resume(Node &node)
    {
        node.paused = false;
        call(node, [&](MembershipActions &actions) { node.membership->onTimer(now_, actions); });
    }
    void drawIncarnation(Node &node)
    {
        node.identity.incarnation = { random_.next() };
        call(node,
             [&](MembershipActions &actions) { node.membership->onPaused(node.identity.incarnation, now_, actions); });
    }
    void leave(Node &node)
    {
        call(node, [&](MembershipActions &actions) { node.membership->leave(now_, actions); });
    }

    void runFor(Microseconds time)
    {
        runUntil(time, [] { return false; });
    }
    /** Runs until the condition holds; checks it every 10 ms. @return the elapsed time, or nothing on timeout */
    template<typename Condition>
    std::optional<Milliseconds> runUntil(Microseconds limit, Condition condition)
    {
        const TimePoint begin = now_;
        const TimePoint end = begin + limit;
        TimePoint check = begin;
        while (now_ < end) {
            if (now_ >= check) {
                if (condition()) {
                    return std::chrono::duration_cast<Milliseconds>(now_ - begin);
                }
                check = now_ + Milliseconds(10);
            }
            step(std::min(end, check));
        }
        return std::nullopt;
    }

    bool isRunning(const HostAddress &hostAddress) const
    {
        const auto found = nodes_.find(hostAddress);
        return found != nodes_.end() && found->second.running;
    }
    /** @return whether in each view of the zone exactly the running hosts take new work */
    bool viewsAgree(unsigned zone) const
    {
        std::vector<const Node *> running;
        for (const auto &[hostAddress, node] : nodes_) {
            if (node.running && node.identity.zone.value == zone) {
                running.push_back(&node);
            }
        }
        for (const Node *node : running) {
            const auto view = node->membership->view();
            std::size_t live = 0;
            for (const HostRecord &host : view->hosts) {
                const bool isLive = FleetView::acceptsNewWork(host);
                live += isLive ? 1 : 0;
                if (isLive && !isCurrent(host)) {
                    return false;
                }
            }
            if (live != running.size() || !view->joined) {
                return false;
            }
        }
        return true;
    }
    /** @return the state of a host in the view of another host; Dead if it is not a member */
    static HostState stateOf(const Node &viewer, const HostAddress &hostAddress)
    {
        const HostRecord *record = viewer.membership->view()->findHost(hostAddress);
        return record == nullptr ? HostState::Dead : record->state;
    }
    bool hasStateInAllViews(const Node &subject, HostState state) const
    {
        for (const auto &[hostAddress, node] : nodes_) {
            const bool isViewer = node.running && !node.paused && node.identity.zone == subject.identity.zone
                && hostAddress != subject.identity.address;
            if (isViewer && stateOf(node, subject.identity.address) != state) {
                return false;
            }
        }
        return true;
    }
    /** @return the number of pairs of running hosts where the first has the second as dead in its view */
    std::size_t falseDeaths() const
    {
        std::size_t count = 0;
        for (const auto &[hostAddress, node] : nodes_) {
            if (!node.running) {
                continue;
            }
            for (const HostRecord &host : node.membership->view()->hosts) {
                count += host.state == HostState::Dead && isRunning(host.address) ? 1 : 0;
            }
        }
        return count;
    }

private:
    struct Event
    {
        TimePoint at;
        std::uint64_t order;
        Node *node;
        std::uint64_t generation;
        std::shared_ptr<const std::pair<PeerIdentity, PeerDatagram>> message; ///< none for a timer

        friend bool operator>(const Event &a, const Event &b)
        {
            return std::tie(a.at, a.order) > std::tie(b.at, b.order);
        }
    };

    bool isCurrent(const HostRecord &host) const
    {
        return isRunning(host.address) && nodes_.at(host.address).identity.incarnation == host.incarnation;
    }

    void scheduleTimer(Node &node, TimePoint at)
    {
        timers_[&node] = at;
        events_.push({ at, ++order_, &node, node.generation, nullptr });
    }

    template<typename Function>
    void call(Node &node, Function function)
    {
        MembershipActions actions;
        function(actions);
        for (MembershipAction &action : actions) {
            std::visit(Visitor{
                           [&](SendDatagram &send) { transmit(node, send); },
                           [](const ViewChanged &) {},
                           [&](const NewerRevisionSeen &seen) { node.revisionsSeen.push_back(seen); },
                       },
                       action);
        }
        const TimePoint next = std::max(node.membership->nextTimer(), now_ + Microseconds(1));
        if (timers_[&node] != next) {
            scheduleTimer(node, next);
        }
    }

    void transmit(Node &from, SendDatagram &send)
    {
        const std::size_t size = sealedSize(send.datagram);
        ++from.datagrams;
        from.bytes += size;
        from.largestDatagram = std::max(from.largestDatagram, size);
        const auto to = nodes_.find(send.to);
        if (to == nodes_.end() || (isPartitioned && isPartitioned(from, to->second))) {
            return;
        }
        auto message =
            std::make_shared<const std::pair<PeerIdentity, PeerDatagram>>(from.identity, std::move(send.datagram));
        const int copies = random_.nextDouble() < duplication ? 2 : 1;
        for (int i = 0; i < copies; ++i) {
            if (random_.nextDouble() >= loss) {
                const auto extra =
                    static_cast<std::int64_t>(random_.nextBelow(static_cast<std::uint64_t>(jitter.count()) + 1));
                events_.push({ now_ + delay + Microseconds(extra), ++order_, &to->second, 0, message });
            }
        }
    }

    void step(TimePoint until)
    {
        if (events_.empty() || events_.top().at >= until) {
            now_ = until;
            return;
        }
        const Event event = events_.top();
        events_.pop();
        now_ = event.at;
        Node &node = *event.node;
        if (!node.running || node.paused) {
            return;
        }
        if (event.message) {
            call(node, [&](MembershipActions &actions) {
                node.membership->onDatagram(event.message->first, event.message->second, now_, actions);
            });
        } else if (event.generation == node.generation && timers_[&node] == event.at) {
            timers_[&node] = TimePoint{};
            call(node, [&](MembershipActions &actions) { node.membership->onTimer(now_, actions); });
        }
    }

    SeededRandom random_;
    TimePoint now_{ std::chrono::hours(1) };
    std::uint64_t order_ = 0;
    std::map<HostAddress, Node> nodes_;
    absl::flat_hash_map<const Node *, TimePoint> timers_;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
};

} // namespace poplarroad

#endif
