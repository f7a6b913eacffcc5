"""The whole course of the case in one piece; it takes 150 seconds. A job ends and is shown as completed. 140 s later the
leading daemon is killed or, with HOW=history, the store forgets its history. Writes the rows that the daemons had left in the store, 60 s and 140 s after the job's end, to
rows-60s.json and rows-140s.json, and what happened to record-live.txt."""
import asyncio
import json
import os
import shutil
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
from standins import configuration, play

FOLDER = os.path.dirname(os.path.abspath(__file__))
JOB = "00000000000000a1"
TASKS = 3
BODY = {"Spec": json.dumps({"steps": [{"cpu": 1000, "mem": 1000, "gpu": 1, "ms": 1000}]}),
        "Steps": [{"Count": TASKS, "Cpu": 1000, "MemMb": 1000, "Gpu": 1, "EstimateMs": 1000}]}


async def case(fleet, trouble):
    record = fleet.record
    fleet.store.configure(configuration(1))
    await fleet.start_daemons()
    status, _ = await fleet.request("POST", f"/score/{JOB}", BODY)
    assert status == 200
    assert await fleet.wait_state(f"/score/{JOB}", ("completed",), 10) == "completed"
    for age in (60, 140):
        await asyncio.sleep(age if age == 60 else 80)
        with open(os.path.join(FOLDER, f"rows-{age}s.json"), "w", encoding="utf-8") as file:
            json.dump(fleet.store.dump(), file, indent=1)
            file.write("\n")
    await fleet.request("GET", f"/score/{JOB}")
    killed = record.add("140 s after the job's end")["at"]
    if trouble and os.environ.get("HOW") == "history":
        fleet.store.forget()
    elif trouble:
        await (await fleet.leader()).kill()
    await asyncio.sleep(6)
    await fleet.request("GET", f"/score/{JOB}")
    again = [e for e in record.of("run-started") if e["at"] > killed]
    record.add("check", started_again=again)
    if os.environ.get("HOW") != "history":
        shutil.copy(os.path.join(FOLDER, "record.txt"), os.path.join(FOLDER, "record-live.txt"))
    return not again, f"{len(again)} tasks of a completed job were started again"


play(FOLDER, case, workers=2, capacity={"Cpu": 8000, "MemMb": 16000, "Gpu": 4})
