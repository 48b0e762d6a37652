"""The store returns from a copy some seconds old; the next version of the configuration is not in force afterwards."""
import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-3"))
from fleet import CannotRun, Deployment, limits, read_message, request_id, route, run, service, tenant  # noqa: E402

# The bounds and limits of demands/vernar-loyalty-grown.
BOUNDS = {"budgetRatio": "0.2", "budgetSlack": "216", "budgetWindow": "10s", "probesPerS": "42", "config": "2500ms", "drain": "2500ms", "grace": "6s",
          "quotaWindow": "5s", "quotaOver": "0.1", "quotaSlack": "20", "coldOver": "1.5", "coldSlack": "8", "evac": "5000ms"}
LIMITS = {"cpuShare": 0.5, "memoryMb": 512, "maxFds": 4100}
CONFIG_S = 2.5
OUTER_S = 5.0  # By how much an unstable core may stretch the bound.
STABILITY_S = 3.0
HOST = "hulo84.example"
KEPT_KEY = "cpihhacruddedev3nax7"
DROPPED_KEY = "u27gxprymh2rrytapjsu"


def configuration(version, keys, target, timeout, more=()):
    return {"version": version, "resources": [
        route("r-balance", HOST, "/balance/", target, timeout=timeout), *more,
        service("old-svc"), service("new-svc"), tenant("cuka620", keys), limits()]}


class Request:
    def __init__(self, gateway, path, key, sent_at):
        self.gateway = gateway
        self.path = path
        self.key = key
        self.id = request_id()
        self.sent_at = sent_at
        self.status = 0


async def send(request, record, sent):
    sent.append(request)
    try:
        host, port = request.gateway.front.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write((f"GET {request.path}{request.id} HTTP/1.1\r\nHost: {HOST}\r\nX-Plantainweir-Request-Id: {request.id}\r\n"
                      f"X-Plantainweir-Deadline-Ms: 3000\r\nAuthorization: Token {request.key}\r\n\r\n").encode())
        answer = await asyncio.wait_for(read_message(reader), 4.0)
        request.status = answer.status
        writer.close()
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
        request.status = -1
    name = "kept" if request.key == KEPT_KEY else "dropped"
    record.write(f"client: {request.path}{request.id} sent at {request.sent_at:.3f} to {request.gateway.node} with the {name} key: {request.status}")


async def traffic(deployment, record, sent):
    tasks = set()
    while True:
        for gateway in deployment.gateways:
            for path, key in (("/balance/", KEPT_KEY), ("/balance/", DROPPED_KEY), ("/added/", KEPT_KEY)):
                task = asyncio.ensure_future(send(Request(gateway, path, key, record.now()), record, sent))
                tasks.add(task)
                task.add_done_callback(tasks.discard)
        await asyncio.sleep(0.25)


async def case(record, has_trouble):
    deployment = Deployment(record, BOUNDS, LIMITS, gateways=2)
    both = [KEPT_KEY, DROPPED_KEY]
    try:
        await deployment.start(configuration(3, both, "old-svc", "1500ms"))
        for name in ("old-svc", "old-svc", "new-svc", "new-svc"):
            await deployment.add_backend(name)
        await deployment.start_gateways()
        await asyncio.sleep(STABILITY_S)
        sent = []
        clients = asyncio.ensure_future(traffic(deployment, record, sent))
        await asyncio.sleep(1.0)
        copy = deployment.store.copy()
        record.write(f"the copy is taken at revision {deployment.store.revision}")
        for version, timeout in ((4, "1400ms"), (5, "1300ms"), (6, "1200ms")):
            await asyncio.sleep(1.5)
            deployment.configure(configuration(version, both, "old-svc", timeout))
        await asyncio.sleep(1.5)
        if has_trouble:
            record.write(f"the store is away, at revision {deployment.store.revision}")
            await deployment.store.return_from(copy, away_s=0.5)
            record.write(f"the store is back from the copy at revision {deployment.store.revision}, era {deployment.store.era}")
            # What the operator wrote since the copy is written again; the backends do so with their heartbeats.
            await asyncio.sleep(0.2)
            deployment.configure(configuration(6, both, "old-svc", "1200ms"))
        await asyncio.sleep(STABILITY_S)
        deployment.configure(configuration(8, [KEPT_KEY], "new-svc", "1500ms", [route("r-added", HOST, "/added/", "new-svc")]))
        acknowledged = record.now()
        await asyncio.sleep(CONFIG_S + OUTER_S + 15.0)
        clients.cancel()
        await asyncio.sleep(1.0)
        return judge(deployment, record, sent, acknowledged)
    finally:
        await deployment.end()


def judge(deployment, record, sent, acknowledged):
    """Looks at requests that were sent later than the bound and its longest extension after the acknowledgement."""
    late = {request.id: request for request in sent if request.sent_at > acknowledged + CONFIG_S + OUTER_S}
    early = [request for request in sent if request.sent_at < acknowledged and request.path == "/balance/"]
    served_early = sum(request.status == 200 for request in early)
    if len(late) < 40 or served_early < len(early) / 2:
        raise CannotRun(f"{len(late)} late requests, {served_early} of {len(early)} served before")
    by_old = with_dropped = 0
    for backend in deployment.backends:
        for _, identity, _, _ in backend.ran:
            if identity in late:
                by_old += backend.service == "old-svc"
                with_dropped += late[identity].key == DROPPED_KEY
    not_found = sum(request.path == "/added/" and request.status == 404 for request in late.values())
    record.write(f"of {len(late)} requests sent {CONFIG_S + OUTER_S} s and more after version 8 was acknowledged, {by_old} were run by the old service, "
                 f"{with_dropped} of {sum(request.key == DROPPED_KEY for request in late.values())} with the dropped key ran, and "
                 f"{not_found} of {sum(request.path == '/added/' for request in late.values())} on the added route were refused with 404")
    return by_old + with_dropped + not_found > 0


sys.exit(run(case, FOLDER))
