#pragma once

#include <cstddef>
#include <vector>

namespace pimentoward {

/// Decides which parts of a fan-out are sent again while the retry budgets of their services are
/// short. Performs no I/O.
///
/// Load pattern: most backend servers of a service refuse a part of their requests for some
/// seconds, so that about a third of the parts of each fan-out fail at once, and the budget lasts
/// for a part of them. If each part took what is left, nearly all fan-outs would get some parts
/// again and miss their minimum coverage nevertheless. A fan-out therefore takes as many retries as
/// it needs to reach its minimum coverage, or none.
class RetryAllocation
{
public:
    /// A part that has failed and may be sent again.
    struct Candidate
    {
        std::size_t part = 0;
        /// Number of times that it can be sent again, limited by the budget and by the part.
        unsigned retries = 0;
    };

    /// `failedShare`: share of this fan-out's attempts that have failed, with which each retry is
    /// expected to fail too.
    explicit RetryAllocation(double failedShare)
        : m_failedShare(failedShare)
    { }

    /// Returns the parts to send again now, so that `needed` more parts are expected to be
    /// answered; those with the most retries left are first. Empty if the candidates cannot give
    /// that many.
    std::vector<std::size_t> partsToSend(std::vector<Candidate> candidates,
                                         std::size_t needed) const;

private:
    /// Number of the candidates that are expected to be answered after all their retries.
    double expectedAnswers(const std::vector<Candidate> &candidates) const;

    double m_failedShare;
};

} // namespace pimentoward
