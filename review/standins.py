"""Stand-ins for the platform, its servers and its clients, and the routers under test.

All speak what PROTOCOL.md says, on loopback addresses. Only the Python standard library is used.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import struct
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PROGRAM = os.path.join(ROOT, "target", "release", "corianderstand")
HOST = "ficu95.example"
HEALTH_PATH = "/health"
STORE_PORT, FRONT_PORT, READY_PORT, CONTROL_PORT = 8142, 8149, 8141, 8144
PORT_RANGE = "7380,7395"
SERVER_PORT = 8145

# The limits of a router's machine and the bounds of `sites/vidrio-sur.toml`, as `fleetbench wire` prints them.
ROUTER_SETTINGS = """
counts_as_loss=false
limits.cpu_share=0.19
limits.cores=1
limits.memory_mb=260
limits.max_fds=4100
limits.link_mbps=1000.0
limits.disk_mb=0
discovery=platform
entry=vip
heartbeat_ms=1200
contracts=base,drain,config,cost,retry,recover,fleet,stream,engine,platform
fault_tolerance.machines=1
fault_tolerance.zones=0
fault_tolerance.regions=0
bounds.seed_lag_s=3
bounds.reuse_after_s=2
bounds.stable_window_ms=3000
bounds.ack_ms=4000
bounds.catch_up_s=4
bounds.drain_ms=2000
bounds.grace_s=8
bounds.loss_slack_ms=200
bounds.config_apply_ms=2000
bounds.downgrade_slack_ms=250
bounds.outer_ms=5000
bounds.retry_budget=0.2
bounds.budget_window_s=10
bounds.retry_slack=54
bounds.recover_s=12
bounds.pass_ms=120
bounds.again_s=0
bounds.checks_fence=false
bounds.lease_ms=3000
bounds.thaw_slack_ms=300
bounds.ceiling_window_s=5
bounds.ceiling_over=1.1
platform.form=log
platform.writes_per_s=400
platform.reads_per_s=2000
platform.parts=24
platform.append_ms=1.0
platform.part_mb_s=20.0
platform.read_mb_s=80.0
platform.record_bytes=262144
platform.call_bytes=2097152
platform.keep_s=300
platform.part_mb=200
platform.ttl_min_ms=1000
"""


def config(routes, service="agenda"):
    """A configuration with one plain service."""
    return {
        "version": 1,
        "routes": routes,
        "services": [{"name": service, "health_path": HEALTH_PATH, "max_conns": 100, "protocol": "h1", "tls": False}],
        "limits": {
            "max_header_bytes": 16384, "max_body_bytes": 4194304,
            "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
        },
    }


# As `booking-confirm` in `sites/vidrio-sur.toml`.
BOOKING_ROUTE = {
    "name": "booking", "host": HOST, "path_prefix": "/puxa403/", "kind": "non_idempotent", "timeout_ms": 1500,
    "target_latency_ms": 300, "priority": 2, "service": "agenda", "max_attempts": 1,
}


class Record:
    """The case's record: what was sent, answered and run."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w")

    def write(self, text):
        self.file.write(f"{time.monotonic() - self.started:9.3f} s  {text}\n")
        self.file.flush()


class Closed(Exception):
    """The peer closed the connection."""


async def read_head(reader):
    """Reads a message's first line and headers; names are in lower case."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        raise Closed(str(error)) from error
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    """Reads a body with a length or in chunks."""
    try:
        if "chunked" in headers.get("transfer-encoding", ""):
            body = b""
            while True:
                size = int((await reader.readline()).split(b";")[0], 16)
                body += await reader.readexactly(size)
                await reader.readexactly(2)
                if size == 0:
                    return body
        return await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError, ValueError) as error:
        raise Closed(str(error)) from error


def message(first_line, headers, body=b""):
    """A message with a length."""
    lines = [first_line] + [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def reset(writer):
    """Resets a connection."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        import socket
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.close()


