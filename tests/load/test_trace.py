"""Recorded traces: each fault is reported with its line, and the replay's settings decide how it is handled."""

from __future__ import annotations

import gzip
import io
import tracemalloc
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from elderlock.load.accounts import ACCOUNTS
from elderlock.load.rename import Renamer
from elderlock.load.scenario import Replay
from elderlock.load.schedule import Arrival
from elderlock.load.trace import (
    MAXIMUM_LINE_BYTES,
    Row,
    TraceError,
    TraceReplay,
    TraceWriter,
    merge_traces,
    open_trace,
    read_lines,
    read_rows,
)

HEADER = b'{"trace":1}\n'
A, B = "00000000000000aa", "00000000000000bb"


def line(at: int, account: str = A, plan: str = "shop") -> bytes:
    return b'{"at":%d,"account":"%b","plan":"%b"}\n' % (at, account.encode(), plan.encode())


def write_file(path: Path, data: bytes) -> Path:
    path.write_bytes(data)
    return path


def replayed(path: Path, **changes: Any) -> tuple[list[Arrival], TraceReplay]:
    source = TraceReplay(Replay(str(path), **changes), b"k" * 16)
    return list(source.arrivals(3)), source


def faults(data: bytes) -> list[tuple[int, str]]:
    return [(n, row.reason) for n, row in read_rows(read_lines(io.BytesIO(data))) if isinstance(row, TraceError)]


@pytest.mark.parametrize(
    ("data", "expected"),
    [
        (b"", [(0, "empty")]),
        (HEADER + line(5) + line(3) + line(7), [(3, "backwards")]),
        (HEADER + line(5) + line(9)[:-1], [(3, "cut")]),
        (HEADER + line(5) + b'{"at":9,"acc', [(3, "cut")]),
        (HEADER + line(5) + b"x" * 10_000_000 + b"\n" + line(9), [(3, "long")]),
        (HEADER + line(5) + b'{"trace":2}\n' + line(6) + HEADER + line(1), [(3, "version"), (4, "version")]),
        (line(5) + line(6), [(1, "version")]),
        (HEADER + b"nonsense\n" + line(5, "zz") + line(-4) + b'{"at":1}\n', [(n, "form") for n in (2, 3, 4, 5)]),
        (b"#trace 1\nat,account,plan\n5,%b,shop\n6,%b\n" % (A.encode(), A.encode()), [(4, "form")]),
        (b"#trace 1\nat,colour\n5,red\n", [(2, "form"), (3, "version")]),
        (b"#trace 9\nat,account\n", [(1, "version"), (2, "version")]),
    ],
)
def test_each_fault_is_reported_with_its_line(data: bytes, expected: list[tuple[int, str]]) -> None:
    assert faults(data) == expected


def test_a_fault_stops_the_replay_unless_faults_are_skipped(tmp_path: Path) -> None:
    path = write_file(tmp_path / "t.jsonl", HEADER + line(5) + line(3) + line(7))
    with pytest.raises(TraceError, match="line 3: its time is 2 µs before the previous row"):
        replayed(path)
    found, source = replayed(path, on_error="skip")
    assert [a.at for a in found] == [0, 2] and source.faults == {"backwards": 1}
    assert source.first_errors["backwards"].startswith("line 3: ")


def test_requests_of_an_unknown_plan_stop_the_replay_or_are_skipped_or_mapped(tmp_path: Path) -> None:
    """Only unknown plans are mapped; other faults still stop the replay."""
    path = write_file(tmp_path / "t.jsonl", HEADER + line(1) + line(2, B, "gold") + line(3, B, ""))
    with pytest.raises(TraceError, match=rf"line 3: account {B}: plan 'gold' is not one of shop"):
        replayed(path, plans=("shop",))
    found, source = replayed(path, plans=("shop",), on_error="skip")
    assert [a.account for a in found] == [A] and source.faults == {"plan": 2}
    found, source = replayed(path, plans=("shop",), on_error="map:shop")
    assert [(a.account, a.plan) for a in found] == [(A, "shop"), (B, "shop"), (B, "shop")]
    assert source.faults == {"plan": 2}
    broken = write_file(tmp_path / "b.jsonl", HEADER + line(5) + line(3))
    with pytest.raises(TraceError, match="line 3"):
        replayed(broken, on_error="map:shop")


