#include "contract/invariant.h"
#include "dispatchersimulation.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <cstdlib>
#include <string>

using namespace poplarroad;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

std::uint64_t fromEnvironment(const char *name, std::uint64_t fallback)
{
    const char *text = std::getenv(name);
    return text != nullptr ? std::strtoull(text, nullptr, 10) : fallback;
}

/** One dispatcher and the actions that it returned. */
struct DispatcherFixture
{
    explicit DispatcherFixture(std::size_t targets = 2)
    {
        configuration = makeTestConfiguration(targets);
        dispatcher.setConfiguration(std::make_shared<Configuration>(configuration), now, actions);
        dispatcher.setView(makeView(HostAddress{ 1, 1 }, 1, { HostAddress{ 1, 1 } }), now, actions);
    }

    void send(CallerMessage message)
    {
        dispatcher.onCallerMessage(std::move(message), ReturnPath{ { 1, 1 }, 7 }, now, actions);
    }
    FlowToken token()
    {
        send(RenewMessage{ FlowId{ 1 }, TestPool.service, CallerId{ 1 }, {}, false, {} });
        return std::get<RenewedMessage>(lastReply()).token;
    }
    CallerReply lastReply() const
    {
        for (auto it = actions.rbegin(); it != actions.rend(); ++it) {
            if (const auto *reply = std::get_if<ReplyToCaller>(&*it)) {
                return reply->reply;
            }
        }
        throw std::logic_error("no reply");
    }
    std::vector<RunAtTarget> runs() const
    {
        std::vector<RunAtTarget> all;
        for (const DispatchAction &action : actions) {
            if (const auto *run = std::get_if<RunAtTarget>(&action)) {
                all.push_back(*run);
            }
        }
        return all;
    }
    void answer(const RunAtTarget &run, std::uint64_t position = 0, bool last = true)
    {
        dispatcher.onTargetEvent(TargetResult{ run.target, run.request.id, position, last, "x" }, now, actions);
    }

    TimePoint now = TimePoint{} + seconds(1000);
    Configuration configuration;
    DispatchActions actions;
    Dispatcher dispatcher{ TestPool, 1 };
};

template<typename Message>
auto reasonOf(const CallerReply &reply)
{
    return std::get<Message>(reply).reason;
}

} // namespace

TEST_CASE("a non-idempotent request without a token is never run")
{
    DispatcherFixture fixture;
    fixture.send(makeRequest(BidKind, 1, 1));
    const auto reply = std::get<NotRunMessage>(fixture.lastReply());
    CHECK(reply.reason == NotRunReason::TokenRequired);
    CHECK(reply.token.has_value());
    CHECK(fixture.runs().empty());
}

TEST_CASE("a token of another process, an expired token and a rejected token give unknown, since another process may "
          "have run it")
{
    DispatcherFixture fixture;
    RequestMessage request = makeRequest(BidKind, 1, 1);
    request.token = fixture.token();
    RequestMessage foreign = request;
    foreign.token->incarnation = Incarnation{ 99 };
    fixture.send(foreign);
    CHECK(reasonOf<UnknownMessage>(fixture.lastReply()) == UnknownReason::DispatcherLost);
    RequestMessage rejected = request;
    rejected.token.reset();
    rejected.tokenRejected = true;
    fixture.send(rejected);
    CHECK(reasonOf<UnknownMessage>(fixture.lastReply()) == UnknownReason::TokenRejected);
    fixture.now += seconds(61);
    fixture.send(request);
    CHECK(reasonOf<UnknownMessage>(fixture.lastReply()) == UnknownReason::TokenExpired);
    CHECK(fixture.runs().empty());
}

TEST_CASE("a duplicate gets the stored answer and is not run again, even after the answer was dropped")
{
    DispatcherFixture fixture;
    RequestMessage request = makeRequest(BidKind, 1, 1);
    request.token = fixture.token();
    fixture.send(request);
    fixture.send(request);
    REQUIRE(fixture.runs().size() == 1);
    fixture.answer(fixture.runs().front());
    fixture.send(request);
    CHECK(std::holds_alternative<AnswerMessage>(fixture.lastReply()));
    fixture.now += seconds(11);
    fixture.dispatcher.onTimer(fixture.now, fixture.actions);
    fixture.send(request);
    CHECK(reasonOf<UnknownMessage>(fixture.lastReply()) == UnknownReason::AnswerDropped);
    CHECK(fixture.runs().size() == 1);
}