class Client:
    """A client that keeps its connection, sends one request at a time and never repeats one."""

    def __init__(self, record, address):
        self.record, self.address, self.writer = record, address, None

    async def send(self, request, path="/puxa403/2f", method="POST", deadline_ms=3000, body=b"", headers=()):
        """Sends a request; returns the status and body of its answer, or none if there was none."""
        try:
            if self.writer is None:
                self.reader, self.writer = await asyncio.open_connection(*self.address, limit=1 << 20)
            headers = [("Host", HOST), ("Request-Id", request), ("Deadline-Ms", str(deadline_ms)), *headers]
            self.record.write(f"client sends {request}, {len(body)} bytes")
            self.writer.write(message(f"{method} {path} HTTP/1.1", headers, body))
            answer = await asyncio.wait_for(self.receive(), deadline_ms / 1000 + 1)
        except (Closed, OSError, ValueError, IndexError, asyncio.TimeoutError) as error:
            self.record.write(f"client has no readable answer to {request}: {error!r}")
            self.close()
            return None
        self.record.write(f"client gets {answer[0]} for {request}: {answer[1][:60]!r}")
        return answer

    async def receive(self):
        line, headers = await read_head(self.reader)
        body = await read_body(self.reader, headers)
        if headers.get("connection", "").lower() == "close":
            self.close()
        return int(line.split(" ")[1]), body

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.writer = None


class Store:
    """The platform's store: keyed topics, read from an offset or by the newest record of each key."""

    def __init__(self, ip):
        self.address = (ip, STORE_PORT)
        self.topics = {}
        self.changed = asyncio.Event()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, *self.address)

    def put(self, topic, key, value):
        log = self.topics.setdefault(topic, [])
        log.append((key, value))
        self.changed.set()
        self.changed = asyncio.Event()
        return len(log) - 1

    def put_config(self, config):
        self.put("keyed.op", "config", json.dumps(config).encode())

    async def serve(self, reader, writer):
        try:
            while True:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, target, _ = line.split(" ")
                status, answer = await self.answer(method, target, body)
                writer.write(message(f"HTTP/1.1 {status}", [("Content-Type", "application/json")], answer))
                await writer.drain()
        except (Closed, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, method, target, body):
        path, _, query = target.partition("?")
        query = dict(pair.split("=", 1) for pair in query.split("&") if "=" in pair)
        topic = query.get("topic", "")
        if (method, path) == ("POST", "/-/log-append"):
            return self.append(topic, body)
        if (method, path) == ("GET", "/-/log-newest"):
            return self.newest(topic, query.get("after"))
        if (method, path) == ("GET", "/-/log-read"):
            return await self.read(topic, int(query["from"]), int(query.get("wait_ms", "0")))
        return "404 Not Found", b""

    def append(self, topic, body):
        first = len(self.topics.setdefault(topic, []))
        while body:
            size = struct.unpack(">I", body[:4])[0]
            record, body = body[4:4 + size], body[4 + size:]
            key = record[1:1 + record[0]].decode()
            self.put(topic, key, record[1 + record[0]:] or None)
        end = len(self.topics[topic])
        return "200 OK", json.dumps({"offset": first, "end": end}).encode()

    def newest(self, topic, after):
        log = self.topics.setdefault(topic, [])
        newest = {key: (offset, value) for offset, (key, value) in enumerate(log)}
        keys = sorted(key for key, (_, value) in newest.items() if value is not None)
        if after is not None:
            keys = [key for key in keys if key > after]
        items = [
            {"key": key, "value": base64.b64encode(newest[key][1]).decode(), "offset": newest[key][0]}
            for key in keys[:500]
        ]
        answer = {"items": items, "has_more": len(keys) > 500, "end": len(log)}
        return "200 OK", json.dumps(answer).encode()

    async def read(self, topic, start, wait_ms):
        log = self.topics.setdefault(topic, [])
        until = time.monotonic() + wait_ms / 1000
        while len(log) <= start and time.monotonic() < until:
            try:
                await asyncio.wait_for(self.changed.wait(), until - time.monotonic())
            except asyncio.TimeoutError:
                break
        answer = struct.pack(">QQ", len(log), 0)
        for key, value in log[start:start + 200]:
            record = bytes([len(key)]) + key.encode() + (value or b"")
            answer += struct.pack(">I", len(record)) + record
        return "200 OK", answer


