"""The two regions without the primary have lost each other, and the leader
cannot reach the primary. It promotes a replica and resumes the other one, which
goes on receiving from the former primary."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))
import world as w  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
REGION_CUT_S = 20.0  # "regions lose each other for an hour now and then"
PRIMARY_CUT_AT_S = 5.0  # after the regions' cut
PRIMARY_CUT_S = 7.0  # the longest primary_cut of the site


class Run:
    def __init__(self):
        self.world = w.World(os.path.join(HERE, "record.txt"),
                             first_leads=True, second_in="za")
        self.group, self.record = self.world.group, self.world.record
        self.stopped = False
        self.led_at = None
        self.group.on_promoted = self.on_promoted
        self.entries = []  # each commit, and the database that made it
        self.group.on_commit = lambda *commit: self.entries.append(commit)

    def on_promoted(self, database):
        self.led_at = w.now()

    async def session(self, machine):
        client = w.Client(machine, "strict")
        while not self.stopped:
            request = w.Client.new_id()
            try:
                if client.writer is None:
                    await client.connect()
                self.record.write("client sends", request, "WRITE via",
                                  machine.name)
                outcome, detail, _ = await client.query("WRITE a data", request)
                if outcome == "COMPLETE":
                    self.group.acknowledged[request] = w.now()
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
        leader = world.machine(world.leader())
        if leader.zone != former.zone:
            self.record.write("the leader isn't in the primary's zone")
            return 2
        # No link of the VM that the clients use is cut.
        entry = next(m for m in world.machines
                     if m.zone == former.zone and m is not leader)
        tasks = [asyncio.ensure_future(self.session(entry)) for _ in range(2)]
        await asyncio.sleep(5)
        before = len(group.acknowledged)
        one, other = [[z.name for z in world.machines + group.databases
                       if z.zone == zone] for zone in world.zones[1:]]
        regions = [(a, b) for a in one for b in other] if TROUBLE else []
        self.record.write("cut:", *one, "from", *other)
        group.links.set_cut(regions)
        await asyncio.sleep(PRIMARY_CUT_AT_S)
        if TROUBLE:
            self.record.write("cut:", former.name, "from", leader.name)
            group.links.set_cut(regions + [(former.name, leader.name)])
        await asyncio.sleep(PRIMARY_CUT_S)
        group.links.set_cut(regions)
        self.record.write("the leader reaches", former.name, "again")
        await asyncio.sleep(REGION_CUT_S - PRIMARY_CUT_AT_S - PRIMARY_CUT_S)
        group.links.set_cut([])
        self.record.write("the regions reach each other again")
        await asyncio.sleep(4)
        self.stopped = True
        await asyncio.wait(tasks, timeout=5)
        promoted = {e.request for e in group.promoted.log}
        broken = []
        for database, entry in self.entries:
            time = group.acknowledged.get(entry.request)
            if (time is None or self.led_at is None or
                    database is group.promoted or entry.time < self.led_at):
                continue
            broken.append(entry)
            self.record.write(
                "ONE: write", entry.request, "was committed at", database.name,
                "%.3f s after the promotion had taken effect" %
                (entry.time - self.led_at), "and acknowledged after %.3f s" %
                (time - self.led_at))
        lost = [r for r in group.acknowledged if r not in promoted]
        for request in lost:
            self.record.write("acknowledged, and not in the log of",
                              group.promoted.name, request)
        summary = ("commits acknowledged: %d, primary: %s, committed at the old "
                   "one after the promotion: %d, acknowledged and lost: %d" % (
                       len(group.acknowledged), group.promoted.name,
                       len(broken), len(lost)))
        self.record.write(summary)
        print(summary)
        if before < 20 or (TROUBLE and self.led_at is None):
            return 2
        return 1 if broken else 0


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
