"""All daemons come back, and the store still holds what they had written about a job that has ended long ago.

rows-140s.json holds the rows that the daemons had left in the store 140 s after the job was shown as completed, and
rows-60s.json those 60 s after it. live.py wrote both, and record-live.txt is the record of that run."""
import asyncio
import json
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
from standins import configuration, play

FOLDER = os.path.dirname(os.path.abspath(__file__))
JOB = "00000000000000a1"


async def case(fleet, trouble):
    record = fleet.record
    with open(os.path.join(FOLDER, "record-live.txt"), encoding="utf-8") as file:
        before = [json.loads(line) for line in file]
    done = {e["task"] for e in before if e["event"] == "end-acknowledged" and e["how"] == "done" and e["attempt"] == 1}
    for line in before:
        if line["event"] in ("run-started", "run-ended", "end-acknowledged") and line["attempt"] == 1:
            record.add("before", **{("was" if key == "event" else key): value for key, value in line.items()
                                    if key != "at"})
    with open(os.path.join(FOLDER, "rows-140s.json" if trouble else "rows-60s.json"), encoding="utf-8") as file:
        rows = json.load(file)
    fleet.store.load(rows)
    record.add("rows-loaded", rows=[f'{row["table"]}/{row["key"]}' for row in rows])
    fleet.store.configure(configuration(1))
    await fleet.start_daemons()
    for _ in range(5):
        await asyncio.sleep(2)
        await fleet.request("GET", f"/score/{JOB}")
    again = [e for e in record.of("run-started") if e["task"] in done]
    record.add("check", acknowledged_as_done=sorted(done), started_again=again)
    if again:
        return False, f"{len(again)} tasks were started again whose ends as done had been taken note of"
    return True, "no task of the completed job was started again"


play(FOLDER, case, workers=2, capacity={"Cpu": 8000, "MemMb": 16000, "Gpu": 4})
