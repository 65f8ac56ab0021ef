"""Builds with one known fault each: what a judge has to see. The simulation puts one under its own process, the proving
ground under a child (`ELDERLOCK_TRIAL_FLAW`); no code that ships loads this."""

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


class Patching(Protocol):
    """As pytest's monkeypatch has it."""

    def setattr(self, target: Any, name: str, value: Any) -> None: ...


class Patch:
    """For the rest of the process."""

    def setattr(self, target: Any, name: str, value: Any) -> None:
        if not hasattr(target, name):
            raise AttributeError(f"{target} has no {name}: the mutant would change nothing")
        setattr(target, name, value)


Mutant = Callable[[Patching], None]


def loses(patch: Patching) -> None:
    """A failure is not answered, and nobody watches over patience."""
    kept = Gateway._answer

    def answer(self: Gateway, name: str, text: bytes) -> None:
        if text.startswith(b"-BUSY"):
            kept(self, name, text)

    patch.setattr(Gateway, "_answer", answer)
    patch.setattr(Gateway, "_deadline_passed", lambda self, request: None)


def tries_all_again(patch: Patching) -> None:
    """An attempt that may have run is made again whatever the class."""
    kept = ServerSelector.choose

    def choose(self: ServerSelector, request: OpenRequest) -> Any:
        safe = replace(request.request_class, idempotency=api.Idempotency.IDEMPOTENT)
        request.request_class, own = safe, request.request_class
        try:
            return kept(self, request)
        finally:
            request.request_class = own

    patch.setattr(ServerSelector, "choose", choose)


def keeps_sending(patch: Patching) -> None:
    """Lists that say that a box drains are not read."""
    kept = Endpoints.apply_server_list

    def listed(self: Endpoints, event: api.ServerList) -> None:
        entries = tuple(
            e
            if e.state is not api.ServerState.DRAINING
            else api.ServerEntry(
                e.server_id, e.zone, e.kind, e.cell, api.ServerState.RUNNING, e.weight, e.started_at_ms
            )
            for e in event.entries
        )
        kept(self, api.ServerList(event.version, event.kind, entries))

    def told(self: Gateway, listed: EndpointList, kind: api.ListKind) -> None:
        targets = tuple(
            t
            if t.entry.state is not api.ServerState.DRAINING
            else replace(t, entry=replace(t.entry, state=api.ServerState.RUNNING))
            for t in listed.servers
        )
        kept_list(self, replace(listed, servers=targets), kind)

    kept_list = Gateway._apply_list
    patch.setattr(Endpoints, "apply_server_list", listed)
    patch.setattr(Gateway, "_apply_list", told)


def knows_no_cold(patch: Patching) -> None:
    patch.setattr(SlowStart, "capacity_fraction", lambda self, server: 1.0)
    patch.setattr(SlowStart, "check_budget", lambda self, server: UNLIMITED)
    patch.setattr(Throttle, "admits", lambda self, inside, value, now: True)
    patch.setattr(LoadEstimator, "queue_pressure", lambda self: 0.0)


def knows_no_ceiling(patch: Patching) -> None:
    patch.setattr(Quotas, "exceeds_hard_ceiling", lambda self, account, units: False)


def lies_of_drains(patch: Patching) -> None:
    """A limiter says that it holds a drain and goes on."""
    patch.setattr(DrainOverlay, "_with_drain", lambda self, target: target)


def raises(patch: Patching) -> None:
    kept = Attempts.handle_attempt_end

    def ended(self: Attempts, event: api.AttemptEnded) -> None:
        if event.outcome is api.Outcome.ERROR:
            raise KeyError("an outcome that nobody thought of")
        kept(self, event)

    patch.setattr(Attempts, "handle_attempt_end", ended)


def never_lets_go(patch: Patching) -> None:
    patch.setattr(Attempts, "_forget_if_complete", lambda self, request: None)


def forgets_no_timer(patch: Patching) -> None:
    """Each request leaves something that nobody takes away."""
    kept = RetryPolicy.record_first_send

    def first_sent(self: RetryPolicy) -> None:
        kept(self)
        for _ in range(3):
            self.context.timers.schedule(self.context.now_ms + 1e9, -7)

    patch.setattr(RetryPolicy, "record_first_send", first_sent)


def hears_no_other(patch: Patching) -> None:
    """The tool tells one agent, and agents take nothing from one another."""
    from elderlock.fleet.client.group_client import Group

    kept = Group.ask_all

    async def ask_all(self: Group, make: Any, answer: Any, within: float, agents: Any = None) -> Any:
        return await kept(self, make, answer, within, ["agent-0"])

    patch.setattr(Group, "ask_all", ask_all)
    learns_nothing(patch)


