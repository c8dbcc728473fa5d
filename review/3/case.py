"""Two routers can't reach each other; together they must keep the quota of a tenant."""

import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from standins import *

# Bounds of `shifted/vidrio-sur-now-grown.toml`; the tenant's figures are a ninth of those of its examples.
WINDOW_S, OVER, SLACK = 8.0, 0.1, 7_500
RATE_PER_S, BURST = 20_000, 20_000
COST, KEY = 2_000, "asnmgkcuyj8pjbvk9m68"
BOUNDS = (
    f"bounds.fail_closed=true\nbounds.revoke_ms=5000\nbounds.quota_window_s={WINDOW_S:.0f}\n"
    f"bounds.quota_over={OVER}\nbounds.quota_slack={SLACK}\n")
# `node_cut`: 12 s at most in the site file.
CUT_S = 12.0
# `hot_tenant`: 11 s at most in the site file, and 7.5 times the usual. What each of two routers is sent, in requests
# per second: twice the tenant's quota.
HOT_S, REQUESTS_PER_S = 11.0, 20
# Time until the other routers have read in the store that one has left.
LEFT_S = 15


def tenants_config():
    whole = config([BOOKING_ROUTE])
    whole["tenants"] = [{
        "name": "hule930", "api_keys": [KEY], "priority": 1, "unit": "tokens", "plain_tokens": 200,
        "rate_per_s": RATE_PER_S, "burst": BURST,
    }]
    return whole


class Relay(asyncio.DatagramProtocol):
    """One end of the link between two routers: passes on what one sends to the other, unless the link is cut."""

    def __init__(self, link, to):
        self.link, self.to, self.other = link, to, None

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, _):
        if not self.link["cut"]:
            self.other.transport.sendto(data, self.to)


async def link_routers(deployment, link, left, right):
    """Opens a link; returns the addresses at which each of two routers reaches the other."""
    loop = asyncio.get_running_loop()
    port = int(PORT_RANGE.split(",")[0])
    for_left, for_right = deployment.ip(), deployment.ip()
    _, at_left = await loop.create_datagram_endpoint(
        lambda: Relay(link, (right, port)), local_addr=(for_left, port))
    _, at_right = await loop.create_datagram_endpoint(
        lambda: Relay(link, (left, port)), local_addr=(for_right, port))
    at_left.other, at_right.other = at_right, at_left
    await asyncio.start_server(lambda *ends: relay_connection(link, ends, (right, port)), for_left, port)
    await asyncio.start_server(lambda *ends: relay_connection(link, ends, (left, port)), for_right, port)
    return for_left, for_right


async def relay_connection(link, ends, to):
    """Passes on what two routers send on a connection, unless the link is cut."""
    reader, writer = ends
    try:
        far_reader, far_writer = await asyncio.open_connection(*to)
    except OSError:
        reset(writer)
        return

    async def pump(source, sink):
        try:
            while data := await source.read(65536):
                while link["cut"]:
                    await asyncio.sleep(0.1)
                sink.write(data)
                await sink.drain()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            sink.close()

    await asyncio.gather(pump(reader, far_writer), pump(far_reader, writer))


class StoreOf(Store):
    """The store as one router reaches it: it names the addresses at which that router reaches the others."""

    def __init__(self, ip, store, addresses):
        super().__init__(ip)
        self.store, self.addresses, self.topics = store, addresses, store.topics

    @property
    def changed(self):
        return self.store.changed

    @changed.setter
    def changed(self, event):
        if hasattr(self, "store"):
            self.store.changed = event

    def rewrite(self, topic, key, value):
        if topic != "keyed.routers" or value is None or key not in self.addresses:
            return value
        entry = json.loads(value)
        entry["addr"] = f"{self.addresses[key]}:{entry['addr'].rpartition(':')[2]}"
        return json.dumps(entry).encode()

    def view(self, topic):
        return [(key, self.rewrite(topic, key, value)) for key, value in self.topics.setdefault(topic, [])]

    def newest(self, topic, after):
        shown = Store((None))
        shown.topics = {topic: self.view(topic)}
        return shown.newest(topic, after)

    async def read(self, topic, start, wait_ms):
        await super().read(topic, start, wait_ms)
        shown = Store((None))
        shown.topics = {topic: self.view(topic)}
        return await shown.read(topic, start, 0)


