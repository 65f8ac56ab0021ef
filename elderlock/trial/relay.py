"""Relays: each pair of processes that talk does so through one, which cuts, delays, trickles, resets and half-closes
on command, and shows what passes to whoever looks on.

A way that is cut lets no connection come up, as over a network: the relay's listener takes nothing from its queue and
holds that full, so the kernel drops each further SYN and its sender tries again by itself (after 1 s, then 3 s). Bytes
on connections that are open wait and come in their order once the way is healed.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
import struct
from collections.abc import Callable
from pathlib import Path
from typing import Protocol, cast

from elderlock.standins.network import Network
from elderlock.trial.link_conditions import Place, Stream, Ways, Weather, datagram

BACKLOG = 1024
MOST_HELD = 1 << 20  # bytes of one direction, beyond which its sender is read no more
LOOK = 0.01  # s between looks whether what was away listens again
FILLERS = 8  # connections that a cut listener's queue is filled with, at most
LINGER_NOT = struct.pack("ii", 1, 0)

Address = tuple[str, int] | str


class Eyes(Protocol):
    """Looks on at one connection: `sent` when its opener's bytes came to the relay, `delivered` when they left it,
    `read` when the target's came and `handed` when they left it; `closed` once, with whether the opener ended it."""

    def sent(self, data: bytes) -> None: ...
    def delivered(self, data: bytes) -> None: ...
    def read(self, data: bytes) -> None: ...
    def handed(self, data: bytes) -> None: ...
    def closed(self, by_opener: bool, broken: bool) -> None: ...


def break_off(transport: asyncio.Transport | None) -> None:
    """A reset, not an orderly end."""
    if transport is None or transport.is_closing():
        return
    sock = transport.get_extra_info("socket")
    if sock is not None and sock.family == socket.AF_INET:
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NOT)
    transport.abort()


class _End(asyncio.Protocol):
    """One side of a connection through the relay."""

    def __init__(self, link: Link, opener: bool) -> None:
        self.link, self.opener = link, opener
        self.transport: asyncio.Transport | None = None
        self.out = Stream()  # towards this end
        self.full = self.finished = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        self.link.came(self, data)

    def eof_received(self) -> bool:
        self.link.eof(self)
        return True  # the other direction goes on

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None  # uvloop's says that it is not closing for a moment after its end, and raises at a word
        self.link.lost(self, exc)

    def pause_writing(self) -> None:
        self.full = True
        self.link.throttle()

    def resume_writing(self) -> None:
        self.full = False
        self.link.throttle()


class Link:
    """One connection through a relay."""

    def __init__(self, relay: Relay, eyes: Eyes | None) -> None:
        self.relay, self.eyes = relay, eyes
        self.opener, self.target = _End(self, True), _End(self, False)
        self.broken = False  # by a fault of ours
        self._over = False
        self._timer: asyncio.TimerHandle | None = None
        self._deaf: set[_End] = set()  # what comes from these goes nowhere any more

    def other(self, end: _End) -> _End:
        return self.target if end is self.opener else self.opener

    def came(self, end: _End, data: bytes) -> None:
        if self.eyes is not None:
            (self.eyes.sent if end is self.opener else self.eyes.read)(data)
        if end in self._deaf:
            return
        towards = self.other(end)
        towards.out.put(data, self.relay.loop.time(), self.relay.weather(towards is self.target))
        self.flush()

    def eof(self, end: _End) -> None:
        if end is self.target and self.eyes is not None:  # no target of ours goes on after that
            eyes, self.eyes = self.eyes, None
            eyes.closed(False, self.broken)
        self.other(end).out.end()
        self.flush()

    def lost(self, end: _End, exc: Exception | None) -> None:
        """One side is gone. The other hears of it in its turn: not across a cut, and after what was under way."""
        if self._over:
            return
        towards = self.other(end)
        if self.eyes is not None:
            eyes, self.eyes = self.eyes, None
            eyes.closed(end is self.opener, self.broken)
        if exc is not None and not self.relay.weather(towards is self.target).cut:
            return self.end(hard=True)
        towards.out.end()
        end.finished = True
        self.flush()

    def flush(self) -> None:
        """Lets go what is due both ways, and sees to what is due next."""
        if self._over:
            return
        now = self.relay.loop.time()
        wakes: list[float] = []
        for towards in (self.target, self.opener):
            weather = self.relay.weather(towards is self.target)
            stream, transport = towards.out, towards.transport
            if transport is None or transport.is_closing():
                continue
            while data := stream.due(now, weather):
                transport.write(data)
                if self.eyes is not None:
                    (self.eyes.delivered if towards is self.target else self.eyes.handed)(data)
            if weather.cut:
                continue
            if stream.over() and not towards.finished:
                towards.finished = True
                source = self.other(towards).transport
                if source is None or source.is_closing():
                    transport.close()
                elif transport.can_write_eof():
                    transport.write_eof()
            elif (at := stream.next()) is not None:
                wakes.append(at)
        if self.opener.finished and self.target.finished:
            return self.end(hard=False)
        self.throttle()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if wakes:
            self._timer = self.relay.loop.call_later(max(0.0, min(wakes) - now), self.flush)

    def throttle(self) -> None:
        """Who sends more than the other takes is read no more for a while."""
        for end in (self.opener, self.target):
            towards = self.other(end)
            transport = end.transport
            if transport is None or transport.is_closing():
                continue
            stop = towards.full or towards.out.size > MOST_HELD
            if stop and transport.is_reading():
                transport.pause_reading()
            elif not stop and not transport.is_reading():
                transport.resume_reading()

    def half_close(self, towards_target: bool) -> None:
        """The end of one direction, while the other goes on."""
        self.broken = True
        towards = self.target if towards_target else self.opener
        self._deaf.add(self.other(towards))
        towards.out.end()
        self.flush()

    def end(self, hard: bool) -> None:
        if self._over:
            return
        self._over = True
        self.relay.links.pop(self, None)
        if self._timer is not None:
            self._timer.cancel()
        if self.eyes is not None:
            eyes, self.eyes = self.eyes, None
            eyes.closed(False, self.broken)
        for each in (self.opener, self.target):
            if hard:
                break_off(each.transport)
            elif each.transport is not None:
                each.transport.close()


