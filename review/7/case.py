"""A server is cut off, and an entry of another writer, for a service that no configuration names, has its machine."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
from fleet import LOOPBACK, Fleet, find_twice, free_port, main  # noqa: E402

NEEDS = {"Cpu": 11000, "MemMb": 33000, "Gpu": 1}
CAPACITY = {"Cpu": 128000, "MemMb": 524288, "Gpu": 8}
CUT_S = 5.5  # the site's dose
ENTRY_AFTER_S = 3.0  # from the begin of the cut
WORK_S = 14
PREFIX = "/reprice/"


async def case(fleet: Fleet, record, trouble):
    for number in range(1, 4):
        await fleet.add_server(f"w{number}", f"m{number}", CAPACITY, lambda task, spec: NEEDS)
    await fleet.add_daemons(3)
    await asyncio.sleep(4)
    step = {"Count": 4, "Cpu": NEEDS["Cpu"], "MemMb": NEEDS["MemMb"], "Gpu": 1, "EstimateMs": WORK_S * 1000}
    job = await fleet.submit(PREFIX, [step], {"ms": WORK_S * 1000})
    await asyncio.sleep(4)
    server = max(fleet.servers, key=lambda one: len(one.active))
    record.write(f"{len(server.active)} tasks run on {server.name}")
    if trouble:
        server.set_cut(True)
    await asyncio.sleep(ENTRY_AFTER_S)
    fleet.store.write("servers", "a0", {
        "Service": "inventory", "Address": f"{LOOPBACK}:{free_port()}", "Zone": "sawshed", "Version": "1", "Slots": 1,
        "State": "ready", "ColdRemainingMs": 0, "Sequence": 1, "Capacity": {"Cpu": 0, "MemMb": 0, "Gpu": 0},
        "Labels": ["a", "r1-1"], "HostMachine": server.machine, "born": int(time.time() * 1000)})
    record.write(f"another writer wrote servers/a0 for the service inventory on the machine {server.machine}")
    await asyncio.sleep(CUT_S - ENTRY_AFTER_S)
    if trouble:
        server.set_cut(False)
    await fleet.wait_state(PREFIX, job, ("completed", "failed"), 40)
    return find_twice(fleet.runs, record)


if __name__ == "__main__":
    main(case)
