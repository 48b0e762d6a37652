#include "soak/datagramfaults.h"

#include <chrono>
#include <cstdlib>
#include <deque>
#include <random>
#include <vector>

#include <dlfcn.h>
#include <fcntl.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <unistd.h>

/** Library that the soak preloads into programs: it loses, repeats and delays the datagrams that they send. */
namespace Plantainweir {
namespace {

using Clock = std::chrono::steady_clock;
using SendMessage = ssize_t (*)(int, const msghdr *, int);

constexpr std::size_t MaximumDelayed = 256;

struct DelayedDatagram {
    Clock::time_point due;
    int descriptor = -1;
    std::vector<char> address;
    std::vector<char> bytes;
};

const DatagramFaults *mappedFaults()
{
    const char *path = std::getenv(DatagramFaultsVariable);
    const int descriptor = path == nullptr ? -1 : ::open(path, O_RDONLY | O_CLOEXEC);
    if (descriptor < 0) {
        return nullptr;
    }
    void *mapped = ::mmap(nullptr, sizeof(DatagramFaults), PROT_READ, MAP_SHARED, descriptor, 0);
    ::close(descriptor);
    return mapped == MAP_FAILED ? nullptr : static_cast<const DatagramFaults *>(mapped);
}

SendMessage nextSendMessage()
{
    static const auto s_next = reinterpret_cast<SendMessage>(::dlsym(RTLD_NEXT, "sendmsg"));
    return s_next;
}

/** Only the main thread of gatewayd sends datagrams. */
class Datagrams
{
public:
    ssize_t send(int descriptor, const msghdr &message, int flags)
    {
        sendDue();
        if (isDrawn(m_faults->lostPercent)) {
            return size(message);
        }
        if (isDrawn(m_faults->delayedPercent) && m_delayed.size() < MaximumDelayed) {
            delay(descriptor, message);
            return size(message);
        }
        if (isDrawn(m_faults->repeatedPercent)) {
            nextSendMessage()(descriptor, &message, flags);
        }
        return nextSendMessage()(descriptor, &message, flags);
    }

    bool isActive() const
    {
        return m_faults != nullptr;
    }

private:
    bool isDrawn(std::uint32_t percent)
    {
        return std::uniform_int_distribution<std::uint32_t>(0, 99)(m_random) < percent;
    }

    static ssize_t size(const msghdr &message)
    {
        std::size_t bytes = 0;
        for (std::size_t part = 0; part < message.msg_iovlen; ++part) {
            bytes += message.msg_iov[part].iov_len;
        }
        return static_cast<ssize_t>(bytes);
    }

    void delay(int descriptor, const msghdr &message)
    {
        const auto *address = static_cast<const char *>(message.msg_name);
        DelayedDatagram &datagram = m_delayed.emplace_back();
        datagram.due = Clock::now() + std::chrono::milliseconds(m_faults->delayMs);
        datagram.descriptor = descriptor;
        datagram.address.assign(address, address + message.msg_namelen);
        for (std::size_t part = 0; part < message.msg_iovlen; ++part) {
            const auto *bytes = static_cast<const char *>(message.msg_iov[part].iov_base);
            datagram.bytes.insert(datagram.bytes.end(), bytes, bytes + message.msg_iov[part].iov_len);
        }
    }

    void sendDue()
    {
        while (!m_delayed.empty() && m_delayed.front().due <= Clock::now()) {
            DelayedDatagram datagram = std::move(m_delayed.front());
            m_delayed.pop_front();
            iovec part{.iov_base = datagram.bytes.data(), .iov_len = datagram.bytes.size()};
            msghdr message{};
            message.msg_name = datagram.address.data();
            message.msg_namelen = static_cast<socklen_t>(datagram.address.size());
            message.msg_iov = &part;
            message.msg_iovlen = 1;
            nextSendMessage()(datagram.descriptor, &message, MSG_NOSIGNAL);
        }
    }

    const DatagramFaults *m_faults = mappedFaults();
    std::mt19937 m_random{std::random_device{}()};
    std::deque<DelayedDatagram> m_delayed;
};

/** Returns whether @p message goes to an address of its own; those on connections have none. */
bool isDatagram(int descriptor, const msghdr &message)
{
    int type = 0;
    socklen_t size = sizeof(type);
    return message.msg_name != nullptr && ::getsockopt(descriptor, SOL_SOCKET, SO_TYPE, &type, &size) == 0 && type == SOCK_DGRAM;
}

}
}

extern "C" ssize_t sendmsg(int descriptor, const msghdr *message, int flags)
{
    static Plantainweir::Datagrams s_datagrams;
    if (!s_datagrams.isActive() || !Plantainweir::isDatagram(descriptor, *message)) {
        return Plantainweir::nextSendMessage()(descriptor, message, flags);
    }
    return s_datagrams.send(descriptor, *message, flags);
}
