#ifndef POPLARROAD_LINK_OPERATORWIRE_H
#define POPLARROAD_LINK_OPERATORWIRE_H

#include "operator.capnp.h"

#include "poplarroad/configsync.h"
#include "poplarroad/configuration.h"
#include "poplarroad/dispatcher.h"

#include <optional>
#include <string>

namespace poplarroad
{

/** Why an operator's edit was refused while it was decoded. */
enum class OperatorError : std::uint8_t {
    EmptyName,
    BadAddress,
    BadValue,
    UnknownEdit,
};

template<>
struct EnumNames<OperatorError>
{
    static constexpr std::array table{
        EnumName<OperatorError>{ OperatorError::EmptyName, "empty-name" },
        EnumName<OperatorError>{ OperatorError::BadAddress, "bad-address" },
        EnumName<OperatorError>{ OperatorError::BadValue, "bad-value" },
        EnumName<OperatorError>{ OperatorError::UnknownEdit, "unknown-edit" },
    };
};

/** Decodes and validates the edits of the operator RPC interface. */
class OperatorReader
{
public:
    /** @return the edit, or nothing when it is refused; lastError() and lastDetail() have the reason */
    std::optional<ConfigEdit> readEdit(rpc::Edit::Reader edit);
    std::optional<OperatorError> lastError() const
    {
        return lastError_;
    }
    /** @return a message that names the invalid field, its value and the accepted values */
    const std::string &lastDetail() const
    {
        return lastDetail_;
    }

private:
    std::optional<ConfigEdit> readZone(rpc::Zone::Reader zone);
    std::optional<ConfigEdit> readLink(rpc::Link::Reader link);
    std::optional<ConfigEdit> readService(rpc::Service::Reader service);
    std::optional<Contract> readContract(rpc::Contract::Reader contract);
    std::optional<ConfigEdit> readTarget(rpc::Target::Reader target);
    bool requireName(const char *field, std::string_view value);
    std::nullopt_t refuse(OperatorError error, std::string detail);

    std::optional<OperatorError> lastError_;
    std::string lastDetail_;
};

/** Writes a configuration; links and targets refer to zones and services by name. */
void writeConfiguration(const Configuration &configuration, rpc::Configuration::Builder builder);
/** Writes the result of a change. */
void writeOutcome(const ChangeOutcome &outcome, rpc::ChangeOutcome::Builder builder);
/** Writes the status of a pool; names are looked up in the configuration. */
void writePool(const PoolStatus &pool, const Configuration &configuration, rpc::PoolStatus::Builder builder);
/** @return the name of a zone, or "#" and its id when the configuration does not declare it */
std::string zoneName(const Configuration &configuration, ZoneId zone);

} // namespace poplarroad

#endif
