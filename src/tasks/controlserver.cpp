#include "tasks/controlserver.h"

#include "control.grpc.pb.h"

#include <grpcpp/grpcpp.h>

#include <QCoreApplication>

#include <algorithm>
#include <atomic>
#include <functional>
#include <map>
#include <set>

namespace Plantainweir {
namespace {

using StreamId = quint64;

/** Parts of the state that changed since the last update on a stream. */
struct PendingUpdate {
    bool isComplete = true; ///< The next update contains the complete state.
    bool areRulesChanged = false;
    bool areMembersChanged = false;
    bool areStatusesChanged = false;
    std::set<std::string> services;

    bool isEmpty() const
    {
        return !isComplete && !areRulesChanged && !areMembersChanged && !areStatusesChanged && services.empty();
    }
};

/** Handlers of the events of a stream; they run in the task's event loop. */
struct StreamHandlers {
    std::function<void(StreamId, bool)> readDone;
    std::function<void(StreamId, bool)> writeDone;
    std::function<void(StreamId)> done;
};

/**
 * One open stream. Its callbacks run on gRPC threads and only post to the task; all other functions are called in the
 * task's event loop.
 */
class Stream : public grpc::ServerBidiReactor<ControlProtocol::EntryState, ControlProtocol::ControlUpdate>
{
public:
    Stream(StreamId id, QObject *task, const StreamHandlers &handlers)
        : m_id(id)
        , m_task(task)
        , m_handlers(handlers)
    {
    }

    void OnReadDone(bool isOk) override
    {
        post([id = m_id, isOk, &handlers = m_handlers] {
            handlers.readDone(id, isOk);
        });
    }

    void OnWriteDone(bool isOk) override
    {
        post([id = m_id, isOk, &handlers = m_handlers] {
            handlers.writeDone(id, isOk);
        });
    }

    void OnDone() override
    {
        post([id = m_id, &handlers = m_handlers] {
            handlers.done(id);
        });
    }

    const ControlProtocol::EntryState &request() const
    {
        return m_request;
    }

    void readNext()
    {
        m_request.Clear();
        StartRead(&m_request);
    }

    void write(ControlProtocol::ControlUpdate update)
    {
        m_isWriting = true;
        m_update = std::move(update);
        StartWrite(&m_update);
    }

    void finish(const grpc::Status &status)
    {
        if (!m_isFinished) {
            m_isFinished = true;
            Finish(status);
        }
    }

    PendingUpdate m_pending;
    bool m_isOpen = true; ///< False after the read side has ended.
    bool m_isWriting = false;

private:
    template<typename Function>
    void post(Function function)
    {
        QMetaObject::invokeMethod(m_task, std::move(function), Qt::QueuedConnection);
    }

    StreamId m_id;
    QObject *m_task;
    const StreamHandlers &m_handlers;
    bool m_isFinished = false;
    ControlProtocol::EntryState m_request;
    ControlProtocol::ControlUpdate m_update;
};

}

class ControlServer::Private : public QObject, public ControlProtocol::Control::CallbackService
{
public:
    explicit Private(ControlServer *server)
        : q(server)
    {
        m_handlers.readDone = [this](StreamId id, bool isOk) {
            onReadDone(id, isOk);
        };
        m_handlers.writeDone = [this](StreamId id, bool isOk) {
            onWriteDone(id, isOk);
        };
        m_handlers.done = [this](StreamId id) {
            m_streams.erase(id);
        };
    }

    ~Private() override
    {
        if (m_server == nullptr) {
            return;
        }
        m_isClosing = true;
        QCoreApplication::sendPostedEvents(this);
        for (const auto &[id, stream] : m_streams) {
            stream->finish(grpc::Status(grpc::StatusCode::UNAVAILABLE, "controld is shutting down"));
        }
        m_server->Shutdown(std::chrono::system_clock::now());
        m_server->Wait();
    }

    /** Called on a gRPC thread; posts the stream to the task. */
    grpc::ServerBidiReactor<ControlProtocol::EntryState, ControlProtocol::ControlUpdate> *Subscribe(grpc::CallbackServerContext *) override
    {
        const StreamId id = ++m_lastStream;
        auto *stream = new Stream(id, this, m_handlers);
        if (m_isClosing) {
            stream->finish(grpc::Status(grpc::StatusCode::UNAVAILABLE, "controld is shutting down"));
            return stream;
        }
        QMetaObject::invokeMethod(
            this,
            [this, id, stream] {
                m_streams.emplace(id, stream);
                stream->readNext();
            },
            Qt::QueuedConnection);
        return stream;
    }

    Stream *find(StreamId id) const
    {
        const auto found = m_streams.find(id);
        return found == m_streams.end() ? nullptr : found->second.get();
    }

    void onReadDone(StreamId id, bool isOk)
    {
        Stream *stream = find(id);
        if (stream == nullptr) {
            return;
        }
        if (!isOk) {
            stream->m_isOpen = false;
            finishIfIdle(*stream, grpc::Status::OK);
            reportIfDisconnected();
            return;
        }
        const auto state = fromMessage(stream->request());
        if (!state) {
            stream->m_isOpen = false;
            stream->finish(grpc::Status(grpc::StatusCode::INVALID_ARGUMENT, "the description of the entry VM is malformed"));
            reportIfDisconnected();
            return;
        }
        if (m_isClosing) {
            return;
        }
        stream->readNext();
        Q_EMIT q->entryStateReceived(*state);
        send(*stream);
    }

