"""A small deployment on loopback: the platform's store, searchers, callers and
the project's own daemons as separate processes. Standard library only.

The stand-ins speak what PROTOCOL.md says. Whatever a case does to them stands
in the run.py of the case.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[1]
REGION = "sul-rs"
ZONES = ["caxias-a", "caxias-b", "bento-c"]
BOUNDS = {
    "SeedLagS": 3, "AddrReuseS": 2, "ContactMs": 4000, "AckMs": 5000,
    "CatchUpS": 4, "DrainMs": 3000, "GraceS": 6, "LossSlackMs": 200,
    "ConfigApplyMs": 3000, "RollbackSlackMs": 250, "MaxSkewMs": 12000,
    "RetryRatio": 0.2, "RetryWindowS": 10, "RetrySlack": 58,
    "WarmupOvershoot": 1.5, "WarmupSlack": 5, "EvacuateMs": 5000,
    "RecoveryS": 12, "ttl_max_s": 5,
}
HEARTBEAT_S = 1.2


class Record:
    """The lines of record.txt: what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.begin = time.monotonic()

    def add(self, text):
        self.file.write(f"{time.monotonic() - self.begin:9.3f} {text}\n")

    def close(self):
        self.file.close()


async def read_head(reader):
    """Start line and fields of a message; None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    fields = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            fields.append((name, value.strip()))
    return lines[0], fields


def find(fields, name):
    for field, value in fields:
        if field.lower() == name.lower():
            return value
    return None


def message(start, fields, body=b""):
    head = start + "\r\n" + "".join(f"{n}: {v}\r\n" for n, v in fields)
    return head.encode("latin-1") + b"\r\n" + body


class Store:
    """The platform's metadata store, as PROTOCOL.md tells it."""

    def __init__(self, address):
        self.address = address
        self.items = {}
        self.revision = 100
        self.history = []
        self.changed = asyncio.Condition()
        self.leases = 0
        self.watching = set()
        self.is_silent = False
        # How old a read with Serializable = 1 is.
        self.lag_s = 0
        self.revisions = [(0, self.revision)]

    async def start(self):
        self.server = await asyncio.start_server(self.serve, *self.address)

    def next_revision(self):
        self.revision += 1
        self.revisions.append((time.monotonic(), self.revision))

    def old_revision(self):
        """The revision that a read with Serializable = 1 tells."""
        limit = time.monotonic() - self.lag_s
        return max(revision for at, revision in self.revisions if at <= limit)

    async def put(self, key, value):
        self.next_revision()
        created = self.items.get(key, (0, self.revision, ""))[1]
        text = base64.b64encode(value.encode()).decode()
        self.items[key] = (self.revision, created, text)
        self.history.append((self.revision, key, True))
        await self.wake()

    async def remove(self, key):
        if key in self.items:
            self.next_revision()
            del self.items[key]
            self.history.append((self.revision, key, False))
            await self.wake()

    def cut_watches(self):
        """Cuts the watches that are waiting, as the store may at any time."""
        for writer in list(self.watching):
            writer.close()

    async def wake(self):
        async with self.changed:
            self.changed.notify_all()

    def item(self, key):
        revision, created, text = self.items[key]
        return {"Key": key, "Value": text, "Revision": revision,
                "CreatedRev": created, "Lease": 0}

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                body = await reader.readexactly(
                    int(find(head[1], "Content-Length") or 0))
                if self.is_silent:
                    # It gets no answer, also not after the silence.
                    while await reader.read(4096):
                        pass
                    break
                is_watch = "/kv-watch" in head[0]
                if is_watch:
                    self.watching.add(writer)
                try:
                    status, answer = await self.answer(head[0], body)
                finally:
                    self.watching.discard(writer)
                if writer.is_closing():
                    break
                text = json.dumps(answer).encode()
                writer.write(message(
                    f"HTTP/1.1 {status} Status",
                    [("Content-Type", "application/json"),
                     ("Content-Length", len(text))], text))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError,
                asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, start, body):
        from urllib.parse import parse_qs, urlsplit
        method, target, _ = start.split(" ")
        url = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(url.query, True).items()}
        if url.path == "/kv-key":
            key = query["Key"]
            revision = (self.old_revision() if query.get("Serializable") == "1"
                        else self.revision)
            if key not in self.items:
                return 404, {"AtRev": revision}
            return 200, {**self.item(key), "AtRev": revision}
        if url.path == "/kv-range":
            keys = sorted(k for k in self.items
                          if k.startswith(query.get("PathPrefix", ""))
                          and k > query.get("after", ""))
            return 200, {"items": [self.item(k) for k in keys[:500]],
                         "MorePages": len(keys) > 500, "AtRev": self.revision}
        if url.path == "/kv-watch":
            return await self.watch(query)
        call = json.loads(body or b"{}")
        if url.path == "/kv-lease":
            self.leases += 1
            return 200, {"Lease": self.leases, "TtlMs": call["TtlMs"]}
        if url.path == "/kv-txn":
            for row in call["Precondition"]:
                known = self.items.get(row["Key"], (0,))[0]
                if known != row["Revision"]:
                    return 412, {"items": []}
            for write in call["Writes"]:
                await self.put(write["Key"],
                               base64.b64decode(write["Value"]).decode())
            for key in call["Deletes"]:
                await self.remove(key)
            return 200, {"Revision": self.revision}
        return 200, {}

    async def watch(self, query):
        after = int(query["after"])
        prefix = query.get("PathPrefix", "")

        def news():
            latest = {}
            for revision, key, there in self.history:
                if revision > after and key.startswith(prefix):
                    latest[key] = (revision, there)
            return latest

        async with self.changed:
            try:
                await asyncio.wait_for(
                    self.changed.wait_for(lambda: news()),
                    int(query["WaitMs"]) / 1000)
            except asyncio.TimeoutError:
                pass
        events = []
        for key, (revision, there) in news().items():
            if there and key in self.items:
                events.append(self.item(key))
            else:
                events.append(
                    {"Key": key, "Revision": revision, "Removed": True})
        events.sort(key=lambda event: event["Revision"])
        return 200, {"events": events, "AtRev": self.revision}


