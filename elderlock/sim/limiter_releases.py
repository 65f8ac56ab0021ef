"""Simulated releases of limiters: the agents that ship, up to hundreds of them, with modelled limiters.

The limiters speak the real protocol on the control socket. New versions crash, refuse requests, are slow or do not
answer their agent; agents are killed, suspended and cut off; operators halt, resume and roll back. The invariants are
checked from outside, on the limiters' control sockets and processes.
"""

from __future__ import annotations

import asyncio
import math
import random
import signal
import tomllib
from collections.abc import Awaitable, Callable, Iterable, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

from elderlock.control import messages as control_messages
from elderlock.control.attach import ControlSocket, read_records_file
from elderlock.control.command_authority import CommandAuthority
from elderlock.control.records import Record
from elderlock.fleet import messages as fleet_messages
from elderlock.fleet.client import plan_commands
from elderlock.fleet.client.group_client import Group
from elderlock.rollout.plan_steering import AUTOMATIC_ROLLBACK_PREFIX
from elderlock.rollout.plans import Plan, RolloutPolicy
from elderlock.sim.exclusive_holdings import (
    FencedAction,
    Holding,
    bound_conflicts,
    fencing_conflicts,
    generation_regressions,
)
from elderlock.sim.scenario import Scenario, Settings
from elderlock.sim.shells import ShellWorld
from elderlock.sim.virtual.processes import CURRENT_PROCESS, Machine, Process, context_of, start
from elderlock.standins.limiters import limiter_state, server_status
from elderlock.standins.waiting import unix_ms

UNAVAILABLE = "limiters taken out by the release"
POLICY = RolloutPolicy(
    drain_timeout_s=4.0,
    start_timeout_s=8.0,
    settle_time_s=15.0,
    bake_time_s=15.0,
    maximum_bake_time_s=60.0,
    wave_pause_s=1.0,
    patience_s=20.0,
)
LOG_TIME_DEVIATION = 0.9  # standard deviation of the logarithm of a response time
LIMITER_BIAS_DEVIATION = 0.03  # standard deviation of the permanent differences between limiters
# Time in s after the end of all faults within which a plan must be over or halted, and again for its rollback.
SETTLED_WITHIN = 240.0
ZONE_LOSS_S = 40.0
LEADER_LOSS_S = 150.0
SUSPENSION_S = 40.0
CUT_AFTER_SUSPENSION_S = 20.0  # during which a resumed agent is still cut off
TAKEOVER_TIMEOUT_S = 20.0
STALE_ACTION_GRACE_MS = 1000.0  # after a halt or a rollback, for actions that are already under way
VERSION = "v2"


@dataclass(frozen=True, slots=True)
class Build:
    """Behaviour of a version of limiters.

    Attributes:
        name: Name of the behaviour in seeds and reports.
        crash_after: Lifetime of each process in s; 0 for one that does not start, None for one that does not crash.
        refuses: Additional share of requests that it refuses.
        slower: Share by which its answers are slower.
        mute: Whether it refuses its agent's greeting.
    """

    name: str
    crash_after: float | None = None
    refuses: float = 0.0
    slower: float = 0.0
    mute: bool = False

    @property
    def good(self) -> bool:
        """Whether the version has no flaw."""
        return self.crash_after is None and not (self.refuses or self.slower or self.mute)


BUILDS = {
    build.name: build
    for build in (
        Build("good"),
        Build("crashes-at-start", crash_after=0.0),
        Build("crashes-after-10-s", crash_after=10.0),
        Build("refuses-all", refuses=1.0),
        Build("slower-by-a-fifth", slower=0.2),
        Build("mute", mute=True),
    )
}


