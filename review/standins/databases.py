"""A service's databases: one log per database, a primary and its replicas."""

import asyncio
import itertools

from net import now, reset

PROMOTE_S = 0.3
RECEIVE_S = 0.008
HEARTBEAT_S = 1.2
# The old primary learns of the new one a second after it can reach it.
LEARN_S = 1.0


def position(entry):
    return f"{entry[0]}.{entry[1]}"


class Session:
    def __init__(self):
        self.values = {}
        self.prepared = {}
        self.in_transaction = False
        self.is_read_only = False
        self.is_failed = False
        self.writes = []

    def state(self):
        if not self.in_transaction:
            return "I"
        return "E" if self.is_failed else "T"


class Refused(Exception):
    def __init__(self, code):
        super().__init__(code)
        self.code = code


class Database:
    def __init__(self, group, name, zone, ip):
        self.group = group
        self.id = name
        self.zone = zone
        self.ip = ip
        self.address = None
        self.role = "replica"
        self.term = 1
        # Entries are (term, number, statement id, item, data).
        self.log = []
        self.paused_term = 0
        self.is_running = True
        # Cut off from the other databases.
        self.is_apart = False
        # Since when it can reach a primary of a later term.
        self.newer_seen = None
        # Reaches the store, and writes its entry there.
        self.reports = True
        self.state = "ready"
        self.sequence = 0
        self.started_ms = 1_790_000_000_000
        self.items = {}
        self.writers = set()
        self.grown = asyncio.Event()
        self.signatures = itertools.count(1)
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve, self.ip, 0, limit=1 << 21
        )
        self.address = (self.ip, self.server.sockets[0].getsockname()[1])

    def end(self):
        """The process ends: its connections are closed."""
        self.is_running = False
        self.reports = False
        self.server.close()
        for writer in list(self.writers):
            reset(writer)

    async def listen_again(self):
        self.server = await asyncio.start_server(
            self.serve, *self.address, limit=1 << 21
        )

    async def restart(self):
        """The process starts again at its address, with its log."""
        await self.listen_again()
        self.is_running = self.reports = True
        self.paused_term = 0
        newest = max(member.term for member in self.group.members.values())
        if newest > self.term:
            self.role = "replica"
        self.sequence = 0
        self.started_ms += 1000
        self.group.on_role_change(self)

    def reaches(self, other):
        return (
            self.is_running
            and other.is_running
            and not self.is_apart
            and not other.is_apart
        )

    def entry(self):
        self.sequence += 1
        return {
            "service": self.group.service,
            "address": "%s:%d" % self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 3,
            "state": self.state,
            "cold_remaining_ms": 0,
            "database_role": self.role,
            "sequence": self.sequence,
            "born": self.started_ms,
        }

    def last(self):
        return self.log[-1] if self.log else (1, 0)

    def append(self, entries):
        self.log.extend(entries)
        for entry in entries:
            self.items[entry[3]] = entry[4]
        self.grown.set()
        self.grown = asyncio.Event()

    def cut_log(self, length):
        del self.log[length:]
        self.items = {entry[3]: entry[4] for entry in self.log}

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            line = await reader.readuntil(b"\r\n")
            fields = line.decode().rstrip("\r\n").split(" ", 3)
            is_expected = (
                fields[0] == "STARTUP"
                and fields[1] == self.group.service
                and (len(fields) < 4 or fields[3] == self.id)
            )
            if not is_expected:
                writer.write(f"ERROR MISROUTED {self.id}\r\n".encode())
                return
            await asyncio.sleep(0.005)
            session = Session()
            writer.write(f"READY I {position(self.last())}\r\n".encode())
            while True:
                line = (await reader.readuntil(b"\r\n")).decode()[:-2]
                if line == "TERMINATE":
                    return
                word, statement, text = line.split(" ", 2)
                if word != "QUERY":
                    return
                answer = await self.run(session, statement, text)
                if not self.is_running:
                    return
                writer.write(answer.encode())
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def run(self, session, statement, text):
        try:
            rows, signature = await self.execute(session, statement, text)
            outcome = "".join(f"DATAROW {row}\r\n" for row in rows)
            outcome += f"COMPLETE {signature}\r\n"
        except Refused as refused:
            if session.in_transaction and refused.code != "BUSY":
                session.is_failed = True
            outcome = f"ERROR {refused.code} {self.id}\r\n"
        return f"{outcome}READY {session.state()} {position(self.last())}\r\n"

    def sign(self):
        return f"{self.id}.{next(self.signatures)}"

    async def execute(self, session, statement, text):
        word, _, rest = text.partition(" ")
        if word == "WAITLSN":
            wanted, _, text = rest.partition(" ")
            term, number = wanted.split(".")
            if self.last()[:2] < (int(term), int(number)):
                raise Refused("LAGGING")
            word, _, rest = text.partition(" ")
        if word in ("STATUS", "PAUSE", "RESUME", "STEPDOWN"):
            return self.control(word, rest), "-"
        if session.is_failed and word not in ("COMMIT", "ROLLBACK"):
            raise Refused("MALFORMED")
        if word == "SET":
            name, _, value = rest.partition(" ")
            session.values[name] = value
            return [], "-"
        if word == "DISCARD":
            session.values.clear()
            session.prepared.clear()
            return [], "-"
        if word == "PREPARE":
            name, access, shape = rest.split(" ", 2)
            session.prepared[name] = (access, shape)
            return [], "-"
        if word == "DEALLOCATE":
            session.prepared.pop(rest, None)
            return [], "-"
        if word == "EXECUTE":
            name, _, rest = rest.partition(" ")
            if name not in session.prepared:
                raise Refused("NOSTMT")
            word = session.prepared[name][0]
        return await self.work(session, statement, word, rest)

    async def work(self, session, statement, word, rest):
        is_plain = session.in_transaction and not session.is_read_only
        if word == "BEGIN":
            if rest != "READ" and self.role != "primary":
                raise Refused("READONLY")
            session.in_transaction = True
            session.is_read_only = rest == "READ"
            session.is_failed = False
            session.writes = []
            return [], "-"
        if word in ("COMMIT", "ROLLBACK"):
            writes, was_failed = session.writes, session.is_failed
            session.in_transaction = session.is_failed = False
            session.writes = []
            if word == "ROLLBACK":
                return [], "-"
            if was_failed:
                raise Refused("ABORTED")
            await asyncio.sleep(0.004)
            if writes:
                await self.commit(writes)
            return [], self.sign()
        if is_plain and self.role != "primary":
            raise Refused("READONLY")
        await asyncio.sleep(0.004)
        if word == "READ":
            value = self.items.get(rest)
            return ([value] if value is not None else []), self.sign()
        if word != "WRITE":
            raise Refused("MALFORMED")
        if self.role != "primary" or session.is_read_only:
            raise Refused("READONLY")
        item, _, data = rest.partition(" ")
        if session.in_transaction:
            session.writes.append((statement, item, data))
        else:
            await self.commit([(statement, item, data)])
        return [], self.sign()

    async def commit(self, writes):
        """Appends the writes to the log; returns when one replica has received
        them. A primary that has lost the lead meanwhile never answers."""
        if self.role != "primary":
            raise Refused("READONLY")
        term = self.term
        number = self.last()[1] + 1
        entries = [(term, number, *write) for write in writes]
        self.append(entries)
        self.group.wake.set()
        while True:
            if not self.is_running or entries[0] not in self.log[-2000:]:
                await asyncio.sleep(3600)
            for replica in self.group.members.values():
                if (
                    replica is not self
                    and replica.reaches(self)
                    and replica.term == term
                    and entries[0] in replica.log[-2000:]
                ):
                    return
            await asyncio.sleep(0.003)

    def control(self, word, rest):
        if word == "PAUSE" and self.role == "replica":
            if int(rest) > self.term:
                self.paused_term = int(rest)
        elif word == "RESUME":
            self.paused_term = 0
        elif word == "STEPDOWN":
            if self.role == "primary" and self.term < int(rest):
                # What is on its way to the replicas still arrives.
                for replica in self.group.members.values():
                    self.group.send(self, replica)
                self.role = "replica"
                self.group.on_role_change(self)
        row = (
            f"{self.role} {self.term} {position(self.last())} "
            f"{self.paused_term} 0 0 {len(self.writers)}"
        )
        return [row]