class Searcher:
    """One searcher. A case overrides `send` or `run` to make it faulty."""

    def __init__(self, deployment, name, service, zone, address, slots=4):
        self.deployment = deployment
        self.name = name
        self.service = service
        self.zone = zone
        self.address = address
        self.slots = asyncio.Semaphore(slots)
        self.capacity = slots
        self.number = 0
        self.work_s = 0.01
        self.state = "ready"

    async def start(self):
        self.born = int(time.time() * 1000)
        self.server = await asyncio.start_server(self.serve, *self.address)
        await self.report()

    async def report(self):
        self.number += 1
        await self.deployment.store.put("servers/" + self.name, json.dumps({
            "Backend": self.service, "Address": "%s:%d" % self.address,
            "Zone": self.zone, "Version": "v1", "Capacity": self.capacity,
            "State": self.state, "WarmupLeftMs": 0, "SeqNo": self.number,
            "born": self.born}))

    async def serve(self, reader, writer):
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                body = await reader.readexactly(
                    int(find(head[1], "Content-Length") or 0))
                await self.handle(writer, head[0], head[1], body)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError,
                asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def handle(self, writer, start, fields, body):
        identity = find(fields, "Request-Id") or ""
        if start.split(" ")[1] == "/healthz":
            writer.write(message("HTTP/1.1 200 OK", [
                ("Instance-Id", self.name), ("Content-Length", 0)]))
            return
        if find(fields, "Expect-Instance") not in (None, self.name):
            writer.write(message("HTTP/1.1 421 Misdirected Request", [
                ("Request-Id", identity), ("Not-Executed", 1),
                ("Content-Length", 0)]))
            return
        async with self.slots:
            self.deployment.record.add(f"run {self.name} {identity} {start}")
            self.deployment.runs.append((identity, self.name))
            await asyncio.sleep(self.work_s)
        answer = self.result(identity, start, body)
        await self.send(writer, identity, answer)

    def result(self, identity, start, body):
        """The right answer to a request: its stamp and its body."""
        stamp = f"{self.name}.{identity}"
        text = f"{identity} {start} {body.decode()} by {self.name}\n".encode()
        self.deployment.results.setdefault(identity, {})[stamp] = text
        return stamp, text

    def fields(self, identity, answer):
        return [("Request-Id", identity), ("Server-Stamp", answer[0]),
                ("Content-Type", "text/plain"),
                ("Content-Length", len(answer[1]))]

    async def send(self, writer, identity, answer):
        writer.write(message("HTTP/1.1 200 OK",
                             self.fields(identity, answer), answer[1]))


