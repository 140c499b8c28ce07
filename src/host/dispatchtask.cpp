#include "host/dispatchtask.h"

#include "incarnation.h"
#include "poplarroad/visitor.h"

#include <log4cxx/logger.h>

#include <algorithm>
#include <sstream>

namespace poplarroad
{

namespace
{

TimePoint now()
{
    return std::chrono::steady_clock::now();
}

std::string describe(const TargetStatus &status)
{
    std::ostringstream text;
    text << status.inProgress << " of at most " << status.limit << " requests in progress, " << status.connections
         << " connections, " << status.answered << " answered, latency " << status.latencyMs << " ms";
    if (status.ejected) {
        text << ", ejected";
    }
    if (status.draining) {
        text << ", draining";
    }
    return text.str();
}

} // namespace

DispatchTask::DispatchTask(const Settings &settings, const TaskSenders &senders, Tracer tracer, CounterSet &counters)
    : senders_(senders)
    , counters_(counters)
    , tracer_(std::move(tracer))
    , self_(settings.peers)
    , codec_(TokenCodec(KeyRing(settings.keys)))
    , targets_(loop_, codec_, settings.connectTimeout, counters,
               [this](const PoolId &pool, TargetEvent event) { onTargetEvent(pool, std::move(event)); })
    , seedGenerator_(std::random_device()())
    , pauseDetector_(loop_, MembershipTiming().suspicionTimeout, [this](Milliseconds length) { onPaused(length); })
    , mailbox_(loop_, [this](DispatchTaskMessage &&message) { handle(std::move(message)); })
{
}

void DispatchTask::start()
{
    pauseDetector_.start();
    thread_.start(loop_, "dispatch");
}

void DispatchTask::post(DispatchTaskMessage message)
{
    mailbox_.post(std::move(message));
}

void DispatchTask::join()
{
    thread_.join();
}

void DispatchTask::onPaused(Milliseconds length)
{
    LOG4CXX_WARN(log4cxx::Logger::getLogger("poplarroad.dispatch"),
                 "The event loop was blocked for " << length.count() << " ms; rejoining with a new incarnation");
    const Incarnation incarnation = drawIncarnation();
    for (auto &[id, pool] : pools_) {
        DispatchActions actions;
        pool->dispatcher.onPaused(incarnation, now(), actions);
        execute(id, *pool, actions);
    }
    senders_.toPeers(ProcessPaused{ incarnation });
}

void DispatchTask::handle(DispatchTaskMessage &&message)
{
    pauseDetector_.check();
    std::visit(Visitor{
                   [this](ConfigurationChanged &&changed) { setConfiguration(std::move(changed.configuration)); },
                   [this](FleetViewChanged &&changed) { setView(std::move(changed.view)); },
                   [this](DispatchLocally &&dispatch) { onDispatch(std::move(dispatch)); },
                   [this](TargetRemoved &&removed) { onTargetEvent(removed.pool, removed.lost); },
                   [this](DispatchStatusQuery &&query) { query.reply(status()); },
                   [this](ExplainFlowQuery &&query) { query.reply(explainFlow(query.flow)); },
                   [this](ExplainTargetQuery &&query) { query.reply(explainTarget(query.target)); },
                   [this](NotifyWhenIdle &&notify) {
                       idleCallback_ = std::move(notify.reply);
                       notifyIfIdle();
                   },
                   [this](StopTask &&) {
                       targets_.closeAll();
                       loop_.stop();
                   },
               },
               std::move(message));
}

void DispatchTask::setConfiguration(ConfigurationPtr configuration)
{
    configuration_ = std::move(configuration);
    for (auto &[id, pool] : pools_) {
        DispatchActions actions;
        pool->dispatcher.setConfiguration(configuration_, now(), actions);
        execute(id, *pool, actions);
    }
}

void DispatchTask::setView(std::shared_ptr<const FleetView> view)
{
    view_ = std::move(view);
    for (auto &[id, pool] : pools_) {
        DispatchActions actions;
        pool->dispatcher.setView(view_, now(), actions);
        execute(id, *pool, actions);
    }
}

void DispatchTask::onDispatch(DispatchLocally &&dispatch)
{
    Pool *pool = findOrCreatePool(dispatch.pool);
    if (pool == nullptr) {
        return;
    }
    if (auto *request = std::get_if<RequestMessage>(&dispatch.message)) {
        tracer_.begin(request->id, request->trace, "dispatch");
    }
    if (dispatch.hops >= MaxHops) {
        pool->dispatcher.takeOverPool(now());
    }
    DispatchActions actions;
    pool->dispatcher.onCallerMessage(std::move(dispatch.message), dispatch.path, now(), actions);
    execute(dispatch.pool, *pool, actions);
}

void DispatchTask::onTargetEvent(const PoolId &id, TargetEvent event)
{
    pauseDetector_.check();
    const auto found = pools_.find(id);
    if (found == pools_.end()) {
        return;
    }
    DispatchActions actions;
    found->second->dispatcher.onTargetEvent(std::move(event), now(), actions);
    execute(id, *found->second, actions);
}

DispatchTask::Pool *DispatchTask::findOrCreatePool(const PoolId &id)
{
    const auto found = pools_.find(id);
    if (found != pools_.end()) {
        return found->second.get();
    }
    if (!view_ || !configuration_ || id.zone != view_->zone || configuration_->findService(id.service) == nullptr) {
        return nullptr;
    }
    auto pool = std::unique_ptr<Pool>(new Pool{ Dispatcher(id, seedGenerator_()), LoopTimer(loop_, [this, id] {
                                                    Pool &duePool = *pools_.at(id);
                                                    DispatchActions actions;
                                                    duePool.dispatcher.onTimer(now(), actions);
                                                    execute(id, duePool, actions);
                                                }) });
    Pool &created = *(pools_[id] = std::move(pool));
    DispatchActions actions;
    created.dispatcher.setView(view_, now(), actions);
    created.dispatcher.setConfiguration(configuration_, now(), actions);
    execute(id, created, actions);
    return &created;
}

void DispatchTask::execute(const PoolId &id, Pool &pool, DispatchActions &actions)
{
    for (DispatchAction &action : actions) {
        execute(id, pool, std::move(action));
    }
    pool.timer.armAt(pool.dispatcher.nextTimer());
    notifyIfIdle();
}

void DispatchTask::execute(const PoolId &id, Pool &pool, DispatchAction &&action)
{
    std::visit(Visitor{
                   [&](RunAtTarget &&request) { run(id, std::move(request)); },
                   [&](CancelAtTarget &&cancel) { targets_.cancel(cancel); },
                   [&](ReplyToCaller &&toCaller) { reply(pool, std::move(toCaller)); },
                   [&](ForwardToDispatcher &&toDispatcher) { forward(std::move(toDispatcher)); },
               },
               std::move(action));
}

void DispatchTask::run(const PoolId &id, RunAtTarget &&run)
{
    const Target *target = configuration_ ? configuration_->findTarget(run.target) : nullptr;
    if (target != nullptr) {
        targets_.run(id, target->address, run);
        return;
    }
    // The target was removed since the dispatcher chose it; posting handles the event only after this call returns.
    mailbox_.post(TargetRemoved{ id, { run.target, run.request.id, false } });
}

void DispatchTask::reply(Pool &pool, ReplyToCaller &&reply)
{
    tracer_.end(requestIdOf(reply.reply), outcomeOf(reply.reply));
    const HostAddress ingress = reply.path.ingress;
    ForwardedReply forwarded{ reply.path, std::move(reply.reply), pool.dispatcher.report(now()) };
    if (ingress == self_) {
        senders_.toCallers(std::move(forwarded));
    } else {
        senders_.toPeers(SendForwardedReply{ ingress, std::move(forwarded) });
    }
}

void DispatchTask::forward(ForwardToDispatcher &&forward)
{
    if (const auto *request = std::get_if<RequestMessage>(&forward.message)) {
        tracer_.end(request->id, "forwarded");
    }
    // MaxHops makes the receiver dispatch the message even if its own view assigns the pool to this host.
    senders_.toPeers(SendForwardedMessage{ forward.host, { forward.path, MaxHops, std::move(forward.message) } });
}

void DispatchTask::notifyIfIdle()
{
    const auto idle = [](const auto &entry) { return entry.second->dispatcher.idle(); };
    if (idleCallback_ && std::all_of(pools_.begin(), pools_.end(), idle)) {
        std::exchange(idleCallback_, nullptr)();
    }
}

DispatchStatus DispatchTask::status() const
{
    DispatchStatus status;
    for (const auto &[id, pool] : pools_) {
        status.pools.push_back(pool->dispatcher.status(now()));
        status.idle = status.idle && pool->dispatcher.idle();
    }
    return status;
}

FlowExplanation DispatchTask::explainFlow(FlowId flow) const
{
    for (const auto &[id, pool] : pools_) {
        FlowExplanation explanation = pool->dispatcher.explain(flow);
        if (explanation.known) {
            return explanation;
        }
    }
    return { flow, false, {}, { "no pool of this balancer holds the flow" } };
}

std::vector<std::string> DispatchTask::explainTarget(TargetId id) const
{
    const Target *target = configuration_ ? configuration_->findTarget(id) : nullptr;
    if (target == nullptr) {
        return { "the target is not declared at this balancer's revision" };
    }
    std::vector<std::string> reasons{ "declared " + std::string(nameOf(target->state)) };
    const auto pool = pools_.find(PoolId{ target->service, target->zone });
    const auto explanation = pool != pools_.end() ? pool->second->dispatcher.explainTarget(id) : std::nullopt;
    if (!explanation) {
        reasons.emplace_back("this balancer does not dispatch the target's pool");
        return reasons;
    }
    reasons.push_back(describe(explanation->status));
    reasons.insert(reasons.end(), explanation->reasons.begin(), explanation->reasons.end());
    return reasons;
}

} // namespace poplarroad
