#pragma once

#include "standins/Site.h"
#include "standins/SiteCaller.h"

#include <map>
#include <string>
#include <vector>

namespace pimentoward::standins {

/// Judges a tier by what callers and stand-in backend servers have seen, never by its own claims.
class SiteChecker
{
public:
    /// `shards` and `leastCoverage` as the site's settings name them.
    SiteChecker(std::size_t shards, double leastCoverage);

    /// What is wrong with the success of one request; empty where nothing is.
    std::string validateSuccess(const SiteCaller::Outcome &outcome) const;
    /// Everything that breaks a promise, one line each.
    std::vector<std::string> violations(const std::list<SiteCaller::Outcome> &outcomes,
                                        const std::vector<ShardServer *> &servers) const;

private:
    std::string wrongGathering(const SiteCaller::Outcome &outcome) const;

    std::size_t m_shards;
    double m_leastCoverage;
};

} // namespace pimentoward::standins
