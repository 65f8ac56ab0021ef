"""Take an agent's part in the plans of its group.

An agent begins and steers plans for operators, leads a plan while it is the plan's leader, and executes the steps that
concern itself and its own limiters. `elderlock.rollout` makes the decisions; this module carries them out.

Each step is first chosen by a majority, and so stored durably by it, and then executed. An agent executes a plan only
as it is in a ledger that it knows to be chosen. It takes a target out of service only after it has read through a
majority that this is still wanted. A halt needs no majority to be in force: agents pass it on with every exchange. It
names the revision of the plan that it halts, and a halt of an older revision than the plan's has no effect.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Awaitable, Callable, Iterable, Mapping
from functools import partial
from typing import Literal, Protocol

from elderlock import logs
from elderlock.control.records import Key, Kind, Record, Records
from elderlock.fleet import messages
from elderlock.fleet.agent_store import StoreError
from elderlock.fleet.config import FileError
from elderlock.fleet.consensus.interfaces import ChangeResult
from elderlock.fleet.consensus.member import ConsensusMember
from elderlock.fleet.group.peer_link import PeerLink, gather_answers
from elderlock.fleet.plans.agent_release import AgentRelease
from elderlock.fleet.supervision.managed_limiter import ManagedLimiter
from elderlock.fleet.supervision.versions import Versions
from elderlock.rollout import plan_steering, plan_transitions, plans
from elderlock.rollout.disruption_budget import Inventory, budget_status_lines, refusal_reasons
from elderlock.rollout.metrics_history import MetricsHistory
from elderlock.rollout.permit_ledger import Ledger, LedgerError
from elderlock.rollout.plan_executor import LimiterPlanExecutor
from elderlock.rollout.plan_leader import LeaderAction, PlanLeader
from elderlock.rollout.plans import Plan, Unit
from elderlock.rollout.target_report import TargetReport

EXECUTE_INTERVAL_S = 0.1  # between checks for steps that this agent has to execute
LEAD_INTERVAL_S = 0.2  # between a leader's checks of its plan
HEARTBEAT_INTERVAL_S = 1.5  # between a leader's heartbeats in the ledger
TAKE_OVER_TIMEOUT_S = 5.0  # without a heartbeat, after which another agent takes the lead ...
TAKE_OVER_STAGGER_S = 0.7  # ... and so much later for each agent that is listed before it in the group's file
MAXIMUM_HALTS = 20  # that are kept; a halt of a plan that this agent does not know is never dropped otherwise
MAXIMUM_ACTIONS_PER_PASS = 50  # of a leader, in one check of its plan
SERVER_REPORT_INTERVAL_S = 0.5  # between requests for the progress of the servers of a drain
SILENT_AGENT_AGE_MS = 4000.0  # an agent whose last report is older is not expected to vote
SWITCH_RETRY_INTERVAL_S = 2.0  # after which the launcher is asked again for a switch that it did not make
PEER_TIMEOUT_S = 1.0  # for the answer of another agent

log = logs.get_logger(__name__)


class Owner(Protocol):
    """What `PlanCoordinator` needs of its agent."""

    name: str
    records: Records
    limiters: dict[str, ManagedLimiter]
    peers: list[PeerLink]
    versions: Versions
    agent_release: AgentRelease

    def inventory(self) -> Inventory:
        """Return what the agent knows of the group's servers and limiters."""

    def limiter_zones(self) -> list[tuple[str, str]]:
        """Return all limiters that are known, with their zones."""

    def agent_zones(self) -> list[tuple[str, str]]:
        """Return all agents of the group, with their zones."""

    def peer_limiter_briefs(self) -> list[tuple[str, float, messages.LimiterBrief]]:
        """Return other agents' reports on their limiters: the agent, the report's age in ms, and the report."""

    def commit_record(self, record: Record, what: str) -> None:
        """Store the record with a line in the audit log and send it to the limiters and the other agents.

        Raises:
            StoreError: The record cannot be stored; nothing was done.
        """

    def audit(self, who: str, role: str, what: str, outcome: str) -> None:
        """Add a line to the audit log.

        Raises:
            StoreError: The line cannot be stored.
        """

    async def report_progress(self, progress: messages.Progress) -> messages.Progressed:
        """Report how far the records of some targets have come at this agent's limiters."""

    def notify_peers(self) -> None:
        """Start an exchange with all other agents at once."""

    def notify_peer(self, name: str) -> None:
        """Start an exchange with one other agent at once."""


