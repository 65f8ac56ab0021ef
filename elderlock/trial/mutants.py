"""Mutants: builds of the program with one known fault each, which an invariant checker has to detect.

The simulation applies a mutant to its own process, the test harness to a child process (`ELDERLOCK_TRIAL_FLAW`). No
code of the product loads this module. The name of a function is the name of its mutant on the command line (`--flaw`).
"""

from __future__ import annotations

import asyncio
import os
from collections.abc import Callable
from dataclasses import replace
from typing import Any, Protocol

from elderlock import interface as api
from elderlock.control.drain_overlay import DrainOverlay
from elderlock.decisions.attempts import Attempts
from elderlock.decisions.endpoints import Endpoints
from elderlock.decisions.load_estimator import LoadEstimator
from elderlock.decisions.quotas import Quotas
from elderlock.decisions.retry_policy import RetryPolicy
from elderlock.decisions.server_selection import ServerSelector
from elderlock.decisions.slow_start import UNLIMITED, SlowStart
from elderlock.decisions.throttle import Throttle
from elderlock.net.endpoint_list import EndpointList
from elderlock.net.gateway import BUSY_ANSWER, Gateway
from elderlock.state import OpenRequest


class Patcher(Protocol):
    """Replaces attributes, as pytest's `monkeypatch` does."""

    def setattr(self, target: Any, name: str, value: Any) -> None:
        """Replace an attribute."""


class ProcessPatch:
    """Replaces attributes for the rest of the process."""

    def setattr(self, target: Any, name: str, value: Any) -> None:
        """Replace an attribute.

        Raises:
            AttributeError: The attribute does not exist, so the mutant would change nothing.
        """
        if not hasattr(target, name):
            raise AttributeError(f"{target} has no attribute {name!r}: the mutant would change nothing")
        setattr(target, name, value)


Mutant = Callable[[Patcher], None]


def loses(patch: Patcher) -> None:
    """Never answer failed requests, and ignore deadlines."""
    original = Gateway._answer

    def answer_busy_only(self: Gateway, name: str, text: bytes) -> None:
        if text.startswith(b"-BUSY"):
            original(self, name, text)

    patch.setattr(Gateway, "_answer", answer_busy_only)
    patch.setattr(Gateway, "_deadline_passed", lambda self, request: None)


def tries_all_again(patch: Patcher) -> None:
    """Retry attempts that may have run, also for requests that are not idempotent."""
    original = ServerSelector.choose

    def choose_as_if_idempotent(self: ServerSelector, request: OpenRequest) -> Any:
        idempotent = replace(request.request_class, idempotency=api.Idempotency.IDEMPOTENT)
        request.request_class, actual = idempotent, request.request_class
        try:
            return original(self, request)
        finally:
            request.request_class = actual

    patch.setattr(ServerSelector, "choose", choose_as_if_idempotent)


def keeps_sending(patch: Patcher) -> None:
    """Treat servers that discovery lists as draining as running."""
    original_apply = Endpoints.apply_server_list

    def apply_as_running(self: Endpoints, event: api.ServerList) -> None:
        entries = tuple(
            entry
            if entry.state is not api.ServerState.DRAINING
            else api.ServerEntry(
                entry.server_id,
                entry.zone,
                entry.kind,
                entry.cell,
                api.ServerState.RUNNING,
                entry.weight,
                entry.started_at_ms,
            )
            for entry in event.entries
        )
        original_apply(self, api.ServerList(event.version, event.kind, entries))

    def apply_list_as_running(self: Gateway, endpoint_list: EndpointList, kind: api.ListKind) -> None:
        servers = tuple(
            server
            if server.entry.state is not api.ServerState.DRAINING
            else replace(server, entry=replace(server.entry, state=api.ServerState.RUNNING))
            for server in endpoint_list.servers
        )
        original_apply_list(self, replace(endpoint_list, servers=servers), kind)

    original_apply_list = Gateway._apply_list
    patch.setattr(Endpoints, "apply_server_list", apply_as_running)
    patch.setattr(Gateway, "_apply_list", apply_list_as_running)


