"""A small deployment on loopback: store, searchers and nodes.

The store and the searchers are stand-ins that follow the users' PROTOCOL.md.
The nodes are the daemon as deploy/system.toml starts it, with the settings
that deploy/settings.template gives. Nothing here needs more than Python 3.
"""
import asyncio
import base64
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

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))


def end_on_term(*_):
    """Leaves through the finally clauses, which end the nodes."""
    raise SystemExit(2)


signal.signal(signal.SIGTERM, end_on_term)


class CannotRun(Exception):
    """The case can't run here; the script ends with status 2."""


class Record:
    """Writes what was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def write(self, text):
        self.file.write(f"{time.monotonic() - self.start:9.3f} {text}\n")

    def close(self):
        self.file.close()


# --- HTTP ------------------------------------------------------------------

class Message:
    def __init__(self, first, headers, body):
        self.first = first
        self.headers = headers  # list of (name, value)
        self.body = body

    def get(self, name, default=""):
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return default

    @property
    def status(self):
        return int(self.first.split(" ")[1])


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers.append((name, value.strip()))
    return Message(lines[0], headers, b"")


async def read_message(reader, response=False, on_head=None):
    """A whole message; None if the connection ends between messages."""
    try:
        message = await read_head(reader)
        if on_head:
            on_head(message)
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None
    if message.get("Transfer-Encoding").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                break
            body += chunk[:-2]
        message.body = body
        return message
    length = message.get("Content-Length")
    if length:
        message.body = await reader.readexactly(int(length))
    elif response and message.status >= 200 and message.status not in (204, 304):
        message.body = await reader.read(-1)
    return message


REASONS = {200: "OK", 404: "Not Found", 410: "Gone", 412: "Precondition Failed",
           421: "Misdirected Request", 429: "Too Many Requests",
           500: "Internal Server Error", 503: "Service Unavailable"}


def response_bytes(status, headers, body=b""):
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


def request_bytes(method, path, headers, body=b""):
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines + ["", ""]).encode("latin-1") + body


# --- The platform's store ----------------------------------------------------

class Store:
    """The platform's metadata store, as the pages describe it."""

    def __init__(self, record):
        self.record = record
        self.revision = 100
        self.items = {}
        self.history = []
        self.lease = 70000
        self.changed = asyncio.Event()
        self.server = None
        self.address = ""

    async def start(self, host):
        self.server = await asyncio.start_server(self.serve, host, 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    def put(self, key, value, lease=0):
        self.revision += 1
        created = self.items[key]["CreatedRev"] if key in self.items else self.revision
        self.items[key] = {"Key": key, "Value": base64.b64encode(value).decode(),
                           "Revision": self.revision, "CreatedRev": created,
                           "Lease": lease}
        self.history.append(self.items[key])
        self.wake()
        return self.revision

    def remove(self, key):
        if key not in self.items:
            return
        self.revision += 1
        del self.items[key]
        self.history.append({"Key": key, "Revision": self.revision, "Removed": True})
        self.wake()

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer):
        try:
            while True:
                call = await read_message(reader)
                if call is None:
                    break
                status, body = await self.answer(call)
                writer.write(response_bytes(
                    status, [("Content-Type", "application/json")],
                    json.dumps(body).encode()))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, call):
        method, target, _ = call.first.split(" ")
        path, _, query = target.partition("?")
        parameters = {}
        for pair in query.split("&"):
            name, _, value = pair.partition("=")
            parameters[name] = re.sub("%([0-9A-Fa-f]{2})",
                                      lambda m: chr(int(m[1], 16)), value)
        if path == "/kv-key":
            item = self.items.get(parameters["Key"])
            return (200, dict(item, AtRev=self.revision)) if item else (404, {"AtRev": self.revision})
        if path == "/kv-range":
            keys = sorted(k for k in self.items if k.startswith(parameters["PathPrefix"])
                          and k > parameters.get("after", ""))
            return 200, {"items": [self.items[k] for k in keys[:500]],
                         "MorePages": len(keys) > 500, "AtRev": self.revision}
        if path == "/kv-watch":
            return await self.watch(parameters)
        if path == "/kv-txn":
            return self.transaction(json.loads(call.body))
        if path == "/kv-lease":
            self.lease += 1
            return 200, {"Lease": self.lease, "TtlMs": json.loads(call.body)["TtlMs"]}
        if path.startswith("/kv-keep/"):
            return 200, {"TtlMs": 600000}
        if path.startswith("/kv-lease-end/"):
            return 200, {}
        return 404, {}

    async def watch(self, parameters):
        after = int(parameters["after"])
        end = time.monotonic() + int(parameters["WaitMs"]) / 1000
        while True:
            events = [e for e in self.history if e["Revision"] > after
                      and e["Key"].startswith(parameters["PathPrefix"])]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "AtRev": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def transaction(self, body):
        for row in body.get("Precondition", []):
            item = self.items.get(row["Key"])
            if (item["Revision"] if item else 0) != row["Revision"]:
                return 412, {"items": [self.items[r["Key"]] for r in body["Precondition"]
                                       if r["Key"] in self.items]}
        for write in body.get("Writes", []):
            self.put(write["Key"], base64.b64decode(write["Value"]), write.get("Lease", 0))
        for key in body.get("Deletes", []):
            self.remove(key)
        return 200, {"Revision": self.revision}


