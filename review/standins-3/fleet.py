"""Stand-ins of the platform's store, backends and clients, and the start of gatewayd with the command of the deploy file.

All addresses are loopback addresses; each run takes IP addresses of its own and free ports.
"""
import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import tempfile
import time
import tomllib
import urllib.parse

REPOSITORY = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = os.path.join(REPOSITORY, "target", "bin", "plantainweir-gatewayd")


class CannotRun(Exception):
    """The case could not be played."""


class Record:
    """Writes what happened to record.txt."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()

    def close(self):
        self.file.close()


def free_port(address):
    with socket.socket() as probe:
        probe.bind((address, 0))
        return probe.getsockname()[1]


class Message:
    def __init__(self, line, fields, body):
        self.line = line
        self.fields = fields
        self.body = body

    def field(self, name):
        return self.fields.get(name.lower(), "")

    @property
    def status(self):
        return int(self.line.split(" ")[1])


async def read_head(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = head.split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            fields.setdefault(name.strip().lower(), value.strip())
    return lines[0], fields


async def read_message(reader):
    """Reads a message whose body has a length or comes in chunks."""
    line, fields = await read_head(reader)
    body = b""
    if "chunked" in fields.get("transfer-encoding", "").lower():
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                break
    elif int(fields.get("content-length", "0")) > 0:
        body = await reader.readexactly(int(fields["content-length"]))
    return Message(line, fields, body)


class Store:
    """The platform's metadata store: objects by kind and name, one revision counter, lists and watches."""

    def __init__(self, address, record, history_s=20.0):
        self.address = address
        self.port = free_port(address)
        self.record = record
        self.objects = {}
        self.revision = 1
        self.era = 1
        self.events = []  # (revision, time, kind, object, isDeleted)
        self.forgotten = 0  # Revisions up to this one are no longer in the history.
        self.history_s = history_s
        self.changed = asyncio.Event()
        self.is_away = False
        self.writers = set()
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.address, self.port)

    def endpoint(self):
        return f"{self.address}:{self.port}"

    def note(self, kind, entry, is_deleted):
        self.events.append((self.revision, time.monotonic(), kind, json.loads(json.dumps(entry)), is_deleted))
        while self.events and self.events[0][1] < time.monotonic() - self.history_s:
            self.forgotten = self.events.pop(0)[0]
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, kind, name, spec):
        """Writes an object and returns its revision."""
        known = self.objects.setdefault(kind, {}).get(name)
        if known is not None and known["spec"] == spec:
            return known["metadata"]["revision"]
        self.revision += 1
        created = known["metadata"]["createdRev"] if known else self.revision
        entry = {
            "metadata": {"name": name, "revision": self.revision, "createdRev": created, "finalizers": [], "deleting": False},
            "spec": json.loads(json.dumps(spec)),
            "status": None,
        }
        self.objects[kind][name] = entry
        self.note(kind, entry, False)
        return self.revision

    def delete(self, kind, name):
        entry = self.objects.get(kind, {}).pop(name, None)
        if entry is not None:
            self.revision += 1
            entry["metadata"]["revision"] = self.revision
            self.note(kind, entry, True)

    def copy(self):
        """Returns a copy of what the store holds now."""
        return json.loads(json.dumps(self.objects)), self.revision, list(self.events), self.forgotten

    async def return_from(self, copy, away_s):
        """Is away for @p away_s, and comes back from @p copy in the next era."""
        self.is_away = True
        for writer in list(self.writers):
            writer.transport.abort()
        await asyncio.sleep(away_s)
        self.objects, self.revision, self.events, self.forgotten = copy
        self.era += 1
        self.is_away = False

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while not self.is_away:
                request = await read_message(reader)
                status, body = await self.answer(request)
                if self.is_away:
                    break
                data = json.dumps(body).encode()
                writer.write(
                    f"HTTP/1.1 {status} Any\r\nContent-Type: application/json\r\nStore-Era: {self.era}\r\nContent-Length: {len(data)}\r\n\r\n".encode() + data
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()

    async def answer(self, request):
        method, target, _ = request.line.split(" ")
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        parts = [urllib.parse.unquote(part) for part in url.path.split("/")[3:]]
        await asyncio.sleep(0.004)
        if method == "GET" and len(parts) == 1:
            if "watch" in query:
                return await self.watch(parts[0], int(query["watch"]), int(query.get("waitMs", "0")) / 1000.0)
            return self.list(parts[0], query.get("after", ""))
        return self.write(method, parts, json.loads(request.body or b"{}"))

    def list(self, kind, after):
        names = sorted(name for name in self.objects.get(kind, {}) if name > after)
        items = [self.objects[kind][name] for name in names[:500]]
        return 200, {"items": items, "hasMore": len(names) > 500, "storeRevision": self.revision}

    async def watch(self, kind, since, wait_s):
        end = time.monotonic() + wait_s
        while True:
            if since > self.revision or since < self.forgotten:
                return 410, {}
            events = [{"object": entry, "deleted": deleted} for revision, _, of, entry, deleted in self.events if of == kind and revision > since]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "storeRevision": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def write(self, method, parts, body):
        kind = parts[0]
        name = parts[1] if len(parts) > 1 else body.get("metadata", {}).get("name", "")
        known = self.objects.get(kind, {}).get(name)
        condition = body.get("metadata", {}).get("revision")
        if method == "POST":
            if known:
                return 409, known
            self.put(kind, name, body.get("spec"))
            return 201, self.objects[kind][name]
        if known is None:
            return 404, {}
        if condition is not None and condition != known["metadata"]["revision"]:
            return 409, known
        if method == "DELETE":
            self.delete(kind, name)
            return 200, known
        if method == "PUT" and len(parts) == 2:
            self.put(kind, name, body.get("spec"))
            return 200, self.objects[kind][name]
        return 400, {}


class Backend:
    """A backend of one service. It registers in the store, sends heartbeats, and records what it runs."""

    def __init__(self, address, zone, service, store, record, work_s=0.03, slots=6, body=b"done", heartbeat_s=1.5):
        self.address = address
        self.port = free_port(address)
        self.id = f"i-{random.randrange(16 ** 8):08x}"
        self.zone = zone
        self.service = service
        self.store = store
        self.record = record
        self.work_s = work_s
        self.slots = slots
        self.body = body
        self.heartbeat_s = heartbeat_s
        self.running = 0
        self.ran = []  # (time, request id, tenant, path)
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.tasks = []

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.address, self.port)
        self.beat()
        self.tasks.append(asyncio.ensure_future(self.keep_beating()))

    def beat(self):
        self.sequence += 1
        self.store.put("servers", self.id, {
            "service": self.service, "address": f"{self.address}:{self.port}", "zone": self.zone, "version": "v1", "slots": self.slots,
            "state": self.state, "cold": "0ms", "sequence": self.sequence, "born": self.born,
        })

    async def keep_beating(self):
        await asyncio.sleep(random.uniform(0.0, self.heartbeat_s))
        while True:
            await asyncio.sleep(self.heartbeat_s)
            if not self.store.is_away:
                self.beat()

    def load(self):
        return f"X-Plantainweir-Backend-Load: {self.running},0,{self.slots},100\r\n"

    async def serve(self, reader, writer):
        try:
            while True:
                request = await read_message(reader)
                await self.handle(request, writer)
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError, ValueError):
            pass
        finally:
            writer.transport.abort()

    async def handle(self, request, writer):
        method, target, _ = request.line.split(" ")
        if target == "/health":
            writer.write(f"HTTP/1.1 200 OK\r\nX-Plantainweir-Instance-Id: {self.id}\r\n{self.load()}Content-Length: 0\r\n\r\n".encode())
            await writer.drain()
            return
        identity = request.field("X-Plantainweir-Request-Id")
        expected = request.field("X-Plantainweir-Expect-Instance")
        if expected and expected != self.id:
            writer.write(f"HTTP/1.1 421 Misdirected Request\r\nX-Plantainweir-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n".encode())
            return
        if not identity:
            writer.write(b"HTTP/1.1 400 Bad Request\r\nX-Plantainweir-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
            return
        tenant = request.field("X-Plantainweir-Tenant")
        self.ran.append((self.record.now(), identity, tenant, target))
        self.record.write(f"backend {self.service} {self.id} runs {method} {target} id={identity} tenant={tenant or '-'} body={len(request.body)}")
        self.running += 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        head = (
            f"HTTP/1.1 200 OK\r\nX-Plantainweir-Request-Id: {identity}\r\nX-Plantainweir-Response-Stamp: {self.id}.{identity}\r\n"
            f"{self.load()}Content-Length: {len(self.body)}\r\n\r\n"
        )
        writer.write(head.encode() + self.body)
        await writer.drain()


class Settings:
    """The fields of a small deployment, as the platform would fill them into the deploy file."""

    def __init__(self, bounds, limits, platform, node, zone, ip, listen, ports, seeds, bootstrap=True):
        self.fields = {
            "node": node, "zone": zone, "ip": ip, "listen": listen, "internalPortRange": ports, "seeds": seeds,
            "bounds": bounds, "limits": limits, "platform": platform, "bootstrap": bootstrap,
        }

    def fill(self, text):
        def value(match):
            found = self.fields
            for part in match.group(1).split("."):
                found = found[int(part)] if isinstance(found, list) else found.get(part, "")
            if isinstance(found, list):
                return ",".join(str(item) for item in found)
            return str(found).lower() if isinstance(found, bool) else str(found)

        return re.sub(r"\{\{([A-Za-z0-9_.]+)\}\}", value, text)


class Gateway:
    """A process of gatewayd, started with the command of the deploy file."""

    def __init__(self, settings, folder, record):
        with open(os.path.join(REPOSITORY, "deploy", "system.toml"), "rb") as file:
            role = tomllib.load(file)["roles"]["gateway"]
        words = settings.fill(role["run"]).split(" ")
        self.arguments = [os.path.join(REPOSITORY, words[0])] + words[1:]
        self.environment = {name: settings.fill(text) for name, text in role["env"].items()}
        for name in ("PATH", "HOME", "LANG"):
            if name in os.environ:
                self.environment[name] = os.environ[name]
        self.node = settings.fields["node"]
        self.front = settings.fields["listen"]["front"]
        self.ready = settings.fields["listen"]["ready"]
        self.folder = folder
        self.record = record
        self.process = None

    async def start(self):
        self.log = open(os.path.join(self.folder, f"{self.node}.log"), "ab")
        self.process = await asyncio.create_subprocess_exec(*self.arguments, env=self.environment, cwd=REPOSITORY, stdout=self.log, stderr=self.log)
        self.record.write(f"{self.node} started, pid {self.process.pid}, front {self.front}")

    def signal(self, number):
        self.record.write(f"{self.node} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def end(self):
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        self.log.close()

    async def wait_ready(self, limit_s=25.0):
        end = time.monotonic() + limit_s
        host, port = self.ready.split(":")
        while time.monotonic() < end:
            if self.process.returncode is not None:
                raise CannotRun(f"{self.node} ended with {self.process.returncode}")
            try:
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(f"GET /v1/ready HTTP/1.1\r\nHost: {self.ready}\r\n\r\n".encode())
                answer = await asyncio.wait_for(read_message(reader), 1.0)
                writer.close()
                if answer.status == 200:
                    self.record.write(f"{self.node} is ready")
                    return
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.1)
        raise CannotRun(f"{self.node} is not ready")


def address_block():
    """Returns the beginning of loopback addresses that nothing else here uses."""
    return f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}."


