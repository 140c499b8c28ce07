#include "host/directorytask.h"

#include "poplarroad/visitor.h"

#include <log4cxx/logger.h>

#include <algorithm>
#include <random>

namespace poplarroad
{

namespace
{

/** Longer than a late timer on a small machine; what the store said before is old then. */
constexpr Milliseconds pauseLimit{ 700 };

TimePoint now()
{
    return std::chrono::steady_clock::now();
}

log4cxx::LoggerPtr logger()
{
    static const log4cxx::LoggerPtr result = log4cxx::Logger::getLogger("poplarroad.directory");
    return result;
}

} // namespace

DirectoryTask::DirectoryTask(const SourceFactory &makeSource, Receivers receivers, CounterSet &counters)
    : receivers_(std::move(receivers))
    , counters_(counters)
    , source_(makeSource(loop_))
    , feeds_{ DirectoryFeed(std::random_device()()), DirectoryFeed(std::random_device()()) }
    , timer_(loop_, [this] { advance(); })
    , pauses_(loop_, pauseLimit, [this](Milliseconds) { onPaused(); })
    , mailbox_(loop_, [this](DirectoryTaskMessage &&message) { handle(std::move(message)); })
{
}

void DirectoryTask::start()
{
    timer_.armAt(now());
    pauses_.start();
    thread_.start(loop_, "directory");
}

void DirectoryTask::post(DirectoryTaskMessage message)
{
    mailbox_.post(std::move(message));
}

void DirectoryTask::join()
{
    thread_.join();
}

void DirectoryTask::handle(DirectoryTaskMessage &&message)
{
    std::visit(Visitor{
                   [&](const StopTask &) { loop_.stop(); },
               },
               message);
}

void DirectoryTask::advance()
{
    const TimePoint time = now();
    TimePoint next = targets_.nextTimer();
    publish(targets_.onTimer(time));
    for (const auto &[part, name] : EnumNames<DirectoryPart>::table) {
        if (const auto due = feed(part).next(time)) {
            call(part, *due);
        }
        next = std::min(next, feed(part).nextTimer());
    }
    timer_.armAt(next);
}

void DirectoryTask::call(DirectoryPart part, const DirectoryFeed::Due &due)
{
    counters_.add(Counter::StoreCalls);
    const auto callback = [this, part, number = due.number](DirectoryAnswer answer) {
        onAnswer(part, number, std::move(answer));
    };
    std::visit(Visitor{
                   [&](const ReadPart &read) { source_->read(part, read.consistency, callback); },
                   [&](const WatchPart &watch) { source_->watch(part, watch.after, watch.wait, callback); },
               },
               due.call);
}

void DirectoryTask::onAnswer(DirectoryPart part, std::uint64_t number, DirectoryAnswer answer)
{
    if (answer.error) {
        counters_.add(Counter::StoreFailures);
        LOG4CXX_WARN(logger(), "store-call part=" << nameOf(part) << " outcome=" << nameOf(*answer.error));
    }
    if (feed(part).onAnswer(number, answer, now())) {
        if (answer.services) {
            takeServices(answer.services);
        }
        if (part == DirectoryPart::Targets) {
            takeTargets({ answer.revision, answer.complete, std::move(answer.targets) });
        }
    }
    advance();
}

void DirectoryTask::takeServices(const ServiceMapPtr &services)
{
    // Versions never go back within one life of the process.
    if (services_ && services->version <= services_->version) {
        return;
    }
    services_ = services;
    LOG4CXX_INFO(logger(), "services version=" << services->version << " routes=" << services->routes.size());
    receivers_.toPackets(ServicesInForce{ services });
    checkReady();
}

void DirectoryTask::takeTargets(const TargetUpdate &update)
{
    publish(targets_.apply(update, now()));
    checkReady();
}

void DirectoryTask::checkReady()
{
    if (!ready_ && services_ && targets_.revision().value != 0) {
        ready_ = true;
        LOG4CXX_INFO(logger(), "ready targets=" << targets_.size());
        receivers_.ready();
    }
}

void DirectoryTask::publish(const TargetUpdate &news)
{
    if (news.changes.empty() && !news.complete) {
        return;
    }
    for (const TargetChange &change : news.changes) {
        LOG4CXX_INFO(logger(),
                     "target id=" << std::hex << change.target.target.id.value << std::dec << " listing="
                                  << nameOf(change.listing) << " state=" << nameOf(change.target.target.state)
                                  << " revision=" << change.revision.value);
    }
    receivers_.toPackets(news);
}

void DirectoryTask::onPaused()
{
    LOG4CXX_WARN(logger(), "paused; reading the directory again");
    for (DirectoryFeed &each : feeds_) {
        each.restart(now());
    }
    advance();
}

} // namespace poplarroad
