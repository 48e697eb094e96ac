"""A small deployment on loopback for the cases of this review.

Starts gateways as separate processes with settings that are rendered from the
project's template, and has stand-ins of the platform's store and of backend
servers, which run inside this process. Everything listens on loopback.
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
import subprocess
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
ZONES = {"zone-a": "west", "zone-b": "west", "zone-c": "west"}
HEARTBEAT_S = 1.5
TIME_LIMIT_S = 110
CONFIG_LIMITS = {"headerBytes": 16384, "bodyBytes": 67108864,
                 "headerMs": 3000, "idleMs": 15000}
BOUNDS = {"graceS": 6, "ttl_max_s": 5, "budgetRatio": 0.2, "budgetExtra": 58,
          "drainMs": 2000, "stableMs": 3000, "applyMs": 2000, "evacMs": 5000}


def find_program():
    """The program as the deploy file builds it."""
    run = None
    with open(os.path.join(ROOT, "deploy", "system.toml")) as file:
        for line in file:
            match = re.match(r'run\s*=\s*"([^ "]+)', line)
            if match:
                run = match.group(1)
    path = os.path.join(ROOT, run or "target/comfreystand")
    return path if os.access(path, os.X_OK) else None


def free_port(host):
    """A free port that no outgoing connection takes meanwhile, which the kernel
    gives higher ones."""
    while True:
        port = random.randrange(10_000, 30_000)
        with socket.socket() as probe:
            try:
                probe.bind((host, port))
                return port
            except OSError:
                pass


class Record:
    """What was sent, answered and run, one line an event."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.start = time.monotonic()

    def __call__(self, text):
        self.file.write("%8.3f %s\n" % (time.monotonic() - self.start, text))
        self.file.flush()


def reason(status):
    return {200: "OK", 404: "Not Found", 410: "Gone", 412: "Precondition Failed",
            421: "Misdirected Request", 503: "Service Unavailable"}.get(status, "Status")


async def read_head(reader):
    """Start line and headers (names in lower case) of one message."""
    data = await reader.readuntil(b"\r\n\r\n")
    lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            if size == 0:
                while (await reader.readline()) not in (b"\r\n", b""):
                    pass
                return body
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    length = int(headers.get("content-length", "0"))
    return await reader.readexactly(length) if length else b""


