"""A small deployment on loopback: the project's proxies as processes of their
own, with stand-ins for the platform, the databases and the clients."""

import asyncio
import json
import logging
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import tomllib
import uuid

from databases import HEARTBEAT_S, Database, Group
from net import Link, Record, free_port, now
from platform_api import Promotions, Store, StoreDoor

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
ZONES = {"maan-east": "maan", "zarqa-north": "zarqa", "aqaba-port": "aqaba"}
SERVICE = "huvo11a"
# As for a small deployment in DEPLOY.md.
BOUNDS = {
    "drain_timeout_ms": 7000,
    "stable_window_ms": 4000,
    "grace_period_s": 6,
    "quota_window_s": 5,
    "quota_overrun": 0.1,
    "quota_tolerance": 20,
    "evacuation_ms": 5000,
}
KEY = "u6wsjnbanfqasnmgkcuy"
HOSTS = {
    "lepu270": ("primary", 1000, {}),
    "xapu221ny95": ("bounded_staleness", 2000, {"max_staleness_ms": 1500}),
    "fiti832ti23": ("read_your_writes", 1000, {"max_staleness_ms": 2500}),
}


def configuration(version=7):
    routes = [
        {
            "name": f"r-{host}",
            "host": host,
            "prefix": "/",
            "kind": kind,
            "timeout_ms": timeout,
            "target_latency_ms": 800,
            "priority": 1,
            "service": SERVICE,
            "max_attempts": 2,
            "public": False,
            "allowed_regions": [],
            **more,
        }
        for host, (kind, timeout, more) in HOSTS.items()
    ]
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": SERVICE,
                "health_path": "/health",
                "max_connections": 21,
                "protocol": "h1",
                "tls": False,
                "cold_start_s": 0.0,
                "cold_per_s": 0.0,
                "sync_replicas": 1,
            }
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 262144,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
            "transaction_idle_ms": 3000,
        },
        "tenants": [
            {
                "name": "nypu920",
                "api_keys": [KEY],
                "priority": 1,
                "rate_per_s": 121,
                "burst": 121,
                "allowed_regions": [],
            }
        ],
    }


def render(template, fields):
    """Fills the placeholders that the project's template uses."""

    def value(match):
        found = fields
        for part in match.group(1).split("."):
            found = found[int(part)] if isinstance(found, list) else found[part]
        return json.dumps(found)

    return re.sub(r"\{\{([a-z_.0-9]+)\|json\}\}", value, template)


