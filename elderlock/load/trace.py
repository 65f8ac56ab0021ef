"""Recorded traces: JSON lines or CSV, plain or gzip, read as a stream in flat memory.

JSON lines begin with `{"trace":1}` and hold one request a line; CSV begins with `#trace 1` and a line of
column names. Both have `at` (µs), `account` and `plan`, and may have `class`, `units`, `deadline` (ms), `spread`,
`first`, `outcome`. Every complaint names its line.
"""

from __future__ import annotations

import csv
import gzip
import io
import zlib
from collections import Counter
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import IO, Any, Literal, cast

import msgspec

from elderlock.load.accounts import ACCOUNTS
from elderlock.load.rename import Renamer
from elderlock.load.scenario import Replay
from elderlock.load.schedule import Arrival

VERSION = 1
LONGEST_LINE = 1 << 16  # bytes; a longer one is passed over without being kept
GZIP = b"\x1f\x8b"
Column = Literal["at", "account", "plan", "class", "units", "deadline", "spread", "first", "outcome"]
COLUMNS: tuple[Column, ...] = (
    "at",
    "account",
    "plan",
    "class",
    "units",
    "deadline",
    "spread",
    "first",
    "outcome",
)


class TraceError(Exception):
    """The trace cannot be used as it is; `line` counts from 1, `reason` is the kind of fault."""

    def __init__(self, line: int, reason: str, text: str) -> None:
        super().__init__(f"line {line}: {text}" if line else text)
        self.line, self.reason = line, reason


class Row(msgspec.Struct):
    at: int
    account: str
    plan: str = ""
    class_name: str = msgspec.field(name="class", default="lookup")
    units: float = 1.0
    deadline: float = 1200.0
    spread: int = 0
    first: int = 0
    outcome: str = ""


class _Header(msgspec.Struct):
    trace: int


_row = msgspec.json.Decoder(Row, strict=False)
_header = msgspec.json.Decoder(_Header)


def read_lines(file: IO[bytes]) -> Iterator[tuple[int, bytes | TraceError]]:
    """Numbered lines without their ends. One that is too long or cut comes as an error in its place; what
    cannot be unpacked any further ends the file with one."""
    number = 0
    try:
        while line := file.readline(LONGEST_LINE):
            number += 1
            if line.endswith(b"\n"):
                yield number, line.rstrip(b"\r\n")
                continue
            if len(line) < LONGEST_LINE:
                yield number, TraceError(number, "cut", "the last line is cut: it has no end")
                return
            while (rest := file.readline(LONGEST_LINE)) and not rest.endswith(b"\n"):
                pass
            yield number, TraceError(number, "long", f"longer than {LONGEST_LINE} bytes")
    except EOFError:
        yield number + 1, TraceError(number + 1, "cut", "the compressed file is cut")
    except (zlib.error, gzip.BadGzipFile) as error:
        yield number + 1, TraceError(number + 1, "damaged", f"the compressed file is damaged: {error}")


def read_rows(numbered: Iterable[tuple[int, bytes | TraceError]]) -> Iterator[tuple[int, Row | TraceError]]:
    """The requests of either form. Lines behind a header of a version that is not known are faults until one
    that is. An empty file is one fault."""
    form: Literal["json", "csv", ""] = ""
    columns: list[str] = []
    known = True
    last = None
    any_line = False
    for number, line in numbered:
        any_line = True
        if isinstance(line, TraceError):
            yield number, line
            continue
        if not line.strip():
            continue
        version = _version(line)
        if version is not None:
            known, form = version == VERSION, "csv" if line[:1] == b"#" else "json"
            columns, last = [], None
            if not known:
                yield (
                    number,
                    TraceError(number, "version", f"a part of version {version} begins; {VERSION} is read here"),
                )
            continue
        if not form:
            yield number, TraceError(number, "version", 'no version: a trace begins with {"trace":1} or #trace 1')
            form = "json" if line[:1] == b"{" else "csv"
            continue
        if not known:
            yield number, TraceError(number, "version", "it belongs to a part of another version")
            continue
        if form == "csv" and not columns:
            columns = line.decode("utf-8", "replace").split(",")
            unknown = set(columns) - set(COLUMNS)
            if unknown or not {"at", "account"} <= set(columns):
                what = f"columns {sorted(unknown)} are not known" if unknown else "at and account are needed"
                yield number, TraceError(number, "form", what)
                known = False
            continue
        try:
            row = _row.decode(line) if form == "json" else _csv_row(columns, line)
            _checked(row)
        except (msgspec.DecodeError, ValueError, csv.Error) as error:
            yield number, TraceError(number, "form", str(error))
            continue
        if last is not None and row.at < last:
            yield number, TraceError(number, "backwards", f"its time is {last - row.at} µs before the line above's")
            continue
        last = row.at
        yield number, row
    if not any_line:
        yield 0, TraceError(0, "empty", "the trace is empty")


def _version(line: bytes) -> int | None:
    if line.startswith(b"#trace "):
        word = line[7:].strip()
        return int(word) if word.isdigit() and len(word) < 10 else -1
    if line.startswith(b'{"trace"'):
        try:
            return _header.decode(line).trace
        except msgspec.DecodeError:
            return -1
    return None


def _csv_row(columns: list[str], line: bytes) -> Row:
    values = next(csv.reader([line.decode("utf-8")]))
    if len(values) != len(columns):
        raise ValueError(f"{len(values)} values for {len(columns)} columns")
    given = {name: value for name, value in zip(columns, values, strict=True) if value != ""}
    return msgspec.convert(given, Row, strict=False)