# --- Searchers -----------------------------------------------------------------

class Searcher:
    """One searcher: it runs `slots` requests at once and queues a few more."""

    def __init__(self, store, record, name, service, zone, slots=2, queue=12,
                 work_s=0.01, records=8, address=None):
        self.store, self.record = store, record
        self.name, self.service, self.zone = name, service, zone
        self.slots, self.queue, self.work_s, self.records = slots, queue, work_s, records
        self.address = address
        self.sequence = 0
        self.running = self.waiting = 0
        self.free = asyncio.Condition()
        self.state = "ready"
        self.cold_until = 0.0
        self.born = 0
        self.server = None
        self.writers = set()
        self.begun = set()   # ids of requests that have begun to arrive
        self.arrivals = []   # (time, id)
        self.runs = []       # (time, id, method, path, body)
        self.bodies = {}     # stamp: body

    async def start(self, host="127.0.0.1", port=0, backlog=100):
        self.born = int(time.time() * 1000)
        self.server = await asyncio.start_server(self.serve, host, port, backlog=backlog)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        self.tell()

    def warmup_left_ms(self):
        return max(0, int((self.cold_until - time.monotonic()) * 1000))

    def tell(self):
        self.sequence += 1
        self.store.put("servers/" + self.name, json.dumps({
            "Backend": self.service, "Address": self.address, "Zone": self.zone,
            "Version": "v1", "Capacity": self.slots, "State": self.state,
            "WarmupLeftMs": self.warmup_left_ms(), "SeqNo": self.sequence,
            "born": self.born}).encode())

    def stop(self):
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    def load(self):
        return f"{self.running},{self.waiting},{self.slots}"

    async def serve(self, reader, writer):
        self.writers.add(writer)
        writer.reader = reader
        try:
            while True:
                call = await read_message(
                    reader, on_head=lambda head: self.begun.add(head.get("Request-Id")))
                if call is None:
                    break
                await self.handle(call, writer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, call, writer):
        method, path, _ = call.first.split(" ")
        identity = call.get("Request-Id")
        fields = [("Request-Id", identity), ("Server-Load", self.load())]
        if path == "/healthz":
            writer.write(response_bytes(200, [("Instance-Id", self.name),
                                              ("Warmup-Ms", self.warmup_left_ms()),
                                              ("Server-Load", self.load())]))
            return
        if call.get("Expect-Instance", self.name) != self.name:
            writer.write(response_bytes(421, fields + [("Instance-Id", self.name),
                                                       ("Not-Executed", "1")]))
            return
        self.arrivals.append((time.monotonic(), identity))
        self.on_arrival(call, identity)
        if self.running >= self.slots and self.waiting >= self.queue:
            writer.write(response_bytes(503, fields + [("Not-Executed", "1")]))
            return
        async with self.free:
            self.waiting += 1
            try:
                while self.running >= self.slots:
                    await self.free.wait()
            finally:
                self.waiting -= 1
            self.running += 1
        try:
            self.runs.append((time.monotonic(), identity, method, path, call.body))
            self.record.write(f"run {identity} at {self.name}")
            await asyncio.sleep(self.work_s)
            stamp = f"{self.name}.{len(self.runs)}.{random.getrandbits(32):08x}"
            body = random.randbytes(16 * self.records)
            self.bodies[stamp] = body
            fields = [("Request-Id", identity), ("Server-Load", self.load()),
                      ("Server-Stamp", stamp)]
            await self.reply(writer, fields, body, identity)
        finally:
            async with self.free:
                self.running -= 1
                self.free.notify()

    @staticmethod
    def is_gone(writer):
        """Whether the other side has closed or reset the connection."""
        return (writer.transport.is_closing() or writer.reader.at_eof()
                or writer.reader.exception() is not None)

    def on_arrival(self, call, identity):
        pass

    async def reply(self, writer, fields, body, identity):
        writer.write(response_bytes(200, fields, body))


