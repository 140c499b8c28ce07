#ifndef POPLARROAD_TOOLS_POPLARCTLOUTPUT_H
#define POPLARROAD_TOOLS_POPLARCTLOUTPUT_H

#include "operator.capnp.h"

#include <string>

namespace poplarroad::ctl
{

/** Prints the result of a change and its id, which is needed to retry the change. */
void print(rpc::ChangeOutcome::Reader outcome, const std::string &changeId, bool json);
void print(rpc::Configuration::Reader configuration, bool json);
void print(rpc::BalancerStatus::Reader status, bool json);
void print(rpc::ZoneStatus::Reader status, bool json);
void print(rpc::Operator::FleetStatusResults::Reader fleet, bool json);
void print(rpc::Explanation::Reader explanation, bool json);

} // namespace poplarroad::ctl

#endif
