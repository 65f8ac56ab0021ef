"""Limiter processes on loopback that share evidence and ceilings."""

import asyncio
import json
import os
import sys
import time
from pathlib import Path

import pytest
from sharing import GOOD_SERVERS, PROCESSES, Fleet

from elderlock.decisions.outlier_detection import FAILURES_BEFORE_EJECTION
from elderlock.gossip.evidence_limiter import EvidenceLimiter
from elderlock.gossip.health_evidence import EJECTION_WEIGHT
from elderlock.interface import PeerMessage
from elderlock.settings_reader import read_settings
from elderlock.spawning import spawn
from elderlock.standins.settings import default_settings, raw_config
from elderlock.standins.waiting import run, until
from elderlock.standins.world import ROOT

WITNESSES = int(EJECTION_WEIGHT) + 2  # more than needed, as a datagram may be lost


async def fail_attempts(fleet: Fleet, count: int) -> None:
    """Let the bad server break one attempt of each of the first `count` limiters.

    Each limiter gets one request for each server at once. No server answers yet, so one request goes to each of them.
    """
    witnesses = range(count)
    for number in witnesses:
        for _ in range(GOOD_SERVERS + 1):
            fleet.read(number)
    # with sharing, the last of them may learn of the failures before it sends its own request
    minimum = EJECTION_WEIGHT if "true" in fleet.shared else count
    await until(lambda: sum(map(bool, map(fleet.bad.count_from, witnesses))) >= minimum)
    fleet.release.set()
    for number in witnesses:
        for _ in range(GOOD_SERVERS + 1):
            assert await fleet.clients[number].answer() == b"value"  # broken attempts are retried at another server


def test_failures_at_some_processes_eject_the_server_at_the_others(tmp_path: Path) -> None:
    async def test() -> None:
        fleet = Fleet(tmp_path, "evidence = true")
        await fleet.open()
        try:
            await fail_attempts(fleet, WITNESSES)
            others = range(WITNESSES, PROCESSES)
            await until(lambda: all(map(fleet.has_ejected_bad_server, others)))
            assert not any(map(fleet.bad.count_from, others))  # none of them has sent it a request
            for number in others:
                for _ in range(10):
                    assert await fleet.ask(number) == b"value"
            # without sharing, each would need this many failures of its own
            assert all(fleet.bad.count_from(number) < FAILURES_BEFORE_EJECTION for number in others)
        finally:
            await fleet.close()

    run(test(), within=90.0)


def test_sharing_is_off_by_default_and_refused_without_datagrams_between_limiters(tmp_path: Path) -> None:
    async def test() -> None:
        fleet = Fleet(tmp_path, "evidence = false")
        await fleet.open()
        try:
            await fail_attempts(fleet, PROCESSES)  # each process sees one failure of its own
            assert not any(map(fleet.has_ejected_bad_server, range(PROCESSES)))
        finally:
            await fleet.close()
        raw = raw_config(fleet.listens[0], "127.0.0.1:1")
        (tmp_path / "lone.json").write_text(json.dumps(raw))
        for name in ("evidence", "ceilings"):
            (tmp_path / "operators.toml").write_text(f"[shared]\n{name} = true\n")
            process = await spawn(
                sys.executable,
                "-B",
                "-m",
                "elderlock",
                cwd=ROOT,
                stderr=asyncio.subprocess.PIPE,
                env={
                    **os.environ,
                    "PROXY_CONFIG": str(tmp_path / "lone.json"),
                    "ELDERLOCK_OPERATORS": str(tmp_path / "operators.toml"),
                },
            )
            _, stderr = await process.communicate()
            assert process.returncode == 2 and stderr.count(b"\n") == 1 and b"do not let limiters talk" in stderr

    run(test(), within=90.0)


RATE_PER_S, BURST_UNITS, SLACK_UNITS, LIMITERS = 30.0, 30.0, 3.0, 3
PLAN_WITH_CEILING = {
    "name": "team",
    "quota-rate": 1e5,
    "burst": 1e5,
    "hard-rate": RATE_PER_S,
    "never-over-depth": BURST_UNITS,
    "hard-slack": SLACK_UNITS,
}


@pytest.mark.parametrize("evidence", ["false", "true"])
def test_the_busy_one_of_three_processes_receives_the_others_parts_of_a_ceiling(evidence: str, tmp_path: Path) -> None:
    """One process serves requests until it has forwarded far more than its even part, but never more than the ceiling."""

    async def test() -> None:
        fleet = Fleet(tmp_path, f"evidence = {evidence}\nceilings = true", LIMITERS, PLAN_WITH_CEILING)
        fleet.release.set()
        start = time.monotonic()
        await fleet.open()
        try:
            forwarded = 0.0
            while True:
                answer = await fleet.ask(0, spread=LIMITERS)
                elapsed_s = (
                    time.monotonic() - start
                )  # from before the processes started: an upper bound of the refill time
                forwarded += answer == b"value"
                ceiling_units = BURST_UNITS + SLACK_UNITS + RATE_PER_S * elapsed_s
                assert forwarded <= ceiling_units
                if forwarded > 2.0 * ceiling_units / LIMITERS + 1.0:
                    break
                if answer != b"value":
                    await asyncio.sleep(0.01)  # a refused client waits before it retries
        finally:
            await fleet.close()

    run(test(), within=90.0)


@pytest.mark.parametrize(
    "data", [b"", b"\x5e", b"\x5e\x01" + bytes(300), b"\x5e\x09" + bytes(13), b"\x5e\x01" + bytes(13)]
)
def test_random_bytes_in_an_evidence_datagram_change_nothing(data: bytes) -> None:
    """The datagrams come from a peer's address; datagrams from other addresses are never accepted."""
    settings = read_settings({**default_settings(peers=True), "peers-total": PROCESSES})
    limiter = EvidenceLimiter(settings, 1, 0.0)
    limiter.start(0.0)
    for now_ms in range(1000):
        assert limiter.handle(PeerMessage(1, data), float(now_ms)) == []
    assert limiter.refused_datagrams == (1000 if data else 0) and len(limiter.evidence) == 0
