"""The platform's metadata store and its promotion call."""

import asyncio
import base64
import json

from net import HttpServer, now

READ_S = 0.004
WRITE_S = 0.005


class Store:
    """Rows under versions, as PROTOCOL.md describes them."""

    def __init__(self, record):
        self.record = record
        self.rows = {}
        self.version = 0
        self.changes = []
        self.changed = asyncio.Event()
        self.is_up = True

    def current(self, table, part, key):
        return self.rows.get((table, part, key), (None, 0))

    def apply(self, upserts, removes):
        """Writes and removes rows in one transaction."""
        self.version += 1
        for table, part, key, value in upserts:
            self.rows[(table, part, key)] = (value, self.version)
            self.changes.append((self.version, table, part, key, value))
        for table, part, key in removes:
            if self.rows.pop((table, part, key), None) is not None:
                self.changes.append((self.version, table, part, key, None))
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, table, key, value):
        self.apply([(table, "", key, json.dumps(value).encode())], [])

    def remove(self, table, key):
        self.apply([], [(table, "", key)])

    @staticmethod
    def shown(table, part, key, value, version):
        row = {"table": table, "part": part, "key": key, "row_version": version}
        if value is None:
            row["removed"] = True
        else:
            row["value"] = base64.b64encode(value).decode()
        return row

    def answer(self, **fields):
        fields["row_version"] = self.version
        fields["current_time_ms"] = int(now() * 1000) + 1000
        return fields

    async def handle(self, method, path, query, body):
        if not self.is_up:
            return None
        if method == "POST" and path == "/-/rows-tx":
            await asyncio.sleep(WRITE_S)
            return self.transact(json.loads(body)) if self.is_up else None
        await asyncio.sleep(READ_S)
        if not self.is_up:
            return None
        if path == "/-/rows-get":
            return self.get(query)
        if path == "/-/rows-feed":
            return await self.feed(query)
        return 404, {}

    def transact(self, call):
        for row in call.get("expect", []):
            key = (row["table"], row["part"], row["key"])
            if self.current(*key)[1] != row["row_version"]:
                rows = [
                    self.shown(*key, *self.current(*key))
                    for key in (
                        (r["table"], r["part"], r["key"]) for r in call["expect"]
                    )
                    if self.current(*key)[1]
                ]
                return 412, self.answer(rows=rows)
        for row in call.get("upserts", []) + call.get("remove", []):
            if row["table"] in ("op", "servers"):
                return 403, {}
        self.apply(
            [
                (r["table"], r["part"], r["key"], base64.b64decode(r["value"]))
                for r in call.get("upserts", [])
            ],
            [(r["table"], r["part"], r["key"]) for r in call.get("remove", [])],
        )
        return 200, self.answer()

    def get(self, query):
        rows = [
            self.shown(*key, value, version)
            for key, (value, version) in sorted(self.rows.items())
            if key[0] == query["table"]
            and key[1] == query.get("part", "")
            and key[2] >= query.get("from", "")
        ]
        return 200, self.answer(rows=rows, has_more=False)

    async def feed(self, query):
        after = int(query["after"])
        deadline = now() + int(query.get("wait_ms", "0")) / 1000
        while True:
            newest = {}
            for version, table, part, key, value in self.changes:
                if version > after and table == query["table"]:
                    newest[(part, key)] = (version, value)
            left = deadline - now()
            if newest or left <= 0:
                rows = [
                    self.shown(query["table"], part, key, value, version)
                    for (part, key), (version, value) in sorted(
                        newest.items(), key=lambda entry: entry[1][0]
                    )
                ]
                return 200, self.answer(rows=rows)
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass
            if not self.is_up:
                return None


class StoreDoor:
    """The store as one machine reaches it; knows the machine's last call."""

    def __init__(self, store, links):
        self.store = store
        # The machine's own path to each database, by the database's id.
        self.links = links
        self.last_conditional_write = 0.0
        self.server = HttpServer(self.handle)

    async def handle(self, method, path, query, _headers, body):
        answer = await self.store.handle(method, path, query, body)
        if answer is not None:
            self.replace_addresses(answer[1])
        if path == "/-/rows-tx" and answer is not None and answer[0] == 200:
            if json.loads(body).get("expect"):
                self.last_conditional_write = now()
        return answer

    def replace_addresses(self, answer):
        for row in answer.get("rows", []):
            link = self.links.get(row["key"])
            if row["table"] == "servers" and link and "value" in row:
                entry = json.loads(base64.b64decode(row["value"]))
                entry["address"] = "%s:%d" % link.address
                row["value"] = base64.b64encode(
                    json.dumps(entry).encode()
                ).decode()


class Promotions:
    """The platform's call that names the database that takes over. Keeps what
    it has seen of holders and fencing tokens, and refuses nothing for them."""

    def __init__(self, record, groups):
        self.record = record
        self.groups = groups
        self.calls = []
        self.lower_tokens = []
        self.server = HttpServer(self.handle)

    async def handle(self, method, path, _query, headers, body):
        if method != "POST" or path != "/promotion":
            return 404, {}
        call = json.loads(body)
        holder = headers.get("x-lease-holder")
        token = int(headers.get("x-fencing-token", "0"))
        seen = max((entry[2] for entry in self.calls), default=0)
        self.calls.append((now(), holder, token, call["id"]))
        self.record.add(
            "platform",
            f"promotion of {call['id']} by {holder} with token {token}; "
            f"highest token seen before: {seen}",
        )
        if token < seen:
            self.lower_tokens.append((holder, token, seen, call["id"]))
        group = self.groups.get(call["service"])
        if group is None or not group.is_running(call["id"]):
            return 409, {}
        if not group.is_primary(call["id"]):
            asyncio.ensure_future(group.promote(call["id"]))
        return 200, {}