TEST_CASE("a connection lost after the first byte gives unknown, and an explicit refusal is retried at a second target")
{
    DispatcherFixture fixture;
    RequestMessage request = makeRequest(BidKind, 1, 1);
    request.token = fixture.token();
    fixture.send(request);
    const RunAtTarget first = fixture.runs().at(0);
    fixture.dispatcher.onTargetEvent(TargetRefused{ first.target, first.request.id, TargetRefusal::Shed }, fixture.now,
                                     fixture.actions);
    REQUIRE(fixture.runs().size() == 2);
    const RunAtTarget second = fixture.runs().at(1);
    CHECK(second.target != first.target);
    fixture.dispatcher.onTargetEvent(TargetLost{ second.target, second.request.id, true }, fixture.now,
                                     fixture.actions);
    CHECK(reasonOf<UnknownMessage>(fixture.lastReply()) == UnknownReason::TargetLost);
    CHECK(fixture.runs().size() == 2);
}

TEST_CASE("a feed at a draining target continues at another one without a missing or repeated position")
{
    DispatcherFixture fixture;
    fixture.send(makeRequest(FeedKind, 1, 1));
    const RunAtTarget first = fixture.runs().at(0);
    fixture.answer(first, 1, false);
    fixture.answer(first, 2, false);
    fixture.now += seconds(5);
    fixture.configuration.apply({ Revision{ 1 }, {}, "drain", SetTargetState{ first.target, TargetState::Draining } });
    fixture.dispatcher.setConfiguration(std::make_shared<Configuration>(fixture.configuration), fixture.now,
                                        fixture.actions);
    REQUIRE(fixture.runs().size() == 2);
    const RunAtTarget second = fixture.runs().at(1);
    CHECK(second.target != first.target);
    CHECK(second.request.resumeFrom == 2);
    fixture.answer(first, 3, false);
    fixture.answer(second, 3, false);
    CHECK(std::get<AnswerMessage>(fixture.lastReply()).position == 3);
}

TEST_CASE("the dispatcher of a pool may be a suspected host, but not a leaving or dead one")
{
    auto view = *makeView({ 1, 1 }, 1, { { 1, 1 }, { 2, 1 }, { 3, 1 } });
    const HostAddress first = dispatcherOf(TestPool, view)->address;
    for (HostRecord &host : view.hosts) {
        host.state = host.address == first ? HostState::Leaving : HostState::Suspected;
    }
    REQUIRE(dispatcherOf(TestPool, view) != nullptr);
    CHECK(dispatcherOf(TestPool, view)->address != first);
    for (HostRecord &host : view.hosts) {
        host.state = HostState::Dead;
    }
    CHECK(dispatcherOf(TestPool, view) == nullptr);
}

TEST_CASE("a pool does not stay paused if the view with the new incarnation arrives before onPaused is called")
{
    const HostAddress self{ 1, 1 };
    for (const bool viewFirst : { false, true }) {
        DispatcherFixture fixture;
        CAPTURE(viewFirst);
        const auto pause = [&] { fixture.dispatcher.onPaused(Incarnation{ 2 }, fixture.now, fixture.actions); };
        const auto renew = [&] {
            fixture.dispatcher.setView(makeView(self, 2, { self }), fixture.now, fixture.actions);
        };
        if (viewFirst) {
            renew();
            pause();
        } else {
            pause();
            fixture.actions.clear();
            fixture.send(makeRequest(BidKind, 1, 1));
            CHECK_FALSE(std::get<NotRunMessage>(fixture.lastReply()).token.has_value());
            renew();
        }
        RequestMessage request = makeRequest(BidKind, 1, 2);
        request.token = fixture.token();
        CHECK(request.token->incarnation == Incarnation{ 2 });
        fixture.send(request);
        CHECK(fixture.runs().size() == 1);
    }
}

TEST_CASE("a balancer learns from a newer token that another one moved the flow, and ignores an older token")
{
    DispatcherFixture fixture(4);
    FlowToken token = fixture.token();
    RequestMessage request = makeRequest(ListKind, 1, 1);
    request.token = token;
    fixture.send(request);
    const TargetId before = fixture.runs().back().target;
    fixture.answer(fixture.runs().back());
    TargetId elsewhere = before;
    for (const auto &[id, target] : fixture.configuration.targets()) {
        elsewhere = id != before ? id : elsewhere;
    }
    // Another balancer took over the pool, moved the flow and answered requests 2 and 3; the next token shows that.
    token.dispatcher = HostAddress{ 1, 2 };
    token.target = elsewhere;
    fixture.now += milliseconds(100);
    request = makeRequest(ListKind, 1, 4);
    request.token = token;
    fixture.send(request);
    CHECK(fixture.runs().back().target == elsewhere);
    fixture.answer(fixture.runs().back());

    // A late duplicate of request 3 carries an outdated token, which must not move the flow back.
    token.target = before;
    request = makeRequest(ListKind, 1, 3);
    request.token = token;
    fixture.send(request);
    fixture.answer(fixture.runs().back());
    request = makeRequest(ListKind, 1, 5);
    request.token = std::nullopt;
    fixture.send(request);
    CHECK(fixture.runs().back().target == elsewhere);
}

