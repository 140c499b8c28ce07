#include "poplarroad/dispatcher.h"

namespace poplarroad
{

const HostRecord *dispatcherOf(const PoolId &pool, const FleetView &view)
{
    const HostRecord *best = nullptr;
    std::uint64_t bestWeight = 0;
    for (const HostRecord &host : view.hosts) {
        // A suspected host remains the dispatcher until it is declared dead, so that one lost probe moves no pool.
        // A host that has not joined its zone may know few of the others, so it does not select itself.
        if (!FleetView::acceptsNewWork(host) || (!view.joined && host.address == view.self)) {
            continue;
        }
        const std::uint64_t weight = rendezvousWeight(pool.key(), host.address.key());
        if (!best || weight > bestWeight || (weight == bestWeight && host.address < best->address)) {
            best = &host;
            bestWeight = weight;
        }
    }
    return best;
}

} // namespace poplarroad
