"""Stand-ins for the platform's store, engines, clients and the supervisor of processes.

Everything listens on loopback addresses. The programs under test are started with the commands of
deploy/system.toml and a settings file as on the page DEPLOY.
"""
import asyncio
import base64
import json
import os
import random
import shutil
import socket
import struct
import tempfile
import time
import tomllib

REPO = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, CANNOT_RUN = 0, 1, 2


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, case_dir):
        self.file = open(os.path.join(case_dir, "record.txt"), "w")
        self.began = time.monotonic()

    def write(self, *words):
        now = time.monotonic() - self.began
        self.file.write(f"{now:9.3f} " + " ".join(str(word) for word in words) + "\n")
        self.file.flush()


def free_port(ip):
    with socket.socket() as s:
        s.bind((ip, 0))
        return s.getsockname()[1]


def shared_free_port(ips):
    """A port that is free at all addresses, for TCP and UDP."""
    for _ in range(200):
        port = random.randint(20000, 32000)
        opened = []
        try:
            for ip in ips:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    s = socket.socket(socket.AF_INET, kind)
                    opened.append(s)
                    s.bind((ip, port))
            return port
        except OSError:
            continue
        finally:
            for s in opened:
                s.close()
    raise RuntimeError("no free port")


# --- HTTP -----------------------------------------------------------------------------------------


class Request:
    def __init__(self, method, path, headers, body):
        self.method, self.path, self.headers, self.body = method, path, headers, body

    def query(self, name, default=None):
        _, _, query = self.path.partition("?")
        for pair in query.split("&"):
            key, _, value = pair.partition("=")
            if key == name:
                return value
        return default


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_chunked(reader):
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).strip(), 16)
        data = await reader.readexactly(size + 2)
        if size == 0:
            return body
        body += data[:-2]


def response(status, body=b"", headers=()):
    if isinstance(body, (dict, list)):
        body = json.dumps(body).encode()
    elif isinstance(body, str):
        body = body.encode()
    head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n"
    head += "".join(f"{name}: {value}\r\n" for name, value in headers)
    return head.encode() + b"\r\n" + body


