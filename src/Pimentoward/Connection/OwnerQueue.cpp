#include "Pimentoward/Connection/OwnerQueue.h"

#include <cassert>
#include <iterator>

namespace pimentoward {

namespace {

constexpr std::size_t deadlineField = 1;
constexpr std::size_t tokenField = 3;

} // namespace

OwnerQueue::PushResult OwnerQueue::push(const Entry &entry, std::size_t limit)
{
    assert(m_keys.count(entry.token) == 0);
    PushResult result;
    const Key key {entry.requestClass, entry.deadline, ++m_arrivalCount, entry.token};
    if (size() >= limit) {
        if (isEmpty() || key > *std::prev(m_byUrgency.end())) {
            return result;
        }
        const Key last = *std::prev(m_byUrgency.end());
        result.evicted = std::get<tokenField>(last);
        erase(last);
    }
    m_byUrgency.insert(key);
    m_byDeadline.insert({entry.deadline, entry.token});
    m_keys.emplace(entry.token, key);
    result.isAccepted = true;
    return result;
}

std::optional<OwnerQueue::Entry> OwnerQueue::pop()
{
    if (isEmpty()) {
        return std::nullopt;
    }
    const Key first = *m_byUrgency.begin();
    erase(first);
    const auto &[requestClass, deadline, arrival, token] = first;
    return Entry {token, requestClass, deadline};
}

bool OwnerQueue::remove(DispatchToken token)
{
    const auto found = m_keys.find(token);
    if (found == m_keys.end()) {
        return false;
    }
    erase(Key(found->second));
    return true;
}

std::vector<DispatchToken> OwnerQueue::removeExpired(SteadyTime time)
{
    std::vector<DispatchToken> expired;
    while (!m_byDeadline.empty() && m_byDeadline.begin()->first <= time) {
        expired.push_back(m_byDeadline.begin()->second);
        remove(expired.back());
    }
    return expired;
}

std::vector<DispatchToken> OwnerQueue::removeAll()
{
    std::vector<DispatchToken> all;
    while (const auto entry = pop()) {
        all.push_back(entry->token);
    }
    return all;
}

std::size_t OwnerQueue::position(const Entry &entry) const
{
    constexpr DispatchToken maxToken = ~DispatchToken {0};
    return m_byUrgency.order_of_key(
        {entry.requestClass, entry.deadline, m_arrivalCount + 1, maxToken});
}

std::optional<SteadyTime> OwnerQueue::earliestDeadline() const
{
    if (m_byDeadline.empty()) {
        return std::nullopt;
    }
    return m_byDeadline.begin()->first;
}

void OwnerQueue::erase(const Key &key)
{
    const Key copy = key;
    m_byUrgency.erase(copy);
    m_byDeadline.erase({std::get<deadlineField>(copy), std::get<tokenField>(copy)});
    m_keys.erase(std::get<tokenField>(copy));
}

} // namespace pimentoward
