#pragma once

#include "standins/Site.h"
#include "standins/SiteCaller.h"

#include <map>
#include <string>
#include <vector>

namespace pimentoward::standins {

/// Checks the answers that callers received against the requests that the stand-in backend servers
/// ran. It uses nothing that the tier reports about its own work.
class SiteChecker
{
public:
    /// `shards` and `minCoverage` are those of the site's settings.
    SiteChecker(std::size_t shards, double minCoverage);

    /// Checks an answer with status 200. Returns the error, or an empty string if there is none.
    std::string validateSuccess(const SiteCaller::Outcome &outcome) const;
    /// Returns all violations of the tier's guarantees, one line each.
    std::vector<std::string> violations(const std::list<SiteCaller::Outcome> &outcomes,
                                        const std::vector<ShardServer *> &servers) const;

private:
    /// Checks the answer to a request that fans out to all shards.
    std::string validateFanOut(const SiteCaller::Outcome &outcome) const;

    std::size_t m_shards;
    double m_minCoverage;
};

} // namespace pimentoward::standins