class Relay:
    """From `here` to `there`, at an address of its own (`at`; a port of the kernel's choice). `look` makes the eyes of
    each connection."""

    def __init__(
        self, ways: Ways, here: Place, there: Place, target: Address, look: Callable[[], Eyes | None] = lambda: None
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.ways, self.here, self.there, self.target = ways, here, there, target
        self._look = look
        self.links: dict[Link, None] = {}
        self.taken = 0  # connections
        self.listening = False
        self._socket: socket.socket | None = None
        self._at: Address = ""
        self._cut = False
        self._fillers: list[socket.socket] = []
        self._filled: set[tuple[str, int]] = set()  # whence the fillers came
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def endpoint(self) -> str:
        return "%s:%d" % self._at if isinstance(self._at, tuple) else self._at

    def weather(self, towards_target: bool) -> Weather:
        pair = (self.here, self.there) if towards_target else (self.there, self.here)
        return self.ways.weather(*pair)

    # Listening

    def open(self, at: Address = ("127.0.0.1", 0)) -> Relay:
        """Raises `OSError`."""
        self._at = self._at or at
        family = socket.AF_INET if isinstance(self._at, tuple) else socket.AF_UNIX
        sock = socket.socket(family, socket.SOCK_STREAM | socket.SOCK_NONBLOCK | socket.SOCK_CLOEXEC)
        try:
            if isinstance(self._at, tuple):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            else:
                Path(self._at).parent.mkdir(mode=0o700, parents=True, exist_ok=True)
                Path(self._at).unlink(missing_ok=True)
            sock.bind(self._at)
            sock.listen(BACKLOG)
        except OSError:
            sock.close()
            raise
        if isinstance(self._at, tuple):
            self._at = sock.getsockname()
        self._socket, self.listening = sock, True
        if self._cut:
            self._cut = False
            self.changed()
        else:
            self.loop.add_reader(sock.fileno(), self._accept)
        return self

    def shut(self) -> None:
        """Listens no more, as what stands behind it does not: who comes is refused."""
        if self._socket is not None:
            self.loop.remove_reader(self._socket.fileno())
            self._socket.close()
            self._socket, self.listening = None, False
            if isinstance(self._at, str):
                Path(self._at).unlink(missing_ok=True)
        self._empty()

    def changed(self) -> None:
        """The weather did."""
        cut = self.weather(True).cut or self.weather(False).cut
        if cut != self._cut and self._socket is not None:
            if cut:
                self.loop.remove_reader(self._socket.fileno())
                self._fill()
            else:
                self._socket.listen(BACKLOG)
                self.loop.add_reader(self._socket.fileno(), self._accept)
                self._empty()
        self._cut = cut
        for link in list(self.links):
            link.flush()

    def _fill(self) -> None:
        """Of a Unix socket the queue stays as it is: its openers wait in it, for no time-out of the kernel's."""
        sock = self._socket
        if sock is None or not isinstance(self._at, tuple):
            return
        sock.listen(0)
        for _ in range(FILLERS):
            filler = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK | socket.SOCK_CLOEXEC)
            self._fillers.append(filler)
            # on loopback a handshake is over when connect returns; one that is not met a full queue
            full = filler.connect_ex(self._at) != 0 and filler.connect_ex(self._at) != 0
            self._filled.add(filler.getsockname())
            if full:
                break

    def _empty(self) -> None:
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()

    def _accept(self) -> None:
        for _ in range(64):
            if self._socket is None:
                return
            try:
                sock, peer = self._socket.accept()
            except BlockingIOError:
                return
            except OSError:  # out of descriptors, or it went away in the queue
                return
            if peer in self._filled:
                self._filled.discard(peer)
                sock.close()
                continue
            sock.setblocking(False)
            self.taken += 1
            task = self.loop.create_task(self._carry(sock))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _carry(self, sock: socket.socket) -> None:
        if self.ways.weather(self.here, self.there).late:  # a handshake takes its time too
            await asyncio.sleep(self.weather(True).late / 1000.0)
        link = Link(self, None)
        try:
            if isinstance(self.target, tuple):
                await self.loop.create_connection(lambda: link.target, *self.target)
            else:
                await self.loop.create_unix_connection(lambda: link.target, self.target)
        except OSError as error:
            with contextlib.suppress(OSError):
                if sock.family == socket.AF_INET:
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NOT)
            sock.close()
            if isinstance(error, ConnectionRefusedError | FileNotFoundError):
                self.shut()  # it is away: who comes from now on is refused, as there
            return
        link.eyes = self._look()
        self.links[link] = None
        try:
            await self.loop.connect_accepted_socket(lambda: link.opener, sock)
        except OSError:
            link.end(hard=True)
            return
        link.flush()

    # Faults

    def reset(self) -> None:
        for link in list(self.links):
            link.broken = True
            link.end(hard=True)

    def half_close(self, towards_target: bool) -> None:
        for link in list(self.links):
            link.half_close(towards_target)

    def close(self) -> None:
        self.shut()
        for task in self._tasks:
            task.cancel()
        for link in list(self.links):
            link.eyes = None
            link.end(hard=True)


