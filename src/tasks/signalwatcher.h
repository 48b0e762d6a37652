#pragma once

#include <QObject>

#include <memory>

namespace Plantainweir {

/** Turns SIGTERM, SIGINT and SIGHUP into signals of the event loop. One for each process. */
class SignalWatcher : public QObject
{
    Q_OBJECT

public:
    explicit SignalWatcher(QObject *parent = nullptr);
    ~SignalWatcher() override;

Q_SIGNALS:
    /** The process was asked to stop; emitted for each of the signals. */
    void stopRequested();
    /** The settings may have changed: SIGHUP. */
    void reloadRequested();

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
