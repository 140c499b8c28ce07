#include "poplarroad/configuration.h"
#include "service/configreplica.h"
#include "service/configsync.h"

#include <catch2/catch.hpp>

#include <map>
#include <random>

using namespace poplarroad;

namespace
{

ConfigChange zoneChange(std::uint64_t revision)
{
    const std::string name = "zone" + std::to_string(revision);
    return { Revision{ revision }, Revision{ revision - 1 }, "c" + std::to_string(revision),
             PutZone{ Zone{ zoneIdOf(name), name } } };
}

std::vector<ConfigChange> zoneChanges(std::uint64_t first, std::uint64_t last)
{
    std::vector<ConfigChange> changes;
    for (std::uint64_t revision = first; revision <= last; ++revision) {
        changes.push_back(zoneChange(revision));
    }
    return changes;
}

/** Simulates balancers of two zones. Messages take 5 ms and are lost with a given probability. */
class SimulatedFleet
{
public:
    SimulatedFleet(std::uint64_t seed, std::size_t hosts, double loss)
        : random_(seed)
        , loss_(loss)
    {
        for (std::size_t i = 0; i < hosts; ++i) {
            nodes_.push_back(std::make_unique<Node>(seed + i));
        }
        for (std::size_t i = 0; i < hosts; ++i) {
            nodes_[i]->sync.setView(viewOf(i));
        }
    }

    void write(std::size_t node, const ConfigChange &change)
    {
        ConfigSyncActions actions;
        nodes_[node]->sync.onStoredChanges({ change }, now_, actions);
        perform(node, actions);
    }

    /** Advances the time. Each balancer probes a random peer every 500 ms on average. */
    void run(Milliseconds duration)
    {
        const TimePoint end = now_ + duration;
        for (; now_ < end; now_ += Milliseconds(5)) {
            deliver();
            for (std::size_t i = 0; i < nodes_.size(); ++i) {
                step(i);
            }
        }
    }

    void setIsolated(std::size_t node, bool isIsolated)
    {
        nodes_[node]->isIsolated = isIsolated;
    }
    Revision revision(std::size_t node) const
    {
        return nodes_[node]->replica.revision();
    }
    std::size_t size() const
    {
        return nodes_.size();
    }

private:
    struct Node
    {
        explicit Node(std::uint64_t seed)
            : sync(replica, {}, seed)
        {
        }
        ConfigReplica replica;
        ConfigSync sync;
        bool isIsolated = false;
    };
    struct InFlightMessage
    {
        std::size_t from;
        std::size_t to;
        PeerConfigMessage message;
    };

    static HostAddress addressOf(std::size_t node)
    {
        return { 0x7f000001, static_cast<std::uint16_t>(1000 + node) };
    }
    std::shared_ptr<const FleetView> viewOf(std::size_t self) const
    {
        auto view = std::make_shared<FleetView>();
        view->self = addressOf(self);
        ZoneSummary other;
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            if (i % 2 == self % 2) {
                view->hosts.push_back({ addressOf(i), {}, HostState::Alive });
            } else if (other.gateways.size() < 2) {
                other.gateways.push_back(addressOf(i));
            }
        }
        view->otherZones.push_back(other);
        return view;
    }
    bool isLost(std::size_t from, std::size_t to)
    {
        return nodes_[from]->isIsolated || nodes_[to]->isIsolated
            || std::uniform_real_distribution<double>(0, 1)(random_) < loss_;
    }
    void step(std::size_t i)
    {
        ConfigSyncActions actions;
        nodes_[i]->sync.onTimer(now_, actions);
        if (random_() % 100 == 0) {
            const std::size_t peer = random_() % nodes_.size();
            if (peer != i && !isLost(i, peer) && revision(peer) != revision(i)) {
                nodes_[i]->sync.onRevisionSeen(addressOf(peer), revision(peer), now_, actions);
            }
        }
        perform(i, actions);
    }
    void deliver()
    {
        std::vector<InFlightMessage> arrived;
        arrived.swap(inFlight_);
        for (const InFlightMessage &message : arrived) {
            if (!isLost(message.from, message.to)) {
                ConfigSyncActions actions;
                nodes_[message.to]->sync.onMessage(addressOf(message.from), message.message, now_, actions);
                perform(message.to, actions);
            }
        }
    }
    void perform(std::size_t node, const ConfigSyncActions &actions)
    {
        for (const ConfigSyncAction &action : actions) {
            if (const auto *send = std::get_if<SendToPeer>(&action)) {
                inFlight_.push_back({ node, send->peer.port - std::size_t{ 1000 }, send->message });
            } else {
                const Revision revision = std::get<ConfigurationUpdated>(action).configuration->revision();
                REQUIRE(revision > lastRevision_[node]);
                lastRevision_[node] = revision;
            }
        }
    }

