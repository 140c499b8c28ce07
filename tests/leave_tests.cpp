#include "dispatchersimulation.h"
#include "host/leavetime.h"
#include "poplarroad/router.h"

#include <catch2/catch.hpp>

using namespace poplarroad;

namespace
{

const HostAddress Self{ 1, 1 };
constexpr std::uint64_t Endpoint = 7;

ConfigurationPtr configurationOf(Milliseconds slotDeadline, Milliseconds feedDeadline)
{
    Configuration declared = makeTestConfiguration(2);
    Service service = *declared.findService(TestPool.service);
    for (Contract &contract : service.contracts) {
        contract.deadline = contract.occupancy == Occupancy::Slot ? slotDeadline : feedDeadline;
    }
    CHECK(declared.apply(
        { Revision{ declared.revision().value + 1 }, declared.revision(), "id", PutService{ service } }));
    return std::make_shared<Configuration>(declared);
}

/** Router on the only host, with one feed in progress. */
struct FeedIngress
{
    FeedIngress()
    {
        router.setConfiguration(std::make_shared<Configuration>(makeTestConfiguration(2)), now);
        auto view = makeView(Self, 1, { Self });
        view->joined = true;
        router.setView(view, now);
        RouteActions sent;
        router.onCallerMessage(makeRequest(FeedKind, 5, 1), Endpoint, now, sent);
        REQUIRE(router.status().pending == 1);
    }
    RouteActions position(std::uint64_t position, bool last = false)
    {
        RouteActions actions;
        router.onReply(AnswerMessage{ { { 5 }, 1 }, TestPool.service, { 5 }, position, last, {}, {}, "x" },
                       { Self, Endpoint }, now, actions);
        return actions;
    }

    TimePoint now = TimePoint{} + std::chrono::seconds(1000);
    Router router{ 1 };
};

/** Checks that the feed is cancelled at its dispatcher. @return the answer to the caller */
AnswerMessage endOf(const RouteActions &actions)
{
    REQUIRE(actions.size() == 2);
    const auto &cancel = std::get<DispatchLocally>(actions[1]);
    CHECK(std::get<CancelMessage>(cancel.message).id == RequestId{ { 5 }, 1 });
    return std::get<AnswerMessage>(std::get<ReplyToLocalCaller>(actions[0]).reply);
}

} // namespace

TEST_CASE("a leaving balancer runs until the last request with one of its tokens has ended, at most for the limit, and "
          "ignores feeds")
{
    const auto configuration = configurationOf(Milliseconds(3000), Milliseconds(60000));
    CHECK(leaveTime(configuration, Milliseconds(30000)) == TokenRenewalAge + Milliseconds(3000));
    CHECK(leaveTime(configuration, Milliseconds(4000)) == Milliseconds(4000));
    CHECK(leaveTime(nullptr, Milliseconds(30000)) == TokenRenewalAge);
}

TEST_CASE("a leaving ingress ends its open feeds, which would keep it from stopping")
{
    FeedIngress ingress;
    ingress.position(1);
    RouteActions actions;
    ingress.router.endFeeds(actions);
    const AnswerMessage end = endOf(actions);
    CHECK(end.last);
    CHECK(end.position == 1);
    CHECK(end.payload.empty());
    CHECK(ingress.router.status().pending == 0);
}

TEST_CASE("a feed that reaches a leaving ingress ends with its first position and does not stay there")
{
    FeedIngress ingress;
    RouteActions actions;
    ingress.router.endFeeds(actions);
    CHECK(actions.empty());
    const AnswerMessage end = endOf(ingress.position(1));
    CHECK(end.last);
    CHECK(end.payload == "x");
    CHECK(ingress.router.status().pending == 0);
}

TEST_CASE("the end of a feed reaches the caller even if it repeats the last position")
{
    FeedIngress ingress;
    ingress.position(1);
    CHECK(ingress.position(1).empty());
    CHECK(ingress.position(1, true).size() == 1);
    CHECK(ingress.router.status().pending == 0);

    DispatchActions actions;
    Dispatcher dispatcher(TestPool, 1);
    dispatcher.setConfiguration(std::make_shared<Configuration>(makeTestConfiguration(1)), ingress.now, actions);
    dispatcher.setView(makeView(Self, 1, { Self }), ingress.now, actions);
    dispatcher.onCallerMessage(makeRequest(FeedKind, 5, 1), { Self, Endpoint }, ingress.now, actions);
    const TargetId target = std::get<RunAtTarget>(actions.back()).target;
    dispatcher.onTargetEvent(TargetResult{ target, { { 5 }, 1 }, 1, false, "x" }, ingress.now, actions);
    dispatcher.onTargetEvent(TargetResult{ target, { { 5 }, 1 }, 1, true, "" }, ingress.now, actions);
    CHECK(dispatcher.idle());
    CHECK(std::get<AnswerMessage>(std::get<ReplyToCaller>(actions.back()).reply).last);
}

TEST_CASE("the only dispatcher of a zone refuses new feeds while it leaves, since they would keep it from stopping")
{
    const TimePoint now = TimePoint{} + std::chrono::seconds(1000);
    DispatchActions actions;
    Dispatcher dispatcher(TestPool, 1);
    dispatcher.setConfiguration(std::make_shared<Configuration>(makeTestConfiguration(1)), now, actions);
    auto view = makeView(Self, 1, { Self });
    view->leaving = true;
    view->hosts[0].state = HostState::Leaving;
    dispatcher.setView(view, now, actions);
    dispatcher.onCallerMessage(makeRequest(FeedKind, 5, 1), { Self, Endpoint }, now, actions);
    CHECK(dispatcher.idle());
    CHECK(std::get<NotRunMessage>(std::get<ReplyToCaller>(actions.back()).reply).reason == NotRunReason::Draining);
}