def test_a_replay_plays_a_part_of_a_trace_faster_and_repeatedly(tmp_path: Path) -> None:
    path = write_file(tmp_path / "t.jsonl", HEADER + b"".join(line(7_000_000 + n * 1_000_000) for n in range(6)))
    assert [a.at for a in replayed(path)[0]] == [n * 1_000_000 for n in range(6)]
    found, _ = replayed(path, from_s=1.0, to_s=4.0, speed=2.0, loops=2)
    assert [a.at for a in found] == [0, 500_000, 1_000_000, 1_500_001, 2_000_001, 2_500_001]


@pytest.mark.parametrize("name", ["t.jsonl", "t.jsonl.gz", "t.csv", "t.csv.gz"])
def test_a_written_trace_is_read_back_unchanged(name: str, tmp_path: Path) -> None:
    written = [Row(n, A, "shop", "lookup", 1.5, 900.0, 2, 1, "served") for n in (0, 4, 4, 9)]
    writer = TraceWriter(tmp_path / name)
    for row in written:
        writer.write(row)
    writer.close()
    with open_trace(tmp_path / name) as file:
        assert [row for _, row in read_rows(read_lines(file))] == written


def test_a_truncated_or_corrupt_compressed_trace_is_reported(tmp_path: Path) -> None:
    compressed = gzip.compress(HEADER + b"".join(line(n) for n in range(20_000)))
    path = write_file(tmp_path / "cut.gz", compressed[: len(compressed) // 2])
    with open_trace(path) as file:
        *_, (_, last) = read_rows(read_lines(file))
    assert isinstance(last, TraceError) and last.reason == "cut"
    corrupt = bytearray(compressed)
    corrupt[len(compressed) // 2] ^= 255
    with open_trace(write_file(tmp_path / "bad.gz", bytes(corrupt))) as file:
        assert any(isinstance(row, TraceError) for _, row in read_rows(read_lines(file)))


def test_reading_a_trace_takes_constant_memory() -> None:
    class GeneratedTrace(io.RawIOBase):
        """A trace of up to several megabytes, generated while it is read."""

        def __init__(self, count: int) -> None:
            self._parts = self._generate(count)

        @staticmethod
        def _generate(count: int) -> Iterator[bytes]:
            yield HEADER
            for number in range(count):
                yield line(number)

        def readable(self) -> bool:
            return True

        def readinto(self, buffer: Any) -> int:
            part = next(self._parts, b"")
            buffer[: len(part)] = part
            return len(part)

    def peak_memory(count: int) -> int:
        tracemalloc.start()
        rows_read = sum(1 for _ in read_rows(read_lines(io.BufferedReader(GeneratedTrace(count)))))
        _, peak = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        assert rows_read == count
        return peak

    small, large = peak_memory(2_000), peak_memory(60_000)
    assert large < small + 4 * MAXIMUM_LINE_BYTES


def test_parts_of_a_trace_are_merged_in_order_of_time(tmp_path: Path) -> None:
    one = write_file(tmp_path / "1", HEADER + line(1) + line(5))
    two = write_file(tmp_path / "2", HEADER + line(2) + line(3) + line(9))
    assert merge_traces([one, two], tmp_path / "all.jsonl") == 5
    assert [a.at for a in replayed(tmp_path / "all.jsonl")[0]] == [0, 1, 2, 4, 8]


@given(st.sets(st.integers(0, ACCOUNTS - 1), max_size=50), st.binary(min_size=16, max_size=40))
def test_renaming_keeps_accounts_distinct_and_valid(accounts: set[int], key: bytes) -> None:
    renamer = Renamer(key)
    names = {renamer(f"{account:016x}") for account in accounts}
    assert len(names) == len(accounts)
    assert all(len(name) == 16 and int(name, 16) < ACCOUNTS for name in names)
    same_renamer = Renamer(key)
    assert names == {same_renamer(f"{account:016x}") for account in accounts}


def test_renaming_depends_on_the_key_and_rejects_a_short_key(tmp_path: Path) -> None:
    path = write_file(tmp_path / "t.jsonl", HEADER + line(1) + line(2, B) + line(3))
    found, _ = replayed(path, rename_key="k")
    first, second, third = (a.account for a in found)
    assert first == third != second and A not in (first, second)
    assert Renamer(b"k" * 16)(A) == first != Renamer(b"j" * 16)(A)
    with pytest.raises(TraceError, match="at least 16 are needed"):
        TraceReplay(Replay(str(path), rename_key="k"), b"short")
