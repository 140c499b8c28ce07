#include "dispatchersimulation.h"

namespace poplarroad
{

DispatcherSimulation::DispatcherSimulation(std::uint64_t seed)
    : random_(seed)
{
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
        hosts_[i].address = { static_cast<std::uint32_t>(i + 1), 1 };
        hosts_[i].incarnation = nextIncarnation_++;
        hosts_[i].dispatcher = std::make_unique<Dispatcher>(TestPool, seed + i);
        DispatchActions actions;
        hosts_[i].dispatcher->setConfiguration(std::make_shared<Configuration>(configuration_), now_, actions);
        setRandomView(i);
    }
}

void DispatcherSimulation::step()
{
    const std::uint64_t draw = randomBelow(1000);
    if (draw < 250) {
        sendNewMessage();
    } else if (draw < 450) {
        repeatMessage();
    } else if (draw < 800) {
        sendTargetEvent();
    } else if (draw < 970) {
        advanceTime();
    } else if (draw < 978) {
        pauseHost();
    } else if (draw < 982) {
        restartHost();
    } else if (draw < 990) {
        toggleDraining();
    } else {
        setRandomView(randomBelow(2));
    }
}

void DispatcherSimulation::runUntilIdle()
{
    for (int i = 0; i < 5000; ++i) {
        sendTargetEvent();
        advanceTime();
    }
    for (int i = 0; i < 40 && !running_.empty(); ++i) {
        for (std::size_t left = running_.size(); left > 0 && !running_.empty(); --left) {
            const RunningRequest running = running_.front();
            endRun(0, TargetLost{ running.run.target, running.run.request.id, true });
        }
        now_ += std::chrono::seconds(2);
        advanceTime();
    }
    for (const Host &host : hosts_) {
        if (!host.dispatcher->idle()) {
            fail("not idle after everything ended", {});
        }
    }
}

void DispatcherSimulation::setRandomView(std::size_t host)
{
    // Each view may name either host as the dispatcher, so both hosts or neither may dispatch the pool.
    auto view = makeView(hosts_[host].address, hosts_[host].incarnation, { { 1, 1 }, { 2, 1 } });
    const std::uint64_t draw = randomBelow(4);
    if (draw < 2) {
        view->hosts[draw].state = HostState::Dead;
    }
    view->leaving = randomBelow(8) == 0;
    DispatchActions actions;
    hosts_[host].dispatcher->setView(view, now_, actions);
    applyActions(host, actions);
}

void DispatcherSimulation::sendNewMessage()
{
    const FlowId flow{ 1 + randomBelow(40) };
    const std::array kinds{ BidKind, BidKind, ListKind, FeedKind };
    const KindId kind = kinds[randomBelow(kinds.size())];
    if (randomBelow(10) == 0) {
        deliver(randomBelow(2), RenewMessage{ flow, TestPool.service, CallerId{ flow.value }, {}, false, {} });
        return;
    }
    RequestMessage request = makeRequest(kind, flow.value, ++sequences_[flow]);
    kinds_[request.id] = kind;
    if (tokens_.contains(flow) && randomBelow(8) != 0) {
        request.token = tokens_.at(flow);
    }
    sent_.emplace_back(request);
    deliver(randomBelow(2), request);
}

void DispatcherSimulation::repeatMessage()
{
    if (sent_.empty()) {
        return;
    }
    const std::size_t recent = std::min<std::size_t>(sent_.size(), 50);
    const std::size_t index = randomBelow(4) == 0 ? randomBelow(sent_.size()) : sent_.size() - 1 - randomBelow(recent);
    const auto request = std::get<RequestMessage>(sent_[index]);
    if (randomBelow(10) == 0) {
        deliver(randomBelow(2), CancelMessage{ request.id, request.service, request.caller, request.token, false });
    } else if (randomBelow(60) == 0) {
        deliver(randomBelow(2), CloseMessage{ request.id.flow, request.service, request.caller, request.token, false });
    } else {
        deliver(randomBelow(2), request);
    }
}

