"""A small deployment on loopback: a store, servers and callers as stand-ins, and real entries.

The stand-ins follow the users' pages (PROTOCOL.md). They run in one process, so that all times in
the record come from one clock. The entries are separate processes, started with the command of the
deploy file.
"""

import asyncio
import base64
import collections
import itertools
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback

ROOT = pathlib.Path(__file__).resolve().parents[2]
PROGRAM = ROOT / "target" / "release" / "almondworks"
HOST = "shop.example"
HEARTBEAT_S = 0.87
LOOPBACK = "127.0.0.1"


class Record:
    """The events of a run, with the seconds since its start."""

    def __init__(self, path):
        self.started_at = time.monotonic()
        self.file = open(path, "w", buffering=1)

    def now(self):
        return time.monotonic() - self.started_at

    def write(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")


def free_port():
    with socket.socket() as probe:
        probe.bind((LOOPBACK, 0))
        return probe.getsockname()[1]


async def read_message(reader):
    """Reads one HTTP/1.1 message with a stated length; returns its first line, headers and body."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                break
            body += chunk[:-2]
    else:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    return lines[0], headers, body


def answer(status, headers=(), body=b""):
    lines = [f"HTTP/1.1 {status} -", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers if value is not None]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Store:
    """The platform's store: rows, transactions and feeds."""

    def __init__(self, txn_s=0.004):
        self.rows = {}
        self.changes = collections.deque()
        self.version = 0
        self.oldest = 0  # The version up to which the history is forgotten.
        self.era = 1
        self.written_at = {}
        self.changed = asyncio.Condition()
        self.txn_s = txn_s
        self.away = False  # Whether it answers no call, nor takes entries of servers.
        self.port = None

    async def start(self):
        server = await asyncio.start_server(self.serve, LOOPBACK, 0)
        self.port = server.sockets[0].getsockname()[1]
        asyncio.create_task(self.expire())

    def copy(self):
        return dict(self.rows), self.version

    async def restore(self, copy):
        """Goes back to a copy: what was written since is lost, and its versions are used again."""
        async with self.changed:
            self.rows, self.version = dict(copy[0]), copy[1]
            self.changes.clear()
            self.oldest = self.version
            self.era += 1
            now = time.monotonic()
            self.written_at = {row: now for row in self.rows if row[0] == "servers"}
            self.changed.notify_all()

    def leader(self):
        """Returns the entry that the system's own row names as its leader, for the script."""
        for (_, _, key), (value, _) in self.rows.items():
            if key == "lead":
                return json.loads(base64.b64decode(value))["vm"]
        return None

    async def put(self, table, key, value):
        """Writes a row as the operator or a server does."""
        if self.away and table == "servers":
            return
        encoded = base64.b64encode(json.dumps(value).encode()).decode()
        await self.apply([((table, "", key), encoded)])

    async def remove(self, table, key):
        self.written_at.pop((table, "", key), None)
        await self.apply([((table, "", key), None)])

    async def apply(self, writes):
        async with self.changed:
            self.version += 1
            for row, value in writes:
                if value is None:
                    self.rows.pop(row, None)
                else:
                    self.rows[row] = (value, self.version)
                if row[0] == "servers" and value is not None:
                    self.written_at[row] = time.monotonic()
                self.changes.append((self.version, row, value))
            self.changed.notify_all()

    async def expire(self):
        """Removes the entries of servers that have been silent for three heartbeats."""
        while True:
            await asyncio.sleep(0.1)
            if self.away:
                continue
            limit = time.monotonic() - 3 * HEARTBEAT_S
            for row in [row for row, at in self.written_at.items() if at < limit]:
                del self.written_at[row]
                if row in self.rows:
                    await self.apply([(row, None)])
                    self.written_at.pop(row, None)

    async def serve(self, reader, writer):
        try:
            while True:
                line, _, body = await read_message(reader)
                method, target, _ = line.split(" ")
                path, _, query = target.partition("?")
                if self.away:
                    return
                status, reply = await self.handle(method, path, parse_query(query), body)
                reply["now"] = f"{time.monotonic() * 1000:.3f}ms"
                if self.away:
                    return
                headers = [("Content-Type", "application/json"), ("Store-Era", self.era)]
                writer.write(answer(status, headers, json.dumps(reply).encode()))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def handle(self, method, path, query, body):
        if (method, path) == ("POST", "/almondworks/rows-tx"):
            await asyncio.sleep(self.txn_s)
            return await self.transact(json.loads(body))
        if (method, path) == ("GET", "/almondworks/rows-get"):
            return self.get(query)
        if (method, path) == ("GET", "/almondworks/rows-feed"):
            return await self.feed(query)
        return 404, {}

    async def transact(self, call):
        def row_of(entry):
            return (entry["table"], entry.get("part", ""), entry["key"])

        writes = [(row_of(entry), entry["value"]) for entry in call.get("writes") or []]
        writes += [(row_of(entry), None) for entry in call.get("remove") or []]
        if any(row[0] in ("op", "servers") for row, _ in writes):
            return 403, {}
        current = []
        for entry in call.get("expectedRev") or []:
            value, version = self.rows.get(row_of(entry), (None, 0))
            if version != entry["ver"]:
                current.append(self.show(row_of(entry), value, version))
        if current:
            return 412, {"rows": current, "ver": self.version}
        if writes:
            await self.apply(writes)
        return 200, {"ver": self.version}

    @staticmethod
    def show(row, value, version):
        shown = {"table": row[0], "part": row[1], "key": row[2], "ver": version}
        if value is None:
            shown["removed"] = True
        else:
            shown["value"] = value
        return shown

    def get(self, query):
        table, part, first = query.get("table", ""), query.get("part", ""), query.get("from", "")
        end, limit = query.get("target"), min(int(query.get("limit", "500")), 500)
        keys = sorted(
            row for row in self.rows
            if row[:2] == (table, part) and row[2] >= first and (end is None or row[2] < end)
        )
        rows = [self.show(row, *self.rows[row]) for row in keys[:limit]]
        return 200, {"rows": rows, "truncated": len(keys) > limit, "ver": self.version}

    async def feed(self, query):
        table, after = query.get("table", ""), int(query.get("after", "0"))
        deadline = time.monotonic() + min(int(query.get("waitMs", "0")), 30000) / 1000
        while True:
            if after > self.version or after < self.oldest:
                return 410, {}
            newer = itertools.takewhile(lambda change: change[0] > after, reversed(self.changes))
            rows = [self.show(row, value, version) for version, row, value in newer
                    if row[0] == table]
            rows.reverse()
            left = deadline - time.monotonic()
            if rows or left <= 0:
                return 200, {"rows": rows, "ver": self.version}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass


def parse_query(text):
    import urllib.parse

    return dict(urllib.parse.parse_qsl(text, keep_blank_values=True))


class Run:
    """One request that a server works on."""

    def __init__(self, server, attempt, key, path):
        self.server, self.attempt, self.key, self.path = server, attempt, key, path


class Server:
    """One server of a service. `ledger` lists the servers that share the keys."""

    def __init__(self, record, store, ledger, name, service, zone, sharded, work_s, slots=2,
                 queue=8):
        self.record, self.store, self.ledger = record, store, ledger
        self.name, self.service, self.zone = name, service, zone
        self.sharded, self.work_s, self.queue = sharded, work_s, queue
        self.slot_count = slots
        self.slots = asyncio.Semaphore(slots)
        self.waiting = 0
        self.held = []  # (first, last, fence, until)
        self.fences = []  # (first, last, fence)
        self.released = []  # What it held when it was told to release keys, as in `held`.
        self.runs = set()
        self.ended = asyncio.Condition()
        self.sequence = 0
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.port = None
        self.server = None
        self.tasks = []
        self.writers = set()
        self.answered_at = collections.deque(maxlen=1000)
        self.up = False
        self.limit = None  # What it names as its `Server-Limit`.

    # Life.

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, LOOPBACK, port)
        self.port = self.server.sockets[0].getsockname()[1]
        self.up = True
        self.tasks.append(asyncio.create_task(self.beat()))

    async def leave(self, drain_s):
        """Drains, and ends a little later than it has to serve."""
        self.state = "draining"
        self.record.write(f"{self.name} drains")
        await self.register()
        await asyncio.sleep(drain_s + 1.0)
        await self.store.remove("servers", self.name)
        await self.crash()
        self.record.write(f"{self.name} has left")

    async def crash(self):
        """Ends the process: its connections are reset, its work and what it holds are lost."""
        self.up = False
        for task in self.tasks:
            task.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.runs.clear()
        self.held, self.fences, self.released = [], [], []

    async def beat(self):
        while True:
            await self.register()
            await asyncio.sleep(HEARTBEAT_S)

    async def register(self):
        self.sequence += 1
        entry = {
            "service": self.service, "address": f"{LOOPBACK}:{self.port}", "zone": self.zone,
            "version": "v1", "slots": self.slot_count, "state": self.state, "coldLeft": "0ms",
            "sequence": self.sequence, "born": self.born,
        }
        await self.store.put("servers", self.name, entry)

    # Connections.

    async def serve(self, reader, writer):
        self.writers.add(writer)
        connection = {"writer": writer, "last": None}
        try:
            while True:
                line, headers, body = await read_message(reader)
                self.before_answer(connection, line, body)
                reply = await self.handle(line, headers, body)
                writer.write(reply)
                connection["last"] = (line, reply)
                self.answered_at.append(time.monotonic())
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def before_answer(self, connection, line, body):
        """A hook for faults."""

    async def handle(self, line, headers, body):
        method, path, _ = line.split(" ")
        expected = headers.get("target-instance")
        common = [("Attempt-Id", headers.get("attempt-id")), ("Instance-Id", self.name)]
        if expected is not None and expected != self.name:
            return answer(421, [*common, ("Not-Executed", "1")])
        if path == "/almondworks/grant":
            return self.grant(json.loads(body), common)
        if path == "/almondworks/release":
            return await self.release(json.loads(body), common)
        if method == "GET" and path == "/health":
            return answer(200, common)
        return await self.run(method, path, headers, body, common)

    # Keys.

    def grant(self, call, common):
        first, last, fence = call["from"], call["target"], call["fence"]
        hold_s = parse_time(call["hold_time"])
        now = time.monotonic()
        if any(f <= last and first <= l and known > fence for f, l, known in self.fences):
            self.record.write(f"{self.name} refuses grant {first}-{last} fence {fence}")
            return answer(409, common)
        self.fences = [x for x in self.fences if x[0] < first or x[1] > last]
        self.fences.append((first, last, fence))
        known = any(f <= first and last <= l and g == fence and u > now
                    for f, l, g, u in self.held)
        self.held = cut(self.held, first, last) + [(first, last, fence, now + hold_s)]
        if not known:
            self.record.write(f"{self.name} takes keys {first}-{last} fence {fence}")
        self.on_granted(first, last, fence)
        return answer(200, common)

    def on_granted(self, first, last, fence):
        """A hook for checks."""

    async def release(self, call, common):
        first, last, fence = call["from"], call["target"], call["fence"]
        now = time.monotonic()
        self.released = [span for span in self.released if span[3] > now]
        self.released += [span for span in self.held if span[0] <= last and first <= span[1]]
        self.held = cut(self.held, first, last)
        runs = [run for run in self.runs if first <= run.key <= last]
        self.record.write(
            f"{self.name} is told to release {first}-{last} fence {fence}; work on "
            f"{sorted(run.key for run in runs)}")
        async with self.ended:
            await self.ended.wait_for(
                lambda: not any(first <= run.key <= last for run in self.runs))
        self.record.write(f"{self.name} answers the release of {first}-{last}")
        return answer(200, [*common, ("Handover", f"{self.name}.{first}.{fence}")])

    def would_hold(self, key):
        """Returns true if the hold under which it began work on a key has not run out yet."""
        now = time.monotonic()
        return any(f <= key <= l and u > now for f, l, _, u in self.held + self.released)

    def holds(self, key):
        now = time.monotonic()
        return any(f <= key <= l and u > now for f, l, _, u in self.held)

    # Requests.

    async def run(self, method, path, headers, body, common):
        attempt = headers.get("attempt-id")
        if attempt is None:
            return answer(400, [*common, ("Not-Executed", "1")])
        key = int(headers["shard-key"]) if self.sharded and "shard-key" in headers else -1
        if self.sharded and not self.holds(key):
            return answer(421, [*common, ("Not-Executed", "1")])
        if self.waiting >= self.queue:
            return answer(503, [*common, ("Not-Executed", "1")] + self.notices())
        self.waiting += 1
        try:
            await self.slots.acquire()
        finally:
            self.waiting -= 1
        try:
            if self.sharded and not self.holds(key):
                return answer(421, [*common, ("Not-Executed", "1")])
            run = Run(self, attempt, key, path)
            self.runs.add(run)
            self.record.write(f"{self.name} begins {attempt} {method} {path} key {key}")
            try:
                await self.work(method, path, body)
            finally:
                self.runs.discard(run)
                async with self.ended:
                    self.ended.notify_all()
            self.record.write(f"{self.name} ends {attempt}")
        finally:
            self.slots.release()
        signature = ("Response-Signature", f"{self.name}.{attempt}")
        return answer(200, [*common, signature, *self.notices()], b"ok")

    def notices(self):
        return [("Server-Limit", self.limit)] if self.limit is not None else []

    async def work(self, method, path, body):
        await asyncio.sleep(self.work_s)


