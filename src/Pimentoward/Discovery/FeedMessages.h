#pragma once

#include "Pimentoward/Discovery/KeyValueStore.h"

#include <optional>
#include <string>

namespace pimentoward {

/// How up to date the answering VM's copy of the store is.
struct FeedFreshness
{
    /// Time since the answering VM's copy last matched the store.
    Duration age {};
    /// Time since the store was last seen failing, by the answering VM or by the VMs that it
    /// follows; nothing if it never was.
    std::optional<Duration> sinceOutage;
};

/// One page of a VM's copy of the store, with its freshness.
struct FeedPage
{
    StorePage page;
    FeedFreshness freshness;
};

/// Changes of a VM's copy of the store, with its freshness.
struct FeedChanges
{
    StoreChanges changes;
    FeedFreshness freshness;
};

/// Encodes a message between VMs as compressed CBOR.
std::string encode(const FeedPage &message);
std::string encode(const FeedChanges &message);
/// Decodes a message. Returns nothing, with InvalidMessage in `reason`, if the bytes are not a
/// valid message.
std::optional<FeedPage> decodeFeedPage(const std::string &bytes, Reason &reason);
std::optional<FeedChanges> decodeFeedChanges(const std::string &bytes, Reason &reason);

} // namespace pimentoward
