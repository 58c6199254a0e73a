#include "Pimentoward/Process/ControlTask.h"

#include "Pimentoward/Connection/HttpServer.h"
#include "Pimentoward/Core/Log.h"
#include "Pimentoward/Process/HttpStore.h"
#include "Pimentoward/Process/RendezvousHash.h"
#include "Pimentoward/Process/Task.h"
#include "Pimentoward/Process/Timer.h"

#include <nlohmann/json.hpp>

namespace pimentoward {

namespace {

constexpr int statusOk = 200;
constexpr std::chrono::milliseconds refreshPeriod {500};
constexpr std::chrono::milliseconds contactTime {2000};
constexpr const char *servicePrefix = "service/";

} // namespace

struct ControlTask::State
{
    State(const ControlTaskSettings &s, const Clock &c, ViewHook p, QueryDumpHook d)
        : settings(s)
        , clock(c)
        , publish(std::move(p))
        , queryDump(std::move(d))
        , task("control")
        , http(task.loop(), {})
        , store(task.loop(), s.platform, s.storeCallTimeout)
        , refreshTimer(task.loop(), [this] { refresh(); })
    {
        documents = std::make_shared<const SettingsDocument>();
        http.route("GET", "/state", [this](const HttpRequest &, const auto &respond) {
            dump([respond](const nlohmann::json &state) {
                constexpr int indent = 2;
                respond({statusOk, state.dump(indent) + "\n", "application/json", {}});
            });
        });
    }

    ControlTaskSettings settings;
    const Clock &clock;
    ViewHook publish;
    QueryDumpHook queryDump;
    Task task;
    HttpServer http;
    HttpStore store;
    Timer refreshTimer;
    std::map<MemberId, Member> members;
    std::map<ServiceName, std::shared_ptr<const ServiceCatalog>> services;
    std::map<ServiceName, Revision> serviceRevisions;
    std::shared_ptr<const SettingsDocument> documents;
    log4cplus::Logger log = Log::part("control");

    void refresh()
    {
        store.listVms([this](const auto &vms, const Reason &reason) {
            if (!vms) {
                LOG4CPLUS_WARN(log, "VM list not read: " << reason.text);
            } else {
                members.clear();
                for (const VmRecord &vm : *vms) {
                    if (!vm.leaving) {
                        members[vm.id] = {vm.id, vm.host, vm.failureDomain};
                    }
                }
            }
            publishView();
        });
        store.list(servicePrefix, [this](const auto &keys, const Reason &) {
            if (!keys) {
                return;
            }
            for (const std::string &key : *keys) {
                readService(key);
            }
        });
    }

    void readService(const std::string &key)
    {
        store.read(key, [this, key](const auto &stored, const Reason &) {
            if (!stored || stored->revision <= serviceRevisions[key]) {
                return;
            }
            serviceRevisions[key] = stored->revision;
            Reason reason;
            auto catalog = ServiceCatalog::parse(stored->value, reason);
            if (!catalog) {
                LOG4CPLUS_ERROR(log, "Entry " << key << " not used: " << reason.text);
                return;
            }
            const ServiceName name = catalog->name;
            services[name] = std::make_shared<const ServiceCatalog>(std::move(*catalog));
            LOG4CPLUS_INFO(log, "Service " << name << " read");
            publishView();
        });
    }

    void publishView()
    {
        auto view = std::make_shared<ControlView>();
        view->members = members;
        view->services = services;
        view->settings = documents;
        view->contactUntil = clock.now() + contactTime;
        std::vector<RendezvousHash::Candidate> candidates;
        for (const auto &[id, member] : members) {
            candidates.push_back({id, member.failureDomain});
        }
        for (const auto &[name, catalog] : services) {
            for (const auto &[id, server] : catalog->backendServers) {
                const auto owner = RendezvousHash::owner(candidates, id, server.failureDomain);
                if (!owner) {
                    continue;
                }
                view->owners[id] = *owner;
                if (*owner == settings.self.id) {
                    view->ownedUntil[id] = view->contactUntil;
                }
            }
        }
        publish(std::move(view));
    }

    nlohmann::json ownDump() const
    {
        nlohmann::json list = nlohmann::json::array();
        for (const auto &[id, member] : members) {
            list.push_back(
                {{"id", id}, {"host", member.host}, {"failureDomain", member.failureDomain}});
        }
        return {{"self", settings.self.id},
                {"members", std::move(list)},
                {"settingsRevision", documents->revision},
                {"storeCalls", store.calls()}};
    }

    /// Runs on the control task; the answer comes back to it.
    void dump(const DumpHook &hook)
    {
        queryDump([this, hook](const nlohmann::json &query) {
            task.post([this, hook, query] {
                nlohmann::json whole = ownDump();
                whole["query"] = query;
                hook(whole);
            });
        });
    }
};

ControlTask::ControlTask(const ControlTaskSettings &settings, const Clock &clock, ViewHook publish,
                         QueryDumpHook queryDump)
    : m_state(std::make_unique<State>(settings, clock, std::move(publish), std::move(queryDump)))
{ }

ControlTask::~ControlTask()
{
    stop();
}

bool ControlTask::listen(Reason &reason)
{
    return m_state->http.listen(m_state->settings.operatorListen, reason);
}

void ControlTask::start()
{
    m_state->task.post([state = m_state.get()] {
        state->refresh();
        state->refreshTimer.startRepeating(refreshPeriod);
    });
    m_state->task.start();
}

void ControlTask::stop()
{
    m_state->task.stop();
}

void ControlTask::postDump(DumpHook hook)
{
    m_state->task.post([state = m_state.get(), hook = std::move(hook)] { state->dump(hook); });
}

} // namespace pimentoward
