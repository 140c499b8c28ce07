// Simulates the callers and the network in front of the balancers: each datagram goes to a random daemon.
#include "scenario.h"

#include "base/eventloop.h"
#include "link/answerassembler.h"
#include "link/datagramsocket.h"
#include "poplarroad/visitor.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <iostream>

ABSL_FLAG(std::string, scenario, "", "INI file with a [run] section and one section per request kind");

namespace poplarroad::standins
{

namespace
{

constexpr Milliseconds TokenRenewalAge{ 2000 }; ///< older tokens are renewed before a non-idempotent request
constexpr Milliseconds RetryInterval{ 250 }; ///< time without an outcome before a request is sent again
constexpr Milliseconds ReportGrace{ 500 }; ///< time for the balancer to report an outcome after the deadline
constexpr Milliseconds FeedSilenceTimeout{ 1000 }; ///< a feed without answers for this long is resumed
constexpr int MaxSubmissions = 3; ///< per request; each uses a new sequence number

/** A request or feed without an outcome yet. */
struct PendingRequest
{
    std::size_t kind = 0;
    std::size_t flow = 0;
    std::uint64_t sequence = 0;
    TimePoint arrived;
    TimePoint deadline;
    std::string token; ///< token of the first attempt
    std::uint32_t attempt = 0; ///< next attempt with the current sequence
    int submissions = 1;
    bool renewing = false; ///< waits for a new token
};

/** A flow of one request kind, and its feed if the kind is a feed. */
struct Flow
{
    FlowId id;
    CallerId caller;
    std::string token;
    TimePoint tokenReceived;
    std::uint64_t nextSequence = 1;
    std::uint64_t position = 0; ///< feeds: last position received
    std::uint64_t activeSequence = 0; ///< feeds: sequence of the open feed, 0 for none
    TimePoint lastActivity; ///< feeds: last answer, or the request while there is none
    TimePoint lastPosition;
    bool hasGap = false; ///< feeds: a position was skipped
    std::vector<std::uint64_t> awaitingToken; ///< sequences that wait for a token
};

/** Offers the load of a scenario to the daemons and records the outcome of each request. */
class CallerSimulator
{
public:
    explicit CallerSimulator(Scenario scenario)
        : scenario_(std::move(scenario))
        , random_(scenario_.seed)
        , socket_(loop_, { 0x7f000001, 0 }, [this](const HostAddress &, std::string_view bytes) { onBytes(bytes); })
        , ledger_(scenario_.ledger)
        , tick_(loop_, [this] { onTick(); })
    {
        for (std::size_t kind = 0; kind < scenario_.kinds.size(); ++kind) {
            addFlows(kind);
            arrivals_.push_back(std::make_unique<LoopTimer>(loop_, [this, kind] { onArrival(kind); }));
        }
    }

    nlohmann::json run()
    {
        start_ = std::chrono::steady_clock::now();
        for (std::size_t kind = 0; kind < arrivals_.size(); ++kind) {
            nextArrival_.push_back(start_);
            arrivals_[kind]->armAfter(Microseconds(0));
        }
        tick_.armAfter(Microseconds(0));
        loop_.run();
        return report_.toJson(scenario_);
    }

private:
    using PendingKey = RequestId;

    void addFlows(std::size_t kind)
    {
        flows_.emplace_back();
        for (std::size_t i = 0; i < scenario_.kinds[kind].flows; ++i) {
            Flow flow;
            flow.id = FlowId{ random_() };
            flow.caller = CallerId{ (kind << 32U) + i % scenario_.kinds[kind].callers };
            flowIndex_[flow.id] = { kind, i };
            flows_.back().push_back(flow);
        }
    }

    TimePoint loadEnd() const
    {
        return start_ + scenario_.duration;
    }

    void onArrival(std::size_t kind)
    {
        const TimePoint now = std::chrono::steady_clock::now();
        const KindSettings &settings = scenario_.kinds[kind];
        if (now >= loadEnd() || settings.feed) {
            return;
        }
        // Catch up on arrivals that were due while the loop was busy, to hold the offered rate.
        while (nextArrival_[kind] <= now) {
            startRequest(kind, random_() % settings.flows, now);
            const double rate = settings.rateAt(std::chrono::duration_cast<Milliseconds>(now - start_));
            nextArrival_[kind] +=
                randomDuration(Distribution::Exponential, Microseconds(static_cast<std::int64_t>(1e6 / rate)), random_);
        }
        arrivals_[kind]->armAt(nextArrival_[kind]);
    }