class Datagrams(Network):
    """The ways between limiters, under the weather that is between their places."""

    def __init__(self, ways: Ways, places: list[Place], rng: random.Random, delay: float = 0.0005) -> None:
        """`delay` s that each takes in clear weather."""
        super().__init__(len(places), 0, delay)
        self._ways, self._places, self._rng = ways, places, rng

    def waits(self, owner: int, receiver: int) -> list[float]:
        weather = self._ways.weather(self._places[owner], self._places[receiver])
        return [wait + self.delay for wait in datagram(weather, self._rng)]


def listening_tcp() -> set[tuple[str, int]]:
    """Addresses of IPv4 at which something of this machine listens, as the kernel has it: no connection is made."""
    found = set()
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        if fields[3] == "0A":
            host, _, port = fields[1].partition(":")
            found.add((socket.inet_ntoa(struct.pack("=I", int(host, 16))), int(port, 16)))
    return found


def listening_unix() -> set[str]:
    """Paths of Unix sockets at which something listens."""
    found = set()
    for line in Path("/proc/net/unix").read_text().splitlines()[1:]:
        fields = line.split()
        if len(fields) > 7 and int(fields[3], 16) & 0x10000:
            found.add(fields[7])
    return found


class Relays:
    """All relays of a ground. Those whose target went away are opened again once it listens."""

    def __init__(self, ways: Ways) -> None:
        self.ways = ways
        self.all: list[Relay] = []
        self._timer: asyncio.TimerHandle | None = None
        self._closed = False

    def add(self, relay: Relay, at: Address = ("127.0.0.1", 0), listens: bool = True) -> Relay:
        """`listens`: its target does already. A port is taken either way."""
        relay.open(at)
        if not listens:
            relay.shut()
        self.all.append(relay)
        return relay

    def watch(self) -> None:
        if self._closed:
            return
        self._timer = asyncio.get_running_loop().call_later(LOOK, self.watch)
        away = [relay for relay in self.all if not relay.listening]
        if not away:
            return
        tcp: set[tuple[str, int]] = set()
        unix: set[str] = set()
        if any(isinstance(relay.target, tuple) for relay in away):
            tcp = listening_tcp()
        if any(isinstance(relay.target, str) for relay in away):
            unix = listening_unix()
        for relay in away:
            if relay.target in tcp or relay.target in unix:
                with contextlib.suppress(OSError):
                    relay.open()

    def inject(self, kind: str, pairs: list[tuple[str, str]], by: float = 1.0) -> None:
        self.ways.inject(kind, pairs, by)
        self._changed()

    def clear(self, kind: str, pairs: list[tuple[str, str]], by: float = 1.0) -> None:
        self.ways.clear(kind, pairs, by)
        self._changed()

    def _changed(self) -> None:
        for relay in self.all:
            relay.changed()

    def between(self, pairs: list[tuple[str, str]]) -> list[tuple[Relay, bool]]:
        """Those that lie on the way of a pair, each with whether the pair goes its opener's direction."""
        found = []
        for relay in self.all:
            for source, target in pairs:
                if _is(relay.here, source) and _is(relay.there, target):
                    found.append((relay, True))
                elif _is(relay.there, source) and _is(relay.here, target):
                    found.append((relay, False))
        return found

    def close(self) -> None:
        self._closed = True
        if self._timer is not None:
            self._timer.cancel()
        for relay in self.all:
            relay.close()


def _is(place: Place, name: str) -> bool:
    return name == "*" or name in place.names