@dataclass(frozen=True, slots=True)
class ReleaseCase:
    """A simulated release and its faults.

    Attributes:
        agents: Number of agents.
        limiters: Number of limiters.
        floors: Number of zones.
        build: Name in `BUILDS` of the version that is released.
        rate: Requests per second at each limiter.
        load_spike_at_s: Start of a 40 s spike in which every limiter gets three times the requests, answers them more
            slowly and refuses some of them; None for no spike.
        faults: Number of faults of agents and limiters within `fault_window_s`.
        fault_window_s: Length of the period in which faults and operator commands occur, in s.
        operator_commands: Number of further commands that operators give during the release.
        two_operators: Whether two operators request a release at the same time.
        automatic_rollback: Whether the plan rolls back by itself when it is halted.
        share: Share of the limiters that may be out of service at once.
        policy: Timing of the release.
        zone_loss_at_s: Time at which all agents and limiters of the first zone die; None for never.
        leader_loss_at_s: Time at which the agent that leads the plan is killed and held down for `LEADER_LOSS_S`; None
            for never.
        single_wave: Whether all limiters are in one wave, so that only the budget bounds how many are out at once.
        suspends_agent: Whether the first agent about to take a limiter out is suspended at that moment. It resumes 40 s
            later, after the plan was rolled back, and stays cut off from the other agents for some time more.
    """

    agents: int = 5
    limiters: int = 10
    floors: int = 3
    build: str = "good"
    rate: float = 40.0
    load_spike_at_s: float | None = None
    faults: int = 0
    fault_window_s: float = 90.0
    operator_commands: int = 0
    two_operators: bool = False
    automatic_rollback: bool = True
    share: float = 0.34
    policy: RolloutPolicy = POLICY
    zone_loss_at_s: float | None = None
    leader_loss_at_s: float | None = None
    single_wave: bool = False
    suspends_agent: bool = False


@dataclass
class ReleaseOutcome:
    """Result of a simulated release; the counts are of invariant violations unless stated otherwise.

    Attributes:
        violations: Descriptions of all violations.
        over_budget: Number of times that more limiters were out than the budget allows.
        conflicting_ledgers: Number of different ledgers with the same version.
        stale_actions: Number of actions under a plan that was no longer valid.
        stuck_plans: Number of plans and steps that did not finish in time.
        plan: The plan in its last state.
        upgraded: Names of the limiters or agents that ever ran the new version.
        first_wave: Targets of the plan's first wave.
        halt_reason: Reason of the first halt or automatic rollback.
        halt_ms: Times until a halt was in force at all agents.
        rollbacks_tried: Number of rollbacks started.
        rollbacks_completed: Number of rollbacks after which every target ran its old version.
        leader_changes: Number of changes of the plan's leader.
        seconds: Simulated duration in s.
        log: Log lines, if requested.
    """

    violations: list[str] = field(default_factory=list)
    over_budget: int = 0
    conflicting_ledgers: int = 0
    stale_actions: int = 0
    stuck_plans: int = 0
    plan: Plan | None = None
    upgraded: set[str] = field(default_factory=set)
    first_wave: set[str] = field(default_factory=set)
    halt_reason: str = ""
    halt_ms: list[float] = field(default_factory=list)
    rollbacks_tried: int = 0
    rollbacks_completed: int = 0
    leader_changes: int = 0
    seconds: float = 0.0
    log: list[str] = field(default_factory=list)

    def good(self) -> bool:
        """Returns whether no invariant was violated."""
        return not (
            self.violations or self.over_budget or self.conflicting_ledgers or self.stale_actions or self.stuck_plans
        )


