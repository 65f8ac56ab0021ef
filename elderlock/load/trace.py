"""Recorded traces as JSON lines or CSV, plain or gzip, read as a stream in constant memory.

JSON lines begin with `{"trace":1}` and hold one request per line. CSV begins with `#trace 1` and a line of column
names. Both have `at` (µs), `account` and `plan`, and may have `class`, `units`, `deadline` (ms), `spread`, `first` and
`outcome`. Every error names its line.
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
MAXIMUM_LINE_BYTES = 1 << 16  # longer lines are skipped without being stored
GZIP_MAGIC = b"\x1f\x8b"
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
    """A trace is faulty.

    Attributes:
        line: Number of the faulty line from 1; 0 if the error concerns the whole trace.
        reason: Kind of the fault, in one word.
    """

    def __init__(self, line: int, reason: str, text: str) -> None:
        super().__init__(f"line {line}: {text}" if line else text)
        self.line, self.reason = line, reason


class Row(msgspec.Struct):
    """One request of a trace.

    Attributes:
        at: Time in µs of the trace's own clock.
        account: Account number in hex.
        plan: Plan of the account.
        class_name: Service class.
        units: Cost of the request.
        deadline: Deadline in ms.
        spread: Number of limiters that serve the account; 0 means all, but three at most.
        first: Number of the first of them.
        outcome: Outcome of the request.
    """

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
    """Yield the lines with their numbers, without their line ends.

    A line that is too long or truncated is replaced by an error. If the file cannot be decompressed any further, an
    error ends it.
    """
    number = 0
    try:
        while line := file.readline(MAXIMUM_LINE_BYTES):
            number += 1
            if line.endswith(b"\n"):
                yield number, line.rstrip(b"\r\n")
                continue
            if len(line) < MAXIMUM_LINE_BYTES:
                yield number, TraceError(number, "cut", "the last line is truncated: it has no line end")
                return
            while (rest := file.readline(MAXIMUM_LINE_BYTES)) and not rest.endswith(b"\n"):
                pass
            yield number, TraceError(number, "long", f"the line is longer than {MAXIMUM_LINE_BYTES} bytes")
    except EOFError:
        yield number + 1, TraceError(number + 1, "cut", "the compressed file is truncated")
    except (zlib.error, gzip.BadGzipFile) as error:
        yield number + 1, TraceError(number + 1, "damaged", f"the compressed file is corrupt: {error}")


def read_rows(numbered: Iterable[tuple[int, bytes | TraceError]]) -> Iterator[tuple[int, Row | TraceError]]:
    """Yield the requests of either format with their line numbers, and an error in place of each faulty line.

    After a header of an unsupported version, all lines are errors up to the next header of a supported one. An empty
    file gives one error.
    """
    form: Literal["json", "csv", ""] = ""
    columns: list[str] = []
    is_supported = True
    last_at = None
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
            is_supported, form = version == VERSION, "csv" if line[:1] == b"#" else "json"
            columns, last_at = [], None
            if not is_supported:
                yield (
                    number,
                    TraceError(number, "version", f"version {version} is not supported, only {VERSION} is"),
                )
            continue
        if not form:
            yield number, TraceError(number, "version", 'no version: a trace begins with {"trace":1} or #trace 1')
            form = "json" if line[:1] == b"{" else "csv"
            continue
        if not is_supported:
            yield number, TraceError(number, "version", "the line follows an unsupported header")
            continue
        if form == "csv" and not columns:
            columns = line.decode("utf-8", "replace").split(",")
            unknown = set(columns) - set(COLUMNS)
            if unknown or not {"at", "account"} <= set(columns):
                what = f"unknown columns {sorted(unknown)}" if unknown else "the columns at and account are required"
                yield number, TraceError(number, "form", what)
                is_supported = False
            continue
        try:
            row = _row.decode(line) if form == "json" else _csv_row(columns, line)
            _check_row(row)
        except (msgspec.DecodeError, ValueError, csv.Error) as error:
            yield number, TraceError(number, "form", str(error))
            continue
        if last_at is not None and row.at < last_at:
            yield number, TraceError(number, "backwards", f"its time is {last_at - row.at} µs before the previous row")
            continue
        last_at = row.at
        yield number, row
    if not any_line:
        yield 0, TraceError(0, "empty", "the trace is empty")


def _version(line: bytes) -> int | None:
    """Return the version if the line is a header, -1 if it is a malformed one, None if it is not a header."""
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
    fields = {name: value for name, value in zip(columns, values, strict=True) if value != ""}
    return msgspec.convert(fields, Row, strict=False)


def _check_row(row: Row) -> None:
    if row.at < 0:
        raise ValueError(f"at is {row.at}, it must not be negative")
    if len(row.account) != 16 or int(row.account, 16) >= ACCOUNTS:
        raise ValueError(f"account {row.account!r} is not a number of 16 hex digits below 2^33")
    if not 0 < row.units <= 1e6 or not 0 < row.deadline <= 600_000 or row.spread < 0 or row.first < 0:
        raise ValueError(
            f"out of range: units {row.units:g}, deadline {row.deadline:g}, spread {row.spread} or first {row.first}"
        )


class TraceReplay:
    """Converts a trace to the arrivals of a replay: a part of it, at a speed, repeated, with renamed accounts.

    Attributes:
        replay: The settings of the replay.
        faults: Number of lines that were skipped or mapped to another plan, by reason.
        first_errors: The first error for each reason.
    """

    def __init__(self, replay: Replay, key: bytes = b"") -> None:
        """Prepare the replay.

        Args:
            replay: The settings of the replay.
            key: Key that renames the accounts, if the settings ask for that.

        Raises:
            TraceError: The key is too short.
        """
        self.replay = replay
        self.faults: Counter[str] = Counter()
        self.first_errors: dict[str, str] = {}
        try:
            self._rename = Renamer(key) if replay.rename_key else None
        except ValueError as error:
            raise TraceError(0, "key", str(error)) from None
        self._default_plan = replay.on_error[4:] if replay.on_error.startswith("map:") else ""

    def _handle_fault(self, error: TraceError) -> None:
        if self.replay.on_error != "skip" and not (self._default_plan and error.reason == "plan"):
            raise error
        self.faults[error.reason] += 1
        self.first_errors.setdefault(error.reason, str(error))

    def arrivals(self, limiters: int) -> Iterator[Arrival]:
        """Yield the arrivals in order of time.

        Args:
            limiters: Number of limiters.

        Raises:
            TraceError: A line is faulty and the settings do not allow to skip it.
            OSError: The file cannot be read.
        """
        replay, offset_us = self.replay, 0
        for _ in range(replay.loops):
            length_us = 0
            for arrival in self._play_once(limiters):
                length_us = arrival.at
                yield arrival._replace(at=arrival.at + offset_us) if offset_us else arrival
            if replay.to_s:
                length_us = round((replay.to_s - replay.from_s) * 1e6 / replay.speed)
            offset_us += length_us + 1

    def _play_once(self, limiters: int) -> Iterator[Arrival]:
        replay = self.replay
        start_us, end_us = replay.from_s * 1e6, replay.to_s * 1e6
        plans = frozenset(replay.plans)
        trace_start_us: int | None = None
        with open_trace(Path(replay.path)) as file:
            for number, row in read_rows(read_lines(file)):
                if isinstance(row, TraceError):
                    self._handle_fault(row)
                    continue
                # A trace's own clock may start at any value.
                trace_start_us = row.at if trace_start_us is None else trace_start_us
                at = row.at - trace_start_us
                if at < start_us:
                    continue
                if end_us and at >= end_us:
                    return
                plan = row.plan
                if not plan or plans and plan not in plans:
                    what = f"plan {plan!r} is not one of {', '.join(sorted(plans))}" if plan else "it has no plan"
                    self._handle_fault(TraceError(number, "plan", f"account {row.account}: {what}"))
                    if not self._default_plan:
                        continue
                    plan = self._default_plan
                account = row.account.lower()
                yield Arrival(
                    round((at - start_us) / replay.speed),
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
    """Open a trace; its first bytes show whether it is compressed.

    Raises:
        OSError: The file cannot be opened.
    """
    file = io.BufferedReader(io.FileIO(path), 1 << 18)
    if file.peek(2)[:2] == GZIP_MAGIC:
        return cast(IO[bytes], gzip.GzipFile(fileobj=file, mode="rb"))
    return cast(IO[bytes], file)


class TraceWriter:
    """Writes a trace; rows must be written in order of time.

    A path with the suffix `.csv` selects CSV, and one that ends in `.gz` is compressed.

    Attributes:
        rows: Number of rows written.
    """

    def __init__(self, path: Path) -> None:
        """Open the file and write the header.

        Raises:
            OSError: The file cannot be written.
        """
        self.rows = 0
        self._file: Any = gzip.open(path, "wb", 5) if path.suffix == ".gz" else path.open("wb", buffering=1 << 18)
        self._is_csv = ".csv" in path.suffixes
        self._encode = msgspec.json.Encoder().encode
        if self._is_csv:
            self._file.write(b"#trace %d\n%b\n" % (VERSION, ",".join(COLUMNS).encode()))
        else:
            self._file.write(b'{"trace":%d}\n' % VERSION)

    def write(self, row: Row) -> None:
        """Write a row.

        Raises:
            OSError: The file cannot be written.
        """
        self.rows += 1
        if self._is_csv:
            text = io.StringIO()
            values = msgspec.to_builtins(row)
            csv.writer(text, lineterminator="\n").writerow([values[name] for name in COLUMNS])
            self._file.write(text.getvalue().encode())
        else:
            self._file.write(self._encode(row) + b"\n")

    def close(self) -> None:
        """Write the buffered rows and close the file.

        Raises:
            OSError: The file cannot be written.
        """
        self._file.close()


def merge_traces(parts: Iterable[Path], target: Path) -> int:
    """Merge traces in order of time, each read as a stream, and return the number of rows.

    Raises:
        OSError: A file cannot be read or written.
    """
    import heapq
    from contextlib import ExitStack

    def valid_rows(file: IO[bytes]) -> Iterator[Row]:
        for _, row in read_rows(read_lines(file)):
            if isinstance(row, Row):
                yield row

    with ExitStack() as stack:
        files = [stack.enter_context(open_trace(part)) for part in parts]
        writer = TraceWriter(target)
        stack.callback(writer.close)
        for row in heapq.merge(*map(valid_rows, files), key=lambda row: row.at):
            writer.write(row)
    return writer.rows
