"""Loopback proxies that inject faults into connections; all run on one thread,
with asyncio."""

import asyncio
import random
import socket
import struct
import threading

# Modes: forward; forward after a random delay; drop all data; forward data to
# the target or from the target only; refuse new connections.
PASS, DELAY, SILENT, TO_TARGET_ONLY, FROM_TARGET_ONLY, REFUSE = range(6)
MODE_NAMES = ["pass", "delay", "silent", "one-way-to", "one-way-from",
              "refuse"]
MAX_DELAY_S = 0.3


class Proxies:
    def __init__(self):
        self.loop = asyncio.new_event_loop()
        threading.Thread(target=self.loop.run_forever, daemon=True).start()

    def add(self, target):
        """Return a Proxy to TARGET, "IP:PORT"."""
        return asyncio.run_coroutine_threadsafe(
            Proxy.open(target), self.loop).result()


class Proxy:
    """Forwards connections to one target.  A mode applies to the data received
    from then on.  A mode that drops data resets the connections when it ends,
    since they have lost part of their data."""

    @classmethod
    async def open(cls, target):
        self = cls()
        self.loop = asyncio.get_running_loop()
        self.ip, port = target.rsplit(":", 1)
        self.port = int(port)
        self.mode = PASS
        self.writers = set()
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]
        return self

    def set_mode(self, mode):
        def apply():
            was_dropping = self.mode in (SILENT, TO_TARGET_ONLY,
                                         FROM_TARGET_ONLY)
            self.mode = mode
            if was_dropping:
                self.abort_writers()
        self.loop.call_soon_threadsafe(apply)

    def reset_connections(self):
        self.loop.call_soon_threadsafe(self.abort_writers)

    def abort_writers(self):
        for writer in list(self.writers):
            sock = writer.get_extra_info("socket")
            if sock is not None and sock.fileno() >= 0:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                struct.pack("ii", 1, 0))
            writer.transport.abort()

    async def serve(self, reader, writer):
        if self.mode == REFUSE:
            writer.transport.abort()
            return
        try:
            upstream = await asyncio.open_connection(self.ip, self.port)
        except OSError:
            writer.transport.abort()
            return
        pair = [writer, upstream[1]]
        self.writers.update(pair)
        await asyncio.gather(
            self.copy(reader, upstream[1], TO_TARGET_ONLY),
            self.copy(upstream[0], writer, FROM_TARGET_ONLY))
        self.writers.difference_update(pair)
        for w in pair:
            w.close()

    async def copy(self, reader, writer, one_way_mode):
        try:
            while True:
                data = await reader.read(65536)
                if not data:
                    break
                if self.mode == DELAY:
                    await asyncio.sleep(random.random() * MAX_DELAY_S)
                if self.mode in (PASS, DELAY, one_way_mode):
                    writer.write(data)
                    await writer.drain()
            writer.close()
        except (OSError, RuntimeError):
            writer.transport.abort()
