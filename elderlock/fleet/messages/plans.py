"""Messages about plans that the group carries out, and about steering them."""

from __future__ import annotations

from typing import Literal

import msgspec

from elderlock.fleet.messages.base import Message
from elderlock.fleet.messages.status import AgentBrief
from elderlock.rollout.permit_ledger import Permit
from elderlock.rollout.plan_executor import ExecutionProgress
from elderlock.rollout.plans import Plan, PlanKind, RolloutPolicy


class BeginPlan(Message, tag="begin"):
    """Begins a plan. A repeated request with the same `origin` returns the plan that was begun before.

    Attributes:
        id: The id of the request.
        origin: The unique id of the command.
        kind: The kind of the plan.
        version: The version to release; empty for a drain.
        targets: The targets of the plan; empty for all limiters.
        waves: The targets of each wave; empty for the default waves.
        policy: The policy of the rollout.
        reason: The operator's reason, for people.
        dry: Whether to only report what the plan would do.
    """

    id: int
    origin: str
    kind: PlanKind
    version: str
    targets: tuple[str, ...]
    waves: tuple[tuple[str, ...], ...]
    policy: RolloutPolicy = msgspec.field(name="terms")
    reason: str
    dry: bool = False


class BeginAnswer(Message, tag="begun"):
    """The answer to `BeginPlan`.

    Attributes:
        id: The id of the request.
        agent: The name of the answering agent.
        outcome: begun, planned (the answer to a dry run), refused, or away (too few agents answer, or this one knows
            too little).
        plan: The plan.
        reasons: Why it was not begun, for people.
        lines: What would remain in service during the plan, for people.
    """

    id: int
    agent: str
    outcome: Literal["begun", "planned", "refused", "away"]
    plan: Plan | None = None
    reasons: tuple[str, ...] = ()
    lines: tuple[str, ...] = ()


class SteerPlan(Message, tag="steer"):
    """An operator's instruction for a plan, or for an agent that is lost for good.

    Attributes:
        id: The id of the request.
        plan: The id of the plan; the name of the agent where the instruction is for an agent.
        action: The instruction. `go-on` resumes and `back` rolls back; `give-up` declares an agent lost for
            good, and `take-in` reverses that.
        revision: For `go-on`, the revision of the plan that the operator acted on.
        reason: The operator's reason, for people.
    """

    id: int
    plan: str
    action: Literal["halt", "go-on", "back", "give-up", "take-in"]
    revision: int = msgspec.field(name="turn", default=0)
    reason: str = ""


class SteerAnswer(Message, tag="steered"):
    """The answer to `SteerPlan`.

    Attributes:
        id: The id of the request.
        agent: The name of the answering agent.
        outcome: done, refused, or away (no majority answers). A halt that is `away` is in force nevertheless at each
            agent that receives it.
        reasons: Why it was not done, for people.
        plan: The plan after the instruction.
    """

    id: int
    agent: str
    outcome: Literal["done", "refused", "away"]
    reasons: tuple[str, ...] = ()
    plan: Plan | None = None


class ListPlans(Message, tag="plans"):
    """Requests the plans that an agent knows.

    Attributes:
        id: The id of the request.
    """

    id: int


class RunningVersion(msgspec.Struct):
    """The version of one limiter.

    Attributes:
        limiter: The name of the limiter.
        version: The version of its process.
        wanted: The version that the group agreed on.
        progress: How far its agent is with the plan's unit.
    """

    limiter: str
    version: str
    wanted: str
    progress: ExecutionProgress = msgspec.field(name="said")


class PlansStatus(Message, tag="planned"):
    """The answer to `ListPlans`.

    Attributes:
        id: The id of the request.
        agent: The name of the answering agent.
        version: The version of the agent's ledger.
        plans: The plans in the ledger.
        led_plan_ids: The ids of the plans that the agent leads.
        waiting_reasons: What those plans wait for, for people.
        running_versions: The versions of the agent's limiters.
        versions: The versions on the agent's disk, each with its digest.
        given_up: The agents that were declared lost for good, each with the operator who did so.
        halts: The halts that the agent has received: the id of the plan, its revision and the reason.
        permits: The permits in the ledger.
        agent_brief: The status of the agent itself.
    """

    id: int
    agent: str
    version: int
    plans: tuple[Plan, ...]
    led_plan_ids: tuple[str, ...] = msgspec.field(name="leads")
    waiting_reasons: tuple[str, ...] = msgspec.field(name="waits")
    running_versions: tuple[RunningVersion, ...] = msgspec.field(name="runs")
    versions: tuple[tuple[str, str], ...]
    given_up: tuple[tuple[str, str], ...]
    halts: tuple[tuple[str, int, str], ...] = ()
    permits: tuple[Permit, ...] = ()
    agent_brief: AgentBrief = msgspec.field(name="itself", default=AgentBrief())