# --- Nodes --------------------------------------------------------------------------

def lookup(name, scopes):
    if name == ".":
        return scopes[-1].get(".")
    for scope in reversed(scopes):
        value = scope
        for part in name.split("."):
            if isinstance(value, dict) and part in value:
                value = value[part]
            elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
                value = value[int(part)]
            else:
                value = None
                break
        if value is not None:
            return value
    return None


def text_of(value):
    if value is None:
        return ""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, list):
        return ",".join(text_of(v) for v in value)
    return json.dumps(value) if isinstance(value, dict) else str(value)


def render(template, scopes):
    """Fills in a template as DEPLOY.md tells."""
    section = re.search(r"\{\{([#^])([^}]+)\}\}(.*?)\{\{/\2\}\}", template, re.S)
    if section:
        before, after = template[:section.start()], template[section.end():]
        value = lookup(section[2], scopes)
        inner = ""
        if section[1] == "^":
            inner = render(section[3], scopes) if not value else ""
        elif isinstance(value, (dict, list)):
            pairs = list(value.items()) if isinstance(value, dict) else list(enumerate(value))
            for place, (key, entry) in enumerate(pairs):
                scope = dict(entry) if isinstance(entry, dict) else {}
                scope.update({".": entry, "@": str(key),
                              ",": "," if place + 1 < len(pairs) else ""})
                inner += render(section[3], scopes + [scope])
        elif value is not None and value is not False:
            inner = render(section[3], scopes)
        return render(before, scopes) + inner + render(after, scopes)
    return re.sub(r"\{\{([^}]+)\}\}", lambda m: text_of(lookup(m[1], scopes)), template)


BOUNDS = dict(SeedLagS=3, AddrReuseS=2, ContactMs=4000, AckMs=5000, CatchUpS=4,
              DrainMs=3000, GraceS=6, LossSlackMs=200, ConfigApplyMs=3000,
              RollbackSlackMs=250, MaxSkewMs=12000, RetryRatio=0.2, RetryWindowS=10,
              RetrySlack=58, WarmupOvershoot=1.5, WarmupSlack=5, EvacuateMs=5000,
              RecoveryS=12, ttl_max_s=5)