    void startRequest(std::size_t kind, std::size_t index, TimePoint now)
    {
        PendingRequest pending;
        pending.kind = kind;
        pending.flow = index;
        pending.arrived = now;
        pending.deadline = now + scenario_.kinds[kind].deadline;
        ++report_.kind(kind).offered;
        submit(pending, now);
    }

    /** Assigns the next sequence of the flow, and sends the request or renews the token first. */
    void submit(PendingRequest pending, TimePoint now)
    {
        Flow &flow = flows_[pending.kind][pending.flow];
        pending.sequence = flow.nextSequence++;
        pending.renewing = !scenario_.kinds[pending.kind].idempotent && now - flow.tokenReceived > TokenRenewalAge;
        if (scenario_.kinds[pending.kind].feed) {
            flow.activeSequence = pending.sequence;
            flow.lastActivity = now;
        }
        const PendingKey key{ flow.id, pending.sequence };
        pendingRequests_[key] = pending;
        if (pending.renewing) {
            flow.awaitingToken.push_back(pending.sequence);
        }
        send(pendingRequests_[key], now);
        retries_.emplace(now + RetryInterval, key);
    }

    void send(PendingRequest &pending, TimePoint now)
    {
        const KindSettings &kind = scenario_.kinds[pending.kind];
        const Flow &flow = flows_[pending.kind][pending.flow];
        if (pending.renewing) {
            RenewMessage renew;
            renew.flow = flow.id;
            renew.service = kind.service;
            renew.caller = flow.caller;
            renew.remaining = std::chrono::ceil<Milliseconds>(pending.deadline - now);
            sendToRandomDaemon(renew, flow.token);
            return;
        }
        RequestMessage request;
        request.id = { flow.id, pending.sequence };
        request.service = kind.service;
        request.kind = kind.kind;
        request.caller = flow.caller;
        request.remaining = kind.feed ? kind.deadline : std::chrono::ceil<Milliseconds>(pending.deadline - now);
        // All attempts carry the same token: with a new token a second dispatcher could run the request again.
        if (pending.attempt == 0) {
            pending.token = flow.token;
        }
        request.attempt = pending.attempt++;
        request.resumeFrom = flow.position;
        request.trace = { flow.id.value, pending.sequence, 0 };
        request.payload = std::to_string(kind.answerBytes);
        sendToRandomDaemon(request, kind.idempotent ? flow.token : pending.token);
    }

    void sendToRandomDaemon(const CallerMessage &message, const std::string &token)
    {
        const HostAddress &daemon = scenario_.daemons[random_() % scenario_.daemons.size()];
        socket_.send(daemon, encodeCallerMessage(message, token));
    }

    void onBytes(std::string_view bytes)
    {
        std::optional<WireError> error;
        auto received = decodeCallerReply(bytes, error);
        if (!received) {
            ++report_.undecoded;
            return;
        }
        const TimePoint now = std::chrono::steady_clock::now();
        const auto complete = assembler_.add(std::move(*received), now);
        if (complete) {
            onReply(*complete, now);
        }
    }

    void onReply(const ReceivedReply &received, TimePoint now)
    {
        std::visit(Visitor{
                       [&](const RenewedMessage &renewed) { onRenewed(renewed.flow, received.token, now); },
                       [&](const AnswerMessage &answer) { onAnswer(answer, received.token, now); },
                       [&](const NotRunMessage &notRun) { onNotRun(notRun, received.token, now); },
                       [&](const UnknownMessage &unknown) { onUnknown(unknown, now); },
                   },
                   received.reply);
    }

    Flow *findFlow(FlowId id)
    {
        const auto found = flowIndex_.find(id);
        return found == flowIndex_.end() ? nullptr : &flows_[found->second.first][found->second.second];
    }

    void updateToken(Flow &flow, const std::string &token, TimePoint now)
    {
        if (!token.empty()) {
            flow.token = token;
            flow.tokenReceived = now;
        }
    }

    void onRenewed(FlowId id, const std::string &token, TimePoint now)
    {
        Flow *flow = findFlow(id);
        if (flow == nullptr) {
            ++report_.wrong;
            return;
        }
        updateToken(*flow, token, now);
        const std::vector<std::uint64_t> waitingSequences = std::exchange(flow->awaitingToken, {});
        for (const std::uint64_t sequence : waitingSequences) {
            const auto pending = pendingRequests_.find({ id, sequence });
            if (pending != pendingRequests_.end()) {
                pending->second.renewing = false;
                send(pending->second, now);
            }
        }
    }

