"""Stand-ins for the platform's store, servers and clients, and the start of gatewayd with the command of the deploy file.

Everything listens on loopback addresses that are drawn for each run, on free ports.
"""

import asyncio
import hashlib
import json
import os
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
HELD, BROKEN, CANNOT_RUN = 0, 1, 2

PREFIX = "X-Plantainweir-"


class Record:
    """Writes what was sent, answered and run to a file, with the time since the start of the run."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def __call__(self, *words):
        line = f"{time.monotonic() - self.start:9.3f} " + " ".join(str(word) for word in words)
        self.file.write(line + "\n")
        self.file.flush()

    def result(self, text):
        self("RESULT", text)
        print(text)


# The ports are the same on all machines of a fleet. The metrics port stands in the deploy file.
FIRST_PORT = random.randint(2000, 2900) * 10
PORTS = {name: FIRST_PORT + index for index, name in enumerate(("front", "ready", "control", "directory", "members", "exchange"))}
METRICS_PORT = 9464


def is_free(address, port, kind):
    with socket.socket(socket.AF_INET, kind) as probe:
        try:
            probe.bind((address, port))
            return True
        except OSError:
            return False


def draw_address():
    """Returns a random loopback address on which the ports of a machine are free."""
    while True:
        address = f"127.{random.randint(1, 250)}.{random.randint(1, 250)}.{random.randint(2, 250)}"
        ports = [*PORTS.values(), METRICS_PORT]
        if all(is_free(address, port, kind) for port in ports for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM)):
            return address


async def read_head(reader):
    """Reads the head of a message; returns its first line and its fields by lower-case name, or nothing at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields, until_end=False):
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = bytearray()
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size) if size else b""
            await reader.readline()
            if size == 0:
                return bytes(body)
    if "content-length" in fields:
        return await reader.readexactly(int(fields["content-length"]))
    return await reader.read() if until_end else b""


