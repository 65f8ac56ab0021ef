"""Recorded traces: what is wrong in them is told by line, and the operator says what becomes of it."""

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
    LONGEST_LINE,
    Row,
    TraceError,
    TraceReplay,
    TraceWriter,
    merge_traces,
    open_trace,
    read_lines,
    read_rows,
)

HEAD = b'{"trace":1}\n'
A, B = "00000000000000aa", "00000000000000bb"


def line(at: int, account: str = A, plan: str = "shop") -> bytes:
    return b'{"at":%d,"account":"%b","plan":"%b"}\n' % (at, account.encode(), plan.encode())


def write(path: Path, data: bytes) -> Path:
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
        (HEAD + line(5) + line(3) + line(7), [(3, "backwards")]),
        (HEAD + line(5) + line(9)[:-1], [(3, "cut")]),
        (HEAD + line(5) + b'{"at":9,"acc', [(3, "cut")]),
        (HEAD + line(5) + b"x" * 10_000_000 + b"\n" + line(9), [(3, "long")]),
        (HEAD + line(5) + b'{"trace":2}\n' + line(6) + HEAD + line(1), [(3, "version"), (4, "version")]),
        (line(5) + line(6), [(1, "version")]),
        (HEAD + b"nonsense\n" + line(5, "zz") + line(-4) + b'{"at":1}\n', [(n, "form") for n in (2, 3, 4, 5)]),
        (b"#trace 1\nat,account,plan\n5,%b,shop\n6,%b\n" % (A.encode(), A.encode()), [(4, "form")]),
        (b"#trace 1\nat,colour\n5,red\n", [(2, "form"), (3, "version")]),
        (b"#trace 9\nat,account\n", [(1, "version"), (2, "version")]),
    ],
)
def test_each_fault_is_told_by_its_line(data: bytes, expected: list[tuple[int, str]]) -> None:
    assert faults(data) == expected


def test_a_fault_stops_the_replay_unless_it_is_to_be_skipped(tmp_path: Path) -> None:
    path = write(tmp_path / "t.jsonl", HEAD + line(5) + line(3) + line(7))
    with pytest.raises(TraceError, match="line 3: its time is 2 µs before"):
        replayed(path)
    found, source = replayed(path, on_error="skip")
    assert [a.at for a in found] == [0, 2] and source.faults == {"backwards": 1}
    assert source.shown["backwards"].startswith("line 3: ")


def test_accounts_whose_plan_is_not_among_the_current_ones(tmp_path: Path) -> None:
    """Stop, skip and count, or map to a plan, as the operator chooses; other faults are not mapped away."""
    path = write(tmp_path / "t.jsonl", HEAD + line(1) + line(2, B, "gold") + line(3, B, ""))
    with pytest.raises(TraceError, match=rf"line 3: account {B}: plan 'gold' is not one of shop"):
        replayed(path, plans=("shop",))
    found, source = replayed(path, plans=("shop",), on_error="skip")
    assert [a.account for a in found] == [A] and source.faults == {"plan": 2}
    found, source = replayed(path, plans=("shop",), on_error="map:shop")
    assert [(a.account, a.plan) for a in found] == [(A, "shop"), (B, "shop"), (B, "shop")]
    assert source.faults == {"plan": 2}
    broken = write(tmp_path / "b.jsonl", HEAD + line(5) + line(3))
    with pytest.raises(TraceError, match="line 3"):
        replayed(broken, on_error="map:shop")


def test_a_trace_is_cut_sped_up_and_looped(tmp_path: Path) -> None:
    path = write(tmp_path / "t.jsonl", HEAD + b"".join(line(7_000_000 + n * 1_000_000) for n in range(6)))
    assert [a.at for a in replayed(path)[0]] == [n * 1_000_000 for n in range(6)]
    found, _ = replayed(path, from_s=1.0, to_s=4.0, speed=2.0, loops=2)
    assert [a.at for a in found] == [0, 500_000, 1_000_000, 1_500_001, 2_000_001, 2_500_001]