class Store:
    """Stand-in of the platform's store: keys, watches and leases."""

    def __init__(self, host="127.0.0.1", history_s=20):
        self.host = host
        self.history_s = history_s
        self.revision = 100
        self.items = {}
        self.events = []
        self.leases = {}
        self.next_lease = 7000
        self.compacted = self.revision
        self.changed = asyncio.Event()
        self.era = None
        self.calls = 0

    async def start(self):
        self.port = free_port(self.host)
        self.server = await asyncio.start_server(self.serve, self.host, self.port,
                                                 limit=1 << 24)
        self.address = "%s:%d" % (self.host, self.port)
        self.expiry = asyncio.create_task(self.expire())

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, value, lease=0):
        """Writes `value` (bytes, or an object that is written as JSON)."""
        if not isinstance(value, bytes):
            value = json.dumps(value, separators=(",", ":")).encode()
        self.revision += 1
        old = self.items.get(key)
        item = {"key": key, "value": base64.b64encode(value).decode(),
                "revision": self.revision,
                "createRevision": old["createRevision"] if old else self.revision,
                "lease": lease}
        self.items[key] = item
        self.events.append((time.monotonic(), item))
        self.wake()
        return self.revision

    def delete(self, key):
        if key not in self.items:
            return
        del self.items[key]
        self.revision += 1
        self.events.append((time.monotonic(),
                            {"key": key, "revision": self.revision, "deleted": True}))
        self.wake()

    async def expire(self):
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for lease, (ttl, end) in list(self.leases.items()):
                if end <= now:
                    self.end_lease(lease)
            while self.events and self.events[0][0] < now - self.history_s:
                self.compacted = self.events.pop(0)[1]["revision"]

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, i in self.items.items() if i["lease"] == lease]:
            self.delete(key)

    async def serve(self, reader, writer):
        try:
            while True:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, target, _ = line.split(" ")
                path, _, query = target.partition("?")
                self.calls += 1
                status, answer = await self.answer(method, path, parse_query(query), body)
                data = json.dumps(answer, separators=(",", ":")).encode()
                era = "Store-Era: %d\r\n" % self.era if self.era is not None else ""
                writer.write(("HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n"
                              "%sContent-Length: %d\r\n\r\n" %
                              (status, reason(status), era, len(data))).encode() + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, method, path, query, body):
        if path == "/v1/kv-key":
            item = self.items.get(query["key"])
            return (200, dict(item, asOf=self.revision)) if item else (404, {"asOf": self.revision})
        if path == "/v1/kv-range":
            keys = sorted(k for k in self.items
                          if k.startswith(query["prefix"]) and k > query.get("after", ""))
            page, size = [], 0
            for key in keys:
                size += len(self.items[key]["value"])
                if len(page) >= 500 or (page and size > 1 << 20):
                    break
                page.append(self.items[key])
            return 200, {"items": page, "hasMore": len(page) < len(keys), "asOf": self.revision}
        if path == "/v1/kv-watch":
            return await self.watch(query["prefix"], int(query["after"]), int(query["waitMs"]))
        data = json.loads(body) if body else {}
        if path == "/v1/kv-txn":
            return self.commit(data)
        if path == "/v1/kv-lease":
            self.next_lease += 1
            ttl = max(1.0, data["ttlMs"] / 1000)
            self.leases[self.next_lease] = (ttl, time.monotonic() + ttl)
            return 200, {"lease": self.next_lease, "ttlMs": int(ttl * 1000)}
        lease = int(path.rsplit("/", 1)[1])
        if lease not in self.leases:
            return 404, {}
        ttl = self.leases[lease][0]
        if path.startswith("/v1/kv-keep/"):
            self.leases[lease] = (ttl, time.monotonic() + ttl)
            return 200, {"ttlMs": int(ttl * 1000)}
        self.end_lease(lease)
        return 200, {}

    async def watch(self, prefix, after, wait_ms):
        end = time.monotonic() + wait_ms / 1000
        while True:
            if after < self.compacted or after > self.revision:
                return 410, {}
            events = [e for _, e in self.events
                      if e["revision"] > after and e["key"].startswith(prefix)]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "asOf": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def commit(self, data):
        failed = [r for r in data["expected"]
                  if self.items.get(r["key"], {"revision": 0})["revision"] != r["revision"]]
        if failed:
            return 412, {"items": [self.items[r["key"]] for r in data["expected"]
                                   if r["key"] in self.items]}
        for put in data["puts"]:
            if put["key"].startswith(("op/", "servers/")):
                return 403, {}
            if put["lease"] and put["lease"] not in self.leases:
                return 404, {}
        for put in data["puts"]:
            self.put(put["key"], base64.b64decode(put["value"]), put["lease"])
        for key in data["deletes"]:
            self.delete(key)
        return 200, {"revision": self.revision}


def parse_query(query):
    from urllib.parse import unquote
    pairs = [p.partition("=") for p in query.split("&") if p]
    return {unquote(k): unquote(v) for k, _, v in pairs}


class Request:
    """A request as a backend server read it."""

    def __init__(self, line, headers, body):
        self.line, self.headers, self.body = line, headers, body
        self.method, self.target, _ = line.split(" ")
        self.id = headers.get("comfreystand-request-id", "")


