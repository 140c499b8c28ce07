#include "link/answerassembler.h"
#include "link/wire.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace poplarroad;

namespace
{

KeyRing testKeys()
{
    Key key;
    key.id = 7;
    key.bytes.fill(0x5a);
    return KeyRing({ key });
}

WireCodec testCodec()
{
    return WireCodec{ TokenCodec(testKeys()) };
}

FlowToken testToken()
{
    return { FlowId{ 11 },         ServiceId{ 2 },   ZoneId{ 3 },    TargetId{ 4 },
             { 0x7f000001, 7000 }, Incarnation{ 5 }, Milliseconds(6) };
}

RequestMessage testRequest()
{
    RequestMessage request;
    request.id = { FlowId{ 11 }, 12 };
    request.service = ServiceId{ 2 };
    request.kind = KindId{ 13 };
    request.caller = CallerId{ 14 };
    request.token = testToken();
    request.remaining = Milliseconds(250);
    request.attempt = 3;
    request.resumeFrom = 99;
    request.trace = { 1, 2, 3 };
    request.payload = std::string("bid\0 7", 6);
    return request;
}

AnswerMessage testAnswer(std::size_t size)
{
    AnswerMessage answer;
    answer.id = { FlowId{ 11 }, 12 };
    answer.service = ServiceId{ 2 };
    answer.caller = CallerId{ 14 };
    answer.token = testToken();
    for (std::size_t i = 0; i < size; ++i) {
        answer.payload += static_cast<char>(i * 31 % 251);
    }
    return answer;
}

std::vector<CallerMessage> allCallerMessages()
{
    const RequestId id{ FlowId{ 11 }, 12 };
    const FlowId flow{ 11 };
    return { testRequest(), CancelMessage{ id, ServiceId{ 2 }, CallerId{ 3 }, testToken(), false },
             RenewMessage{ flow, ServiceId{ 2 }, CallerId{ 3 }, std::nullopt, false, { 4, 5, 6 }, Milliseconds(700) },
             CloseMessage{ flow, ServiceId{ 2 }, CallerId{ 3 }, testToken(), false } };
}

std::vector<CallerReply> allReplies()
{
    const RequestId id{ FlowId{ 11 }, 12 };
    return { testAnswer(100),
             NotRunMessage{ id, ServiceId{ 2 }, CallerId{ 3 }, NotRunReason::Moved, Milliseconds(50), testToken() },
             UnknownMessage{ id, ServiceId{ 2 }, CallerId{ 3 }, UnknownReason::TargetLost },
             RenewedMessage{ FlowId{ 11 }, ServiceId{ 2 }, CallerId{ 3 }, testToken() } };
}

std::vector<PeerDatagram> allDatagrams()
{
    HostRecord host;
    host.address = { 0x7f000002, 7001 };
    host.incarnation = Incarnation{ 77 };
    host.state = HostState::Suspected;
    Ping ping;
    ping.sequence = 1;
    ping.revision = Revision{ 2 };
    ping.updates = { { host }, { host } };
    ping.join = true;
    Ack ack;
    ack.sequence = 3;
    ack.updates = { { host } };
    ZoneSummaryMessage summary;
    summary.summary.zone = ZoneId{ 8 };
    summary.summary.gateways = { { 1, 2 }, { 3, 4 } };
    summary.summary.liveHosts = 5;
    summary.summary.revision = Revision{ 6 };
    summary.summary.reachable = true;
    summary.wantsReply = true;
    return { ping, ack, PingRequest{ 4, { 9, 10 }, Revision{ 5 }, { { host } } }, summary };
}

/** Passes bytes to every decoder; none may throw, and each must either decode them or give a reason. */
void decodeWithEveryDecoder(std::string_view bytes)
{
    WireCodec codec = testCodec();
    std::optional<WireError> error;
    // An argument is evaluated before lastError() is read; the operands of a comparison have no evaluation order.
    const auto check = [&](bool decoded) { RC_ASSERT(decoded != codec.lastError().has_value()); };
    check(codec.decodeCallerMessage(bytes).has_value());
    check(codec.decodePeerDatagram(bytes).has_value());
    check(codec.decodePeerFrame(bytes).has_value());
    check(codec.decodeTargetEvent(bytes, TargetId{ 1 }).has_value());
    const bool reply = decodeCallerReply(bytes, error).has_value();
    RC_ASSERT(reply != error.has_value());
    const bool call = decodeTargetCall(bytes, error).has_value();
    RC_ASSERT(call != error.has_value());
}

std::vector<std::string> sampleMessages()
{
    const WireCodec codec = testCodec();
    std::vector<std::string> bytes;
    for (const CallerMessage &message : allCallerMessages()) {
        bytes.push_back(codec.encode(message));
        bytes.push_back(codec.encode(PeerFrame(ForwardedMessage{ { { 1, 2 }, 3 }, 1, message })));
    }
    for (const CallerReply &reply : allReplies()) {
        bytes.push_back(codec.encode(reply));
        bytes.push_back(codec.encode(PeerFrame(ForwardedReply{ { { 1, 2 }, 3 }, reply, PoolReport{} })));
    }
    for (const PeerDatagram &datagram : allDatagrams()) {
        bytes.push_back(encodePeerDatagram(datagram));
    }
    bytes.push_back(encodeTargetCall(RunAtTarget{ {}, Occupancy::Slot, testRequest() }));
    bytes.push_back(encodeTargetEvent(TargetResult{ {}, { FlowId{ 1 }, 2 }, 3, true, "x" }));
    return bytes;
}

} // namespace

