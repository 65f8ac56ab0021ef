"""What limiters share as operators see it, on real processes with faults between them: a server that falls silent while
datagrams are lost, while a zone hears nothing, while one says and never hears, while one sleeps, while all restart."""

from __future__ import annotations

import asyncio
import json
import signal
import sys
import time
from collections.abc import Callable
from typing import Any

import pytest

from elderlock.cli import tables
from elderlock.control.records import Record
from elderlock.fleet import messages as f
from elderlock.fleet.client.answers import Missing
from elderlock.fleet.client.drain_commands import observe_group
from elderlock.fleet.client.explanation import Explanation, explain, summarize_evidence
from elderlock.fleet.client.group_client import Group
from elderlock.fleet.client.observation import GroupObservation, observe
from elderlock.gossip.health_evidence import EJECTION_WEIGHT, FRESH_MS
from elderlock.sim.scenario import Fault, Settings
from elderlock.standins.limiters import box, state
from elderlock.standins.waiting import run
from elderlock.trial.faults import TrialFaults
from elderlock.trial.ground import Ground
from elderlock.trial.standing import judged, standing

LIMITERS, BOX, FOREVER = 6, "s-00", 600.0
SILENT = Fault(0.0, "silent", "box:0", FOREVER)


def harness_of_six(**changes: Any) -> Any:
    return standing(0.7, limiters=LIMITERS, agents=2, settings=Settings(shared=True), **changes)


def group_of(ground: Ground) -> Group:
    return Group.read(ground.direct_path)


async def until_seen(group: Group, holds: Callable[[GroupObservation], bool]) -> GroupObservation:
    while not holds(seen := await observe_group(group, accounts=0)):
        await asyncio.sleep(0.1)
    return seen


def of(seen: GroupObservation) -> Explanation:
    return explain(seen, BOX, time.time() * 1000.0)


def ejecting_limiters(seen: GroupObservation) -> list[str]:
    """Return the limiters that eject the server."""
    return [word.limiter for word in of(seen).statements if word.health is not None and word.health.ejected_ms >= 0.0]


async def command(ground: Ground, *words: str) -> tuple[int, Any, str]:
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "elderlock.cli.main",
        *words,
        "--group",
        str(ground.direct_path),
        "--token-file",
        str(ground.token_path("an")),
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )
    out, err = await process.communicate()
    return process.returncode or 0, json.loads(out) if "--json" in words and out else out.decode(), err.decode()


def test_operators_see_which_limiters_eject_a_server_and_by_whose_failures() -> None:
    async def test() -> None:
        async with harness_of_six() as ground:
            faults, group = TrialFaults(ground), group_of(ground)
            ground.ask()
            faults.begin(0, SILENT)
            await until_seen(
                group, lambda seen: any(len(w.health.ejected_by) > 1 for w in of(seen).statements if w.health)
            )
            while True:
                exit, told, _ = await command(ground, "explain", "box", BOX, "--json")
                out = [word for word in told["words"] if word["health"] and word["health"]["left_out_ms"] >= 0.0]
                if out:
                    break
            assert exit == 0 and told["used_by"] <= LIMITERS - len(out) and told["silent"] == []
            assert all("failures in a row" in word["why"] and word["since_ms"] >= 0.0 for word in out)
            while True:
                _, shared, _ = await command(ground, "show", "shared", "--json")
                if any(box["box"] == BOX and box["failed"] for box in shared["boxes"]):
                    break
            assert set(shared["limiters"]) == {f"n{n}" for n in range(LIMITERS)} and shared["shares_nothing"] == []
            assert all(each["counts_ms"] == FRESH_MS for each in shared["limiters"].values())
            assert sum(each["told"] for each in shared["limiters"].values()) > 0
            _, text, _ = await command(ground, "explain", "box", BOX)
            assert text.splitlines()[0].endswith(f"of {LIMITERS} limiters") and "FAILED AT (AGO)" in text
            _, text, _ = await command(ground, "show", "shared")
            assert "FAILURES WEIGH" in text and BOX in text
            exit, _, said = await command(ground, "explain", "box", "s-99")
            assert exit == 4 and f"box s-99 is not known to {LIMITERS} limiters" in said

            ground.signal("n5", signal.SIGSTOP, "it was stopped")
            await until_seen(group, lambda seen: "n5" in of(seen).silent)
            exit, told, _ = await command(ground, "explain", "box", BOX, "--json")
            assert exit == 3 and told["silent"] == ["n5"] and len(told["words"]) == LIMITERS - 1
            ground.signal("n5", signal.SIGCONT, "")
            group.close()

    run(test(), within=120.0)


