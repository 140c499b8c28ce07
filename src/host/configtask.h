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

/** The task that owns the configuration and the connection to the platform. */
class ConfigTask
{
public:
    ~ConfigTask();
    ConfigTask(const ConfigTask &) = delete;
    ConfigTask &operator=(const ConfigTask &) = delete;

    /** Starts the thread. */
    void start();
    /** Posts a message. Callable from any thread. */
    void post(ConfigTaskMessage message);
    /** Ends the thread and waits for it; operator calls in progress get `unknown`. */
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
    /** @param self address at which peers reach this balancer */
    ConfigTaskBuilder &self(HostAddress self);
    ConfigTaskBuilder &zone(ZoneId zone);
    ConfigTaskBuilder &senders(TaskSenders senders);
    /** @param seed for jitter and the choice of peers */
    ConfigTaskBuilder &seed(std::uint64_t seed);
    /** @return the task, not started, or nullptr; lastError() tells why */
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
