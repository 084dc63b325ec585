"""A request that crashes servers comes again while the entries are restarted one after the other."""

import asyncio
import pathlib
import random
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
import site_parts as site  # noqa: E402

ENTRIES = 9
SERVERS = 9
WORK_S = 0.16
RATE_PER_S = 20.0
STABLE_WINDOW_S = 3.0
# `roll_term` of the site file: all machines, one at a time; the shortest gap there.
ROLL_GAP_S = 1.0
ROLLS = 3
# The caller of the request that crashes servers sends it this many times, so far apart, before each
# roll and after the last one.
TRIES = 3
TRY_GAP_S = 3.6
# From the start of the last entry of a roll to the next try: the entry is in touch again.
SETTLE_S = 4.5
CRASHING_PATH = "/order/crashing"
# A crashed server is back after some seconds.
SERVER_DOWN_S = 3.0
MAX_RETRIES = 3


class Server(site.Server):
    """A server that crashes when it begins to run one particular request."""

    arrivals = []  # (seconds, attempt, entry)
    crashes = []  # seconds
    senders = {}  # The entry to which the caller sent each attempt.

    async def work(self, method, path, body):
        if path != CRASHING_PATH:
            await super().work(method, path, body)
            return
        attempt = next(run.attempt for run in self.runs if run.path == path)
        Server.arrivals.append((time.monotonic(), attempt, Server.senders.get(attempt)))
        await asyncio.sleep(0.03)
        Server.crashes.append(time.monotonic())
        self.record.write(f"{self.name} crashes on {attempt}; crash {len(Server.crashes)}")
        port = self.port
        asyncio.get_running_loop().create_task(self.come_back(port))
        await self.crash()
        await asyncio.sleep(3600)

    async def come_back(self, port):
        await asyncio.sleep(SERVER_DOWN_S)
        again = Server(self.record, self.store, self.ledger, self.name, self.service, self.zone,
                       False, WORK_S)
        self.ledger[self.ledger.index(self)] = again
        await again.start(port)
        self.record.write(f"{self.name} is back")


async def case(record, folder, trouble, entries):
    store = site.Store()
    await store.start()
    routes = [("/order/", "unsafe", "commissions", 2, 1000)]
    await store.put("op", "config", site.config(1, routes, [("commissions", False)]))
    servers = []
    for number in range(SERVERS):
        server = Server(record, store, servers, f"i-{number:04x}", "commissions",
                        "abc"[number % 3], False, WORK_S)
        servers.append(server)
        await server.start()
    for number in range(ENTRIES):
        entry = site.Entry(folder, f"front-{number}", "abc"[number % 3], store.port)
        entry.start()
        entry.misses, entry.disturbed_at = 0, time.monotonic()
        entries.append(entry)
    caller = site.Caller(record)
    statuses, stop = {}, asyncio.Event()

    async def check_ready(entry):
        """The platform's check: after two misses an entry gets no new connection."""
        while not stop.is_set():
            entry.misses = 0 if await entry.is_ready() else entry.misses + 1
            await asyncio.sleep(1.0)

    def in_rotation():
        return [entry for entry in entries if entry.misses < 2]

    async def traffic():
        sent, started = 0, time.monotonic()
        while not stop.is_set():
            async def one():
                _, status, _ = await caller.send(
                    random.choice(in_rotation() or entries), "POST", f"/order/{sent}", body=b"order",
                    quiet=True)
                statuses[status] = statuses.get(status, 0) + 1
            asyncio.create_task(one())
            sent += 1
            await asyncio.sleep(max(0.0, started + sent / RATE_PER_S - time.monotonic()))

    async def try_crashing_request():
        for _ in range(TRIES):
            entry = random.choice(in_rotation() or entries)
            Server.senders[f"{caller.count + 1:016x}"] = entry
            await caller.send(entry, "POST", CRASHING_PATH, body=b"the order")
            await asyncio.sleep(TRY_GAP_S)

    async def roll(entry):
        record.write(f"{entry.name} gets SIGTERM")
        entry.disturbed_at = time.monotonic()
        entry.signal(signal.SIGTERM)
        until = time.monotonic() + 6.0
        while not entry.has_ended() and time.monotonic() < until:
            entry.disturbed_at = time.monotonic()
            await asyncio.sleep(0.05)
        if not entry.has_ended():
            entry.signal(signal.SIGKILL)
            entry.process.wait()
        entry.start()
        entry.disturbed_at = time.monotonic()
        record.write(f"{entry.name} starts again")

    checks = [asyncio.create_task(check_ready(entry)) for entry in entries]
    await asyncio.sleep(8)
    tasks = [asyncio.create_task(traffic())]
    # In touch is judged when the request arrives at a server.
    counted, seen = set(), 0

    async def watch():
        nonlocal seen
        while True:
            for at, attempt, entry in Server.arrivals[seen:]:
                seen += 1
                after = at - Server.crashes[2] if len(Server.crashes) > 2 else 0.0
                calm = entry is not None and at - entry.disturbed_at > STABLE_WINDOW_S
                late = after > STABLE_WINDOW_S
                record.write(f"{attempt} reached a server; sent by {entry and entry.name}, in touch "
                             f"{calm}, {after:.3f} s after the third crash")
                if calm and late:
                    counted.add(attempt)
            await asyncio.sleep(0.01)

    tasks.append(asyncio.create_task(watch()))
    await try_crashing_request()
    for _ in range(ROLLS):
        rolls = []
        for entry in entries:
            if trouble:
                rolls.append(asyncio.create_task(roll(entry)))
            await asyncio.sleep(ROLL_GAP_S)
        await asyncio.gather(*rolls)
        await asyncio.sleep(SETTLE_S)
        await try_crashing_request()
    stop.set()
    for task in [*tasks, *checks]:
        task.cancel()
    record.write(f"answers to other requests {statuses}; {len(Server.crashes)} crashes; "
                 f"{len(counted)} retries counted")
    if statuses.get(200, 0) < sum(statuses.values()) / 2 or len(Server.crashes) < 2:
        return 2
    return 1 if len(counted) > MAX_RETRIES else 0


site.main(case)
