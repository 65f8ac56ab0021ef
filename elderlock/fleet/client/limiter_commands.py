"""The operators' commands that start and stop limiters."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence

from elderlock.fleet import messages
from elderlock.fleet.client.answers import Refusal, failure_reason
from elderlock.fleet.client.commands import RETRY_INTERVAL_S, Result, observe_group
from elderlock.fleet.client.drain_plan import limiter_drain_risks
from elderlock.fleet.client.group_client import Group
from elderlock.fleet.client.report import Exit


async def order_limiters(
    group: Group,
    action: str,
    names: Sequence[str],
    force: bool,
    timeout_s: float,
    give_up_after_s: float | None,
    on_progress: Callable[[str], None],
) -> Result:
    """Start or stop limiters, and wait until they run or have stopped.

    Args:
        group: The group.
        action: `start` or `stop`.
        names: The names of the limiters.
        force: Whether to do it although it is unsafe.
        timeout_s: The timeout for each request to an agent.
        give_up_after_s: How long to wait; None for no limit.
        on_progress: Is called with a line for people whenever something has changed.
    """
    observation = await observe_group(group, accounts=0, timeout_s=timeout_s)
    agent_of = {name: agent for agent, limiters in observation.limiters().items() for name in limiters}
    unknown = [name for name in names if name not in agent_of]
    if unknown:
        failures = [f"agent {name}: {failure_reason(failure)}" for name, failure in observation.missing.items()]
        return Result(Exit.NOTHING, None, (), [], [f"limiter {name} is not known" for name in unknown] + failures)
    if action == "stop" and not force and (unsafe := limiter_drain_risks(observation.serving(), names)):
        return Result(Exit.UNSAFE, None, unsafe, [], [])
    wanted_phase = "running" if action == "start" else "stopped"
    lines: list[str] = []
    done: set[str] = set()
    pending = set(names)
    ordered: set[str] = set()
    loop = asyncio.get_running_loop()
    deadline_s = None if give_up_after_s is None else loop.time() + give_up_after_s
    refused: set[str] = set()
    while pending:
        for name in sorted(pending - ordered):
            answer = await group.ask(
                agent_of[name],
                lambda id, name=name: messages.Order(id, action, name),  # type: ignore[misc,arg-type]
                messages.Ordered,
                timeout_s,
            )
            if isinstance(answer, messages.Ordered):
                ordered.add(name)
                on_progress(f"{name}: {answer.text}")
            elif isinstance(answer, Refusal):
                refused.add(name)
                lines.append(f"{name}: agent {agent_of[name]} refuses: {answer.text}")
        pending -= refused
        observation = await observe_group(group, accounts=0, timeout_s=timeout_s)
        for shown in observation.shown.values():
            for limiter in shown.limiters:
                if limiter.name in pending & ordered and limiter.phase in (wanted_phase, "gave-up"):
                    if limiter.phase == wanted_phase:
                        done.add(limiter.name)
                    else:
                        reason = f"given up after {limiter.restarts} restarts; see its log"
                        lines.append(f"{limiter.name}: {reason}")
                    on_progress(f"{limiter.name}: {limiter.phase}")
                    pending.discard(limiter.name)
        if pending and deadline_s is not None and loop.time() >= deadline_s:
            break
        if pending:
            await asyncio.sleep(RETRY_INTERVAL_S)
    for name in sorted(pending):
        state = "ordered, not observed to be done" if name in ordered else "not reached"
        lines.append(f"{name}: {state} (agent {agent_of[name]})")
    exit = Exit.DONE if done == set(names) else Exit.PART if done or ordered else Exit.NOTHING
    return Result(exit, None, (), [], lines)