class ModelledLimiter:
    """A limiter as its agent sees it: the real command authority, and figures drawn from a model of its version.

    Attributes:
        behaviour: Behaviour of its version.
        build: Name of its version, as it reports it.
        stopping: Set when the limiter is told to stop.
        is_drained: Whether the limiter is drained.
        authority: Handles the commands of the control socket.
    """

    def __init__(self, world: ReleaseWorld, name: str, version: str, build: Build) -> None:
        process = CURRENT_PROCESS.get()
        assert process is not None
        self.world, self.name, self.version, self.behaviour, self.pid = world, name, version, build, process.pid
        self.build, self.started_at = version or "1", unix_ms()
        self.stopping = asyncio.Event()
        self.is_drained = False
        self._rng = random.Random(f"{world.seed}/{name}/{self.pid}")
        self._counts, self._sums = control_messages.AnswerCounts(), (0.0, 0.0)
        self._started_at_s = self._counted_at_s = world.loop.time()
        self.authority: CommandAuthority | None = None

    def state(self, id: int, accounts: int) -> control_messages.LimiterState:
        """Returns the state that the limiter reports to its agent."""
        self._count()
        assert self.authority is not None
        return limiter_state(
            self.name,
            self.world.boxes,
            id=id,
            pid=self.pid,
            records=tuple(self.authority.records),
            is_drained=self.is_drained,
            ready=not self.is_drained,
            records_digest=self.authority.records.digest(),
            owner=self.authority.owner,
            owner_epoch=self.authority.owner_epoch,
            counts=self._counts,
            log_time_sum=self._sums[0],
            log_time_square_sum=self._sums[1],
        )

    def _count(self) -> None:
        """Draws the answers since the last call in one step."""
        now, rng, case = self.world.loop.time(), self._rng, self.world.case
        is_spike = (
            case.load_spike_at_s is not None
            and case.load_spike_at_s <= self.world.at() / 1000.0 < case.load_spike_at_s + 40.0
        )
        mean = (now - self._counted_at_s) * case.rate * (3.0 if is_spike else 1.0) * (0.0 if self.is_drained else 1.0)
        self._counted_at_s = now
        count = max(0, round(rng.gauss(mean, math.sqrt(mean)))) if mean > 0 else 0
        share = min(1.0, self.behaviour.refuses + (0.15 if is_spike else 0.002))
        refused = min(count, max(0, round(rng.gauss(count * share, math.sqrt(count * share * (1 - share))))))
        served = count - refused
        # A limiter that has just started is up to 50 % slower, like real processes: it does not know its servers yet.
        warm_up_excess = 0.5 * math.exp(-(now - self._started_at_s) / 7.0)
        mean_log = (
            math.log(25.0 * (1.0 + self.behaviour.slower) * (1.5 if is_spike else 1.0))
            + self.world.bias[self.name]
            + warm_up_excess
        )
        total = served * mean_log + math.sqrt(served) * LOG_TIME_DEVIATION * rng.gauss(0.0, 1.0)
        squares = served * (LOG_TIME_DEVIATION**2) + (total * total / served if served else 0.0)
        self._sums = (self._sums[0] + total, self._sums[1] + squares)
        before = self._counts
        self._counts = control_messages.AnswerCounts(before.served + served, before.refused + refused, before.failed, 0)

    def drain(self, boxes: dict[str, Record], limiter: bool) -> None:
        """Applies the drains; only the limiter's own drain has an effect."""
        if limiter != self.is_drained:
            self._count()
        self.is_drained = limiter
        if self.authority is not None:
            self.world.record_limiter_state(self)

    def open_requests_at(self, boxes: Iterable[str]) -> dict[str, int]:
        """Returns no open requests for each server."""
        return dict.fromkeys(boxes, 0)

    def open_requests(self) -> int:
        """Returns no open requests."""
        return 0

    def stop(self) -> None:
        """Requests the end of the process."""
        self.stopping.set()