class PlanCoordinator:
    """An agent's part in the plans of its group.

    Attributes:
        halts: The halts in force, by plan id: the halted revision and the reason.
    """

    def __init__(
        self, owner: Owner, consensus: ConsensusMember, agent_order: Iterable[str], rng: random.Random
    ) -> None:
        """Start without plans.

        Args:
            owner: The agent.
            consensus: The agent's part in the consensus.
            agent_order: The names of all agents, in the order in which they take over the lead of a plan.
            rng: The source of random delays.
        """
        self._owner, self._consensus, self._rng = owner, consensus, rng
        agent_order = list(agent_order)
        self._rank = agent_order.index(owner.name) if owner.name in agent_order else len(agent_order)
        self._metrics_history = MetricsHistory()
        self._leaders: dict[tuple[str, int], PlanLeader] = {}
        # By plan id: the term, heartbeat and revision that were seen last, and when they changed, in ms.
        self._last_heartbeats: dict[str, tuple[tuple[int, int, int], float]] = {}
        self._heartbeat_at_ms = 0.0  # when this agent last recorded a heartbeat
        self._executors = {name: LimiterPlanExecutor() for name in owner.limiters}
        self._busy_targets: set[str] = set()  # targets with an action in progress
        self.halts: dict[str, tuple[int, str]] = {}  # by plan id: the halted revision and the reason
        self._server_reports: dict[str, TargetReport] = {}
        self._server_reports_at_ms = 0.0
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self) -> None:
        """Start to execute and to lead plans."""
        self._start_task(self._repeat(self._execute, EXECUTE_INTERVAL_S))
        self._start_task(self._repeat(self._lead, LEAD_INTERVAL_S))

    def close(self) -> None:
        """Stop all tasks."""
        for task in self._tasks:
            task.cancel()

    def _start_task(self, work: Awaitable[None]) -> None:
        task: asyncio.Task[None] = asyncio.get_running_loop().create_task(work)  # type: ignore[arg-type]
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _repeat(self, work: Callable[[], Awaitable[None]], interval_s: float) -> None:
        while True:
            try:
                await work()
            except (StoreError, LedgerError) as error:
                log.error("a plan cannot proceed", agent=self._owner.name, error=str(error))
            except Exception:
                # A fault in one plan must not stop the task that serves all plans. It is logged with its traceback.
                log.exception("a plan cannot proceed", agent=self._owner.name)
            await asyncio.sleep(interval_s * self._rng.uniform(0.8, 1.2))

    @staticmethod
    def _now_ms() -> float:
        return time.monotonic() * 1000.0

    @property
    def _is_given_up(self) -> bool:
        return self._owner.name in dict(self._consensus.ledger.given_up)

    # Halts

    def is_halted(self, plan: Plan) -> bool:
        """Whether a plan is halted, in the ledger or by a halt that only some agents have heard of."""
        halt = self.halts.get(plan.id)
        return plan.state != "running" or (halt is not None and halt[0] >= plan.revision)

    def record_halts(self, halts: Iterable[tuple[str, int, str]]) -> None:
        """Take halts that another agent or an operator sent: the plan's id, its revision and the reason."""
        has_news = False
        for plan_id, revision, reason in halts:
            plan = self._consensus.ledger.find_plan(plan_id)
            if plan is not None and plan.revision > revision:
                continue  # the plan was resumed since, or its ledger entry has this halt
            recorded_halt = self.halts.get(plan_id)
            if recorded_halt is None or recorded_halt[0] < revision:
                self.halts[plan_id], has_news = (revision, reason), True
        if has_news:
            self._owner.notify_peers()

    def halts_to_send(self) -> tuple[tuple[str, int, str], ...]:
        """Drop the halts that have no effect any more, and return the others."""
        while len(self.halts) > MAXIMUM_HALTS:
            del self.halts[next(iter(self.halts))]
        for plan_id, (revision, _) in list(self.halts.items()):
            plan = self._consensus.ledger.find_plan(plan_id)
            if plan is not None and (plan.revision > revision or plan.state == "over"):
                del self.halts[plan_id]
        return tuple((plan_id, revision, reason) for plan_id, (revision, reason) in self.halts.items())

    # Operators

    async def begin(self, request: messages.BeginPlan, requested_by: str, now_unix_ms: float) -> messages.BeginAnswer:
        """Begin a plan for an operator, or only say what it would do.

        Args:
            request: The plan.
            requested_by: The operator.
            now_unix_ms: The time of the request.
        """
        name = self._owner.name
        existing_plan = self._consensus.ledger.find_plan(request.origin)
        if existing_plan is not None:
            return messages.BeginAnswer(request.id, name, "begun", existing_plan)
        inventory = self._owner.inventory()
        servers = request.targets if request.kind == "drain" else ()
        unknown_reasons: list[str] = []
        refusals = await self._refusal_reasons(request, inventory, unknown_reasons)
        if refusals or unknown_reasons:
            is_another_agent_needed = not refusals or inventory.lacks_knowledge_of(
                [("box", server) for server in servers]
            )
            return messages.BeginAnswer(
                request.id, name, "away" if is_another_agent_needed else "refused", None, (*refusals, *unknown_reasons)
            )
        plan = self._make_plan(request, requested_by, now_unix_ms)
        if request.dry:
            return messages.BeginAnswer(
                request.id,
                name,
                "planned",
                plan,
                tuple(self._budget_objections(plan)),
                tuple(self._preview_lines(plan)),
            )

        def change(ledger: Ledger) -> Ledger | list[str]:
            result = plan_transitions.begin_plan(ledger, plan)
            # The agent that begins a plan leads it, so that the plan does not wait for a leader.
            return (
                result
                if isinstance(result, list) or result is ledger
                else plan_transitions.take_lead(result, plan.id, name, 0)
            )

        result = await self._consensus.change(change)
        if not result.chosen:
            outcome = "refused" if result.reasons else "away"
            return messages.BeginAnswer(
                request.id,
                name,
                outcome,  # type: ignore[arg-type]
                None,
                result.reasons or (self._consensus.no_quorum_text(),),
            )
        return messages.BeginAnswer(request.id, name, "begun", self._consensus.ledger.find_plan(plan.id))

    async def _refusal_reasons(
        self, request: messages.BeginPlan, inventory: Inventory, unknown_reasons: list[str]
    ) -> list[str]:
        """Return why a plan cannot be carried out, as far as this agent knows, without regard to the budget.

        Args:
            request: The plan.
            inventory: What this agent knows of the group.
            unknown_reasons: Takes a text for each agent that does not answer. Another agent may get their answers.
        """
        if inventory.insufficient_reason:
            return [inventory.insufficient_reason]
        if request.kind == "agents":
            known_names = {self._owner.name, *(peer.name for peer in self._owner.peers)}
        else:
            known_names = {
                item.name for item in inventory.items_of_kind("box" if request.kind == "drain" else "limiter")
            }
        targets = set(request.targets) | {name for wave in request.waves for name in wave}
        unknown = sorted(targets - known_names)
        if unknown:
            return [f"{', '.join(unknown)} is not known"]
        if request.kind == "drain":
            return [] if targets else ["no server is named"]
        reasons: list[str] = []
        if request.kind == "agents":
            briefs = self._owner.agent_release.briefs()
            for name in sorted(targets or known_names):
                age_ms, brief = briefs.get(name, (-1.0, messages.AgentBrief()))
                if not 0.0 <= age_ms < 8000.0:
                    reasons.append(f"agent {name} was not heard from lately")
                elif not brief.has_launcher:
                    reasons.append(f"agent {name} was not started by a base (elderlock base FILE)")
        if not request.version:
            return reasons
        answers = await gather_answers([peer.request(messages.ListPlans, PEER_TIMEOUT_S) for peer in self._owner.peers])
        versions_by_agent = {self._owner.name: dict(self._owner.versions.digests())}
        for peer, answer in zip(self._owner.peers, answers, strict=True):
            if isinstance(answer, messages.PlansStatus):
                versions_by_agent[peer.name] = dict(answer.versions)
            else:
                unknown_reasons.append(f"agent {peer.name} does not say whether it has version {request.version}")
        agents_without_version = [
            name for name, versions in sorted(versions_by_agent.items()) if request.version not in versions
        ]
        reasons += [f"agent {name} has no version {request.version}" for name in agents_without_version]
        if (
            len({versions[request.version] for versions in versions_by_agent.values() if request.version in versions})
            > 1
        ):
            reasons.append(f"version {request.version} differs between agents")
        return reasons

    def _make_plan(self, request: messages.BeginPlan, requested_by: str, now_unix_ms: float) -> Plan:
        if request.kind == "drain":
            waves = request.waves or tuple((target,) for target in request.targets)
            return plans.new_drain_plan(
                request.origin, waves, requested_by, request.reason, now_unix_ms, request.policy
            )
        if request.kind == "agents":
            previous_versions = {name: brief.version for name, (_, brief) in self._owner.agent_release.briefs().items()}
        else:
            previous_versions = dict(self._consensus.ledger.limiter_versions)
        if request.waves:
            waves = request.waves
        else:
            stopped_names = self._stopped_limiters()
            all_zones = self._owner.agent_zones() if request.kind == "agents" else self._owner.limiter_zones()
            zones = [
                each
                for each in all_zones
                if (each[0] in request.targets if request.targets else each[0] not in stopped_names)
            ]
            waves = tuple(tuple(wave) for wave in plans.waves_over_zones(zones))
        kind: Literal["release", "agents"] = "agents" if request.kind == "agents" else "release"
        return plans.new_release_plan(
            request.origin,
            request.version,
            waves,
            previous_versions,
            requested_by,
            request.reason,
            now_unix_ms,
            request.policy,
            kind,
        )

    def _stopped_limiters(self) -> set[str]:
        own_names = {name for name, limiter in self._owner.limiters.items() if not limiter.supervisor.wanted}
        return own_names | {brief.name for _, _, brief in self._owner.peer_limiter_briefs() if brief.phase == "stopped"}

    def _budget_objections(self, plan: Plan) -> list[str]:
        """Return why the budget refuses each wave, if all waves before it are done and nothing else is out."""
        if plan.kind == "agents":
            return []
        inventory, holders = self._owner.inventory(), self._consensus.ledger.permit_holders()
        kind, reasons = plan_transitions.permit_kind(plan), []
        for wave in range(plan.wave_count()):
            keys = [(kind, unit.target) for unit in plan.units if unit.wave == wave]
            if refusals := refusal_reasons(self._consensus.budget, inventory, holders, keys[:1]):
                reasons.append(f"wave {wave + 1} cannot begin: {'; '.join(refusals)}")
        return reasons

    def _preview_lines(self, plan: Plan) -> list[str]:
        """Describe the waves of a plan, and the budget, for people."""
        if plan.kind == "agents":
            waves = [[unit.target for unit in plan.units if unit.wave == wave] for wave in range(plan.wave_count())]
            return [
                f"wave {number}: {', '.join(names)} (at most one voter at a time)"
                for number, names in enumerate(waves, 1)
            ]
        inventory, holders = self._owner.inventory(), dict(self._consensus.ledger.permit_holders())
        kind, lines = plan_transitions.permit_kind(plan), []
        for wave in range(plan.wave_count()):
            names = [unit.target for unit in plan.units if unit.wave == wave]
            keys: list[Key] = [(kind, name) for name in names]
            concurrent_count, wave_holders = 0, dict(holders)
            for key in keys:
                if not refusal_reasons(self._consensus.budget, inventory, wave_holders, [key]):
                    wave_holders[key] = plan.requested_by
                    concurrent_count += 1
            limit_text = f" ({concurrent_count} at once)" if concurrent_count < len(names) else ""
            lines.append(f"wave {wave + 1}: {', '.join(names)}{limit_text}")
            if plan.kind == "drain":
                holders = wave_holders  # drained targets stay out of service in the later waves
        return lines + budget_status_lines(self._consensus.budget, inventory, self._consensus.ledger.permit_holders())

    async def steer(self, request: messages.SteerPlan, requested_by: str) -> messages.SteerAnswer:
        """Carry out an operator's command on a plan, or on an agent that is lost.

        Args:
            request: The command.
            requested_by: The operator.
        """
        ledger, name = self._consensus.ledger, self._owner.name
        reason = f": {request.reason}" if request.reason else ""
        if request.action in ("give-up", "take-in"):
            return await self._change_membership(request, requested_by)
        plan = ledger.find_plan(request.plan)
        if request.action == "halt":
            if plan is None or plan.state == "running":
                # The halt is in force here at once, and at the other agents from the next exchange on, whether or not a
                # majority answers. The plan may be one that the operator saw elsewhere and this agent does not know.
                revision = plan.revision if plan is not None else request.revision
                self.record_halts([(request.plan, revision, f"halted by {requested_by}{reason}")])
            result = await self._consensus.change(
                lambda current_ledger: plan_steering.halt_plan(
                    current_ledger, request.plan, f"halted by {requested_by}{reason}"
                )
            )
        elif request.action == "go-on":
            result = await self._consensus.change(
                lambda current_ledger: plan_steering.resume_plan(
                    current_ledger, request.plan, request.revision, requested_by
                )
            )
        else:
            result = await self._consensus.change(
                lambda current_ledger: plan_steering.roll_back_plan(
                    current_ledger, request.plan, f"rolled back by {requested_by}{reason}"
                )
            )
        is_done = result.chosen or result.reasons == (plan_transitions.ALREADY_DONE,)
        if not is_done:
            outcome = "refused" if result.reasons else "away"
            return messages.SteerAnswer(
                request.id,
                name,
                outcome,  # type: ignore[arg-type]
                result.reasons or (self._consensus.no_quorum_text(),),
                plan,
            )
        self.halts_to_send()
        return messages.SteerAnswer(request.id, name, "done", result.reasons, result.ledger.find_plan(request.plan))

    async def _change_membership(self, request: messages.SteerPlan, requested_by: str) -> messages.SteerAnswer:
        """Give up an agent that is lost for good, or readmit it."""
        agent_name, name = request.plan, self._owner.name
        if request.action == "take-in":
            result = await self._consensus.change(
                lambda current_ledger: plan_steering.readmit_agent(current_ledger, agent_name)
            )
        else:
            briefs = [
                (age_ms, brief) for agent, age_ms, brief in self._owner.peer_limiter_briefs() if agent == agent_name
            ]
            if agent_name not in {peer.name for peer in self._owner.peers}:
                unknown = f"agent {agent_name} is not another agent of the group's file"
                return messages.SteerAnswer(request.id, name, "refused", (unknown,))
            if any(0 <= age_ms < 8000.0 for age_ms, _ in briefs):
                return messages.SteerAnswer(
                    request.id, name, "refused", (f"agent {agent_name} is alive: it was heard from less than 8 s ago",)
                )
            keys: list[Key] = [("limiter", brief.name) for _, brief in briefs]
            result = await self._consensus.change(
                lambda current_ledger: plan_steering.give_up_agent(current_ledger, agent_name, keys, requested_by)
            )
        outcome = "done" if result.chosen else "refused" if result.reasons else "away"
        reasons = result.reasons or (() if result.chosen else (self._consensus.no_quorum_text(),))
        return messages.SteerAnswer(request.id, name, outcome, reasons)  # type: ignore[arg-type]

    def plans_status(self, request: messages.ListPlans) -> messages.PlansStatus:
        """Return what this agent knows of the plans, and the versions that its limiters run."""
        ledger, name = self._consensus.ledger, self._owner.name
        led_plans = [plan for plan in ledger.active_plans() if plan.leader == name]
        waiting_texts = [
            f"waits for {'; '.join(leader.waiting_for)}"
            for plan in led_plans
            if (leader := self._leaders.get((plan.id, plan.term))) is not None and leader.waiting_for
        ]
        wanted_versions = dict(ledger.limiter_versions)
        running_versions = tuple(
            messages.RunningVersion(each, limiter.version(), wanted_versions.get(each, ""), limiter.progress)
            for each, limiter in self._owner.limiters.items()
        )
        return messages.PlansStatus(
            request.id,
            name,
            ledger.version,
            ledger.plans,
            tuple(plan.id for plan in led_plans),
            tuple(waiting_texts),
            running_versions,
            self._owner.versions.digests(),
            ledger.given_up,
            self.halts_to_send(),
            ledger.permits,
            self._owner.agent_release.brief(),
        )

    # Executing plans for this agent and its limiters

    def catch_up(self) -> None:
        """Set the version of each limiter's next start to the one in the ledger.

        The group may have agreed on it while this agent was down, or the store may have lost it. For a limiter that is
        out for a plan, the plan's own step sets the version.

        Raises:
            StoreError: The version cannot be stored.
        """
        ledger = self._consensus.ledger
        wanted_versions = dict(ledger.limiter_versions)
        targets_out = {unit.target for plan in ledger.active_plans() for unit in plan.units if unit.stage == "out"}
        for name, limiter in self._owner.limiters.items():
            if wanted_versions.get(name, "") != limiter.wanted_version and name not in targets_out:
                limiter.set_wanted_version(
                    wanted_versions.get(name, ""), max(ledger.generation, limiter.wanted_generation + 1)
                )

    async def _execute(self) -> None:
        """Execute the steps of all plans that concern this agent and its limiters."""
        self.catch_up()
        if not self._owner.agent_release.has_majority and await self._consensus.read() is not None:
            self._owner.agent_release.on_majority_answer()
        ledger = self._consensus.ledger
        if self._is_given_up:
            return
        for plan in ledger.plans:
            if plan.kind == "agents" and (unit := plan.find_unit(self._owner.name)) is not None:
                # Of the finished releases of agents, only the newest one still determines a version.
                if plan.state != "over" or plan is [each for each in ledger.plans if each.kind == "agents"][-1]:
                    self._execute_own_unit(plan, unit)
                continue
            for unit in plan.units if plan.kind == "release" else ():
                is_over_and_done = plan.state == "over" and unit.stage == "done"
                if (
                    unit.target in self._executors
                    and unit.target not in self._busy_targets
                    and (plan.state != "over" or is_over_and_done)
                ):
                    self._execute_unit(plan, unit)

    def _execute_unit(self, plan: Plan, unit: Unit) -> None:
        limiter, executor = self._owner.limiters[unit.target], self._executors[unit.target]
        if unit.stage == "waiting":
            return
        record = self._owner.records.get("limiter", unit.target)
        # A finished plan only brings a limiter back into service, and only if there is no newer record since.
        if plan.state == "over" and (record is None or record.generation >= unit.generation):
            return
        if unit.stage == "out":
            limiter.link.wake()  # asks for its state at once, as the plan waits for it
        observation = limiter.observe(record)
        previous_progress = executor.progress
        action = executor.next_action(plan, unit, observation, self._now_ms(), self.is_halted(plan))
        limiter.progress = executor.progress
        if executor.progress != previous_progress:
            self._owner.notify_peer(plan.leader)
        if action is not None:
            self._busy_targets.add(unit.target)
            self._start_task(self._run_limiter_action(action, plan, unit))

    def _execute_own_unit(self, plan: Plan, unit: Unit) -> None:
        """Execute this agent's own step in a release of agents.

        The launcher says which version this process runs.
        """
        if self._owner.name in self._busy_targets:
            return
        action, has_news = self._owner.agent_release.next_action(plan, unit, self.is_halted(plan))
        if has_news:
            self._owner.notify_peer(plan.leader)
        if action == "settle":
            self._owner.agent_release.settle()
        elif action == "switch":
            self._busy_targets.add(self._owner.name)
            self._start_task(self._switch_agent(plan, unit))

    async def _switch_agent(self, plan: Plan, unit: Unit) -> None:
        try:
            if await self._is_still_out(plan, unit) or (unit.stage == "done" and await self._is_still_done(plan, unit)):
                version = plan.target_version(unit)
                what = f"this agent switches to {f'version {version}' if version else 'the version of its base'}"
                self._owner.audit(self._owner.name, "agent", what, plan.id[:8])
                self._owner.agent_release.request_switch(plan, unit)
                await asyncio.sleep(SWITCH_RETRY_INTERVAL_S)
        except (StoreError, LedgerError, FileError) as error:
            log.error("a step of a plan failed and is retried", agent=self._owner.name, step="switch", error=str(error))
            await asyncio.sleep(SWITCH_RETRY_INTERVAL_S)
        finally:
            self._busy_targets.discard(self._owner.name)

    async def _run_limiter_action(self, action: str, plan: Plan, unit: Unit) -> None:
        limiter, executor = self._owner.limiters[unit.target], self._executors[unit.target]
        try:
            if action == "undrain":
                self._commit_drain_record(plan, unit, False)
            elif await self._is_still_out(plan, unit):
                if action == "drain":
                    self._commit_drain_record(plan, unit, True)
                else:
                    limiter.set_wanted_version(plan.target_version(unit), unit.generation)
                    restarts = limiter.supervisor.restarts
                    limiter.switch()
                    executor.on_switched(self._now_ms(), restarts)
                    version = plan.target_version(unit)
                    what = f"{unit.target} switches to {f'version {version}' if version else 'the version of the file'}"
                    self._owner.audit(self._owner.name, "agent", what, plan.id[:8])
        except (StoreError, LedgerError) as error:
            log.error(
                "a step of a plan failed and is retried",
                agent=self._owner.name,
                limiter=unit.target,
                step=action,
                error=str(error),
            )
            await asyncio.sleep(EXECUTE_INTERVAL_S)
        finally:
            self._busy_targets.discard(unit.target)

    def _commit_drain_record(self, plan: Plan, unit: Unit, is_drained: bool) -> None:
        kind = plan_transitions.permit_kind(plan)
        existing_record = self._owner.records.get(kind, unit.target)
        if existing_record is not None and existing_record.generation >= unit.generation:
            return
        verb = "drain" if is_drained else "undrain"
        record = Record(
            kind,
            unit.target,
            is_drained,
            unit.generation,
            plan.permit_origin(unit),
            plan.requested_by,
            time.time() * 1000.0,
            f"{plan.kind} {plan.id[:8]}",
        )
        self._owner.commit_record(record, f"{verb} {kind} {unit.target} for {plan.kind} {plan.id[:8]}")

    async def _is_still_out(self, plan: Plan, unit: Unit) -> bool:
        """Whether the unit is still out of service, read through a majority.

        An agent that was suspended or cut off learns here what has changed meanwhile.
        """
        ledger = await self._consensus.read()
        if ledger is None or self._owner.name in dict(ledger.given_up):
            return False
        current = ledger.find_plan(plan.id)
        return (
            current is not None
            and current.find_unit(unit.target) == unit
            and current.state == "running"
            and not self.is_halted(plan)
        )

    async def _is_still_done(self, plan: Plan, unit: Unit) -> bool:
        """Whether the unit is still done in the newest plan of its kind, which may be over, read through a majority."""
        ledger = await self._consensus.read()
        if ledger is None or self._owner.name in dict(ledger.given_up):
            return False
        newest = [each for each in ledger.plans if each.kind == plan.kind][-1:]
        return (
            bool(newest)
            and newest[0].id == plan.id
            and newest[0].find_unit(unit.target) == unit
            and newest[0].state != "halted"
        )

    # Leading

    async def _lead(self) -> None:
        """Record the metrics, and lead the plans whose leader is this agent or has stopped its heartbeats."""
        now_ms = self._now_ms()
        for name, limiter in self._owner.limiters.items():
            self._metrics_history.record(name, limiter.answer_metrics(), now_ms)
        for _, _, brief in self._owner.peer_limiter_briefs():
            self._metrics_history.record(brief.name, brief.answer_metrics, now_ms)
        for plan in self._consensus.ledger.active_plans():
            halt = self.halts.get(plan.id)
            if halt is not None and halt[0] == plan.revision and plan.state == "running":
                await self._consensus.change(
                    partial(plan_steering.halt_plan, plan_id=plan.id, reason=halt[1], revision=halt[0])
                )
                continue
            if plan.state != "running" or self._is_given_up:
                self._last_heartbeats.pop(plan.id, None)
                continue
            if plan.leader == self._owner.name:
                await self._lead_plan(plan)
                continue
            heartbeat = (plan.term, plan.heartbeat, plan.revision)
            last_seen = self._last_heartbeats.get(plan.id)
            if last_seen is None or last_seen[0] != heartbeat:
                self._last_heartbeats[plan.id] = (heartbeat, now_ms)
            elif now_ms - last_seen[1] > 1000.0 * (TAKE_OVER_TIMEOUT_S + TAKE_OVER_STAGGER_S * self._rank):
                self._last_heartbeats[plan.id] = (heartbeat, now_ms)
                result = await self._consensus.change(
                    partial(plan_transitions.take_lead, plan_id=plan.id, agent=self._owner.name, after_term=plan.term)
                )
                if result.chosen:
                    log.info("takes over the lead of a plan", agent=self._owner.name, plan=plan.id, leader=plan.leader)
        active_terms = {(plan.id, plan.term) for plan in self._consensus.ledger.active_plans()}
        self._leaders = {key: leader for key, leader in self._leaders.items() if key in active_terms}

    async def _lead_plan(self, plan: Plan) -> None:
        """Carry out the next steps of a plan, as it is in the ledger.

        An agent that wrongly believes to be the leader learns so from the first step that it proposes.
        """
        now_ms, own_name = self._now_ms(), self._owner.name
        leader = self._leaders.get((plan.id, plan.term))
        if leader is None:
            leader = self._leaders[plan.id, plan.term] = PlanLeader(now_ms, self._metrics_history)
        if now_ms - self._heartbeat_at_ms > 1000.0 * HEARTBEAT_INTERVAL_S:
            result = await self._consensus.change(
                lambda current_ledger: plan_transitions.record_heartbeat(current_ledger, plan.id, own_name, plan.term)
            )
            if not result.chosen:
                return
            self._heartbeat_at_ms = now_ms
        for _ in range(MAXIMUM_ACTIONS_PER_PASS):
            current = self._consensus.ledger.find_plan(plan.id)
            if current is None or (current.leader, current.term) != (own_name, plan.term) or self.is_halted(current):
                return
            reports = await self._target_reports(current)
            action = leader.next_action(current, reports, self._now_ms())
            if action is None or not await self._apply_leader_action(current, leader, action):
                return

    async def _apply_leader_action(self, plan: Plan, leader: PlanLeader, action: LeaderAction) -> bool:
        """Propose a step, and return whether the ledger changed, so that there may be another one.

        After a refusal, it returns whether a step with fewer targets may be tried.
        """
        change = self._ledger_change(plan, action)
        result: ChangeResult = await self._consensus.change(change)
        if action.kind == "send":
            if result.chosen:
                leader.on_sent()
            elif result.reasons:
                leader.on_refused(result.reasons, len(action.targets), self._now_ms())
                return len(action.targets) > 1
        if action.kind == "halt" and result.chosen:
            log.warning("a plan is halted automatically", agent=self._owner.name, plan=plan.id, why=action.reason)
            self._owner.audit(self._owner.name, "agent", f"halts {plan.kind} {plan.id[:8]}", action.reason[:400])
        return result.chosen

    def _ledger_change(self, plan: Plan, action: LeaderAction) -> Callable[[Ledger], Ledger | list[str]]:
        plan_id, own_name, term, generation = (
            plan.id,
            self._owner.name,
            plan.term,
            self._owner.records.greatest_generation(),
        )
        match action.kind:
            case "send":
                if plan.kind == "agents":
                    voters, silent_agents = self._consensus.voters, self._silent_agents()
                    return lambda current_ledger: plan_transitions.transition_agents_waiting_to_out(
                        current_ledger, plan_id, own_name, term, action.targets, voters, silent_agents, generation
                    )
                inventory, budget, now_unix_ms = self._owner.inventory(), self._consensus.budget, time.time() * 1000.0
                return lambda current_ledger: plan_transitions.transition_waiting_to_out(
                    current_ledger, plan_id, own_name, term, action.targets, budget, inventory, generation, now_unix_ms
                )
            case "serve":
                return lambda current_ledger: plan_transitions.transition_to_trial(
                    current_ledger, plan_id, own_name, term, action.targets[0], generation
                )
            case "pass":
                return lambda current_ledger: plan_transitions.transition_to_done(
                    current_ledger, plan_id, own_name, term, action.targets
                )
            case "close":
                return lambda current_ledger: plan_transitions.finish_plan(current_ledger, plan_id, own_name, term)
            case "halt":
                return lambda current_ledger: plan_steering.halt_plan(
                    current_ledger, plan_id, action.reason, plan.revision, plan.policy.automatic_rollback
                )

    # Reports for a leader

    async def _target_reports(self, plan: Plan) -> Mapping[str, TargetReport]:
        if plan.kind == "drain":
            return await self._make_server_reports(plan)
        if plan.kind == "agents":
            return self._owner.agent_release.target_reports()
        reports: dict[str, TargetReport] = {}
        for name, limiter in self._owner.limiters.items():
            age_ms = self._now_ms() - 1000.0 * limiter.link.state_at_s if limiter.link.state is not None else 0.0
            # This agent's own report is always fresh, whatever the limiter does.
            reports[name] = self._limiter_report(plan, limiter.brief(self._owner.records), min(age_ms, 0.0))
        for _, age_ms, brief in self._owner.peer_limiter_briefs():
            reports[brief.name] = self._limiter_report(plan, brief, age_ms)
        return reports

    def _silent_agents(self) -> list[str]:
        briefs = self._owner.agent_release.briefs()
        names = [peer.name for peer in self._owner.peers]
        return [name for name in names if not 0.0 <= briefs.get(name, (-1.0, None))[0] < SILENT_AGENT_AGE_MS]

    def _limiter_report(self, plan: Plan, brief: messages.LimiterBrief, age_ms: float) -> TargetReport:
        record = self._owner.records.get("limiter", brief.name)
        is_drained_by_others = record is not None and record.is_drained and not record.origin.startswith(f"{plan.id}/")
        return TargetReport(
            brief.name,
            *brief.progress,
            brief.phase,
            brief.is_serving,
            brief.restarts,
            record.requested_by if record is not None and is_drained_by_others else "",
            brief.answer_metrics,
            age_ms,
        )

    async def _make_server_reports(self, plan: Plan) -> Mapping[str, TargetReport]:
        """Commit the records of a drain's servers, and ask all agents how far they have come."""
        now_ms = self._now_ms()
        units = [unit for unit in plan.units if unit.stage in ("out", "trial")]
        if now_ms - self._server_reports_at_ms < 1000.0 * SERVER_REPORT_INTERVAL_S and all(
            self._server_reports.get(unit.target, TargetReport("")).generation == unit.generation for unit in units
        ):
            return self._server_reports
        self._server_reports_at_ms, self._server_reports = now_ms, {}
        for unit in units:
            if unit.stage == "out" and not await self._is_still_out(plan, unit):
                continue
            self._commit_drain_record(plan, unit, unit.stage == "out")
        targets: tuple[tuple[Kind, str], ...] = tuple(("box", unit.target) for unit in units)
        if not targets:
            return self._server_reports

        def make_message(request_id: int) -> messages.Progress:
            return messages.Progress(request_id, targets)

        answers: list[messages.FromAgent | None] = [await self._owner.report_progress(make_message(0))]
        answers += await gather_answers([peer.request(make_message, PEER_TIMEOUT_S) for peer in self._owner.peers])
        for unit in units:
            is_reached, open_requests, has_all_answers = True, 0, True
            for answer in answers:
                if not isinstance(answer, messages.Progressed):
                    has_all_answers = False
                    continue
                unit_reach = [reach for reach in answer.reach if reach.target == unit.target]
                has_record = any(
                    record.target == unit.target and record.generation >= unit.generation for record in answer.records
                )
                is_reached &= has_record and all(reach.state in ("reached", "at-start") for reach in unit_reach)
                open_requests += sum(reach.open_requests for reach in unit_reach)
            is_done = has_all_answers and is_reached
            is_up = is_done and (unit.stage != "out" or open_requests == 0)
            self._server_reports[unit.target] = TargetReport(
                unit.target, unit.generation, "up" if is_up else "", is_serving=is_done
            )
        return self._server_reports
