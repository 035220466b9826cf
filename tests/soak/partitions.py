"""Cuts zones, databases and VMs off from each other and from the store, crashes
databases, and stops and kills VMs, several at once, while clients read and
write. Real processes on loopback; what clients and databases see is checked.

    python3 -B tests/soak/partitions.py SEED [SECONDS]

LABURNUMKEEL_PROXY names the program, by default that of deploy/system.toml.
Datagrams between VMs pass relays, so that a cut holds them up as well. Exits
with 1 when an acknowledged commit is lost (LOST), was committed at a former
primary after the promotion (ONE), or is missing from a read of a `primary`
route (STALE); with 2 when the run could not be made. KEEP_LOGS=1 keeps the logs
of the VMs; the record of a run that failed is kept in the temporary folder.
"""

import asyncio
import base64
import os
import random
import shutil
import signal
import socket
import sys
import tempfile

ROOT = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..")
sys.path.insert(0, os.path.join(ROOT, "review", "standins-2"))

import world as w  # noqa: E402

w.PROXY = os.environ.get("LABURNUMKEEL_PROXY", w.PROXY)
FAULTS_S = 45.0
SETTLE_S = 14.0
draw_port = w.free_port
drawn_ports = set()


def unused_port(ip="127.0.0.1"):
    """A free port that is given to no other program of this run."""
    port = draw_port(ip)
    while port in drawn_ports:
        port = draw_port(ip)
    drawn_ports.add(port)
    return port


w.free_port = unused_port


class DatagramRelay:
    """Passes datagrams to one VM, unless the link of the sender is cut."""

    def __init__(self, soak, machine):
        self.soak, self.machine = soak, machine
        self.port = None
        self.paths = {}  # address of a sender -> socket towards the VM

    async def start(self):
        self.front = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.front.bind((self.machine.ip, 0))
        # The address takes the place of the VM's own in messages.
        while len(str(self.front.getsockname()[1])) != len(
                str(self.machine.peer_port)):
            self.front.close()
            self.front = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            self.front.bind((self.machine.ip, 0))
        self.port = self.front.getsockname()[1]
        self.front.setblocking(False)
        asyncio.get_running_loop().add_reader(self.front, self.forward)

    def forward(self):
        data, sender = self.front.recvfrom(65536)
        name = self.soak.name_of(sender[0])
        if self.soak.links.is_cut(name, self.machine.name):
            return
        path = self.paths.get(sender)
        if path is None:
            path = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            path.bind((sender[0], 0))
            path.setblocking(False)
            self.paths[sender] = path
            asyncio.get_running_loop().add_reader(
                path, self.give_back, path, sender)
        path.sendto(self.soak.readdress(data),
                    (self.machine.ip, self.machine.peer_port))

    def give_back(self, path, sender):
        data = path.recv(65536)
        name = self.soak.name_of(sender[0])
        if not self.soak.links.is_cut(name, self.machine.name):
            self.front.sendto(self.soak.readdress(data), sender)


