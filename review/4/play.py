"""A scheduled job waits on a busy cluster when the leading daemon is killed."""
import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
from standins import configuration, play

BLOCKER, JOB = "00000000000000b1", "00000000000000a1"
BLOCKER_MS, TASK_MS, INTERVAL_MS, TIMES = 8000, 3000, 3000, 3


def step(ms):
    return {"cpu": 1000, "mem": 1000, "gpu": 1, "ms": ms}


def body(ms, **timing):
    import json
    return {"Spec": json.dumps({"steps": [step(ms)]}),
            "Steps": [{"Count": 1, "Cpu": 1000, "MemMb": 1000, "Gpu": 1, "EstimateMs": ms}], **timing}


async def case(fleet, trouble):
    record = fleet.record
    fleet.store.configure(configuration(1, routes=("cut", "score", "reprice"), stretch=1.5, target_ms=250))
    await fleet.start_daemons()
    status, _ = await fleet.request("POST", f"/reprice/{BLOCKER}", body(BLOCKER_MS))
    assert status == 200
    while not record.of("run-started", task=f"{BLOCKER}.0.0.0"):
        await asyncio.sleep(0.05)
    # Due 1 s, 4 s and 7 s after the other job has taken the only worker, which is free after 8 s.
    status, _ = await fleet.request("POST", f"/score/{JOB}", body(
        TASK_MS, Times=TIMES, StartAtMs=int(time.time() * 1000) + 1000, IntervalMs=INTERVAL_MS))
    assert status == 200
    while not any(e["task"].startswith(JOB) for e in record.of("run-started")):
        await asyncio.sleep(0.02)
    await asyncio.sleep(1.0)
    if trouble:
        await (await fleet.leader()).kill()
    state = await fleet.wait_state(f"/score/{JOB}", ("completed", "failed", "cancelled", 410), 40)
    done = {e["task"] for e in record.of("run-ended", how="done")}
    missing = [f"{JOB}.{index}.0.0" for index in range(TIMES) if f"{JOB}.{index}.0.0" not in done]
    record.add("check", state=state, tasks_without_success=missing,
               never_started=[task for task in missing if not record.of("run-started", task=task)])
    if state == "completed" and missing:
        return False, f"the job is shown as completed, and {missing} have not ended as done"
    if state != "completed":
        return False, f"the job is shown as {state} after 40 s"
    return True, "all occurrences had run when the job was shown as completed"


play(os.path.dirname(os.path.abspath(__file__)), case, workers=1,
     capacity={"Cpu": 2000, "MemMb": 4000, "Gpu": 1})
