#include "configtask.h"

#include "mailbox.h"

#include "link/configstore.h"
#include "link/platformclient.h"
#include "link/storefollower.h"
#include "poplarroad/visitor.h"
#include "service/configsync.h"
#include "service/configwriter.h"

#include <absl/container/flat_hash_map.h>
#include <log4cxx/logger.h>

#include <algorithm>
#include <random>
#include <thread>

namespace poplarroad
{

namespace
{

/** Peers that have the configuration are known by then, and a daemon asks the store only if there is none. */
constexpr Milliseconds StoreDelay{ 1000 };
constexpr Milliseconds LongestRetry{ 2000 };
/** At 25 zones this is 5 reads a second of the platform's 2,000. */
constexpr Milliseconds HostsPeriod{ 5000 };

log4cxx::LoggerPtr logger()
{
    return log4cxx::Logger::getLogger("poplarroad.config");
}

/** @return whether this balancer is the one of its zone that watches the store: the first in rendezvous order */
bool isStoreWatcher(const FleetView *view, HostAddress self, ZoneId zone)
{
    const std::uint64_t own = rendezvousWeight(zone.value, self.key());
    return !view || std::none_of(view->hosts.begin(), view->hosts.end(), [&](const HostRecord &host) {
        return host.address != self && FleetView::acceptsNewWork(host)
            && rendezvousWeight(zone.value, host.address.key()) > own;
    });
}

} // namespace

class ConfigTask::Impl
{
public:
    Impl(HostAddress platform, HostAddress self, ZoneId zone, TaskSenders links, std::uint64_t seed)
        : self_(self)
        , zone_(zone)
        , links_(std::move(links))
        , random_(seed)
        , mailbox_(loop_, [this](ConfigTaskMessage &&message) { handle(std::move(message)); })
        , client_(loop_, platform)
        , store_(client_)
        , sync_(replica_, {}, seed)
        , writer_(replica_, {}, seed + 1)
        , follower_(store_, replica_, followerReceivers())
        , decisionTimer_(loop_, [this] { onDecisionTimer(); })
        , watchTimer_(loop_, [this] { startWatch(); })
        , hostsTimer_(loop_, [this] { readHosts(); })
    {
    }

    void start()
    {
        watchTimer_.armAfter(StoreDelay);
        hostsTimer_.armAfter(Microseconds(0));
        thread_ = std::thread([this] { loop_.run(); });
    }
    void post(ConfigTaskMessage message)
    {
        mailbox_.post(std::move(message));
    }
    void stop()
    {
        if (thread_.joinable()) {
            post(StopTask{});
            thread_.join();
        }
    }

private:
    StoreFollower::Receivers followerReceivers()
    {
        return { [this](const std::vector<ConfigChange> &changes) { takeStored(changes); },
                 [this](ConfigurationPtr configuration) {
                     ConfigSyncActions actions;
                     sync_.onStoredSnapshot(std::move(configuration), now(), actions);
                     perform(actions);
                 } };
    }

    static TimePoint now()
    {
        return std::chrono::steady_clock::now();
    }

    void handle(ConfigTaskMessage &&message)
    {
        std::visit(Visitor{
                       [&](FleetViewChanged &changed) { onView(std::move(changed.view)); },
                       [&](PeerConfigReceived &received) {
                           ConfigSyncActions actions;
                           sync_.onMessage(received.peer, received.message, now(), actions);
                           perform(actions);
                       },
                       [&](NewerRevisionSeen &seen) {
                           ConfigSyncActions actions;
                           sync_.onRevisionSeen(seen.peer, seen.revision, now(), actions);
                           perform(actions);
                       },
                       [&](OperatorChange &change) { onOperatorChange(std::move(change)); },
                       [&](ConfigStatusQuery &query) { query.reply(replica_.configuration(), client_.isReachable()); },
                       [&](StopTask &) { onStop(); },
                   },
                   message);
        armDecisions();
    }

    void onView(std::shared_ptr<const FleetView> view)
    {
        view_ = std::move(view);
        sync_.setView(view_);
        if (!watching_ && isWatcher()) {
            watching_ = true;
            watchTimer_.armAfter(StoreDelay);
        }
    }

    void onOperatorChange(OperatorChange change)
    {
        ConfigWriterActions actions;
        replies_[++lastCall_] = std::move(change.reply);
        writer_.submit(lastCall_, std::move(change.request), now(), actions);
        perform(actions);
    }

    void onStop()
    {
        for (const auto &entry : replies_) {
            entry.second({ ChangeResult::Unknown, replica_.revision(), "the balancer is stopping" });
        }
        replies_.clear();
        loop_.stop();
    }

