#include "poplarroad/router.h"
#include "routingfixture.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <random>

using namespace poplarroad;
using namespace poplarroad::testing;

namespace
{

const std::vector<int> Hosts{ 3, 3 };
constexpr std::uint64_t Endpoint = 77;

/** Router of host 0 in zone a; zones a and b have 3 hosts and 5 targets each. */
struct IngressFixture
{
    IngressFixture()
        : view(makeView(Hosts, 0, 0))
    {
        router.setConfiguration(makeConfiguration({ 5, 5 }), now);
        updateView();
    }

    void updateView()
    {
        router.setView(std::make_shared<FleetView>(view), now);
    }

    RouteActions send(CallerMessage message)
    {
        RouteActions actions;
        router.onCallerMessage(std::move(message), Endpoint, now, actions);
        return actions;
    }

    RouteActions reply(CallerReply reply, std::uint64_t endpoint = Endpoint)
    {
        RouteActions actions;
        router.onReply(std::move(reply), { view.self, endpoint }, now, actions);
        return actions;
    }

    RouteActions runNextTimer()
    {
        now = router.nextTimer();
        RouteActions actions;
        router.onTimer(now, actions);
        return actions;
    }

    TimePoint now{};
    FleetView view;
    Router router{ 1 };
};

RequestMessage makeRequest(KindId kind, std::uint64_t sequence = 1, std::optional<FlowToken> token = std::nullopt)
{
    RequestMessage message;
    message.id = { { 42 }, sequence };
    message.service = LotsService;
    message.kind = kind;
    message.caller = { 9 };
    message.token = token;
    return message;
}

FlowToken makeToken(const HostAddress &dispatcher, const char *zone = "a")
{
    return { { 42 }, LotsService, zoneIdOf(zone), { 1 }, dispatcher, incarnationOf(dispatcher), Milliseconds(5) };
}

AnswerMessage makeAnswer(std::uint64_t sequence = 1, std::uint64_t position = 0, bool last = true)
{
    return { { { 42 }, sequence }, LotsService, { 9 }, position, last, std::nullopt, {}, "x" };
}

NotRunMessage makeNotRun(NotRunReason reason)
{
    return { { { 42 }, 1 }, LotsService, { 9 }, reason, Milliseconds(0), std::nullopt };
}

/** @return the reply, if the only action is a reply of this type */
template<typename Reply>
const Reply *onlyReply(const RouteActions &actions)
{
    if (actions.size() != 1) {
        return nullptr;
    }
    if (const auto *local = std::get_if<ReplyToLocalCaller>(&actions[0])) {
        return std::get_if<Reply>(&local->reply);
    }
    const auto *remote = std::get_if<ReplyToIngress>(&actions[0]);
    return remote ? std::get_if<Reply>(&remote->reply) : nullptr;
}

bool isUnknownReply(const RouteActions &actions, UnknownReason reason)
{
    const auto *unknown = onlyReply<UnknownMessage>(actions);
    return unknown && unknown->reason == reason;
}

bool isNotRunReply(const RouteActions &actions, NotRunReason reason)
{
    const auto *refused = onlyReply<NotRunMessage>(actions);
    return refused && refused->reason == reason;
}

/** @return the receiver, if the only action forwards a message */
std::optional<HostAddress> forwardedTo(const RouteActions &actions)
{
    const auto *forward = actions.size() == 1 ? std::get_if<ForwardToHost>(&actions[0]) : nullptr;
    return forward ? std::optional(forward->host) : std::nullopt;
}

} // namespace