def message(first_line, fields, body=b""):
    lines = [first_line] + [f"{name}: {value}" for name, value in fields.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Unreadable(bytes):
    """A spec whose bytes another writer stored. The store passes them on as they are."""


def encode_object(item):
    spec = item["spec"]
    text = bytes(spec) if isinstance(spec, Unreadable) else json.dumps(spec).encode()
    metadata = json.dumps(item["metadata"]).encode()
    return b'{"metadata":' + metadata + b',"spec":' + text + b',"status":null}'


class Store:
    """The platform's object store: lists, watches, writes and revisions, with linearizable answers."""

    def __init__(self, record):
        self.record = record
        self.address = draw_address()
        self.objects = {}
        self.events = []
        self.revision = 100
        self.changed = asyncio.Event()
        self.is_silent = False
        self.refuses = None  # Function of the caller's address: whether it is turned away with 503.

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.address, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def put(self, kind, name, spec):
        self.revision += 1
        known = self.objects.setdefault(kind, {}).get(name)
        created = known["metadata"]["createdRev"] if known else self.revision
        item = {
            "metadata": {"name": name, "revision": self.revision, "createdRev": created, "finalizers": [], "deleting": False},
            "spec": spec,
            "status": None,
        }
        self.objects[kind][name] = item
        self.note(kind, item, False)
        return item

    def remove(self, kind, name):
        item = self.objects.get(kind, {}).pop(name, None)
        if item is not None:
            self.revision += 1
            item["metadata"]["revision"] = self.revision
            self.note(kind, item, True)

    def note(self, kind, item, is_deleted):
        event = b'{"deleted":' + (b"true" if is_deleted else b"false") + b',"object":' + encode_object(item) + b"}"
        self.events.append((self.revision, kind, event))
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                line, fields = head
                body = await read_body(reader, fields)
                method, target, _ = line.split(" ")
                if self.is_silent:
                    await asyncio.sleep(3600)
                peer = writer.get_extra_info("peername")[0]
                if self.refuses is not None and self.refuses(peer):
                    status, answer = 503, {}
                else:
                    await asyncio.sleep(0.004)
                    status, answer = await self.answer(method, target, body)
                text = answer if isinstance(answer, bytes) else json.dumps(answer).encode()
                writer.write(
                    message(f"HTTP/1.1 {status} X", {"Content-Type": "application/json", "Content-Length": len(text)}, text)
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, method, target, body):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        parts = [urllib.parse.unquote(part) for part in url.path.split("/")[3:]]
        kind, name = parts[0], parts[1] if len(parts) > 1 else None
        if method == "GET" and name is None and "watch" in query:
            return await self.watch(kind, int(query["watch"]), int(query.get("waitMs", 0)))
        if method == "GET" and name is None:
            return self.list(kind, query.get("after", ""))
        known = self.objects.get(kind, {}).get(name)
        if method == "GET":
            return (200, encode_object(known)) if known else (404, {})
        if method == "DELETE":
            self.remove(kind, name)
            return 200, {}
        sent = json.loads(body)
        name = name or sent["metadata"]["name"]
        if method == "POST" and name in self.objects.get(kind, {}):
            return 409, encode_object(self.objects[kind][name])
        if method == "PUT" and known is None:
            return 404, {}
        if known is not None and known["spec"] == sent.get("spec"):
            return 200, encode_object(known)
        return 200, encode_object(self.put(kind, name, sent.get("spec")))

    def list(self, kind, after):
        names = sorted(name for name in self.objects.get(kind, {}) if name > after)
        items = b",".join(encode_object(self.objects[kind][name]) for name in names[:500])
        has_more = b"true" if len(names) > 500 else b"false"
        return 200, b'{"items":[' + items + b'],"hasMore":' + has_more + b',"storeRevision":%d}' % self.revision

    async def watch(self, kind, since, wait_ms):
        end = time.monotonic() + wait_ms / 1000
        while True:
            events = [event for revision, event_kind, event in self.events if event_kind == kind and revision > since]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, b'{"events":[' + b",".join(events) + b'],"storeRevision":%d}' % self.revision
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Server:
    """One back end. It runs a request for work_s, and answers with its stamp."""

    def __init__(self, record, name, service, zone, slots=3, work_s=0.02):
        self.record = record
        self.name = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.work_s = work_s
        self.address = draw_address()
        self.running = 0
        self.runs = []  # (time, id, method, target, SHA-256 of the body)
        self.sequence = 0
        self.on_request = None  # Coroutine function that answers in its own way; returns whether it did.

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.address, 0, limit=1 << 20, backlog=1024)
        self.port = self.server.sockets[0].getsockname()[1]

    def entry(self, state="ready"):
        self.sequence += 1
        return {
            "service": self.service,
            "address": f"{self.address}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "cold": "0ms",
            "sequence": self.sequence,
            "born": 1790000000000,
        }

    def load(self):
        return f"{self.running},0,{self.slots},100"

    async def serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                line, fields = head
                method, target, _ = line.split(" ")
                if target == "/health":
                    fields = {PREFIX + "Instance-Id": self.name, PREFIX + "Backend-Load": self.load(), "Content-Length": 2}
                    writer.write(message("HTTP/1.1 200 OK", fields, b"ok"))
                    await writer.drain()
                    continue
                if self.on_request is not None and await self.on_request(reader, writer, line, fields):
                    continue
                body = await read_body(reader, fields)
                await self.run(writer, method, target, fields, body)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def run(self, writer, method, target, fields, body):
        request = fields.get("x-plantainweir-request-id", "")
        if fields.get("x-plantainweir-expect-instance", self.name) != self.name:
            answer = {PREFIX + "Instance-Id": self.name, PREFIX + "Request-Id": request, "Content-Length": 0}
            writer.write(message("HTTP/1.1 421 Misdirected Request", answer))
            return
        self.note_run(request, method, target, body)
        self.running += 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        text = f"{self.name} {request}".encode()
        writer.write(message("HTTP/1.1 200 OK", self.answer_fields(request, len(text)), text))
        await writer.drain()

    def note_run(self, request, method, target, body):
        self.runs.append((time.monotonic(), request, method, target, hashlib.sha256(body).hexdigest()))
        self.record("server", self.name, "runs", request, method, target, len(body), "bytes")

    def answer_fields(self, request, length):
        return {
            PREFIX + "Request-Id": request,
            PREFIX + "Response-Stamp": "5a2.600." + self.name,
            PREFIX + "Backend-Load": self.load(),
            "Content-Length": length,
        }


class DownloadServer(Server):
    """Answers requests for paths that end in /all with answer_bytes bytes, and others as Server does."""

    def __init__(self, record, name, service, zone, answer_bytes, work_s):
        super().__init__(record, name, service, zone, work_s=work_s)
        self.answer_bytes = answer_bytes

    async def run(self, writer, method, target, fields, body):
        if not target.endswith("/all"):
            await super().run(writer, method, target, fields, body)
            return
        request = fields["x-plantainweir-request-id"]
        self.note_run(request, method, target, body)
        await asyncio.sleep(self.work_s)
        text = b"s" * self.answer_bytes
        writer.write(message("HTTP/1.1 200 OK", self.answer_fields(request, len(text)), text))
        await writer.drain()
        self.record("server", self.name, "has sent its whole answer", request)

    def has_run(self, request):
        return any(run[1] == request for run in self.runs)


