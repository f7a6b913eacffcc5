"""One client sends a large job; another client's job waits beside idle workers."""
import asyncio
import json
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
from standins import configuration, play

STEPS, WIDTH = 3, 470
TASK_MS = 5000
FINISH_S = 14
IDLE_S = 3
LARGE, OTHER = 0xB00, 0xA01


def body(steps, count, cpu, ms):
    return {"Spec": json.dumps({"steps": [{"cpu": cpu, "mem": 10, "gpu": 0, "ms": ms, "saves": True}] * steps}),
            "Steps": [{"Count": count, "Cpu": cpu, "MemMb": 10, "EstimateMs": ms, "Checkpointing": True}] * steps}


async def case(fleet, trouble):
    record = fleet.record
    fleet.store.configure(configuration(1))
    await fleet.start_daemons()
    # Without the disruption the same tasks come as three jobs of one step.
    jobs = 1 if trouble else STEPS
    for number in range(jobs):
        status, _ = await fleet.request("POST", f"/score/{LARGE + number:016x}",
                                        body(STEPS // jobs, WIDTH, 100, TASK_MS))
        assert status == 200
    await asyncio.sleep(TASK_MS / 1000 + 3)
    other = f"/score/{OTHER:016x}"
    status, _ = await fleet.request("POST", other, body(1, 1, 1000, 2000), key="kitchen-key")
    assert status == 200
    await asyncio.sleep(FINISH_S)
    end = time.monotonic() + IDLE_S
    capacity = sum(worker.capacity["Cpu"] for worker in fleet.workers)
    idle, most_used = True, 0
    while time.monotonic() < end:
        status, value = await fleet.request("GET", other, key="kitchen-key")
        most_used = max(most_used, sum(run["need"]["Cpu"] for worker in fleet.workers
                                       for run in worker.active.values()))
        waits = status == 200 and value.get("State") in ("queued", "running")
        idle = idle and waits and not record.of("run-started", task=f"{OTHER:016x}.0.0.0")
        await asyncio.sleep(0.3)
    idle = idle and most_used < capacity / 2
    large = [(await fleet.request("GET", f"/score/{LARGE + number:016x}"))[1].get("State") for number in range(jobs)]
    record.add("check", waiting_beside_idle_workers=idle, cpu_of_workers=capacity, most_used=most_used,
               large_jobs=large, runs_done=len(record.of("run-ended", how="done")),
               store_refusals=fleet.store.refused)
    if trouble:
        # Not part of the check: does it help that the client cancels its large job?
        status, _ = await fleet.request("DELETE", f"/score/{LARGE:016x}")
        state = await fleet.wait_state(other, ("completed",), 10, key="kitchen-key")
        record.add("after-cancel", cancel_status=status, other_job=state)
    if idle:
        return False, (f"an accepted job of one task had not started {FINISH_S + IDLE_S} s after it was accepted, "
                       "beside idle workers")
    return True, "the other client's job was run"


play(os.path.dirname(os.path.abspath(__file__)), case, workers=3,
     capacity={"Cpu": 64000, "MemMb": 256000, "Gpu": 8})
