#ifndef POPLARROAD_CONTRACT_PRESSUREESTIMATE_H
#define POPLARROAD_CONTRACT_PRESSUREESTIMATE_H

#include "poplarroad/clock.h"
#include "poplarroad/enumnames.h"

#include <cstdint>

namespace poplarroad
{

/** Whether the targets of a service in the zone have room for all of its requests. */
enum class Pressure : std::uint8_t {
    None,
    High, ///< routes with less value per work are partly refused
};

template<>
struct EnumNames<Pressure>
{
    static constexpr std::array table{
        EnumName<Pressure>{ Pressure::None, "none" },
        EnumName<Pressure>{ Pressure::High, "high" },
    };
};

/** Smooths the load of a service's targets and decides with hysteresis whether there is pressure. */
class PressureEstimate
{
public:
    /** Requests per slot, running and waiting, that a target holds; it sheds what comes beyond that. */
    static constexpr double RoomPerSlot = 5.0;

    /**
     * @param jitter in [0, 1), different on each balancer; it shifts the bounds by up to a tenth, so that balancers which
     * see the same load do not change their state together
     */
    explicit PressureEstimate(double jitter);
    /**
     * Records the load that a new flow meets.
     *
     * @param requestsPerSlot mean over the targets of the service in the zone, running and waiting
     * @return whether state() changed
     */
    bool update(double requestsPerSlot, TimePoint now);
    Pressure state() const
    {
        return state_;
    }
    /** @return smoothed mean of the requests per slot */
    double requestsPerSlot() const
    {
        return smoothed_;
    }
    /** @return 0 at the lower bound of pressure, 1 at the upper one; not limited to that range */
    double level() const;

private:
    double factor_; ///< of the bounds, from the jitter
    double smoothed_ = 0.0;
    TimePoint updatedAt_;
    Pressure state_ = Pressure::None;
};

} // namespace poplarroad

#endif