class Vm:
    """One entry machine: its addresses, its paths and its proxy process."""

    def __init__(self, deployment, name, zone, ip, ports):
        self.deployment = deployment
        self.name = name
        self.zone = zone
        self.ip = ip
        self.ports = ports
        self.database_links = {}
        self.store_door = StoreDoor(deployment.store, self.database_links)
        self.store_link = None
        self.promotion_link = None
        self.process = None
        self.log = None

    async def add_link(self, database):
        link = Link(database.address)
        await link.start("127.0.0.1")
        self.database_links[database.id] = link

    async def prepare(self):
        for database in self.deployment.group.members.values():
            await self.add_link(database)
        await self.store_door.server.start("127.0.0.1")
        self.store_link = Link(self.store_door.server.address)
        await self.store_link.start("127.0.0.1")
        self.promotion_link = Link(self.deployment.promotions.server.address)
        await self.promotion_link.start("127.0.0.1")
        with open(
            os.path.join(ROOT, "deploy", "settings.json.in"), encoding="utf-8"
        ) as file:
            template = file.read()
        fields = {
            "node_name": self.name,
            "ip": self.ip,
            "zone": self.zone,
            "region": ZONES[self.zone],
            "zones": ZONES,
            "listen_addresses": {
                "frontend": f"{self.ip}:{self.ports['frontend']}",
                "ready": f"{self.ip}:{self.ports['ready']}",
            },
            "platform": {"address": "%s:%d" % self.store_link.address},
            "cloud_api": {"address": "%s:%d" % self.promotion_link.address},
            "internal_port_range": [self.ports["peer"], self.ports["peer"]],
            "bounds": BOUNDS,
            "limits": {"cpu_share": 0.25},
        }
        self.settings = os.path.join(self.deployment.folder, self.name + ".json")
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(render(template, fields))

    def start(self):
        self.log = open(
            os.path.join(self.deployment.folder, self.name + ".log"), "ab"
        )
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["LABURNUMKEEL_CONFIG"] = self.settings
        self.process = subprocess.Popen(
            self.deployment.command,
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=self.log,
            stderr=subprocess.STDOUT,
        )
        self.deployment.processes.append(self.process)
        self.deployment.record.add(self.name, "started")

    def signal(self, number):
        self.deployment.record.add(self.name, f"signal {number.name}")
        self.process.send_signal(number)

    async def kill_and_restart(self, after_s):
        self.signal(signal.SIGKILL)
        while self.process.poll() is None:
            await asyncio.sleep(0.01)
        await asyncio.sleep(after_s)
        self.start()

    def cut_from_platform(self):
        self.deployment.record.add(self.name, "is cut from the platform")
        self.store_link.cut()
        self.promotion_link.cut()

    def heal(self):
        self.deployment.record.add(self.name, "reaches the platform again")
        self.store_link.heal()
        self.promotion_link.heal()

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(
                self.ip, self.ports["ready"]
            )
            writer.write(b"GET /-/readiness HTTP/1.1\r\nHost: x\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False


class Wire:
    """A client's connection."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer

    @classmethod
    async def open(cls, vm, host):
        reader, writer = await asyncio.open_connection(
            vm.ip, vm.ports["frontend"], limit=1 << 21
        )
        writer.write(f"STARTUP {host} {KEY}\r\n".encode())
        line = await asyncio.wait_for(reader.readline(), 2)
        if not line.startswith(b"READY"):
            writer.close()
            raise ConnectionError(line.decode().strip() or "closed")
        return cls(reader, writer)

    async def query(self, statement, text, timeout=8):
        """Returns (rows, signature, error, state)."""
        self.writer.write(f"QUERY {statement} {text}\r\n".encode())
        rows, signature, error = [], None, None
        while True:
            line = await asyncio.wait_for(self.reader.readline(), timeout)
            if not line.endswith(b"\r\n"):
                raise ConnectionError("closed")
            word, _, rest = line.decode().rstrip("\r\n").partition(" ")
            if word == "DATAROW":
                rows.append(rest)
            elif word == "COMPLETE":
                signature = rest
            elif word == "ERROR":
                error = rest
            elif word == "READY":
                return rows, signature, error, rest.split(" ")[0]

    def close(self):
        self.writer.close()


def new_id():
    return uuid.uuid4().hex[:16]


class Writer:
    """A client that sends single writes over one VM, one after the other, and
    reconnects after a close. It moves to another VM when it cannot connect."""

    def __init__(self, deployment, name, vm, pause_s=0.05):
        self.deployment = deployment
        self.name = name
        self.vm = vm
        self.pause_s = pause_s
        # (time of the answer, statement id)
        self.acknowledged = []
        # (time sent, whether it was served)
        self.requests = []
        self.refused = 0
        self.is_over = False

    async def run(self):
        wire = None
        count = 0
        record = self.deployment.record
        while not self.is_over:
            statement = new_id()
            sent = now()
            signature = None
            try:
                if wire is None:
                    wire = await Wire.open(self.vm, "lepu270")
                count += 1
                _, signature, error, _ = await wire.query(
                    statement, f"WRITE {self.name}-{count} d{count}"
                )
                if signature:
                    self.acknowledged.append((now(), statement))
                    record.add(self.name, f"{statement} acknowledged {signature}")
                else:
                    self.refused += 1
                    record.add(self.name, f"{statement} answered {error}")
            except (OSError, asyncio.TimeoutError) as failure:
                record.add(self.name, f"{statement} not answered: {failure}")
                if wire is None:
                    vms = self.deployment.vms
                    self.vm = vms[(vms.index(self.vm) + 1) % len(vms)]
                else:
                    wire.close()
                wire = None
            self.requests.append((sent, bool(signature)))
            await asyncio.sleep(self.pause_s)
        if wire is not None:
            wire.close()


class Reader:
    """A client that sends single reads over one VM on one route, and moves to
    another VM when it cannot connect."""

    def __init__(self, deployment, name, vm, host, pause_s=0.05):
        self.deployment = deployment
        self.name = name
        self.vm = vm
        self.host = host
        self.pause_s = pause_s
        # (time sent, whether it was served)
        self.requests = []
        self.is_over = False

    async def run(self):
        wire = None
        record = self.deployment.record
        while not self.is_over:
            statement = new_id()
            sent = now()
            is_served = False
            try:
                if wire is None:
                    wire = await Wire.open(self.vm, self.host)
                _, signature, error, _ = await wire.query(statement, "READ it1")
                is_served = bool(signature)
                record.add(self.name, f"{statement} answered {signature or error}")
            except (OSError, asyncio.TimeoutError) as failure:
                record.add(self.name, f"{statement} not answered: {failure}")
                if wire is None:
                    vms = self.deployment.vms
                    self.vm = vms[(vms.index(self.vm) + 1) % len(vms)]
                else:
                    wire.close()
                wire = None
            self.requests.append((sent, is_served))
            await asyncio.sleep(self.pause_s)
        if wire is not None:
            wire.close()


class Deployment:
    def __init__(self, case_folder):
        self.case_folder = case_folder
        self.folder = tempfile.mkdtemp(prefix="laburnumkeel-review-")
        self.record = Record(os.path.join(case_folder, "record.txt"))
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.store = Store(self.record)
        self.group = Group(self.record, self.store, SERVICE)
        self.promotions = Promotions(self.record, {SERVICE: self.group})
        self.vms = []
        # Every process that this run has started.
        self.processes = []
        self.tasks = []
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            self.command = tomllib.load(file)["roles"]["proxy"]["run"].split(" ")

    def spawn(self, coroutine):
        self.tasks.append(asyncio.ensure_future(coroutine))

    async def add_database(self, name, zone, role="replica"):
        database = Database(self.group, name, zone, "127.0.0.1")
        database.role = role
        await database.start()
        for vm in self.vms:
            await vm.add_link(database)
        self.group.add(database)
        self.spawn(self.group.heartbeats(database))
        self.record.add(name, f"started as {role} in {zone}")
        return database

    async def start(self, vm_count=3):
        await self.promotions.server.start("127.0.0.1")
        for name, zone, role in (
            ("i-7f3a91c2", "maan-east", "primary"),
            ("i-40f425ee", "zarqa-north", "replica"),
            ("i-d00495c3", "aqaba-port", "replica"),
        ):
            await self.add_database(name, zone, role)
        self.spawn(self.group.replicate())
        self.store.put("op", "config", configuration())
        ports = {
            "frontend": free_port("127.0.0.1"),
            "ready": free_port("127.0.0.1"),
            "peer": free_port("127.0.0.1", socket.SOCK_DGRAM),
        }
        zones = list(ZONES)
        for number in range(vm_count):
            zone = zones[number % len(zones)]
            vm = Vm(
                self, f"frontend-{zone}-{number + 1}", zone,
                f"127.0.1.{number + 1}", ports,
            )
            await vm.prepare()
            self.vms.append(vm)
            vm.start()
        for _ in range(200):
            if all([await vm.is_ready() for vm in self.vms]):
                self.record.add("test", "all VMs are ready")
                return
            await asyncio.sleep(0.1)
        raise RuntimeError("the VMs do not become ready")

    def primary(self):
        """The primary of the newest term; None while there is none."""
        for member in self.group.members.values():
            if self.group.is_primary(member.id):
                return member
        return None

    async def settled_primary(self):
        """Waits until a primary that does not leave leads."""
        for _ in range(100):
            primary = self.primary()
            if primary and primary.is_running and primary.state == "ready":
                return primary
            await asyncio.sleep(0.1)
        raise RuntimeError("no primary leads")

    async def release(self, database, name, leave_after_s):
        """Replaces a database as planned: a new one starts first, then the old
        one drains, and leaves."""
        await self.add_database(name, database.zone)
        await asyncio.sleep(1)
        database.state = "draining"
        self.group.report(database)
        self.record.add(database.id, "is draining")
        self.spawn(self.leave(database, leave_after_s))

    async def lose_power(self, database, new_name, after_s):
        """A database's machine is without power. The database is back after
        `after_s` at its address, with its log, under a new id."""
        self.record.add(database.id, "loses power")
        for vm in self.vms:
            vm.database_links[database.id].cut()
        database.end()
        await asyncio.sleep(after_s)
        self.group.members.pop(database.id)
        back = Database(self.group, new_name, database.zone, database.ip)
        back.address = database.address
        back.log = list(database.log)
        back.items = dict(database.items)
        back.term = database.term
        back.role = database.role
        newest = max(member.term for member in self.group.members.values())
        if newest > back.term:
            back.role = "replica"
        for vm in self.vms:
            await vm.add_link(back)
        await back.listen_again()
        for vm in self.vms:
            vm.database_links[database.id].heal()
        self.group.add(back)
        self.record.add(new_name, f"is back as {back.role} of term {back.term}")
        self.spawn(self.group.heartbeats(back))

    async def expire(self, name):
        """An entry is removed after three heartbeat intervals of silence."""
        await asyncio.sleep(3 * HEARTBEAT_S)
        self.store.remove("servers", name)

    async def leave(self, database, after_s):
        await asyncio.sleep(after_s)
        self.record.add(database.id, "leaves")
        database.end()
        if self.store.is_up:
            self.store.remove("servers", database.id)
        self.group.members.pop(database.id)

    def leader(self):
        """The machine that last wrote to the store under a condition."""
        return max(self.vms, key=lambda vm: vm.store_door.last_conditional_write)

    async def outage(self, length_s):
        """The store is down; registrations lapse meanwhile, after three
        heartbeat intervals of silence."""
        self.record.add("store", "is down")
        self.store.is_up = False
        await asyncio.sleep(3 * HEARTBEAT_S)
        for table, _, key in list(self.store.rows):
            if table == "servers":
                self.store.remove(table, key)
        await asyncio.sleep(length_s - 3 * HEARTBEAT_S)
        self.store.is_up = True
        self.record.add("store", "is back")

    def stop(self):
        for task in self.tasks:
            task.cancel()
        for process in self.processes:
            if process.poll() is None:
                process.kill()
            process.wait()
        for vm in self.vms:
            if vm.log:
                vm.log.close()
        for vm in self.vms:
            with open(
                os.path.join(self.folder, vm.name + ".log"), "rb"
            ) as file:
                for line in file.read().decode(errors="replace").splitlines():
                    words = ("name=duty", "name=change", "name=store_")
                    if any(word in line for word in words):
                        self.record.add(vm.name, "log: " + line[-250:])
        self.record.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def main(case, case_folder):
    """Runs `case(deployment)`, which returns the breaks that it found."""

    async def run():
        # A run that is told to stop ends its processes too.
        task = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        deployment = Deployment(case_folder)
        try:
            await deployment.start()
            breaks = await case(deployment)
            deployment.record.add(
                "verdict", "; ".join(breaks) if breaks else "the rule held"
            )
            for text in breaks or ["the rule held"]:
                print(text)
            return 1 if breaks else 0
        finally:
            deployment.stop()

    # Tasks that are still pending at the end are of no interest.
    logging.getLogger("asyncio").setLevel(logging.CRITICAL)
    try:
        code = asyncio.run(asyncio.wait_for(run(), 110))
    except (Exception, asyncio.CancelledError, KeyboardInterrupt) as failure:
        # The case could not run.
        print(f"not run: {failure!r}", file=sys.stderr)
        code = 2
    # Connections that are still open need no orderly end.
    sys.stdout.flush()
    os._exit(code)