def _checked(row: Row) -> None:
    if row.at < 0:
        raise ValueError("its time is below zero")
    if len(row.account) != 16 or int(row.account, 16) >= ACCOUNTS:
        raise ValueError("the account is not 16 hex digits below 2^33")
    if not 0 < row.units <= 1e6 or not 0 < row.deadline <= 600_000 or row.spread < 0 or row.first < 0:
        raise ValueError("units, deadline, spread or first is out of range")


class TraceReplay:
    """A trace as the replay wants it: cut, at a speed, looped, renamed. `faults` counts what was passed over
    or mapped, by reason; `shown` are the first of each, with their lines."""

    def __init__(self, replay: Replay, key: bytes = b"") -> None:
        """Raises `TraceError` for a key that is too short."""
        self.replay = replay
        self.faults: Counter[str] = Counter()
        self.shown: dict[str, str] = {}
        try:
            self._rename = Renamer(key) if replay.rename_key else None
        except ValueError as error:
            raise TraceError(0, "key", str(error)) from None
        self._map = replay.on_error[4:] if replay.on_error.startswith("map:") else ""

    def _fault(self, error: TraceError) -> None:
        if self.replay.on_error != "skip" and not (self._map and error.reason == "plan"):
            raise error
        self.faults[error.reason] += 1
        self.shown.setdefault(error.reason, str(error))

    def arrivals(self, limiters: int) -> Iterator[Arrival]:
        """Raises `TraceError` at the first fault, where the policy is to stop, and `OSError`."""
        replay, offset = self.replay, 0
        for _ in range(replay.loops):
            length = 0
            for arrival in self._once(limiters):
                length = arrival.at
                yield arrival._replace(at=arrival.at + offset) if offset else arrival
            if replay.to_s:
                length = round((replay.to_s - replay.from_s) * 1e6 / replay.speed)
            offset += length + 1

    def _once(self, limiters: int) -> Iterator[Arrival]:
        replay = self.replay
        start, end = replay.from_s * 1e6, replay.to_s * 1e6
        plans = frozenset(replay.plans)
        begin: int | None = None
        with open_trace(Path(replay.path)) as file:
            for number, row in read_rows(read_lines(file)):
                if isinstance(row, TraceError):
                    self._fault(row)
                    continue
                begin = row.at if begin is None else begin  # a trace's own clock may begin anywhere
                at = row.at - begin
                if at < start:
                    continue
                if end and at >= end:
                    return
                plan = row.plan
                if not plan or plans and plan not in plans:
                    what = f"plan {plan!r} is not one of {', '.join(sorted(plans))}" if plan else "it has no plan"
                    self._fault(TraceError(number, "plan", f"account {row.account}: {what}"))
                    if not self._map:
                        continue
                    plan = self._map
                account = row.account.lower()
                yield Arrival(
                    round((at - start) / replay.speed),
                    0,
                    self._rename(account) if self._rename else account,
                    plan,
                    "trace",
                    row.class_name,
                    row.units,
                    row.deadline,
                    min(row.spread or min(3, limiters), limiters),
                    row.first % max(1, limiters),
                    True,
                    0,
                )


def open_trace(path: Path) -> IO[bytes]:
    """Plain or gzip, told by its first bytes. Raises `OSError`."""
    file = io.BufferedReader(io.FileIO(path), 1 << 18)
    if file.peek(2)[:2] == GZIP:
        return cast(IO[bytes], gzip.GzipFile(fileobj=file, mode="rb"))
    return cast(IO[bytes], file)


class TraceWriter:
    """Writes a trace: `.csv` in the name gives CSV, `.gz` packs it. Rows must come in order of time."""

    def __init__(self, path: Path) -> None:
        """Raises `OSError`."""
        self.rows = 0
        self._file: Any = gzip.open(path, "wb", 5) if path.suffix == ".gz" else path.open("wb", buffering=1 << 18)
        self._csv = ".csv" in path.suffixes
        self._encode = msgspec.json.Encoder().encode
        if self._csv:
            self._file.write(b"#trace %d\n%b\n" % (VERSION, ",".join(COLUMNS).encode()))
        else:
            self._file.write(b'{"trace":%d}\n' % VERSION)

    def write(self, row: Row) -> None:
        self.rows += 1
        if self._csv:
            text = io.StringIO()
            values = msgspec.to_builtins(row)
            csv.writer(text, lineterminator="\n").writerow([values[name] for name in COLUMNS])
            self._file.write(text.getvalue().encode())
        else:
            self._file.write(self._encode(row) + b"\n")

    def close(self) -> None:
        self._file.close()


def merge_traces(parts: Iterable[Path], target: Path) -> int:
    """One trace of several, in order of time; each is read as a stream. Returns its rows."""
    import heapq
    from contextlib import ExitStack

    def good(file: IO[bytes]) -> Iterator[Row]:
        for _, row in read_rows(read_lines(file)):
            if isinstance(row, Row):
                yield row

    with ExitStack() as stack:
        files = [stack.enter_context(open_trace(part)) for part in parts]
        writer = TraceWriter(target)
        stack.callback(writer.close)
        for row in heapq.merge(*map(good, files), key=lambda row: row.at):
            writer.write(row)
    return writer.rows
