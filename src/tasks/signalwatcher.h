#pragma once

#include <QObject>

#include <memory>

namespace Plantainweir {

/** Converts SIGTERM, SIGINT and SIGHUP to Qt signals. At most one per process. */
class SignalWatcher : public QObject
{
    Q_OBJECT

public:
    explicit SignalWatcher(QObject *parent = nullptr);
    ~SignalWatcher() override;

Q_SIGNALS:
    /** SIGTERM or SIGINT was received; emitted for each of them. */
    void stopRequested();
    /** SIGHUP was received: the settings may have changed. */
    void reloadRequested();

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