def request_id():
    return f"{random.randrange(16 ** 16):016x}"


class Deployment:
    """A store, and gateways of one zone that read it."""

    def __init__(self, record, bounds, limits, gateways=1, history_s=20.0):
        if not os.path.exists(PROGRAM):
            raise CannotRun(f"{PROGRAM} is missing: run the build of the deploy file")
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="plantainweir-review-")
        self.block = address_block()
        self.store = Store(self.block + "250", record, history_s)
        self.backends = []
        self.gateways = []
        ips = [f"{self.block}{number + 1}" for number in range(gateways)]
        front, ready, directory, control, membership, exchange = self.free_ports(ips)
        for number, ip in enumerate(ips):
            listen = {"front": f"{ip}:{front}", "ready": f"{ip}:{ready}", "directory": f"{ip}:{directory}", "control": f"{ip}:{control}"}
            settings = Settings(bounds, limits, {"address": self.store.endpoint()}, f"front-{number + 1}", "zone-a", ip, listen, [membership, exchange],
                                [f"{other}:{control}" for other in ips[:3]])
            self.gateways.append(Gateway(settings, self.folder, record))

    @staticmethod
    def free_ports(ips):
        ports = set()
        while len(ports) < 6:
            port = free_port(ips[0])
            try:
                for ip in ips:
                    with socket.socket() as probe:
                        probe.bind((ip, port))
            except OSError:
                continue
            ports.add(port)
        return sorted(ports)

    async def add_backend(self, service, **options):
        backend = Backend(f"{self.block}{100 + len(self.backends)}", "zone-a", service, self.store, self.record, **options)
        await backend.start()
        self.backends.append(backend)
        return backend

    async def start(self, configuration):
        await self.store.start()
        self.configure(configuration)

    def configure(self, configuration):
        revision = self.store.put("config", "main", configuration)
        self.record.write(f"operator: version {configuration['version']} acknowledged at revision {revision}")

    async def start_gateways(self):
        for gateway in self.gateways:
            await gateway.start()
        for gateway in self.gateways:
            await gateway.wait_ready()

    async def end(self):
        for gateway in self.gateways:
            if gateway.process is not None:
                await gateway.end()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def route(name, host, prefix, service, kind="safe", timeout="1500ms", target="500ms", priority=0, attempts=2):
    return {"resourceKind": "routes", "metadata": {"name": name},
            "spec": {"host": host, "pathPrefix": prefix, "kind": kind, "timeout": timeout, "targetLatency": target, "priority": priority, "service": service,
                     "maxAttempts": attempts, "public": False}}


