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

/** Time to discover peers that have the configuration, so that the store is read only if there is none. */
constexpr Milliseconds StoreReadDelay{ 1000 };
/** Upper bound of the random delay before a failed read or watch of the store is repeated. */
constexpr Milliseconds MaxRetryDelay{ 2000 };
/** Interval at which the hosts are read from the platform: 5 reads per second with 25 zones; it allows 2,000. */
constexpr Milliseconds HostListPeriod{ 5000 };

log4cxx::LoggerPtr logger()
{
    return log4cxx::Logger::getLogger("poplarroad.config");
}

/** @return whether this balancer watches the store for its zone: it has the highest rendezvous weight */
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
    Impl(HostAddress platform, HostAddress self, ZoneId zone, TaskSenders senders, std::uint64_t seed)
        : self_(self)
        , zone_(zone)
        , senders_(std::move(senders))
        , random_(seed)
        , mailbox_(loop_, [this](ConfigTaskMessage &&message) { handle(std::move(message)); })
        , client_(loop_, platform)
        , store_(client_)
        , sync_(replica_, {}, seed)
        , writer_(replica_, {}, seed + 1)
        , follower_(store_, replica_, followerCallbacks())
        , protocolTimer_(loop_, [this] { onProtocolTimer(); })
        , watchTimer_(loop_, [this] { startWatch(); })
        , hostListTimer_(loop_, [this] { readHostList(); })
    {
    }

    void start()
    {
        watchTimer_.armAfter(StoreReadDelay);
        hostListTimer_.armAfter(Microseconds(0));
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
    StoreFollower::Receivers followerCallbacks()
    {
        return { [this](const std::vector<ConfigChange> &changes) { applyStoredChanges(changes); },
                 [this](ConfigurationPtr configuration) {
                     ConfigSyncActions actions;
                     sync_.onStoredSnapshot(std::move(configuration), now(), actions);
                     execute(actions);
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
                           execute(actions);
                       },
                       [&](NewerRevisionSeen &seen) {
                           ConfigSyncActions actions;
                           sync_.onRevisionSeen(seen.peer, seen.revision, now(), actions);
                           execute(actions);
                       },
                       [&](OperatorChange &change) { onOperatorChange(std::move(change)); },
                       [&](ConfigStatusQuery &query) { query.reply(replica_.configuration(), client_.isReachable()); },
                       [&](StopTask &) { onStop(); },
                   },
                   message);
        armProtocolTimer();
    }

    void onView(std::shared_ptr<const FleetView> view)
    {
        view_ = std::move(view);
        sync_.setView(view_);
        if (!watching_ && isWatcher()) {
            watching_ = true;
            watchTimer_.armAfter(StoreReadDelay);
        }
    }

    void onOperatorChange(OperatorChange change)
    {
        ConfigWriterActions actions;
        operatorCallbacks_[++lastCallId_] = std::move(change.reply);
        writer_.submit(lastCallId_, std::move(change.request), now(), actions);
        execute(actions);
    }

    void onStop()
    {
        for (const auto &entry : operatorCallbacks_) {
            entry.second({ ChangeResult::Unknown, replica_.revision(), "the balancer is stopping" });
        }
        operatorCallbacks_.clear();
        loop_.stop();
    }

    void execute(const ConfigSyncActions &actions)
    {
        for (const ConfigSyncAction &action : actions) {
            std::visit(Visitor{
                           [&](const SendToPeer &send) {
                               senders_.toPeers(SendConfigMessage{ send.peer, send.message });
                           },
                           [&](const ConfigurationUpdated &updated) { publish(updated.configuration); },
                       },
                       action);
        }
    }

    void publish(const ConfigurationPtr &configuration)
    {
        LOG4CXX_INFO(logger(), "Applied configuration revision " << configuration->revision().value);
        if (replica_.skippedChanges() != loggedSkips_) {
            LOG4CXX_WARN(logger(),
                         replica_.skippedChanges() - loggedSkips_
                             << " invalid changes in the store were applied as empty changes");
            loggedSkips_ = replica_.skippedChanges();
        }
        senders_.toCallers(ConfigurationChanged{ configuration });
        senders_.toDispatch(ConfigurationChanged{ configuration });
        senders_.toPeers(ConfigurationChanged{ configuration });
    }

    void execute(const ConfigWriterActions &actions)
    {
        for (const ConfigWriterAction &action : actions) {
            std::visit(Visitor{
                           [&](const CreateChange &create) { createChange(create); },
                           [&](const ReadChange &read) { readChange(read); },
                           [&](const ReadFloor &read) { readFloor(read.operationId); },
                           [&](const ApplyStoredChanges &stored) { applyStoredChanges(stored.changes); },
                           [&](const LoadSnapshot &) { follower_.follow(nullptr); },
                           [&](const ReplyToOperator &reply) { replyTo(reply); },
                       },
                       action);
        }
        armProtocolTimer();
    }

    void createChange(const CreateChange &create)
    {
        store_.create(create.change, [this, operationId = create.operationId](CreateResult result) {
            ConfigWriterActions actions;
            writer_.onCreated(operationId, result, now(), actions);
            execute(actions);
        });
    }

    void readChange(const ReadChange &read)
    {
        store_.read(
            read.revision,
            [this, operationId = read.operationId](ReadResult result, const std::optional<ConfigChange> &change) {
                ConfigWriterActions actions;
                writer_.onRead(operationId, result, change, now(), actions);
                execute(actions);
            });
    }

    void readFloor(std::uint64_t operationId)
    {
        store_.readFloor([this, operationId](std::optional<Revision> floor) {
            ConfigWriterActions actions;
            writer_.onFloor(operationId, floor, now(), actions);
            execute(actions);
        });
    }

    void replyTo(const ReplyToOperator &reply)
    {
        const auto found = operatorCallbacks_.find(reply.call);
        if (found == operatorCallbacks_.end()) {
            return;
        }
        if (reply.outcome.result == ChangeResult::Accepted) {
            LOG4CXX_INFO(logger(), "Change accepted as revision " << reply.outcome.revision.value);
        }
        const std::function<void(ChangeOutcome)> callback = std::move(found->second);
        operatorCallbacks_.erase(found);
        callback(reply.outcome);
        const bool isSnapshotDue = reply.outcome.result == ChangeResult::Accepted
            && reply.outcome.revision == replica_.revision()
            && reply.outcome.revision.value % ConfigStore::SnapshotInterval == 0;
        if (isSnapshotDue) {
            store_.writeSnapshot(replica_.configuration());
        }
    }

    void applyStoredChanges(const std::vector<ConfigChange> &changes)
    {
        ConfigSyncActions actions;
        sync_.onStoredChanges(changes, now(), actions);
        execute(actions);
    }

    void onProtocolTimer()
    {
        ConfigSyncActions syncActions;
        sync_.onTimer(now(), syncActions);
        execute(syncActions);
        ConfigWriterActions writerActions;
        writer_.onTimer(now(), writerActions);
        execute(writerActions);
    }

    void armProtocolTimer()
    {
        protocolTimer_.armAt(std::min(sync_.nextTimer(), writer_.nextTimer()));
    }

    /** Logs only transitions. */
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
        return Milliseconds(std::uniform_int_distribution<Milliseconds::rep>(0, MaxRetryDelay.count())(random_));
    }

    /** Gets the version of the store before reading it, so that the watch misses no change made in between. */
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
            storeVersion_ = listed.version;
            follow();
        });
    }

    void follow()
    {
        if (sync_.isBehind() && replica_.revision() == Revision{}) {
            // A peer has a newer revision and sends the configuration; the store is read afterwards.
            watchTimer_.armAfter(StoreReadDelay);
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
        client_.watch(ConfigStore::ChangePrefix, storeVersion_, [this](const StoreListResult &result) {
            watching_ = isWatcher();
            if (!watching_) {
                return;
            }
            if (result.error) {
                logReachability(client_.isReachable());
                watchTimer_.armAfter(jitter());
                return;
            }
            logReachability(true);
            storeVersion_ = result.version;
            if (result.keys.empty()) {
                watch();
            } else {
                follow();
            }
        });
    }

    /** The store watcher of the zone polls the list; the other balancers need it only until they know a member. */
    void readHostList()
    {
        hostListTimer_.armAfter(HostListPeriod);
        if (!isWatcher() && view_ && view_->hosts.size() > 1) {
            return;
        }
        client_.readHosts([this](PlatformHostList list) {
            logReachability(!list.error);
            if (!list.error) {
                senders_.toPeers(PlatformHosts{ std::move(list.live), std::move(list.leaving) });
            }
        });
    }

    HostAddress self_;
    ZoneId zone_;
    TaskSenders senders_;
    std::mt19937_64 random_;
    EventLoop loop_;
    Mailbox<ConfigTaskMessage> mailbox_;
    PlatformClient client_;
    ConfigStore store_;
    ConfigReplica replica_;
    ConfigSync sync_;
    ConfigWriter writer_;
    StoreFollower follower_;
    LoopTimer protocolTimer_; ///< of sync_ and writer_
    LoopTimer watchTimer_;
    LoopTimer hostListTimer_;
    std::shared_ptr<const FleetView> view_;
    absl::flat_hash_map<std::uint64_t, std::function<void(ChangeOutcome)>> operatorCallbacks_;
    std::uint64_t lastCallId_ = 0;
    std::uint64_t loggedSkips_ = 0;
    std::optional<bool> platformReachable_; ///< as logged last
    StoreVersion storeVersion_ = 0; ///< all changes up to it were read
    bool watching_ = true; ///< a watch is open or its start is scheduled
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

ConfigTaskBuilder &ConfigTaskBuilder::senders(TaskSenders senders)
{
    senders_ = std::move(senders);
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
    // Messages to absent tasks are dropped, so that this task can run without the rest of the daemon.
    const auto dropIfUnset = [](auto &sender) {
        if (!sender) {
            sender = [](const auto &) {};
        }
    };
    dropIfUnset(senders_.toCallers);
    dropIfUnset(senders_.toDispatch);
    dropIfUnset(senders_.toPeers);
    return std::unique_ptr<ConfigTask>(
        new ConfigTask(std::make_unique<ConfigTask::Impl>(platform_, self_, zone_, senders_, seed_)));
}

} // namespace poplarroad