def learns_nothing(patch: Patching) -> None:
    """Agents take nothing from one another."""
    from elderlock.fleet.agent.agent import Agent

    patch.setattr(Agent, "merge_records", lambda self, records, via: None)


def leaks_descriptors(patch: Patching) -> None:
    """Each request leaves some open for good."""
    kept = RetryPolicy.record_first_send

    def first_sent(self: RetryPolicy) -> None:
        kept(self)
        for _ in range(3):
            os.open(os.devnull, os.O_RDONLY)

    patch.setattr(RetryPolicy, "record_first_send", first_sent)


def keeps_what_is_over(patch: Patching) -> None:
    """A request that is answered stays among those that are open."""

    def over(self: Gateway, request: Any, answer: Any) -> None:
        name = request.command.client_request_id
        kept(self, request, answer)
        self.requests.client_ids.add(name)

    kept = Gateway._finish
    patch.setattr(Gateway, "_finish", over)


def keeps_nothing(patch: Patching) -> None:
    """A record counts before it is durable: the store's transactions are never ended."""
    from elderlock.fleet.agent_store import Store

    def write(self: Store, *statements: Any) -> None:
        if not self._db.in_transaction:
            self._db.execute("BEGIN IMMEDIATE")
        for text, values in statements:
            self._db.execute(text, values)

    patch.setattr(Store, "_write", write)


def grants_alone(patch: Patching) -> None:
    """An agent takes its own vote for a majority."""
    from elderlock.fleet.consensus.member import ConsensusMember

    patch.setattr(ConsensusMember, "quorum", property(lambda self: 1))


def knows_no_budget(patch: Patching) -> None:
    from elderlock.rollout import permit_ledger as ledger

    patch.setattr(ledger, "refusal_reasons", lambda budget, inventory, held, going: [])


# Versions of limiters that a release has to stop


def crashes_at_start(patch: Patching) -> None:
    patch.setattr(Gateway, "start", lambda self: os._exit(4))


def crashes_later(patch: Patching) -> None:
    """After so many seconds as ELDERLOCK_TRIAL_AFTER says."""
    kept = Gateway.start

    def start(self: Gateway) -> None:
        kept(self)
        self._loop.call_later(float(os.environ.get("ELDERLOCK_TRIAL_AFTER", "10")), os._exit, 3)

    patch.setattr(Gateway, "start", start)


def refuses_all(patch: Patching) -> None:
    def take(self: Gateway, command: Any, reply: Any, asked: Any) -> None:
        if self._observer is not None:
            self._observer.on_answer(command, 0.2, BUSY_ANSWER)
        reply(BUSY_ANSWER)

    patch.setattr(Gateway, "_accept", take)


def slower_by_a_fifth(patch: Patching) -> None:
    kept = Gateway._attempt_ended

    def ended(self: Gateway, attempt: Any, outcome: Any, value: Any) -> None:
        took = self.now_ms() - attempt.started_at_ms
        self._loop.call_later(0.2 * took / 1000.0, kept, self, attempt, outcome, value)

    patch.setattr(Gateway, "_attempt_ended", ended)


def refuses_its_agent(patch: Patching) -> None:
    """It speaks another version of the control protocol."""
    from elderlock.control import messages as m
    from elderlock.control.command_authority import CommandAuthority

    patch.setattr(
        CommandAuthority, "_hello", lambda self, visitor, hello, now: m.Refused("version", "it speaks version 99 alone")
    )


# Versions of agents that a release has to stop


def agent_crashes_at_start(patch: Patching) -> None:
    from elderlock.fleet.agent.agent import Agent

    patch.setattr(Agent, "start", lambda self: os._exit(4))


def agent_crashes_later(patch: Patching) -> None:
    """Once it has told its base that its group hears it."""
    from elderlock.fleet.plans.agent_release import AgentRelease

    kept = AgentRelease.on_majority_answer

    def on_majority_answer(self: AgentRelease) -> None:
        kept(self)
        asyncio.get_running_loop().call_later(float(os.environ.get("ELDERLOCK_TRIAL_AFTER", "1")), os._exit, 3)

    patch.setattr(AgentRelease, "on_majority_answer", on_majority_answer)


def agent_is_of_another_protocol(patch: Patching) -> None:
    from elderlock.fleet import messages as f

    patch.setattr(f, "VERSION", 99)


MUTANTS: dict[str, Mutant] = {
    flaw.__name__: flaw
    for flaw in (
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