class Instance:
    """Stand-in of a backend server.

    `handle(instance, request, writer)` runs a request and returns the bytes of
    an answer, or None when it has answered or closed by itself.
    """

    def __init__(self, store, record, name, service, handle, zone="zone-a",
                 host="127.0.0.1", capacity=3, born=None):
        self.store, self.record, self.name, self.service = store, record, name, service
        self.handle, self.zone, self.host, self.capacity = handle, zone, host, capacity
        self.state = "ready"
        self.born = born or int(time.time() * 1000)
        self.sequence = 0
        self.runs = []
        self.beats = True
        self.headers = ""
        self.connections = set()

    async def start(self, port=None):
        self.port = port or free_port(self.host)
        self.address = "%s:%d" % (self.host, self.port)
        self.server = await asyncio.start_server(self.serve, self.host, self.port,
                                                 limit=1 << 24)
        self.beater = asyncio.create_task(self.beat())

    async def beat(self):
        while True:
            if self.beats:
                self.register()
            await asyncio.sleep(HEARTBEAT_S)

    def register(self):
        self.sequence += 1
        self.store.put("servers/" + self.name, {
            "service": self.service, "address": self.address, "zone": self.zone,
            "version": "v1", "capacity": self.capacity, "state": self.state,
            "coldLeftMs": 0, "sequence": self.sequence, "born": self.born})

    def head(self, status, request, extra=""):
        return ("HTTP/1.1 %d %s\r\nComfreystand-Request-Id: %s\r\n%s%s" %
                (status, reason(status), request.id, self.headers, extra))

    def ok(self, request, body=b"done\n", extra=""):
        return (self.head(200, request, "Comfreystand-Server-Stamp: %s.%s\r\n%sContent-Length: %d\r\n\r\n" %
                          (self.name, request.id, extra, len(body))).encode() + body)

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                request = Request(line, headers, body)
                if request.target == "/health":
                    writer.write(("HTTP/1.1 200 OK\r\nComfreystand-Instance-Id: %s\r\n%s"
                                  "Content-Length: 0\r\n\r\n" % (self.name, self.headers)).encode())
                    continue
                expected = headers.get("comfreystand-expect-instance", self.name)
                if expected != self.name:
                    writer.write(self.head(421, request, "Comfreystand-Not-Executed: 1\r\n"
                                           "Content-Length: 0\r\n\r\n").encode())
                    continue
                self.runs.append((time.monotonic(), request))
                self.record("%s runs %s %s id=%s body=%d" %
                            (self.name, request.method, request.target, request.id, len(body)))
                answer = await self.handle(self, request, writer)
                if answer is None:
                    return
                writer.write(answer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def stop(self):
        self.beater.cancel()
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()


async def answer_at_once(instance, request, writer):
    return instance.ok(request)


class Gateway:
    """One gateway process, with settings rendered from the project's template."""

    def __init__(self, folder, store, name, zone, host="127.0.0.1"):
        self.name, self.host = name, host
        self.program = find_program()
        self.ports = {role: free_port(host)
                      for role in ("front", "ready", "directory", "control")}
        listen = {role: "%s:%d" % (host, port) for role, port in self.ports.items()}
        values = {"node": name, "zone": zone, "region": ZONES[zone], "ipAddr": host,
                  "listen": listen, "seedNodes": [listen["control"]],
                  "platform": {"address": store.address}, "limits": {"maxFds": 4100},
                  "zones": ZONES, "bounds": BOUNDS}
        with open(os.path.join(ROOT, "deploy", "gateway.ini.template")) as template:
            text = render(template.read(), values)
        # The port of the metrics is the same on all machines; here they share one.
        text = text.replace("%s:9464" % host, "%s:%d" % (host, free_port(host)))
        self.path = os.path.join(folder, name + ".ini")
        self.log_path = os.path.join(folder, name + ".log")
        with open(self.path, "w") as file:
            file.write(text)
        self.process = None

    def start(self):
        with open(self.log_path, "a") as log:
            self.process = subprocess.Popen([self.program, "gateway", self.path],
                                            stdout=log, stderr=subprocess.STDOUT, cwd=ROOT)

    def signal(self, number):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    async def ready(self, timeout=15):
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            try:
                status, _, _ = await call(self.host, self.ports["ready"],
                                          b"GET /v1/readiness HTTP/1.1\r\nHost: x\r\n"
                                          b"Connection: close\r\n\r\n", 2)
                if status == 200:
                    return True
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.1)
        return False


