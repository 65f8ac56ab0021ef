"""Runs a trial: a scenario on real processes, from the start of the group to the verdict, in bounded time."""

from __future__ import annotations

import asyncio
import json
import shutil
import time
import traceback
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from elderlock.sim import invariant_checkers
from elderlock.sim.exclusive_holdings import ExclusiveHoldings
from elderlock.sim.figures import Result
from elderlock.sim.scenario import Scenario, unsupported_faults
from elderlock.trial import disk, history
from elderlock.trial.faults import TrialFaults
from elderlock.trial.harness import Harness, TrialError
from elderlock.trial.history import Event
from elderlock.trial.stalls import Stall, StallSummary, summarize

ENVIRONMENT = "trial"  # of results, beside the names of the simulation's environments
SAMPLE_INTERVAL_S = 0.5  # between two samples of what must not grow without bound
IDLE_TIMEOUT_S = 5.0  # beyond the scenario's `rest_s`, for open requests and records to settle
FAULTS_TIMEOUT_S = 30.0  # for the commands and restarts that are under way at the end


@dataclass
class Outcome:
    """The outcome of a trial.

    Attributes:
        result: The result, in the form of the simulation's.
        stall_summary: The runner's stalls, and whether the run counts as late.
        events: The history, sorted by time.
        stalls: The stalls of the runner and of the processes.
        late_rules: The violations that a stall may explain.
        links: How many connections passed a relay.
        processes: How many limiters, agents and commands ran.
        start_s: The seconds until the group was up.
        commands: The operators' commands, with their exit codes.
        schedule_start_ms: When the schedule began, in ms of the run.
        epoch_ms: When the run began, in Unix ms.
        unplayed: The parts of the scenario that a trial does not support.
    """

    result: Result
    stall_summary: StallSummary
    events: list[Event]
    stalls: list[Stall]
    late_rules: list[invariant_checkers.Violation]
    links: int
    processes: int
    start_s: float
    commands: list[tuple[str, int]]
    schedule_start_ms: float
    epoch_ms: float
    unplayed: list[str] = field(default_factory=list)

    def verdict(self) -> str:
        """Return `good`, `broken` or `late`.

        A run is `late` if the machine stalled too long, and each violation is one that a stall may explain.
        """
        if not self.result.good():
            return "broken"
        return "late" if self.stall_summary.text or self.late_rules else "good"

    def text(self) -> str:
        """Return the outcome as text."""
        lines = [self.result.text()]
        lines += [f"  LATE {violation.line()}" for violation in self.late_rules[:10]]
        if self.stall_summary.text:
            lines.append(f"  the run counts as late: {self.stall_summary.text}")
        lines += [f"  not supported by trials: {part}" for part in self.unplayed]
        lines.append(
            f"  {self.processes} processes, {self.links} connections, up in {self.start_s:.2f} s; "
            f"longest stall of the relays {self.stall_summary.worst_ms:.0f} ms"
        )
        return "\n".join(lines)


def record_logged_failures(harness: Harness) -> None:
    """Record the first unhandled exception in the log of each process, as the simulation does."""
    for path in harness.logs():
        process = path.parent.name if path.name == "log" else path.stem
        text = path.read_text(errors="replace")
        for line in text.splitlines():
            if line.startswith("Traceback (most recent call last)") or '"exception": "Traceback' in line:
                harness.bench.failure(harness.at(), process, _exception_line(text, line))
                break


def _exception_line(text: str, line: str) -> str:
    """Return the last line of the traceback that begins in `line`."""
    if line.startswith("{"):
        traceback_lines = str(json.loads(line).get("exception", "")).splitlines()
        return traceback_lines[-1] if traceback_lines else line[:200]
    following = text[text.index(line) :].splitlines()[1:]
    return next((each for each in following if each and not each.startswith(" ")), "an exception")[:200]


def _describe_error(context: dict[str, Any]) -> str:
    """Return the text and the place of an exception in the runner's event loop: of a fake, a relay or a checker."""
    error = context.get("exception")
    if not isinstance(error, BaseException):
        return str(context["message"])
    frames = [frame for frame in traceback.extract_tb(error.__traceback__) if "elderlock" in frame.filename]
    where = f" in {frames[-1].name}, line {frames[-1].lineno} of {Path(frames[-1].filename).name}" if frames else ""
    return f"{error!r}{where}"


async def _wait_until_idle(harness: Harness) -> dict[str, int]:
    """Wait until no request is open and all agents' records agree; return what is still open after the timeout."""
    ends_s = time.monotonic() + IDLE_TIMEOUT_S
    while True:
        still_open = {"requests open at their clients": len(harness.clients.open) if harness.clients is not None else 0}
        agent_status = await harness.show_agents()
        for status in agent_status.values():
            for limiter in status.limiters:
                if limiter.state is not None and limiter.link == "answering":
                    still_open[f"requests open at {limiter.name}"] = limiter.state.open_requests
        digests = harness.digests(agent_status)
        if (not any(still_open.values()) and len(set(digests.values())) <= 1) or time.monotonic() > ends_s:
            harness.note("digests", json.dumps(digests))
            return still_open
        await asyncio.sleep(0.1)


