"""The status of shared evidence that operators see, on real processes with link faults while one server is silent."""

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
from elderlock.fleet import messages
from elderlock.fleet.client.answers import Missing
from elderlock.fleet.client.commands import observe_group
from elderlock.fleet.client.explanation import Explanation, explain, summarize_evidence
from elderlock.fleet.client.group_client import Group
from elderlock.fleet.client.observation import GroupObservation, observe
from elderlock.gossip.health_evidence import EJECTION_WEIGHT, FRESH_MS
from elderlock.sim.scenario import Fault, Settings
from elderlock.standins.limiters import limiter_state, server_status
from elderlock.standins.waiting import run
from elderlock.trial.faults import TrialFaults
from elderlock.trial.harness import Harness
from elderlock.trial.running_harness import check_invariants, running_harness

LIMITERS, BOX, FOREVER = 6, "s-00", 600.0
SILENT = Fault(0.0, "silent", "box:0", FOREVER)


def harness_of_six(**changes: Any) -> Any:
    return running_harness(0.7, limiters=LIMITERS, agents=2, settings=Settings(shared=True), **changes)


def group_of(ground: Harness) -> Group:
    return Group.read(ground.direct_group_path)


async def wait_for(group: Group, condition: Callable[[GroupObservation], bool]) -> GroupObservation:
    while not condition(observed := await observe_group(group, accounts=0)):
        await asyncio.sleep(0.1)
    return observed


def explain_server(observed: GroupObservation) -> Explanation:
    """Explain which limiters use the silent server."""
    return explain(observed, BOX, time.time() * 1000.0)


def ejecting_limiters(observed: GroupObservation) -> list[str]:
    """Return the limiters that eject the server."""
    return [
        word.limiter
        for word in explain_server(observed).statements
        if word.health is not None and word.health.ejected_ms >= 0.0
    ]


async def run_command(ground: Harness, *arguments: str) -> tuple[int, Any, str]:
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "elderlock.cli.main",
        *arguments,
        "--group",
        str(ground.direct_group_path),
        "--token-file",
        str(ground.token_path("an")),
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )
    stdout, stderr = await process.communicate()
    output = json.loads(stdout) if "--json" in arguments and stdout else stdout.decode()
    return process.returncode or 0, output, stderr.decode()


def test_the_status_shows_which_limiters_eject_a_server_and_whose_failures_led_to_it() -> None:
    async def test() -> None:
        async with harness_of_six() as ground:
            faults, group = TrialFaults(ground), group_of(ground)
            ground.start_clients()
            faults.begin(0, SILENT)
            await wait_for(
                group,
                lambda observed: any(
                    len(word.health.ejected_by) > 1 for word in explain_server(observed).statements if word.health
                ),
            )
            while True:
                exit_code, explanation, _ = await run_command(ground, "explain", "box", BOX, "--json")
                ejecting = [
                    word for word in explanation["words"] if word["health"] and word["health"]["left_out_ms"] >= 0.0
                ]
                if ejecting:
                    break
            assert exit_code == 0 and explanation["used_by"] <= LIMITERS - len(ejecting) and explanation["silent"] == []
            assert all("failures in a row" in word["why"] and word["since_ms"] >= 0.0 for word in ejecting)
            while True:
                _, shared, _ = await run_command(ground, "show", "shared", "--json")
                if any(box["box"] == BOX and box["failed"] for box in shared["boxes"]):
                    break
            assert set(shared["limiters"]) == {f"n{n}" for n in range(LIMITERS)} and shared["shares_nothing"] == []
            assert all(each["counts_ms"] == FRESH_MS for each in shared["limiters"].values())
            assert sum(each["told"] for each in shared["limiters"].values()) > 0
            _, text, _ = await run_command(ground, "explain", "box", BOX)
            assert text.splitlines()[0].endswith(f"of {LIMITERS} limiters") and "FAILED AT (AGO)" in text
            _, text, _ = await run_command(ground, "show", "shared")
            assert "FAILURES WEIGH" in text and BOX in text
            exit_code, _, stderr = await run_command(ground, "explain", "box", "s-99")
            assert exit_code == 4 and f"box s-99 is not known to {LIMITERS} limiters" in stderr

            ground.signal("n5", signal.SIGSTOP, "it was stopped")
            await wait_for(group, lambda observed: "n5" in explain_server(observed).silent)
            exit_code, explanation, _ = await run_command(ground, "explain", "box", BOX, "--json")
            assert exit_code == 3 and explanation["silent"] == ["n5"] and len(explanation["words"]) == LIMITERS - 1
            ground.signal("n5", signal.SIGCONT, "")
            group.close()

    run(test(), within=120.0)