TEST_CASE("a bound request goes only to the dispatcher incarnation in its token")
{
    IngressFixture ingress;
    CHECK(forwardedTo(ingress.send(makeRequest(BidKind, 1, makeToken(hostAddress(0, 1))))) == hostAddress(0, 1));
    CHECK(forwardedTo(ingress.send(makeRequest(BidKind, 2, makeToken(hostAddress(1, 2), "b")))) == hostAddress(1, 2));
    FlowToken old = makeToken(hostAddress(0, 1));
    old.incarnation.value += 1;
    // The view may be outdated; only the host in the token can check the incarnation.
    CHECK(forwardedTo(ingress.send(makeRequest(BidKind, 3, old))) == hostAddress(0, 1));
    old = makeToken(hostAddress(0, 0));
    old.incarnation.value += 1;
    CHECK(isUnknownReply(ingress.send(makeRequest(BidKind, 4, old)), UnknownReason::DispatcherLost));
    ingress.view.hosts[1].state = HostState::Dead;
    ingress.updateView();
    CHECK(isUnknownReply(ingress.send(makeRequest(BidKind, 5, makeToken(hostAddress(0, 1)))),
                         UnknownReason::DispatcherLost));
    ingress.view.otherZones[0].reachable = false;
    ingress.updateView();
    CHECK(isUnknownReply(ingress.send(makeRequest(BidKind, 6, makeToken(hostAddress(1, 2), "b"))),
                         UnknownReason::DispatcherLost));
}

TEST_CASE("the token of a restarted host stays valid while the view lists its earlier incarnation as dead")
{
    IngressFixture ingress;
    ingress.view.hosts[1].state = HostState::Dead;
    ingress.updateView();
    FlowToken renewed = makeToken(hostAddress(0, 1));
    renewed.incarnation.value += 1;
    CHECK(forwardedTo(ingress.send(makeRequest(BidKind, 1, renewed))) == hostAddress(0, 1));
}

TEST_CASE("a token that binds to no dispatcher routes by its zone and does not make the outcome unknown")
{
    IngressFixture ingress;
    FlowToken placement = makeToken(hostAddress(0, 1));
    placement.incarnation = {};
    const RouteActions actions = ingress.send(makeRequest(BidKind, 1, placement));
    REQUIRE(actions.size() == 1);
    CHECK_FALSE(onlyReply<UnknownMessage>(actions));
    // The dispatcher of the pool refuses with TokenRequired and keeps the target of the token.
    const auto dispatcher = *dispatcherOf({ LotsService, ingress.view.zone }, ingress.view);
    const auto *forward = std::get_if<ForwardToHost>(&actions[0]);
    const auto *local = std::get_if<DispatchLocally>(&actions[0]);
    CHECK((forward ? forward->host : ingress.view.self) == dispatcher.address);
    CHECK(std::get<RequestMessage>(forward ? forward->message : local->message).token == placement);
}

TEST_CASE("repeats of a renewal do not extend its deadline when the balancer does not reply")
{
    IngressFixture ingress;
    const RenewMessage renew{ { 42 }, LotsService, { 9 }, makeToken(hostAddress(0, 1)), false, {} };
    RouteActions actions;
    for (int repeat = 0; repeat < 8 && actions.empty(); ++repeat) {
        ingress.send(renew);
        ingress.now += Milliseconds(250);
        ingress.router.onTimer(ingress.now, actions);
    }
    REQUIRE(actions.size() == 1);
    const auto *reply = std::get_if<ReplyToLocalCaller>(&actions[0]);
    REQUIRE(reply);
    CHECK(std::get<UnknownMessage>(reply->reply).reason == UnknownReason::DeadlinePassed);
}

TEST_CASE("a renewal that reaches the hop limit is dispatched locally")
{
    IngressFixture ingress;
    const RenewMessage renew{ { 42 }, LotsService, { 9 }, makeToken(hostAddress(0, 1)), false, {} };
    RouteActions actions;
    ingress.router.onForwarded(renew, { hostAddress(0, 2), 1 }, MaxHops, ingress.now, actions);
    REQUIRE(actions.size() == 1);
    const auto *local = std::get_if<DispatchLocally>(&actions[0]);
    REQUIRE(local);
    CHECK(local->hops == MaxHops);
}

