#ifndef POPLARROAD_SERVICE_LISTCOVERAGE_H
#define POPLARROAD_SERVICE_LISTCOVERAGE_H

#include "poplarroad/directory.h"

#include <string_view>
#include <vector>

namespace poplarroad
{

/**
 * Up to which revision a list shows the changes of an entry, by its name.
 *
 * The segments of a list can be of different age. The list as a whole has the revision of the oldest one, and the
 * changes after that revision are older than what the other segments show.
 */
class ListCoverage
{
public:
    ListCoverage() = default;
    /**
     * @param revision of the whole list
     * @param segments in the order of names; none if the whole list is of one age
     */
    ListCoverage(Revision revision, std::vector<ListSegment> segments);

    /** @return the revision up to which the list shows whether there is an entry with this name, and its state */
    Revision revisionOf(std::string_view name) const;
    /** @return whether some segments are newer than the list as a whole */
    bool isMixed() const
    {
        return !segments_.empty();
    }
    /** Records that the list has all changes up to a revision. */
    void advance(Revision revision);

private:
    Revision revision_;
    Revision newest_;
    std::vector<ListSegment> segments_; ///< in the order of names; empty once the list is as new as its newest segment
};

} // namespace poplarroad

#endif
