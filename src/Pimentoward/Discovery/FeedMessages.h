#pragma once

#include "Pimentoward/Discovery/KeyValueStore.h"

#include <optional>
#include <string>

namespace pimentoward {

/// How far the VM that answers can be trusted to know the store's present state.
struct FeedFreshness
{
    /// Time since the answering VM's knowledge was the store's.
    Duration age {};
    /// Time since the store was last seen failing, by the answering VM or those that it learns
    /// from; nothing where it never was.
    std::optional<Duration> sinceOutage;
};

/// A page of a VM's copy of the store.
struct FeedPage
{
    StorePage page;
    FeedFreshness freshness;
};

/// Changes of a VM's copy of the store.
struct FeedChanges
{
    StoreChanges changes;
    FeedFreshness freshness;
};

/// The messages between VMs as packed CBOR.
std::string encode(const FeedPage &message);
std::string encode(const FeedChanges &message);
/// Nothing and InvalidMessage in `reason` where the bytes are no such message.
std::optional<FeedPage> decodeFeedPage(const std::string &bytes, Reason &reason);
std::optional<FeedChanges> decodeFeedChanges(const std::string &bytes, Reason &reason);

} // namespace pimentoward