def test_without_sharing_the_status_says_so_and_servers_are_still_explained() -> None:
    boxes = [box("s-0"), box("s-1", unavailable_reason="drained by an", drained_by="an", generation=7)]
    drained = Record("box", "s-1", True, 7, "o", "an", 1000.0, "fan is loud")
    status = [
        f.LimiterStatus(name, "running", 1, False, 0, -1.0, "answering", "", 10.0, state(name, each))
        for name, each in (("n0", boxes), ("n1", boxes[:1]))
    ]
    seen = observe(
        {
            "agent-0": f.Shown(1, "agent-0", "1", 1, 1.0, "", tuple(status), (drained,), ()),
            "agent-1": Missing("agent-1", "no answer in 1 s", True),
        }
    )
    assert tables.shared(seen, False)[0].startswith("no limiter that answers shares evidence")
    plain = explain(seen, "s-0", 5000.0)
    assert [word.is_used for word in plain.statements] == [True, True] and plain.silent == ("agent agent-1",)
    out = explain(seen, "s-1", 5000.0)
    assert out.statements[0].since_ms == 4000.0 and not out.statements[0].is_used and not out.statements[1].is_listed
    lines = tables.explained(out, False)
    assert lines[:2] == [
        "s-1 (floor-2, std-2c, weight 2) is used by 0 of 2 limiters",
        "drained by an, generation 7: fan is loud",
    ]
    assert "1 of 2: its list does not name the box" in lines and lines[-1] == "says nothing: agent agent-1"
    assert not explain(seen, "s-9", 5000.0).is_known


def cut(whence: list[int], whither: list[int]) -> list[Fault]:
    return [Fault(0.0, "cut", f"way:limiter:{a}>limiter:{b}", FOREVER) for a in whence for b in whither if a != b]


ZONE = [0, 3]  # limiters of the first of three floors
OTHERS = [n for n in range(LIMITERS) if n not in ZONE]
LINK_FAULTS: dict[str, list[Fault]] = {
    "datagrams are lost, late, repeated and out of order, and one sleeps and wakes": [
        Fault(0.0, "loss", "peers", FOREVER, 0.5),
        Fault(0.0, "reorder", "peers", FOREVER),
        Fault(0.0, "duplicate", "peers", FOREVER, 0.5),
        Fault(0.0, "pause", "limiter:1", 3.0),
    ],
    "a zone hears nothing and is not heard": cut(ZONE, OTHERS) + cut(OTHERS, ZONE),
    "all limiters restart, and one is heard and hears nobody": [
        *cut(list(range(1, LIMITERS)), [0]),
        *[Fault(0.0, "kill", f"limiter:{n}") for n in range(LIMITERS)],
    ],
}


@pytest.mark.parametrize("link_faults", LINK_FAULTS.values(), ids=LINK_FAULTS)
def test_a_silent_server_is_ejected_and_reinstated_under_each_link_fault(link_faults: list[Fault]) -> None:
    """Some eject it, evidence counts against no other server, all use it again once it answers, and no invariant is
    broken."""

    async def test() -> None:
        async with harness_of_six() as ground:
            faults, group = TrialFaults(ground), group_of(ground)
            ground.ask()
            for number, fault in enumerate(link_faults):
                faults.begin(number, fault)
            mend = faults.silence(ground.listing.boxes[BOX].uid)
            good: list[float] = []

            def found(seen: GroupObservation) -> bool:
                good.extend(entry.weighed for entry in summarize_evidence(seen.states()) if entry.server != BOX)
                return len(ejecting_limiters(seen)) >= 2

            await until_seen(group, found)
            assert all(weighed < EJECTION_WEIGHT for weighed in good)
            mend()
            back = await until_seen(
                group, lambda seen: [word.is_used for word in of(seen).statements] == [True] * LIMITERS
            )
            assert ejecting_limiters(back) == []
            assert judged(ground).broken == []
            group.close()

    run(test(), within=120.0)
