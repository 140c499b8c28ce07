#include "directoryfleet.h"

#include "poplarroad/visitor.h"

#include <algorithm>

namespace poplarroad::test
{

namespace
{

constexpr std::size_t PageSize = 50;
constexpr Milliseconds StoreDelay{ 4 };
/** Time after the end of a watch until a balancer takes its answer for lost. */
constexpr Milliseconds WatchTimeout = DirectoryTiming::WatchAnswerTimeout;
constexpr Microseconds InZoneDelay{ 200 };
constexpr Microseconds CrossZoneDelay{ 3400 };
constexpr Milliseconds JoinDelay{ 600 };
constexpr Milliseconds DeathDelay{ 2200 };
constexpr std::uint16_t StrongRank = 500;
constexpr std::uint16_t WeakRank = 38;
constexpr double BytesPerSecondAndRank = 5000.0;

} // namespace

DirectoryFleet::DirectoryFleet(FleetSize size, std::uint64_t seed)
    : size_(size)
    , random_(seed)
{
    for (std::size_t zone = 0; zone < size.zones; ++zone) {
        for (std::size_t i = 0; i < size.balancersPerZone; ++i) {
            Balancer balancer;
            balancer.zone = zone;
            balancer.record.address = { static_cast<std::uint32_t>(0x0a000000 + zone * 0x10000 + i + 1), 7000 };
            balancer.record.rank = i < size.strongPerZone ? StrongRank : WeakRank;
            balancers_.push_back(std::move(balancer));
        }
    }
    for (std::uint64_t id = 1; id <= size.targets; ++id) {
        putTarget(id);
    }
    putServices();
}

void DirectoryFleet::at(TimePoint time, std::function<void()> action)
{
    events_.push({ time, nextOrder_++, std::move(action) });
}

void DirectoryFleet::run(Milliseconds time)
{
    const TimePoint end = now_ + time;
    while (!events_.empty() && events_.top().at <= end) {
        const Event event = events_.top();
        events_.pop();
        now_ = std::max(now_, event.at);
        event.action();
    }
    now_ = end;
}

void DirectoryFleet::start(std::size_t index)
{
    Balancer &balancer = balancers_[index];
    DirectoryIdentity identity;
    identity.self = balancer.record.address;
    identity.zone = ZoneId{ static_cast<std::uint32_t>(balancer.zone) };
    identity.rank = balancer.record.rank;
    identity.contentBytesPerSecond = BytesPerSecondAndRank * balancer.record.rank;
    identity.evacuations = size_.evacuations;
    for (std::size_t seed = 0; seed < 3; ++seed) {
        identity.seeds.push_back(balancers_[seed * size_.balancersPerZone % count()].record.address);
    }
    ++balancer.process;
    balancer.startedAt = now_;
    balancer.readyAt.reset();
    balancer.published.clear();
    balancer.sync = std::make_unique<DirectorySync>(identity, random_.next(), now_);
    balancer.timer = TimePoint::max();
    balancer.evacuated.clear();
    balancer.sync->setView(viewOf(index));
    armTimer(index);
    updateViews(JoinDelay);
}

void DirectoryFleet::startAll()
{
    for (std::size_t index = 0; index < count(); ++index) {
        at(now_ + Milliseconds(random_.nextBelow(300)), [this, index] { start(index); });
    }
}

void DirectoryFleet::kill(std::size_t index)
{
    balancers_[index].sync.reset();
    std::erase_if(watches_, [&](const Watch &watch) { return watch.balancer == index; });
    updateViews(DeathDelay);
}

void DirectoryFleet::leave(std::size_t index)
{
    DirectoryActions actions;
    balancers_[index].sync->beginLeave(now_, actions);
    execute(index, std::move(actions));
}

std::size_t DirectoryFleet::indexOf(const HostAddress &address) const
{
    const std::size_t zone = (address.ip - 0x0a000000) / 0x10000;
    return zone * size_.balancersPerZone + (address.ip & 0xffffU) - 1;
}

std::shared_ptr<const FleetView> DirectoryFleet::viewOf(std::size_t index) const
{
    const Balancer &self = balancers_[index];
    auto view = std::make_shared<FleetView>();
    view->self = self.record.address;
    view->zone = ZoneId{ static_cast<std::uint32_t>(self.zone) };
    const bool joined = now_ >= self.startedAt + JoinDelay;
    view->joined = joined;
    std::map<std::size_t, ZoneSummary> zones;
    for (std::size_t other = 0; other < count(); ++other) {
        const Balancer &balancer = balancers_[other];
        if (!balancer.sync || (!joined && other != index)) {
            continue;
        }
        if (balancer.zone == self.zone) {
            view->hosts.push_back(balancer.record);
        } else {
            ZoneSummary &summary = zones[balancer.zone];
            summary.zone = ZoneId{ static_cast<std::uint32_t>(balancer.zone) };
            if (summary.gateways.size() < 2) {
                summary.gateways.push_back(balancer.record.address);
            }
        }
    }
    for (auto &[zone, summary] : zones) {
        view->otherZones.push_back(std::move(summary));
    }
    return view;
}

void DirectoryFleet::updateViews(Milliseconds delay)
{
    at(now_ + delay, [this] {
        for (std::size_t index = 0; index < count(); ++index) {
            if (isAlive(index)) {
                balancers_[index].sync->setView(viewOf(index));
                armTimer(index);
            }
        }
    });
}

void DirectoryFleet::armTimer(std::size_t index)
{
    Balancer &balancer = balancers_[index];
    const TimePoint due = std::max(balancer.sync->nextTimer(), now_);
    if (due >= balancer.timer || due == TimePoint::max()) {
        return;
    }
    balancer.timer = due;
    at(due, [this, index, due, process = balancer.process] {
        Balancer &current = balancers_[index];
        if (!current.sync || current.process != process || current.timer != due) {
            return;
        }
        current.timer = TimePoint::max();
        DirectoryActions actions;
        current.sync->onTimer(now_, actions);
        execute(index, std::move(actions));
    });
}

void DirectoryFleet::execute(std::size_t index, DirectoryActions &&actions)
{
    for (DirectoryAction &action : actions) {
        std::visit(Visitor{
                       [&](const CallStore &call) { callStore(index, call); },
                       [&](const SendFleetMessage &message) { send(index, message); },
                       [&](const DirectoryReady &) { balancers_[index].readyAt = now_; },
                       [&](const PublishTargets &published) {
                           for (const TargetChange &change : published.update.changes) {
                               balancers_[index].published[change.target.target.id] = change;
                               removals_ += change.listing == ListingState::Gone ? 1 : 0;
                           }
                       },
                       [&](const ListDiffers &) { ++differences_; },
                       [&](const PublishEvacuations &published) { record(index, published); },
                       [](const auto &) {},
                   },
                   action);
    }
    if (isAlive(index)) {
        armTimer(index);
    }
}

void DirectoryFleet::send(std::size_t from, const SendFleetMessage &message)
{
    const Balancer &sender = balancers_[from];
    for (const HostAddress &host : message.hosts) {
        const std::size_t to = indexOf(host);
        const bool crosses = balancers_[to].zone != sender.zone;
        if (crosses && isolated_ && (balancers_[to].zone == *isolated_ || sender.zone == *isolated_)) {
            continue;
        }
        at(now_ + (crosses ? CrossZoneDelay : InZoneDelay),
           [this, to, address = sender.record.address, zone = sender.zone, sent = message.message] {
               if (isAlive(to)) {
                   DirectoryActions actions;
                   balancers_[to].sync->onMessage(address, ZoneId{ static_cast<std::uint32_t>(zone) }, sent, now_,
                                                  actions);
                   execute(to, std::move(actions));
               }
           });
    }
}

bool DirectoryFleet::reachesStore(std::size_t index) const
{
    return storeUp_ && !refused_.contains(index) && balancers_[index].zone != isolated_;
}

void DirectoryFleet::callStore(std::size_t index, const CallStore &call)
{
    const std::uint64_t process = balancers_[index].process;
    const DirectoryPart part = call.part;
    const std::uint64_t number = call.due.number;
    if (!reachesStore(index)) {
        ++calls_.current;
        answer(index, process, part, number, { StoreError::Busy, {}, false, nullptr, {}, {} }, StoreDelay);
        return;
    }
    std::visit(Visitor{
                   [&](const ReadPart &read) {
                       const std::size_t pages =
                           part != DirectoryPart::Targets ? 1 : std::max<std::size_t>(1, targets_.size() / PageSize);
                       (read.freshness == ReadFreshness::Current ? calls_.current : calls_.stale) += pages;
                       answer(index, process, part, number, list(index, part, read.freshness),
                              StoreDelay * static_cast<std::int64_t>(pages));
                   },
                   [&](const WatchPart &watch) {
                       ++calls_.current;
                       const bool waits = watch.wait > Milliseconds(0);
                       if (waits && lostWatch_ && lostWatch_->balancer == index && lostWatch_->part == part) {
                           answer(index, process, part, number, { StoreError::AnswerLost, {}, false, nullptr, {}, {} },
                                  watch.wait + WatchTimeout);
                           const auto onLost = std::exchange(lostWatch_, std::nullopt)->onLost;
                           onLost();
                       } else if (watch.after < discardedUpTo_) {
                           answer(index, process, part, number, { StoreError::NotFound, {}, false, nullptr, {}, {} },
                                  StoreDelay);
                       } else if (hasChanges(part, watch.after) || watch.wait == Milliseconds(0)) {
                           answer(index, process, part, number, changes(part, watch.after), StoreDelay);
                       } else {
                           watches_.push_back({ index, process, part, number, watch.after, now_ + watch.wait });
                           at(now_ + watch.wait, [this] { notifyWatches(); });
                       }
                   },
               },
               call.due.call);
}

void DirectoryFleet::answer(std::size_t index, std::uint64_t process, DirectoryPart part, std::uint64_t number,
                            DirectoryResult result, Milliseconds delay)
{
    at(now_ + delay, [this, index, process, part, number, result = std::move(result)] {
        if (isAlive(index) && balancers_[index].process == process) {
            DirectoryActions actions;
            balancers_[index].sync->onStoreAnswer(part, number, result, now_, actions);
            execute(index, std::move(actions));
        }
    });
}

void DirectoryFleet::notifyWatches()
{
    std::vector<Watch> due;
    std::erase_if(watches_, [&](const Watch &watch) {
        const bool isDue = !reachesStore(watch.balancer) || hasChanges(watch.part, watch.after) || now_ >= watch.until;
        if (isDue) {
            due.push_back(watch);
        }
        return isDue;
    });
    for (const Watch &watch : due) {
        DirectoryResult result = changes(watch.part, watch.after);
        if (!reachesStore(watch.balancer)) {
            result = { StoreError::AnswerLost, {}, false, nullptr, {}, {} };
        } else if (watch.after < discardedUpTo_) {
            result = { StoreError::NotFound, {}, false, nullptr, {}, {} };
        }
        answer(watch.balancer, watch.process, watch.part, watch.number, std::move(result), Milliseconds(1));
    }
}

void DirectoryFleet::setStoreUp(bool up)
{
    storeUp_ = up;
    notifyWatches();
}

void DirectoryFleet::putTarget(std::uint64_t id, TargetState state)
{
    TargetChange change;
    change.revision = Revision{ ++revision_.value };
    change.target.target.id = TargetId{ id };
    const std::string digits = std::to_string(id);
    change.target.target.name = "t-" + std::string(8 - std::min<std::size_t>(digits.size(), 8), '0') + digits;
    change.target.target.state = state;
    targets_[change.target.target.id] = change;
    history_.push_back({ revision_, change, now_ });
    notifyWatches();
}

void DirectoryFleet::removeTarget(std::uint64_t id)
{
    TargetChange change = targets_.at(TargetId{ id });
    targets_.erase(TargetId{ id });
    change.listing = ListingState::Gone;
    ++revision_.value;
    history_.push_back({ revision_, change, now_ });
    notifyWatches();
}

void DirectoryFleet::putServices()
{
    servicesVersion_ = ++lastServicesVersion_;
    servicesRevision_ = Revision{ ++revision_.value };
    notifyWatches();
}

void DirectoryFleet::discardHistory()
{
    discardedUpTo_ = revision_;
    notifyWatches();
}

void DirectoryFleet::restoreCopy()
{
    const auto era = static_cast<StoreEra>(eraOf(revision_) + 1);
    const auto inEra = [era](Revision revision) { return revisionIn(era, numberOf(revision)); };
    targets_ = copy_.targets;
    history_ = copy_.history;
    for (auto &[id, change] : targets_) {
        change.revision = inEra(change.revision);
    }
    for (Change &change : history_) {
        change.revision = inEra(change.revision);
        change.target.revision = inEra(change.target.revision);
    }
    revision_ = inEra(copy_.revision);
    servicesRevision_ = inEra(copy_.servicesRevision);
    servicesVersion_ = copy_.servicesVersion;
    // The adapter answers a watch from a revision of another era like one from a discarded revision.
    discardedUpTo_ = revisionIn(era, 0);
    notifyWatches();
}

ListingState DirectoryFleet::listing(std::size_t balancer, std::uint64_t target) const
{
    const auto &published = balancers_[balancer].published;
    const auto known = published.find(TargetId{ target });
    return known == published.end() ? ListingState::Gone : known->second.listing;
}

bool DirectoryFleet::uses(std::size_t balancer, std::uint64_t target) const
{
    return listing(balancer, target) != ListingState::Gone
        && balancers_[balancer].published.at(TargetId{ target }).target.target.state == TargetState::Active;
}

DirectoryResult DirectoryFleet::list(std::size_t balancer, DirectoryPart part, ReadFreshness freshness)
{
    if (part == DirectoryPart::Services) {
        return changes(part, {});
    }
    if (part == DirectoryPart::Evacuations) {
        return evacuationList();
    }
    DirectoryResult result = listInPages(freshness);
    if (omission_ && omission_->first == balancer) {
        std::erase_if(result.targets,
                      [&](const TargetChange &listed) { return listed.target.target.id == omission_->second; });
        omission_.reset();
    }
    return result;
}

DirectoryFleet::PastList DirectoryFleet::listBefore(Milliseconds age) const
{
    PastList past{ revisionIn(eraOf(revision_), 100), {} };
    for (const Change &change : history_) {
        if (change.at > now_ - age) {
            break;
        }
        past.revision = change.revision;
        if (change.target.listing == ListingState::Gone) {
            past.targets.erase(change.target.target.target.id);
        } else {
            past.targets[change.target.target.target.id] = change.target;
        }
    }
    return past;
}

DirectoryResult DirectoryFleet::listInPages(ReadFreshness freshness)
{
    DirectoryResult result;
    result.complete = true;
    TargetId last;
    bool ended = false;
    while (!ended) {
        PastList copy{ revision_, targets_ };
        if (freshness == ReadFreshness::MayBeStale) {
            const auto extra =
                static_cast<std::int64_t>(static_cast<double>(pageStaleness_.count()) * random_.nextDouble());
            copy = listBefore(staleness_ + Milliseconds(extra));
        }
        auto entry = copy.targets.upper_bound(last);
        std::string lastName;
        for (std::size_t i = 0; i < PageSize && entry != copy.targets.end(); ++i, ++entry) {
            result.targets.push_back(entry->second);
            last = entry->first;
            lastName = entry->second.target.target.name;
        }
        ended = entry == copy.targets.end();
        result.revision = result.segments.empty() ? copy.revision : std::min(result.revision, copy.revision);
        result.segments.push_back({ lastName, copy.revision });
    }
    return result;
}

DirectoryResult DirectoryFleet::changes(DirectoryPart part, Revision after) const
{
    DirectoryResult result;
    result.revision = revision_;
    if (part == DirectoryPart::Services) {
        if (servicesRevision_ > after) {
            auto services = std::make_shared<ServiceMap>();
            services->version = servicesVersion_;
            result.services = services;
        }
        result.complete = after.value == 0;
        return result;
    }
    if (part == DirectoryPart::Evacuations) {
        return evacuationChanges(after);
    }
    for (const Change &change : history_) {
        if (change.revision > after) {
            result.targets.push_back(change.target);
        }
    }
    return result;
}

bool DirectoryFleet::hasChanges(DirectoryPart part, Revision after) const
{
    if (after < discardedUpTo_) {
        return true;
    }
    if (part == DirectoryPart::Evacuations) {
        return !zoneHistory_.empty() && zoneHistory_.back().revision > after;
    }
    return part == DirectoryPart::Services ? servicesRevision_ > after
                                           : !history_.empty() && history_.back().revision > after;
}

std::optional<Milliseconds> DirectoryFleet::readyAfter(std::size_t index) const
{
    const Balancer &balancer = balancers_[index];
    return balancer.readyAt
        ? std::optional(std::chrono::duration_cast<Milliseconds>(*balancer.readyAt - balancer.startedAt))
        : std::nullopt;
}

std::vector<std::size_t> DirectoryFleet::followers() const
{
    std::vector<std::size_t> result;
    for (std::size_t index = 0; index < count(); ++index) {
        if (isAlive(index) && sync(index).follows()) {
            result.push_back(index);
        }
    }
    return result;
}

bool DirectoryFleet::isCurrent(std::size_t index) const
{
    const DirectorySync &sync = this->sync(index);
    TargetReplica expected;
    TargetUpdate all;
    all.revision = revision_;
    all.complete = true;
    for (const auto &[id, change] : targets_) {
        all.changes.push_back(change);
    }
    expected.apply(all, now_);
    return sync.services() && sync.services()->version == servicesVersion_
        && sync.targets().digest() == expected.digest() && sync.targets().size() == targets_.size();
}

std::size_t DirectoryFleet::outdated() const
{
    std::size_t result = 0;
    for (std::size_t index = 0; index < count(); ++index) {
        result += isAlive(index) && !isCurrent(index) ? 1 : 0;
    }
    return result;
}

} // namespace poplarroad::test