    void perform(const ConfigSyncActions &actions)
    {
        for (const ConfigSyncAction &action : actions) {
            std::visit(Visitor{
                           [&](const SendToPeer &send) {
                               links_.toPeers(SendConfigMessage{ send.peer, send.message });
                           },
                           [&](const ConfigurationUpdated &inForce) { announce(inForce.configuration); },
                       },
                       action);
        }
    }

    void announce(const ConfigurationPtr &configuration)
    {
        LOG4CXX_INFO(logger(), "Revision " << configuration->revision().value << " is in force");
        if (replica_.skippedChanges() != skippedLogged_) {
            LOG4CXX_WARN(logger(),
                         replica_.skippedChanges() - skippedLogged_
                             << " invalid changes in the store were taken as empty");
            skippedLogged_ = replica_.skippedChanges();
        }
        links_.toCallers(ConfigurationChanged{ configuration });
        links_.toDispatch(ConfigurationChanged{ configuration });
        links_.toPeers(ConfigurationChanged{ configuration });
    }

    void perform(const ConfigWriterActions &actions)
    {
        for (const ConfigWriterAction &action : actions) {
            std::visit(Visitor{
                           [&](const CreateChange &create) { createChange(create); },
                           [&](const ReadChange &read) { readChange(read); },
                           [&](const ReadFloor &read) { readFloor(read.operationId); },
                           [&](const ApplyStoredChanges &stored) { takeStored(stored.changes); },
                           [&](const LoadSnapshot &) { follower_.follow(nullptr); },
                           [&](const ReplyToOperator &reply) { replyTo(reply); },
                       },
                       action);
        }
        armDecisions();
    }

    void createChange(const CreateChange &create)
    {
        store_.create(create.change, [this, operationId = create.operationId](CreateResult result) {
            ConfigWriterActions actions;
            writer_.onCreated(operationId, result, now(), actions);
            perform(actions);
        });
    }

    void readChange(const ReadChange &read)
    {
        store_.read(
            read.revision,
            [this, operationId = read.operationId](ReadResult result, const std::optional<ConfigChange> &change) {
                ConfigWriterActions actions;
                writer_.onRead(operationId, result, change, now(), actions);
                perform(actions);
            });
    }

    void readFloor(std::uint64_t operationId)
    {
        store_.readFloor([this, operationId](std::optional<Revision> floor) {
            ConfigWriterActions actions;
            writer_.onFloor(operationId, floor, now(), actions);
            perform(actions);
        });
    }

    void replyTo(const ReplyToOperator &reply)
    {
        const auto found = replies_.find(reply.call);
        if (found == replies_.end()) {
            return;
        }
        if (reply.outcome.result == ChangeResult::Accepted) {
            LOG4CXX_INFO(logger(), "Change accepted as revision " << reply.outcome.revision.value);
        }
        const std::function<void(ChangeOutcome)> callback = std::move(found->second);
        replies_.erase(found);
        callback(reply.outcome);
        const bool due = reply.outcome.result == ChangeResult::Accepted && reply.outcome.revision == replica_.revision()
            && reply.outcome.revision.value % ConfigStore::SnapshotInterval == 0;
        if (due) {
            store_.writeSnapshot(replica_.configuration());
        }
    }

    void takeStored(const std::vector<ConfigChange> &changes)
    {
        ConfigSyncActions actions;
        sync_.onStoredChanges(changes, now(), actions);
        perform(actions);
    }

    void onDecisionTimer()
    {
        ConfigSyncActions syncActions;
        sync_.onTimer(now(), syncActions);
        perform(syncActions);
        ConfigWriterActions writerActions;
        writer_.onTimer(now(), writerActions);
        perform(writerActions);
    }

    void armDecisions()
    {
        decisionTimer_.armAt(std::min(sync_.nextTimer(), writer_.nextTimer()));
    }

    /** Logs changes of the state only. */
    void logReachability(bool reachable)
    {
        if (reachable != platformReachable_) {
            LOG4CXX_INFO(logger(), "The platform is " << (reachable ? "reachable" : "not reachable"));
            platformReachable_ = reachable;
        }
    }

    bool isWatcher() const
    {
        return isStoreWatcher(view_.get(), self_, zone_);
    }

    Milliseconds jitter()
    {
        return Milliseconds(std::uniform_int_distribution<Milliseconds::rep>(0, LongestRetry.count())(random_));
    }