class Group:
    """The databases of one service, and what passes between them."""

    def __init__(self, record, store, service):
        self.record = record
        self.store = store
        self.service = service
        self.members = {}
        self.wake = asyncio.Event()
        # (time, id, term, statement ids in its log)
        self.promotions = []

    def add(self, database):
        self.members[database.id] = database

    def is_running(self, name):
        return name in self.members and self.members[name].is_running

    def is_primary(self, name):
        newest = max(member.term for member in self.members.values())
        member = self.members[name]
        return member.role == "primary" and member.term == newest

    def report(self, database):
        if database.reports and self.store.is_up:
            self.store.put("servers", database.id, database.entry())
            return True
        return False

    def on_role_change(self, database):
        self.record.add(database.id, f"is {database.role} of term {database.term}")
        self.report(database)

    async def heartbeats(self, database):
        while database.is_running:
            self.report(database)
            await asyncio.sleep(HEARTBEAT_S)

    async def replicate(self):
        """Each primary sends its log to the replicas that receive. It becomes
        a replica when it has reached a newer primary for LEARN_S."""
        while True:
            for primary in list(self.members.values()):
                if primary.role == "primary" and primary.is_running:
                    for replica in list(self.members.values()):
                        self.send(primary, replica)
                    self.learn(primary)
            await asyncio.sleep(RECEIVE_S)

    def learn(self, primary):
        is_replaced = any(
            other.role == "primary"
            and other.term > primary.term
            and other.reaches(primary)
            for other in self.members.values()
        )
        if not is_replaced:
            primary.newer_seen = None
        elif primary.newer_seen is None:
            primary.newer_seen = now()
        elif now() >= primary.newer_seen + LEARN_S:
            primary.newer_seen = None
            primary.role = "replica"
            self.on_role_change(primary)

    @staticmethod
    def send(primary, replica):
        receives = (
            replica is not primary
            and replica.reaches(primary)
            and replica.role == "replica"
            and not replica.paused_term
            and replica.term <= primary.term
        )
        if not receives:
            return
        common = min(len(replica.log), len(primary.log))
        while common and replica.log[common - 1] != primary.log[common - 1]:
            common -= 1
        if common < len(replica.log):
            replica.cut_log(common)
        replica.term = primary.term
        if common < len(primary.log):
            replica.append(primary.log[common:])

    async def promote(self, name):
        await asyncio.sleep(PROMOTE_S)
        target = self.members.get(name)
        if target is None or not target.is_running or self.is_primary(name):
            return
        target.term = max(member.term for member in self.members.values()) + 1
        target.role = "primary"
        for member in self.members.values():
            if member is not target and not member.reaches(target):
                continue
            member.paused_term = 0
            if member.role == "replica":
                # It is in touch with the new primary and follows no older one.
                member.term = target.term
        self.promotions.append(
            (now(), name, target.term, {entry[2] for entry in target.log})
        )
        self.record.add(
            name, f"leads term {target.term} with {position(target.last())}"
        )
        self.on_role_change(target)