class Server:
    """A server of a plain service. It registers in the store and records what it runs."""

    def __init__(self, store, record, name, service, ip, slots=6, work_s=0.06, zone="conce"):
        self.store, self.record, self.name, self.service = store, record, name, service
        self.address, self.slots, self.work_s, self.zone = (ip, SERVER_PORT), slots, work_s, zone
        self.running, self.beats, self.runs = 0, 0, []

    async def start(self):
        self.server = await asyncio.start_server(self.serve, *self.address, limit=1 << 20)
        self.beating = asyncio.create_task(self.beat())

    async def beat(self):
        while True:
            self.beats += 1
            entry = {
                "service": self.service, "address": "%s:%d" % self.address, "zone": self.zone,
                "version": "v1", "slots": self.slots, "state": "ready", "cold_remaining_ms": 0,
                "seq_no": self.beats,
            }
            self.store.put("keyed.servers", self.name, json.dumps(entry).encode())
            await asyncio.sleep(1.2)

    async def serve(self, reader, writer):
        try:
            while True:
                line, headers = await read_head(reader)
                await self.handle(reader, writer, line, headers)
        except (Closed, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def handle(self, reader, writer, line, headers):
        method, path, _ = line.split(" ")
        body = await read_body(reader, headers)
        if path == HEALTH_PATH:
            writer.write(message("HTTP/1.1 200 OK", [("Instance-Id", self.name), self.load()]))
        elif headers.get("expect-instance", self.name) != self.name:
            writer.write(message("HTTP/1.1 421 Misdirected Request", [("Instance-Id", self.name)]))
        elif self.running >= self.slots:
            request = headers.get("request-id", "")
            self.record.write(f"server {self.name} turns away {request}: full")
            writer.write(message(
                "HTTP/1.1 503 Service Unavailable",
                [("Not-Executed", "1"), ("Request-Id", request), self.load()]))
        else:
            writer.write(await self.run(headers, body))
        await writer.drain()

    async def run(self, headers, body):
        request = headers.get("request-id", "")
        self.running += 1
        self.runs.append(request)
        self.record.write(f"server {self.name} runs {request}")
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        answer = f"{request} done by {self.name}".encode()
        return message("HTTP/1.1 200 OK", [
            ("Request-Id", request), ("Response-Signature", f"{self.name}.{request}"),
            ("Keep-Alive", "timeout=20"), self.load()], answer)

    def load(self):
        return ("Server-Load", f"{self.running},0,{self.slots}")


class Engine(Server):
    """A model engine, with the orders that PROTOCOL.md describes. It ends if it is ordered to load more than it holds."""

    def __init__(self, store, record, name, service, ip, models, weights_mb, resident, zone="conce"):
        super().__init__(store, record, name, service, ip, slots=64, zone=zone)
        self.models, self.weights_mb, self.resident = models, weights_mb, {model: set() for model in resident}
        self.orders, self.busy, self.born, self.overloads = 0, False, int(time.time() * 1000), []
        self.tasks, self.connections, self.waiting_runs = set(), set(), {}

    def spawn(self, work):
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def beat(self):
        self.beats = 0
        while True:
            self.beats += 1
            entry = {
                "service": self.service, "address": "%s:%d" % self.address, "zone": self.zone, "version": "v1",
                "slots": self.slots, "state": "ready", "cold_remaining_ms": 0, "seq_no": self.beats,
                "born": self.born, **self.holdings(),
            }
            self.store.put("keyed.servers", self.name, json.dumps(entry).encode())
            await asyncio.sleep(1.2)

    def holdings(self):
        models = [
            {"name": model, "version": 1, "adapters": [{"name": adapter, "version": 1} for adapter in sorted(adapters)]}
            for model, adapters in sorted(self.resident.items())
        ]
        return {"stage": "unified", "models": models, "at_hand": {"in_memory": [], "on_disk": sorted(self.models)}}

    def used_mb(self):
        return sum(
            self.models[model]["weights_mb"] + len(adapters) * self.models[model]["adapter_mb"]
            for model, adapters in self.resident.items())

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            await super().serve(reader, writer)
        finally:
            self.connections.discard(writer)

    async def crash(self, down_s):
        """Ends at once, and starts again under the same id, with nothing but its disk."""
        self.record.write(f"engine {self.name} crashes, holding {sorted(self.resident)}")
        self.server.close()
        self.beating.cancel()
        for task in list(self.tasks):
            task.cancel()
        for writer in list(self.connections):
            reset(writer)
        self.born = int(time.time() * 1000)
        self.resident, self.orders, self.busy, self.running, self.waiting_runs = {}, 0, False, 0, {}
        await asyncio.sleep(down_s)
        self.born = int(time.time() * 1000)
        await self.start()
        self.record.write(f"engine {self.name} starts again under its id, empty; its seq_no is 0")

    async def handle(self, reader, writer, line, headers):
        method, path, _ = line.split(" ")
        if path == "/-/report":
            await read_body(reader, headers)
            report = {
                "busy": self.busy, "born": self.born, "seq_no": self.orders, "queue_depth": 0,
                "in_flight": self.running, "kv_used": self.running * 400, "kv_total": 132741, "handles": 0,
                "coming": [], **self.holdings(),
            }
            writer.write(message("HTTP/1.1 200 OK", [self.load()], json.dumps(report).encode()))
            await writer.drain()
        elif path == "/-/order":
            order = json.loads(await read_body(reader, headers))
            await self.on_order(writer, order, headers.get("expect-instance"))
        else:
            await super().handle(reader, writer, line, headers)

    async def on_order(self, writer, order, expected):
        status = self.accept(order, expected)
        self.record.write(f"engine {self.name} answers {status} to order {order}")
        writer.write(message(f"HTTP/1.1 {status} Answer", []))
        await writer.drain()

    def accept(self, order, expected):
        """Decides on an order, and begins to carry it out."""
        model, adapter = order["model"], order.get("adapter")
        if expected not in (None, self.name):
            return 421
        if self.busy or order.get("precondition", self.orders) != self.orders:
            return 409
        if adapter is not None:
            if model not in self.resident:
                return 409
            if (adapter in self.resident[model]) == (order["op_type"] == "load"):
                return 200
            self.orders += 1
            change = self.resident[model].add if order["op_type"] == "load" else self.resident[model].discard
            change(adapter)
            return 202
        if (model in self.resident) == (order["op_type"] == "load"):
            return 200
        self.orders += 1
        if order["op_type"] == "load" and self.used_mb() + self.models[model]["weights_mb"] > self.weights_mb:
            self.overloads.append((model, sorted(self.resident)))
            self.record.write(
                f"LIMIT: engine {self.name} is ordered to load {model} beside {sorted(self.resident)}: "
                f"{self.used_mb()} + {self.models[model]['weights_mb']} MB of {self.weights_mb} MB")
            self.spawn_crash()
            return 202
        self.busy = True
        self.spawn(self.carry_out(order["op_type"], model))
        return 202

    def spawn_crash(self):
        self.crashing = asyncio.create_task(self.crash(2.0))

    async def carry_out(self, op_type, model):
        if op_type == "load":
            await asyncio.sleep(self.models[model]["disk_s"])
            self.resident[model] = set()
        else:
            while self.waiting_runs.get(model):
                await asyncio.sleep(0.02)
            self.resident.pop(model, None)
        self.busy = False
        self.record.write(f"engine {self.name} holds {sorted(self.resident)}, its seq_no is {self.orders}")

    async def run(self, headers, body):
        request = headers.get("request-id", "")
        model, _, adapter = headers.get("model", "").partition("/")
        if model not in self.resident or (adapter and adapter not in self.resident[model]):
            return message("HTTP/1.1 421 Misdirected Request", [
                ("Instance-Id", self.name), ("Request-Id", request), ("Not-Executed", "1")])
        born = self.born
        self.running += 1
        self.waiting_runs[model] = self.waiting_runs.get(model, 0) + 1
        self.runs.append(request)
        self.record.write(f"engine {self.name} runs {request}")
        try:
            await asyncio.sleep(self.work_s)
        finally:
            if self.born == born:
                self.running -= 1
                self.waiting_runs[model] -= 1
        events = "".join(f"id: {event}\ndata: {request}\n\n" for event in range(1, 6)).encode()
        return message("HTTP/1.1 200 OK", [
            ("Content-Type", "text/event-stream"), ("Request-Id", request),
            ("Response-Signature", f"{self.name}.{request}"), ("Keep-Alive", "timeout=20"), self.load()], events)


class Agent:
    """The agent process beside an engine, started as the deploy file says."""

    def __init__(self, name, engine, store, seeds, folder):
        ip, port = engine.address
        self.name, self.folder, self.process = name, folder, None
        self.settings = os.path.join(folder, f"{name}.conf")
        with open(self.settings, "w") as file:
            file.write(
                f"node={name}\nrole=agent\nmachine_class=side\nserves=side\nip={ip}\nzone={engine.zone}\n"
                f"region=biobio\nport_range={PORT_RANGE}\nseeds={','.join(f'{seed}:{CONTROL_PORT}' for seed in seeds)}\n"
                f"bootstrap=true\napp={ip}:{port}\nservice={engine.service}\n"
                f"platform.address={store.address[0]}:{store.address[1]}\n{ROUTER_SETTINGS}")

    def start(self):
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env["CORIANDERSTAND_CONFIG"] = self.settings
        log = open(os.path.join(self.folder, f"{self.name}.log"), "a")
        self.process = subprocess.Popen([PROGRAM, "agent", "--platform"], cwd=ROOT, env=env, stdout=log, stderr=log)

    def signal(self, number):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)