async def serve_http(ip, port, handle):
    """Serves HTTP/1.1 with kept connections. `handle(request, writer)` returns the bytes of an
    answer, or none if it has written the answer itself."""

    async def connected(reader, writer):
        try:
            while True:
                line, headers = await read_head(reader)
                method, path, _ = line.split(" ", 2)
                body = b""
                if headers.get("transfer-encoding", "").lower() == "chunked":
                    body = await read_chunked(reader)
                elif int(headers.get("content-length", 0)):
                    body = await reader.readexactly(int(headers["content-length"]))
                answer = await handle(Request(method, path, headers, body), writer)
                if answer is not None:
                    writer.write(answer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError, RuntimeError,
                asyncio.CancelledError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(connected, ip, port, limit=1 << 20, backlog=512)


class Outcome:
    """What a client saw of one request."""

    def __init__(self):
        self.status = None
        self.headers = {}
        self.body = b""
        self.is_whole = False
        self.sent_at = self.ended_at = None
        self.how = "open"

    def __str__(self):
        took = (self.ended_at or time.monotonic()) - (self.sent_at or time.monotonic())
        whole = "whole" if self.is_whole else "not whole"
        return f"{self.how} status={self.status} {whole} bytes={len(self.body)} after {took:.3f} s"


async def call(addr, method, path, headers, body=b"", timeout=30.0, pause=None, read_rate=None,
               rcvbuf=None):
    """Sends one request on a new connection and reads its answer. With `pause`, (bytes, seconds), it
    stops reading for a while after so many bytes; `read_rate` is in bytes per second."""
    outcome = Outcome()
    loop = asyncio.get_running_loop()
    sock = socket.socket()
    if rcvbuf:
        # A slow client behind a link with the usual size of packets.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, rcvbuf)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1460)
    sock.setblocking(False)
    writer = None
    try:
        await asyncio.wait_for(loop.sock_connect(sock, addr), 1.0)
        limit = 1 << 14 if pause or read_rate else 1 << 20
        reader, writer = await asyncio.open_connection(sock=sock, limit=limit)
        head = f"{method} {path} HTTP/1.1\r\n"
        headers = dict(headers)
        if body:
            headers["Content-Length"] = len(body)
        head += "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        writer.write(head.encode() + b"\r\n" + body)
        await writer.drain()
        outcome.sent_at = time.monotonic()

        async def read():
            nonlocal pause
            line, outcome.headers = await read_head(reader)
            outcome.status = int(line.split(" ")[1])
            if outcome.headers.get("transfer-encoding", "").lower() == "chunked":
                while True:
                    size = int((await reader.readuntil(b"\r\n")).strip(), 16)
                    data = await reader.readexactly(size + 2)
                    if size == 0:
                        break
                    outcome.body += data[:-2]
            else:
                left = int(outcome.headers.get("content-length", 0))
                while left:
                    data = await reader.read(min(left, 1 << 14))
                    if not data:
                        raise asyncio.IncompleteReadError(b"", left)
                    outcome.body += data
                    left -= len(data)
                    if read_rate:
                        await asyncio.sleep(len(data) / read_rate)
                    if pause and len(outcome.body) >= pause[0]:
                        await asyncio.sleep(pause[1])
                        pause = None
            outcome.is_whole = True

        await asyncio.wait_for(read(), timeout)
        outcome.how = "answered"
    except asyncio.TimeoutError:
        outcome.how = "given up"
    except (asyncio.IncompleteReadError, ConnectionError, OSError) as error:
        outcome.how = f"connection ended ({type(error).__name__})"
    finally:
        outcome.ended_at = time.monotonic()
        if writer is not None:
            writer.close()
        else:
            sock.close()
    return outcome


# --- The platform's store -------------------------------------------------------------------------


class Store:
    """The keyed topics of the store: `keyed.op`, `keyed.servers` and the system's own."""

    def __init__(self, ip):
        self.addr = (ip, free_port(ip))
        self.topics = {}
        self.changed = asyncio.Condition()

    async def start(self):
        self.server = await serve_http(*self.addr, self.handle)

    def topic(self, name):
        return self.topics.setdefault(name, [])

    async def put(self, topic, key, value):
        value = b"" if value is None else json.dumps(value).encode()
        async with self.changed:
            self.topic(topic).append((key, value))
            self.changed.notify_all()

    def newest(self, topic):
        newest = {}
        for offset, (key, value) in enumerate(self.topic(topic)):
            newest[key] = (offset, value)
        return {key: entry for key, entry in newest.items() if entry[1]}

    async def handle(self, req, writer):
        path = req.path.partition("?")[0]
        topic = req.query("topic", "")
        await asyncio.sleep(0.004)
        if path == "/-/log-newest":
            items = [
                {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
                for key, (offset, value) in sorted(self.newest(topic).items())
            ]
            end = len(self.topic(topic))
            return response(200, {"items": items, "has_more": False, "end": end})
        if path == "/-/log-read":
            start, wait = int(req.query("from", 0)), int(req.query("wait_ms", 0)) / 1000
            async with self.changed:
                if len(self.topic(topic)) <= start and wait:
                    waiting = self.changed.wait_for(lambda: len(self.topic(topic)) > start)
                    try:
                        await asyncio.wait_for(waiting, wait)
                    except asyncio.TimeoutError:
                        pass
            records = self.topic(topic)
            body = struct.pack(">QQ", len(records), 0)
            for key, value in records[start : start + 500]:
                content = bytes([len(key)]) + key.encode() + value
                body += struct.pack(">I", len(content)) + content
            return response(200, body)
        if path == "/-/log-append":
            body, offset = req.body, len(self.topic(topic))
            async with self.changed:
                while body:
                    (size,) = struct.unpack(">I", body[:4])
                    content, body = body[4 : 4 + size], body[4 + size :]
                    key_end = 1 + content[0]
                    self.topic(topic).append((content[1:key_end].decode(), content[key_end:]))
                self.changed.notify_all()
            return response(200, {"offset": offset, "end": len(self.topic(topic))})
        return response(404)


# --- Engines and plain services -------------------------------------------------------------------


class Server:
    """An engine or a plain service; answers requests by `run`, a coroutine that returns bytes."""

    def __init__(self, deployment, name, service, ip, slots, run, models=()):
        self.deployment, self.name, self.service = deployment, name, service
        self.addr = (ip, free_port(ip))
        self.slots, self.run = slots, run
        self.models = [{"name": m, "version": 1, "adapters": []} for m in models]
        self.seq_no, self.beats, self.running = 0, 0, 0
        self.orders = None
        self.runs = []

    async def start(self):
        self.server = await serve_http(*self.addr, self.handle)
        await self.beat()
        self.heart = asyncio.create_task(self.keep_beating())

    async def beat(self):
        self.beats += 1
        entry = {
            "service": self.service,
            "address": f"{self.addr[0]}:{self.addr[1]}",
            "zone": "z1",
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "cold_remaining_ms": 0,
            "stage": "unified",
            "models": self.models,
            "seq_no": self.beats,
        }
        await self.deployment.store.put("keyed.servers", self.name, entry)

    async def keep_beating(self):
        while True:
            await asyncio.sleep(1.2)
            await self.beat()

    def report(self):
        return {
            "stage": "unified",
            "models": self.models,
            "busy": False,
            "seq_no": self.seq_no,
            "queue_depth": 0,
            "in_flight": self.running,
            "kv_used": 0,
            "kv_total": 130000,
            "handles": 0,
        }

    def head(self, req):
        return [
            ("Request-Id", req.headers.get("request-id", "")),
            ("Response-Signature", f"{self.name}.{len(self.runs)}"),
            ("Server-Load", f"{self.running},0,{self.slots}"),
        ]

    async def handle(self, req, writer):
        path = req.path.partition("?")[0]
        if path == "/health":
            load = f"{self.running},0,{self.slots}"
            return response(200, "", [("Instance-Id", self.name), ("Server-Load", load)])
        if path == "/-/report":
            return response(200, self.report())
        if path == "/-/order":
            if self.orders is None:
                return response(400)
            return await self.orders(req)
        rid = req.headers.get("request-id", "")
        if not rid:
            return response(400, "", [("Not-Executed", "1")])
        expected = req.headers.get("expect-instance")
        if expected not in (None, self.name):
            return response(421, "", [("Instance-Id", self.name), ("Request-Id", rid)])
        if self.running >= self.slots:
            return response(503, "", [("Not-Executed", "1"), ("Request-Id", rid)])
        self.running += 1
        self.runs.append(rid)
        self.deployment.record.write("run", self.name, rid, req.method, req.path)
        try:
            return await self.run(self, req, writer)
        finally:
            self.running -= 1


# --- Processes ------------------------------------------------------------------------------------


class Process:
    """A process of the system on a machine of its own address."""

    def __init__(self, deployment, role, node, settings):
        self.deployment, self.role, self.node = deployment, role, node
        self.settings = settings
        self.path = os.path.join(deployment.folder, f"{node}.conf")
        self.process = None
        self.starts = 0

    def start(self):
        fields = dict(self.settings)
        fields["bootstrap"] = "true" if self.starts == 0 else "false"
        with open(self.path, "w") as f:
            f.writelines(f"{name}={value}\n" for name, value in fields.items())
        words = self.deployment.commands[self.role].split(" ")
        log = open(os.path.join(self.deployment.folder, f"{self.node}.log"), "ab")
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env["CORIANDERSTAND_CONFIG"] = self.path
        import subprocess

        self.process = subprocess.Popen(
            [os.path.join(REPO, words[0]), *words[1:]],
            cwd=REPO, env=env, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
        )
        self.starts += 1
        self.deployment.record.write("start", self.node)

    def signal(self, number):
        self.deployment.record.write("signal", self.node, number)
        self.process.send_signal(number)

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def rss_mb(self):
        try:
            with open(f"/proc/{self.process.pid}/status") as f:
                for line in f:
                    if line.startswith("VmRSS:"):
                        return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0.0

    def log(self):
        with open(os.path.join(self.deployment.folder, f"{self.node}.log"), errors="replace") as f:
            return f.read()


class Deployment:
    """A store, routers, and agents if engines have them, each at its own loopback address."""

    def __init__(self, case_dir, routers, bounds=None, agents=0):
        self.record = Record(case_dir)
        self.folder = tempfile.mkdtemp(prefix="review-2-")
        with open(os.path.join(REPO, "deploy/system.toml"), "rb") as f:
            roles = tomllib.load(f)["roles"]
        self.commands = {name: role["run"] for name, role in roles.items()}
        net = f"127.{random.randint(20, 220)}.{random.randint(0, 250)}"
        self.net = net
        self.router_ips = [f"{net}.{10 + k}" for k in range(routers)]
        self.engine_ips = [f"{net}.{40 + k}" for k in range(max(agents, 8))]
        self.store = Store(f"{net}.1")
        ips = self.router_ips + self.engine_ips
        self.peer_port = shared_free_port(ips)
        self.front_port, self.ready_port, self.control_port = (
            shared_free_port(self.router_ips) for _ in range(3)
        )
        self.bounds = {
            "seed_lag_s": 3, "reuse_after_s": 2, "stable_window_ms": 3000, "ack_ms": 4000,
            "catch_up_s": 4, "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200,
            "config_apply_ms": 2000, "downgrade_slack_ms": 250, "outer_ms": 5000,
            "retry_budget": 0.2, "budget_window_s": 10, "retry_slack": 54, "recover_s": 12,
            "pass_ms": 120, "again_s": 0, "checks_fence": "false", "lease_ms": 3000,
            "thaw_slack_ms": 300, "ceiling_window_s": 5, "ceiling_over": 1.1,
        }
        self.bounds.update(bounds or {})
        self.routers = []
        self.agents = []
        for k, ip in enumerate(self.router_ips):
            node = f"edge-z1-{k + 1}"
            settings = self.common(node, "edge", ip)
            settings["listen.front"] = f"{ip}:{self.front_port}"
            settings["listen.ready"] = f"{ip}:{self.ready_port}"
            settings["listen.control"] = f"{ip}:{self.control_port}"
            self.routers.append(Process(self, "router", node, settings))

    def common(self, node, kind, ip):
        seeds = ",".join(f"{seed}:{self.control_port}" for seed in self.router_ips[:3])
        is_edge = kind == "edge"
        settings = {
            "node": node, "role": f"my-{kind}", "machine_class": kind,
            "serves": "edge,control_plane" if is_edge else "side",
            "ip": ip, "zone": "z1", "region": "r1", "zones.z1": "r1",
            "port_range": f"{self.peer_port},{self.peer_port + 15}", "seeds": seeds,
            "bootstrap": "true", "counts_as_loss": "false",
            "limits.cpu_share": 0.19 if is_edge else 0.2, "limits.cores": 1,
            "limits.memory_mb": 260 if is_edge else 192, "limits.max_fds": 4100,
            "limits.link_mbps": 1000.0, "limits.disk_mb": 0, "discovery": "platform",
            "entry": "vip", "heartbeat_ms": 1200,
            "platform.address": f"{self.store.addr[0]}:{self.store.addr[1]}",
            "platform.form": "log", "platform.writes_per_s": 400, "platform.reads_per_s": 2000,
            "platform.parts": 24,
        }
        settings.update({f"bounds.{name}": value for name, value in self.bounds.items()})
        return settings

    def add_agent(self, server):
        ip = server.addr[0]
        node = f"side-z1-{len(self.agents) + 1}"
        settings = self.common(node, "side", ip)
        settings["app"] = f"{ip}:{server.addr[1]}"
        settings["service"] = server.service
        self.agents.append(Process(self, "agent", node, settings))

    def front(self, router):
        return (self.router_ips[router], self.front_port)

    async def ready(self, router):
        addr = (self.router_ips[router], self.ready_port)
        outcome = await call(addr, "GET", "/-/readiness", {"Host": "x"}, timeout=1.0)
        return outcome.status == 200

    async def wait_until_ready(self, timeout=20.0):
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            if all([await self.ready(k) for k in range(len(self.routers))]):
                return
            await asyncio.sleep(0.1)
        raise RuntimeError("the routers do not become ready")

    def stop(self):
        for process in self.routers + self.agents:
            if process.process is not None and process.process.poll() is None:
                process.process.kill()
                process.process.wait()
        if os.environ.get("KEEP_LOGS"):
            print("logs in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


LIMITS = {
    "max_header_bytes": 16384, "max_body_bytes": 4194304,
    "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
}


def main(case_file, scenario, limit_s=118):
    """Runs a scenario(case_dir) that returns an exit code and ends all that it started."""
    case_dir = os.path.dirname(os.path.abspath(case_file))

    async def run():
        return await asyncio.wait_for(scenario(case_dir), limit_s)

    try:
        code = asyncio.run(run())
    except Exception as error:  # the case could not be run
        print("cannot run:", type(error).__name__, error)
        code = CANNOT_RUN
    os._exit(code)