def cut(spans, first, last):
    """Returns the parts of spans outside of the keys from `first` to `last`."""
    rest = []
    for f, l, *more in spans:
        if l < first or last < f:
            rest.append((f, l, *more))
            continue
        if f < first:
            rest.append((f, first - 1, *more))
        if l > last:
            rest.append((last + 1, l, *more))
    return rest


def parse_time(text):
    if text.endswith("ms"):
        return float(text[:-2]) / 1000
    return float(text[:-1])


class Entry:
    """An entry: the project's program in a process of its own."""

    def __init__(self, folder, name, zone, store_port):
        self.folder, self.name, self.zone = folder, name, zone
        self.front, self.ready, self.control, self.relay, self.metrics = (
            free_port() for _ in range(5))
        self.settings = folder / f"{name}.jsonc"
        self.settings.write_text(json.dumps({
            "vm": name, "zone": zone,
            "listen": f"{LOOPBACK}:{self.front}",
            "ready_listen": f"{LOOPBACK}:{self.ready}",
            "peer_listen": f"{LOOPBACK}:{self.control}",
            "relay_listen": f"{LOOPBACK}:{self.relay}",
            "metrics_listen": f"{LOOPBACK}:{self.metrics}",
            "store": f"{LOOPBACK}:{store_port}",
            "power": 0.2, "grace": "6s", "leaving": "2000ms", "hold_limit": "10000ms",
            "routing_apply": "2000ms",
            "retries": {"ratio": 0.2, "extra": 62, "window": "10s"},
        }))
        self.process = None

    def start(self):
        log = open(self.folder / f"{self.name}.log", "ab")
        self.process = subprocess.Popen(
            [PROGRAM, "entry", "--settings", self.settings], cwd=ROOT, stdout=log, stderr=log,
            stdin=subprocess.DEVNULL)

    def signal(self, number):
        self.process.send_signal(number)

    def has_ended(self):
        return self.process.poll() is not None

    async def is_ready(self):
        reply = await exchange(self.ready, "GET", "/almondworks/ready", {}, b"", 1.0)
        return reply[0] == 200


