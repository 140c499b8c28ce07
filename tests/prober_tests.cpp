#include "zone/prober.h"

#include <catch2/catch.hpp>

using namespace poplarroad;

namespace
{

/** A prober with three members, one of which is being probed. */
struct ProbedZone
{
    ProbedZone()
    {
        for (std::uint32_t host = 2; host <= 4; ++host) {
            members.merge({ addressOf(host), Incarnation{ host }, HostState::Alive }, now);
        }
        ProbeActions actions;
        prober.onTimer(now, actions);
        probe = std::get<SendProbe>(actions.at(0));
    }
    static HostAddress addressOf(std::uint32_t host)
    {
        return { host, 7000 };
    }
    /** Runs the prober for 2 s. @return whether the probed member was suspected */
    bool becomesSuspected()
    {
        ProbeActions actions;
        for (int i = 0; i < 40; ++i) {
            now += Milliseconds(50);
            prober.onTimer(now, actions);
        }
        for (const ProbeAction &action : actions) {
            const auto *suspect = std::get_if<SuspectMember>(&action);
            if (suspect != nullptr && suspect->address == probe.to) {
                return true;
            }
        }
        return false;
    }
    HostAddress other() const
    {
        return probe.to == addressOf(2) ? addressOf(3) : addressOf(2);
    }

    TimePoint now{ std::chrono::hours(1) };
    SeededRandom random{ 1 };
    MemberList members{ addressOf(1), random };
    Prober prober{ members, MembershipTiming{} };
    SendProbe probe;
};

} // namespace

TEST_CASE("an acknowledgement from a host that was neither probed nor asked to help does not end a probe")
{
    ProbedZone otherMember;
    otherMember.prober.onAck(otherMember.probe.sequence, otherMember.other());
    CHECK(otherMember.becomesSuspected());
    ProbedZone nonMember;
    nonMember.prober.onAck(nonMember.probe.sequence, ProbedZone::addressOf(99));
    CHECK(nonMember.becomesSuspected());
}

TEST_CASE("an acknowledgement from the probed host, or from a helper that was asked, ends the probe")
{
    ProbedZone direct;
    direct.prober.onAck(direct.probe.sequence, direct.probe.to);
    ProbeActions actions;
    direct.prober.onTimer(direct.now + Milliseconds(300), actions);
    for (const ProbeAction &action : actions) {
        const auto *again = std::get_if<SendProbe>(&action);
        CHECK((again == nullptr || again->sequence != direct.probe.sequence));
    }
    ProbedZone indirect;
    const Milliseconds step(20);
    std::optional<HostAddress> helper;
    while (!helper) {
        ProbeActions later;
        indirect.now += step;
        indirect.prober.onTimer(indirect.now, later);
        for (const ProbeAction &action : later) {
            const auto *ask = std::get_if<RequestIndirectProbe>(&action);
            if (ask != nullptr && ask->sequence == indirect.probe.sequence) {
                helper = ask->helper;
            }
        }
    }
    indirect.prober.onAck(indirect.probe.sequence, *helper);
    ProbeActions later;
    indirect.prober.onTimer(indirect.now + Milliseconds(500), later);
    for (const ProbeAction &action : later) {
        const auto *suspect = std::get_if<SuspectMember>(&action);
        CHECK((suspect == nullptr || suspect->address != indirect.probe.to));
    }
}

TEST_CASE("a helper relays an acknowledgement only from the host that it was asked to probe")
{
    ProbedZone zone;
    const HostAddress requester = ProbedZone::addressOf(2);
    const SendProbe relayed = zone.prober.relay(requester, 77, ProbedZone::addressOf(3), zone.now);
    CHECK_FALSE(zone.prober.onAck(relayed.sequence, ProbedZone::addressOf(4)));
    const auto answer = zone.prober.onAck(relayed.sequence, ProbedZone::addressOf(3));
    REQUIRE(answer);
    CHECK(answer->requester == requester);
    CHECK(answer->sequence == 77);
}