class Router:
    """A router process, started as the deploy file says."""

    def __init__(self, name, ip, store, seeds, folder, zone="conce", extra=""):
        self.name, self.ip, self.folder = name, ip, folder
        self.front, self.ready = (ip, FRONT_PORT), (ip, READY_PORT)
        self.settings = os.path.join(folder, f"{name}.conf")
        self.process, self.first = None, True
        self.base = (
            f"node={name}\nrole=router\nmachine_class=edge\nserves=edge,control_plane\nip={ip}\nzone={zone}\n"
            f"region=biobio\nzones.{zone}=biobio\nlisten.front={ip}:{FRONT_PORT}\nlisten.ready={ip}:{READY_PORT}\n"
            f"listen.control={ip}:{CONTROL_PORT}\nport_range={PORT_RANGE}\n"
            f"seeds={','.join(f'{seed}:{CONTROL_PORT}' for seed in seeds)}\n"
            f"platform.address={store.address[0]}:{store.address[1]}\n{ROUTER_SETTINGS}{extra}")

    def start(self):
        with open(self.settings, "w") as file:
            file.write(f"{self.base}\nbootstrap={'true' if self.first else 'false'}\n")
        self.first = False
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env["CORIANDERSTAND_CONFIG"] = self.settings
        log = open(os.path.join(self.folder, f"{self.name}.log"), "a")
        self.process = subprocess.Popen(
            [PROGRAM, "router", "--platform", "--features", "deploy/features.json"],
            cwd=ROOT, env=env, stdout=log, stderr=log)

    def signal(self, number):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)

    def status_kb(self, field):
        """A figure of the process's memory, in kB; none if it is gone."""
        try:
            with open(f"/proc/{self.process.pid}/status") as file:
                return next(int(line.split()[1]) for line in file if line.startswith(field + ":"))
        except (OSError, StopIteration):
            return None

    async def wait_until_ready(self, limit_s=15):
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            try:
                reader, writer = await asyncio.open_connection(*self.ready)
                writer.write(f"GET /-/readiness HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode())
                line, _ = await asyncio.wait_for(read_head(reader), 1)
                writer.close()
                if " 200 " in line:
                    return True
            except (OSError, Closed, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.1)
        return False


class Deployment:
    """Addresses and a temporary folder of a case, and the end of all that it started."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.net = f"127.{random.randint(16, 250)}.{random.randint(1, 250)}"
        self.hosts = 1
        self.routers = []

    def ip(self):
        self.hosts += 1
        return f"{self.net}.{self.hosts}"

    def add_router(self, name, store, ip, seeds, **more):
        router = Router(name, ip, store, seeds, self.folder, **more)
        self.routers.append(router)
        return router

    def add_agent(self, name, engine, store, seeds):
        agent = Agent(name, engine, store, seeds, self.folder)
        self.routers.append(agent)
        return agent

    def end(self):
        for router in self.routers:
            if router.process and router.process.poll() is None:
                router.signal(signal.SIGCONT)
                router.process.kill()
                router.process.wait()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def run(main, folder):
    """Runs a case; exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run."""
    deployment = Deployment(folder)
    status = 2
    # The processes that were started end with the script.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        limit_s = 115
        broken = asyncio.run(asyncio.wait_for(main(deployment), limit_s))
        status = 1 if broken else 0
    except Exception as error:  # anything else than a judgement
        deployment.record.write(f"the case could not run: {error!r}")
        print(f"could not run: {error!r}", file=sys.stderr)
        status = 2
    finally:
        deployment.end()
    deployment.record.write(f"exit {status}")
    sys.exit(status)


def with_trouble():
    """Whether the disruption is played."""
    return os.environ.get("TROUBLE", "1") != "0"