class RecordSampler:
    """Samples the records that agents show, for the rule that an agent's records never go back.

    A record that an agent has shown stays, or is replaced by a newer one, also after a crash and a power loss. An agent
    whose state the harness replaced counts as a new one.
    """

    def __init__(self, harness: Harness, agreed: ExclusiveHoldings) -> None:
        """Prepare the sampler.

        Args:
            harness: The group.
            agreed: The checker that gets the samples.
        """
        self._harness, self._agreed = harness, agreed
        self._shown_names: dict[str, set[str]] = {}

    async def sample(self) -> None:
        """Sample all agents."""
        for name, status in (await self._harness.show_agents()).items():
            at, agent = self._harness.at(), self._harness.agent_processes[int(name[6:])]
            shown_by = f"{name}, state {agent.state_replacements}"
            generations = {f"{record.kind} {record.target}": record.generation for record in status.records}
            shown_names = self._shown_names.setdefault(shown_by, set())
            shown_names |= set(generations)
            self._agreed.shown += [(at, shown_by, record, generations.get(record, 0)) for record in shown_names]


async def _sample_repeatedly(harness: Harness, record_sampler: RecordSampler) -> None:
    while True:
        await asyncio.sleep(SAMPLE_INTERVAL_S)
        if harness.clients is not None and not harness.clients.arrivals_done:
            harness.sample()
        await record_sampler.sample()


async def _run_schedule(harness: Harness, faults: TrialFaults, record_sampler: RecordSampler) -> None:
    s = harness.scenario
    for agent in range(s.agents):  # for restarts from an old state
        disk.copy_home(harness.home(agent), harness.folder / "old" / harness.agent_names[agent])
    clients = harness.start_clients()
    timers = [harness.loop.call_later(fault.at_s, faults.begin, number, fault) for number, fault in enumerate(s.fault)]
    sampling = harness.loop.create_task(_sample_repeatedly(harness, record_sampler))
    try:
        await asyncio.sleep(s.lasts_s)
        clients.arrivals_done = True
        await asyncio.sleep(s.longest_deadline() / 1000.0 + s.rest_s)
        async with asyncio.timeout(FAULTS_TIMEOUT_S):
            await faults.wait_until_done()
        await harness.wait_until_up()
    except TimeoutError:
        raise TrialError(f"faults were still under way {FAULTS_TIMEOUT_S:g} s after the end of the schedule") from None
    finally:
        sampling.cancel()
        for timer in timers:
            timer.cancel()


async def play(
    scenario: Scenario, folder: Path, mark: str, seed: int = 1, mutant: str = "", keep: Path | None = None
) -> Outcome:
    """Run a trial.

    Args:
        scenario: What is run.
        folder: An empty folder for the run.
        mark: The mark of all processes that it starts; see `guard`.
        seed: The seed of all random choices.
        mutant: The name of the mutant that the processes run; empty for none.
        keep: A folder that the logs and the history are copied to, if any.

    Raises:
        TrialError: The run could not begin or end; the text says which process was waited for and for what.
    """
    began_s = time.monotonic()
    harness = Harness(scenario, folder, mark, seed, mutant)
    ended, why = "finished", ""
    harness.loop.set_exception_handler(lambda loop, context: harness.harness_errors.append(_describe_error(context)))
    faults = TrialFaults(harness)
    agreed = faults.agreed
    try:
        await harness.open()
        start_began_s = time.monotonic()
        await harness.start()
        start_s = time.monotonic() - start_began_s
        record_sampler = RecordSampler(harness, agreed)
        await _run_schedule(harness, faults, record_sampler)
        still_open = await _wait_until_idle(harness)
        await record_sampler.sample()
        digests = harness.digests(await harness.show_agents())
        record_logged_failures(harness)
        ends_at = harness.at()
        if harness.harness_errors:  # a fake, a relay or a checker failed, not the code under test
            ended, why = "failed", "; ".join(harness.harness_errors[:3])
        links = sum(relay.accepted_count for relay in harness.relays.all)
        processes = len(harness.limiter_processes) + len(harness.agent_processes) + harness.tools_started
        states = sorted({event.args[1] for event in harness.bench.events if event.name == "process"})
    finally:
        await harness.close()
        if keep is not None:
            keep.mkdir(parents=True, exist_ok=True)
            for path in (*harness.logs(), *folder.glob("*.log")):
                name = f"{path.parent.name}.log" if path.name == "log" else path.name
                shutil.copy2(path, keep / name)
            history.write(harness.bench.in_order(), keep / "history.jsonl")
    events = harness.bench.in_order()
    stalls = harness.stall_monitor.stalls
    rest = invariant_checkers.Quiescence(harness.rules, lambda: still_open)
    agreement = invariant_checkers.RecordAgreement(harness.rules, lambda: digests)
    verdict = history.check_history(events, stalls, harness.rules, ends_at, (rest, agreement, agreed))
    broken = [(violation.rule, violation.at, violation.text) for violation in verdict.broken]
    result = Result(
        scenario.name,
        ENVIRONMENT,
        seed,
        harness.account.figures(),
        broken,
        len(broken),
        "",
        len(events),
        ended,
        why,
        states,
        time.monotonic() - began_s,
        ends_at / 1000.0,
    )
    return Outcome(
        result,
        summarize(stalls, ends_at),
        events,
        stalls,
        verdict.late,
        links,
        processes,
        start_s,
        faults.commands,
        harness.schedule_start_ms,
        harness.epoch_ms,
        unsupported_faults(scenario, ENVIRONMENT),
    )