class Soak:
    def __init__(self, seed, seconds):
        self.random = random.Random(seed)
        self.seconds = seconds
        self.folder = tempfile.mkdtemp(prefix="laburnumkeel-soak-")
        self.world = w.World(os.path.join(self.folder, "record.txt"),
                             second_in="za",
                             first_leads=self.random.random() < 0.5)
        self.group, self.record = self.world.group, self.world.record
        self.links = self.group.links
        self.relays = []
        self.stopped = False
        self.cuts = {}  # number of a fault -> pairs
        self.faults = []
        self.broken = []
        self.first_byte, self.led_at, self.entries = {}, None, []
        self.reads = 0
        self.store_zone = self.random.choice(self.world.zones)
        self.group.on_promoted = self.on_promoted
        self.group.on_read = self.on_read
        self.group.on_commit = lambda *commit: self.entries.append(
            (*commit, w.now()))

    # What clients and databases see.

    def report(self, rule, *words):
        self.broken.append(rule)
        self.record.write(rule, *words)

    def on_promoted(self, database):
        self.led_at = w.now()
        present = {e.request for e in database.log}
        for request in self.group.acknowledged:
            if request not in present:
                self.report("LOST:", request, "is not in the log of",
                            database.name, "which is promoted")

    def on_read(self, database, request, machine):
        sent = self.first_byte.get(request)
        if sent is None:
            return
        self.reads += 1
        kept = {e.request for e in self.group.promoted.log}
        present = {e.request for e in database.log[:database.applied]}
        missing = [t for r, t in self.group.acknowledged.items()
                   if t < sent and r in kept and r not in present]
        if missing:
            self.report("STALE:", request, "at", database.name, "via", machine,
                        "lacks", len(missing))

    def check_entries(self):
        promoted = {e.request for e in self.group.promoted.log}
        for database, entry, time in self.entries:
            acknowledged = self.group.acknowledged.get(entry.request)
            if acknowledged is not None and entry.request not in promoted:
                rule = "ONE:" if self.led_at and time > self.led_at else "LOST:"
                self.report(rule, entry.request, "committed at", database.name,
                            "is in no log in the end")

    async def session(self, machine, kind):
        client = w.Client(machine, "strict")
        while not self.stopped:
            request = w.Client.new_id()
            try:
                if client.writer is None:
                    await client.connect()
                if kind == "READ":
                    self.first_byte[request] = w.now()
                outcome, detail, _ = await client.query(
                    "READ a" if kind == "READ" else "WRITE a data", request)
                if outcome == "COMPLETE" and kind == "WRITE":
                    self.group.acknowledged[request] = w.now()
                self.record.write("client", request, kind, "via", machine.name,
                                  outcome, detail)
            except (OSError, asyncio.TimeoutError,
                    asyncio.IncompleteReadError):
                client.close()
                await asyncio.sleep(0.1)
            await asyncio.sleep(0.1)
        client.close()

    # Addresses of VMs are replaced by those of their relays.

    def name_of(self, ip):
        return next((m.name for m in self.world.machines if m.ip == ip), "")

    def readdress(self, data):
        for relay in self.relays:
            machine = relay.machine
            data = data.replace(
                f"{machine.ip}:{machine.peer_port}".encode(),
                f"{machine.ip}:{relay.port}".encode())
        return data

    def intercept_store(self):
        answer = self.world.store.answer

        async def readdressed(method, target, headers, body):
            status, fields = await answer(method, target, headers, body)
            for row in fields.get("rows", []):
                if row.get("value"):
                    value = self.readdress(base64.b64decode(row["value"]))
                    row["value"] = base64.b64encode(value).decode()
            return status, fields

        self.world.store.answer = readdressed

    # Faults.

    def members(self, zone, store_zone=None):
        names = [t.name for t in self.world.machines + self.group.databases
                 if t.zone == zone]
        return names + (["store"] if zone == store_zone else [])

    def pairs(self, kind):
        """The links that a fault cuts."""
        zones = list(self.world.zones)
        self.random.shuffle(zones)
        machines = [m.name for m in self.world.machines]
        databases = [d.name for d in self.group.databases]
        primary = self.group.promoted.name
        if kind == "zone":
            inside = self.members(zones[0], self.store_zone)
            outside = [n for z in zones[1:]
                       for n in self.members(z, self.store_zone)]
            return [(a, b) for a in inside for b in outside]
        if kind == "two_zones":
            return [(a, b) for a in self.members(zones[0])
                    for b in self.members(zones[1])]
        if kind == "primary":
            chosen = self.random.sample(machines, 2)
            return [(primary, name) for name in chosen]
        if kind == "leader":
            return [(primary, self.world.leader() or machines[0])]
        if kind == "store":
            return [("store", name) for name in
                    self.random.sample(databases, self.random.randint(1, 2))]
        dark = primary if kind == "crash_primary" else self.random.choice(
            databases)
        return [(dark, name) for name in machines + databases + ["store"]
                if name != dark]

    async def fault(self, number):
        kind = self.random.choice(
            ["zone", "zone", "two_zones", "two_zones", "primary", "leader",
             "leader", "store", "crash_primary", "crash_any", "stop", "kill"])
        span = self.random.choice([4.0, 8.0, 25.0])
        self.faults.append(kind)
        machine = self.world.machine(self.world.leader() or
                                     self.world.machines[0].name)
        if kind == "stop":
            machine.signal(signal.SIGSTOP)
            await asyncio.sleep(min(span, 4.0))
            machine.signal(signal.SIGCONT)
            return
        if kind == "kill":
            machine.stop()
            await asyncio.sleep(self.random.uniform(0.2, 3))
            self.group.machines[machine.start()] = machine.name
            return
        self.cuts[number] = self.pairs(kind)
        self.record.write("cut", number, kind, self.cuts[number])
        self.apply_cuts()
        await asyncio.sleep(span)
        self.cuts.pop(number)
        self.record.write("heal", number)
        self.apply_cuts()

    def apply_cuts(self):
        self.links.set_cut([p for pairs in self.cuts.values() for p in pairs])

    async def make_faults(self):
        number = 0
        tasks = []
        end = w.now() + self.seconds
        while w.now() < end:
            number += 1
            tasks.append(asyncio.ensure_future(self.fault(number)))
            await asyncio.sleep(self.random.uniform(1.0, 9.0))
        for task in tasks:
            await task

    async def play(self):
        self.intercept_store()
        start = self.world.start

        async def add_relays():
            while not self.world.machines:
                await asyncio.sleep(0.001)
            for machine in self.world.machines:
                relay = DatagramRelay(self, machine)
                await relay.start()
                self.relays.append(relay)

        await asyncio.gather(start(), add_relays())
        tasks = [asyncio.ensure_future(self.session(m, kind))
                 for m in self.world.machines for kind in ("WRITE", "READ")]
        await asyncio.sleep(3)
        before = len(self.group.acknowledged)
        await self.make_faults()
        await asyncio.sleep(SETTLE_S)
        settled = len(self.group.acknowledged)
        await asyncio.sleep(3)
        self.stopped = True
        await asyncio.wait(tasks, timeout=5)
        self.check_entries()
        written = len(self.group.acknowledged) - settled
        print(f"commits: {len(self.group.acknowledged)}, reads: {self.reads}, "
              f"promotions: {len(self.group.tokens)}, in the end: {written}, "
              f"faults: {' '.join(self.faults)}, broken: "
              f"{ {r: self.broken.count(r) for r in set(self.broken)} }")
        if before >= 10 and written > 0 and not self.broken:
            shutil.rmtree(self.folder, ignore_errors=True)
            return 0
        print(f"the record is in {self.folder}")
        if before < 10:
            return 2
        if written == 0:
            print("STUCK: no write is acknowledged after the last fault")
        return 1


async def main():
    soak = Soak(int(sys.argv[1]),
                float(sys.argv[2]) if len(sys.argv) > 2 else FAULTS_S)
    try:
        return await asyncio.wait_for(soak.play(), 300)
    except Exception as error:  # the run could not be made
        print("could not run:", repr(error))
        return 2
    finally:
        soak.world.stop()


if __name__ == "__main__":
    loop = asyncio.new_event_loop()
    code = loop.run_until_complete(main())
    sys.stdout.flush()
    os._exit(code)
