"""The leader publishes a former primary in place of one that has crashed,
because its entry in the servers' table says that it is the primary."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))
import world as w  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
REGION_CUT_S = 30.0  # "regions lose each other for an hour now and then"
CRASH_AT_S = 10.0  # after the region's cut; the change is over by then


class Run:
    def __init__(self):
        self.world = w.World(os.path.join(HERE, "record.txt"))
        self.group, self.record = self.world.group, self.world.record
        self.stopped = False
        self.first_byte = {}  # request of a read -> when it was sent
        self.reads, self.stale, self.answered_stale = 0, {}, 0
        self.group.on_read = self.on_read

    def on_read(self, database, request, machine):
        sent = self.first_byte.get(request)
        if sent is None:
            return
        self.reads += 1
        # Commits that a promote rolled back don't count.
        kept = {e.request for e in self.group.promoted.log}
        present = {e.request for e in database.log[:database.applied]}
        missing = [t for r, t in self.group.acknowledged.items()
                   if t < sent and r in kept and r not in present]
        if missing:
            self.stale[request] = len(missing)
            self.record.write(
                "STALE: read", request, "at", database.name, "via", machine,
                "lacks", len(missing), "commits, the oldest acknowledged",
                "%.3f s before the read's first byte" % (sent - min(missing)))

    async def session(self, machine, kind):
        client = w.Client(machine, "strict")
        while not self.stopped:
            request = w.Client.new_id()
            try:
                if client.writer is None:
                    await client.connect()
                text = "READ a" if kind == "READ" else "WRITE a data"
                if kind == "READ":
                    self.first_byte[request] = w.now()
                self.record.write("client sends", request, kind, "via",
                                  machine.name)
                outcome, detail, _ = await client.query(text, request)
                if outcome == "COMPLETE" and kind == "WRITE":
                    self.group.acknowledged[request] = w.now()
                if outcome == "COMPLETE" and request in self.stale:
                    self.answered_stale += 1
                self.record.write("client gets", request, outcome, detail)
            except (OSError, asyncio.TimeoutError,
                    asyncio.IncompleteReadError) as error:
                self.record.write("client gets", request, repr(error))
                client.close()
                await asyncio.sleep(0.1)
            await asyncio.sleep(0.1)
        client.close()

    async def play(self):
        world, group = self.world, self.group
        await world.start()
        former = group.databases[0]
        here = next(m for m in world.machines if m.zone == former.zone)
        if world.leader() == here.name:
            self.record.write("the leader is in the primary's zone")
            return 2
        outside = [m for m in world.machines if m is not here]
        tasks = [asyncio.ensure_future(self.session(m, kind))
                 for m in world.machines for kind in ("WRITE", "READ")
                 if kind == "READ" or m is not here]
        await asyncio.sleep(5)
        before = len(group.acknowledged)
        region = []
        if TROUBLE:
            names = [d.name for d in group.databases if d is not former]
            region = [(former.name, m.name) for m in outside]
            region += [(former.name, n) for n in names]
            region += [(here.name, n) for n in names]
            self.record.write("the region of", former.name, "is cut off")
            group.links.set_cut(region)
        await asyncio.sleep(CRASH_AT_S)
        if TROUBLE:
            crashed = group.promoted
            if crashed is former:
                self.record.write("no change of primary")
                return 2
            self.record.write(crashed.name, "crashes, for good")
            dark = [(crashed.name, n) for n in ["store"] + [
                p.name for p in world.machines + group.databases
                if p is not crashed]]
            group.links.set_cut(region + dark)
        await asyncio.sleep(REGION_CUT_S - CRASH_AT_S)
        if TROUBLE:
            group.links.set_cut(dark)
        self.record.write("the region is back")
        await asyncio.sleep(4)
        self.stopped = True
        await asyncio.wait(tasks, timeout=5)
        summary = ("commits acknowledged: %d, reads: %d, stale: %d, of these "
                   "answered with success: %d" % (
                       len(group.acknowledged), self.reads, len(self.stale),
                       self.answered_stale))
        self.record.write(summary)
        print(summary)
        if before < 20 or self.reads < 100:
            return 2
        return 1 if self.stale else 0


async def main():
    run = Run()
    try:
        return await asyncio.wait_for(run.play(), 100)
    except Exception as error:  # the case could not run
        print("could not run:", repr(error))
        return 2
    finally:
        run.world.stop()


loop = asyncio.new_event_loop()
code = loop.run_until_complete(main())
sys.stdout.flush()
os._exit(code)
