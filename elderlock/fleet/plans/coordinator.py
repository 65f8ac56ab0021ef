"""An agent's part in plans that live in the group: begins and steers them for operators, leads one when it is its turn,
carries out what concerns its own limiters. What is decided stands in `elderlock.rollout`; this carries it out.

Order of each step: chosen by a majority (so durable there), then acted on. An agent acts on a plan only as it is in the
ledger that it knows to be chosen, and takes something out only after it has read through a majority that this still
stands. A halt needs no majority to be in force: it is passed on with every word between agents, and kept out of the
ledger's way by its turn (one that is older than the plan's says nothing any more).
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
from elderlock.fleet import messages as f
from elderlock.fleet.agent_store import StoreError
from elderlock.fleet.config import FileError
from elderlock.fleet.consensus.member import ChangeResult, ConsensusMember, answers_of
from elderlock.fleet.group.peer_link import PeerLink
from elderlock.fleet.plans.agent_release import AgentRelease
from elderlock.fleet.supervision.managed_limiter import ManagedLimiter
from elderlock.fleet.supervision.versions import Versions
from elderlock.rollout import plan_steering, plans
from elderlock.rollout import plan_transitions as steps
from elderlock.rollout.disruption_budget import Inventory, budget_status_lines, refusal_reasons
from elderlock.rollout.metrics_history import MetricsHistory
from elderlock.rollout.permit_ledger import Ledger, LedgerError
from elderlock.rollout.plan_executor import LimiterPlanExecutor
from elderlock.rollout.plan_leader import LeaderAction, PlanLeader
from elderlock.rollout.plans import Plan, Unit
from elderlock.rollout.target_report import TargetReport

LOOK_EVERY = 0.1  # s between looks at what is to be done here
LEAD_EVERY = 0.2  # s between looks of a leader at its plan
BEAT_EVERY = 1.5  # s between signs of life of a leader, in the ledger
TAKE_OVER_AFTER = 5.0  # s without one, after which another agent leads ...
TAKE_OVER_APART = 0.7  # ... s more for each agent that stands before it in the group's file
MOST_HALTS = 20  # that are held of plans that nobody knows here
MOST_AT_ONCE = 50  # steps of one look
BOXES_EVERY = 0.5  # s between looks at how far the boxes of a drain are
SILENT_AGENT = 4000.0  # ms without a word, after which an agent is not counted on to vote
GO_AGAIN = 2.0  # s after which the base is asked again for a version that it did not go to
ASK_WITHIN = 1.0  # s that another agent has to answer

log = logs.get_logger(__name__)


class Owner(Protocol):
    """The agent, as `PlanCoordinator` needs it."""

    name: str
    records: Records
    limiters: dict[str, ManagedLimiter]
    peers: list[PeerLink]
    versions: Versions
    agent_release: AgentRelease

    def inventory(self) -> Inventory: ...
    def limiter_zones(self) -> list[tuple[str, str]]:
        """All limiters that are known of, with their floors."""

    def agent_zones(self) -> list[tuple[str, str]]: ...

    def peer_limiter_briefs(self) -> list[tuple[str, float, f.LimiterBrief]]:
        """Of other agents: whose, how many ms ago, what."""

    def commit_record(self, record: Record, what: str) -> None: ...
    def audit(self, who: str, role: str, what: str, outcome: str) -> None:
        """In the audit. Raises `StoreError`."""

    async def progressed(self, progress: f.Progress) -> f.Progressed: ...
    def notify_peers(self) -> None:
        """Tells all other agents at once what is new."""

    def notify_peer(self, name: str) -> None:
        """The same to one."""


class PlanCoordinator:
    def __init__(self, owner: Owner, keeper: ConsensusMember, order: Iterable[str], rng: random.Random) -> None:
        """`order`: all agents, as they take over from one another."""
        self._owner, self._keeper, self._rng = owner, keeper, rng
        order = list(order)
        self._rank = order.index(owner.name) if owner.name in order else len(order)
        self._series = MetricsHistory()
        self._leaders: dict[tuple[str, int], PlanLeader] = {}
        self._beats: dict[str, tuple[tuple[int, int, int], float]] = {}  # what was last seen of a leader, and when
        self._beaten = 0.0
        self._carriers = {name: LimiterPlanExecutor() for name in owner.limiters}
        self._acting: set[str] = set()
        self.halts: dict[str, tuple[int, str]] = {}  # plan: turn, why
        self._boxes: dict[str, TargetReport] = {}
        self._boxes_at = 0.0
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self) -> None:
        self._task(self._forever(self._carry, LOOK_EVERY))
        self._task(self._forever(self._lead, LEAD_EVERY))

    def close(self) -> None:
        for task in self._tasks:
            task.cancel()

    def _task(self, work: Awaitable[None]) -> None:
        task: asyncio.Task[None] = asyncio.get_running_loop().create_task(work)  # type: ignore[arg-type]
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _forever(self, look: Callable[[], Awaitable[None]], every: float) -> None:
        while True:
            try:
                await look()
            except (StoreError, LedgerError) as error:
                log.error("a plan is held up", agent=self._owner.name, error=str(error))
            except Exception:
                # a fault in a plan must not end what carries out all others; it is told with its place
                log.exception("a plan is held up", agent=self._owner.name)
            await asyncio.sleep(every * self._rng.uniform(0.8, 1.2))

    @staticmethod
    def _now() -> float:
        return time.monotonic() * 1000.0

    @property
    def _given_up(self) -> bool:
        return self._owner.name in dict(self._keeper.ledger.given_up)

    # Halts

    def is_halted(self, plan: Plan) -> bool:
        soft = self.halts.get(plan.id)
        return plan.state != "running" or (soft is not None and soft[0] >= plan.revision)

    def record_halts(self, halts: Iterable[tuple[str, int, str]]) -> None:
        news = False
        for id, turn, why in halts:
            plan = self._keeper.ledger.find_plan(id)
            if plan is not None and plan.revision > turn:
                continue  # the plan went on since, or holds it
            held = self.halts.get(id)
            if held is None or held[0] < turn:
                self.halts[id], news = (turn, why), True
        if news:
            self._owner.notify_peers()

    def halts_to_send(self) -> tuple[tuple[str, int, str], ...]:
        while len(self.halts) > MOST_HALTS:
            del self.halts[next(iter(self.halts))]
        for id, (turn, _) in list(self.halts.items()):
            plan = self._keeper.ledger.find_plan(id)
            if plan is not None and (plan.revision > turn or plan.state == "over"):
                del self.halts[id]
        return tuple((id, turn, why) for id, (turn, why) in self.halts.items())

    # Operators

    async def begin(self, asked: f.BeginPlan, by: str, now: float) -> f.BeginAnswer:
        name = self._owner.name
        held = self._keeper.ledger.find_plan(asked.origin)
        if held is not None:
            return f.BeginAnswer(asked.id, name, "begun", held)
        inventory = self._owner.inventory()
        boxes = asked.targets if asked.kind == "drain" else ()
        unheard: list[str] = []
        refused = await self._unfit(asked, inventory, unheard)
        if refused or unheard:
            lacking = not refused or inventory.lacks_knowledge_of([("box", box) for box in boxes])
            return f.BeginAnswer(asked.id, name, "away" if lacking else "refused", None, (*refused, *unheard))
        plan = self._drawn(asked, by, now)
        if asked.dry:
            return f.BeginAnswer(asked.id, name, "planned", plan, tuple(self._against(plan)), tuple(self._leaves(plan)))

        def change(ledger: Ledger) -> Ledger | list[str]:
            made = steps.begin_plan(ledger, plan)
            # whoever begins it leads, so that nobody has to be waited for
            return made if isinstance(made, list) or made is ledger else steps.take_lead(made, plan.id, name, 0)

        made = await self._keeper.change(change)
        if not made.chosen:
            outcome = "refused" if made.reasons else "away"
            return f.BeginAnswer(asked.id, name, outcome, None, made.reasons or (self._keeper.away(),))  # type: ignore[arg-type]
        return f.BeginAnswer(asked.id, name, "begun", self._keeper.ledger.find_plan(plan.id))

    async def _unfit(self, asked: f.BeginPlan, inventory: Inventory, unheard: list[str]) -> list[str]:
        """Why it cannot be carried out, as far as is known here, before any budget is asked. Into `unheard` goes who
        does not say: another agent may hear them."""
        if inventory.insufficient_reason:
            return [inventory.insufficient_reason]
        if asked.kind == "agents":
            known = {self._owner.name, *(peer.name for peer in self._owner.peers)}
        else:
            known = {item.name for item in inventory.items_of_kind("box" if asked.kind == "drain" else "limiter")}
        targets = set(asked.targets) | {name for wave in asked.waves for name in wave}
        unknown = sorted(targets - known)
        if unknown:
            return [f"{', '.join(unknown)} is not known"]
        if asked.kind == "drain":
            return [] if targets else ["no box is named"]
        found: list[str] = []
        if asked.kind == "agents":
            briefs = self._owner.agent_release.briefs()
            for name in sorted(targets or known):
                age, brief = briefs.get(name, (-1.0, f.AgentBrief()))
                if not 0.0 <= age < 8000.0:
                    found.append(f"agent {name} was not heard of lately")
                elif not brief.based:
                    found.append(f"agent {name} was not started by a base (elderlock base FILE)")
        if not asked.version:
            return found
        answers = await answers_of([peer.ask(f.ListPlans, ASK_WITHIN) for peer in self._owner.peers])
        has = {self._owner.name: dict(self._owner.versions.digests())}
        for peer, answer in zip(self._owner.peers, answers, strict=True):
            if isinstance(answer, f.PlansStatus):
                has[peer.name] = dict(answer.versions)
            else:
                unheard.append(f"agent {peer.name} does not say whether it has version {asked.version}")
        lacking = [name for name, own in sorted(has.items()) if asked.version not in own]
        found += [f"agent {name} has no version {asked.version}" for name in lacking]
        if len({own[asked.version] for own in has.values() if asked.version in own}) > 1:
            found.append(f"version {asked.version} is not the same at all agents")
        return found

    def _drawn(self, asked: f.BeginPlan, by: str, now: float) -> Plan:
        if asked.kind == "drain":
            waves = asked.waves or tuple((target,) for target in asked.targets)
            return plans.new_drain_plan(asked.origin, waves, by, asked.reason, now, asked.terms)
        if asked.kind == "agents":
            before = {name: brief.version for name, (_, brief) in self._owner.agent_release.briefs().items()}
        else:
            before = dict(self._keeper.ledger.limiter_versions)
        if asked.waves:
            waves = asked.waves
        else:
            stopped = self._stopped()
            everyone = self._owner.agent_zones() if asked.kind == "agents" else self._owner.limiter_zones()
            floors = [
                each for each in everyone if (each[0] in asked.targets if asked.targets else each[0] not in stopped)
            ]
            waves = tuple(tuple(wave) for wave in plans.waves_over_zones(floors))
        kind: Literal["release", "agents"] = "agents" if asked.kind == "agents" else "release"
        return plans.new_release_plan(
            asked.origin, asked.version, waves, before, by, asked.reason, now, asked.terms, kind
        )

    def _stopped(self) -> set[str]:
        own = {name for name, charge in self._owner.limiters.items() if not charge.supervisor.wanted}
        return own | {brief.name for _, _, brief in self._owner.peer_limiter_briefs() if brief.phase == "stopped"}

    def _against(self, plan: Plan) -> list[str]:
        """What the budget would say to each wave, were all before it done and nothing else out."""
        if plan.kind == "agents":
            return []
        inventory, held = self._owner.inventory(), self._keeper.ledger.permit_holders()
        kind, found = steps.permit_kind(plan), []
        for wave in range(plan.wave_count()):
            keys = [(kind, unit.target) for unit in plan.units if unit.wave == wave]
            if refused := refusal_reasons(self._keeper.budget, inventory, held, keys[:1]):
                found.append(f"wave {wave + 1} cannot begin: {'; '.join(refused)}")
        return found

    def _leaves(self, plan: Plan) -> list[str]:
        if plan.kind == "agents":
            waves = [[unit.target for unit in plan.units if unit.wave == wave] for wave in range(plan.wave_count())]
            return [f"wave {n + 1}: {', '.join(names)} (one that votes at a time)" for n, names in enumerate(waves)]
        inventory, held = self._owner.inventory(), dict(self._keeper.ledger.permit_holders())
        kind, lines = steps.permit_kind(plan), []
        for wave in range(plan.wave_count()):
            names = [unit.target for unit in plan.units if unit.wave == wave]
            keys: list[Key] = [(kind, name) for name in names]
            at_once, taken = 0, dict(held)
            for key in keys:
                if not refusal_reasons(self._keeper.budget, inventory, taken, [key]):
                    taken[key] = plan.requested_by
                    at_once += 1
            fewer = f" ({at_once} at once)" if at_once < len(names) else ""
            lines.append(f"wave {wave + 1}: {', '.join(names)}{fewer}")
            if plan.kind == "drain":
                held = taken  # what is drained stays out
        return lines + budget_status_lines(self._keeper.budget, inventory, self._keeper.ledger.permit_holders())

    async def steer(self, asked: f.SteerPlan, by: str) -> f.SteerAnswer:
        ledger, name = self._keeper.ledger, self._owner.name
        reason = f": {asked.reason}" if asked.reason else ""
        if asked.action in ("give-up", "take-in"):
            return await self._member(asked, by)
        plan = ledger.find_plan(asked.plan)
        if asked.action == "halt":
            if plan is None or plan.state == "running":
                # in force here and, from the next word on, everywhere, whether or not a majority can be had; also of a
                # plan that this agent has not learnt of yet, as its operator saw it elsewhere
                turn = plan.revision if plan is not None else asked.turn
                self.record_halts([(asked.plan, turn, f"halt of {by}{reason}")])
            made = await self._keeper.change(
                lambda held: plan_steering.halt_plan(held, asked.plan, f"halt of {by}{reason}")
            )
        elif asked.action == "go-on":
            made = await self._keeper.change(lambda held: plan_steering.resume_plan(held, asked.plan, asked.turn, by))
        else:
            made = await self._keeper.change(
                lambda held: plan_steering.roll_back_plan(held, asked.plan, f"back, said {by}{reason}")
            )
        done = made.chosen or made.reasons == (steps.ALREADY_DONE,)
        if not done:
            outcome = "refused" if made.reasons else "away"
            return f.SteerAnswer(asked.id, name, outcome, made.reasons or (self._keeper.away(),), plan)  # type: ignore[arg-type]
        self.halts_to_send()
        return f.SteerAnswer(asked.id, name, "done", made.reasons, made.ledger.find_plan(asked.plan))

    async def _member(self, asked: f.SteerPlan, by: str) -> f.SteerAnswer:
        gone, name = asked.plan, self._owner.name
        if asked.action == "take-in":
            made = await self._keeper.change(lambda held: plan_steering.readmit_agent(held, gone))
        else:
            briefs = [(age, brief) for agent, age, brief in self._owner.peer_limiter_briefs() if agent == gone]
            if gone not in {peer.name for peer in self._owner.peers}:
                unknown = f"agent {gone} is none of the others in the group's file"
                return f.SteerAnswer(asked.id, name, "refused", (unknown,))
            if any(0 <= age < 8000.0 for age, _ in briefs):
                return f.SteerAnswer(
                    asked.id, name, "refused", (f"agent {gone} was heard of just now: it is not gone",)
                )
            keys: list[Key] = [("limiter", brief.name) for _, brief in briefs]
            made = await self._keeper.change(lambda held: plan_steering.give_up_agent(held, gone, keys, by))
        outcome = "done" if made.chosen else "refused" if made.reasons else "away"
        said = made.reasons or (() if made.chosen else (self._keeper.away(),))
        return f.SteerAnswer(asked.id, name, outcome, said)  # type: ignore[arg-type]

    def planned(self, asked: f.ListPlans) -> f.PlansStatus:
        ledger, name = self._keeper.ledger, self._owner.name
        mine = [plan for plan in ledger.active_plans() if plan.leader == name]
        waits = [
            f"waits for {'; '.join(leader.waiting_for)}"
            for plan in mine
            if (leader := self._leaders.get((plan.id, plan.term))) is not None and leader.waiting_for
        ]
        wanted = dict(ledger.limiter_versions)
        runs = tuple(
            f.RunningVersion(each, charge.version(), wanted.get(each, ""), charge.said)
            for each, charge in self._owner.limiters.items()
        )
        return f.PlansStatus(
            asked.id,
            name,
            ledger.version,
            ledger.plans,
            tuple(plan.id for plan in mine),
            tuple(waits),
            runs,
            self._owner.versions.digests(),
            ledger.given_up,
            self.halts_to_send(),
            ledger.permits,
            self._owner.agent_release.brief(),
        )

    # What concerns our own limiters

    def catch_up(self) -> None:
        """What was agreed on while this agent was away, or its store had lost, holds for the next start of each
        limiter. One that is out for a plan is set to its version by the plan's own step. Raises `StoreError`."""
        ledger = self._keeper.ledger
        wanted = dict(ledger.limiter_versions)
        out = {unit.target for plan in ledger.active_plans() for unit in plan.units if unit.stage == "out"}
        for name, charge in self._owner.limiters.items():
            if wanted.get(name, "") != charge.wanted and name not in out:
                charge.to_run(wanted.get(name, ""), max(ledger.generation, charge.generation + 1))

    async def _carry(self) -> None:
        self.catch_up()
        if not self._owner.agent_release.heard_by_majority and await self._keeper.read() is not None:
            self._owner.agent_release.on_majority_answer()
        ledger = self._keeper.ledger
        if self._given_up:
            return
        for plan in ledger.plans:
            if plan.kind == "agents" and (unit := plan.find_unit(self._owner.name)) is not None:
                # of plans of this kind that are over the last one alone still says something
                if plan.state != "over" or plan is [each for each in ledger.plans if each.kind == "agents"][-1]:
                    self._see_itself(plan, unit)
                continue
            for unit in plan.units if plan.kind == "release" else ():
                done = plan.state == "over" and unit.stage == "done"
                if unit.target in self._carriers and unit.target not in self._acting and (plan.state != "over" or done):
                    self._see(plan, unit)

    def _see(self, plan: Plan, unit: Unit) -> None:
        charge, carrier = self._owner.limiters[unit.target], self._carriers[unit.target]
        if unit.stage == "waiting":
            return
        record = self._owner.records.get("limiter", unit.target)
        # of one that is over only what mends, and only where nobody has made a newer record since
        if plan.state == "over" and (record is None or record.generation >= unit.generation):
            return
        if unit.stage == "out":
            charge.link.kick()  # its word is asked for at once: the plan waits for it
        look = charge.look(record)
        before = carrier.progress
        act = carrier.next_action(plan, unit, look, self._now(), self.is_halted(plan))
        charge.said = carrier.progress
        if carrier.progress != before:
            self._owner.notify_peer(plan.leader)
        if act is not None:
            self._acting.add(unit.target)
            self._task(self._act(act, plan, unit))

    def _see_itself(self, plan: Plan, unit: Unit) -> None:
        """Our own turn in a release of agents. What this process runs as is the base's word, not its own."""
        if self._owner.name in self._acting:
            return
        act, news = self._owner.agent_release.see(plan, unit, self.is_halted(plan))
        if news:
            self._owner.notify_peer(plan.leader)
        if act == "settle":
            self._owner.agent_release.settle()
        elif act == "switch":
            self._acting.add(self._owner.name)
            self._task(self._go(plan, unit))

    async def _go(self, plan: Plan, unit: Unit) -> None:
        try:
            if await self._confirmed(plan, unit) or (unit.stage == "done" and await self._passed(plan, unit)):
                what = f"this agent goes to version {plan.target_version(unit) or 'of its base'}"
                self._owner.audit(self._owner.name, "agent", what, plan.id[:8])
                self._owner.agent_release.go(plan, unit)
                await asyncio.sleep(GO_AGAIN)
        except (StoreError, LedgerError, FileError) as error:
            log.error("a step is held up", agent=self._owner.name, step="switch", error=str(error))
            await asyncio.sleep(GO_AGAIN)
        finally:
            self._acting.discard(self._owner.name)

    async def _act(self, act: str, plan: Plan, unit: Unit) -> None:
        charge, carrier = self._owner.limiters[unit.target], self._carriers[unit.target]
        try:
            if act == "undrain":
                self._record(plan, unit, False)
            elif await self._confirmed(plan, unit):
                if act == "drain":
                    self._record(plan, unit, True)
                else:
                    charge.to_run(plan.target_version(unit), unit.generation)
                    restarts = charge.supervisor.restarts
                    charge.switch()
                    carrier.on_switched(self._now(), restarts)
                    what = f"{unit.target} goes to version {plan.target_version(unit) or 'of the file'}"
                    self._owner.audit(self._owner.name, "agent", what, plan.id[:8])
        except (StoreError, LedgerError) as error:
            log.error("a step is held up", agent=self._owner.name, limiter=unit.target, step=act, error=str(error))
            await asyncio.sleep(LOOK_EVERY)
        finally:
            self._acting.discard(unit.target)

    def _record(self, plan: Plan, unit: Unit, drained: bool) -> None:
        kind = steps.permit_kind(plan)
        held = self._owner.records.get(kind, unit.target)
        if held is not None and held.generation >= unit.generation:
            return
        verb = "drain" if drained else "undrain"
        record = Record(
            kind,
            unit.target,
            drained,
            unit.generation,
            plan.permit_origin(unit),
            plan.requested_by,
            time.time() * 1000.0,
            f"{plan.kind} {plan.id[:8]}",
        )
        self._owner.commit_record(record, f"{verb} {kind} {unit.target} for {plan.kind} {plan.id[:8]}")

    async def _confirmed(self, plan: Plan, unit: Unit) -> bool:
        """Whether the unit is still out, as a majority has it now. What slept, or hears nothing, finds out here."""
        ledger = await self._keeper.read()
        if ledger is None or self._owner.name in dict(ledger.given_up):
            return False
        now = ledger.find_plan(plan.id)
        return (
            now is not None
            and now.find_unit(unit.target) == unit
            and now.state == "running"
            and not self.is_halted(plan)
        )

    async def _passed(self, plan: Plan, unit: Unit) -> bool:
        """The same of a unit that is done, of the newest plan of its kind, which may be over."""
        ledger = await self._keeper.read()
        if ledger is None or self._owner.name in dict(ledger.given_up):
            return False
        now = [each for each in ledger.plans if each.kind == plan.kind][-1:]
        return bool(now) and now[0].id == plan.id and now[0].find_unit(unit.target) == unit and now[0].state != "halted"

    # Leading

    async def _lead(self) -> None:
        now = self._now()
        for name, charge in self._owner.limiters.items():
            self._series.record(name, charge.figures(), now)
        for _, _, brief in self._owner.peer_limiter_briefs():
            self._series.record(brief.name, brief.figures, now)
        for plan in self._keeper.ledger.active_plans():
            soft = self.halts.get(plan.id)
            if soft is not None and soft[0] == plan.revision and plan.state == "running":
                await self._keeper.change(
                    partial(plan_steering.halt_plan, plan_id=plan.id, reason=soft[1], revision=soft[0])
                )
                continue
            if plan.state != "running" or self._given_up:
                self._beats.pop(plan.id, None)
                continue
            if plan.leader == self._owner.name:
                await self._led(plan)
                continue
            sign = (plan.term, plan.heartbeat, plan.revision)
            seen = self._beats.get(plan.id)
            if seen is None or seen[0] != sign:
                self._beats[plan.id] = (sign, now)
            elif now - seen[1] > 1000.0 * (TAKE_OVER_AFTER + TAKE_OVER_APART * self._rank):
                self._beats[plan.id] = (sign, now)
                made = await self._keeper.change(
                    partial(steps.take_lead, plan_id=plan.id, agent=self._owner.name, after_term=plan.term)
                )
                if made.chosen:
                    log.info("takes over a plan", agent=self._owner.name, plan=plan.id, leader=plan.leader)
        alive = {(plan.id, plan.term) for plan in self._keeper.ledger.active_plans()}
        self._leaders = {key: leader for key, leader in self._leaders.items() if key in alive}

    async def _led(self, plan: Plan) -> None:
        """As it is in the ledger. Whoever believes to lead and does not is told so by the first step that it tries."""
        now, me = self._now(), self._owner.name
        leader = self._leaders.get((plan.id, plan.term))
        if leader is None:
            leader = self._leaders[plan.id, plan.term] = PlanLeader(now, self._series)
        if now - self._beaten > 1000.0 * BEAT_EVERY:
            made = await self._keeper.change(lambda held: steps.record_heartbeat(held, plan.id, me, plan.term))
            if not made.chosen:
                return
            self._beaten = now
        for _ in range(MOST_AT_ONCE):
            current = self._keeper.ledger.find_plan(plan.id)
            if current is None or (current.leader, current.term) != (me, plan.term) or self.is_halted(current):
                return
            told = await self._told(current)
            move = leader.next_action(current, told, self._now())
            if move is None or not await self._moved(current, leader, move):
                return

    async def _moved(self, plan: Plan, leader: PlanLeader, move: LeaderAction) -> bool:
        """Whether the ledger took it, so that there may be more to do."""
        change = self._change(plan, move)
        made: ChangeResult = await self._keeper.change(change)
        if move.kind == "send":
            if made.chosen:
                leader.on_sent()
            elif made.reasons:
                leader.on_refused(made.reasons, len(move.targets), self._now())
                return len(move.targets) > 1
        if move.kind == "halt" and made.chosen:
            log.warning("a plan halts by itself", agent=self._owner.name, plan=plan.id, why=move.reason)
            self._owner.audit(self._owner.name, "agent", f"halts {plan.kind} {plan.id[:8]}", move.reason[:400])
        return made.chosen

    def _change(self, plan: Plan, move: LeaderAction) -> Callable[[Ledger], Ledger | list[str]]:
        id, me, term, generation = plan.id, self._owner.name, plan.term, self._owner.records.greatest_generation()
        match move.kind:
            case "send":
                if plan.kind == "agents":
                    voters, silent = self._keeper.voters, self._silent_agents()
                    return lambda held: steps.transition_agents_waiting_to_out(
                        held, id, me, term, move.targets, voters, silent, generation
                    )
                inventory, budget, at = self._owner.inventory(), self._keeper.budget, time.time() * 1000.0
                return lambda held: steps.transition_waiting_to_out(
                    held, id, me, term, move.targets, budget, inventory, generation, at
                )
            case "serve":
                return lambda held: steps.transition_to_trial(held, id, me, term, move.targets[0], generation)
            case "pass":
                return lambda held: steps.transition_to_done(held, id, me, term, move.targets)
            case "close":
                return lambda held: steps.finish_plan(held, id, me, term)
            case "halt":
                return lambda held: plan_steering.halt_plan(
                    held, id, move.reason, plan.revision, plan.policy.automatic_rollback
                )

    # What a leader is told

    async def _told(self, plan: Plan) -> Mapping[str, TargetReport]:
        if plan.kind == "drain":
            return await self._told_of_boxes(plan)
        if plan.kind == "agents":
            return self._owner.agent_release.told()
        told: dict[str, TargetReport] = {}
        for name, charge in self._owner.limiters.items():
            age = self._now() - 1000.0 * charge.link.state_at if charge.link.state is not None else 0.0
            # our own word on it is fresh, whatever the limiter does
            told[name] = self._of(plan, charge.brief(self._owner.records), min(age, 0.0))
        for _, age, brief in self._owner.peer_limiter_briefs():
            told[brief.name] = self._of(plan, brief, age)
        return told

    def _silent_agents(self) -> list[str]:
        briefs = self._owner.agent_release.briefs()
        names = [peer.name for peer in self._owner.peers]
        return [name for name in names if not 0.0 <= briefs.get(name, (-1.0, None))[0] < SILENT_AGENT]

    def _of(self, plan: Plan, brief: f.LimiterBrief, age: float) -> TargetReport:
        record = self._owner.records.get("limiter", brief.name)
        others = record is not None and record.is_drained and not record.origin.startswith(f"{plan.id}/")
        return TargetReport(
            brief.name,
            *brief.said,
            brief.phase,
            brief.serving,
            brief.restarts,
            record.requested_by if record is not None and others else "",
            brief.figures,
            age,
        )

    async def _told_of_boxes(self, plan: Plan) -> Mapping[str, TargetReport]:
        now = self._now()
        mine = [unit for unit in plan.units if unit.stage in ("out", "trial")]
        if now - self._boxes_at < 1000.0 * BOXES_EVERY and all(
            self._boxes.get(unit.target, TargetReport("")).generation == unit.generation for unit in mine
        ):
            return self._boxes
        self._boxes_at, self._boxes = now, {}
        for unit in mine:
            if unit.stage == "out" and not await self._confirmed(plan, unit):
                continue
            self._record(plan, unit, unit.stage == "out")
        targets: tuple[tuple[Kind, str], ...] = tuple(("box", unit.target) for unit in mine)
        if not targets:
            return self._boxes

        def make(id: int) -> f.Progress:
            return f.Progress(id, targets)

        answers: list[f.FromAgent | None] = [await self._owner.progressed(make(0))]
        answers += await answers_of([peer.ask(make, ASK_WITHIN) for peer in self._owner.peers])
        for unit in mine:
            reached, left, known = True, 0, True
            for answer in answers:
                if not isinstance(answer, f.Progressed):
                    known = False
                    continue
                own = [reach for reach in answer.reach if reach.target == unit.target]
                held = any(r.target == unit.target and r.generation >= unit.generation for r in answer.records)
                reached &= held and all(reach.state in ("reached", "at-start") for reach in own)
                left += sum(reach.out for reach in own)
            done = known and reached
            up = done and (unit.stage != "out" or left == 0)
            self._boxes[unit.target] = TargetReport(unit.target, unit.generation, "up" if up else "", is_serving=done)
        return self._boxes