void DispatcherSimulation::deliver(std::size_t host, const CallerMessage &message)
{
    const FlowId flow = std::visit(
        [](const auto &any) {
            if constexpr (requires { any.id.flow; }) {
                return any.id.flow;
            } else {
                return any.flow;
            }
        },
        message);
    DispatchActions actions;
    hosts_[host].dispatcher->onCallerMessage(message, { hosts_[randomBelow(2)].address, flow.value }, now_, actions);
    applyActions(host, actions);
}

void DispatcherSimulation::sendTargetEvent()
{
    if (running_.empty()) {
        return;
    }
    const std::size_t index = randomBelow(running_.size());
    RunningRequest &running = running_[index];
    const TargetId target = running.run.target;
    const RequestId id = running.run.request.id;
    const std::uint64_t draw = randomBelow(20);
    if (draw < 2 && !running.executed) {
        endRun(index, TargetRefused{ target, id, draw == 0 ? TargetRefusal::Shed : TargetRefusal::Draining });
    } else if (draw == 2 && !running.executed) {
        endRun(index, TargetLost{ target, id, false });
    } else if (draw == 3) {
        if (randomBelow(2) == 0) {
            execute(running);
        }
        endRun(index, TargetLost{ target, id, true });
    } else if (draw < 6) {
        execute(running); // a later event ends the run
    } else {
        execute(running);
        const bool feed = running.run.occupancy == Occupancy::Connection;
        const bool last = !feed || randomBelow(6) == 0;
        const TargetResult result{ target, id, feed ? ++running.position : 0, last, std::to_string(id.sequence) };
        const std::size_t host = running.host;
        if (last) {
            endRun(index, result);
        } else {
            DispatchActions actions;
            hosts_[host].dispatcher->onTargetEvent(result, now_, actions);
            applyActions(host, actions);
        }
    }
}

void DispatcherSimulation::execute(RunningRequest &running)
{
    const RequestId id = running.run.request.id;
    if (running.executed) {
        return;
    }
    running.executed = true;
    lastRunByHost_[{ running.host, id }] = now_;
    const bool bid = kinds_.at(id) == BidKind;
    if (++runs_[id] > 1 && bid) {
        fail("ran twice", id);
    }
    if (bid && bidsNotRun_.contains(id)) {
        fail("ran after it was reported not run", id);
    }
}

void DispatcherSimulation::endRun(std::size_t index, const TargetEvent &event)
{
    const std::size_t host = running_[index].host;
    running_.erase(running_.begin() + static_cast<std::ptrdiff_t>(index));
    DispatchActions actions;
    hosts_[host].dispatcher->onTargetEvent(event, now_, actions);
    applyActions(host, actions);
}

void DispatcherSimulation::pauseHost()
{
    const std::size_t host = randomBelow(2);
    DispatchActions actions;
    hosts_[host].incarnation = nextIncarnation_++;
    // onPaused() and the view with the new incarnation may come in either order.
    const bool viewFirst = randomBelow(2) == 0;
    if (viewFirst) {
        setRandomView(host);
    }
    hosts_[host].dispatcher->onPaused(Incarnation{ hosts_[host].incarnation }, now_, actions);
    applyActions(host, actions);
    if (!viewFirst) {
        setRandomView(host);
    }
}

void DispatcherSimulation::restartHost()
{
    // A new process at the same address has no state; targets may still run requests of the old one.
    const std::size_t host = randomBelow(2);
    hosts_[host].incarnation = nextIncarnation_++;
    hosts_[host].dispatcher = std::make_unique<Dispatcher>(TestPool, random_());
    for (RunningRequest &running : running_) {
        if (running.host == host && randomBelow(2) == 0) {
            execute(running);
        }
    }
    std::erase_if(running_, [&](const RunningRequest &running) { return running.host == host; });
    std::erase_if(lastRunByHost_, [&](const auto &ran) { return ran.first.first == host; });
    DispatchActions actions;
    hosts_[host].dispatcher->setConfiguration(std::make_shared<Configuration>(configuration_), now_, actions);
    setRandomView(host);
}

