"""The store comes back from a copy while the leader is restarted; the copy has no map of the keys."""

import asyncio
import pathlib
import random
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
import site_parts as site  # noqa: E402

ENTRIES = 9
SERVERS = 12
JOINING = 3  # `scale_out`, share 0.25
WORK_S = 0.06
RATE_PER_S = 60.0
# The store is away for a moment, and comes back from a copy some seconds old.
AWAY_S = 2.0
# DEPLOY.md: "many or all machines may be killed or lose power at the same time".
KILLED = 9
KILLED_BEFORE_S = 0.3
RESTART_S = 0.5
# Two servers must not hold the same keys for longer.
MAX_OVERLAP_S = 0.5


class Watch:
    """Finds keys that two servers hold at the same time."""

    def __init__(self, record, servers):
        self.record, self.servers, self.since, self.broken = record, servers, {}, []

    def look(self):
        now, seen = time.monotonic(), set()
        held = [(server, span) for server in self.servers if server.up
                for span in server.held if span[3] > now]
        for index, (one, a) in enumerate(held):
            for other, b in held[index + 1:]:
                if one is other or a[0] > b[1] or b[0] > a[1]:
                    continue
                keys = (max(a[0], b[0]), min(a[1], b[1]))
                pair = (one.name, other.name, keys)
                seen.add(pair)
                since = self.since.setdefault(pair, now)
                if now - since > MAX_OVERLAP_S and pair not in self.broken:
                    self.broken.append(pair)
                    self.record.write(
                        f"BROKEN: {one.name} (fence {a[2]}) and {other.name} (fence {b[2]}) have "
                        f"held the keys {keys[0]}-{keys[1]} for {now - since:.3f} s")
        for pair in set(self.since) - seen:
            del self.since[pair]


async def case(record, folder, trouble, entries):
    store = site.Store()
    await store.start()
    routes = [("/book/", "safe", "foldbook", 2, 1000)]
    await store.put("op", "config", site.config(1, routes, [("foldbook", True)]))
    servers = []

    async def add_server():
        server = site.Server(record, store, servers, f"i-{len(servers):04x}", "foldbook",
                             "abc"[len(servers) % 3], True, WORK_S)
        servers.append(server)
        await server.start()

    for _ in range(SERVERS):
        await add_server()
    for number in range(ENTRIES):
        entry = site.Entry(folder, f"front-{number}", "abc"[number % 3], store.port)
        entry.start()
        entries.append(entry)
    record.write("the entries start")
    watch = Watch(record, servers)
    copy = None
    # The copy is from the last moment at which no key had been granted.
    while not any(server.held for server in servers):
        copy, copied_at = store.copy(), time.monotonic()
        await asyncio.sleep(0.25)
        if time.monotonic() - record.started_at > 12:
            return 2
    record.write("the first keys are granted")
    await asyncio.sleep(1.5)
    for _ in range(JOINING):
        await add_server()
    record.write(f"{JOINING} servers join")
    caller, statuses, stop, tasks = site.Caller(record), {}, asyncio.Event(), set()

    async def one():
        key = random.randrange(65536)
        entry = random.choice(entries)
        _, status, _ = await caller.send(entry, "GET", f"/book/{key}", key, quiet=True)
        statuses[status] = statuses.get(status, 0) + 1

    async def traffic():
        sent, started = 0, time.monotonic()
        while not stop.is_set():
            task = asyncio.create_task(one())
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            sent += 1
            watch.look()
            await asyncio.sleep(max(0.0, started + sent / RATE_PER_S - time.monotonic()))

    load = asyncio.create_task(traffic())
    await asyncio.sleep(1.0)
    if trouble:
        store.away = True
        record.write("the store is away")
    await asyncio.sleep(AWAY_S - KILLED_BEFORE_S)
    leader = next(entry for entry in entries if entry.name == store.leader())
    others = random.sample([entry for entry in entries if entry is not leader], KILLED - 1)
    for entry in [leader, *others]:
        entry.signal(signal.SIGKILL)
        entry.process.wait()
    record.write(f"{leader.name}, which leads, and {[entry.name for entry in others]} are killed")
    await asyncio.sleep(KILLED_BEFORE_S)
    if trouble:
        age = time.monotonic() - copied_at
        await store.restore(copy)
        store.away = False
        record.write(f"the store is back from a copy that is {age:.3f} s old")
        await store.put("op", "config", site.config(1, routes, [("foldbook", True)]))
    await asyncio.sleep(RESTART_S - KILLED_BEFORE_S)
    for entry in [leader, *others]:
        entry.start()
    record.write("the killed entries start again")
    await asyncio.sleep(20)
    stop.set()
    await load
    record.write(f"answers {statuses}; {len(watch.broken)} overlaps; {store.leader()} leads")
    if watch.broken:
        return 1
    return 0 if statuses.get(200, 0) > 0.3 * sum(statuses.values()) else 2


site.main(case)
