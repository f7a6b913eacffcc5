"""A new version of the configuration gives a queue an advisor that needs more time; then a job is accepted."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-3"))
from world import BOUNDS, CannotRun, HttpService, play, steady_ms  # noqa: E402

KEY, FIRST_JOB, JOB = "mill-key", "0ad11ce000000001", "0ad11ce000000002"
DECIDE_MS, VALID_MS = 200, 3000
PERIOD_MS, LONGER_PERIOD_MS = 20, 100
WATCHED_S = 10  # after finish_s; the rule allows 3 s without a run
ACCOUNTS = [("mill", KEY, 16)]
STEPS = [{"Count": 2, "Cpu": 8000, "MemMb": 16000, "Gpu": 4, "EstimateMs": 2000}]


class Advisor:
    """Allows every server. A ticket is issued with the answer and is valid for ValidMs from then on."""

    def __init__(self, world):
        self.world = world
        self.tickets = {}
        self.turn = asyncio.Lock()
        self.period_ms = PERIOD_MS
        self.service = HttpService(world.address(202), 8524, self.handle)

    async def handle(self, method, path, arguments, headers, document):
        named = document["Workers"]
        begin = steady_ms()
        async with self.turn:
            await asyncio.sleep((DECIDE_MS + self.period_ms * len(named)) / 1000)
        allowed = []
        for server in self.world.servers:
            if server.up and server.id in named:
                ticket = f"{len(self.tickets):08x}"
                self.tickets[ticket] = (document["Step"], server.id, server.born, steady_ms() + VALID_MS)
                allowed.append([server.id, ticket])
        self.world.record.write(f"advisor <- {document['Step']} on {len(named)} workers -> {len(allowed)} allowed"
                                f" after {steady_ms() - begin} ms")
        return 200, {"Allowed": allowed, "ValidMs": VALID_MS}

    def accepts(self, server, order):
        known = self.tickets.get(order.get("Ticket"))
        return bool(known) and known[:3] == (order["Task"].rsplit(".", 1)[0], server.id, server.born) \
            and steady_ms() <= known[3]


async def scenario(world):
    begun = []
    world.on_run_begun = lambda server, task, run: begun.append(task.split(".")[0])
    advisor = Advisor(world)
    await advisor.service.start()
    figures = lambda period: {"plan": {"DecideMs": DECIDE_MS, "PeriodMs": period, "ValidMs": VALID_MS}}
    world.configure({"plan": 1}, ACCOUNTS, figures(PERIOD_MS))
    zones = ["sawshed", "dryhouse", "frontoffice"]
    for number in range(1, 49):
        server = await world.add_server(number, f"m-{number}", zones[number % 3], rack=f"r1-{number // 8}")
        server.accepts_ticket = lambda order, server=server: advisor.accepts(server, order)
    for number, zone in enumerate(zones, 1):
        await world.start_daemon(number, zone)
    await world.wait_ready([1, 2, 3])
    await asyncio.sleep(2)
    await world.submit(1, "plan", FIRST_JOB, STEPS, KEY, 2000)
    await asyncio.sleep(8)
    if FIRST_JOB not in begun:
        raise CannotRun("the job before the new version has not begun")
    if world.trouble:
        advisor.period_ms = LONGER_PERIOD_MS
        world.configure({"plan": 1}, ACCOUNTS, figures(LONGER_PERIOD_MS))
        await asyncio.sleep(BOUNDS["ConfigApplyMs"] / 1000 + 1)
    if await world.submit(2, "plan", JOB, STEPS, KEY, 2000) != 200:
        raise CannotRun("the job was not accepted")
    await asyncio.sleep(BOUNDS["finish_s"] + WATCHED_S)
    _, state = await world.state(3, "plan", JOB, KEY)
    if JOB in begun:
        return None
    return (f"LOST: {BOUNDS['finish_s'] + WATCHED_S} s after its acknowledgement {JOB} is shown as {state} and has had"
            f" nothing running, while all 48 servers are idle")


play(HERE, scenario)