class ReleaseWorld(ShellWorld):
    """One simulated release.

    The checkers observe the limiters' control sockets and processes, and the ledgers that agents accept as chosen.

    Attributes:
        case: The simulated case.
        outcome: Result of the release.
        max_unavailable: Maximum number of limiters that may be out of service at once.
        bias: Permanent difference of each limiter's response times, on the logarithmic scale.
        boxes: Servers that each limiter reports.
        limiter_models: Running limiters by name.
    """

    def __init__(self, case: ReleaseCase, seed: int, log: bool = False) -> None:
        scenario = Scenario(
            "releases",
            limiters=case.limiters,
            agents=case.agents,
            floors=case.floors,
            boxes=3,
            settings=Settings(budget=0.5),
            lasts_s=3600.0,
        )
        super().__init__(scenario, seed)
        self.case, self.outcome, self._is_logging = case, ReleaseOutcome(), log
        self.max_unavailable = int(case.share * case.limiters)
        rng = random.Random(f"bias/{seed}")
        self.bias = {name: rng.gauss(0.0, LIMITER_BIAS_DEVIATION) for name in self._names()}
        self.boxes = [server_status(f"s-{n}") for n in range(3)]
        self.limiter_models: dict[str, ModelledLimiter] = {}
        self._failed_pids: set[int] = set()  # processes that a fault or a bad version ends
        self._unavailable_reasons: dict[str, str] = {}
        self._holdings: list[Holding] = []
        self._acts: list[FencedAction] = []
        self._generations: list[tuple[float, str, str, int]] = []
        self._ledgers: dict[int, object] = {}
        self._plan_changed_at = 0.0  # time of the last change of the plan's state or direction
        self._has_suspended_agent = not case.suspends_agent
        self._held_down_agents: set[int] = set()

    def _log(self, text: str) -> None:
        if self._is_logging:
            self.outcome.log.append(f"{self.at() / 1000.0:8.2f} {text}")

    # Files, agents and limiters

    async def _start_group(self) -> None:
        scenario = self.scenario
        self.machines = [
            self._machine(f"m{n}", n, 1, f"floor-{n % scenario.floors + 1}") for n in range(scenario.limiters)
        ]
        for number in range(scenario.limiters):
            (self.folder / f"n{number}.json").write_text("{}")
        version_folder = self.folder / "versions" / VERSION
        version_folder.mkdir(parents=True)
        (version_folder / "version.toml").write_text('command = ["limiter", "{limiter}"]\n')
        self._write_agents()
        for path in self.folder.glob("agent-*.toml"):
            path.write_text(path.read_text() + '[versions]\nfolder = "versions"\n[supervise]\nmost_backoff = 2.0\n')
        group = self.folder / "group.toml"
        budget = f"[budget.limiters]\nshare = {self.case.share}\n"
        group.write_text(group.read_text().partition("[budget")[0] + budget)
        for number in range(scenario.agents):
            self._start_agent(number)

    def _spawn_limiter(self, machine: Machine, environ: Mapping[str, str]) -> Process:
        name = Path(environ["PROXY_CONFIG"]).stem
        version = environ["ELDERLOCK_VERSION"]
        build = BUILDS[self.case.build] if version else BUILDS["good"]
        process = self.limiters[int(name[1:])] = self.process(name, self.machines[int(name[1:])], environ)
        if version and name not in self.outcome.upgraded:
            self.outcome.upgraded.add(name)
            self._check_first_start(name)
        self._log(f"{name} starts on {version or 'the configured version'}")

        async def main() -> int:
            if build.crash_after == 0.0:
                return 4
            operators = tomllib.loads(Path(environ["ELDERLOCK_OPERATORS"]).read_text())["control"]
            limiter = ModelledLimiter(self, name, version, build)
            limiter.authority = CommandAuthority(limiter, read_records_file(Path(operators["records"])))
            if build.mute:
                refusal = control_messages.Refused("version", "it speaks version 99 alone")
                limiter.authority._hello = lambda *args: refusal  # type: ignore[method-assign]
            control = ControlSocket(limiter.authority, Path(operators["socket"]), unix_ms)
            await control.listen()
            self.limiter_models[name] = limiter
            self.record_limiter_state(limiter)
            loop = asyncio.get_running_loop()
            loop.add_signal_handler(signal.SIGTERM, limiter.stopping.set)
            if build.crash_after is not None:
                loop.call_later(build.crash_after, self._crash, process)
            await limiter.stopping.wait()
            await asyncio.sleep(0.05)
            control.close()
            return 0

        process.on_exit.append(lambda: self._limiter_ended(name, process))
        start(self.loop, process, main)
        return process

    def _check_first_start(self, name: str) -> None:
        """Checks that the plan still rolls forward when a limiter first starts on the new version."""
        plan = self._newest_plan()
        self._record_plan(plan)
        if plan is not None and (plan.state != "running" or plan.direction == "back"):
            delay_ms = self.at() - self._plan_changed_at
            if delay_ms > STALE_ACTION_GRACE_MS:
                self.outcome.stale_actions += 1
                text = (
                    f"{name} started on {VERSION} {delay_ms:.0f} ms after the plan was {plan.state}, {plan.direction}"
                )
                self.outcome.violations.append(f"{self.at():.0f} ms: {text}")

    def _crash(self, process: Process) -> None:
        if process.alive:
            self._failed_pids.add(process.pid)
            process.end(3)

    # Observation

    def _mark_out(self, name: str, reason: str) -> None:
        """Records that the release took a limiter out for this reason, or that it is back if empty."""
        if bool(self._unavailable_reasons.get(name)) == bool(reason):
            return
        if reason:
            self._unavailable_reasons[name] = reason
            self._holdings.append(Holding(UNAVAILABLE, name, self.at(), self.at()))
        else:
            del self._unavailable_reasons[name]
            last = next(n for n in reversed(range(len(self._holdings))) if self._holdings[n].holder == name)
            self._holdings[last] = self._holdings[last]._replace(ended=self.at())

    def record_limiter_state(self, limiter: ModelledLimiter) -> None:
        """Records that a limiter's process started or that its drain changed."""
        assert limiter.authority is not None
        record = limiter.authority.records.get("limiter", limiter.name)
        if record is not None:
            self._generations.append((self.at(), limiter.name, "its drain", record.generation))
            if limiter.is_drained:
                self._acts.append(FencedAction(limiter.name, record.origin, self.at(), record.generation))
        self._log(f"{limiter.name} {'drained' if limiter.is_drained else 'serves'}")
        self._mark_out(limiter.name, "drained" if limiter.is_drained else "")

    def _limiter_ended(self, name: str, process: Process) -> None:
        limiter = self.limiter_models.pop(name, None)
        is_intended = process.pid not in self._failed_pids and process.exit_code in (
            0,
            -signal.SIGKILL,
            -signal.SIGTERM,
        )
        self._log(f"{name} ended with {process.exit_code}{'' if is_intended else ', not by an agent'}")
        if is_intended:
            if limiter is not None and not limiter.is_drained and not limiter.behaviour.mute:
                # A plan drains a limiter before it ends it, so this action was not part of a valid plan.
                self.outcome.stale_actions += 1
                self.outcome.violations.append(f"{self.at():.0f} ms: {name} was ended while it served")
            self._mark_out(name, "ended")
        else:
            self._mark_out(name, "")  # a crash does not count against the release's budget

    def _agent_class(self) -> type[Any]:
        base, world = super()._agent_class(), self

        class Observed(base):  # type: ignore[misc,valid-type]
            def __init__(self, *args: Any) -> None:
                super().__init__(*args)
                member, name = self.consensus_member, self.name
                learn = member.learn

                def observe_ledger(ledger: Any) -> None:
                    known_ledger = world._ledgers.setdefault(ledger.version, ledger)
                    if known_ledger != ledger:
                        world.outcome.conflicting_ledgers += 1
                        text = f"two ledgers of version {ledger.version}, the second at {name}"
                        world.outcome.violations.append(f"{world.at():.0f} ms: {text}")
                    learn(ledger)
                    if not world._has_suspended_agent and ledger.plans:
                        # Outside the agent's process: its callbacks are suspended together with it.
                        context_of(None).run(world._suspend_agent, name, ledger.plans[-1])

                member.learn = observe_ledger

        return Observed

    # Scenario

    async def _main(self) -> None:
        case, rng = self.case, random.Random(f"story/{self.seed}")
        await self._start_group()
        await self._wait_until(
            lambda: self._are_voters_ready() and len(self.limiter_models) == case.limiters, 60.0, "the group to start"
        )
        await asyncio.sleep(25.0)  # collects baseline figures
        started_ms = self.at()
        policy = case.policy
        plan_ids = [f"{self.seed:08x}{n}" for n in range(2)]
        waves = [self._names()] if case.single_wave else []
        request = plan_commands.begin(
            plan_ids[0], "release", VERSION, (), waves, _with_rollback(policy, case.automatic_rollback), ""
        )
        commands: list[Awaitable[Any]] = [self._run_command("an", request, fleet_messages.BeginAnswer)]
        if case.two_operators:
            other = plan_commands.begin(
                plan_ids[1], "release", VERSION, (), (), _with_rollback(policy, case.automatic_rollback), ""
            )
            commands.append(self._run_command("binh", other, fleet_messages.BeginAnswer))
        for _ in range(case.faults):
            self.loop.call_later(rng.uniform(0.0, case.fault_window_s), self._inject_fault, rng.randrange(1 << 30))
        if case.leader_loss_at_s is not None:
            self.loop.call_later(case.leader_loss_at_s, self._kill_leader)
        if case.zone_loss_at_s is not None:
            self.loop.call_later(case.zone_loss_at_s, self._lose_zone)
        await asyncio.gather(*commands)
        for _ in range(case.operator_commands):
            self.loop.call_later(
                rng.uniform(1.0, case.fault_window_s), self._give_random_command, rng.randrange(1 << 30)
            )
        plan = await self._wait_for_plan(started_ms)
        if plan is None:
            return
        if plan.state == "halted":
            self.outcome.halt_reason = plan.state_reason
            self.outcome.rollbacks_tried += 1
            plan_id = plan.id
            await self._run_command(
                "an", lambda id: fleet_messages.SteerPlan(id, plan_id, "back"), fleet_messages.SteerAnswer
            )
            plan = await self._wait_for_plan(self.at())
        elif plan.direction == "back":
            self.outcome.rollbacks_tried += 1
            self.outcome.halt_reason = plan.state_reason
        if plan is None:
            return
        if plan.state != "over":
            self.outcome.stuck_plans += 1
            self.outcome.violations.append(
                f"{self.at():.0f} ms: the plan is {plan.state} after the end of all faults: {plan.state_reason}"
            )
        expected_version = VERSION if plan.direction == "to" else ""
        await asyncio.sleep(15.0)
        versions = {name: limiter.version for name, limiter in self.limiter_models.items()}
        mismatched = [
            name
            for name in self._names()
            if versions.get(name) != expected_version or self.limiter_models[name].is_drained
        ]
        if plan.state == "over" and plan.direction == "back":
            self.outcome.rollbacks_completed += not mismatched
        if plan.state == "over" and mismatched:
            self.outcome.stuck_plans += 1
            self.outcome.violations.append(f"{self.at():.0f} ms: {plan.outcome()}, but not at {', '.join(mismatched)}")
        self._check_history()

    def _check_history(self) -> None:
        outcome = self.outcome
        outcome.seconds = self.at() / 1000.0
        excesses = bound_conflicts(self._holdings, {UNAVAILABLE: float(self.max_unavailable)})
        outcome.over_budget += len(excesses)
        stale_actions = [*fencing_conflicts(self._acts), *generation_regressions(self._generations)]
        outcome.stale_actions += len(stale_actions)
        outcome.violations += [f"{clash.at:.0f} ms: {clash.text}" for clash in (*excesses, *stale_actions)]

    async def _wait_until(self, is_done: Callable[[], bool], timeout_s: float, what: str) -> bool:
        deadline_s = self.loop.time() + timeout_s
        while not is_done():
            if self.loop.time() > deadline_s:
                self.outcome.stuck_plans += 1
                self.outcome.violations.append(
                    f"{self.at():.0f} ms: timed out after {timeout_s:g} s waiting for {what}"
                )
                return False
            await asyncio.sleep(0.1)
        return True

    def _are_voters_ready(self) -> bool:
        members = [agent.consensus_member for agent in self.agents.values() if agent.consensus_member is not None]
        voters = [member for member in members if member.is_voting]
        return len(self.agents) == self.case.agents and len(voters) >= len(members[0].voters)

    def _newest_plan(self) -> Plan | None:
        ledgers = [
            self.agents[f"agent-{n}"].consensus_member.ledger  # type: ignore[union-attr]
            for n, process in self.agent_processes.items()
            if process.alive and f"agent-{n}" in self.agents
        ]
        newest = max(ledgers, key=lambda ledger: ledger.version, default=None)
        return newest.plans[-1] if newest is not None and newest.plans else None

    async def _wait_for_plan(self, started_ms: float) -> Plan | None:
        """Waits until the plan is over, or is still halted after the end of all faults."""
        case = self.case
        healed_s = started_ms / 1000.0 + (case.fault_window_s if case.faults or case.operator_commands else 0.0) + 35.0
        if case.leader_loss_at_s is not None:
            healed_s += case.leader_loss_at_s + LEADER_LOSS_S
        if case.suspends_agent:
            healed_s += SUSPENSION_S + CUT_AFTER_SUSPENSION_S
        waves = 1 + self.case.limiters // max(1, self.max_unavailable // 2)
        deadline_s = healed_s + SETTLED_WITHIN + 70.0 * waves
        while True:
            plan = self._newest_plan()
            self._record_plan(plan)
            if plan is not None and (
                plan.state == "over" or (plan.state == "halted" and self.at() / 1000.0 > healed_s)
            ):
                return plan
            if self.at() / 1000.0 > deadline_s:
                self.outcome.stuck_plans += 1
                status = (
                    f"{plan.state} in wave {plan.current_wave() + 1}, {plan.state_reason}"
                    if plan
                    else "there is no plan"
                )
                self.outcome.violations.append(f"{self.at():.0f} ms: the plan is not over: {status}")
                return None
            await asyncio.sleep(0.25)

    def _record_plan(self, plan: Plan | None) -> None:
        if plan is None:
            return
        if not self.outcome.first_wave and plan.direction == "to":
            self.outcome.first_wave = {unit.target for unit in plan.units if unit.wave == 0}
        previous = self.outcome.plan
        if previous is None or (previous.state, previous.direction) != (plan.state, plan.direction):
            self._plan_changed_at = self.at()
        if self.outcome.plan is None or self.outcome.plan.term != plan.term:
            self.outcome.leader_changes = max(0, plan.term - 1)
        if self.outcome.plan != plan:
            before = self.outcome.plan.state_reason if self.outcome.plan else ""
            self._log(
                f"plan {plan.state} {plan.direction} wave {plan.current_wave()} term {plan.term}"
                + (f": {plan.state_reason}" if plan.state_reason != before else "")
            )
        if (
            plan.state_reason
            and not self.outcome.halt_reason
            and (plan.state == "halted" or plan.state_reason.startswith(AUTOMATIC_ROLLBACK_PREFIX))
        ):
            self.outcome.halt_reason = plan.state_reason
        self.outcome.plan = plan

    async def _run_command(
        self, operator: str, make_request: Callable[[int], fleet_messages.Message], answer: Any
    ) -> Any:
        """Runs an operator's command in a process of its own and returns its answer."""
        process = self.process(f"operator-{operator}", self.agent_machine(0), {})
        done: asyncio.Future[Any] = self.loop.create_future()

        async def main() -> int:
            group = Group.read(self.folder / "group.toml", self.folder / f"token-{operator}")
            result = await plan_commands.ask_any(group, make_request, answer, 60.0)
            group.close()
            self._log(f"{operator}: {result.exit.name} {'; '.join(result.lines)}")
            if not done.done():
                done.set_result(result)
            return 0

        def exited() -> None:
            if not done.done():
                done.set_result(None)

        process.on_exit.append(exited)
        start(self.loop, process, main)
        return await done

    def _give_random_command(self, seed: int) -> None:
        """Gives a random command of an operator who does not know of the commands of the others."""
        plan = self._newest_plan()
        rng = random.Random(seed)
        if plan is None or plan.state == "over":
            return
        action = rng.choice(["halt", "halt", "go-on", "go-on", "back"])
        revision = plan.revision if rng.random() < 0.8 else plan.revision - 1
        self.loop.create_task(self._steer_plan(plan, action, revision, rng.choice(("an", "binh"))))

    async def _steer_plan(self, plan: Plan, action: str, revision: int, operator: str) -> None:
        started_ms = self.at()
        self._log(f"{operator} requests {action}")
        command = self._run_command(
            operator,
            lambda id: fleet_messages.SteerPlan(id, plan.id, action, revision),  # type: ignore[arg-type]
            fleet_messages.SteerAnswer,
        )
        if action == "halt" and plan.state == "running" and not self.case.faults:
            task: asyncio.Future[Any] = asyncio.ensure_future(command)
            while not all(
                agent.plan_coordinator.is_halted(known_plan)  # type: ignore[union-attr]
                for agent in self.agents.values()
                if (known_plan := agent.consensus_member.ledger.find_plan(plan.id))  # type: ignore[union-attr]
            ):
                await asyncio.sleep(0.01)
                if self.at() - started_ms > 5000.0:
                    break
            self.outcome.halt_ms.append(self.at() - started_ms)
            await task
        else:
            await command

    # Faults

    def _inject_fault(self, seed: int) -> None:
        rng = random.Random(seed)
        number = rng.randrange(self.case.agents)
        process, machine = self.agent_processes[number], self.agent_machine(number)
        what = rng.choice(["kill", "pause", "pause", "cut", "cut", "one-way", "crash", "disk", "clock"])
        duration_s = rng.choice([0.5, 3.0, 9.0, 30.0])
        self._log(f"agent-{number} {what} {duration_s:g} s")
        if what == "kill":
            self.signal(process, signal.SIGKILL)
        elif what == "pause":
            self.signal(process, signal.SIGSTOP)
            self.loop.call_later(duration_s, self.signal, process, signal.SIGCONT)
        elif what == "disk":
            machine.disk_failure = rng.choice(["full", "error"])
            self.loop.call_later(duration_s, setattr, machine, "disk_failure", "")
        elif what == "clock":
            machine.offset += rng.choice([-86_400_000.0, 3_600_000.0])
        elif what == "crash":
            limiter = self.limiters[rng.randrange(self.case.limiters)]
            if limiter is not None and limiter.alive:
                self._failed_pids.add(limiter.pid)
                self.signal(limiter, signal.SIGKILL)
        else:
            others = [self.agent_machine(n).name for n in range(self.case.agents) if n != number]
            pairs = [(machine.name, other) for other in others]
            if what == "cut":
                pairs += [(other, machine.name) for other in others]
            elif rng.random() < 0.5:
                pairs = [(other, machine.name) for other in others]
            self.ways.add_cuts(pairs)
            self.loop.call_later(duration_s, self.ways.remove_cuts, pairs)

    def _suspend_agent(self, name: str, plan: Plan) -> None:
        """Suspends the agent if the plan that it has just learned takes out one of its limiters."""
        number = int(name[6:])
        own_units = [unit for unit in plan.units if unit.stage == "out" and int(unit.target[1:]) in self._share(number)]
        if own_units and name != plan.leader:
            self._has_suspended_agent = True
            self._log(f"{name} is suspended")
            process = self.agent_processes[number]
            self.signal(process, signal.SIGSTOP)
            self.loop.call_later(SUSPENSION_S, self.signal, process, signal.SIGCONT)
            machine_name = self.agent_machine(number).name
            pairs = [
                (other, machine_name)
                for n in range(self.case.agents)
                if (other := self.agent_machine(n).name) != machine_name
            ]
            pairs += [(machine_name, other) for other, _ in pairs]
            self.ways.add_cuts(pairs)
            self.loop.call_later(SUSPENSION_S + CUT_AFTER_SUSPENSION_S, self.ways.remove_cuts, pairs)
            self.loop.call_later(
                2.0, lambda: self.loop.create_task(self._steer_plan(plan, "back", plan.revision, "an"))
            )

    def _kill_leader(self) -> None:
        plan = self._newest_plan()
        if plan is None or plan.state == "over":
            return
        number = int(plan.leader[6:])
        self._log(f"the leader {plan.leader} is killed")
        self._held_down_agents.add(number)
        self.signal(self.agent_processes[number], signal.SIGKILL)
        self.loop.call_later(LEADER_LOSS_S, self._restart_held_agent, number)
        self.loop.call_later(TAKEOVER_TIMEOUT_S, self._check_takeover, plan)

    def _check_takeover(self, before: Plan) -> None:
        plan = self._newest_plan()
        if plan is not None and plan.state == "running" and plan.term == before.term:
            self.outcome.stuck_plans += 1
            self.outcome.violations.append(f"{self.at():.0f} ms: no agent replaced the leader {before.leader}")

    def _restart_held_agent(self, number: int) -> None:
        self._held_down_agents.discard(number)
        self._start_agent(number)

    def _schedule_agent_restart(self, number: int) -> None:
        if number not in self._held_down_agents:
            super()._schedule_agent_restart(number)

    def _lose_zone(self) -> None:
        """Kills everything in the first zone and cuts it off for a while."""
        zone = self.machines[0].floor
        pairs = [(zone, "*"), ("*", zone)]
        self.ways.add_cuts(pairs)
        self.loop.call_later(ZONE_LOSS_S, self.ways.remove_cuts, pairs)
        self._log(f"zone {zone} is lost")
        for number, process in self.agent_processes.items():
            if self.agent_machine(number).floor == zone:
                self.signal(process, signal.SIGKILL)
        for limiter in self.limiters:
            if limiter is not None and limiter.alive and limiter.machine.floor == zone:
                self._failed_pids.add(limiter.pid)
                self.signal(limiter, signal.SIGKILL)

    def run(self) -> ReleaseOutcome:
        """Simulates the release; exceptions of the code under test are violations."""
        result = self.play()
        self.outcome.violations += [text for rule, _, text in result.broken]
        if result.ended != "finished":
            self.outcome.violations.append(f"{result.ended}: {result.why}")
        return self.outcome


def _with_rollback(policy: RolloutPolicy, automatic_rollback: bool) -> RolloutPolicy:
    return msgspec.structs.replace(policy, automatic_rollback=automatic_rollback)


def play(case: ReleaseCase, seed: int, log: bool = False) -> ReleaseOutcome:
    """Simulates a release.

    Args:
        case: The case to simulate.
        seed: Seed of all random numbers.
        log: Whether the outcome contains log lines.
    """
    return ReleaseWorld(case, seed, log).run()
