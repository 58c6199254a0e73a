#include "Pimentoward/Sharing/RateAsker.h"

#include <algorithm>

namespace pimentoward {

namespace {

/// Maximum number of requests in one ask.
constexpr std::size_t maxWanted = 256;

} // namespace

RateAsker::PartState &RateAsker::stateOf(State &state, const RateParts::Part &part)
{
    PartState &found = state.parts[part.key];
    if (found.granter != part.granter) {
        found = {{}, {}, false, part.granter};
    }
    return found;
}

void RateAsker::onPartsChanged()
{
    for (auto entry = m_states.begin(); entry != m_states.end();) {
        State &state = entry->second;
        const RateParts::Parts *parts = m_parts.find(entry->first);
        if (parts == nullptr && !state.isAsking) {
            entry = m_states.erase(entry);
            continue;
        }
        std::map<std::string, PartState> kept;
        for (const RateParts::Part &part : parts == nullptr ? RateParts::Parts() : *parts) {
            kept[part.key] = stateOf(state, part);
        }
        state.parts = std::move(kept);
        ++entry;
    }
}

RateAsker::Actions RateAsker::onRequest(const std::string &workspace, std::uint64_t request,
                                        SteadyTime now)
{
    Actions actions;
    State &state = m_states[workspace];
    state.waiting.push_back({request, now});
    if (!state.isAsking) {
        proceed(workspace, state, actions, now);
    }
    return actions;
}

RateAsker::Actions RateAsker::onAnswer(const std::string &workspace,
                                       const std::optional<RateAnswer> &answer, SteadyTime now)
{
    Actions actions;
    State &state = m_states[workspace];
    state.isAsking = false;
    PartState &part = state.parts[state.askedKey];
    const RateParts::Parts *parts = m_parts.find(workspace);
    const bool isReserve = parts != nullptr
        && std::any_of(parts->begin(), parts->end(), [&](const RateParts::Part &entry) {
                               return entry.isReserve && entry.key == state.askedKey;
                           });
    std::size_t granted = 0;
    if (!answer) {
        part.skippedUntil = now + m_settings.silentBackoff;
    } else if (!answer->isGranting) {
        part.skippedUntil = now + m_settings.idleBackoff;
    } else {
        granted = std::min(answer->granted, state.asked.size());
        part.dryUntil = now + answer->nextToken;
        part.isReduced = answer->isReduced;
        if (granted < state.asked.size() && !isReserve) {
            state.nextReturn = std::max(state.nextReturn, now + answer->retryAfter);
        }
    }
    const auto firstLeft = state.asked.begin() + static_cast<std::ptrdiff_t>(granted);
    for (auto request = state.asked.begin(); request != firstLeft; ++request) {
        actions.push_back(Decide {
            request->number, workspace, true, {}, isReserve ? Source::Reserve : Source::Granter});
    }
    state.waiting.insert(state.waiting.begin(), firstLeft, state.asked.end());
    state.asked.clear();
    proceed(workspace, state, actions, now);
    return actions;
}

const RateParts::Part *RateAsker::choosePart(const RateParts::Parts &parts, State &state,
                                             bool &isSkipping, SteadyTime now) const
{
    isSkipping = false;
    bool isReduced = false;
    for (const RateParts::Part &part : parts) {
        if (part.isReserve && !isSkipping && !isReduced) {
            continue;
        }
        const PartState &known = stateOf(state, part);
        if (part.granter.empty() || known.skippedUntil > now) {
            isSkipping = true;
        } else if (known.dryUntil <= now) {
            return &part;
        } else {
            isReduced = isReduced || known.isReduced;
        }
    }
    return nullptr;
}

void RateAsker::proceed(const std::string &workspace, State &state, Actions &actions,
                        SteadyTime now)
{
    const RateParts::Parts *parts = m_parts.find(workspace);
    while (!state.waiting.empty()) {
        const Request request = state.waiting.front();
        if (parts == nullptr) {
            // The settings in force have no limit for this workspace any more.
            actions.push_back(Decide {request.number, workspace, true, {}, Source::Granter});
            state.waiting.pop_front();
            continue;
        }
        bool isSkipping = false;
        const RateParts::Part *part = choosePart(*parts, state, isSkipping, now);
        if (part != nullptr && now - request.at < m_settings.maxWait) {
            const auto count = std::min(state.waiting.size(), maxWanted);
            const auto end = state.waiting.begin() + static_cast<std::ptrdiff_t>(count);
            state.asked.assign(state.waiting.begin(), end);
            state.waiting.erase(state.waiting.begin(), end);
            state.askedKey = part->key;
            state.isAsking = true;
            actions.push_back(Ask {workspace, part->granter, {part->key, count, state.refused}});
            state.refused = 0;
            return;
        }
        state.waiting.pop_front();
        actions.push_back(decideHere(workspace, state, request, isSkipping, now));
    }
}

RateAsker::Decide RateAsker::decideHere(const std::string &workspace, State &state,
                                        const Request &request, bool isSkipping,
                                        SteadyTime now) const
{
    ++state.refused;
    return {request.number, workspace, false, nextReturn(*m_parts.find(workspace), state, now),
            isSkipping ? Source::Unreachable : Source::Dry};
}

Duration RateAsker::nextReturn(const RateParts::Parts &parts, State &state, SteadyTime now) const
{
    // Refusals in a row are spread by the rate of the whole limit.
    double rate = 0;
    for (const RateParts::Part &part : parts) {
        rate += part.isReserve ? 0 : part.limit.requestsPerSecond;
    }
    if (state.nextReturn <= now) {
        state.nextReturn = now + m_settings.defaultRetryAfter;
    }
    const Duration result = std::min(state.nextReturn - now, m_settings.maxRetryAfter);
    const Duration step = scaled(std::chrono::seconds(1), 1 / (rate * promisedRatio));
    state.nextReturn = std::min(state.nextReturn + step, now + m_settings.maxRetryAfter);
    return result;
}

} // namespace pimentoward
