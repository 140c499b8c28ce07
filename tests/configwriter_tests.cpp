#include "poplarroad/visitor.h"
#include "service/configwriter.h"

#include <catch2/catch.hpp>

#include <map>
#include <random>

using namespace poplarroad;

namespace
{

/** Probabilities of store faults. */
struct Faults
{
    double refused = 0; ///< the write fails with an error and has no effect
    double answerLost = 0; ///< the write takes effect and its answer is lost
    double delayed = 0; ///< the answer is lost and the write takes effect later
    double readFailed = 0;
    double staleRead = 0; ///< an object that exists is reported absent
};

/** Simulates a store and several writers, each with its own replica. The seed determines the order of all steps. */
class WriterSimulation
{
public:
    WriterSimulation(std::uint64_t seed, std::size_t writers, Faults faults)
        : faults(faults)
        , random_(seed)
    {
        for (std::size_t i = 0; i < writers; ++i) {
            nodes_.push_back(std::make_unique<Node>(seed * 100 + i));
        }
    }

    std::uint64_t submit(std::size_t node, ChangeRequest request)
    {
        ConfigWriterActions actions;
        requests_[++calls_] = request;
        nodes_[node]->writer.submit(calls_, std::move(request), now_, actions);
        perform(node, actions);
        return calls_;
    }
    /** Runs until every call has a reply and no step is pending. */
    void run()
    {
        while (step()) { }
    }
    bool step()
    {
        now_ += Milliseconds(1);
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            ConfigWriterActions actions;
            nodes_[i]->writer.onTimer(now_, actions);
            perform(i, actions);
        }
        if (!pending_.empty()) {
            const std::size_t index = random_() % pending_.size();
            const std::function<void()> next = std::move(pending_[index]);
            pending_.erase(pending_.begin() + static_cast<std::ptrdiff_t>(index));
            next();
        }
        return !pending_.empty() || outcomes.size() < calls_;
    }
    /** Restarts the balancer. Its replica keeps the configuration and loses its log. */
    void restart(std::size_t node)
    {
        const ConfigurationPtr configuration = nodes_[node]->replica.configuration();
        nodes_[node] = std::make_unique<Node>(random_());
        nodes_[node]->replica.replace(configuration);
    }
    ConfigReplica &replica(std::size_t node)
    {
        return nodes_[node]->replica;
    }
    std::size_t countOf(const std::string &changeId) const
    {
        return static_cast<std::size_t>(std::count_if(
            log.begin(), log.end(), [&](const auto &entry) { return entry.second.changeId == changeId; }));
    }
    void checkInvariants() const
    {
        std::uint64_t expected = 0;
        for (const auto &[revision, change] : log) {
            CHECK(revision == Revision{ ++expected });
            CHECK(countOf(change.changeId) == 1);
        }
        for (const auto &[call, outcome] : outcomes) {
            const ChangeRequest &request = requests_.at(call);
            const std::size_t count = countOf(request.changeId);
            if (outcome.result == ChangeResult::Accepted) {
                CHECK(count == 1);
                CHECK(log.at(outcome.revision).changeId == request.changeId);
            } else if (outcome.result == ChangeResult::Conflict) {
                CHECK(outcome.revision > request.basedOn);
                CHECK(objectKeyOf(log.at(outcome.revision).edit) == objectKeyOf(request.edit));
            }
        }
    }

    Faults faults;
    std::map<Revision, ConfigChange> log;
    std::optional<Revision> floor = Revision{};
    std::map<std::uint64_t, ChangeOutcome> outcomes;
    std::size_t snapshotsNeeded = 0;

private:
    struct Node
    {
        explicit Node(std::uint64_t seed)
            : writer(replica, {}, seed)
        {
        }
        ConfigReplica replica;
        ConfigWriter writer;
    };