def service(name, connections=1180):
    return {"resourceKind": "services", "metadata": {"name": name},
            "spec": {"healthPath": "/health", "maxConnections": connections, "protocol": "h1", "tls": False, "slowStart": "3s"}}


def tenant(name, keys, rate=0):
    return {"resourceKind": "tenants", "metadata": {"name": name}, "spec": {"apiKeys": keys, "priority": 1, "ratePerS": rate, "burst": rate}}


def limits(body=67108864, header_timeout="3000ms", idle_timeout="15000ms"):
    return {"resourceKind": "limits", "metadata": {},
            "spec": {"maxHeaderBytes": 16384, "maxBodyBytes": body, "headerTimeout": header_timeout, "idleTimeout": idle_timeout}}


def run(case, folder):
    """Plays @p case, a coroutine function of a record and a flag; ends with the status that the review asks for."""
    record = Record(os.path.join(folder, "record.txt"))
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"TROUBLE={1 if has_trouble else 0}")
    try:
        is_broken = asyncio.run(asyncio.wait_for(case(record, has_trouble), 115))
        record.write("the rule was broken" if is_broken else "the rule held")
        print("the rule was broken" if is_broken else "the rule held")
        status = 1 if is_broken else 0
    except CannotRun as error:
        record.write(f"could not run: {error}")
        print(f"could not run: {error}")
        status = 2
    except Exception as error:  # pylint: disable=broad-except
        record.write(f"could not run: {type(error).__name__} {error}")
        print(f"could not run: {type(error).__name__} {error}")
        status = 2
    record.close()
    return status