TEST_CASE("a leaving balancer still routes, and forwards the token of a dead dispatcher to the next one")
{
    IngressFixture ingress;
    ingress.view.hosts[1].state = HostState::Dead;
    ingress.view.hosts[0].state = HostState::Leaving;
    ingress.view.leaving = true;
    ingress.updateView();
    const RouteActions actions = ingress.send(makeRequest(PhotoKind, 1, makeToken(hostAddress(0, 1))));
    REQUIRE(forwardedTo(actions) == hostAddress(0, 2));
    CHECK(std::get<RequestMessage>(std::get<ForwardToHost>(actions[0]).message).token == makeToken(hostAddress(0, 1)));
    const RenewMessage renew{ { 42 }, LotsService, { 9 }, makeToken(hostAddress(0, 1)), false, {} };
    CHECK(forwardedTo(ingress.send(renew)) == hostAddress(0, 2));
}

TEST_CASE("a bound message is not forwarded beyond the hop limit")
{
    IngressFixture ingress;
    RouteActions actions;
    const ReturnPath path{ hostAddress(1, 0), 5 };
    ingress.router.onForwarded(makeRequest(BidKind, 1, makeToken(hostAddress(0, 1))), path, 2, ingress.now, actions);
    REQUIRE(forwardedTo(actions) == hostAddress(0, 1));
    CHECK(std::get<ForwardToHost>(actions[0]).hops == 3);
    actions.clear();
    ingress.router.onForwarded(makeRequest(BidKind, 1, makeToken(hostAddress(0, 1))), path, 3, ingress.now, actions);
    CHECK(isUnknownReply(actions, UnknownReason::DispatcherLost));
    CHECK(std::get<ReplyToIngress>(actions[0]).path == path);
}

TEST_CASE("a late, duplicate or mismatched reply does not reach the caller")
{
    IngressFixture ingress;
    ingress.send(makeRequest(PhotoKind));
    AnswerMessage mismatched = makeAnswer();
    mismatched.service = serviceIdOf("other");
    CHECK(ingress.reply(mismatched).empty());
    mismatched = makeAnswer();
    mismatched.caller = { 10 };
    CHECK(ingress.reply(mismatched).empty());
    CHECK(ingress.reply(makeAnswer(2)).empty());
    CHECK(ingress.reply(makeAnswer(), Endpoint + 1).empty());
    CHECK(onlyReply<AnswerMessage>(ingress.reply(makeAnswer())));
    CHECK(ingress.reply(makeAnswer()).empty());
    CHECK(ingress.router.status().unmatchedReplies == 5);
    CHECK(ingress.router.status().pending == 0);
}

TEST_CASE("a feed delivers each answer once and expires when it is idle")
{
    IngressFixture ingress;
    ingress.send(makeRequest(FeedKind));
    CHECK(onlyReply<AnswerMessage>(ingress.reply(makeAnswer(1, 1, false))));
    ingress.now += std::chrono::seconds(50);
    CHECK(onlyReply<AnswerMessage>(ingress.reply(makeAnswer(1, 2, false))));
    CHECK(ingress.reply(makeAnswer(1, 2, false)).empty());
    RouteActions expired;
    for (int i = 0; i < 5 && expired.empty(); ++i) {
        expired = ingress.runNextTimer();
    }
    CHECK(isUnknownReply(expired, UnknownReason::DeadlinePassed));
    CHECK(ingress.now.time_since_epoch() == std::chrono::seconds(110));
    CHECK(ingress.router.status().pending == 0);
}

