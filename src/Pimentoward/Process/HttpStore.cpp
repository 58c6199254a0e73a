#include "Pimentoward/Process/HttpStore.h"

#include "Pimentoward/Connection/HttpClient.h"

#include <event2/http.h>
#include <nlohmann/json.hpp>

#include <cstdlib>

namespace pimentoward {

namespace {

using Json = nlohmann::json;

constexpr int statusOk = 200;
constexpr int statusNotFound = 404;
constexpr int statusConflict = 409;
constexpr int statusUnavailable = 503;
constexpr std::chrono::seconds watchTimeoutMargin {2};

std::string uriEncoded(const std::string &text)
{
    char *raw = evhttp_encode_uri(text.c_str());
    std::string result(raw);
    std::free(raw);
    return result;
}

Revision revisionOf(const HttpAnswer &answer)
{
    return std::strtoull(answer.header("x-revision").c_str(), nullptr, 10);
}

Reason unavailableReason(const Reason &cause)
{
    return {ResultCode::StoreUnavailable, "the store does not answer: " + cause.text};
}

Reason unexpectedReason(const HttpAnswer &answer)
{
    if (answer.status == statusOk) {
        return {ResultCode::StoreUnavailable, "the store's answer cannot be read"};
    }
    return {ResultCode::StoreUnavailable,
            "the store answered with status " + std::to_string(answer.status)};
}

void finishRead(const std::optional<HttpAnswer> &answer, const Reason &reason,
                const Store::ReadHook &done)
{
    if (!answer) {
        done(std::nullopt, unavailableReason(reason));
    } else if (answer->status == statusOk) {
        done(StoredValue {answer->body, revisionOf(*answer)}, {});
    } else if (answer->status == statusNotFound) {
        done(StoredValue {}, {});
    } else {
        done(std::nullopt, unexpectedReason(*answer));
    }
}

void finishWrite(const std::optional<HttpAnswer> &answer, const Reason &reason,
                 const Store::WriteHook &done)
{
    if (!answer) {
        // Only a connection that was never established proves that nothing was written.
        const auto status = reason.code == ResultCode::PeerUnreachable ? WriteStatus::Refused
                                                                       : WriteStatus::Unsure;
        done({status, 0}, unavailableReason(reason));
    } else if (answer->status == statusOk) {
        done({WriteStatus::Committed, revisionOf(*answer)}, {});
    } else if (answer->status == statusConflict) {
        done({WriteStatus::Conflict, revisionOf(*answer)},
             {ResultCode::RevisionConflict, "the stored value has a different revision"});
    } else if (answer->status == statusUnavailable) {
        done({WriteStatus::Refused, 0}, unexpectedReason(*answer));
    } else {
        done({WriteStatus::Unsure, 0}, unexpectedReason(*answer));
    }
}

std::optional<std::vector<VmRecord>> parseVms(const std::string &body)
{
    try {
        std::vector<VmRecord> vms;
        for (const Json &item : Json::parse(body)) {
            vms.push_back({item.at("id").get<std::string>(), item.at("host").get<std::string>(),
                           item.at("failureDomain").get<std::string>(),
                           item.value("leaving", false)});
        }
        return vms;
    } catch (const Json::exception &) {
        return std::nullopt;
    }
}

std::optional<std::vector<std::string>> parseKeys(const std::string &body)
{
    try {
        return Json::parse(body).get<std::vector<std::string>>();
    } catch (const Json::exception &) {
        return std::nullopt;
    }
}

} // namespace

struct HttpStore::State
{
    State(event_base *loop, const Address &address, std::chrono::milliseconds timeout)
        : client(loop, address)
        , callTimeout(timeout)
    { }

    HttpClient client;
    std::chrono::milliseconds callTimeout;

    void get(const std::string &target, HttpConnection::DoneHook done)
    {
        client.send({"GET", target, {}, {}, callTimeout}, std::move(done));
    }
};

HttpStore::HttpStore(event_base *loop, const Address &address,
                     std::chrono::milliseconds callTimeout)
    : m_state(std::make_shared<State>(loop, address, callTimeout))
{ }

HttpStore::~HttpStore() = default;

void HttpStore::read(const std::string &key, ReadHook done)
{
    m_state->get("/kv?key=" + uriEncoded(key),
                 [done = std::move(done)](auto answer, const auto &reason) {
                     finishRead(answer, reason, done);
                 });
}

void HttpStore::list(const std::string &prefix, KeysHook done)
{
    m_state->get("/keys?prefix=" + uriEncoded(prefix),
                 [done = std::move(done)](auto answer, const Reason &reason) {
                     if (!answer) {
                         done(std::nullopt, unavailableReason(reason));
                     } else if (auto keys = parseKeys(answer->body);
                                answer->status == statusOk && keys) {
                         done(std::move(keys), {});
                     } else {
                         done(std::nullopt, unexpectedReason(*answer));
                     }
                 });
}

void HttpStore::compareAndSwap(const std::string &key, Revision expected, const std::string &value,
                               WriteHook done)
{
    const std::string target
        = "/kv?key=" + uriEncoded(key) + "&expected=" + std::to_string(expected);
    m_state->client.send({"PUT", target, {}, value, m_state->callTimeout},
                         [done = std::move(done)](auto answer, const auto &reason) {
                             finishWrite(answer, reason, done);
                         });
}

void HttpStore::watch(const std::string &key, Revision after, std::chrono::milliseconds wait,
                      ReadHook done)
{
    const std::string target = "/watch?key=" + uriEncoded(key) + "&after=" + std::to_string(after)
        + "&waitMs=" + std::to_string(wait.count());
    m_state->client.send({"GET", target, {}, {}, wait + watchTimeoutMargin},
                         [done = std::move(done)](auto answer, const auto &reason) {
                             finishRead(answer, reason, done);
                         });
}

void HttpStore::listVms(VmListHook done)
{
    m_state->get("/vms", [done = std::move(done)](auto answer, const Reason &reason) {
        if (!answer) {
            done(std::nullopt, unavailableReason(reason));
        } else if (auto vms = parseVms(answer->body); answer->status == statusOk && vms) {
            done(std::move(vms), {});
        } else {
            done(std::nullopt, unexpectedReason(*answer));
        }
    });
}

std::uint64_t HttpStore::calls() const
{
    return m_state->client.calls();
}

} // namespace pimentoward