async def exchange(port, method, path, headers, body, timeout_s):
    """Sends a request over a new connection; returns the status, or a word, and the headers."""
    writer = None
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(LOOPBACK, port), 1.0)
        lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if body:
            lines.append(f"Content-Length: {len(body)}")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        line, got, content = await asyncio.wait_for(read_message(reader), timeout_s)
        return int(line.split(" ")[1]), got, content
    except asyncio.TimeoutError:
        return "timeout", {}, b""
    except (OSError, asyncio.IncompleteReadError, ValueError):
        return "closed", {}, b""
    finally:
        if writer is not None:
            writer.close()


def config(version, routes, services):
    """Returns the operator's configuration; `routes` are (prefix, kind, service, attempts, ms)."""
    paths = [{
        "name": prefix.strip("/"), "pathPrefix": prefix, "kind": kind, "service": service,
        "timeout": f"{timeout_ms}ms", "targetLatency": "400ms", "priority": 1,
        "maxAttempts": attempts,
    } for prefix, kind, service, attempts, timeout_ms in routes]
    return {
        "version": version,
        "services": [
            {"name": name, "maxConns": 130, "healthPath": "/health", "sharded": sharded}
            for name, sharded in services
        ],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 65536, "headerTimeout": "5s",
                   "idleTimeout": "15s"},
        "hosts": [{"host": HOST, "paths": paths}],
    }


