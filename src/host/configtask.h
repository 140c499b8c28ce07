#ifndef POPLARROAD_HOST_CONFIGTASK_H
#define POPLARROAD_HOST_CONFIGTASK_H

#include "taskmessages.h"

#include "poplarroad/enumnames.h"
#include "poplarroad/host.h"

#include <cstdint>
#include <memory>
#include <optional>

namespace poplarroad
{

/** Why a ConfigTask cannot be built. */
enum class ConfigTaskError : std::uint8_t {
    NoPlatform,
    NoSelf,
};

template<>
struct EnumNames<ConfigTaskError>
{
    static constexpr std::array table{
        EnumName<ConfigTaskError>{ ConfigTaskError::NoPlatform, "no-platform" },
        EnumName<ConfigTaskError>{ ConfigTaskError::NoSelf, "no-self" },
    };
};

/** Task that owns the configuration and the connection to the platform. */
class ConfigTask
{
public:
    ~ConfigTask();
    ConfigTask(const ConfigTask &) = delete;
    ConfigTask &operator=(const ConfigTask &) = delete;

    void start();
    /** Posts a message. Thread-safe. */
    void post(ConfigTaskMessage message);
    /** Stops the thread and joins it; operator calls in progress are answered with `unknown`. */
    void stop();

private:
    friend class ConfigTaskBuilder;
    class Impl;
    explicit ConfigTask(std::unique_ptr<Impl> impl);

    std::unique_ptr<Impl> impl_;
};

/** Builds a ConfigTask. */
class ConfigTaskBuilder
{
public:
    ConfigTaskBuilder &platform(HostAddress address);
    /** @param self address at which other balancers reach this one */
    ConfigTaskBuilder &self(HostAddress self);
    ConfigTaskBuilder &zone(ZoneId zone);
    /** @param senders post to the other tasks; messages to those that are empty are dropped */
    ConfigTaskBuilder &senders(TaskSenders senders);
    /** @param seed of the random retry delays and choice of peers */
    ConfigTaskBuilder &seed(std::uint64_t seed);
    /** @return the task, not started; nullptr on failure, see lastError() */
    std::unique_ptr<ConfigTask> build();
    std::optional<ConfigTaskError> lastError() const
    {
        return lastError_;
    }

private:
    HostAddress platform_;
    HostAddress self_;
    ZoneId zone_;
    TaskSenders senders_;
    std::uint64_t seed_ = 0;
    std::optional<ConfigTaskError> lastError_;
};

} // namespace poplarroad

#endif