def render(text, values):
    """Fills in the parts of the platform's template language that are in use."""
    def lookup(path):
        value = values
        for part in path.split("."):
            value = value.get(part, "") if isinstance(value, dict) else ""
        return value

    def section(match):
        table = lookup(match.group(1))
        return "".join(match.group(2).replace("{{@}}", key).replace("{{.}}", str(value))
                       for key, value in table.items())

    text = re.sub(r"\{\{#(\w+)\}\}(.*?)\{\{/\1\}\}", section, text, flags=re.S)

    def plain(match):
        value = lookup(match.group(1))
        return ",".join(map(str, value)) if isinstance(value, list) else str(value)

    return re.sub(r"\{\{([\w.]+)\}\}", plain, text)


async def read_answer(reader, timeout, head_request=False):
    """Status, headers and body of an answer; the status is None when the
    connection ended before the answer was complete."""
    async def read():
        line, headers = await read_head(reader)
        status = int(line.split(" ")[1])
        if head_request or status in (204, 304):
            return status, headers, b""
        if "content-length" in headers or "transfer-encoding" in headers:
            return status, headers, await read_body(reader, headers)
        return status, headers, await reader.read()
    return await asyncio.wait_for(read(), timeout)


async def call(host, port, data, timeout):
    reader, writer = await asyncio.open_connection(host, port, limit=1 << 24)
    try:
        writer.write(data)
        return await read_answer(reader, timeout)
    finally:
        writer.close()


def request_bytes(method, path, request_id, deadline_ms, body=b"", host="float.example",
                  extra=""):
    head = ("%s %s HTTP/1.1\r\nHost: %s\r\nComfreystand-Request-Id: %s\r\n"
            "Comfreystand-Deadline-Ms: %d\r\n%s" %
            (method, path, host, request_id, deadline_ms, extra))
    if body:
        head += "Content-Length: %d\r\n" % len(body)
    return head.encode() + b"\r\n" + body


def route(prefix, service, kind="idempotent", timeout_ms=1200, attempts=2, **more):
    return dict({"host": "float.example", "prefix": prefix, "kind": kind,
                 "timeoutMs": timeout_ms, "goalMs": 300, "priority": 2,
                 "service": service, "maxAttempts": attempts, "sticky": False,
                 "allowedRegions": []}, **more)


def service(**more):
    return dict({"healthPath": "/health", "maxConns": 330, "protocol": "h1", "tls": False,
                 "warmupS": 3.0, "coldPerS": 3.6}, **more)


def config(version, routes, services):
    return {"version": "r%d" % version, "routes": routes, "services": services,
            "limits": CONFIG_LIMITS}


async def run_case(case, folder_of_case):
    """Runs `case(rig)` and returns the exit code of a script: 1 if the rule was
    broken, 0 if it held, 2 if the case could not run."""
    record = Record(os.path.join(folder_of_case, "record.txt"))
    if not find_program():
        record("the program of the deploy file is not built")
        return 2
    task = asyncio.current_task()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    with tempfile.TemporaryDirectory() as folder:
        rig = Rig(folder, record, os.environ.get("TROUBLE", "1") != "0")
        try:
            await rig.store.start()
            broken = await asyncio.wait_for(case(rig), TIME_LIMIT_S)
        except (Exception, asyncio.CancelledError) as error:
            record("could not run: %r" % error)
            return 2
        finally:
            for gateway in rig.gateways:
                gateway.end()
            if "KEEP_LOGS" in os.environ:
                for gateway in rig.gateways:
                    shutil.copy(gateway.log_path, os.environ["KEEP_LOGS"])
    record("rule broken" if broken else "rule held")
    return 1 if broken else 0


class Rig:
    def __init__(self, folder, record, trouble):
        self.folder, self.record, self.trouble = folder, record, trouble
        self.store = Store()
        self.gateways = []

    def gateway(self, name="front-1", zone="zone-a", **more):
        gateway = Gateway(self.folder, self.store, name, zone, **more)
        self.gateways.append(gateway)
        return gateway

    async def instance(self, name, service_name, handle=answer_at_once, **more):
        instance = Instance(self.store, self.record, name, service_name, handle, **more)
        await instance.start()
        return instance


def main(case, file):
    raise SystemExit(asyncio.run(run_case(case, os.path.dirname(os.path.abspath(file)))))