    bool happens(double probability)
    {
        return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
    }
    CreateResult write(const ConfigChange &change)
    {
        if (happens(faults.refused)) {
            return CreateResult::NotWritten;
        }
        if (happens(faults.delayed)) {
            pending_.emplace_back([this, change] { log.try_emplace(change.revision, change); });
            return CreateResult::MayBeWritten;
        }
        const bool written = log.try_emplace(change.revision, change).second;
        if (happens(faults.answerLost)) {
            return CreateResult::MayBeWritten;
        }
        return written ? CreateResult::Written : CreateResult::Taken;
    }
    void answerRead(std::size_t node, const ReadChange &read)
    {
        ConfigWriterActions actions;
        const auto found = log.find(read.revision);
        ConfigWriter &writer = nodes_[node]->writer;
        if (happens(faults.readFailed)) {
            writer.onRead(read.operationId, ReadResult::Failed, std::nullopt, now_, actions);
        } else if (found == log.end() || happens(faults.staleRead)) {
            writer.onRead(read.operationId, ReadResult::Absent, std::nullopt, now_, actions);
        } else {
            writer.onRead(read.operationId, ReadResult::Found, found->second, now_, actions);
        }
        perform(node, actions);
    }
    void perform(std::size_t node, const ConfigWriterActions &actions)
    {
        for (const ConfigWriterAction &action : actions) {
            std::visit(
                Visitor{
                    [&](const CreateChange &create) {
                        pending_.emplace_back([this, node, create] {
                            ConfigWriterActions next;
                            const CreateResult result = write(create.change);
                            nodes_[node]->writer.onCreated(create.operationId, result, now_, next);
                            perform(node, next);
                        });
                    },
                    [&](const ReadChange &read) {
                        pending_.emplace_back([this, node, read] { answerRead(node, read); });
                    },
                    [&](const ReadFloor &read) {
                        pending_.emplace_back([this, node, read] {
                            ConfigWriterActions next;
                            nodes_[node]->writer.onFloor(read.operationId,
                                                         happens(faults.readFailed) ? std::nullopt : floor, now_, next);
                            perform(node, next);
                        });
                    },
                    [&](const ApplyStoredChanges &stored) { nodes_[node]->replica.apply(stored.changes); },
                    [&](const LoadSnapshot &) { ++snapshotsNeeded; },
                    [&](const ReplyToOperator &reply) { REQUIRE(outcomes.emplace(reply.call, reply.outcome).second); },
                },
                action);
        }
    }

    std::mt19937_64 random_;
    TimePoint now_{};
    std::vector<std::unique_ptr<Node>> nodes_;
    std::vector<std::function<void()>> pending_;
    std::map<std::uint64_t, ChangeRequest> requests_;
    std::uint64_t calls_ = 0;
};

ChangeRequest zoneRequest(std::uint64_t basedOn, std::string changeId, const std::string &zone)
{
    return { Revision{ basedOn }, std::move(changeId), PutZone{ Zone{ zoneIdOf(zone), zone } } };
}

} // namespace

TEST_CASE("a change whose write is not confirmed is accepted and written only once")
{
    WriterSimulation simulation(1, 1, { .answerLost = 1.0 });
    const std::uint64_t call = simulation.submit(0, zoneRequest(0, "c1", "a"));
    simulation.run();
    CHECK(simulation.outcomes.at(call).result == ChangeResult::Accepted);
    CHECK(simulation.log.size() == 1);
}

TEST_CASE(
    "of two concurrent changes of one object one is accepted, and the other is a conflict with the newer revision")
{
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        WriterSimulation simulation(seed, 2, {});
        const std::uint64_t first = simulation.submit(0, zoneRequest(0, "c1", "a"));
        const std::uint64_t second = simulation.submit(1, zoneRequest(0, "c2", "a"));
        const std::uint64_t other = simulation.submit(1, zoneRequest(0, "c3", "b"));
        simulation.run();
        const bool firstWins = simulation.outcomes.at(first).result == ChangeResult::Accepted;
        const bool secondWins = simulation.outcomes.at(second).result == ChangeResult::Accepted;
        CHECK(firstWins != secondWins);
        CHECK(simulation.outcomes.at(firstWins ? second : first).result == ChangeResult::Conflict);
        CHECK(simulation.outcomes.at(other).result == ChangeResult::Accepted);
        simulation.checkInvariants();
    }
}