    /** Reads the version of the store first, so that no change between the reads and the watch is missed. */
    void startWatch()
    {
        watching_ = isWatcher();
        if (!watching_) {
            return;
        }
        client_.list(ConfigStore::ChangePrefix, [this](const StoreListResult &listed) {
            logReachability(client_.isReachable());
            if (listed.error) {
                watchTimer_.armAfter(jitter());
                return;
            }
            version_ = listed.version;
            follow();
        });
    }

    void follow()
    {
        if (sync_.isBehind() && replica_.revision() == Revision{}) {
            // A peer has the configuration; the store is read after it.
            watchTimer_.armAfter(StoreDelay);
            return;
        }
        follower_.follow([this](bool complete) {
            if (complete) {
                watch();
            } else {
                watchTimer_.armAfter(jitter());
            }
        });
    }

    void watch()
    {
        client_.watch(ConfigStore::ChangePrefix, version_, [this](const StoreListResult &news) {
            watching_ = isWatcher();
            if (!watching_) {
                return;
            }
            if (news.error) {
                logReachability(client_.isReachable());
                watchTimer_.armAfter(jitter());
                return;
            }
            logReachability(true);
            version_ = news.version;
            if (news.keys.empty()) {
                watch();
            } else {
                follow();
            }
        });
    }

    /** The watcher of the zone keeps the list up to date; the others need it only until they know a member. */
    void readHosts()
    {
        hostsTimer_.armAfter(HostsPeriod);
        if (!isWatcher() && view_ && view_->hosts.size() > 1) {
            return;
        }
        client_.readHosts([this](PlatformHostList list) {
            logReachability(!list.error);
            if (!list.error) {
                links_.toPeers(PlatformHosts{ std::move(list.live), std::move(list.leaving) });
            }
        });
    }

    HostAddress self_;
    ZoneId zone_;
    TaskSenders links_;
    std::mt19937_64 random_;
    EventLoop loop_;
    Mailbox<ConfigTaskMessage> mailbox_;
    PlatformClient client_;
    ConfigStore store_;
    ConfigReplica replica_;
    ConfigSync sync_;
    ConfigWriter writer_;
    StoreFollower follower_;
    LoopTimer decisionTimer_;
    LoopTimer watchTimer_;
    LoopTimer hostsTimer_;
    std::shared_ptr<const FleetView> view_;
    absl::flat_hash_map<std::uint64_t, std::function<void(ChangeOutcome)>> replies_;
    std::uint64_t lastCall_ = 0;
    std::uint64_t skippedLogged_ = 0;
    std::optional<bool> platformReachable_; ///< as last logged
    StoreVersion version_ = 0; ///< of the store, up to which all changes were read
    bool watching_ = true; ///< a watch, or the timer that starts one, is under way
    std::thread thread_;
};

ConfigTask::ConfigTask(std::unique_ptr<Impl> impl)
    : impl_(std::move(impl))
{
}

ConfigTask::~ConfigTask()
{
    stop();
}

void ConfigTask::start()
{
    impl_->start();
}

void ConfigTask::post(ConfigTaskMessage message)
{
    impl_->post(std::move(message));
}

void ConfigTask::stop()
{
    impl_->stop();
}

ConfigTaskBuilder &ConfigTaskBuilder::platform(HostAddress address)
{
    platform_ = address;
    return *this;
}

ConfigTaskBuilder &ConfigTaskBuilder::self(HostAddress self)
{
    self_ = self;
    return *this;
}

ConfigTaskBuilder &ConfigTaskBuilder::zone(ZoneId zone)
{
    zone_ = zone;
    return *this;
}

ConfigTaskBuilder &ConfigTaskBuilder::links(TaskSenders links)
{
    links_ = std::move(links);
    return *this;
}

ConfigTaskBuilder &ConfigTaskBuilder::seed(std::uint64_t seed)
{
    seed_ = seed;
    return *this;
}

std::unique_ptr<ConfigTask> ConfigTaskBuilder::build()
{
    if (platform_.port == 0) {
        lastError_ = ConfigTaskError::NoPlatform;
        return nullptr;
    }
    if (self_.port == 0) {
        lastError_ = ConfigTaskError::NoSelf;
        return nullptr;
    }
    // A task without a receiver drops what it would post, so that a part of the daemon can run alone.
    const auto orDrop = [](auto &link) {
        if (!link) {
            link = [](const auto &) {};
        }
    };
    orDrop(links_.toCallers);
    orDrop(links_.toDispatch);
    orDrop(links_.toPeers);
    return std::unique_ptr<ConfigTask>(
        new ConfigTask(std::make_unique<ConfigTask::Impl>(platform_, self_, zone_, links_, seed_)));
}

} // namespace poplarroad
