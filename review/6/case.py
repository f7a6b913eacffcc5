"""Tasks end while the store is down, more on one server than an answer of the server can list."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
from fleet import Fleet, find_twice, main, now  # noqa: E402

JOBS = 40
TASKS = 16  # mean width of a job of seconds-reprice
NEEDS = {"Cpu": 150, "MemMb": 400, "Gpu": 0}
OUTAGE_S = 4.0  # the site's largest dose is 4.5 s
CAPACITY = {"Cpu": 128000, "MemMb": 524288, "Gpu": 8}
PREFIX = "/reprice/"


async def case(fleet: Fleet, record, trouble):
    for number in range(1, 4):
        await fleet.add_server(f"w{number}", f"m{number}", CAPACITY, lambda task, spec: NEEDS)
    await fleet.add_daemons(3)
    await asyncio.sleep(4)
    # Jobs are handed in over some seconds, and all tasks end within about two.
    begin = now()
    end_at = begin + 16
    jobs = []
    for number in range(JOBS):
        work = end_at + 1.5 * number / JOBS - now()
        step = {"Count": TASKS, "Cpu": NEEDS["Cpu"], "MemMb": NEEDS["MemMb"], "EstimateMs": int(work * 1000)}
        jobs.append(await fleet.submit(PREFIX, [step], {"ms": int(work * 1000)}, fleet.daemons[number % 3]))
        await asyncio.sleep(0.15)
    await asyncio.sleep(end_at - 0.3 - now())
    started = len(fleet.runs)
    record.write(f"{started} of {JOBS * TASKS} tasks run: " + ", ".join(
        f"{len(server.active)} on {server.name}" for server in fleet.servers))
    if trouble:
        fleet.store.set_mode("busy")
    await asyncio.sleep(OUTAGE_S)
    if trouble:
        fleet.store.set_mode("up")
    completed = 0
    for job in jobs:
        _, state = await fleet.wait_state(PREFIX, job, ("completed", "failed"), 40)
        completed += state == "completed"
    record.write(f"{completed} of {JOBS} jobs are completed after {len(fleet.runs)} runs")
    await asyncio.sleep(1)
    return find_twice(fleet.runs, record)


if __name__ == "__main__":
    main(case)
