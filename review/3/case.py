"""Many clients come at once, with bodies within the configuration's limit; routers must stay within their memory."""

import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from standins import *

ROUTERS, ROUNDS, CLIENTS_EACH = 2, 3, 30
# `burst`, as in `sites/vidrio-sur.toml`: 1.7 times the traffic.
BURST = 1.7
# `max_body_bytes` of the configuration and `limits.memory_mb` of the settings, as `fleetbench wire` prints them.
BODY_BYTES = 4_194_304
MEMORY_KB = 260 * 1024
RESTART_DELAY_S = 0.5


async def watch_memory(record, router, ends):
    """Does what the platform does: kills a process that exceeds its memory, and starts it again shortly after."""
    while True:
        peak_kb = router.status_kb("VmHWM")
        if peak_kb is not None and peak_kb > MEMORY_KB:
            record.write(f"{router.name} has used {peak_kb} kB of {MEMORY_KB} kB: it is killed")
            ends.append(peak_kb)
            router.process.kill()
            router.process.wait()
            await asyncio.sleep(RESTART_DELAY_S)
            router.start()
        await asyncio.sleep(0.005)


async def main(deployment):
    record = deployment.record
    clients = round(CLIENTS_EACH * (BURST if with_trouble() else 1))
    store = Store(deployment.ip())
    await store.start()
    store.put_config(config([BOOKING_ROUTE]))
    servers = [Server(store, record, f"i-{index}", "agenda", deployment.ip()) for index in range(3)]
    for server in servers:
        await server.start()
    ips = [deployment.ip() for _ in range(ROUTERS)]
    routers = [deployment.add_router(f"edge-conce-{index}", store, ip, ips) for index, ip in enumerate(ips)]
    for router in routers:
        router.start()
    ends = {router.name: [] for router in routers}
    for router in routers:
        assert await router.wait_until_ready(), "the routers are not ready"
        client = Client(record, router.front)
        for index in range(5):
            answer = await client.send(f"small-{index}-{router.name}", body=b"x" * 600)
            assert answer and answer[0] == 200, "the deployment does not serve"
        client.close()
    body = os.urandom(BODY_BYTES)
    answers, peaks = [], {router.name: [] for router in routers}

    async def book(router, request):
        client = Client(record, router.front)
        answers.append(await client.send(request, body=body))
        client.close()

    for number in range(ROUNDS):
        for router in routers:
            assert await router.wait_until_ready(), "the routers are not ready"
        watchers = [asyncio.create_task(watch_memory(record, router, ends[router.name])) for router in routers]
        await asyncio.gather(*(
            book(router, f"b{number}-{index}-{router.name}") for index in range(clients) for router in routers))
        for router in routers:
            peaks[router.name].append(router.status_kb("VmHWM"))
        await asyncio.sleep(2)
        for watcher in watchers:
            watcher.cancel()

    lost = sum(1 for answer in answers if answer is None)
    served = sum(1 for answer in answers if answer and answer[0] == 200)
    kills = {name: len(of_router) for name, of_router in ends.items()}
    text = (
        f"{clients} clients at each router, {len(answers)} requests, {served} served, {lost} without an answer; "
        f"processes that exceeded their memory: {kills} {ends}; peaks in kB of those running: {peaks}")
    record.write(text)
    print(text)
    return sum(1 for count in kills.values() if count >= 3) >= 2


run(main, FOLDER)
