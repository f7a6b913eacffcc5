"""Stand-ins for the platform, for one process: the metadata store, workers, the operator and clients.

They follow PROTOCOL.md. Everything runs on one asyncio loop, on loopback addresses and the real clock.
"""
import asyncio
import base64
import json
import os
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
from urllib.parse import parse_qsl, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
ROW_BYTES = 65536
TRANSACTION_ENTRIES = 100
TRANSACTION_BYTES = 1_000_000
TRANSACTION_S = 0.004
HEARTBEAT_S = 1.5
SAVE_MS = 2000
RESTORE_MS = 250
CRASH_AFTER_S = 0.1
AWAY_S = 3
HOST = "127.0.0.1"


def now_ms():
    return int(time.monotonic() * 1000)


class Record:
    """Writes one line of JSON for each event to record.txt, and keeps the events for the check."""

    def __init__(self, folder):
        self.began = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.events = []

    def add(self, event, **fields):
        line = {"at": round(time.monotonic() - self.began, 3), "event": event, **fields}
        self.events.append(line)
        self.file.write(json.dumps(line) + "\n")
        self.file.flush()
        return line

    def of(self, event, **fields):
        return [e for e in self.events if e["event"] == event and all(e.get(k) == v for k, v in fields.items())]


async def read_message(reader):
    """Returns the first line, the headers and the body of an HTTP message, or None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return lines[0], headers, body


class HttpService:
    """An HTTP/1.1 server; `handle` returns the status and a JSON value."""

    async def listen(self, port=0):
        self.connections = set()
        self.server = await asyncio.start_server(self._serve, HOST, port, limit=4_000_000)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.connections.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                method, target, _ = message[0].split(" ", 2)
                parts = urlsplit(target)
                status, value = await self.handle(
                    method, parts.path, dict(parse_qsl(parts.query)), message[1], message[2])
                body = json.dumps(value).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                             % (status, len(body)) + body)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()


class Store(HttpService):
    """The platform's metadata store with tables, transactions and feeds."""

    def __init__(self, record):
        self.record = record
        self.rows = {}
        self.changes = []
        self.version = 0
        self.compacted = 0
        self.heartbeats = {}
        self.changed = asyncio.Event()
        self.refused = 0

    def put(self, table, part, key, value, version=None):
        self.version += 1
        self.rows[(table, part, key)] = (value, self.version)
        self._note({"Table": table, "part": part, "Key": key, "Value": value, "Ver": self.version})

    def drop(self, table, part, key):
        if self.rows.pop((table, part, key), None) is not None:
            self.version += 1
            self._note({"Table": table, "part": part, "Key": key, "Ver": self.version, "Deleted": True})

    def _note(self, change):
        self.changes.append(change)
        self.changed.set()
        self.changed = asyncio.Event()

    def configure(self, configuration):
        self.put("op", "", "config", base64.b64encode(json.dumps(configuration).encode()).decode())
        self.record.add("configured", version=configuration["Version"],
                        routes=[route["PathPrefix"] for route in configuration["Routes"]])

    def forget(self):
        """Drops the history with a change that no feed has delivered yet."""
        self.compacted = self.version + 1
        self.put("status", "", "note", base64.b64encode(b"{}").decode())
        self.record.add("history-forgotten", version=self.version)

    async def handle(self, method, path, query, headers, body):
        if method == "POST" and path == "/-/rows-tx":
            await asyncio.sleep(TRANSACTION_S)
            return self._transact(json.loads(body), len(body))
        if method == "GET" and path == "/-/rows-get":
            return self._read(query)
        if method == "GET" and path == "/-/rows-feed":
            return await self._feed(query)
        return 404, {}

    def _transact(self, call, size):
        expect, write, remove = call.get("Expect", []), call.get("Write", []), call.get("Remove", [])
        if len(expect) + len(write) + len(remove) > TRANSACTION_ENTRIES or size > TRANSACTION_BYTES:
            return self._refuse("a call holds at most 100 entries and 1 MB", write)
        if len({row["part"] for row in expect + write + remove}) > 1:
            return self._refuse("all entries share a part", write)
        for row in write:
            if len(base64.b64decode(row["Value"])) > ROW_BYTES:
                return self._refuse("a row has more than RowBytes", [row])
            if row["Table"] in ("op", "servers"):
                return 403, {}
        conflict = []
        for row in expect:
            key = (row["Table"], row["part"], row["Key"])
            value, version = self.rows.get(key, ("", 0))
            if version != row["Ver"]:
                conflict.append(key)
        if conflict:
            rows = [self._row(key) for key in conflict if key in self.rows]
            return 412, {"rows": rows, "Ver": self.version, "NowMs": now_ms()}
        self.version += 1
        for row in write:
            key = (row["Table"], row["part"], row["Key"])
            self.rows[key] = (row["Value"], self.version)
            self._note({**row, "Ver": self.version})
        for row in remove:
            key = (row["Table"], row["part"], row["Key"])
            if self.rows.pop(key, None) is not None:
                self._note({**row, "Ver": self.version, "Deleted": True})
        return 200, {"Ver": self.version, "NowMs": now_ms()}

    def _refuse(self, reason, rows):
        self.refused += 1
        if self.refused <= 20:
            self.record.add("store-refused", reason=reason, rows=[
                {"table": row["Table"], "key": row["Key"], "bytes": len(base64.b64decode(row["Value"]))}
                for row in rows[:3]])
        return 400, {"Error": reason}

    def _row(self, key):
        value, version = self.rows[key]
        return {"Table": key[0], "part": key[1], "Key": key[2], "Value": value, "Ver": version}

    def _read(self, query):
        limit = min(int(query.get("Limit", "500")), 500)
        begin, end = query.get("StartKey", ""), query.get("To")
        keys = sorted((key for key in self.rows
                       if key[0] == query["Table"] and key[1] == query.get("part", "") and key[2] >= begin
                       and (not end or key[2] < end)), key=lambda key: key[2].encode())
        return 200, {"rows": [self._row(key) for key in keys[:limit]], "HasMore": len(keys) > limit,
                     "Ver": self.version, "NowMs": now_ms()}

    async def _feed(self, query):
        after, until = int(query["After"]), time.monotonic() + int(query.get("WaitMs", "0")) / 1000
        while True:
            if after < self.compacted:
                return 410, {}
            rows = [c for c in self.changes if c["Ver"] > after and c["Table"] == query["Table"]]
            left = until - time.monotonic()
            if rows or left <= 0:
                return 200, {"rows": rows, "Ver": self.version, "NowMs": now_ms()}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    async def expire_entries(self):
        """Removes the entries of workers after three heartbeat intervals of silence."""
        while True:
            await asyncio.sleep(0.1)
            for worker, last in list(self.heartbeats.items()):
                if time.monotonic() - last > 3 * HEARTBEAT_S:
                    del self.heartbeats[worker]
                    self.drop("servers", "", worker)

    def dump(self):
        return [{"table": t, "part": p, "key": k, "value": base64.b64decode(v).decode()}
                for (t, p, k), (v, _) in sorted(self.rows.items()) if t not in ("op", "servers")]

    def load(self, rows):
        for row in rows:
            self.put(row["table"], row["part"], row["key"], base64.b64encode(row["value"].encode()).decode())