def render(template, values, here=None):
    """The parts of the platform's template language that the template uses."""
    def lookup(path, scope):
        if path == ".":
            return here[1] if here else values
        for part in path.split("."):
            if isinstance(scope, list):
                scope = scope[int(part)] if int(part) < len(scope) else None
            else:
                scope = scope.get(part) if isinstance(scope, dict) else None
        return scope

    def section(match):
        kind, path, inner = match.groups()
        value = lookup(path, values)
        if kind == "^":
            return "" if value else render(inner, values)
        if isinstance(value, dict):
            pairs = list(value.items())
            return "".join(
                render(inner.replace("{{,}}", "," if i + 1 < len(pairs)
                                     else ""), values, pair)
                for i, pair in enumerate(pairs))
        return render(inner, values) if value else ""

    text = re.sub(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", section,
                  template, flags=re.S)

    def place(match):
        if match.group(1) == "@":
            return str(here[0])
        value = lookup(match.group(1), values)
        if isinstance(value, list):
            return ",".join(map(str, value))
        return "" if value is None else str(value)

    return re.sub(r"\{\{(@|[\w.]+)\}\}", place, text)


class Node:
    """One daemon, started with the command and the template of the deploy
    file."""

    def __init__(self, deployment, index):
        self.deployment = deployment
        self.name = f"frontend-{index + 1}"
        self.ip = f"127.0.7.{index + 1}"
        self.zone = ZONES[index % len(ZONES)]
        self.process = None
        base = deployment.port
        self.caller = (self.ip, base)
        self.ready = (self.ip, base + 1)
        self.directory = (self.ip, base + 2)

    def write_settings(self, role):
        base = self.deployment.port
        values = {
            "NodeName": self.name, "Role": "entry", "MachineClass": "frontend",
            "Ip": self.ip, "Zone": self.zone, "Region": REGION,
            "PortRange": [base + 4, base + 12],
            "SeedNodes": [f"127.0.7.{i + 1}:{base + 3}" for i in range(
                min(3, len(self.deployment.nodes)))],
            "Zones": {zone: REGION for zone in ZONES},
            "Listen": {"Frontend": f"{self.ip}:{base}",
                       "Ready": f"{self.ip}:{base + 1}",
                       "directory": f"{self.ip}:{base + 2}",
                       "Control": f"{self.ip}:{base + 3}"},
            "Limits": {"CpuShare": 0.25, "Cores": 1, "MemoryMb": 260,
                       "MaxFds": 4100, "LinkMbps": 1000.0},
            "Bounds": {**BOUNDS, **self.deployment.bounds},
            "platform": {"Address": "%s:%d" % self.deployment.store.address},
        }
        template = (ROOT / role["template"]).read_text(encoding="utf-8")
        self.settings = self.deployment.folder / f"{self.name}.toml"
        self.settings.write_text(render(template, values), encoding="utf-8")

    async def start(self):
        deploy = tomllib.loads(
            (ROOT / "deploy/system.toml").read_text(encoding="utf-8"))
        role = deploy["roles"]["entry"]
        self.write_settings(role)
        words = role["run"].replace("/etc/verbenachute/settings.toml",
                                    str(self.settings)).split()
        self.log = open(self.deployment.folder / f"{self.name}.log", "ab")
        self.process = await asyncio.create_subprocess_exec(
            *words, cwd=ROOT, stdout=self.log, stderr=self.log,
            env={"PATH": os.environ["PATH"], "LANG": "C.UTF-8",
                 "VERBENACHUTE_BOOT": str(self.settings)})
        self.deployment.record.add(f"start {self.name}")

    def kill(self, number):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def stop(self):
        self.kill(signal.SIGCONT)
        self.kill(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()
            self.log.close()

    async def is_ready(self):
        try:
            answer = await ask(self.ready, "GET", "/ready", [], timeout=1)
            return answer is not None and answer.status == 200
        except OSError:
            return False


class Answer:
    def __init__(self, status, fields, body, raw):
        self.status = status
        self.fields = fields
        self.body = body
        self.raw = raw


class Malformed(Exception):
    pass


TOKEN = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")


class Connection:
    """A caller's connection. It reads answers strictly by RFC 9112."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer

    @classmethod
    async def open(cls, address):
        reader, writer = await asyncio.open_connection(*address)
        writer.get_extra_info("socket").setsockopt(
            socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return cls(reader, writer)

    async def exchange(self, method, target, fields, body=b""):
        """The answer, or None if the connection ends without one."""
        if body or method == "POST":
            fields = fields + [("Content-Length", len(body))]
        self.writer.write(message(f"{method} {target} HTTP/1.1", fields, body))
        await self.writer.drain()
        try:
            head = await self.reader.readuntil(b"\r\n\r\n")
        except asyncio.IncompleteReadError:
            return None
        lines = head.decode("latin-1").split("\r\n")[:-2]
        status = re.fullmatch(r"HTTP/1\.1 ([1-5]\d\d) .*", lines[0])
        if status is None:
            raise Malformed(f"status line {lines[0]!r}")
        parsed = []
        for line in lines[1:]:
            name, colon, value = line.partition(":")
            if not colon or not TOKEN.fullmatch(name):
                raise Malformed(f"field line {line!r}")
            parsed.append((name, value.strip(" \t")))
        length = int(find(parsed, "Content-Length") or 0)
        try:
            text = await self.reader.readexactly(length)
        except asyncio.IncompleteReadError:
            return None
        return Answer(int(status.group(1)), parsed, text, head)

    def close(self):
        self.writer.close()


async def ask(address, method, target, fields, body=b"", timeout=5):
    """One exchange on a connection of its own."""
    connection = await asyncio.wait_for(Connection.open(address), timeout)
    try:
        return await asyncio.wait_for(
            connection.exchange(method, target, fields, body), timeout)
    except asyncio.TimeoutError:
        return None
    finally:
        connection.close()


def free_port(ips, count):
    """A first port from which `count` are free on all these addresses."""
    for _ in range(200):
        first = random.randrange(21000, 31000, count)
        try:
            for ip in ips:
                for port in range(first, first + count):
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        with socket.socket(socket.AF_INET, kind) as probe:
                            probe.bind((ip, port))
            return first
        except OSError:
            continue
    raise OSError("no free ports")


class Deployment:
    def __init__(self, record_path, node_count=3, bounds=None):
        self.record = Record(record_path)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-standin-"))
        self.bounds = bounds or {}
        ips = [f"127.0.7.{i + 1}" for i in range(node_count)]
        self.port = free_port(ips, 16)
        self.searcher_port = free_port(["127.0.8.1"], 64)
        self.store = Store(("127.0.8.1", self.searcher_port))
        self.nodes = []
        for i in range(node_count):
            self.nodes.append(Node(self, i))
        self.searchers = []
        self.runs = []
        self.results = {}
        self.identities = 0

    def add_searcher(self, kind, service, zone, **options):
        index = len(self.searchers)
        searcher = kind(self, f"i-{index:04x}{random.randrange(1 << 24):06x}",
                        service, zone,
                        ("127.0.8.1", self.searcher_port + 1 + index),
                        **options)
        self.searchers.append(searcher)
        return searcher

    async def start(self, configuration):
        await self.store.start()
        await self.store.put("op/config", json.dumps(configuration))
        for searcher in self.searchers:
            await searcher.start()
        for node in self.nodes:
            await node.start()
        limit = time.monotonic() + 15
        while time.monotonic() < limit:
            if all([await node.is_ready() for node in self.nodes]):
                await asyncio.sleep(3)
                return True
            await asyncio.sleep(0.2)
        return False

    async def resolve(self, node, host):
        answer = await ask(node.directory, "GET",
                           f"/resolve?Name={host}&Region={REGION}"
                           f"&Zone={node.zone}", [])
        if answer is None or answer.status != 200:
            return []
        found = []
        for address in json.loads(answer.body).get("addrs", []):
            ip, _, port = address.partition(":")
            found.append((ip, int(port)))
        return found

    def next_identity(self):
        self.identities += 1
        return f"{self.identities:08x}{random.randrange(1 << 32):08x}"

    async def stop(self):
        for node in self.nodes:
            await node.stop()
        self.record.close()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)


def configuration(routes, services):
    return {"Version": 7, "Routes": routes, "Backends": services,
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144,
                       "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}}


def service(name, connections=37):
    return {"Name": name, "HealthPath": "/healthz", "MaxConns": connections,
            "WarmupS": 3, "WarmupPerS": 0}


def main(case):
    """Runs a case: 0 the rule held, 1 it was broken, 2 it could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def limited():
        return await asyncio.wait_for(case(trouble), 110)

    try:
        return asyncio.run(limited())
    except Exception as error:  # The case could not run.
        print(f"not run: {type(error).__name__}: {error}")
        return 2