def knows_no_cold(patch: Patcher) -> None:
    """Send to servers that have just started as if they were warm, and never throttle."""
    patch.setattr(SlowStart, "capacity_fraction", lambda self, server: 1.0)
    patch.setattr(SlowStart, "check_budget", lambda self, server: UNLIMITED)
    patch.setattr(Throttle, "admits", lambda self, inside, value, now: True)
    patch.setattr(LoadEstimator, "queue_pressure", lambda self: 0.0)


def knows_no_ceiling(patch: Patcher) -> None:
    """Never enforce a hard ceiling."""
    patch.setattr(Quotas, "exceeds_hard_ceiling", lambda self, account, units: False)


def lies_of_drains(patch: Patcher) -> None:
    """Confirm an operator's drain, but keep sending."""
    patch.setattr(DrainOverlay, "_with_drain", lambda self, target: target)


def raises(patch: Patcher) -> None:
    """Raise an exception when an attempt ends with an error."""
    original = Attempts.handle_attempt_end

    def raise_on_error(self: Attempts, event: api.AttemptEnded) -> None:
        if event.outcome is api.Outcome.ERROR:
            raise KeyError("unhandled outcome")
        original(self, event)

    patch.setattr(Attempts, "handle_attempt_end", raise_on_error)


def never_lets_go(patch: Patcher) -> None:
    """Keep completed requests among the open ones."""
    patch.setattr(Attempts, "_forget_if_complete", lambda self, request: None)


def forgets_no_timer(patch: Patcher) -> None:
    """Leak three timers with each request."""
    original = RetryPolicy.record_first_send

    def leak_timers(self: RetryPolicy) -> None:
        original(self)
        for _ in range(3):
            self.context.timers.schedule(self.context.now_ms + 1e9, -7)

    patch.setattr(RetryPolicy, "record_first_send", leak_timers)


def hears_no_other(patch: Patcher) -> None:
    """Have commands ask one agent only, and agents ignore each other's records."""
    from elderlock.fleet.client.group_client import Group

    original = Group.ask_all

    async def ask_first_agent(self: Group, make: Any, answer: Any, within: float, agents: Any = None) -> Any:
        return await original(self, make, answer, within, ["agent-0"])

    patch.setattr(Group, "ask_all", ask_first_agent)
    learns_nothing(patch)


def learns_nothing(patch: Patcher) -> None:
    """Have agents ignore each other's records."""
    from elderlock.fleet.agent.agent import Agent

    patch.setattr(Agent, "merge_records", lambda self, records, via: None)


def leaks_descriptors(patch: Patcher) -> None:
    """Leak three open descriptors with each request."""
    original = RetryPolicy.record_first_send

    def leak_descriptors(self: RetryPolicy) -> None:
        original(self)
        for _ in range(3):
            os.open(os.devnull, os.O_RDONLY)

    patch.setattr(RetryPolicy, "record_first_send", leak_descriptors)


def keeps_what_is_over(patch: Patcher) -> None:
    """Keep answered requests among the open ones."""

    def finish_and_keep(self: Gateway, request: Any, answer: Any) -> None:
        original(self, request, answer)
        self.requests.add(request.command, request.reply, self.now_ms())

    original = Gateway._finish
    patch.setattr(Gateway, "_finish", finish_and_keep)


def keeps_nothing(patch: Patcher) -> None:
    """Use records before they are durable: the agent's store never commits its transactions."""
    from elderlock.fleet.agent_store import Store

    def write_without_commit(self: Store, *statements: Any) -> None:
        if not self._db.in_transaction:
            self._db.execute("BEGIN IMMEDIATE")
        for text, values in statements:
            self._db.execute(text, values)

    patch.setattr(Store, "_write", write_without_commit)


def grants_alone(patch: Patcher) -> None:
    """Have an agent take its own vote for a majority."""
    from elderlock.fleet.consensus.member import ConsensusMember

    patch.setattr(ConsensusMember, "quorum", property(lambda self: 1))