class Worker(HttpService):
    """A worker that guards its capacity. The Spec of a job says, for each step, what a task needs and how it ends:
    {"steps": [{"cpu": n, "mem": n, "gpu": n, "ms": n, "how": "done" | "failed", "saves": flag, "crashes": flag}]}.
    A task that crashes ends its worker soon after its start; the worker is back after 3 s. A task that saves writes a checkpoint with each SaveS of work and at a stop, and resumes from one after RestoreMs."""

    def __init__(self, record, store, name, service, capacity, hold_max_ms, stop_ms, machine=None):
        self.record, self.store, self.name, self.service = record, store, name, service
        self.machine = machine or "m-" + name
        self.cut_until = 0
        self.capacity, self.hold_max_ms, self.stop_ms = capacity, hold_max_ms, stop_ms
        self.begin_life()

    def begin_life(self):
        self.down = False
        self.born = int(time.time() * 1000)
        self.began = time.monotonic()
        self.token = 0
        self.deadline = 0
        self.active = {}
        self.finished = []
        self.number = 0
        self.highest_over = {}
        self.sequence = 0
        self.ended = asyncio.Event()

    async def crash(self, away_s):
        """Ends without a word, and starts again under the same id; not at all with None."""
        self.down = True
        self.record.add("worker-crashed", worker=self.name, tasks=sorted(key[0] for key in self.active))
        self.active = {}
        self.server.close()
        for connection in list(self.connections):
            connection.transport.abort()
        if away_s is None:
            return
        await asyncio.sleep(away_s)
        self.begin_life()
        await self.listen(self.port)
        self.record.add("worker-back", worker=self.name)
        self.report()

    def clock(self):
        return int((time.monotonic() - self.began) * 1000)

    def cut(self, seconds):
        """Nothing that is sent to the worker or by it arrives; it works on."""
        self.cut_until = time.monotonic() + seconds
        self.record.add("worker-cut-off", worker=self.name, seconds=seconds)

    def report(self):
        self.sequence += 1
        self.last_entry = self._entry()
        self.store.put("servers", "", self.name, self.last_entry)
        self.store.heartbeats[self.name] = time.monotonic()

    def _entry(self):
        entry = {"Service": self.service, "Address": f"{HOST}:{self.port}", "Zone": "sawshed", "Version": "v1",
                 "Slots": 8, "State": "ready", "ColdRemainingMs": 0, "Capacity": self.capacity,
                 "Labels": ["a", "r1-0"], "HostMachine": self.machine, "ClockMs": self.clock(),
                 "Sequence": self.sequence, "born": self.born}
        return base64.b64encode(json.dumps(entry).encode()).decode()

    async def run(self):
        next_report = 0
        while True:
            if self.down:
                await asyncio.sleep(0.05)
                continue
            if time.monotonic() >= max(next_report, self.cut_until):
                self.report()
                next_report = time.monotonic() + HEARTBEAT_S
            self._advance()
            await asyncio.sleep(0.01)

    def _advance(self):
        clock = self.clock()
        for key, run in list(self.active.items()):
            if run["stopAt"] is not None and clock >= run["stopAt"]:
                self._end(key, "stopped")
            elif clock >= run["endAt"]:
                self._end(key, run["how"])
            elif clock > self.deadline:
                self._end(key, "lapsed")

    def _saved(self, run, stopping=False):
        """The newest checkpoint: the work done, in milliseconds, as 16 hexadecimal digits."""
        if not run["saves"]:
            return ""
        work = run["resumedMs"] + max(0, self.clock() - run["startedAt"] - run["restoreMs"])
        if not stopping:
            work -= work % SAVE_MS
        return f"{work:016x}" if work > 0 else ""

    def _end(self, key, how):
        run = self.active.pop(key)
        self.number += 1
        saved = self._saved(run, how == "stopped") if how != "done" else ""
        self.finished.append([self.number, key[0], key[1], how, saved])
        self.highest_over[key[0]] = max(self.highest_over.get(key[0], 0), key[1])
        self.record.add("run-ended", worker=self.name, task=key[0], attempt=key[1], how=how, number=self.number)
        self.ended.set()
        self.ended = asyncio.Event()

    def _hold_until(self, deadline):
        self.deadline = max(self.deadline, min(deadline, self.clock() + self.hold_max_ms))

    async def handle(self, method, path, query, headers, body):
        if time.monotonic() < self.cut_until:
            await asyncio.sleep(3600)  # the call does not arrive; its sender closes the connection
        self._advance()
        if headers.get("expect-instance", self.name) != self.name:
            return 421, {}
        if method == "GET" and path == "/healthz":
            return 200, {}
        call = json.loads(body)
        if call.get("FencingToken", 0) < self.token:
            return 409, {"ClockMs": self.clock(), "Reason": "fence", "born": self.born}
        self.token = call.get("FencingToken", 0)
        if path == "/-/run-start":
            return self._start(call)
        if path == "/-/run-stop":
            return self._stop(call)
        if path == "/-/hold":
            return await self._hold(call)
        if path == "/-/pace":
            return 200, {"ClockMs": self.clock(), "born": self.born}
        return 404, {}

    def _start(self, call):
        key = (call["Task"], call["Attempt"])
        answer = {"ClockMs": self.clock(), "born": self.born}
        if key in self.active:
            return 200, answer
        if call["Attempt"] <= self.highest_over.get(key[0], 0):
            self._hold_until(call["DeadlineMs"])
            return 409, {**answer, "Reason": "old"}
        if call["DeadlineMs"] <= self.clock():
            return 409, {**answer, "Reason": "late"}
        step = json.loads(call["Spec"])["steps"][int(key[0].split(".")[2])]
        need = {"Cpu": step["cpu"], "MemMb": step["mem"], "Gpu": step["gpu"]}
        self._hold_until(call["DeadlineMs"])
        for resource, amount in need.items():
            if amount + sum(run["need"][resource] for run in self.active.values()) > self.capacity[resource]:
                return 409, {**answer, "Reason": "room"}
        clock = self.clock()
        resumed = int(call["Checkpoint"], 16) if call.get("Checkpoint") else 0
        restore = RESTORE_MS if resumed else 0
        self.active[key] = {"need": need, "startedAt": clock, "endAt": clock + restore + step["ms"] - resumed,
                            "how": step.get("how", "done"), "stopAt": None, "saves": step.get("saves", False),
                            "resumedMs": resumed, "restoreMs": restore}
        self.record.add("run-started", worker=self.name, task=key[0], attempt=key[1], token=call["FencingToken"])
        if step.get("crashes"):
            asyncio.get_running_loop().call_later(
                CRASH_AFTER_S, lambda: self.down or asyncio.create_task(self.crash(AWAY_S)))
        return 200, answer

    def _stop(self, call):
        key = (call["Task"], call["Attempt"])
        if key in self.active:
            if self.active[key]["stopAt"] is None:
                self.active[key]["stopAt"] = self.clock() + self.stop_ms // 2
        else:
            self.highest_over[key[0]] = max(self.highest_over.get(key[0], 0), key[1])
        return 200, {"ClockMs": self.clock(), "born": self.born}

    async def _hold(self, call):
        cursor = call.get("AckCursor", 0)
        for end in [end for end in self.finished if end[0] <= cursor]:
            self.finished.remove(end)
            self.record.add("end-acknowledged", worker=self.name, task=end[1], attempt=end[2], how=end[3],
                            number=end[0])
        if "DeadlineMs" in call:
            self._hold_until(call["DeadlineMs"])
        until = time.monotonic() + min(call.get("WaitMs", 0), 2000) / 1000
        while not self.finished and (left := until - time.monotonic()) > 0:
            try:
                await asyncio.wait_for(self.ended.wait(), left)
            except asyncio.TimeoutError:
                pass
        if time.monotonic() < self.cut_until:
            await asyncio.sleep(3600)  # the answer does not arrive
        clock = self.clock()
        active = [[key[0], key[1], self._saved(run),
                   min(100, 100 * (clock - run["startedAt"]) // max(1, run["endAt"] - run["startedAt"])),
                   run["need"]["Cpu"]] for key, run in self.active.items()]
        return 200, {"ClockMs": clock, "born": self.born, "Active": active, "Finished": self.finished[:500]}


def free_ports(count, kind=socket.SOCK_STREAM):
    sockets = []
    for _ in range(count):
        sock = socket.socket(socket.AF_INET, kind)
        sock.bind((HOST, 0))
        sockets.append(sock)
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


class Daemon:
    """One of the project's daemons, started with the command and the settings template of the deploy file."""

    def __init__(self, record, folder, number, zone, fields):
        self.record, self.name = record, f"edge-{zone}-{number}"
        front, ready, control, metrics = free_ports(4)
        heartbeat = free_ports(1, socket.SOCK_DGRAM)[0]
        self.front, self.ready = front, ready
        self.metrics = metrics
        fields = {**fields, "Node": self.name, "Zone": zone, "Ip": HOST,
                  "ListenAddrs.Front": f"{HOST}:{front}", "ListenAddrs.ReadinessAddr": f"{HOST}:{ready}",
                  "ListenAddrs.Control": f"{HOST}:{control}", "PortRange.0": heartbeat}
        with open(os.path.join(ROOT, "deploy/system.toml"), encoding="utf-8") as file:
            deploy = file.read()
        command = re.search(r'^run = "(.*)"', deploy, re.M).group(1)
        template = re.search(r'^template = "(.*)"', deploy, re.M).group(1)
        metrics_port = re.search(r'^metrics = "(\d+)', deploy, re.M).group(1)
        with open(os.path.join(ROOT, template), encoding="utf-8") as file:
            text = re.sub(r"\{\{([\w.]+)\}\}", lambda match: str(fields.get(match.group(1), "")), file.read())
        self.settings = os.path.join(folder, self.name + ".json")
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(text.replace(f"{HOST}:{metrics_port}", f"{HOST}:{metrics}"))
        self.command = [self.settings if word.startswith("/etc/") else word for word in command.split()]
        self.log = os.path.join(folder, self.name + ".log")
        self.process = None

    async def start(self):
        with open(self.log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *self.command, cwd=ROOT, stdout=log, stderr=log,
                env={"PATH": os.environ.get("PATH", ""), "HOME": os.environ.get("HOME", "/"), "LANG": "C",
                     "WISTERIAHILL_BOOT": self.settings})
        self.record.add("daemon-started", daemon=self.name)

    def send_signal(self, number):
        self.process.send_signal(number)
        self.record.add("signal", daemon=self.name, signal=signal.Signals(number).name)

    async def kill(self):
        self.send_signal(signal.SIGKILL)
        await self.process.wait()

    async def call(self, method, path, host=None, key=None, body=None, timeout=4.0, port=None):
        """Returns the status and the JSON body, or (0, {}) without an answer."""
        try:
            return await asyncio.wait_for(self._call(method, path, host, key, body, port or self.front), timeout)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return 0, {}

    async def _call(self, method, path, host, key, body, port):
        reader, writer = await asyncio.open_connection(HOST, port)
        try:
            data = json.dumps(body).encode() if body is not None else b""
            head = f"{method} {path} HTTP/1.1\r\nHost: {host or HOST}\r\nDeadline-Ms: 3000\r\n"
            if key:
                head += f"Authorization: Bearer {key}\r\n"
            if body is not None:
                head += f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n"
            writer.write(head.encode() + b"\r\n" + data)
            message = await read_message(reader)
            if message is None:
                return 0, {}
            try:
                value = json.loads(message[2]) if message[2] else {}
            except ValueError:
                value = {"text": message[2].decode("latin-1")}
            return int(message[0].split(" ")[1]), value
        finally:
            writer.close()

    async def leads(self):
        status, value = await self.call("GET", "/metrics", port=self.metrics, timeout=1.0)
        return status == 200 and "wisteriahill_leading 1" in value.get("text", "")


class Fleet:
    """The store, workers and daemons of one case."""

    def __init__(self, folder, workers, capacity, daemons=3, hold_max_ms=6000, stop_ms=200):
        self.folder = folder
        self.record = Record(folder)
        self.temporary = tempfile.mkdtemp(prefix="wisteriahill-review-")
        self.store = Store(self.record)
        self.workers = [Worker(self.record, self.store, f"i-{number:08d}", "scoring", dict(capacity), hold_max_ms,
                               stop_ms) for number in range(1, workers + 1)]
        self.count = daemons
        self.fields = {"Bounds.HoldMaxMs": hold_max_ms, "Bounds.StopMs": stop_ms, "Bounds.GangMs": 3000,
                       "Bounds.MaintenanceS": 2, "Bounds.GraceS": 6, "Limits.CpuShare": 0.25}
        self.daemons = []
        self.tasks = []

    async def start_platform(self):
        await self.store.listen()
        self.tasks.append(asyncio.create_task(self.store.expire_entries()))
        for worker in self.workers:
            await worker.listen()
            self.tasks.append(asyncio.create_task(worker.run()))

    async def add_worker(self, name, machine, port=0):
        """Starts a worker, as the next life of a machine."""
        first = self.workers[0]
        worker = Worker(self.record, self.store, name, first.service, dict(first.capacity), first.hold_max_ms,
                        first.stop_ms, machine)
        await worker.listen(port)
        self.workers.append(worker)
        self.tasks.append(asyncio.create_task(worker.run()))
        self.record.add("worker-added", worker=name, machine=machine)
        return worker

    async def start_daemons(self):
        for number in range(1, self.count + 1):
            zone = ["sawshed", "dryhouse", "frontoffice"][(number - 1) % 3]
            daemon = Daemon(self.record, self.temporary, number, zone,
                            {**self.fields, "platform.Address": f"{HOST}:{self.store.port}"})
            self.daemons.append(daemon)
            await daemon.start()
        for daemon in self.daemons:
            await self.until(10, lambda daemon=daemon: daemon.call("GET", "/-/readyz", port=daemon.ready),
                             lambda answer: answer[0] == 200, f"{daemon.name} is not ready")
        await self.leader()

    async def until(self, seconds, ask, good, failure):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            answer = await ask()
            if good(answer):
                return answer
            await asyncio.sleep(0.1)
        raise CannotRun(failure)

    def alive(self):
        return [daemon for daemon in self.daemons if daemon.process and daemon.process.returncode is None]

    async def leader(self, seconds=10):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            for daemon in self.alive():
                if await daemon.leads():
                    return daemon
            await asyncio.sleep(0.05)
        raise CannotRun("no daemon leads")

    async def request(self, method, path, body=None, key="mill-key", host="mill.example", attempts=5):
        """A client's call; without an answer or with 502, 503, 504 or 429 it is repeated at another daemon."""
        for attempt in range(attempts):
            daemon = self.alive()[attempt % len(self.alive())]
            status, value = await daemon.call(method, path, host=host, key=key, body=body)
            self.record.add("client-call", method=method, path=path, daemon=daemon.name, status=status, answer=value)
            if status not in (0, 429, 502, 503, 504):
                return status, value
            await asyncio.sleep(0.5)
        return status, value

    async def wait_state(self, path, wanted, seconds, **options):
        """Asks for the state twice a second. Returns the last state shown."""
        end = time.monotonic() + seconds
        state = None
        while time.monotonic() < end:
            status, value = await self.request("GET", path, **options)
            state = value.get("State") if status == 200 else status
            if state in wanted:
                break
            await asyncio.sleep(0.5)
        return state

    async def stop(self):
        for daemon in self.alive():
            daemon.process.kill()
            await daemon.process.wait()
        for task in self.tasks:
            task.cancel()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            os.makedirs(keep, exist_ok=True)
            for daemon in self.daemons:
                shutil.copy(daemon.log, keep)
        shutil.rmtree(self.temporary, ignore_errors=True)


class CannotRun(Exception):
    """The case could not be played; it says nothing about the rule."""


def configuration(version, max_attempts=3, routes=("cut", "score"), stretch=3.0, target_ms=1000, workers_gpu=8):
    priorities = {"cut": 0, "score": 1, "reprice": 2}
    return {"Version": version,
            "Routes": [{"Name": "r-" + name, "Host": "mill.example", "PathPrefix": f"/{name}/", "Kind": "non_idempotent",
                        "TimeoutMs": 3000, "TargetDurationMs": target_ms, "Priority": priorities[name],
                        "Service": "scoring", "MaxAttempts": max_attempts, "StretchFactor": stretch,
                        "Anonymous": False} for name in routes],
            "Services": [{"Name": "scoring", "HealthPath": "/healthz", "MaxConns": 64, "Protocol": "h1", "Tls": False,
                          "EnforceCapacity": True, "Standby": False}],
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000,
                       "IdleTimeoutMs": 15000},
            "Tenants": [{"Name": "mill", "ApiKeys": ["mill-key"], "Priority": 1,
                         "Guaranteed": {"Gpu": workers_gpu}},
                        {"Name": "kitchen", "ApiKeys": ["kitchen-key"], "Priority": 1}]}


def play(folder, case, **fleet_options):
    """Runs `case(fleet, trouble)`, which returns True when the rule held, and exits as the review demands."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def main():
        fleet = Fleet(folder, **fleet_options)
        fleet.record.add("begin", trouble=trouble)
        try:
            await fleet.start_platform()
            held, reason = await case(fleet, trouble)
            fleet.record.add("verdict", held=held, reason=reason)
            print(("held: " if held else "BROKEN: ") + reason)
            return 0 if held else 1
        except CannotRun as error:
            fleet.record.add("cannot-run", reason=str(error))
            print("cannot run: " + str(error))
            return 2
        finally:
            await fleet.stop()

    try:
        code = asyncio.run(main())
    except Exception as error:  # a fault of the stand-ins says nothing about the rule
        print(f"cannot run: {error!r}")
        code = 2
    sys.exit(code)
