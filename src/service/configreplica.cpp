#include "configreplica.h"

#include <algorithm>

namespace poplarroad
{

ConfigReplica::ConfigReplica()
    : configuration_(std::make_shared<const Configuration>())
{
}

std::vector<ConfigChange> ConfigReplica::apply(const std::vector<ConfigChange> &changes)
{
    std::vector<ConfigChange> applied;
    std::shared_ptr<Configuration> next;
    lastError_.reset();
    for (const ConfigChange &change : changes) {
        if (change.revision <= (next ? next->revision() : revision())) {
            continue;
        }
        if (!next) {
            next = std::make_shared<Configuration>(*configuration_);
        }
        if (!next->apply(change)) {
            if (!next->skip(change.revision)) {
                lastError_ = next->lastError();
                break;
            }
            ++skippedChanges_;
        }
        applied.push_back(change);
        appendToLog(change);
    }
    if (!applied.empty()) {
        configuration_ = std::move(next);
    }
    return applied;
}

void ConfigReplica::appendToLog(const ConfigChange &change)
{
    log_.push_back(change);
    if (log_.size() > MaxLoggedChanges) {
        log_.pop_front();
    }
}

bool ConfigReplica::replace(ConfigurationPtr configuration)
{
    if (!configuration || configuration->revision() <= revision()) {
        return false;
    }
    configuration_ = std::move(configuration);
    log_.clear();
    return true;
}

bool ConfigReplica::hasChangesSince(Revision after) const
{
    return after.value + log_.size() >= revision().value;
}

PeerConfigMessage ConfigReplica::answer(const ConfigRequest &request) const
{
    if (!hasChangesSince(request.after)) {
        return ConfigSnapshot{ configuration_ };
    }
    const std::uint64_t missing = revision().value - std::min(request.after, revision()).value;
    const auto first = log_.end() - static_cast<std::ptrdiff_t>(missing);
    const auto count = static_cast<std::ptrdiff_t>(std::min<std::uint64_t>(missing, MaxChangesPerAnswer));
    return ConfigChanges{ { first, first + count } };
}

const ConfigChange *ConfigReplica::findChange(std::string_view changeId) const
{
    const auto found =
        std::find_if(log_.begin(), log_.end(), [&](const ConfigChange &change) { return change.changeId == changeId; });
    return found == log_.end() ? nullptr : &*found;
}

} // namespace poplarroad
