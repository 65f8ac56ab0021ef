"""Eight processes of the program on loopback that share evidence: what some saw of a server keeps the others off it."""

import asyncio
import json
import os
import sys
import time
from pathlib import Path

import pytest
from sharing import PROCESSES, WARM, Fleet

from elderlock.decisions.outlier_detection import FAILURES_BEFORE_EJECTION
from elderlock.gossip.evidence_limiter import EvidenceLimiter
from elderlock.gossip.health_evidence import EJECTION_WEIGHT
from elderlock.interface import PeerMessage
from elderlock.settings_reader import read_settings
from elderlock.spawning import spawn
from elderlock.standins.settings import facts, raw_config
from elderlock.standins.waiting import run, until
from elderlock.standins.world import ROOT

WITNESSES = int(EJECTION_WEIGHT) + 2  # some to spare, as a datagram may be lost


async def witnessed(fleet: Fleet, count: int) -> None:
    """The first `count` have attempts broken off by the bad server, all in one moment: each asks as much at once as there
    are servers, and as none answers yet one request goes to each."""
    witnesses = range(count)
    for number in witnesses:
        for _ in range(WARM + 1):
            fleet.read(number)
    # where they share, the last of them may hear of it before its own request is out
    least = EJECTION_WEIGHT if "true" in fleet.shared else count
    await until(lambda: sum(map(bool, map(fleet.bad.of, witnesses))) >= least)
    fleet.release.set()
    for number in witnesses:
        for _ in range(WARM + 1):
            assert await fleet.clients[number].answer() == b"value"  # what was broken off went on to another server


def test_failures_at_some_processes_eject_the_server_at_the_others(tmp_path: Path) -> None:
    async def test() -> None:
        fleet = Fleet(tmp_path, "evidence = true")
        await fleet.open()
        try:
            await witnessed(fleet, WITNESSES)
            others = range(WITNESSES, PROCESSES)
            await until(lambda: all(map(fleet.has_ejected_bad_server, others)))  # none of them has sent it anything
            assert not any(map(fleet.bad.of, others))
            for number in others:
                for _ in range(10):
                    assert await fleet.ask(number) == b"value"
            # alone, each would have found out by as many failures of its own
            assert all(fleet.bad.of(number) < FAILURES_BEFORE_EJECTION for number in others)
        finally:
            await fleet.close()

    run(test(), within=90.0)


def test_sharing_is_off_by_default_and_refused_without_datagrams_between_limiters(tmp_path: Path) -> None:
    async def test() -> None:
        fleet = Fleet(tmp_path, "evidence = false")
        await fleet.open()
        try:
            await witnessed(fleet, PROCESSES)  # each finds out by itself
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
            _, said = await process.communicate()
            assert process.returncode == 2 and said.count(b"\n") == 1 and b"do not let limiters talk" in said

    run(test(), within=90.0)


RATE, BURST, SLACK, SPLIT = 30.0, 30.0, 3.0, 3
CEILED = {
    "name": "team",
    "quota-rate": 1e5,
    "burst": 1e5,
    "hard-rate": RATE,
    "never-over-depth": BURST,
    "hard-slack": SLACK,
}


@pytest.mark.parametrize("evidence", ["false", "true"])
def test_of_three_processes_the_busy_one_is_given_the_others_parts_of_a_ceiling(evidence: str, tmp_path: Path) -> None:
    """Asked without a pause till it has sent on far more than its even part can have filled meanwhile; all the while no more
    than the whole ceiling allows."""

    async def test() -> None:
        fleet = Fleet(tmp_path, f"evidence = {evidence}\nceilings = true", SPLIT, CEILED)
        fleet.release.set()
        began = time.monotonic()
        await fleet.open()
        try:
            passed = 0.0
            while True:
                answer = await fleet.ask(0, spread=SPLIT)
                elapsed = time.monotonic() - began  # from before the first began: what each part has filled at most
                passed += answer == b"value"
                assert passed <= BURST + SLACK + RATE * elapsed
                if passed > 2.0 * (BURST + SLACK + RATE * elapsed) / SPLIT + 1.0:
                    break
                if answer != b"value":
                    await asyncio.sleep(0.01)  # as a client that is refused would
        finally:
            await fleet.close()

    run(test(), within=90.0)


@pytest.mark.parametrize(
    "data", [b"", b"\x5e", b"\x5e\x01" + bytes(300), b"\x5e\x09" + bytes(13), b"\x5e\x01" + bytes(13)]
)
def test_random_bytes_in_an_evidence_datagram_change_nothing(data: bytes) -> None:
    """From a peer's own address: a stranger's datagrams are not taken at all."""
    settings = read_settings({**facts(peers=True), "peers-total": PROCESSES})
    limiter = EvidenceLimiter(settings, 1, 0.0)
    limiter.start(0.0)
    for at in range(1000):
        assert limiter.handle(PeerMessage(1, data), float(at)) == []
    assert limiter.refused_datagrams == (1000 if data else 0) and len(limiter.evidence) == 0