class Node:
    def __init__(self, fleet, index, zone):
        self.fleet, self.zone = fleet, zone
        self.ip = f"127.{fleet.block}.1.{index + 1}"
        self.name = f"frontend-{zone}-{index + 1}"
        self.process = None
        self.log = os.path.join(fleet.folder, self.name + ".log")

    @property
    def caller(self):
        return f"{self.ip}:8104"

    @property
    def directory(self):
        return f"{self.ip}:8100"

    @property
    def ready(self):
        return f"{self.ip}:8108"

    async def start(self):
        fleet = self.fleet
        settings = dict(
            NodeName=self.name, Role="entry", MachineClass="frontend", Ip=self.ip,
            Zone=self.zone, Region="sul-rs", PortRange=[7380, 7395],
            SeedNodes=[f"{n.ip}:8106" for n in fleet.nodes[:3]],
            Zones={zone: "sul-rs" for zone in fleet.zones},
            Listen={"Frontend": self.caller, "Ready": self.ready,
                    "Control": f"{self.ip}:8106", "directory": self.directory},
            Limits=dict(dict(CpuShare=0.25, Cores=1, MemoryMb=260, MaxFds=4100,
                             LinkMbps=1000.0, DiskMb=0), **fleet.limits),
            Bounds=dict(BOUNDS, **fleet.bounds),
            platform=dict(Address=fleet.store.address, form="kv", WritesPerS=400,
                          ReadsPerS=2000, HistoryS=20, MaxValueBytes=1048576,
                          MinTtlMs=1000))
        path = os.path.join(fleet.folder, self.name + ".toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(render(fleet.template, [settings]))
        words = [w.replace("/etc/verbenachute/settings.toml", path)
                 for w in fleet.command.split(" ")]
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environment["VERBENACHUTE_BOOT"] = path
        with open(self.log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *words, cwd=ROOT, env=environment, stdout=log, stderr=log)
        fleet.record.write(f"start {self.name} at {self.ip}")

    def signal(self, number):
        if self.process and self.process.returncode is None:
            self.fleet.record.write(f"signal {signal.Signals(number).name} to {self.name}")
            self.process.send_signal(number)

    def resident_mb(self):
        try:
            with open(f"/proc/{self.process.pid}/status", encoding="utf-8") as file:
                return int(re.search(r"VmRSS:\s+(\d+)", file.read())[1]) / 1024
        except (OSError, TypeError):
            return 0.0


class Fleet:
    """Nodes of a small deployment."""

    def __init__(self, store, record, zones, counts, bounds=None, limits=None):
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            role = tomllib.load(file)["roles"]["entry"]
        with open(os.path.join(ROOT, role["template"]), encoding="utf-8") as file:
            self.template = file.read()
        # BUILD_FOLDER names another build, as for the scripts in Meta/.
        self.command = re.sub("^target/", os.environ.get("BUILD_FOLDER", "target") + "/",
                              role["run"])
        program = os.path.join(ROOT, self.command.split(" ")[0])
        if not os.access(program, os.X_OK):
            raise CannotRun(f"{program} is missing; run the build of deploy/system.toml")
        self.store, self.record, self.zones = store, record, zones
        self.bounds = bounds or {}
        self.limits = limits or {}
        self.folder = tempfile.mkdtemp(prefix="verbenachute-case-")
        self.block = free_block()
        self.nodes = []
        for zone, count in zip(zones, counts):
            for _ in range(count):
                self.nodes.append(Node(self, len(self.nodes), zone))

    async def start(self):
        for node in self.nodes:
            await node.start()
        for node in self.nodes:
            await self.until_ready(node)

    async def until_ready(self, node, seconds=15):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            try:
                answer = await call_once(node.ready, "GET", "/ready", [], timeout=1)
                if answer.status == 200:
                    return
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.05)
        raise CannotRun(f"{node.name} is not ready")

    async def end(self):
        for node in self.nodes:
            if node.process and node.process.returncode is None:
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
        for node in self.nodes:
            if node.process:
                await node.process.wait()
        if not os.environ.get("KEEP_LOGS"):
            shutil.rmtree(self.folder, ignore_errors=True)


def free_block():
    """A second byte of loopback addresses that nothing listens on."""
    for _ in range(100):
        block = random.randrange(10, 250)
        try:
            for port in (8100, 8104, 8106, 8108, 7380, 7395):
                with socket.socket() as probe:
                    probe.bind((f"127.{block}.1.1", port))
            return block
        except OSError:
            continue
    raise CannotRun("no free loopback addresses")


# --- Consumers ---------------------------------------------------------------------

async def call_once(address, method, path, headers, body=b"", timeout=5.0):
    host, _, port = address.rpartition(":")
    async def exchange():
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(request_bytes(method, path, headers, body))
            await writer.drain()
            answer = await read_message(reader, response=True)
            if answer is None:
                raise asyncio.IncompleteReadError(b"", None)
            return answer
        finally:
            writer.close()
    return await asyncio.wait_for(exchange(), timeout)


def plan(version, routes, backends, limits=None, **more):
    return json.dumps(dict(
        Version=version, Routes=routes, Backends=backends,
        Limits=limits or dict(MaxHeaderBytes=16384, MaxBodyBytes=262144,
                              HeaderTimeoutMs=3000, IdleTimeoutMs=15000), **more)).encode()


def route(name, prefix, kind, deadline_ms, target_ms, priority=1, attempts=2, **more):
    return dict(Name=name, Host="dock.example", PathPrefix=prefix, RouteKind=kind,
                DeadlineMs=deadline_ms, TargetLatencyMs=target_ms, Priority=priority,
                MaxAttempts=attempts, **more)


def backend(name, connections=26, warmup_s=3.0, warmup_per_s=0.0):
    return dict(Name=name, HealthPath="/healthz", MaxConns=connections, Protocol="h1",
                Tls=False, WarmupS=warmup_s, WarmupPerS=warmup_per_s)