TEST_CASE("a caller's message is decoded to what was encoded, both direct and forwarded")
{
    WireCodec codec = testCodec();
    for (const CallerMessage &message : allCallerMessages()) {
        CHECK(codec.decodeCallerMessage(codec.encode(message)) == message);
        const auto frame =
            codec.decodePeerFrame(codec.encode(PeerFrame(ForwardedMessage{ { { 1, 2 }, 3 }, 2, message })));
        REQUIRE(frame);
        const auto &forwarded = std::get<ForwardedMessage>(*frame);
        CHECK(forwarded.message == message);
        CHECK(forwarded.path == ReturnPath{ { 1, 2 }, 3 });
        CHECK(forwarded.hops == 2);
    }
}

TEST_CASE("a reply is decoded to what was encoded at the ingress, and to the same kind of reply at the caller")
{
    WireCodec codec = testCodec();
    const PoolReport report{ { ServiceId{ 1 }, ZoneId{ 2 } }, 1.5, Urgency::High, Milliseconds(40) };
    for (const CallerReply &reply : allReplies()) {
        const auto frame =
            codec.decodePeerFrame(codec.encode(PeerFrame(ForwardedReply{ { { 1, 2 }, 3 }, reply, report })));
        REQUIRE(frame);
        CHECK(std::get<ForwardedReply>(*frame).reply == reply);
        CHECK(std::get<ForwardedReply>(*frame).report == report);
        std::optional<WireError> error;
        const auto received = decodeCallerReply(codec.encode(reply), error);
        REQUIRE(received);
        CHECK(received->reply.index() == reply.index());
    }
}

TEST_CASE("a corrupted token is dropped and marked as rejected, so that it cannot influence routing")
{
    WireCodec codec = testCodec();
    std::string token = TokenCodec(testKeys()).encode(testToken());
    token[token.size() / 2] ^= 1;
    const auto message = codec.decodeCallerMessage(encodeCallerMessage(testRequest(), token));
    REQUIRE(message);
    CHECK(std::get<RequestMessage>(*message).tokenRejected);
    CHECK_FALSE(std::get<RequestMessage>(*message).token);
}

TEST_CASE("messages of targets and between balancers are decoded to what was encoded")
{
    WireCodec codec = testCodec();
    for (const PeerDatagram &datagram : allDatagrams()) {
        CHECK(codec.decodePeerDatagram(encodePeerDatagram(datagram)) == datagram);
    }
    std::optional<WireError> error;
    const auto call =
        decodeTargetCall(encodeTargetCall(RunAtTarget{ {}, Occupancy::Connection, testRequest() }), error);
    REQUIRE(call);
    RequestMessage withoutToken = testRequest();
    withoutToken.token.reset(); // a target gets no token
    CHECK(std::get<RunAtTarget>(*call).request == withoutToken);
    CHECK(std::get<RunAtTarget>(*call).occupancy == Occupancy::Connection);
    const auto event = codec.decodeTargetEvent(
        encodeTargetEvent(TargetRefused{ {}, { FlowId{ 1 }, 2 }, TargetRefusal::Draining }), TargetId{ 9 });
    REQUIRE(event);
    CHECK(std::get<TargetRefused>(*event).target == TargetId{ 9 });
    CHECK(std::get<TargetRefused>(*event).reason == TargetRefusal::Draining);
}