class Caller:
    """Sends requests to entries and records what they answer."""

    def __init__(self, record):
        self.record, self.count = record, 0

    async def send(self, entry, method, path, key=None, body=b"", deadline_ms=1000, quiet=False):
        self.count += 1
        attempt = f"{self.count:016x}"
        headers = {"Attempt-Id": attempt, "Deadline-Remaining": str(deadline_ms)}
        if key is not None:
            headers["Shard-Key"] = str(key)
        if not quiet:
            self.record.write(f"caller sends {attempt} {method} {path} key {key} to {entry.name}")
        status, got, content = await exchange(
            entry.front, method, path, headers, body, deadline_ms / 1000 + 1)
        if not quiet:
            self.record.write(f"caller gets {status} for {attempt} {content[:80]!r}")
        return attempt, status, got


def main(body, seconds=110):
    """Runs a case: `body(record, folder, trouble)` returns an exit code."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    case = pathlib.Path(sys.argv[0]).resolve().parent
    record = Record(case / "record.txt")
    if not PROGRAM.exists():
        print("the program is not built")
        sys.exit(2)
    entries = []

    def end_entries():
        for entry in entries:
            if entry.process is not None:
                entry.process.kill()
                entry.process.wait()

    def stop(*_):
        end_entries()
        os._exit(2)

    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, stop)

    async def limited():
        with tempfile.TemporaryDirectory() as folder:
            try:
                code = await asyncio.wait_for(
                    body(record, pathlib.Path(folder), trouble, entries), seconds)
            except asyncio.TimeoutError:
                record.write("the case did not end in time")
                code = 2
            except Exception as error:  # A fault of the script is no broken rule.
                traceback.print_exc()
                record.write(f"the script failed: {error!r}")
                code = 2
            finally:
                end_entries()
                keep = os.environ.get("KEEP_LOGS")
                if keep:
                    shutil.copytree(folder, keep, dirs_exist_ok=True)
        words = {0: "the rule held", 1: "the rule was broken", 2: "the case could not run"}
        record.write(words[code])
        print(words[code], flush=True)
        # The stand-ins end with this process; nothing of them has to be awaited.
        os._exit(code)

    asyncio.run(limited())
