// Takes the place of the callers and of the fabric: each datagram goes to a daemon chosen at random.
#include "scenario.h"

#include "base/eventloop.h"
#include "link/answerassembler.h"
#include "link/datagramsocket.h"
#include "poplarroad/visitor.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <iostream>

ABSL_FLAG(std::string, scenario, "", "INI file with the section [run] and one section for each kind of work");

namespace poplarroad::standins
{

namespace
{

constexpr Milliseconds tokenAge{ 2000 }; ///< an older token is renewed before a non-idempotent request
constexpr Milliseconds retryAfter{ 250 };
constexpr Milliseconds grace{ 500 }; ///< for the balancer's own report after the deadline
constexpr Milliseconds feedSilence{ 1000 }; ///< after it the caller resumes a feed
constexpr int maxSends = 3; ///< numbers that one piece of work may use after certain refusals

/** One piece of work, from its arrival to its outcome. */
struct Work
{
    std::size_t kind = 0;
    std::size_t flow = 0;
    std::uint64_t sequence = 0;
    TimePoint arrived;
    TimePoint due; ///< deadline
    std::string token; ///< of the first attempt
    std::uint32_t attempt = 0;
    int sends = 1;
    bool renewing = false;
};

/** A flow of one kind. */
struct Flow
{
    FlowId id;
    CallerId caller;
    std::string token;
    TimePoint tokenAt;
    std::uint64_t nextSequence = 1;
    std::uint64_t position = 0; ///< feeds: the last one received
    std::uint64_t running = 0; ///< feeds: sequence in use, 0 for none
    TimePoint lastHeard; ///< feeds: of an answer, or of the request before it
    TimePoint lastPosition;
    bool gap = false; ///< feeds: a position never arrived
    std::vector<std::uint64_t> waiting; ///< sequences that wait for a token
};

class Callers
{
public:
    explicit Callers(Scenario scenario)
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
    using WorkKey = RequestId;

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

    TimePoint end() const
    {
        return start_ + scenario_.duration;
    }

    void onArrival(std::size_t kind)
    {
        const TimePoint now = std::chrono::steady_clock::now();
        const Kind &settings = scenario_.kinds[kind];
        if (now >= end() || settings.feed) {
            return;
        }
        // Arrivals that fell due while the loop was busy are made up for, so the offered rate holds.
        while (nextArrival_[kind] <= now) {
            begin(kind, random_() % settings.flows, now);
            const double rate = settings.rateAt(std::chrono::duration_cast<Milliseconds>(now - start_));
            nextArrival_[kind] +=
                drawTime(Distribution::Exponential, Microseconds(static_cast<std::int64_t>(1e6 / rate)), random_);
        }
        arrivals_[kind]->armAt(nextArrival_[kind]);
    }

    void begin(std::size_t kind, std::size_t index, TimePoint now)
    {
        Work work;
        work.kind = kind;
        work.flow = index;
        work.arrived = now;
        work.due = now + scenario_.kinds[kind].deadline;
        ++report_.kind(kind).offered;
        submit(work, now);
    }

    /** Gives the work the next number of its flow, and sends it or waits for a token. */
    void submit(Work work, TimePoint now)
    {
        Flow &flow = flows_[work.kind][work.flow];
        work.sequence = flow.nextSequence++;
        work.renewing = !scenario_.kinds[work.kind].idempotent && now - flow.tokenAt > tokenAge;
        if (scenario_.kinds[work.kind].feed) {
            flow.running = work.sequence;
            flow.lastHeard = now;
        }
        const WorkKey key{ flow.id, work.sequence };
        works_[key] = work;
        if (work.renewing) {
            flow.waiting.push_back(work.sequence);
        }
        send(works_[key], now);
        retries_.emplace(now + retryAfter, key);
    }

