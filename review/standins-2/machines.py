"""Stand-in of the platform's service for machines: carries out upkeep orders and keeps a list of them. It does not check
fences, as EnforceFencing is false on the small sites."""

import asyncio
import json
import socket

from fleet import LOOPBACK, HttpService, free_port, now

MAINTENANCE_S = 2.0


class Machines(HttpService):
    """While it is unavailable its queue of new connections is full, so that connections to it stay in their opening."""

    def __init__(self, record, fleet):
        self.record, self.fleet = record, fleet
        self.orders = []  # (time, machine, holder, token, wave)
        self.begun = {}  # (machine, wave) -> when its upkeep began
        self.fillers = []
        self.life = 0
        self.tasks = set()  # keeps them from being collected

    async def listen(self, port=0):
        self.socket = socket.socket()
        self.socket.bind((LOOPBACK, free_port()))
        self.socket.setblocking(False)
        self.socket.listen(128)
        self.port = self.socket.getsockname()[1]
        asyncio.get_running_loop().add_reader(self.socket, self.accept)

    def accept(self):
        try:
            connection, _ = self.socket.accept()
        except BlockingIOError:
            return
        self.keep(self.handle_connection(connection))

    def keep(self, work):
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def handle_connection(self, connection):
        reader, writer = await asyncio.open_connection(sock=connection)
        await self.serve(reader, writer)

    async def set_available(self, available):
        loop = asyncio.get_running_loop()
        self.record.write(f"machines' service {'available again' if available else 'unavailable'}")
        if not available:
            loop.remove_reader(self.socket)
            self.socket.listen(0)
            for _ in range(4):
                filler = socket.socket()
                filler.setblocking(False)
                self.fillers.append(filler)
                filler.connect_ex((LOOPBACK, self.port))
            await asyncio.sleep(0.05)
            return
        for filler in self.fillers:
            filler.close()
        self.fillers.clear()
        self.socket.listen(128)
        loop.add_reader(self.socket, self.accept)

    def opening_connections(self):
        """The number of connections to this service that wait for their opening, besides those that fill its queue."""
        own = {filler.getsockname()[1] for filler in self.fillers}
        waiting = 0
        with open("/proc/net/tcp", encoding="ascii") as table:
            for line in table.readlines()[1:]:
                _, local, remote, state = line.split()[:4]
                is_opening = state == "02" and int(remote.split(":")[1], 16) == self.port
                waiting += is_opening and int(local.split(":")[1], 16) not in own
        return waiting

    async def handle(self, method, path, query, headers, body):
        if path != "/-/machine-upkeep":
            return 404, {}
        order = json.loads(body)
        machine, wave = order["HostMachine"], order["Wave"]
        holder, token = headers.get("duty-holder"), int(headers.get("fencing-token", "0"))
        self.orders.append((now(), machine, holder, token, wave))
        answer = self.upkeep(machine, wave)
        self.record.write(f"machine-upkeep {machine}, wave {wave}, holder {holder}, token {token}: {answer}")
        return answer

    def upkeep(self, machine, wave):
        if (machine, wave) in self.begun:
            return 200, {}
        workers = [one for one in self.fleet.servers if one.machine == machine and not one.left]
        if not workers:
            return 409, {"Reason": "busy"}
        self.begun[(machine, wave)] = now()
        for worker in workers:
            worker.left = True
            self.fleet.store.remove("servers", worker.name)
            self.keep(self.restart(worker))
        return 200, {}

    async def restart(self, former):
        await asyncio.sleep(MAINTENANCE_S)
        self.life += 1
        await self.fleet.add_server(f"{former.name}-{self.life}", former.machine, former.capacity, former.needs)

    def find_lower_after_higher(self):
        """The rule ONE, where fences are not checked: an order for a machine with a lower token after a higher one."""
        broken = 0
        highest = {}
        for at, machine, holder, token, _ in self.orders:
            known = highest.get(machine)
            if known and token < known[0]:
                broken += 1
                self.record.write(f"ONE: order for {machine} by {holder} with token {token}, "
                                  f"{at - known[2]:.3f} s after one by {known[1]} with token {known[0]}")
            if not known or token >= known[0]:
                highest[machine] = (token, holder, at)
        return broken