TEST_CASE("a host that has not joined its zone never selects itself as the dispatcher")
{
    const HostAddress self{ 1, 1 };
    auto view = makeView(self, 1, { self });
    view->joined = false;
    CHECK(dispatcherOf(TestPool, *view) == nullptr);
    DispatcherFixture fixture;
    fixture.dispatcher.setView(view, fixture.now, fixture.actions);
    fixture.send(makeRequest(BidKind, 1, 1));
    CHECK(reasonOf<NotRunMessage>(fixture.lastReply()) == NotRunReason::Moved);
    CHECK_FALSE(std::get<NotRunMessage>(fixture.lastReply()).token.has_value());
    for (std::uint16_t port = 1; port < 20; ++port) {
        auto two = makeView(self, 1, { self, { 2, port } });
        two->joined = false;
        CHECK(dispatcherOf(TestPool, *two)->address == HostAddress{ 2, port });
    }
    CHECK(dispatcherOf(TestPool, *makeView(self, 1, { self }))->address == self);
}

TEST_CASE("the target index does not grow when targets are replaced many times, and a flow keeps its target")
{
    DispatcherFixture fixture(2);
    RequestMessage request = makeRequest(BidKind, 1, 1);
    request.token = fixture.token();
    fixture.send(request);
    REQUIRE(fixture.runs().size() == 1);
    const TargetId kept = fixture.runs().front().target;
    fixture.answer(fixture.runs().front());
    std::uint64_t revision = 0;
    const auto apply = [&](const ConfigEdit &edit) {
        const std::string id = std::to_string(++revision);
        REQUIRE(fixture.configuration.apply({ Revision{ revision }, {}, id, edit }));
        fixture.dispatcher.setConfiguration(std::make_shared<Configuration>(fixture.configuration), fixture.now,
                                            fixture.actions);
    };
    const Target pattern = *fixture.configuration.findTarget(kept);
    for (int i = 0; i < 500; ++i) {
        Target replacement = pattern;
        replacement.name = "replacement" + std::to_string(i);
        replacement.id = targetIdOf(replacement.name);
        apply(PutTarget{ replacement });
        apply(RemoveTarget{ replacement.id });
        REQUIRE(fixture.dispatcher.status(fixture.now).indexedTargets < 50);
    }
    CHECK(fixture.dispatcher.explain(FlowId{ 1 }).target == kept);
}

TEST_CASE("the explanation of a target includes its requests in progress, not only what is declared")
{
    DispatcherFixture fixture(2);
    RequestMessage request = makeRequest(BidKind, 1, 1);
    request.token = fixture.token();
    fixture.send(request);
    const TargetId target = fixture.runs().at(0).target;
    const auto explanation = fixture.dispatcher.explainTarget(target);
    REQUIRE(explanation);
    CHECK(explanation->status.inProgress == 1);
    CHECK_FALSE(fixture.dispatcher.explainTarget(TargetId{ 12345 }));
}

// POPLARROAD_STEPS sets the number of random events, POPLARROAD_SEED the seed of the first of the five runs.
TEST_CASE(
    "no non-idempotent request runs twice or is reported not run after it ran, whatever is lost, repeated or paused")
{
    abortOnInvariantFailure(true);
    const std::uint64_t steps = fromEnvironment("POPLARROAD_STEPS", 20000);
    const std::uint64_t seed = fromEnvironment("POPLARROAD_SEED", 1);
    for (std::uint64_t run = 0; run < 5; ++run) {
        CAPTURE(seed + run);
        DispatcherSimulation simulation(seed + run);
        for (std::uint64_t step = 0; step < steps / 5; ++step) {
            simulation.step();
            if (!simulation.violation().empty()) {
                break;
            }
        }
        UNSCOPED_INFO(simulation.violation());
        REQUIRE(simulation.violation().empty());
        simulation.runUntilIdle();
        UNSCOPED_INFO(simulation.violation());
        REQUIRE(simulation.violation().empty());
        CHECK(simulation.answered() > 0);
    }
    CHECK(invariantFailures() == 0);
}