    std::mt19937_64 random_;
    double loss_;
    TimePoint now_{};
    std::vector<std::unique_ptr<Node>> nodes_;
    std::vector<InFlightMessage> inFlight_;
    std::map<std::size_t, Revision> lastRevision_;
};

} // namespace

TEST_CASE("a replica ignores old changes and stops at a gap, so its revision never decreases or skips a change")
{
    ConfigReplica replica;
    CHECK(replica.apply(zoneChanges(1, 5)).size() == 5);
    const ConfigurationPtr held = replica.configuration();
    CHECK(replica.apply(zoneChanges(2, 4)).empty());
    CHECK(replica.apply(zoneChanges(7, 8)).empty());
    CHECK(replica.lastError() == ConfigError::WrongRevision);
    CHECK(replica.apply(zoneChanges(4, 7)).size() == 2);
    CHECK(held->zones().size() == 5);
    CHECK_FALSE(replica.replace(held));
    CHECK(replica.revision() == Revision{ 7 });
}

TEST_CASE("a peer that is behind the log gets a snapshot instead of changes that it cannot apply")
{
    ConfigReplica replica;
    replica.apply(zoneChanges(1, 1200));
    CHECK(std::holds_alternative<ConfigSnapshot>(replica.answer({ Revision{ 199 } })));
    const PeerConfigMessage answer = replica.answer({ Revision{ 200 } });
    REQUIRE(std::holds_alternative<ConfigChanges>(answer));
    CHECK(std::get<ConfigChanges>(answer).changes.front().revision == Revision{ 201 });
    CHECK(std::get<ConfigChanges>(replica.answer({ Revision{ 1300 } })).changes.empty());
    CHECK(replica.findChange("c1200"));
    CHECK_FALSE(replica.findChange("c1"));
}

TEST_CASE("changing a copy of a configuration leaves the original unchanged, and the other way round")
{
    Configuration original;
    REQUIRE(original.apply({ Revision{ 1 }, {}, "z", PutZone{ Zone{ zoneIdOf("a"), "a" } } }));
    REQUIRE(original.apply({ Revision{ 2 }, {}, "s", PutService{ Service{ serviceIdOf("s"), "s", {} } } }));
    Configuration copy = original;
    REQUIRE(copy.apply({ Revision{ 3 }, {}, "r", RemoveService{ serviceIdOf("s") } }));
    CHECK(original.findService(serviceIdOf("s")));
    REQUIRE(original.apply({ Revision{ 3 }, {}, "t", PutService{ Service{ serviceIdOf("t"), "t", {} } } }));
    CHECK(copy.services().empty());
}

TEST_CASE("a change reaches every balancer within 3 s at 20% message loss")
{
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        SimulatedFleet fleet(seed, 24, 0.2);
        for (std::uint64_t revision = 1; revision <= 3; ++revision) {
            fleet.write(0, zoneChange(revision));
        }
        fleet.run(Milliseconds(3000));
        for (std::size_t node = 0; node < fleet.size(); ++node) {
            INFO("seed " << seed << " node " << node);
            CHECK(fleet.revision(node) == Revision{ 3 });
        }
    }
}

TEST_CASE("an isolated balancer catches up when it is reachable again")
{
    SimulatedFleet fleet(7, 8, 0.0);
    fleet.write(0, zoneChange(1));
    fleet.run(Milliseconds(100));
    fleet.setIsolated(3, true);
    for (std::uint64_t revision = 2; revision <= 1500; ++revision) {
        fleet.write(0, zoneChange(revision));
    }
    fleet.run(Milliseconds(3000));
    CHECK(fleet.revision(3) == Revision{ 1 });
    fleet.setIsolated(3, false);
    fleet.run(Milliseconds(3000));
    CHECK(fleet.revision(3) == Revision{ 1500 });
}

TEST_CASE("an invalid change in the store only advances the revision, so that replicas do not stop at it")
{
    ConfigReplica replica;
    std::vector<ConfigChange> changes = zoneChanges(1, 3);
    changes[1].edit = RemoveZone{ zoneIdOf("undeclared") };
    CHECK(replica.apply(changes).size() == 3);
    CHECK(replica.revision() == Revision{ 3 });
    CHECK(replica.skippedChanges() == 1);
    CHECK_FALSE(replica.lastError());
    CHECK(replica.configuration()->zones().size() == 2);
    const auto answer = std::get<ConfigChanges>(replica.answer({ Revision{} }));
    ConfigReplica follower;
    follower.apply(answer.changes);
    CHECK(follower.revision() == replica.revision());
    CHECK(follower.configuration()->zones() == replica.configuration()->zones());
}