TEST_CASE("after the loss of a balancer bound requests end as unknown and idempotent ones are retried")
{
    IngressFixture ingress;
    ingress.send(makeRequest(BidKind, 1, makeToken(hostAddress(1, 2), "b")));
    ingress.send(makeRequest(PhotoKind, 2, makeToken(hostAddress(1, 2), "b")));
    RouteActions actions;
    ingress.router.onHostLost(hostAddress(1, 2), ingress.now, actions);
    REQUIRE(isUnknownReply(actions, UnknownReason::DispatcherLost));
    CHECK(std::get<UnknownMessage>(std::get<ReplyToLocalCaller>(actions[0]).reply).id.sequence == 1);
    const auto retry = forwardedTo(ingress.runNextTimer());
    REQUIRE(retry);
    CHECK((*retry == hostAddress(1, 0) || *retry == hostAddress(1, 1)));
    // The lost balancer may have run the request, so a refusal by the next one is no proof that it did not run.
    NotRunMessage refused = makeNotRun(NotRunReason::QueueFull);
    refused.id.sequence = 2;
    CHECK(isUnknownReply(ingress.reply(refused), UnknownReason::DispatcherLost));
}

TEST_CASE("the ingress waits past the deadline for the dispatcher's own reply")
{
    IngressFixture ingress;
    RequestMessage message = makeRequest(BidKind, 1, makeToken(hostAddress(0, 1)));
    message.remaining = Milliseconds(200);
    ingress.send(message);
    CHECK(isUnknownReply(ingress.runNextTimer(), UnknownReason::DeadlinePassed));
    CHECK(ingress.now.time_since_epoch() > Milliseconds(200));
    CHECK(ingress.now.time_since_epoch() <= Milliseconds(300));
    CHECK(ingress.router.nextTimer() == TimePoint::max());
}

TEST_CASE("the ingress sheds only requests that cannot have run and are not urgent")
{
    IngressFixture ingress;
    for (const char *zone : { "a", "b" }) {
        ingress.router.onPoolReport({ { LotsService, zoneIdOf(zone) }, 3.0, Urgency::High, Milliseconds(1000) },
                                    ingress.now);
    }
    CHECK(isNotRunReply(ingress.send(makeRequest(PhotoKind)), NotRunReason::Overload));
    CHECK(forwardedTo(ingress.send(makeRequest(BidKind, 2, makeToken(hostAddress(0, 1))))) == hostAddress(0, 1));
    CHECK_FALSE(onlyReply<NotRunMessage>(ingress.send(makeRequest(FeedKind, 3))));
    RequestMessage repeated = makeRequest(PhotoKind, 4);
    repeated.attempt = 1;
    CHECK_FALSE(onlyReply<NotRunMessage>(ingress.send(repeated)));
    ingress.now += Milliseconds(1001);
    CHECK_FALSE(onlyReply<NotRunMessage>(ingress.send(makeRequest(PhotoKind, 5))));
}

TEST_CASE("an undeclared service or kind is refused, and a rejected token makes the outcome unknown")
{
    IngressFixture ingress;
    RequestMessage message = makeRequest(BidKind);
    message.service = serviceIdOf("undeclared");
    CHECK(isNotRunReply(ingress.send(message), NotRunReason::UnknownService));
    message.tokenRejected = true;
    CHECK(isUnknownReply(ingress.send(message), UnknownReason::TokenRejected));
    CHECK(isNotRunReply(ingress.send(makeRequest(kindIdOf("undeclared"))), NotRunReason::UnknownKind));
    message = makeRequest(BidKind);
    message.tokenRejected = true;
    CHECK(isUnknownReply(ingress.send(message), UnknownReason::TokenRejected));
    FlowToken foreign = makeToken(hostAddress(0, 1));
    foreign.flow = { 43 };
    CHECK(isUnknownReply(ingress.send(makeRequest(BidKind, 2, foreign)), UnknownReason::TokenRejected));
    message = makeRequest(PhotoKind, 3);
    message.tokenRejected = true;
    CHECK(onlyReply<UnknownMessage>(ingress.send(message)) == nullptr);
}

TEST_CASE("a refusal of a copy without a token is not the outcome of the bound request")
{
    IngressFixture ingress;
    ingress.send(makeRequest(BidKind));
    ingress.send(makeRequest(BidKind, 1, makeToken(hostAddress(0, 1))));
    CHECK(ingress.reply(makeNotRun(NotRunReason::TokenRequired)).empty());
    CHECK(isNotRunReply(ingress.reply(makeNotRun(NotRunReason::QueueFull)), NotRunReason::QueueFull));
}