void DispatcherSimulation::toggleDraining()
{
    const auto &ids = configuration_.targetsOf(TestPool);
    const TargetId target = ids[randomBelow(ids.size())];
    const TargetState state = randomBelow(2) == 0 ? TargetState::Draining : TargetState::Active;
    const Revision next{ configuration_.revision().value + 1 };
    configuration_.apply({ next, {}, std::to_string(next.value), SetTargetState{ target, state } });
    for (std::size_t host = 0; host < hosts_.size(); ++host) {
        DispatchActions actions;
        hosts_[host].dispatcher->setConfiguration(std::make_shared<Configuration>(configuration_), now_, actions);
        applyActions(host, actions);
    }
}

void DispatcherSimulation::advanceTime()
{
    // 130 s is longer than idle flows are kept, 11 s longer than completed requests are.
    const std::uint64_t draw = randomBelow(200);
    now_ += draw == 0 ? std::chrono::milliseconds(130000)
        : draw < 6    ? std::chrono::milliseconds(11000)
                      : std::chrono::milliseconds(randomBelow(30));
    for (std::size_t host = 0; host < hosts_.size(); ++host) {
        if (hosts_[host].dispatcher->nextTimer() <= now_) {
            DispatchActions actions;
            hosts_[host].dispatcher->onTimer(now_, actions);
            applyActions(host, actions);
        }
    }
}

void DispatcherSimulation::applyActions(std::size_t host, const DispatchActions &actions)
{
    for (const DispatchAction &action : actions) {
        if (const auto *run = std::get_if<RunAtTarget>(&action)) {
            running_.push_back({ host, *run, false, run->request.resumeFrom });
        } else if (const auto *cancel = std::get_if<CancelAtTarget>(&action);
                   cancel != nullptr && randomBelow(2) == 0) {
            std::erase_if(running_, [&](const RunningRequest &running) {
                return running.host == host && running.run.target == cancel->target
                    && running.run.request.id == cancel->id;
            });
        } else if (const auto *reply = std::get_if<ReplyToCaller>(&action)) {
            onReply(host, *reply);
        }
    }
}

void DispatcherSimulation::onReply(std::size_t host, const ReplyToCaller &reply)
{
    if (const auto *renewed = std::get_if<RenewedMessage>(&reply.reply)) {
        tokens_[renewed->flow] = renewed->token;
    } else if (const auto *answer = std::get_if<AnswerMessage>(&reply.reply)) {
        if (reply.path.endpoint != answer->id.flow.value || answer->caller.value != answer->id.flow.value) {
            fail("answer went to another caller", answer->id);
        }
        onAnswer(*answer);
    } else if (const auto *refusal = std::get_if<NotRunMessage>(&reply.reply)) {
        onNotRun(host, *refusal);
    }
}

void DispatcherSimulation::onAnswer(const AnswerMessage &answer)
{
    ++answered_;
    if (answer.payload != std::to_string(answer.id.sequence)) {
        fail("answer of another request", answer.id);
    }
    if (runs_[answer.id] == 0) {
        fail("answered without a run", answer.id);
    }
    if (answer.token) {
        tokens_[answer.id.flow] = *answer.token;
    }
}

void DispatcherSimulation::onNotRun(std::size_t host, const NotRunMessage &refusal)
{
    if (refusal.token) {
        tokens_[refusal.id.flow] = *refusal.token;
    }
    if (kinds_.at(refusal.id) == BidKind) {
        bidsNotRun_.insert(refusal.id);
        if (runs_[refusal.id] > 0) {
            fail("reported not run after a run", refusal.id);
        }
        return;
    }
    // An idempotent request needs no token, so only the host that ran it knows of the run: for as long as it keeps an
    // idle flow.
    const auto ran = lastRunByHost_.find({ host, refusal.id });
    if (ran != lastRunByHost_.end() && now_ - ran->second < std::chrono::seconds(120)) {
        fail("idempotent request reported not run by the host that ran it", refusal.id);
    }
}

void DispatcherSimulation::fail(const std::string &what, const RequestId &id)
{
    if (violation_.empty()) {
        violation_ = what + ": flow " + std::to_string(id.flow.value) + " sequence " + std::to_string(id.sequence);
    }
}

} // namespace poplarroad
