"""Plans that the group carries out, and how operators steer them."""

from __future__ import annotations

from typing import Literal

import msgspec

from elderlock.fleet.messages.base import Message
from elderlock.fleet.messages.status import AgentBrief
from elderlock.rollout.permit_ledger import Permit
from elderlock.rollout.plan_executor import ExecutionProgress
from elderlock.rollout.plans import Plan, PlanKind, RolloutPolicy


class BeginPlan(Message, tag="begin"):
    """A plan that the group carries out. Repeating it under its `origin` finds the same one. `waves` as the asker wants
    them, or empty for the usual ones. `dry`: only says what would be done."""

    id: int
    origin: str
    kind: PlanKind
    version: str
    targets: tuple[str, ...]  # empty: all limiters
    waves: tuple[tuple[str, ...], ...]
    terms: RolloutPolicy
    reason: str
    dry: bool = False


class BeginAnswer(Message, tag="begun"):
    """`outcome`: begun, planned (a dry one), refused (`reasons` why) or away (too few agents answer, or this
    one knows too little)."""

    id: int
    agent: str
    outcome: Literal["begun", "planned", "refused", "away"]
    plan: Plan | None = None
    reasons: tuple[str, ...] = ()
    lines: tuple[str, ...] = ()  # what it would leave, for people


class SteerPlan(Message, tag="steer"):
    """An operator's word on a plan, or on an agent that is gone (`plan` is then the agent's name). `turn`: the one that
    the operator saw, for a go-on."""

    id: int
    plan: str
    action: Literal["halt", "go-on", "back", "give-up", "take-in"]
    turn: int = 0
    reason: str = ""


class SteerAnswer(Message, tag="steered"):
    """`outcome` away: no majority answers. A halt is in force all the same wherever it is heard of."""

    id: int
    agent: str
    outcome: Literal["done", "refused", "away"]
    reasons: tuple[str, ...] = ()
    plan: Plan | None = None


class ListPlans(Message, tag="plans"):
    id: int


class RunningVersion(msgspec.Struct):
    """`version`: of its process; `wanted`: that the group agreed on."""

    limiter: str
    version: str
    wanted: str
    progress: ExecutionProgress = msgspec.field(name="said")


class PlansStatus(Message, tag="planned"):
    """What an agent knows of plans. `waits`: of those that it leads; `versions`: with digests, that lie on its disk."""

    id: int
    agent: str
    version: int
    plans: tuple[Plan, ...]
    leads: tuple[str, ...]
    waits: tuple[str, ...]
    runs: tuple[RunningVersion, ...]
    versions: tuple[tuple[str, str], ...]
    given_up: tuple[tuple[str, str], ...]
    halts: tuple[tuple[str, int, str], ...] = ()
    permits: tuple[Permit, ...] = ()
    agent_brief: AgentBrief = msgspec.field(name="itself", default=AgentBrief())