TEST_CASE("a cancel follows the route of its request")
{
    IngressFixture ingress;
    const RouteActions sent = ingress.send(makeRequest(PhotoKind, 1, makeToken(hostAddress(1, 2), "b")));
    const CancelMessage cancel{ { { 42 }, 1 }, LotsService, { 9 }, std::nullopt, false };
    CHECK(forwardedTo(ingress.send(cancel)) == forwardedTo(sent));
    CHECK(ingress.router.status().pending == 1);
}

TEST_CASE("a router never replies notRun for a request that may have run")
{
    CHECK(rc::check([](std::uint64_t seed) {
        std::mt19937_64 random(seed);
        IngressFixture ingress;
        const KindId kinds[] = { BidKind, PhotoKind, FeedKind };
        for (int step = 0; step < 60; ++step) {
            RequestMessage message = makeRequest(kinds[random() % 3], 1 + random() % 4);
            const std::size_t zone = random() % 2;
            if (random() % 2 == 0) {
                message.token = makeToken(hostAddress(zone, static_cast<int>(random() % 3)), zone == 0 ? "a" : "b");
                message.token->incarnation.value += random() % 3 == 0 ? 1 : 0;
            }
            message.tokenRejected = !message.token && random() % 5 == 0;
            message.attempt = random() % 2;
            const std::uint8_t hops = random() % 5;
            RouteActions actions;
            if (hops == 0) {
                actions = ingress.send(message);
            } else {
                ingress.router.onForwarded(message, { hostAddress(1, 1), 3 }, hops, ingress.now, actions);
            }
            const bool tokenless = !message.token && !message.tokenRejected;
            const bool allowed = message.kind == BidKind ? tokenless : hops == 0 && message.attempt == 0;
            RC_ASSERT((allowed || !onlyReply<NotRunMessage>(actions)));
            ingress.view.hosts[1 + random() % 2].state = static_cast<HostState>(random() % 4);
            ingress.view.otherZones[0].reachable = random() % 3 != 0;
            ingress.updateView();
            const PoolId pool{ LotsService, zoneIdOf(random() % 2 == 0 ? "a" : "b") };
            ingress.router.onPoolReport({ pool, 2.0, static_cast<Urgency>(random() % 4), Milliseconds(500) },
                                        ingress.now);
            actions.clear();
            ingress.router.onHostLost(hostAddress(random() % 2, static_cast<int>(random() % 3)), ingress.now, actions);
            ingress.now += Milliseconds(random() % 100);
            ingress.router.onTimer(ingress.now, actions);
            for (const RouteAction &action : actions) {
                const auto *reply = std::get_if<ReplyToLocalCaller>(&action);
                RC_ASSERT((!reply || !std::holds_alternative<NotRunMessage>(reply->reply)));
            }
        }
    }));
}

TEST_CASE("a host that has not joined its zone dispatches no pool, and a joined host that is alone does")
{
    IngressFixture ingress;
    ingress.view = makeView({ 1 }, 0, 0);
    ingress.router.setConfiguration(makeConfiguration({ 5 }), ingress.now);
    ingress.view.joined = false;
    ingress.updateView();
    CHECK(isNotRunReply(ingress.send(makeRequest(PhotoKind)), NotRunReason::NoTarget));
    ingress.view.joined = true;
    ingress.updateView();
    const RouteActions alone = ingress.send(makeRequest(PhotoKind, 2));
    REQUIRE(alone.size() == 1);
    CHECK(std::holds_alternative<DispatchLocally>(alone[0]));
    ingress.view = makeView({ 2 }, 0, 0);
    ingress.view.joined = false;
    ingress.updateView();
    const RouteActions known = ingress.send(makeRequest(PhotoKind, 3));
    REQUIRE(known.size() == 1);
    CHECK(std::get<ForwardToHost>(known[0]).host == hostAddress(0, 1));
}