    void onWriteDone(StreamId id, bool isOk)
    {
        Stream *stream = find(id);
        if (stream == nullptr) {
            return;
        }
        stream->m_isWriting = false;
        if (!isOk || !stream->m_isOpen) {
            finishIfIdle(*stream, grpc::Status::OK);
            return;
        }
        send(*stream);
    }

    void finishIfIdle(Stream &stream, const grpc::Status &status)
    {
        if (!stream.m_isWriting) {
            stream.finish(status);
        }
    }

    void reportIfDisconnected()
    {
        // While the server is being destroyed, the receiver of the signal may no longer exist.
        if (!m_isClosing && !hasOpenStream()) {
            Q_EMIT q->entrydDisconnected();
        }
    }

    bool hasOpenStream() const
    {
        return std::any_of(m_streams.begin(), m_streams.end(), [](const auto &row) {
            return row.second->m_isOpen;
        });
    }

    void send(Stream &stream)
    {
        if (!m_isComplete || !stream.m_isOpen || stream.m_isWriting || stream.m_pending.isEmpty()) {
            return;
        }
        ControlProtocol::ControlUpdate update = makeUpdate(stream.m_pending);
        stream.m_pending = PendingUpdate{.isComplete = false, .services = {}};
        stream.write(std::move(update));
    }

    ControlProtocol::ControlUpdate makeUpdate(const PendingUpdate &pending) const
    {
        ControlProtocol::ControlUpdate update;
        update.set_complete(pending.isComplete);
        if (pending.isComplete || pending.areRulesChanged) {
            *update.mutable_rules() = toMessage(m_configuration.rules);
        }
        for (const auto &[name, service] : m_configuration.services) {
            if (pending.isComplete || pending.services.contains(name)) {
                *update.add_services() = toMessage(service);
            }
        }
        if (pending.isComplete || pending.areMembersChanged) {
            update.set_members_changed(true);
            for (const EntryMember &member : m_members) {
                *update.add_members() = toMessage(member);
            }
        }
        if (pending.isComplete || pending.areStatusesChanged) {
            for (const UpstreamStatus &status : m_statuses) {
                *update.add_upstream_statuses() = toMessage(status);
            }
        }
        return update;
    }

    template<typename Change>
    void updateStreams(Change change)
    {
        for (const auto &[id, stream] : m_streams) {
            change(stream->m_pending);
            send(*stream);
        }
    }

    ControlServer *q;
    StreamHandlers m_handlers;
    std::atomic<StreamId> m_lastStream = 0; ///< Incremented on gRPC threads.
    std::atomic<bool> m_isClosing = false; ///< Read on gRPC threads.
    std::map<StreamId, std::unique_ptr<Stream>> m_streams;
    bool m_isComplete = false;
    Configuration m_configuration;
    std::vector<EntryMember> m_members;
    std::vector<UpstreamStatus> m_statuses;
    int m_port = 0;
    std::unique_ptr<grpc::Server> m_server;
};

ControlServer::ControlServer(QObject *parent)
    : QObject(parent)
    , d(std::make_unique<Private>(this))
{
}

ControlServer::~ControlServer() = default;

bool ControlServer::listen(const Endpoint &endpoint)
{
    grpc::ServerBuilder builder;
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.AddListeningPort(toString(endpoint), grpc::InsecureServerCredentials(), &d->m_port);
    builder.RegisterService(d.get());
    d->m_server = builder.BuildAndStart();
    return d->m_server != nullptr && d->m_port != 0;
}

quint16 ControlServer::port() const
{
    return static_cast<quint16>(d->m_port);
}

bool ControlServer::hasEntryd() const
{
    return d->hasOpenStream();
}

void ControlServer::setConfigurationComplete()
{
    d->m_isComplete = true;
    d->updateStreams([](PendingUpdate &) {});
}

void ControlServer::setRules(const Rules &rules)
{
    d->m_configuration.rules = rules;
    d->updateStreams([](PendingUpdate &pending) {
        pending.areRulesChanged = true;
    });
}

void ControlServer::setService(const Service &service)
{
    d->m_configuration.services[service.name] = service;
    d->updateStreams([&service](PendingUpdate &pending) {
        pending.services.insert(service.name);
    });
}

void ControlServer::setMembers(const std::vector<EntryMember> &members)
{
    if (members == d->m_members) {
        return;
    }
    d->m_members = members;
    d->updateStreams([](PendingUpdate &pending) {
        pending.areMembersChanged = true;
    });
}

void ControlServer::setUpstreamStatuses(const std::vector<UpstreamStatus> &statuses)
{
    if (statuses == d->m_statuses) {
        return;
    }
    d->m_statuses = statuses;
    d->updateStreams([](PendingUpdate &pending) {
        pending.areStatusesChanged = true;
    });
}

}
