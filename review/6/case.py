"""The three machines that the seeds name are replaced; two fleets stay that do not know each other, each with a whole quota."""

import collections
import copy
import json
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))

import fleet  # noqa: E402
from fleet import BROKEN, CANNOT_RUN, HELD, PREFIX, asyncio, random, time  # noqa: E402

MACHINES = 7
REPLACED = 3
ZONES = ("sk-central-a", "sk-central-b", "sk-central-c")
HOST = "loyalty.example"
TENANT, KEY = "bakery", "key-7f3a91c2"
RATE_PER_S, BURST = 40, 20
SENT_PER_S = 160  # Four times the quota; the site's `hot_tenant` sends 7.5 times its usual.
TRAFFIC_S = 20
DEADLINE_MS = 3000
# Bounds of demands/vernar-loyalty-grown.toml.
QUOTA_WINDOW_S, QUOTA_OVER, QUOTA_SLACK = 5.0, 0.1, 20
SEED_LAG_S = 3.0
BOUNDS = {
    "budgetSlack": "216",
    "probesPerS": "42",
    "config": "2500ms",
    "drain": "2500ms",
    "quotaWindow": "5s",
    "quotaOver": str(QUOTA_OVER),
    "quotaSlack": str(QUOTA_SLACK),
    "coldOver": "1.5",
    "coldSlack": "8",
    "evac": "5000ms",
}


class Clients:
    """The tenant's clients. Each asks a machine's directory for addresses, and keeps the answer for its time to live."""

    def __init__(self, record, machines):
        self.record = record
        self.machines = machines
        self.sent_at = {}
        self.answers = collections.Counter()
        self.tasks = set()

    async def addresses(self, zone):
        for machine in random.sample(self.machines, 3):
            target = f"/v1/resolve?name={HOST}&region=sk-central&zone={zone}"
            try:
                answer = await asyncio.wait_for(fleet.call(machine.directory, "GET", target, {"Host": "directory"}), 1)
            except (OSError, asyncio.TimeoutError):
                continue
            if answer is not None and answer[0] == 200:
                return json.loads(answer[2])["addresses"]
        return []

    async def send(self, address):
        request = fleet.request_id()
        host, port = address.split(":")
        fields = {"Host": HOST, "Authorization": f"Token {KEY}", PREFIX + "Request-Id": request, PREFIX + "Deadline-Ms": DEADLINE_MS}
        self.sent_at[request] = time.monotonic()
        try:
            answer = await asyncio.wait_for(fleet.call((host, int(port)), "GET", "/balances/1", fields), DEADLINE_MS / 1000)
        except (OSError, asyncio.TimeoutError):
            answer = None
        status = answer[0] if answer else "none"
        self.answers[(address, status)] += 1
        self.record("client sent", request, "to", address, "got", status)

    async def run_group(self, end, per_s):
        zone = random.choice(ZONES)
        addresses, known_at = [], 0.0
        while time.monotonic() < end:
            if not addresses or time.monotonic() > known_at + 2:
                addresses, known_at = await self.addresses(zone), time.monotonic()
            if addresses:
                task = asyncio.create_task(self.send(random.choice(addresses)))
                self.tasks.add(task)
                task.add_done_callback(self.tasks.discard)
            await asyncio.sleep(1 / per_s)


def most_in_window(clients, servers):
    """Returns the most requests that were both sent and arrived at a server that ran them within one window."""
    times = sorted((clients.sent_at[run[1]], run[0]) for server in servers for run in server.runs)
    return max(
        (sum(1 for sent, arrived in times if start <= sent and arrived < start + QUOTA_WINDOW_S) for start, _ in times),
        default=0,
    )


async def case(record, is_disturbed, gateways, temporary):
    store = fleet.Store(record)
    await store.start()
    servers = []
    for index in range(6):
        server = fleet.Server(record, f"i-{index}", "balance-svc", ZONES[index % 3], slots=6)
        await server.start()
        servers.append(server)
        store.put("servers", server.name, server.entry())
    tenant = {"apiKeys": [KEY], "ratePerS": RATE_PER_S, "burst": BURST}
    resources = [
        fleet.route("balances", HOST, "/balances/", "balance-svc", "safe", 1500, 500),
        fleet.service("balance-svc", 1180),
        {"resourceKind": "tenants", "metadata": {"name": TENANT}, "spec": tenant},
        fleet.limits(),
    ]
    store.put("config", "main", {"version": 7, "resources": resources})
    settings = fleet.small_settings(store)
    settings["bounds"] |= BOUNDS

    def machine(index):
        gateway = fleet.Gateway(record, f"front-{index}", ZONES[index % 3], copy.deepcopy(settings))
        gateways.append(gateway)
        return gateway

    first = [machine(index) for index in range(MACHINES)]
    seeds = [gateway.control for gateway in first[:REPLACED]]
    for gateway in first:
        gateway.settings["seeds"] = seeds
        gateway.start()
    for gateway in first:
        if not await gateway.wait_ready():
            record.result("cannot run: a machine is not ready")
            return CANNOT_RUN
    await asyncio.sleep(5)

    removed_at = time.monotonic()
    if is_disturbed:
        for gateway in first[:REPLACED]:
            record("removed for good:", gateway.name)
            gateway.end()
    added = [machine(MACHINES + index) for index in range(REPLACED)]
    for gateway in added:
        gateway.settings["seeds"] = seeds
        gateway.start()
    assert time.monotonic() < removed_at + SEED_LAG_S
    await asyncio.sleep(12)  # Longer than `stabilityWindow`, and than members take to find each other.

    machines = [gateway for gateway in first + added if gateway.process.poll() is None]
    clients = Clients(record, machines)
    end = time.monotonic() + TRAFFIC_S
    await asyncio.gather(*(clients.run_group(end, SENT_PER_S / 8) for _ in range(8)))
    await asyncio.gather(*clients.tasks)
    for name, (address, status), count in sorted(
        (gateway.name, key, count) for key, count in clients.answers.items() for gateway in machines if gateway.front[0] == key[0].split(":")[0]
    ):
        record("answers of", name, address, status, count)
    most = most_in_window(clients, servers)
    bound = (RATE_PER_S * QUOTA_WINDOW_S + BURST) * (1 + QUOTA_OVER) + QUOTA_SLACK
    ran = sum(len(server.runs) for server in servers)
    if ran < RATE_PER_S * TRAFFIC_S / 4:
        record.result(f"cannot run: only {ran} requests ran")
        return CANNOT_RUN
    if most > bound:
        record.result(f"QUOTA: {most} requests of the tenant ran in {QUOTA_WINDOW_S:.0f} s, {bound:.0f} are allowed")
        return BROKEN
    record.result(f"held: at most {most} requests of the tenant ran in {QUOTA_WINDOW_S:.0f} s, {bound:.0f} are allowed")
    return HELD


fleet.run_case(case, os.path.dirname(os.path.abspath(__file__)))