def knows_no_budget(patch: Patcher) -> None:
    """Never refuse a permit because of the drain budget."""
    from elderlock.rollout import permit_ledger

    patch.setattr(permit_ledger, "refusal_reasons", lambda budget, inventory, held, going: [])


# Versions of limiters at which a release has to stop


def crashes_at_start(patch: Patcher) -> None:
    """Exit when the limiter starts."""
    patch.setattr(Gateway, "start", lambda self: os._exit(4))


def crashes_later(patch: Patcher) -> None:
    """Exit the number of seconds after the start that ELDERLOCK_TRIAL_AFTER gives."""
    original = Gateway.start

    def start_and_exit_later(self: Gateway) -> None:
        original(self)
        self._loop.call_later(float(os.environ.get("ELDERLOCK_TRIAL_AFTER", "10")), os._exit, 3)

    patch.setattr(Gateway, "start", start_and_exit_later)


def refuses_all(patch: Patcher) -> None:
    """Refuse each request as if the limiter were overloaded."""

    def refuse(self: Gateway, command: Any, reply: Any, asked: Any) -> None:
        if self._observer is not None:
            self._observer.on_answer(command, 0.2, BUSY_ANSWER)
        reply(BUSY_ANSWER)

    patch.setattr(Gateway, "_accept", refuse)


def slower_by_a_fifth(patch: Patcher) -> None:
    """Delay the end of each attempt by a fifth of its duration."""
    original = Gateway._attempt_ended

    def end_later(self: Gateway, attempt: Any, outcome: Any, value: Any) -> None:
        took_ms = self.now_ms() - attempt.started_at_ms
        self._loop.call_later(0.2 * took_ms / 1000.0, original, self, attempt, outcome, value)

    patch.setattr(Gateway, "_attempt_ended", end_later)


def refuses_its_agent(patch: Patcher) -> None:
    """Speak another version of the control protocol than the agent."""
    from elderlock.control import messages
    from elderlock.control.command_authority import CommandAuthority

    patch.setattr(
        CommandAuthority,
        "_hello",
        lambda self, visitor, hello, now: messages.Refused("version", "this limiter speaks only version 99"),
    )


# Versions of agents at which a release has to stop


def agent_crashes_at_start(patch: Patcher) -> None:
    """Exit when the agent starts."""
    from elderlock.fleet.agent.agent import Agent

    patch.setattr(Agent, "start", lambda self: os._exit(4))


def agent_crashes_later(patch: Patcher) -> None:
    """Exit after the agent has told its launcher that a majority of the agents answers it."""
    from elderlock.fleet.plans.agent_release import AgentRelease

    original = AgentRelease.on_majority_answer

    def report_and_exit_later(self: AgentRelease) -> None:
        original(self)
        asyncio.get_running_loop().call_later(float(os.environ.get("ELDERLOCK_TRIAL_AFTER", "1")), os._exit, 3)

    patch.setattr(AgentRelease, "on_majority_answer", report_and_exit_later)


def agent_is_of_another_protocol(patch: Patcher) -> None:
    """Speak another version of the protocol between agents."""
    from elderlock.fleet import messages

    patch.setattr(messages, "VERSION", 99)


MUTANTS: dict[str, Mutant] = {
    mutant.__name__: mutant
    for mutant in (
        loses,
        tries_all_again,
        keeps_sending,
        knows_no_cold,
        knows_no_ceiling,
        lies_of_drains,
        raises,
        never_lets_go,
        forgets_no_timer,
        hears_no_other,
        learns_nothing,
        leaks_descriptors,
        keeps_what_is_over,
        keeps_nothing,
        grants_alone,
        knows_no_budget,
        crashes_at_start,
        crashes_later,
        refuses_all,
        slower_by_a_fifth,
        refuses_its_agent,
        agent_crashes_at_start,
        agent_crashes_later,
        agent_is_of_another_protocol,
    )
}
