#pragma once

#include "Pimentoward/Connection/HttpClient.h"
#include "Pimentoward/Connection/HttpServer.h"
#include "Pimentoward/Process/Timer.h"
#include "Pimentoward/Sharing/SharedMessages.h"
#include "Pimentoward/Sharing/VmExchange.h"

#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

struct event_base;

namespace pimentoward {

/// Carries sections between VMs as HTTP calls. Opens nothing until it is told to listen or to ask.
class HttpVmExchange : public VmExchange
{
public:
    struct Settings
    {
        MemberId self;
        /// Maximum number of calls to one VM at a time. Sections beyond it are packed into the next
        /// call.
        std::size_t maxCalls = 4;
        /// Maximum number of sections that wait for a call to one VM; further ones get no answer.
        std::size_t maxWaiting = 256;
        /// Connections to a VM that has not been asked for this time are closed.
        Duration idleTime = std::chrono::seconds(30);
    };

    HttpVmExchange(event_base *loop, const Settings &settings);

    /// Binds the address for other VMs. On failure returns false and sets `reason` to
    /// InvalidSetting.
    bool listen(const Address &address, Reason &reason) { return m_server.listen(address, reason); }
    /// Replaces the addresses of the other VMs.
    void changeVms(std::map<MemberId, Address> vms);
    void ask(const MemberId &to, SharedSection section, Duration timeout, AnswerHook done) override;
    void serve(SharedTopic topic, Handler handler) override;

private:
    /// A section that has been asked and not answered.
    struct Question
    {
        SharedSection section;
        SteadyTime until;
        Duration timeout;
        AnswerHook done;
        std::unique_ptr<Timer> timer;
    };
    using QuestionPtr = std::shared_ptr<Question>;
    struct Vm
    {
        std::unique_ptr<HttpClient> client;
        std::list<QuestionPtr> waiting;
        std::size_t calls = 0;
        SteadyTime usedAt {};
    };

    void sendWaiting(const MemberId &to);
    void onReply(const MemberId &to, const std::vector<QuestionPtr> &questions,
                 const std::optional<HttpAnswer> &reply);
    void answer(const HttpRequest &request, const HttpServer::Responder &respond);
    void closeIdle();
    static void finish(Question &question, std::optional<SharedSection> section);

    event_base *m_loop;
    Settings m_settings;
    std::map<MemberId, Address> m_addresses;
    std::map<MemberId, Vm> m_vms;
    std::map<SharedTopic, Handler> m_handlers;
    /// Questions to VMs without an address, which end at their timeouts.
    std::list<QuestionPtr> m_unsent;
    HttpServer m_server;
    Timer m_idleTimer;
};

} // namespace pimentoward
