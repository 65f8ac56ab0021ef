"""One trial: a scenario played on real processes, from the first start to a verdict, bounded in time."""

from __future__ import annotations

import asyncio
import json
import shutil
import time
import traceback
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from elderlock.sim import invariant_checkers as j
from elderlock.sim.exclusive_holdings import ExclusiveHoldings
from elderlock.sim.figures import Result
from elderlock.sim.scenario import Scenario, unsupported_faults
from elderlock.trial import disk, history
from elderlock.trial import stalls as stall_summaries
from elderlock.trial.faults import TrialFaults
from elderlock.trial.harness import Harness, TrialError
from elderlock.trial.history import Event
from elderlock.trial.stalls import Late, Stall

FLOOR = "trial"
SAMPLE_EVERY = 0.5  # s between looks at what could grow
REST_WITHIN = 5.0  # s beyond the scenario's rest that open requests and records may take to settle
SETTLE_WITHIN = 30.0  # s that commands and restarts under way at the end may take


@dataclass
class Outcome:
    """`result` as the simulation's; `late` says whether the machine had time for the run. `events` in their order."""

    result: Result
    stall_summary: Late
    events: list[Event]
    stalls: list[Stall]
    late_rules: list[j.Violation]
    links: int
    processes: int
    start_s: float
    commands: list[tuple[str, int]]
    schedule_start_ms: float  # ms of the run at which its schedule began
    epoch_ms: float  # Unix ms at which the run did
    unplayed: list[str] = field(default_factory=list)

    def verdict(self) -> str:
        """good, broken, or late where the machine had no time and nothing but times was broken."""
        if not self.result.good():
            return "broken"
        return "late" if self.stall_summary.text or self.late_rules else "good"

    def text(self) -> str:
        lines = [self.result.text()]
        lines += [f"  LATE {each.line()}" for each in self.late_rules[:10]]
        if self.stall_summary.text:
            lines.append(f"  the run counts as late: {self.stall_summary.text}")
        lines += [f"  not played here: {each}" for each in self.unplayed]
        lines.append(
            f"  {self.processes} processes, {self.links} links, up in {self.start_s:.2f} s; "
            f"worst stand-still of the relays {self.stall_summary.worst:.0f} ms"
        )
        return "\n".join(lines)


def failures_in_logs(ground: Harness) -> None:
    """What processes logged as having failed, as the simulation hears it: exceptions that nobody handled."""
    for path in ground.logs():
        who = path.parent.name if path.name == "log" else path.stem
        text = path.read_text(errors="replace")
        for line in text.splitlines():
            if line.startswith("Traceback (most recent call last)") or '"exception": "Traceback' in line:
                ground.bench.failure(ground.at(), who, _reason(text, line))
                break


def _reason(text: str, line: str) -> str:
    """The last line of the first traceback."""
    if line.startswith("{"):
        raised = str(json.loads(line).get("exception", "")).splitlines()
        return raised[-1] if raised else line[:200]
    rest = text[text.index(line) :].splitlines()[1:]
    return next((each for each in rest if each and not each.startswith(" ")), "an exception")[:200]


def _said(context: dict[str, Any]) -> str:
    """What the runner's own loop was told of: a stand-in, a relay or a judge that raised, and where."""
    error = context.get("exception")
    if not isinstance(error, BaseException):
        return str(context["message"])
    places = [place for place in traceback.extract_tb(error.__traceback__) if "elderlock" in place.filename]
    where = f" in {places[-1].name}, line {places[-1].lineno} of {Path(places[-1].filename).name}" if places else ""
    return f"{error!r}{where}"


async def _rest(ground: Harness) -> dict[str, int]:
    """Waits until nothing is open and all records agree, for so long; returns what is left then."""
    ends = time.monotonic() + REST_WITHIN
    while True:
        left = {"requests open at their clients": len(ground.clients.open) if ground.clients is not None else 0}
        shown = await ground.show_agents()
        for each in shown.values():
            for limiter in each.limiters:
                if limiter.state is not None and limiter.link == "answering":
                    left[f"requests open at {limiter.name}"] = limiter.state.open_requests
        digests = ground.digests(shown)
        if (not any(left.values()) and len(set(digests.values())) <= 1) or time.monotonic() > ends:
            ground.note("digests", json.dumps(digests))
            return left
        await asyncio.sleep(0.1)


