"""What all commands to a group share: the look at its state, and the form of their results."""

from __future__ import annotations

import msgspec

from elderlock.fleet import messages
from elderlock.fleet.client.drain_plan import Plan
from elderlock.fleet.client.group_client import Group
from elderlock.fleet.client.observation import GroupObservation, observe
from elderlock.fleet.client.report import CommandReport, Exit

OBSERVE_TIMEOUT_S = 1.0  # for each agent
FRESH_TIMEOUT_MS = 400.0  # that agents wait for fresh states of their limiters, to show them
RETRY_INTERVAL_S = 0.2


async def observe_group(
    group: Group,
    accounts: int = 20,
    timeout_s: float = OBSERVE_TIMEOUT_S,
    fresh_timeout_ms: float = FRESH_TIMEOUT_MS,
) -> GroupObservation:
    """Request the state of the group from all agents.

    Args:
        group: The group.
        accounts: The maximum number of accounts that each limiter lists.
        timeout_s: The timeout for each agent.
        fresh_timeout_ms: How long an agent waits for fresh states of its limiters. After that it shows their last
            states, which may be two seconds old.
    """
    answers = await group.ask_all(lambda id: messages.Show(id, accounts, fresh_timeout_ms), messages.Shown, timeout_s)
    return observe(answers)


class Result(msgspec.Struct):
    """The result of a command.

    Attributes:
        exit: The exit code.
        plan: The plan of the drain; None where there is none.
        unsafe: Why the command is unsafe, for people.
        reports: The report of each step.
        lines: More about the result, for people.
    """

    exit: Exit
    plan: Plan | None
    unsafe: tuple[str, ...]
    reports: list[CommandReport]
    lines: list[str]