class TimedServer(Server):
    """Notes when a request runs."""

    async def run(self, headers, body):
        self.arrived.append((time.monotonic(), headers.get("request-id", "")))
        return await super().run(headers, body)


async def main(deployment):
    record, trouble = deployment.record, with_trouble()
    store = Store(deployment.ip())
    await store.start()
    store.put_config(tenants_config())
    arrived, sent = [], {}
    servers = [
        TimedServer(store, record, f"i-{index}", "agenda", deployment.ip(), slots=64, work_s=0.02)
        for index in range(3)
    ]
    for server in servers:
        server.arrived = arrived
        await server.start()
    names, link = ["edge-conce-0", "edge-conce-1", "edge-conce-2"], {"cut": False}
    ips = {name: deployment.ip() for name in names}
    addresses = {name: {} for name in names}
    for left, right in ((names[0], names[1]), (names[0], names[2]), (names[1], names[2])):
        addresses[left][right], addresses[right][left] = await link_routers(
            deployment, link, ips[left], ips[right])
    routers = []
    for name in names:
        own_store = StoreOf(deployment.ip(), store, addresses[name])
        await own_store.start()
        seeds = [ips[name]] + [addresses[name][other] for other in names if other != name]
        routers.append(deployment.add_router(name, own_store, ips[name], seeds, extra=BOUNDS))
    for router in routers:
        router.start()
    for router in routers:
        assert await router.wait_until_ready(), "the routers are not ready"
    await asyncio.sleep(2)
    record.write(f"{names[2]} gets SIGTERM, as its machine is removed for good")
    routers[2].signal(signal.SIGTERM)
    await asyncio.sleep(LEFT_S)
    assert routers[2].process.poll() is not None, "a router did not end after SIGTERM"

    answers = {}

    async def send_one(router, request):
        client = Client(record, router.front)
        sent[request] = time.monotonic()
        headers = [("Authorization", f"Bearer {KEY}"), ("Token-Usage", "1800,200")]
        answers[request] = await client.send(request, headers=headers)
        client.close()

    async def press(router):
        tasks, count = [], 0
        await asyncio.sleep(CUT_S - HOT_S)
        until = time.monotonic() + HOT_S
        while time.monotonic() < until:
            count += 1
            tasks.append(asyncio.create_task(send_one(router, f"{router.name}-{count}")))
            await asyncio.sleep(1 / REQUESTS_PER_S)
        await asyncio.gather(*tasks)

    async def cut():
        if trouble:
            record.write(f"{names[0]} and {names[1]} can't reach each other")
            link["cut"] = True
        await asyncio.sleep(CUT_S)
        link["cut"] = False
        record.write("the link is whole again")

    await asyncio.gather(cut(), *(press(router) for router in routers[:2]))
    return judge(record, arrived, sent, answers)


def judge(record, arrived, sent, answers):
    limit = (RATE_PER_S * WINDOW_S + BURST) * (1 + OVER) + SLACK
    runs = sorted((at, sent[request]) for at, request in arrived if request in sent)
    most = 0
    for begin, _ in runs:
        within = [1 for at, sent_at in runs if sent_at >= begin - 0.005 and at <= begin - 0.005 + WINDOW_S]
        most = max(most, len(within) * COST)
    statuses = {}
    for answer in answers.values():
        status = answer[0] if answer else None
        statuses[status] = statuses.get(status, 0) + 1
    text = f"answers {statuses}; QUOTA: at most {most} tokens within {WINDOW_S:.0f} s, of {limit:.0f} allowed"
    record.write(text)
    print(text)
    assert statuses.get(200, 0) > 0, "the deployment does not serve"
    return most > limit


run(main, FOLDER)