class Gateway:
    """One gatewayd process, started with the command and the environment of the deploy file."""

    def __init__(self, record, name, zone, settings, address=None):
        self.record = record
        self.name = name
        self.address = address or draw_address()
        self.settings = {
            "node": name,
            "zone": zone,
            "ip": self.address,
            "listen": {key: f"{self.address}:{PORTS[key]}" for key in ("front", "ready", "control", "directory")},
            "internalPortRange": [PORTS["members"], PORTS["exchange"]],
            "bootstrap": False,
            **settings,
        }
        self.front = (self.address, PORTS["front"])
        self.ready = (self.address, PORTS["ready"])
        self.directory = (self.address, PORTS["directory"])
        self.control = self.settings["listen"]["control"]
        self.settings["seeds"] = self.settings.get("seeds") or [self.control]
        self.process = None

    def fill(self, text):
        def value(match):
            found = self.settings
            for key in match.group(1).split("."):
                found = found[int(key)] if isinstance(found, list) else found.get(key, "")
            if isinstance(found, bool):
                return str(found).lower()
            return ",".join(found) if isinstance(found, list) else str(found)

        return re.sub(r"{{([^}]+)}}", value, text)

    def start(self, log=None):
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            role = tomllib.load(file)["roles"]["gateway"]
        command = [self.fill(word) for word in role["run"].split(" ")]
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment |= {name: self.fill(text) for name, text in role["env"].items()}
        output = open(log, "ab") if log else subprocess.DEVNULL
        self.process = subprocess.Popen(command, cwd=ROOT, env=environment, stdout=output, stderr=output, stdin=subprocess.DEVNULL)
        self.record("start", self.name, "pid", self.process.pid)

    def send(self, number):
        self.record("signal", signal.Signals(number).name, self.name)
        self.process.send_signal(number)

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    def memory_mb(self, field="VmRSS"):
        try:
            with open(f"/proc/{self.process.pid}/status", encoding="ascii") as file:
                for line in file:
                    if line.startswith(field + ":"):
                        return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0.0

    async def is_ready(self):
        try:
            answer = await asyncio.wait_for(call(self.ready, "GET", "/v1/ready", {"Host": "ready"}), 1)
            return answer is not None and answer[0] == 200
        except (OSError, asyncio.TimeoutError):
            return False

    async def wait_ready(self, seconds=15):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.1)
        return False


async def read_answer(reader):
    """Returns status, fields and body of the next answer; nothing if the connection ends before it is complete."""
    while True:
        head = await read_head(reader)
        if head is None:
            return None
        status = int(head[0].split(" ")[1])
        if status >= 200:
            break
    try:
        return status, head[1], await read_body(reader, head[1], until_end=True)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None


async def call(endpoint, method, target, fields, body=None):
    """Sends one request on a new connection; see read_answer()."""
    reader, writer = await asyncio.open_connection(*endpoint, limit=1 << 20)
    try:
        if body is not None:
            fields = {**fields, "Content-Length": len(body)}
        writer.write(message(f"{method} {target} HTTP/1.1", fields, body or b""))
        return await read_answer(reader)
    except ConnectionError:
        return None
    finally:
        writer.close()


class Line:
    """A client's access line to one machine: requests pass at once, answers at the pace of the line. Its segments are those of a
    network; the loopback device has segments of 64 KiB."""

    SEGMENT_BYTES = 1_400
    BUFFER_BYTES = 16_384
    PART_BYTES = 4_096

    def __init__(self, gateway, bytes_per_s):
        self.gateway = gateway
        self.bytes_per_s = bytes_per_s

    async def start(self):
        self.server = await asyncio.start_server(self.serve, draw_address(), 0)
        self.endpoint = self.server.sockets[0].getsockname()[:2]

    async def connect(self):
        line = socket.socket()
        line.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, self.SEGMENT_BYTES)
        line.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.BUFFER_BYTES)
        line.setblocking(False)
        await asyncio.get_running_loop().sock_connect(line, self.gateway.front)
        return await asyncio.open_connection(sock=line, limit=self.PART_BYTES)

    async def serve(self, reader, writer):
        far_reader, far_writer = await self.connect()

        async def forward_requests():
            while data := await reader.read(65536):
                far_writer.write(data)

        requests = asyncio.create_task(forward_requests())
        try:
            await self.forward_answers(far_reader, writer)
        except ConnectionError:
            pass
        finally:
            requests.cancel()
            writer.close()
            far_writer.close()

    async def forward_answers(self, far_reader, writer):
        start, passed = time.monotonic(), 0
        while data := await far_reader.read(self.PART_BYTES):
            writer.write(data)
            await writer.drain()
            passed += len(data)
            await asyncio.sleep(max(0.0, start + passed / self.bytes_per_s - time.monotonic()))


