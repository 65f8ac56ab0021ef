"""Checks that commands print the same text with `--json` as before the Python names changed.

The keys come from the fields of a record or are written in the command. A rename must not change the files in `data`.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import sqlite3
import tempfile
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
import pytest

from elderlock.cli import commands, sim
from elderlock.cli.main import main
from elderlock.control.messages import LimiterState
from elderlock.control.records import Record, Records
from elderlock.fleet import messages
from elderlock.fleet.client.answers import Missing, Refusal
from elderlock.fleet.client.commands import Result
from elderlock.fleet.client.drain_plan import Plan
from elderlock.fleet.client.observation import GroupObservation
from elderlock.fleet.client.report import CommandReport, Exit
from elderlock.sim.experiment import read_experiment
from elderlock.sim.sweep import ResultStore as SweepResults

DATA = Path(__file__).parent / "data"
MESSAGES: dict[str, dict[str, str]] = json.loads((DATA / "encoded_messages.json").read_text(encoding="utf-8"))
PRINTED: dict[str, str] = json.loads((DATA / "printed.json").read_text(encoding="utf-8"))
RECORD = Record("box", "box-7", True, 12, "origin-1", "ann", 1700000000123.5, "its fan is loud")
MISSING: dict[str, Missing | Refusal] = {"b": Missing("b", "no connection", True), "c": Refusal("c", "role", "not you")}


def message(label: str, form: type[msgspec.Struct]) -> Any:
    return msgspec.msgpack.decode(bytes.fromhex(MESSAGES[label]["data"]), type=form)


def seen() -> GroupObservation:
    """Return an observation with two limiters that answer and have different builds."""
    shown, other = message("fleet.shown", messages.Shown), message("control.state", LimiterState)
    first = shown.limiters[0]
    first.link = "answering"
    second = message("fleet.limiter-status", messages.LimiterStatus)
    second.link, second.state = "answering", other
    shown.limiters = (first, second)
    heard = message("fleet.heard", messages.AgentObservation)
    return GroupObservation({"a": shown}, MISSING, Records([RECORD]), {"b": heard})


class Answers:
    """A fake group that returns prepared answers of its agents."""

    def __init__(self, answers: dict[str, Any]) -> None:
        self._answers = answers

    async def ask_all(self, *_: Any) -> dict[str, Any]:
        return self._answers

    def close(self) -> None: ...


def show(_: pytest.MonkeyPatch) -> None:
    print(json.dumps(commands._observation_json(seen())))


def shared(_: pytest.MonkeyPatch) -> None:
    print(json.dumps(commands._shared_json(seen())))


def drain(_: pytest.MonkeyPatch) -> None:
    reach = message("fleet.reach", messages.Reach)
    account = CommandReport("origin-1", {RECORD.key: True})
    account.add_answer("a", messages.IntentsAnswer(1, "a", (messages.Decision("made", RECORD, "made"),), (reach,)))
    account.add_answer("b", Missing("b", "no connection", True))
    plan = Plan((("box-7",),), ("box-9",), 1.0, 0.75, 2.5, ("too little is left",))
    result = Result(Exit.PART, plan, ("too little is left",), [account], ["a line"])
    print(json.dumps(commands._result_json(result, 1700000000000.0)))


def _looks(command: Callable[..., Any], monkeypatch: pytest.MonkeyPatch) -> None:
    async def observe_group(*_: Any) -> GroupObservation:
        return seen()

    monkeypatch.setattr(commands, "observe_group", observe_group)
    target = seen().states()[0].servers[0].uid
    options = argparse.Namespace(json=True, deadline=1.0, target=target)
    asyncio.run(command(options, Answers({})))


def compare(monkeypatch: pytest.MonkeyPatch) -> None:
    _looks(commands.compare, monkeypatch)


def explain(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("time.time", lambda: 1700000000.0)
    _looks(commands.explain, monkeypatch)


def audit(_: pytest.MonkeyPatch) -> None:
    answers = {"a": message("fleet.audited", messages.Audited), **MISSING}
    asyncio.run(commands.audit(argparse.Namespace(json=True, deadline=1.0, most=9), Answers(answers)))  # type: ignore[arg-type]


def budget(_: pytest.MonkeyPatch) -> None:
    answers = {"a": message("fleet.stood", messages.BudgetStatus), **MISSING}
    asyncio.run(commands.budget(argparse.Namespace(json=True, deadline=1.0), Answers(answers)))  # type: ignore[arg-type]


def load_compare(_: pytest.MonkeyPatch) -> None:
    report = str(DATA / "load_report.json")
    assert main(["load", "compare", report, report, "--json"]) == 0


def sim_compare(_: pytest.MonkeyPatch) -> None:
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "kept.db"
        with sqlite3.connect(path) as db:
            db.executescript((DATA / "sweep_results.sql").read_text(encoding="utf-8"))
        db.close()
        options = argparse.Namespace(json=True, html=None, fail_if=[])
        sim._report_results(options, read_experiment(DATA / "experiment.toml"), SweepResults(path))


COMMANDS = {
    "show": show, "show-shared": shared, "drain": drain, "compare": compare, "explain": explain, "audit": audit,
    "budget": budget, "load-compare": load_compare, "sim-compare": sim_compare,
}  # fmt: skip


@pytest.mark.parametrize("name", COMMANDS)
def test_a_command_with_json_prints_the_same_text(
    name: str, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    COMMANDS[name](monkeypatch)
    assert capsys.readouterr().out == PRINTED[name]


def test_every_stored_text_belongs_to_a_command() -> None:
    assert set(PRINTED) == set(COMMANDS)


def test_exit_codes_and_their_names_are_as_documented() -> None:
    assert {each.name: int(each) for each in Exit} == {
        "DONE": 0, "USAGE": 2, "PART": 3, "NOTHING": 4, "UNSAFE": 5, "OVERTAKEN": 6,
    }  # fmt: skip