@pytest.mark.parametrize("name", ["t.jsonl", "t.jsonl.gz", "t.csv", "t.csv.gz"])
def test_what_is_written_is_read_again(name: str, tmp_path: Path) -> None:
    made = [Row(n, A, "shop", "lookup", 1.5, 900.0, 2, 1, "served") for n in (0, 4, 4, 9)]
    writer = TraceWriter(tmp_path / name)
    for row in made:
        writer.write(row)
    writer.close()
    with open_trace(tmp_path / name) as file:
        assert [row for _, row in read_rows(read_lines(file))] == made


def test_a_compressed_trace_that_is_cut_or_damaged_says_so(tmp_path: Path) -> None:
    packed = gzip.compress(HEAD + b"".join(line(n) for n in range(20_000)))
    path = write(tmp_path / "cut.gz", packed[: len(packed) // 2])
    with open_trace(path) as file:
        *_, (_, last) = read_rows(read_lines(file))
    assert isinstance(last, TraceError) and last.reason == "cut"
    damaged = bytearray(packed)
    damaged[len(packed) // 2] ^= 255
    with open_trace(write(tmp_path / "bad.gz", bytes(damaged))) as file:
        assert any(isinstance(row, TraceError) for _, row in read_rows(read_lines(file)))


def test_a_trace_of_any_length_takes_the_same_memory() -> None:
    class Endless(io.RawIOBase):
        """Fifty megabytes that are nowhere."""

        def __init__(self, count: int) -> None:
            self._parts = self._made(count)

        @staticmethod
        def _made(count: int) -> Iterator[bytes]:
            yield HEAD
            for number in range(count):
                yield line(number)

        def readable(self) -> bool:
            return True

        def readinto(self, buffer: Any) -> int:
            part = next(self._parts, b"")
            buffer[: len(part)] = part
            return len(part)

    def peak(count: int) -> int:
        tracemalloc.start()
        read = sum(1 for _ in read_rows(read_lines(io.BufferedReader(Endless(count)))))
        _, most = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        assert read == count
        return most

    small, large = peak(2_000), peak(60_000)
    assert large < small + 4 * LONGEST_LINE


def test_parts_are_joined_in_order_of_time(tmp_path: Path) -> None:
    one = write(tmp_path / "1", HEAD + line(1) + line(5))
    two = write(tmp_path / "2", HEAD + line(2) + line(3) + line(9))
    assert merge_traces([one, two], tmp_path / "all.jsonl") == 5
    assert [a.at for a in replayed(tmp_path / "all.jsonl")[0]] == [0, 1, 2, 4, 8]


@given(st.sets(st.integers(0, ACCOUNTS - 1), max_size=50), st.binary(min_size=16, max_size=40))
def test_renaming_keeps_accounts_apart_and_within_the_protocols_numbers(accounts: set[int], key: bytes) -> None:
    renamer = Renamer(key)
    names = {renamer(f"{account:016x}") for account in accounts}
    assert len(names) == len(accounts)
    assert all(len(name) == 16 and int(name, 16) < ACCOUNTS for name in names)
    again = Renamer(key)
    assert names == {again(f"{account:016x}") for account in accounts}


def test_renaming_goes_by_the_key_and_refuses_one_that_could_be_guessed(tmp_path: Path) -> None:
    path = write(tmp_path / "t.jsonl", HEAD + line(1) + line(2, B) + line(3))
    found, _ = replayed(path, rename_key="k")
    first, second, third = (a.account for a in found)
    assert first == third != second and A not in (first, second)
    assert Renamer(b"k" * 16)(A) == first != Renamer(b"j" * 16)(A)
    with pytest.raises(TraceError, match="at least 16 are needed"):
        TraceReplay(Replay(str(path), rename_key="k"), b"short")