TEST_CASE("a long answer is reassembled from reordered and repeated parts mixed with those of another answer")
{
    const WireCodec codec = testCodec();
    const AnswerMessage answer = testAnswer(10000);
    AnswerMessage other = testAnswer(5000);
    other.id.sequence = 13;
    std::vector<std::string> datagrams = codec.encodeDatagrams(answer);
    const auto others = codec.encodeDatagrams(other);
    datagrams.insert(datagrams.end(), others.begin(), others.end() - 1);
    datagrams.insert(datagrams.end(), datagrams.begin(), datagrams.begin() + 3);
    std::reverse(datagrams.begin(), datagrams.end());
    AnswerAssembler assembler;
    std::vector<ReceivedReply> completed;
    for (const std::string &datagram : datagrams) {
        CHECK(datagram.size() <= MaxDatagram);
        std::optional<WireError> error;
        auto received = decodeCallerReply(datagram, error);
        REQUIRE(received);
        if (auto complete = assembler.add(std::move(*received), TimePoint())) {
            completed.push_back(std::move(*complete));
        }
    }
    REQUIRE(completed.size() == 1);
    CHECK(std::get<AnswerMessage>(completed.front().reply).payload == answer.payload);
    assembler.expire(TimePoint() + Milliseconds(20000));
    CHECK(assembler.size() == 0);
}

TEST_CASE("the number and size of incomplete answers are limited")
{
    const WireCodec codec = testCodec();
    AnswerAssembler assembler({ 4, 3000, Milliseconds(1000) });
    for (std::uint64_t i = 0; i < 100; ++i) {
        AnswerMessage answer = testAnswer(3000);
        answer.id.sequence = i;
        std::optional<WireError> error;
        CHECK_FALSE(assembler.add(*decodeCallerReply(codec.encodeDatagrams(answer).front(), error), TimePoint()));
    }
    CHECK(assembler.size() <= 4);
}

TEST_CASE("a message of another version, kind or length is refused with its reason")
{
    WireCodec codec = testCodec();
    std::string bytes = codec.encode(CallerMessage(testRequest()));
    CHECK_FALSE(codec.decodePeerDatagram(bytes));
    CHECK(codec.lastError() == WireError::UnexpectedKind);
    CHECK_FALSE(codec.decodeCallerMessage(bytes + std::string(8, '\0')));
    CHECK(codec.lastError() == WireError::TrailingBytes);
    CHECK_FALSE(codec.decodeCallerMessage(std::string(MaxFrame + 8, 'x')));
    CHECK(codec.lastError() == WireError::TooLong);
    bytes[16] = 9; // the version is the first field of the root
    CHECK_FALSE(codec.decodeCallerMessage(bytes));
    CHECK(codec.lastError() == WireError::UnknownVersion);
}

TEST_CASE("truncated, corrupted and random bytes give an error value and never an exception")
{
    const std::vector<std::string> messages = sampleMessages();
    CHECK(rc::check("truncated", [&] {
        const std::string &bytes = messages[*rc::gen::inRange<std::size_t>(0, messages.size())];
        decodeWithEveryDecoder(std::string_view(bytes).substr(0, *rc::gen::inRange<std::size_t>(0, bytes.size())));
    }));
    CHECK(rc::check("bit flips", [&] {
        std::string bytes = messages[*rc::gen::inRange<std::size_t>(0, messages.size())];
        for (int i = *rc::gen::inRange(1, 4); i > 0; --i) {
            bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] ^= static_cast<char>(1 << *rc::gen::inRange(0, 8));
        }
        decodeWithEveryDecoder(bytes);
    }));
    CHECK(rc::check("random",
                    [] { decodeWithEveryDecoder(*rc::gen::container<std::string>(rc::gen::arbitrary<char>())); }));
}
