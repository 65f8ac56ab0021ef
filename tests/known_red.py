"""Tests that are known to fail because of an open bug, as listed in `KNOWN-RED.txt` at the root of the repository.

A line is `test | cause | issue`. A listed test runs as a strict expected failure, so a test that passes again has to be
removed from the list. More than three lines, an unknown test or a malformed line fails the run. A missing file counts
as an empty list."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

import pytest

MAXIMUM_LINES = 3


@dataclass(frozen=True, slots=True)
class KnownFailure:
    test: str
    cause: str
    issue: str


def read_known_failures(path: Path) -> list[KnownFailure]:
    """Read the list; raise `pytest.UsageError` if it is invalid."""
    if not path.exists():
        return []
    lines = [line for line in path.read_text(encoding="utf-8").splitlines() if line.strip()]
    if len(lines) > MAXIMUM_LINES:
        raise pytest.UsageError(f"{path.name} has {len(lines)} lines, {MAXIMUM_LINES} at most are allowed")
    known_failures = []
    for line in lines:
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not all(parts):
            raise pytest.UsageError(f"{path.name}: {line!r} is not 'test | cause | issue'")
        known_failures.append(KnownFailure(*parts))
    return known_failures


def mark_known_failures(
    items: list[pytest.Item], known_failures: list[KnownFailure], all_tests_collected: bool
) -> None:
    """Mark the listed tests as strict expected failures.

    If all tests are collected, raise `pytest.UsageError` for a listed test that does not exist.
    """
    by_name = {item.nodeid: item for item in items}
    for failure in known_failures:
        if failure.test in by_name:
            by_name[failure.test].add_marker(
                pytest.mark.xfail(strict=True, reason=f"{failure.cause} ({failure.issue})")
            )
        elif all_tests_collected:
            raise pytest.UsageError(f"KNOWN-RED.txt names {failure.test}, which is not a test")
