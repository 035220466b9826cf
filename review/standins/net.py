"""HTTP/1.1 server, TCP relay and free addresses for the stand-ins."""

import asyncio
import json
import socket
import struct
import time
import urllib.parse

START = time.monotonic()


def now():
    """Seconds since the start of the run, by the steady clock."""
    return time.monotonic() - START


class Record:
    """What was sent, answered and run, in the order of events."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")

    def add(self, who, what):
        self.file.write(f"{now():9.3f} {who:<12} {what}\n")

    def close(self):
        self.file.close()


def free_port(ip, kind=socket.SOCK_STREAM):
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


def reset(writer):
    """Closes a connection with a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        try:
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
        except OSError:
            pass
    writer.transport.abort()


class HttpServer:
    """Answers requests with `handle(method, path, query, headers, body)`,
    a coroutine that returns a status and a JSON value, or None to reset."""

    def __init__(self, handle):
        self.handle = handle
        self.server = None
        self.address = None

    async def start(self, ip):
        self.server = await asyncio.start_server(self.serve, ip, 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = (ip, port)

    async def serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    name, _, value = line.partition(":")
                    if name:
                        headers[name.strip().lower()] = value.strip()
                size = int(headers.get("content-length", "0"))
                body = await reader.readexactly(size) if size else b""
                parts = urllib.parse.urlsplit(target)
                query = dict(
                    urllib.parse.parse_qsl(parts.query, keep_blank_values=True)
                )
                answer = await self.handle(
                    method, parts.path, query, headers, body
                )
                if answer is None:
                    reset(writer)
                    return
                status, value = answer
                payload = json.dumps(value).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n" % (status, len(payload))
                    + payload
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            writer.close()


class Link:
    """The network path from one machine to one server, as a TCP relay.

    While the path is cut, established connections carry nothing either way.
    What a sender had sent is delivered when the cut heals, also when the
    sender has closed the connection meanwhile; it is lost when the sender has
    reset it. A connection that is opened during the cut carries nothing before
    it heals, and nothing at all when its opener has given it up by then."""

    def __init__(self, target):
        self.target = target
        self.is_open = asyncio.Event()
        self.is_open.set()
        self.address = None

    async def start(self, ip):
        server = await asyncio.start_server(self.serve, ip, 0)
        self.address = (ip, server.sockets[0].getsockname()[1])

    def cut(self):
        self.is_open.clear()

    def heal(self):
        self.is_open.set()

    async def serve(self, reader, writer):
        if not self.is_open.is_set():
            # The opening packet is lost until the cut heals.
            closed = asyncio.ensure_future(reader.read(1 << 16))
            healed = asyncio.ensure_future(self.is_open.wait())
            early = b""
            while not healed.done():
                await asyncio.wait(
                    {closed, healed}, return_when=asyncio.FIRST_COMPLETED
                )
                if closed.done():
                    data = b""
                    try:
                        data = closed.result()
                    except ConnectionError:
                        pass
                    if not data:
                        healed.cancel()
                        writer.close()
                        return
                    early += data
                    closed = asyncio.ensure_future(reader.read(1 << 16))
            if closed.done():
                data = closed.result()
                if not data:
                    writer.close()
                    return
                early += data
            else:
                closed.cancel()
            await self.connect(reader, writer, early)
            return
        await self.connect(reader, writer, b"")

    async def connect(self, reader, writer, early):
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.target)
        except OSError:
            reset(writer)
            return
        if early:
            far_writer.write(early)
        await asyncio.gather(
            self.pump(reader, far_writer), self.pump(far_reader, writer)
        )

    async def pump(self, reader, writer):
        try:
            while True:
                data = await reader.read(1 << 16)
                if not self.is_open.is_set():
                    data = await self.hold(reader, data)
                if not data:
                    break
                writer.write(data)
                await writer.drain()
            if writer.can_write_eof():
                writer.write_eof()
        except (ConnectionError, RuntimeError):
            await self.is_open.wait()
            reset(writer)

    async def hold(self, reader, data):
        """Keeps what was sent until the cut heals. Raises ConnectionError when
        the sender resets the connection meanwhile."""
        healed = asyncio.ensure_future(self.is_open.wait())
        is_ended = not data
        while not healed.done():
            if is_ended:
                await healed
                break
            more = asyncio.ensure_future(reader.read(1 << 16))
            await asyncio.wait({more, healed}, return_when=asyncio.FIRST_COMPLETED)
            if more.done():
                chunk = more.result()
                is_ended = not chunk
                data += chunk
            else:
                more.cancel()
                try:
                    await more
                except asyncio.CancelledError:
                    pass
        return data