async def download(record, endpoint, host, targets, request, deadline_ms):
    """Fetches a small answer and then a large one on the same connection; returns the large one's status, its length and the
    received bytes of its body."""
    reader, writer = await asyncio.open_connection(*endpoint, limit=1 << 20)
    fields = {"Host": host, PREFIX + "Request-Id": request_id(), PREFIX + "Deadline-Ms": deadline_ms}
    writer.write(message(f"GET {targets[0]} HTTP/1.1", fields))
    first = await read_answer(reader)
    if first is None or first[0] != 200:
        record("client got no first answer", request)
        return -1, 0, 0
    fields[PREFIX + "Request-Id"] = request
    writer.write(message(f"GET {targets[1]} HTTP/1.1", fields))
    record("client sends", request, "GET", targets[1], "on the same connection")
    head = await read_head(reader)
    if head is None:
        record("client got", request, "nothing")
        return 0, 0, 0
    line, fields = head
    length, received = int(fields["content-length"]), 0
    try:
        while received < length and (data := await reader.read(65536)):
            received += len(data)
    except ConnectionError:
        pass
    writer.close()
    record("client got", request, line, f"{received} of {length} bytes;", "connection:", fields.get("connection", "kept"))
    return int(line.split(" ")[1]), length, received


def request_id():
    return f"{random.getrandbits(64):016x}"


def route(name, host, prefix, service, kind, timeout_ms, target_ms, priority=0, attempts=2, **more):
    spec = {
        "host": host,
        "pathPrefix": prefix,
        "kind": kind,
        "timeout": f"{timeout_ms}ms",
        "targetLatency": f"{target_ms}ms",
        "priority": priority,
        "maxAttempts": attempts,
        **more,
    }
    if service:
        spec["service"] = service
    return {"resourceKind": "routes", "metadata": {"name": name}, "spec": spec}


def service(name, connections=220):
    spec = {"healthPath": "/health", "maxConnections": connections, "protocol": "h1", "tls": False}
    return {"resourceKind": "services", "metadata": {"name": name}, "spec": spec}


def limits(body_bytes=67108864):
    spec = {"maxHeaderBytes": 16384, "maxBodyBytes": body_bytes, "headerTimeout": "3000ms", "idleTimeout": "15000ms"}
    return {"resourceKind": "limits", "metadata": {}, "spec": spec}


# Figures of sites/nbr-gate.toml.
SMALL_BOUNDS = {
    "budgetRatio": "0.2",
    "budgetSlack": "56",
    "budgetWindow": "10s",
    "probesPerS": "60",
    "config": "2000ms",
    "drain": "2000ms",
    "grace": "6s",
}
SMALL_LIMITS = {"cpuShare": "0.2", "memoryMb": "260", "maxFds": "4100"}


def small_settings(store, seeds=(), **more):
    return {
        "platform": {"address": f"{store.address}:{store.port}"},
        "seeds": list(seeds),
        "bounds": dict(SMALL_BOUNDS),
        "limits": dict(SMALL_LIMITS),
        **more,
    }


async def within(coroutine, seconds):
    # Connections that are still open at the end are cancelled, which is no error.
    asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
    return await asyncio.wait_for(coroutine, seconds)


def run_case(case, folder):
    """Runs the coroutine function case(record, is_disturbed, temporary folder) and exits with its result."""
    record = Record(os.path.join(folder, "record.txt"))
    is_disturbed = os.environ.get("TROUBLE", "1") != "0"
    gateways = []
    try:
        with tempfile.TemporaryDirectory() as temporary:
            status = asyncio.run(within(case(record, is_disturbed, gateways, temporary), 115))
    except (OSError, asyncio.TimeoutError, AssertionError) as error:
        record.result(f"cannot run: {error!r}")
        status = CANNOT_RUN
    finally:
        for gateway in gateways:
            gateway.end()
    sys.exit(status)
