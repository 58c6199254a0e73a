#pragma once

#include "Pimentoward/Core/Address.h"
#include "Pimentoward/Process/Store.h"

#include <memory>

struct event_base;

namespace pimentoward {

/// Client of the platform's HTTP interface (docs/INTERFACES.md, "Platform").
class HttpStore final : public Store
{
public:
    /// `callTimeout` limits each call except watches, whose timeout is their wait time plus a
    /// margin.
    HttpStore(event_base *loop, const Address &address, std::chrono::milliseconds callTimeout);
    ~HttpStore() override;

    void read(const std::string &key, ReadHook done) override;
    void list(const std::string &prefix, KeysHook done) override;
    void compareAndSwap(const std::string &key, Revision expected, const std::string &value,
                        WriteHook done) override;
    void watch(const std::string &key, Revision after, std::chrono::milliseconds wait,
               ReadHook done) override;
    void listVms(VmListHook done) override;

    /// Returns the number of calls made so far. Each watch counts as one call.
    std::uint64_t calls() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace pimentoward
