#include "pathbaseline.h"

#include <QHostAddress>
#include <QHttpServer>
#include <QHttpServerResponder>
#include <QNetworkAccessManager>
#include <QNetworkReply>
#include <QUrl>

namespace Plantainweir {

class QtForwarder::Private
{
public:
    void forward(const QHttpServerRequest &request, QHttpServerResponder &&responder)
    {
        QNetworkRequest forwarded(QUrl(QString::fromStdString("http://" + toString(m_upstream) + "/do")));
        forwarded.setHeader(QNetworkRequest::ContentTypeHeader, "text/plain");
        QNetworkReply *reply = m_manager.post(forwarded, request.body());
        auto pendingResponder = std::make_shared<QHttpServerResponder>(std::move(responder));
        QObject::connect(reply, &QNetworkReply::finished, &m_manager, [reply, pendingResponder] {
            pendingResponder->write(reply->readAll(), "text/plain");
            reply->deleteLater();
        });
    }

    Endpoint m_upstream;
    QNetworkAccessManager m_manager;
    QHttpServer m_server;
};

QtForwarder::QtForwarder(const Endpoint &upstream)
    : d(std::make_unique<Private>())
{
    d->m_upstream = upstream;
    d->m_server.route("/call/bench/do", [this](const QHttpServerRequest &request, QHttpServerResponder &&responder) {
        d->forward(request, std::move(responder));
    });
}

QtForwarder::~QtForwarder() = default;

std::uint16_t QtForwarder::listen()
{
    return d->m_server.listen(QHostAddress::LocalHost);
}

}
