"""A fake shared counter that adds an amount to a named count over RESP2 and returns the total."""

from __future__ import annotations

import asyncio
from enum import Enum

import hiredis

from elderlock.standins.listener import Listener, ListeningPort, reset
from elderlock.standins.servers import MISSING
from elderlock.standins.waiting import unix_ms

MAX_LIFETIME_MS = 60_000.0
MAX_CONNECTIONS = 32  # of one limiter


class Spoil(Enum):
    """How the next answer is corrupted."""

    NOTHING = "nothing"
    NOISE = "noise"  # bytes that are no RESP take its place
    TEXT = "text"  # a bulk string that is not a number takes its place
    DOUBLED = "doubled"  # it is sent twice, and the second copy looks like the answer to the next call
    MERGED = "merged"  # one answer with the digits of two takes its place
    CUT = "cut"  # half of it is sent, then the connection is closed


class Counter(Listener):
    """The counter, which keeps its counts until `lose`.

    Attributes:
        totals: The total of each name and when it expires (Unix ms).
        calls: The number of calls that added an amount.
        refused: The number of connections refused because a limiter had too many.
        busy: Whether all calls are refused.
        spoil: How the next answer is corrupted.
        names: The name of each call that added an amount, in order.
    """

    def __init__(self) -> None:
        super().__init__()
        self.totals: dict[bytes, tuple[float, float]] = {}
        self.calls = self.refused = 0
        self.busy = False
        self.spoil = Spoil.NOTHING
        self.names: list[bytes] = []

    def lose(self) -> None:
        """Deletes all counts."""
        self.totals.clear()

    def snapshot(self) -> dict[bytes, tuple[float, float]]:
        """Returns a copy of all counts."""
        return dict(self.totals)

    def restore(self, snapshot: dict[bytes, tuple[float, float]]) -> None:
        """Replaces all counts by those of a snapshot."""
        self.totals = dict(snapshot)

    async def serve(self, port: ListeningPort, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answers the calls of one connection until the client closes it."""
        parser = hiredis.Reader(notEnoughData=MISSING)
        if len(port.writers) > MAX_CONNECTIONS:
            self.refused += 1
            return reset(writer)
        while data := await reader.read(65536):
            parser.feed(data)
            while (command := parser.gets()) is not MISSING:
                port.write(writer, self._corrupted(self._answer(command), writer))

    def _corrupted(self, answer: bytes, writer: asyncio.StreamWriter) -> bytes:
        spoil, self.spoil = self.spoil, Spoil.NOTHING
        match spoil:
            case Spoil.NOISE:
                return b"\x00!?\r\n"
            case Spoil.TEXT:
                return b"$4\r\nmuch\r\n"
            case Spoil.DOUBLED:
                return answer + answer
            case Spoil.MERGED:
                return b"$30\r\n" + b"9" * 30 + b"\r\n"
            case Spoil.CUT:
                asyncio.get_running_loop().call_soon(writer.close)
                return answer[: len(answer) // 2]
        return answer

    def _answer(self, command: list[bytes]) -> bytes:
        verb = command[0].upper()
        if verb == b"PING":
            return b"+PONG\r\n"
        if verb in (b"CLIENT", b"SELECT"):
            return b"+OK\r\n"
        if verb != b"TALLY" or len(command) != 4 or not 1 <= len(command[1]) <= 64:
            return b"-ERR no such call\r\n"
        if self.busy:
            return b"-BUSY\r\n"
        try:
            amount, lifetime_ms = float(command[2]), min(float(command[3]), MAX_LIFETIME_MS)
        except ValueError:
            return b"-ERR no such call\r\n"
        if not abs(amount) <= 1e9 or not lifetime_ms >= 1.0:
            return b"-ERR no such call\r\n"
        now = unix_ms()
        total, expires_at = self.totals.get(command[1], (0.0, 0.0))
        if now >= expires_at:
            total, expires_at = 0.0, now + lifetime_ms
        self.totals[command[1]] = (total + amount, expires_at)
        self.calls += 1
        self.names.append(command[1])
        text = b"%.7g" % (total + amount)
        return b"$%d\r\n%b\r\n" % (len(text), text)