    void onAnswer(const AnswerMessage &answer, const std::string &token, TimePoint now)
    {
        Flow *flow = findFlow(answer.id.flow);
        const bool empty = answer.payload.empty() && answer.last && answer.position != 0;
        const auto target =
            empty ? std::optional<std::string>("") : parseAnswerPayload(answer.payload, answer.id, answer.position);
        if (flow == nullptr || !target) {
            ++report_.wrong;
            ledger_.write("wrong", answer.id, answer.payload.substr(0, 60));
            return;
        }
        const auto pending = pendingRequests_.find(answer.id);
        if (pending == pendingRequests_.end()) {
            ++report_.repeated;
            return;
        }
        updateToken(*flow, token, now);
        if (!target->empty()) {
            ++report_.workByTarget[*target];
        }
        if (scenario_.kinds[pending->second.kind].feed) {
            onFeedAnswer(*flow, pending->second, answer, now);
            return;
        }
        finish(answer.id, "answered", "", now);
    }

    void onFeedAnswer(Flow &flow, const PendingRequest &pending, const AnswerMessage &answer, TimePoint now)
    {
        flow.lastActivity = now;
        KindReport &kind = report_.kind(pending.kind);
        if (!answer.payload.empty() && answer.position > flow.position) {
            ++kind.positions;
            kind.gaps += answer.position - flow.position - 1;
            flow.hasGap = flow.hasGap || answer.position > flow.position + 1;
            flow.position = answer.position;
            flow.lastPosition = now;
        }
        if (answer.last) {
            resumeFeed(flow, pending, now);
        }
    }

    /** Requests a feed again, from its last position and with a new sequence. */
    void resumeFeed(Flow &flow, const PendingRequest &stopped, TimePoint now)
    {
        const PendingRequest pending = stopped; // copied, since the reference may be to the entry erased below
        ++report_.kind(pending.kind).resumes;
        pendingRequests_.erase({ flow.id, pending.sequence });
        if (now < loadEnd()) {
            submit(pending, now);
        }
    }

    void onUnknown(const UnknownMessage &unknown, TimePoint now)
    {
        if (Flow *flow = findFlow(unknown.id.flow)) {
            flow->tokenReceived = TimePoint(); // forces a renewal by the current dispatcher before the next request
        }
        finish(unknown.id, "unknown", nameOf(unknown.reason), now);
    }

    void onNotRun(const NotRunMessage &notRun, const std::string &token, TimePoint now)
    {
        const auto found = pendingRequests_.find(notRun.id);
        Flow *flow = findFlow(notRun.id.flow);
        if (found == pendingRequests_.end() || flow == nullptr) {
            ++report_.repeated;
            return;
        }
        updateToken(*flow, token, now);
        PendingRequest pending = found->second;
        pending.attempt = 0;
        const bool retryable = notRun.reason == NotRunReason::TokenRequired || notRun.reason == NotRunReason::Moved
            || notRun.reason == NotRunReason::Draining;
        if (!retryable || pending.submissions >= MaxSubmissions || now >= pending.deadline) {
            finish(notRun.id, "notRun", nameOf(notRun.reason), now);
            return;
        }
        if (token.empty()) {
            flow->tokenReceived = TimePoint(); // forces a renewal
        }
        ledger_.write("again", notRun.id, nameOf(notRun.reason));
        pendingRequests_.erase(found);
        ++pending.submissions;
        submit(pending, now);
    }

    void finish(const RequestId &id, std::string_view outcome, std::string_view reason, TimePoint now)
    {
        const auto found = pendingRequests_.find(id);
        if (found == pendingRequests_.end()) {
            ++report_.repeated;
            return;
        }
        const PendingRequest pending = found->second;
        const std::string name =
            reason.empty() ? std::string(outcome) : std::string(outcome) + ':' + std::string(reason);
        report_.kind(pending.kind).add(name, std::chrono::duration_cast<Microseconds>(now - pending.arrived));
        ledger_.write(name, id, scenario_.kinds[pending.kind].name);
        pendingRequests_.erase(found);
        Flow &flow = flows_[pending.kind][pending.flow];
        if (flow.activeSequence == id.sequence) {
            flow.activeSequence = 0;
            flow.lastActivity = now;
        }
    }