    void send(Work &work, TimePoint now)
    {
        const Kind &kind = scenario_.kinds[work.kind];
        const Flow &flow = flows_[work.kind][work.flow];
        if (work.renewing) {
            RenewMessage renew;
            renew.flow = flow.id;
            renew.service = kind.service;
            renew.caller = flow.caller;
            renew.remaining = std::chrono::ceil<Milliseconds>(work.due - now);
            spray(renew, flow.token);
            return;
        }
        RequestMessage request;
        request.id = { flow.id, work.sequence };
        request.service = kind.service;
        request.kind = kind.kind;
        request.caller = flow.caller;
        request.remaining = kind.feed ? kind.deadline : std::chrono::ceil<Milliseconds>(work.due - now);
        // All attempts carry one token: under another one a second dispatcher could run the request again.
        if (work.attempt == 0) {
            work.token = flow.token;
        }
        request.attempt = work.attempt++;
        request.resumeFrom = flow.position;
        request.trace = { flow.id.value, work.sequence, 0 };
        request.payload = std::to_string(kind.size);
        spray(request, kind.idempotent ? flow.token : work.token);
    }

    void spray(const CallerMessage &message, const std::string &token)
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
        const auto whole = assembler_.add(std::move(*received), now);
        if (whole) {
            onReply(*whole, now);
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

    void takeToken(Flow &flow, const std::string &token, TimePoint now)
    {
        if (!token.empty()) {
            flow.token = token;
            flow.tokenAt = now;
        }
    }

    void onRenewed(FlowId id, const std::string &token, TimePoint now)
    {
        Flow *flow = findFlow(id);
        if (flow == nullptr) {
            ++report_.wrong;
            return;
        }
        takeToken(*flow, token, now);
        const std::vector<std::uint64_t> waiting = std::exchange(flow->waiting, {});
        for (const std::uint64_t sequence : waiting) {
            const auto work = works_.find({ id, sequence });
            if (work != works_.end()) {
                work->second.renewing = false;
                send(work->second, now);
            }
        }
    }

    void onAnswer(const AnswerMessage &answer, const std::string &token, TimePoint now)
    {
        Flow *flow = findFlow(answer.id.flow);
        const bool empty = answer.payload.empty() && answer.last && answer.position != 0;
        const auto target =
            empty ? std::optional<std::string>("") : checkAnswer(answer.payload, answer.id, answer.position);
        if (flow == nullptr || !target) {
            ++report_.wrong;
            ledger_.write("wrong", answer.id, answer.payload.substr(0, 60));
            return;
        }
        const auto work = works_.find(answer.id);
        if (work == works_.end()) {
            ++report_.repeated;
            return;
        }
        takeToken(*flow, token, now);
        if (!target->empty()) {
            ++report_.workByTarget[*target];
        }
        if (scenario_.kinds[work->second.kind].feed) {
            onFeed(*flow, work->second, answer, now);
            return;
        }
        finish(answer.id, "answered", "", now);
    }

    void onFeed(Flow &flow, const Work &work, const AnswerMessage &answer, TimePoint now)
    {
        flow.lastHeard = now;
        KindReport &kind = report_.kind(work.kind);
        if (!answer.payload.empty() && answer.position > flow.position) {
            ++kind.positions;
            kind.gaps += answer.position - flow.position - 1;
            flow.gap = flow.gap || answer.position > flow.position + 1;
            flow.position = answer.position;
            flow.lastPosition = now;
        }
        if (answer.last) {
            resume(flow, work, now);
        }
    }

    /** Continues a feed after its last position under a new number. */
    void resume(Flow &flow, const Work &stopped, TimePoint now)
    {
        const Work work = stopped; // the original may be the entry that is erased
        ++report_.kind(work.kind).resumes;
        works_.erase({ flow.id, work.sequence });
        if (now < end()) {
            submit(work, now);
        }
    }

    void onUnknown(const UnknownMessage &unknown, TimePoint now)
    {
        if (Flow *flow = findFlow(unknown.id.flow)) {
            flow->tokenAt = TimePoint(); // the next request asks for a token of the present dispatcher
        }
        finish(unknown.id, "unknown", nameOf(unknown.reason), now);
    }

    void onNotRun(const NotRunMessage &notRun, const std::string &token, TimePoint now)
    {
        const auto found = works_.find(notRun.id);
        Flow *flow = findFlow(notRun.id.flow);
        if (found == works_.end() || flow == nullptr) {
            ++report_.repeated;
            return;
        }
        takeToken(*flow, token, now);
        Work work = found->second;
        work.attempt = 0;
        const bool again = notRun.reason == NotRunReason::TokenRequired || notRun.reason == NotRunReason::Moved
            || notRun.reason == NotRunReason::Draining;
        if (!again || work.sends >= maxSends || now >= work.due) {
            finish(notRun.id, "notRun", nameOf(notRun.reason), now);
            return;
        }
        if (token.empty()) {
            flow->tokenAt = TimePoint(); // too old for any use
        }
        ledger_.write("again", notRun.id, nameOf(notRun.reason));
        works_.erase(found);
        ++work.sends;
        submit(work, now);
    }

    void finish(const RequestId &id, std::string_view outcome, std::string_view reason, TimePoint now)
    {
        const auto found = works_.find(id);
        if (found == works_.end()) {
            ++report_.repeated;
            return;
        }
        const Work work = found->second;
        const std::string name =
            reason.empty() ? std::string(outcome) : std::string(outcome) + ':' + std::string(reason);
        report_.kind(work.kind).add(name, std::chrono::duration_cast<Microseconds>(now - work.arrived));
        ledger_.write(name, id, scenario_.kinds[work.kind].name);
        works_.erase(found);
        Flow &flow = flows_[work.kind][work.flow];
        if (flow.running == id.sequence) {
            flow.running = 0;
            flow.lastHeard = now;
        }
    }

    void onTick()
    {
        const TimePoint now = std::chrono::steady_clock::now();
        while (!retries_.empty() && retries_.begin()->first <= now) {
            const WorkKey key = retries_.begin()->second;
            retries_.erase(retries_.begin());
            retry(key, now);
        }
        keepFeeds(now);
        assembler_.expire(now);
        if (now >= end() && !ended_) {
            ended_ = true;
            countBrokenFeeds(now);
        }
        if (now >= end() + scenario_.longestDeadline() + grace) {
            loop_.stop();
            return;
        }
        tick_.armAfter(Milliseconds(10));
    }

    void countBrokenFeeds(TimePoint now)
    {
        for (std::size_t kind = 0; kind < flows_.size(); ++kind) {
            for (const Flow &flow : flows_[kind]) {
                const bool silent = flow.position == 0 || now - flow.lastPosition > feedSilence;
                report_.kind(kind).broken += scenario_.kinds[kind].feed && (flow.gap || silent) ? 1 : 0;
            }
        }
    }

    void retry(const WorkKey &key, TimePoint now)
    {
        const auto found = works_.find(key);
        if (found == works_.end()) {
            return;
        }
        Work &work = found->second;
        const bool feed = scenario_.kinds[work.kind].feed;
        if (feed && flows_[work.kind][work.flow].lastHeard > work.arrived + retryAfter && work.attempt > 0) {
            return; // positions arrive
        }
        if (now >= work.due + grace) {
            finish(key, work.renewing ? "notSent" : "unknown", "silence", now);
            return;
        }
        if (now < work.due) {
            send(work, now);
        }
        retries_.emplace(now + retryAfter + Milliseconds(random_() % 50), key);
    }

    /** Starts feeds, and resumes those that went silent. */
    void keepFeeds(TimePoint now)
    {
        for (std::size_t kind = 0; kind < flows_.size(); ++kind) {
            for (std::size_t i = 0; scenario_.kinds[kind].feed && i < flows_[kind].size() && now < end(); ++i) {
                Flow &flow = flows_[kind][i];
                if (flow.running == 0 && now - flow.lastHeard > Milliseconds(100)) {
                    begin(kind, i, now);
                } else if (flow.running != 0 && now - flow.lastHeard > feedSilence) {
                    const auto work = works_.find({ flow.id, flow.running });
                    if (work != works_.end()) {
                        ++report_.kind(kind).silences;
                        resume(flow, work->second, now);
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
    absl::flat_hash_map<FlowId, std::pair<std::size_t, std::size_t>> flowIndex_;
    absl::flat_hash_map<WorkKey, Work> works_;
    std::multimap<TimePoint, WorkKey> retries_;
    std::vector<std::unique_ptr<LoopTimer>> arrivals_;
    std::vector<TimePoint> nextArrival_;
    LoopTimer tick_;
    bool ended_ = false; ///< no work begins any more
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
    const nlohmann::json report = Callers(std::move(*scenario)).run();
    if (path.empty()) {
        std::cout << report.dump(2) << '\n';
    } else {
        std::ofstream(path) << report.dump(2) << '\n';
    }
    return 0;
}