class Looks:
    """What agents show of their records again and again: what one has shown it shows for good, or a newer one in its
    place, also after a crash and after a loss of power. One whose state we took away begins anew."""

    def __init__(self, ground: Harness, agreed: ExclusiveHoldings) -> None:
        self._ground, self._agreed = ground, agreed
        self._known: dict[str, set[str]] = {}

    async def look(self) -> None:
        for name, each in (await self._ground.show_agents()).items():
            at, agent = self._ground.at(), self._ground.agent_processes[int(name[6:])]
            who = f"{name}, state {agent.states}"
            held = {f"{record.kind} {record.target}": record.generation for record in each.records}
            known = self._known.setdefault(who, set())
            known |= set(held)
            self._agreed.shown += [(at, who, what, held.get(what, 0)) for what in known]


async def _sampled(ground: Harness, looks: Looks) -> None:
    while True:
        await asyncio.sleep(SAMPLE_EVERY)
        if ground.clients is not None and not ground.clients.arrivals_done:
            ground.sample()
        await looks.look()


async def _schedule(ground: Harness, faults: TrialFaults, looks: Looks) -> None:
    s = ground.scenario
    for agent in range(s.agents):  # for restarts from an old state
        disk.copy_home(ground.home(agent), ground.folder / "old" / ground.agent_names[agent])
    clients = ground.start_clients()
    timers = [ground.loop.call_later(fault.at_s, faults.begin, number, fault) for number, fault in enumerate(s.fault)]
    sampling = ground.loop.create_task(_sampled(ground, looks))
    try:
        await asyncio.sleep(s.lasts_s)
        clients.arrivals_done = True
        await asyncio.sleep(s.longest_deadline() / 1000.0 + s.rest_s)
        async with asyncio.timeout(SETTLE_WITHIN):
            await faults.wait_until_done()
        await ground.wait_until_up()
    except TimeoutError:
        raise TrialError(f"faults under way at the end were not done within {SETTLE_WITHIN:g} s") from None
    finally:
        sampling.cancel()
        for timer in timers:
            timer.cancel()


async def play(
    scenario: Scenario, folder: Path, mark: str, seed: int = 1, flaw: str = "", keep: Path | None = None
) -> Outcome:
    """`folder` is empty and the run's own; with `keep` what shows what happened is copied there. Raises `TrialError`,
    with who waited for what."""
    wall = time.monotonic()
    ground = Harness(scenario, folder, mark, seed, flaw)
    ended, why = "finished", ""
    ground.loop.set_exception_handler(lambda loop, context: ground.failed.append(_said(context)))
    faults = TrialFaults(ground)
    agreed = faults.agreed
    try:
        await ground.open()
        began = time.monotonic()
        await ground.start()
        start_s = time.monotonic() - began
        looks = Looks(ground, agreed)
        await _schedule(ground, faults, looks)
        left = await _rest(ground)
        await looks.look()
        digests = ground.digests(await ground.show_agents())
        failures_in_logs(ground)
        ends = ground.at()
        if ground.failed:  # a stand-in, a relay or a judge, not the code under test
            ended, why = "failed", "; ".join(ground.failed[:3])
        links = sum(relay.taken for relay in ground.relays.all)
        processes = len(ground.limiter_processes) + len(ground.agent_processes) + ground.tools_started
        states = sorted({event.args[1] for event in ground.bench.events if event.what == "process"})
    finally:
        await ground.close()
        if keep is not None:
            keep.mkdir(parents=True, exist_ok=True)
            for path in (*ground.logs(), *folder.glob("*.log")):
                name = f"{path.parent.name}.log" if path.name == "log" else path.name
                shutil.copy2(path, keep / name)
            history.write(ground.bench.in_order(), keep / "history.jsonl")
    events = ground.bench.in_order()
    stalls = ground.watch.stalls
    rest = j.Quiescence(ground.rules, lambda: left)
    agreement = j.RecordAgreement(ground.rules, lambda: digests)
    verdict = history.check_history(events, stalls, ground.rules, ends, (rest, agreement, agreed))
    broken = [(each.rule, each.at, each.text) for each in verdict.broken]
    result = Result(
        scenario.name,
        FLOOR,
        seed,
        ground.account.figures(),
        broken,
        len(broken),
        "",
        len(events),
        ended,
        why,
        states,
        time.monotonic() - wall,
        ends / 1000.0,
    )
    return Outcome(
        result,
        stall_summaries.summarize(stalls, ends),
        events,
        stalls,
        verdict.late,
        links,
        processes,
        start_s,
        faults.commands,
        ground.schedule_start_ms,
        ground.epoch_ms,
        unsupported_faults(scenario, FLOOR),
    )
