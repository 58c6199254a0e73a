#include "Pimentoward/Sharing/HttpVmExchange.h"

#include <algorithm>

namespace pimentoward {

namespace {

const char *const exchangePath = "/vm/exchange";
constexpr int statusOk = 200;
constexpr int statusBadRequest = 400;

HttpServerSettings serverSettings()
{
    HttpServerSettings settings;
    settings.maxBodyBytes = maxSharedMessageBytes;
    return settings;
}

} // namespace

HttpVmExchange::HttpVmExchange(event_base *loop, const Settings &settings)
    : m_loop(loop)
    , m_settings(settings)
    , m_server(loop, serverSettings())
    , m_idleTimer(loop, [this] { closeIdle(); })
{
    m_server.route("POST", exchangePath,
                   [this](const HttpRequest &request, const HttpServer::Responder &respond) {
                       answer(request, respond);
                   });
}

void HttpVmExchange::changeVms(std::map<MemberId, Address> vms)
{
    for (auto &[id, vm] : m_vms) {
        const auto found = vms.find(id);
        const auto known = m_addresses.find(id);
        const bool isOther
            = found != vms.end() && (known == m_addresses.end() || known->second != found->second);
        if (isOther && vm.client != nullptr) {
            vm.client->changeAddress(found->second);
        }
    }
    m_addresses = std::move(vms);
}

void HttpVmExchange::serve(SharedTopic topic, Handler handler)
{
    m_handlers[topic] = std::move(handler);
}

void HttpVmExchange::finish(Question &question, std::optional<SharedSection> section)
{
    question.timer->stop();
    if (AnswerHook done = std::move(question.done)) {
        question.done = nullptr;
        done(std::move(section));
    }
}

void HttpVmExchange::ask(const MemberId &to, SharedSection section, Duration timeout,
                         AnswerHook done)
{
    auto question = std::make_shared<Question>();
    question->section = std::move(section);
    question->timeout = timeout;
    question->until = std::chrono::steady_clock::now() + timeout;
    question->done = std::move(done);
    const auto address = m_addresses.find(to);
    const auto found = m_vms.find(to);
    const bool isFull
        = found != m_vms.end() && found->second.waiting.size() >= m_settings.maxWaiting;
    const bool canSend = address != m_addresses.end() && !isFull;
    std::list<QuestionPtr> &list = canSend ? m_vms[to].waiting : m_unsent;
    // The list may drop the question within the hook, which the timer belongs to.
    question->timer
        = std::make_unique<Timer>(m_loop, [this, weak = std::weak_ptr<Question>(question)] {
              if (const QuestionPtr expired = weak.lock()) {
                  m_unsent.remove(expired);
                  finish(*expired, std::nullopt);
              }
          });
    question->timer->startOnce(canSend ? timeout : Duration::zero());
    list.push_back(question);
    if (!canSend) {
        return;
    }
    Vm &vm = m_vms[to];
    if (vm.client == nullptr) {
        vm.client = std::make_unique<HttpClient>(m_loop, address->second);
    }
    sendWaiting(to);
    if (!m_idleTimer.isPending()) {
        m_idleTimer.startOnce(m_settings.idleTime);
    }
}

void HttpVmExchange::sendWaiting(const MemberId &to)
{
    Vm &vm = m_vms[to];
    const SteadyTime now = std::chrono::steady_clock::now();
    vm.waiting.remove_if([](const QuestionPtr &question) { return question->done == nullptr; });
    while (!vm.waiting.empty() && vm.calls < m_settings.maxCalls) {
        std::vector<QuestionPtr> questions;
        SharedMessage message;
        message.from = m_settings.self;
        HttpCall call;
        call.method = "POST";
        call.target = exchangePath;
        call.timeout = Duration::zero();
        std::size_t bytes = 0;
        while (!vm.waiting.empty() && questions.size() < maxSharedSections) {
            const QuestionPtr &next = vm.waiting.front();
            bytes += next->section.content.size();
            if (!questions.empty() && bytes > maxSharedMessageBytes / 2) {
                break;
            }
            call.timeout = std::max(call.timeout, next->until - now);
            message.sections.emplace_back(next->section);
            questions.push_back(next);
            vm.waiting.pop_front();
        }
        call.body = encode(message);
        ++vm.calls;
        vm.usedAt = now;
        vm.client->send(call,
                        [this, to, questions](const std::optional<HttpAnswer> &reply,
                                              const Reason &) { onReply(to, questions, reply); });
    }
}

void HttpVmExchange::onReply(const MemberId &to, const std::vector<QuestionPtr> &questions,
                             const std::optional<HttpAnswer> &reply)
{
    --m_vms[to].calls;
    std::optional<SharedMessage> message;
    if (reply && reply->status == statusOk) {
        message = decodeSharedMessage(reply->body);
    }
    const bool isValid = message && message->sections.size() == questions.size();
    for (std::size_t index = 0; index < questions.size(); ++index) {
        Question &question = *questions[index];
        std::optional<SharedSection> section;
        if (isValid && message->sections[index]
            && message->sections[index]->topic == question.section.topic) {
            section = std::move(message->sections[index]);
        }
        finish(question, std::move(section));
    }
    sendWaiting(to);
}

void HttpVmExchange::answer(const HttpRequest &request, const HttpServer::Responder &respond)
{
    HttpAnswer reply;
    const std::optional<SharedMessage> message = decodeSharedMessage(request.body);
    if (!message) {
        reply.status = statusBadRequest;
        respond(reply);
        return;
    }
    SharedMessage answers;
    answers.from = m_settings.self;
    for (const std::optional<SharedSection> &section : message->sections) {
        answers.sections.emplace_back();
        if (!section) {
            continue;
        }
        if (const auto handler = m_handlers.find(section->topic); handler != m_handlers.end()) {
            answers.sections.back() = handler->second(message->from, *section);
        }
    }
    reply.contentType = "application/cbor";
    reply.body = encode(answers);
    respond(reply);
}

void HttpVmExchange::closeIdle()
{
    const SteadyTime now = std::chrono::steady_clock::now();
    for (auto vm = m_vms.begin(); vm != m_vms.end();) {
        const bool isIdle = vm->second.calls == 0 && vm->second.waiting.empty()
            && now - vm->second.usedAt >= m_settings.idleTime;
        vm = isIdle ? m_vms.erase(vm) : std::next(vm);
    }
    if (!m_vms.empty()) {
        m_idleTimer.startOnce(m_settings.idleTime);
    }
}

} // namespace pimentoward