def test_without_sharing_the_status_says_so_and_explains_servers_nevertheless() -> None:
    servers = [
        server_status("s-0"),
        server_status("s-1", unavailable_reason="drained by an", drained_by="an", generation=7),
    ]
    drain_record = Record("box", "s-1", True, 7, "o", "an", 1000.0, "fan is loud")
    statuses = [
        messages.LimiterStatus(
            name, "running", 1, False, 0, -1.0, "answering", "", 10.0, limiter_state(name, known_servers)
        )
        for name, known_servers in (("n0", servers), ("n1", servers[:1]))
    ]
    observed = observe(
        {
            "agent-0": messages.Shown(1, "agent-0", "1", 1, 1.0, "", tuple(statuses), (drain_record,), ()),
            "agent-1": Missing("agent-1", "no answer in 1 s", True),
        }
    )
    assert tables.shared(observed, False)[0].startswith("no limiter that answers shares evidence")
    serving = explain(observed, "s-0", 5000.0)
    assert [word.is_used for word in serving.statements] == [True, True] and serving.silent == ("agent agent-1",)
    out_of_service = explain(observed, "s-1", 5000.0)
    first, second = out_of_service.statements
    assert first.since_ms == 4000.0 and not first.is_used and not second.is_listed
    lines = tables.explanation_table(out_of_service, False)
    assert lines[:2] == [
        "s-1 (floor-2, std-2c, weight 2) is used by 0 of 2 limiters",
        "drained by an, generation 7: fan is loud",
    ]
    assert "1 of 2: its list does not name the box" in lines and lines[-1] == "says nothing: agent agent-1"
    assert not explain(observed, "s-9", 5000.0).is_known


def cut(senders: list[int], receivers: list[int]) -> list[Fault]:
    return [
        Fault(0.0, "cut", f"way:limiter:{sender}>limiter:{receiver}", FOREVER)
        for sender in senders
        for receiver in receivers
        if sender != receiver
    ]


ZONE = [0, 3]  # the limiters of the first of three zones
OTHERS = [n for n in range(LIMITERS) if n not in ZONE]
LINK_FAULTS: dict[str, list[Fault]] = {
    "datagrams are lost, late, repeated and out of order, and one limiter pauses": [
        Fault(0.0, "loss", "peers", FOREVER, 0.5),
        Fault(0.0, "reorder", "peers", FOREVER),
        Fault(0.0, "duplicate", "peers", FOREVER, 0.5),
        Fault(0.0, "pause", "limiter:1", 3.0),
    ],
    "a zone is cut off from the others in both directions": cut(ZONE, OTHERS) + cut(OTHERS, ZONE),
    "all limiters restart, and one can send to the others but not receive": [
        *cut(list(range(1, LIMITERS)), [0]),
        *[Fault(0.0, "kill", f"limiter:{n}") for n in range(LIMITERS)],
    ],
}


@pytest.mark.parametrize("link_faults", LINK_FAULTS.values(), ids=LINK_FAULTS)
def test_a_silent_server_is_ejected_and_reinstated_under_each_link_fault(link_faults: list[Fault]) -> None:
    """Some limiters eject it and no other server; all use it again once it answers; no invariant is violated."""

    async def test() -> None:
        async with harness_of_six() as ground:
            faults, group = TrialFaults(ground), group_of(ground)
            ground.start_clients()
            for number, fault in enumerate(link_faults):
                faults.begin(number, fault)
            end_silence = faults.silence(ground.listing.boxes[BOX].uid)
            other_weights: list[float] = []

            def is_ejected(observed: GroupObservation) -> bool:
                other_weights.extend(
                    entry.weighed for entry in summarize_evidence(observed.states()) if entry.server != BOX
                )
                return len(ejecting_limiters(observed)) >= 2

            await wait_for(group, is_ejected)
            assert all(weight < EJECTION_WEIGHT for weight in other_weights)
            end_silence()
            reinstated = await wait_for(
                group,
                lambda observed: [word.is_used for word in explain_server(observed).statements] == [True] * LIMITERS,
            )
            assert ejecting_limiters(reinstated) == []
            assert check_invariants(ground).broken == []
            group.close()

    run(test(), within=120.0)
