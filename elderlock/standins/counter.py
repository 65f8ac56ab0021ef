"""The counter: adds an amount to a named count over RESP2 and gives the total back."""

from __future__ import annotations

import asyncio
from enum import Enum

import hiredis

from elderlock.standins.listener import Door, Listener, reset
from elderlock.standins.servers import MISSING
from elderlock.standins.waiting import unix_ms

LONGEST_LIFE = 60_000.0  # ms
MOST_CONNECTIONS = 32  # of one limiter


class Spoil(Enum):
    """What becomes of the next answer."""

    NOTHING = "nothing"
    NOISE = "noise"  # in its place
    TEXT = "text"  # a bulk string that is no number
    DOUBLED = "doubled"  # it comes twice: the one behind it looks like the next call's
    MERGED = "merged"  # one answer with the digits of two
    CUT = "cut"  # half of it, and the connection ends


class Counter(Listener):
    """Keeps its counts until `lose`; `calls` counts what was added, `names` what was called."""

    def __init__(self) -> None:
        super().__init__()
        self.totals: dict[bytes, tuple[float, float]] = {}  # total, and when its name ends (Unix ms)
        self.calls = self.refused = 0
        self.busy = False  # turns all calls away
        self.spoil = Spoil.NOTHING
        self.names: list[bytes] = []

    def lose(self) -> None:
        """Comes back empty."""
        self.totals.clear()

    def snapshot(self) -> dict[bytes, tuple[float, float]]:
        return dict(self.totals)

    def restore(self, kept: dict[bytes, tuple[float, float]]) -> None:
        """What it held then, and nothing since."""
        self.totals = dict(kept)

    async def serve(self, door: Door, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        parser = hiredis.Reader(notEnoughData=MISSING)
        if len(door.writers) > MOST_CONNECTIONS:
            self.refused += 1
            return reset(writer)
        while data := await reader.read(65536):
            parser.feed(data)
            while (command := parser.gets()) is not MISSING:
                door.write(writer, self._spoilt(self._answer(command), writer))

    def _spoilt(self, answer: bytes, writer: asyncio.StreamWriter) -> bytes:
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
            amount, life = float(command[2]), min(float(command[3]), LONGEST_LIFE)
        except ValueError:
            return b"-ERR no such call\r\n"
        if not abs(amount) <= 1e9 or not life >= 1.0:
            return b"-ERR no such call\r\n"
        now = unix_ms()
        total, ends = self.totals.get(command[1], (0.0, 0.0))
        if now >= ends:
            total, ends = 0.0, now + life
        self.totals[command[1]] = (total + amount, ends)
        self.calls += 1
        self.names.append(command[1])
        text = b"%.7g" % (total + amount)
        return b"$%d\r\n%b\r\n" % (len(text), text)
