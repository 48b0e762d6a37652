#include "tasks/signalwatcher.h"

#include <QSocketNotifier>

#include <csignal>
#include <sys/signalfd.h>
#include <unistd.h>

namespace Plantainweir {
namespace {

sigset_t watchedSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    return signals;
}

/** Blocks the watched signals for this thread and the threads it starts; returns a descriptor that reports them. */
int openSignalDescriptor()
{
    const sigset_t signals = watchedSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC);
}

}

class SignalWatcher::Private
{
public:
    Private()
        : m_descriptor(openSignalDescriptor())
        , m_notifier(m_descriptor, QSocketNotifier::Read)
    {
    }

    ~Private()
    {
        m_notifier.setEnabled(false);
        ::close(m_descriptor);
    }

    Q_DISABLE_COPY_MOVE(Private)

    int m_descriptor;
    QSocketNotifier m_notifier;
};

SignalWatcher::SignalWatcher(QObject *parent)
    : QObject(parent)
    , d(std::make_unique<Private>())
{
    connect(&d->m_notifier, &QSocketNotifier::activated, this, [this] {
        signalfd_siginfo info{};
        while (::read(d->m_descriptor, &info, sizeof(info)) == static_cast<ssize_t>(sizeof(info))) {
            if (info.ssi_signo == SIGHUP) {
                Q_EMIT reloadRequested();
            } else {
                Q_EMIT stopRequested();
            }
        }
    });
}

SignalWatcher::~SignalWatcher() = default;

}
