#ifndef POPLARROAD_HOST_PERIODICREPORTS_H
#define POPLARROAD_HOST_PERIODICREPORTS_H

#include "poplarroad/clock.h"

#include <absl/container/flat_hash_map.h>

#include <string>

namespace poplarroad
{

/** Limits the reports about each subject to one in a period, for conditions that are found again and again. */
class PeriodicReports
{
public:
    static constexpr std::chrono::seconds Period{ 60 };
    /** Subjects whose last report is remembered; while all of them are recent, others are not reported. */
    static constexpr std::size_t MaxSubjects = 64;

    /** @return whether a report about the subject is due; if so, it counts as made */
    bool isDue(const std::string &subject, TimePoint now)
    {
        const auto known = reportedAt_.find(subject);
        if (known != reportedAt_.end()) {
            const bool due = now - known->second >= Period;
            known->second = due ? now : known->second;
            return due;
        }
        if (reportedAt_.size() >= MaxSubjects) {
            absl::erase_if(reportedAt_, [&](const auto &report) { return now - report.second >= Period; });
        }
        return reportedAt_.size() < MaxSubjects && reportedAt_.emplace(subject, now).second;
    }

private:
    absl::flat_hash_map<std::string, TimePoint> reportedAt_;
};

} // namespace poplarroad

#endif
