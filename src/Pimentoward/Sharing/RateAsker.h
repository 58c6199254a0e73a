#pragma once

#include "Pimentoward/Sharing/RateGranter.h"
#include "Pimentoward/Sharing/RateParts.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace pimentoward {

/// Decides which requests of limited workspaces one VM may run, by asking the granters of the
/// limits' parts for tokens. Does no input or output.
///
/// Load pattern: requests of a workspace arrive in bursts at a few VMs. One ask per workspace is
/// under way at a time and carries all requests that have arrived before it, so that neither the
/// messages nor the wait of a request grow with the burst. A part that has no tokens is not asked
/// until it has some again, and a granter that did not answer is left alone for a while. While a
/// part cannot be reached or grants less than all of it, the reserve is asked as well.
class RateAsker
{
public:
    struct Settings
    {
        /// How long a granter that did not answer, or does not grant yet, is not asked.
        Duration silentBackoff = std::chrono::seconds(1);
        Duration idleBackoff = std::chrono::milliseconds(250);
        /// A request that has waited this long is decided without another ask.
        Duration maxWait = std::chrono::milliseconds(60);
        /// Limit of the time after which a refused request may be sent again.
        Duration maxRetryAfter = std::chrono::seconds(10);
        /// That time if no granter has stated one.
        Duration defaultRetryAfter = std::chrono::milliseconds(500);
    };

    /// Ask the VM `granter` for `wanted` tokens of a part, and report the answer.
    struct Ask
    {
        std::string workspace;
        MemberId granter;
        RateQuestion question;
    };
    enum class Source : std::uint8_t {
        Granter,
        /// A reserve that the tolerated excess covers, since a part could not be reached.
        Reserve,
        /// Refused: the limit has no room.
        Dry,
        /// Refused: no granter could be reached.
        Unreachable
    };
    struct Decide
    {
        std::uint64_t request = 0;
        std::string workspace;
        bool isAdmitted = false;
        Duration retryAfter {};
        Source source = Source::Granter;
    };
    using Action = std::variant<Ask, Decide>;
    using Actions = std::vector<Action>;

    RateAsker(const RateParts &parts, const Settings &settings)
        : m_parts(parts)
        , m_settings(settings)
    { }

    /// Decides on a new request, or asks for it.
    Actions onRequest(const std::string &workspace, std::uint64_t request, SteadyTime now);
    /// Reports the answer to the ask of that workspace that is under way; nothing if there was none
    /// in time.
    Actions onAnswer(const std::string &workspace, const std::optional<RateAnswer> &answer,
                     SteadyTime now);
    /// Forgets what is known of workspaces that have no limit any more and of parts that no longer
    /// exist.
    void onPartsChanged();

private:
    struct Request
    {
        std::uint64_t number = 0;
        SteadyTime at;
    };
    struct PartState
    {
        SteadyTime dryUntil {};
        SteadyTime skippedUntil {};
        bool isReduced = false;
        /// The granter that the times above are about.
        MemberId granter;
    };
    struct State
    {
        std::deque<Request> waiting;
        std::vector<Request> asked;
        std::string askedKey;
        bool isAsking = false;
        std::map<std::string, PartState> parts;
        /// Requests that were refused since the last question.
        std::size_t refused = 0;
        /// When the next request that is refused here is to come back.
        SteadyTime nextReturn {};
    };

    /// Sends what waits to the next part, or decides on it.
    void proceed(const std::string &workspace, State &state, Actions &actions, SteadyTime now);
    const RateParts::Part *choosePart(const RateParts::Parts &parts, State &state, bool &isSkipping,
                                      SteadyTime now) const;
    static PartState &stateOf(State &state, const RateParts::Part &part);
    Decide decideHere(const std::string &workspace, State &state, const Request &request,
                      bool isSkipping, SteadyTime now) const;
    Duration nextReturn(const RateParts::Parts &parts, State &state, SteadyTime now) const;

    const RateParts &m_parts;
    Settings m_settings;
    std::map<std::string, State> m_states;
};

} // namespace pimentoward