TEST_CASE("no accepted change is lost or written twice under random faults and interleavings")
{
    std::size_t accepted = 0;
    for (std::uint64_t seed = 1; seed <= 500; ++seed) {
        INFO("seed " << seed);
        WriterSimulation simulation(seed, 3, { 0.15, 0.1, 0.1, 0.1, 0.1 });
        std::mt19937_64 random(seed);
        std::vector<ChangeRequest> requests;
        for (int i = 0; i < 30; ++i) {
            const std::size_t node = random() % 3;
            const std::uint64_t known = simulation.replica(node).revision().value;
            const std::string zone = std::string(1, static_cast<char>('a' + random() % 4));
            const std::uint64_t basedOn = known - std::min<std::uint64_t>(known, random() % 3);
            // A third of the calls repeat all fields of an earlier one, possibly at another balancer.
            const bool repeats = !requests.empty() && random() % 3 == 0;
            requests.push_back(repeats ? requests[random() % requests.size()]
                                       : zoneRequest(basedOn, "c" + std::to_string(i), zone));
            simulation.submit(node, requests.back());
            for (std::uint64_t steps = random() % 20; steps > 0; --steps) {
                simulation.step();
            }
            if (random() % 10 == 0 && simulation.outcomes.size() == static_cast<std::size_t>(i) + 1) {
                simulation.restart(node);
            }
        }
        simulation.run();
        simulation.checkInvariants();
        for (const auto &entry : simulation.outcomes) {
            accepted += entry.second.result == ChangeResult::Accepted ? 1 : 0;
        }
    }
    CHECK(accepted > 1000);
}

TEST_CASE("an unavailable store gives unreachable, and unknown only if the write may have taken effect")
{
    WriterSimulation down(1, 1, { .refused = 1.0, .readFailed = 1.0 });
    const std::uint64_t call = down.submit(0, zoneRequest(0, "c1", "a"));
    down.run();
    CHECK(down.outcomes.at(call).result == ChangeResult::Unreachable);
    WriterSimulation silent(1, 1, { .answerLost = 1.0, .readFailed = 1.0 });
    const std::uint64_t lost = silent.submit(0, zoneRequest(0, "c1", "a"));
    silent.run();
    CHECK(silent.outcomes.at(lost).result == ChangeResult::Unknown);
    silent.faults = {};
    const std::uint64_t repeated = silent.submit(0, zoneRequest(0, "c1", "a"));
    silent.run();
    CHECK(silent.outcomes.at(repeated).result == ChangeResult::Accepted);
    CHECK(silent.log.size() == 1);
}

TEST_CASE("a repeated change id gets its first result even after a restart of the daemon")
{
    WriterSimulation simulation(1, 1, {});
    simulation.submit(0, zoneRequest(0, "c1", "a"));
    simulation.submit(0, zoneRequest(1, "c2", "b"));
    simulation.run();
    simulation.restart(0);
    const std::uint64_t repeated = simulation.submit(0, zoneRequest(0, "c1", "a"));
    const std::uint64_t reused = simulation.submit(0, zoneRequest(0, "c1", "other"));
    simulation.run();
    CHECK(simulation.outcomes.at(repeated).result == ChangeResult::Accepted);
    CHECK(simulation.outcomes.at(repeated).revision == Revision{ 1 });
    CHECK(simulation.outcomes.at(reused).result == ChangeResult::Refused);
    CHECK(simulation.log.size() == 2);
}

TEST_CASE("a write to a revision that was removed from the store is not reported as accepted")
{
    WriterSimulation simulation(1, 1, {});
    simulation.floor = Revision{ 500 };
    const std::uint64_t call = simulation.submit(0, zoneRequest(0, "c1", "a"));
    simulation.run();
    CHECK(simulation.outcomes.at(call).result == ChangeResult::Unknown);
    CHECK(simulation.replica(0).revision() == Revision{ 0 });
    CHECK(simulation.snapshotsNeeded == 1);
}

TEST_CASE("operator calls beyond the limit are rejected instead of queued without bound")
{
    WriterSimulation simulation(1, 1, {});
    for (int i = 0; i < 100; ++i) {
        simulation.submit(0, zoneRequest(0, "c" + std::to_string(i), "z" + std::to_string(i)));
    }
    CHECK(simulation.outcomes.size() == 36);
    simulation.run();
    CHECK(simulation.log.size() == 64);
    simulation.checkInvariants();
}
