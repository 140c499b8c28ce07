#ifndef POPLARROAD_SERVICE_H
#define POPLARROAD_SERVICE_H

#include "poplarroad/contract.h"
#include "poplarroad/id.h"

#include <string>
#include <vector>

namespace poplarroad
{

/** A service that callers address, with the contracts of its request kinds. */
struct Service
{
    ServiceId id;
    std::string name;
    std::vector<Contract> contracts;

    /** @return the contract of a kind, or nullptr if the service does not declare one */
    const Contract *findContract(KindId kind) const
    {
        for (const Contract &contract : contracts) {
            if (contract.kind == kind) {
                return &contract;
            }
        }
        return nullptr;
    }

    friend bool operator==(const Service &, const Service &) = default;
};

/** Identifies a pool: the targets of one service in one zone. */
struct PoolId
{
    ServiceId service;
    ZoneId zone;

    friend constexpr auto operator<=>(const PoolId &, const PoolId &) = default;

    template<typename Hash>
    friend Hash AbslHashValue(Hash state, const PoolId &pool)
    {
        return Hash::combine(std::move(state), pool.service, pool.zone);
    }

    /** @return service and zone packed into one number, for rendezvous hashing */
    std::uint64_t key() const
    {
        return (static_cast<std::uint64_t>(service.value) << 32U) | zone.value;
    }
};

} // namespace poplarroad

#endif