    void onTick()
    {
        const TimePoint now = std::chrono::steady_clock::now();
        while (!retries_.empty() && retries_.begin()->first <= now) {
            const PendingKey key = retries_.begin()->second;
            retries_.erase(retries_.begin());
            retry(key, now);
        }
        maintainFeeds(now);
        assembler_.expire(now);
        if (now >= loadEnd() && !loadEnded_) {
            loadEnded_ = true;
            countBrokenFeeds(now);
        }
        if (now >= loadEnd() + scenario_.longestDeadline() + ReportGrace) {
            loop_.stop();
            return;
        }
        tick_.armAfter(Milliseconds(10));
    }

    void countBrokenFeeds(TimePoint now)
    {
        for (std::size_t kind = 0; kind < flows_.size(); ++kind) {
            for (const Flow &flow : flows_[kind]) {
                const bool silent = flow.position == 0 || now - flow.lastPosition > FeedSilenceTimeout;
                report_.kind(kind).broken += scenario_.kinds[kind].feed && (flow.hasGap || silent) ? 1 : 0;
            }
        }
    }

    void retry(const PendingKey &key, TimePoint now)
    {
        const auto found = pendingRequests_.find(key);
        if (found == pendingRequests_.end()) {
            return;
        }
        PendingRequest &pending = found->second;
        const bool feed = scenario_.kinds[pending.kind].feed;
        if (feed && flows_[pending.kind][pending.flow].lastActivity > pending.arrived + RetryInterval
            && pending.attempt > 0) {
            return; // the feed receives positions
        }
        if (now >= pending.deadline + ReportGrace) {
            finish(key, pending.renewing ? "notSent" : "unknown", "silence", now);
            return;
        }
        if (now < pending.deadline) {
            send(pending, now);
        }
        retries_.emplace(now + RetryInterval + Milliseconds(random_() % 50), key);
    }

    /** Starts feeds, and resumes those without recent answers. */
    void maintainFeeds(TimePoint now)
    {
        for (std::size_t kind = 0; kind < flows_.size(); ++kind) {
            for (std::size_t i = 0; scenario_.kinds[kind].feed && i < flows_[kind].size() && now < loadEnd(); ++i) {
                Flow &flow = flows_[kind][i];
                if (flow.activeSequence == 0 && now - flow.lastActivity > Milliseconds(100)) {
                    startRequest(kind, i, now);
                } else if (flow.activeSequence != 0 && now - flow.lastActivity > FeedSilenceTimeout) {
                    const auto pending = pendingRequests_.find({ flow.id, flow.activeSequence });
                    if (pending != pendingRequests_.end()) {
                        ++report_.kind(kind).silences;
                        resumeFeed(flow, pending->second, now);
                    }
                }
            }
        }
    }

    Scenario scenario_;
    std::mt19937_64 random_;
    EventLoop loop_;
    DatagramSocket socket_;
    Ledger ledger_;
    AnswerAssembler assembler_;
    Report report_;
    TimePoint start_;
    std::vector<std::vector<Flow>> flows_; ///< by kind
    absl::flat_hash_map<FlowId, std::pair<std::size_t, std::size_t>> flowIndex_; ///< kind and index in flows_
    absl::flat_hash_map<PendingKey, PendingRequest> pendingRequests_;
    std::multimap<TimePoint, PendingKey> retries_; ///< by the time of the next attempt
    std::vector<std::unique_ptr<LoopTimer>> arrivals_;
    std::vector<TimePoint> nextArrival_;
    LoopTimer tick_;
    bool loadEnded_ = false; ///< no new requests are started
};

} // namespace

} // namespace poplarroad::standins

int main(int argc, char **argv)
{
    using namespace poplarroad::standins;
    absl::ParseCommandLine(argc, argv);
    std::string error;
    auto scenario = readScenario(absl::GetFlag(FLAGS_scenario), error);
    if (!scenario) {
        std::cerr << error << '\n';
        return 2;
    }
    const std::string path = scenario->report;
    const nlohmann::json report = CallerSimulator(std::move(*scenario)).run();
    if (path.empty()) {
        std::cout << report.dump(2) << '\n';
    } else {
        std::ofstream(path) << report.dump(2) << '\n';
    }
    return 0;
}
