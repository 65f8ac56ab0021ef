"""Messages about the status of limiters and agents, to operators and between agents."""

from __future__ import annotations

from typing import Literal

import msgspec

from elderlock.control.messages import LimiterState
from elderlock.control.records import Record
from elderlock.fleet.messages.base import Message
from elderlock.rollout.canary_analysis import AnswerMetrics
from elderlock.rollout.plan_executor import ExecutionProgress

Phase = Literal["stopped", "starting", "running", "stopping", "backing-off", "gave-up"]


class LimiterStatus(msgspec.Struct):
    """A limiter, as the agent that supervises it sees it.

    Attributes:
        name: The name of the limiter.
        phase: The phase of its process.
        pid: Its process id; 0 where none runs.
        is_adopted: Whether the agent found the process running instead of starting it.
        restarts: How often the process was restarted after it exited.
        next_start_ms: The time to the next start during a backoff, else -1.
        link: The state of the agent's connection to it.
        link_why: Why the connection is in that state, and why the limiter could not be started, for people.
        state_age_ms: The age of `state`; -1 where the limiter has not reported any.
        state: The last state that the limiter reported.
    """

    name: str
    phase: Phase
    pid: int
    is_adopted: bool = msgspec.field(name="adopted")
    restarts: int
    next_start_ms: float
    link: Literal["answering", "silent", "down", "claimed"]
    link_why: str
    state_age_ms: float = msgspec.field(name="heard_age_ms")
    state: LimiterState | None


class LimiterBrief(msgspec.Struct):
    """The short status of a limiter. Other agents report it while the limiter's agent does not answer.

    Attributes:
        name: The name of the limiter.
        phase: The phase of its process.
        link: The state of its agent's connection to it.
        open: How many requests it has open.
        is_drained: Whether it is drained.
        boxes_drained: How many servers its agent has drain records of.
        version: The version that its process runs; empty for the one in its agent's file.
        is_serving: Whether it answers, has its endpoint list and accepts clients.
        restarts: How often its process was restarted after it exited.
        answer_metrics: The metrics of its answers.
        progress: How far its agent is with the unit of a release.
    """

    name: str
    phase: Phase
    link: str
    open: int
    is_drained: bool = msgspec.field(name="drained")
    boxes_drained: int
    version: str = ""
    is_serving: bool = msgspec.field(name="serving", default=False)
    restarts: int = 0
    answer_metrics: AnswerMetrics = msgspec.field(name="figures", default=AnswerMetrics())
    progress: ExecutionProgress = msgspec.field(name="said", default=ExecutionProgress())


class AgentBrief(msgspec.Struct, frozen=True):
    """The short status of an agent, as it reports it itself.

    Attributes:
        version: The version that the agent runs.
        has_launcher: Whether a launcher started it, so that a release can switch its version.
        start_count: How often its process was started on this version.
        is_serving: Whether a majority of the group hears it and its limiters run and answer.
        progress: How far it is with its unit of a release.
    """

    version: str = ""
    has_launcher: bool = msgspec.field(name="based", default=False)
    start_count: int = msgspec.field(name="starts", default=0)
    is_serving: bool = msgspec.field(name="serving", default=False)
    progress: ExecutionProgress = msgspec.field(name="said", default=ExecutionProgress())


class AgentObservation(msgspec.Struct):
    """What the answering agent last received about another agent, directly or through a third one.

    Attributes:
        agent: The name of the observed agent.
        standing: Whether the observed agent counts as alive, suspect or unreachable.
        incarnation: Its incarnation, greater at each of its starts.
        sequence: The sequence number of its status within the incarnation.
        age_ms: The age of that status; -1 where there is none.
        via: The agent that forwarded the status; empty where it came directly.
        limiters: The limiters of the observed agent.
    """

    agent: str
    standing: Literal["alive", "suspect", "unreachable"]
    incarnation: int
    sequence: int
    age_ms: float
    via: str
    limiters: tuple[LimiterBrief, ...]


class Show(Message, tag="show"):
    """Requests the status of an agent and its limiters.

    Attributes:
        id: The id of the request.
        accounts: The maximum number of accounts that each limiter lists.
        within_ms: How long the agent waits for fresh states from its limiters.
    """

    id: int
    accounts: int = 20
    within_ms: float = 400.0


class Shown(Message, tag="shown"):
    """The answer to `Show`.

    Attributes:
        id: The id of the request.
        agent: The name of the answering agent.
        build: The version of its program.
        incarnation: Its incarnation, greater at each of its starts.
        uptime_ms: How long it has run.
        store: Why its store fails, for people; empty where it works.
        limiters: Its limiters.
        records: The drain records that it holds.
        observations: The other agents of the group, as it observes them.
    """

    id: int
    agent: str
    build: str
    incarnation: int
    uptime_ms: float
    store: str
    limiters: tuple[LimiterStatus, ...]
    records: tuple[Record, ...]
    observations: tuple[AgentObservation, ...] = msgspec.field(name="heard")


class Exchange(Message, tag="exchange"):
    """The status that one agent sends to another; the answer is a message of the same class.

    Attributes:
        id: The id of the request.
        agent: The name of the sender.
        incarnation: The incarnation of the sender.
        sequence: The sequence number of the status within the incarnation.
        limiters: The limiters of the sender.
        digest: The digest of the sender's drain records.
        records: The records; empty where the receiver's last message had the same digest.
        observations: The sender's observations of agents that the receiver has not heard from.
        ledger: The newest encoded ledger that the sender knows to be chosen; empty where the receiver has it already.
        ledger_version: The version of the sender's ledger; -1 where it has none.
        unheard_agents: The agents that the sender has not heard from recently; None from a sender that does not list
            them.
        halts: The halts of plans, as plan id, revision and reason. They are in force at once, also without a majority.
        agent_brief: The status of the sending agent itself.
    """

    id: int
    agent: str
    incarnation: int
    sequence: int
    limiters: tuple[LimiterBrief, ...]
    digest: str
    records: tuple[Record, ...]
    observations: tuple[AgentObservation, ...] = msgspec.field(name="heard")
    ledger: bytes = b""
    ledger_version: int = -1
    unheard_agents: tuple[str, ...] | None = msgspec.field(name="lacks", default=None)
    halts: tuple[tuple[str, int, str], ...] = ()
    agent_brief: AgentBrief = msgspec.field(name="itself", default=AgentBrief())
