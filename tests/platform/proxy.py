"""Loopback proxies whose connections misbehave: one thread, asyncio."""

import asyncio
import random
import socket
import struct
import threading

PASS, DELAY, SILENT, TO_ONLY, FROM_ONLY, REFUSE = range(6)
NAMES = ["pass", "delay", "silent", "one-way-to", "one-way-from", "refuse"]
DELAY_S = 0.3


class Proxies:
    def __init__(self):
        self.loop = asyncio.new_event_loop()
        threading.Thread(target=self.loop.run_forever, daemon=True).start()

    def add(self, target):
        """Return a Proxy to TARGET, "IP:PORT"."""
        return asyncio.run_coroutine_threadsafe(
            Proxy.open(target), self.loop).result()


class Proxy:
    """Connections to one target.  A mode holds for what is sent from then on;
    what a silent one is sent is lost, as its connections are when it ends."""

    @classmethod
    async def open(cls, target):
        self = cls()
        self.loop = asyncio.get_running_loop()
        self.ip, port = target.rsplit(":", 1)
        self.port = int(port)
        self.mode = PASS
        self.pairs = set()
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]
        return self

    def set_mode(self, mode):
        def change():
            was_lossy = self.mode in (SILENT, TO_ONLY, FROM_ONLY)
            self.mode = mode
            if was_lossy:
                self.reset_all()
        self.loop.call_soon_threadsafe(change)

    def reset(self):
        self.loop.call_soon_threadsafe(self.reset_all)

    def reset_all(self):
        for writer in list(self.pairs):
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
            up = await asyncio.open_connection(self.ip, self.port)
        except OSError:
            writer.transport.abort()
            return
        both = [writer, up[1]]
        self.pairs.update(both)
        await asyncio.gather(
            self.copy(reader, up[1], TO_ONLY),
            self.copy(up[0], writer, FROM_ONLY))
        self.pairs.difference_update(both)
        for w in both:
            w.close()

    async def copy(self, reader, writer, only):
        try:
            while True:
                data = await reader.read(65536)
                if not data:
                    break
                if self.mode == DELAY:
                    await asyncio.sleep(random.random() * DELAY_S)
                if self.mode in (PASS, DELAY, only):
                    writer.write(data)
                    await writer.drain()
            writer.close()
        except (OSError, RuntimeError):
            writer.transport.abort()
