"""Stand-ins for the platform, its operator, its backend servers and its clients, in one process.

The daemons are the project's own programs, started as separate processes with the command and the settings template
of the deploy file. Everything else speaks PROTOCOL.md on loopback addresses. Times are those of the steady clock.
"""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import subprocess
import sys
import tempfile
import time
import urllib.parse

HEARTBEAT_MS = 1500
BOUNDS = {
    "HoldMaxMs": 6000, "StopMs": 200, "GangMs": 3000, "GraceS": 6, "MaintenanceS": 2, "status_s": 120,
    "DrainMs": 2000, "ContactMs": 3000, "AckMs": 4000, "ConfigApplyMs": 2000, "LeaseMs": 3000, "NoticeMs": 4500,
    "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "EnforceFencing": False,
}
STORE_ANSWER_S = 0.004
STARTUP_MS = 300  # of a task that lasts, until it is at work


def steady_ms():
    return time.monotonic_ns() // 1_000_000


def wall_ms():
    return time.time_ns() // 1_000_000


class Record:
    """Writes what was sent, answered and run, one line each."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.begin = steady_ms()

    def write(self, text):
        self.file.write(f"{(steady_ms() - self.begin) / 1000:9.3f} {text}\n")
        self.file.flush()


# HTTP


async def read_message(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return lines[0], headers, body


class HttpService:
    """Serves one address. A handler returns (status, document), or None for a connection that delivers no answer."""

    def __init__(self, host, port, handler):
        self.host, self.port, self.handler = host, port, handler
        self.server = None
        self.writers = set()
        self.tasks = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.host, self.port)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(" ")
                path, _, query = target.partition("?")
                arguments = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
                document = json.loads(body) if body else {}
                answer = await self.handler(method, urllib.parse.unquote(path), arguments, headers, document)
                if answer is None:
                    await reader.read()  # until the caller gives up
                    return
                status, result = answer
                text = json.dumps(result).encode()
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(text)}"
                             "\r\n\r\n".encode() + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            self.tasks.discard(task)
            writer.close()

    def stop(self):
        """Closes the listener and resets all connections, as when the process is killed."""
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        for task in list(self.tasks):
            task.cancel()


async def http_call(host, port, method, path, headers=None, document=None, timeout=4.0):
    """Returns (status, headers, document); raises OSError, EOFError or TimeoutError when there is no answer."""

    async def exchange():
        reader, writer = await asyncio.open_connection(host, port)
        try:
            body = b"" if document is None else json.dumps(document).encode()
            lines = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(body)}", "Content-Type: application/json"]
            lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            await writer.drain()
            first, got, text = await read_message(reader)
            return int(first.split(" ")[1]), got, (json.loads(text) if text else {})
        finally:
            writer.close()

    return await asyncio.wait_for(exchange(), timeout)


# The platform's store


class Store:
    def __init__(self):
        self.rows = {}  # (table, part, key) -> (value, version)
        self.version = 0
        self.changes = []  # (version, row)
        self.changed = asyncio.Event()

    def apply(self, writes, removals=()):
        self.version += 1
        for table, part, key, value in writes:
            self.rows[(table, part, key)] = (value, self.version)
            self.changes.append((self.version, self.row(table, part, key)))
        for name in removals:
            if self.rows.pop(name, None):
                self.changes.append((self.version, {"Table": name[0], "part": name[1], "Key": name[2],
                                                    "Ver": self.version, "Deleted": True}))
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, table, key, document, part=""):
        self.apply([(table, part, key, base64.b64encode(json.dumps(document).encode()).decode())])

    def remove(self, table, key):
        if (table, "", key) in self.rows:
            self.apply([], [(table, "", key)])

    def get(self, table, key):
        found = self.rows.get((table, "", key))
        return json.loads(base64.b64decode(found[0])) if found else None

    def row(self, table, part, key):
        value, version = self.rows[(table, part, key)]
        return {"Table": table, "part": part, "Key": key, "Value": value, "Ver": version}

    def state(self):
        return {"Ver": self.version, "NowMs": steady_ms()}

    def transact(self, document):
        name = lambda row: (row["Table"], row.get("part", ""), row["Key"])
        expected = document.get("Expect", [])
        for row in expected:
            if self.rows.get(name(row), (None, 0))[1] != row["Ver"]:
                current = [self.row(*name(known)) for known in expected if name(known) in self.rows]
                return 412, {"rows": current, **self.state()}
        self.apply([(*name(row), row["Value"]) for row in document.get("Write", [])],
                   [name(row) for row in document.get("Remove", [])])
        return 200, self.state()

    def read(self, arguments):
        table, part = arguments.get("Table", ""), arguments.get("part", "")
        first, end = arguments.get("StartKey", ""), arguments.get("To", "")
        limit = int(arguments.get("Limit", "500"))
        keys = sorted((key for t, p, key in self.rows if t == table and p == part and key >= first
                       and (not end or key < end)), key=str.encode)
        return 200, {"rows": [self.row(table, part, key) for key in keys[:limit]], "HasMore": len(keys) > limit,
                     **self.state()}

    async def feed(self, arguments):
        table, after = arguments["Table"], int(arguments["After"])
        until = time.monotonic() + int(arguments.get("WaitMs", "0")) / 1000
        while True:
            rows = [row for version, row in self.changes if version > after and row["Table"] == table]
            left = until - time.monotonic()
            if rows or left <= 0:
                return 200, {"rows": rows, **self.state()}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class StoreAccess:
    """The way of one daemon to the store: an address of its own, where answers can be lost."""

    def __init__(self, world, daemon, host, port):
        self.world, self.daemon = world, daemon
        self.lose_answers = 0  # of the next transactions
        self.answered_at = 0
        self.on_transaction = None
        self.service = HttpService(host, port, self.handle)

    async def handle(self, method, path, arguments, headers, document):
        store = self.world.store
        await asyncio.sleep(STORE_ANSWER_S)
        if path == "/-/rows-tx":
            tables = sorted({row["Table"] for row in document.get("Write", []) + document.get("Remove", [])})
            if set(tables) & {"op", "servers"}:
                return 403, {}
            answer = store.transact(document)
            if self.lose_answers > 0 and answer[0] == 200:
                self.lose_answers -= 1
                self.world.record.write(f"store: transaction of {self.daemon} on {tables} done, its answer is lost")
                return None
            self.answered_at = steady_ms()
            if self.on_transaction:
                self.on_transaction(tables, answer[0])
            return answer
        if path == "/-/rows-get":
            return store.read(arguments)
        if path == "/-/rows-feed":
            return await store.feed(arguments)
        return 404, {}


# Backend servers


class Run:
    def __init__(self, attempt, work_ms, lasts, need):
        self.attempt, self.work_ms, self.lasts, self.need = attempt, work_ms, lasts, need
        self.began = steady_ms()
        self.stop_at = None

    def percent(self):
        age = steady_ms() - self.began
        if self.lasts:
            return 100 if age >= STARTUP_MS else 0
        return min(100, age * 100 // max(self.work_ms, 1))


class Server:
    """One backend server, that is one life of a machine."""

    def __init__(self, world, number, machine, zone, kind="a", rack="r1-1"):
        self.world, self.number, self.machine, self.zone = world, number, machine, zone
        self.id = f"i-{number:08x}"
        self.kind, self.rack = kind, rack
        self.capacity = {"Cpu": 128000, "MemMb": 524288, "Gpu": 8}
        self.host, self.port = world.address(100 + number), 8080
        self.service = None
        self.up = False
        self.dark = False  # without power: connections hang
        self.cut = False  # cut off from the daemons, not from the store: it runs on
        self.on_start = None  # called before a start is carried out; a true result means that no answer is given
        self.accepts_ticket = None  # returns false for a start that has no valid ticket

    async def boot(self):
        if self.dark:
            self.service.stop()
            self.dark = False
        self.born = wall_ms()
        self.clock_begin = steady_ms()
        self.fence = 0
        self.deadline = 0
        self.runs, self.ended, self.barred = {}, [], {}
        self.next_end = 1
        self.sequence = 0
        self.end_listed = asyncio.Event()
        self.service = HttpService(self.host, self.port, self.handle)
        await self.service.start()
        self.up = True
        self.last_beat = 0
        self.world.record.write(f"server {self.id} on {self.machine} is up, kind {self.kind}, born {self.born}")
        self.beat()

    def crash(self, why, dark=False):
        self.up, self.dark = False, dark
        if not dark:
            self.service.stop()
        self.world.record.write(f"server {self.id} is down: {why}; it ran {sorted(self.runs)}")
        for task, run in self.runs.items():
            self.world.run_over(self, task, run, "crash")
        self.runs = {}

    def clock(self):
        return steady_ms() - self.clock_begin

    def beat(self):
        self.last_beat = steady_ms()
        self.sequence += 1
        self.world.last_beats[self.id] = self.last_beat
        self.world.store.put("servers", self.id, {
            "Service": self.world.service_name, "Address": f"{self.host}:{self.port}", "Zone": self.zone,
            "Version": "v1", "Slots": 8, "State": "ready", "ColdRemainingMs": 0, "Capacity": self.capacity,
            "Labels": [self.kind, self.rack], "ClockMs": self.clock(), "Sequence": self.sequence, "born": self.born,
            "HostMachine": self.machine})

    def list_end(self, task, run, how):
        del self.runs[task]
        self.barred[task] = max(self.barred.get(task, 0), run.attempt)
        self.ended.append([self.next_end, task, run.attempt, how, ""])
        self.next_end += 1
        self.world.run_over(self, task, run, how)
        self.end_listed.set()
        self.end_listed = asyncio.Event()

    def advance(self):
        now = steady_ms()
        if now - self.last_beat >= HEARTBEAT_MS:
            self.beat()
        for task, run in list(self.runs.items()):
            if self.clock() > self.deadline:
                self.list_end(task, run, "lapsed")
            elif run.stop_at is not None and now >= run.stop_at:
                self.list_end(task, run, "stopped")
            elif run.stop_at is None and not run.lasts and run.percent() >= 100:
                self.list_end(task, run, "done")

    def hold(self, deadline):
        self.deadline = max(self.deadline, min(deadline, self.clock() + BOUNDS["HoldMaxMs"]))

    async def handle(self, method, path, arguments, headers, document):
        world, where = self.world, f"server {self.id}"
        if self.cut:
            return None
        if self.dark:
            if path == "/-/run-start":
                world.record.write(f"{where} is without power; start {document['Task']} run {document['Attempt']} is lost")
                world.starts_to_dark += 1
            return None
        if headers.get("expect-instance", self.id) != self.id:
            return 421, {"ClockMs": self.clock()}
        if path == "/healthz":
            return 200, {}
        refuse = lambda reason: (409, {"ClockMs": self.clock(), "Reason": reason})
        token = document.get("FencingToken", 0)
        if path == "/-/run-start" and self.on_start and self.on_start(document):
            return None
        if token < self.fence:
            return refuse("fence")
        self.fence = token
        if path == "/-/hold":
            self.ended = [end for end in self.ended if end[0] > document.get("AckCursor", 0)]
            if "DeadlineMs" in document:
                self.hold(document["DeadlineMs"])
            wait = min(document.get("WaitMs", 0), 2000) / 1000
            if wait > 0 and not self.ended:
                try:
                    await asyncio.wait_for(self.end_listed.wait(), wait)
                except asyncio.TimeoutError:
                    pass
                if not self.up or self.cut:
                    return None
            active = [[task, run.attempt, "", run.percent(), 0] for task, run in self.runs.items()]
            return 200, {"ClockMs": self.clock(), "born": self.born, "Active": active, "Finished": self.ended[:500]}
        task, attempt = document.get("Task", ""), document.get("Attempt", 0)
        run = self.runs.get(task)
        if path == "/-/run-stop":
            world.record.write(f"{where} <- stop {task} run {attempt} token {token}")
            self.barred[task] = max(self.barred.get(task, 0), attempt)
            if run and run.attempt <= attempt and run.stop_at is None:
                run.stop_at = steady_ms() + BOUNDS["StopMs"] // 2
                world.stop_ordered(self, task, run)
            return 200, {"ClockMs": self.clock()}
        if path == "/-/run-start":
            self.hold(document.get("DeadlineMs", 0))
            if run and run.attempt == attempt:
                return 200, {"ClockMs": self.clock()}
            step = world.step_of(task)
            free = dict(self.capacity)
            for other in self.runs.values():
                for name in free:
                    free[name] -= other.need.get(name, 0)
            reason = ("old" if attempt <= self.barred.get(task, 0) or run else
                      "late" if document.get("DeadlineMs", 0) <= self.clock() else
                      "ticket" if self.accepts_ticket and not self.accepts_ticket(document) else
                      "room" if step is None or any(free[name] < step.get(name, 0) for name in free) else "")
            world.record.write(f"{where} (kind {self.kind}) <- start {task} run {attempt} token {token}"
                               f" -> {reason or 'begun'}")
            if reason:
                world.refused[reason] = world.refused.get(reason, 0) + 1
                return refuse(reason)
            work = json.loads(document["Spec"])["work_ms"]
            self.runs[task] = Run(attempt, work, step.get("LongRunning", False),
                                  {name: step.get(name, 0) for name in self.capacity})
            world.run_begun(self, task, self.runs[task])
            return 200, {"ClockMs": self.clock()}
        return 404, {}


# The machines' service


class Cloud:
    """Takes machines down for upkeep. EnforceFencing is false: tokens are not compared."""

    def __init__(self, world, host):
        self.world = world
        self.orders = []  # (machine, holder, token, answer)
        self.on_order = None
        self.down_until = {}  # machine -> steady time
        self.done = set()  # (machine, wave)
        self.service = HttpService(host, 8524, self.handle)

    async def handle(self, method, path, arguments, headers, document):
        if path != "/-/machine-upkeep":
            return 404, {}
        machine, wave = document["HostMachine"], document["Wave"]
        holder, token = headers.get("duty-holder", ""), int(headers.get("fencing-token", "0"))
        answer = self.begin(machine, wave)
        self.orders.append((machine, holder, token, answer))
        self.world.record.write(f"machines <- upkeep of {machine} for wave {wave} by {holder} token {token}"
                                f" -> {answer[0]} {answer[1].get('Reason', '')}")
        if self.on_order:
            self.on_order(machine, holder, token, answer)
        return answer

    def begin(self, machine, wave):
        listed = self.world.store.get("op", f"wave/{wave}")
        if machine not in self.world.machines:
            return 400, {}
        if (machine, wave) in self.done:
            return 200, {}
        if not listed or machine not in listed["Machines"]:
            return 409, {"Reason": "wave"}
        server = self.world.machines[machine]
        if steady_ms() < self.down_until.get(machine, 0) or not server.up:
            return 409, {"Reason": "busy"}
        self.done.add((machine, wave))
        self.down_until[machine] = steady_ms() + BOUNDS["MaintenanceS"] * 1000
        server.crash("its machine has its upkeep")
        self.world.later(BOUNDS["MaintenanceS"], self.world.replace_server(machine))
        return 200, {}


# The whole


class World:
    def __init__(self, case_directory):
        self.root = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
        self.record = Record(os.path.join(case_directory, "record.txt"))
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.directory = tempfile.mkdtemp(prefix="review-")
        self.network = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        self.service_name = "roundhouse"
        self.store = Store()
        self.jobs = {}
        self.starts_to_dark = 0
        self.refused = {}  # number of starts that servers refused, by reason
        self.servers, self.machines, self.last_beats = [], {}, {}
        self.accesses, self.daemons, self.logs = {}, {}, []
        self.cloud = Cloud(self, self.address(201))
        self.on_run_begun = self.on_run_over = self.on_stop_ordered = None
        self.background = set()
        self.version = 0
        self.next_number = 50

    def address(self, number):
        return f"{self.network}.{number}"

    def later(self, delay, coroutine):
        async def run():
            await asyncio.sleep(delay)
            await coroutine
        task = asyncio.ensure_future(run())
        self.background.add(task)
        task.add_done_callback(self.background.discard)

    # jobs as their clients sent them

    def step_of(self, task):
        job, _, step, _ = task.split(".")
        known = self.jobs.get(job)
        return known["Steps"][int(step)] if known else None

    def run_begun(self, server, task, run):
        if self.on_run_begun:
            self.on_run_begun(server, task, run)

    def run_over(self, server, task, run, how):
        self.record.write(f"server {server.id}: {task} run {run.attempt} over: {how}")
        if self.on_run_over:
            self.on_run_over(server, task, run, how)

    def stop_ordered(self, server, task, run):
        if self.on_stop_ordered:
            self.on_stop_ordered(server, task, run)

    # the operator

    def configure(self, routes, tenants, advisors=None):
        """Puts a version in force; `advisors` holds the advisor of each queue that has one."""
        self.version += 7
        advisors = advisors or {}
        self.record.write(f"operator: configuration {self.version}, advisors {advisors}")
        self.store.put("op", "config", {
            "Version": self.version,
            "Routes": [{"Name": "r-" + name, "Host": "mill.example", "PathPrefix": f"/{name}/",
                        "Kind": "non_idempotent", "TimeoutMs": 3000, "TargetDurationMs": 1000, "Priority": priority,
                        "Service": self.service_name, "MaxAttempts": 3, "StretchFactor": 3.0, "Anonymous": False,
                        **({"Advisor": advisors[name]} if name in advisors else {})}
                       for name, priority in routes.items()],
            "Services": [{"Name": self.service_name, "HealthPath": "/healthz", "MaxConns": 64, "Protocol": "h1",
                          "Tls": False, "EnforceCapacity": True, "Standby": False}],
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000,
                       "IdleTimeoutMs": 15000},
            "Tenants": [{"Name": name, "ApiKeys": [key], "Priority": 1, "Guaranteed": {"Gpu": gpu}}
                        for name, key, gpu in tenants]})

    def request_wave(self, number, machines, duration_s, cap):
        self.record.write(f"operator: op/wave/{number} {machines}, Cap {cap}, DurationS {duration_s}")
        self.store.put("op", f"wave/{number}", {"Wave": number, "Machines": machines, "DurationS": duration_s,
                                                "Cap": cap})

    # servers

    async def add_server(self, number, machine, zone, **options):
        server = Server(self, number, machine, zone, **options)
        self.servers.append(server)
        self.machines[machine] = server
        await server.boot()
        return server

    async def replace_server(self, machine):
        former = self.machines[machine]
        self.next_number += 1
        await self.add_server(self.next_number, machine, former.zone, kind=former.kind, rack=former.rack)

    async def advance(self):
        while True:
            for server in self.servers:
                if server.up:
                    server.advance()
            for name, beat in list(self.last_beats.items()):
                if steady_ms() - beat > 3 * HEARTBEAT_MS:
                    del self.last_beats[name]
                    self.store.remove("servers", name)
            await asyncio.sleep(0.01)

    # daemons

    def fields_of(self, number, name, zone):
        host = self.address(number)
        return {"Node": name, "Zone": zone, "Ip": host,
                "ListenAddrs": {"Front": f"{host}:8521", "ReadinessAddr": f"{host}:8523", "Control": f"{host}:8526"},
                "PortRange": [7000, 7015], "Limits": {"CpuShare": 0.25, "MemoryMb": 260, "MaxFds": 4100},
                "Bounds": BOUNDS, "platform": {"Address": f"{self.address(200)}:{8600 + number}"},
                "Cloud": {"Address": f"{self.address(201)}:8524"}, "Advisor": f"{self.address(202)}:8524"}

    @staticmethod
    def fill_in(template, fields):
        def value(match):
            found = fields
            for part in match.group(1).split("."):
                found = found[int(part)] if isinstance(found, list) else found.get(part, "")
                if found == "":
                    return ""
            return str(found)
        return re.sub(r"\{\{([A-Za-z0-9_.]+)\}\}", value, template)

    async def start_daemon(self, number, zone):
        name = f"edge-{zone}-{number}"
        if name not in self.accesses:
            access = StoreAccess(self, name, self.address(200), 8600 + number)
            await access.service.start()
            self.accesses[name] = access
        with open(os.path.join(self.root, "deploy", "system.toml"), encoding="utf-8") as file:
            role = dict(re.findall(r'^(run|template) = "(.*)"$', file.read(), re.MULTILINE))
        with open(os.path.join(self.root, role["template"]), encoding="utf-8") as file:
            settings = self.fill_in(file.read(), self.fields_of(number, name, zone))
        path = os.path.join(self.directory, f"{name}.yaml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(settings)
        words = role["run"].replace("/etc/wisteriahill/settings.yaml", path).split(" ")
        if not os.access(os.path.join(self.root, words[0]), os.X_OK):
            raise CannotRun(f"{words[0]} is not built")
        log = open(os.path.join(self.directory, f"{name}.log"), "ab")
        self.logs.append(log)
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        self.daemons[name] = subprocess.Popen(words, cwd=self.root, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
                                              env={**environment, "WISTERIAHILL_BOOT": path})
        self.record.write(f"daemon {name} started")
        return name

    def front(self, number):
        return self.address(number), 8521

    async def wait_ready(self, numbers, seconds=10):
        end = time.monotonic() + seconds
        for number in numbers:
            while True:
                try:
                    status, _, _ = await http_call(self.address(number), 8523, "GET", "/-/readyz", timeout=1)
                    if status == 200:
                        break
                except (OSError, EOFError, asyncio.TimeoutError):
                    pass
                if time.monotonic() > end:
                    raise CannotRun(f"daemon {number} is not ready after {seconds} s")
                await asyncio.sleep(0.1)

    # clients

    async def submit(self, number, queue, job, steps, key, work_ms=1000):
        document = {"Spec": json.dumps({"work_ms": work_ms}), "Steps": steps}
        self.jobs[job] = document
        host, port = self.front(number)
        status, _, _ = await http_call(host, port, "POST", f"/{queue}/{job}", {
            "Host": "mill.example", "Authorization": f"Bearer {key}", "Deadline-Ms": "3000"}, document)
        self.record.write(f"client: POST /{queue}/{job} {json.dumps(steps)} -> {status}")
        return status

    async def state(self, number, queue, job, key):
        host, port = self.front(number)
        status, _, document = await http_call(host, port, "GET", f"/{queue}/{job}", {
            "Host": "mill.example", "Authorization": f"Bearer {key}", "Deadline-Ms": "3000"})
        self.record.write(f"client: GET /{queue}/{job} -> {status} {document.get('State', '')}")
        return status, document.get("State")

    def close(self):
        for process in self.daemons.values():
            if process.poll() is None:
                process.kill()
        for process in self.daemons.values():
            process.wait()
        for log in self.logs:
            log.close()
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.directory)
        else:
            shutil.rmtree(self.directory, ignore_errors=True)


class CannotRun(Exception):
    pass


def play(case_directory, scenario, limit_s=110):
    """Runs a scenario, which returns a text that says how the rule was broken, or None. Exits with the case's status."""

    async def main():
        world = World(case_directory)
        world.record.write("with the disruption" if world.trouble else "without the disruption")
        advancing = asyncio.ensure_future(world.advance())
        try:
            await world.cloud.service.start()
            broken = await asyncio.wait_for(scenario(world), limit_s)
            world.record.write(f"broken: {broken}" if broken else "the rule held")
            print(broken or "the rule held")
            return 1 if broken else 0
        except (CannotRun, OSError, asyncio.TimeoutError, EOFError) as error:
            world.record.write(f"the case could not run: {error!r}")
            print(f"the case could not run: {error!r}")
            return 2
        finally:
            advancing.cancel()
            world.close()

    async def main_then_exit():
        status = await main()
        sys.stdout.flush()
        os._exit(status)  # without waiting for connections that are open

    asyncio.run(main_then_exit())
