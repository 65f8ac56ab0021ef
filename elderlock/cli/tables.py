"""Plain tables for a terminal or a pipe."""

from __future__ import annotations

from collections.abc import Sequence

from elderlock.control.messages import AnswerCounts, LimiterState
from elderlock.control.messages import CounterStatus as CounterState
from elderlock.fleet import messages as f
from elderlock.fleet.client.answers import failure_reason
from elderlock.fleet.client.drain_plan import Plan, summarize_servers
from elderlock.fleet.client.explanation import Explanation, summarize_evidence
from elderlock.fleet.client.observation import GroupObservation
from elderlock.fleet.client.report import CommandReport

BOLD, PLAIN = "\x1b[1m", "\x1b[0m"


def table(head: Sequence[str], rows: Sequence[Sequence[str]], colour: bool) -> list[str]:
    widths = [max(len(row[n]) for row in (head, *rows)) for n in range(len(head))]
    lines = [
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip() for row in (head, *rows)
    ]
    return [f"{BOLD}{lines[0]}{PLAIN}" if colour else lines[0], *lines[1:]]


def age(ms: float) -> str:
    if ms < 0:
        return "never"
    if ms < 10_000:
        return f"{ms / 1000.0:.1f} s"
    if ms < 600_000:
        return f"{ms / 1000.0:.0f} s"
    return f"{ms / 3_600_000.0:.1f} h" if ms >= 7_200_000 else f"{ms / 60_000.0:.0f} min"


def number(value: float) -> str:
    return "-" if value < 0 else f"{value:.0f}"


def counts(each: AnswerCounts) -> list[str]:
    return [str(each.served), str(each.refused), str(each.failed)]


def show(seen: GroupObservation, accounts: bool, colour: bool) -> list[str]:
    lines: list[str] = []
    rows = [_limiter(agent, limiter) for agent, shown in sorted(seen.shown.items()) for limiter in shown.limiters]
    head = (
        "LIMITER",
        "AGENT",
        "PHASE",
        "LINK",
        "UP",
        "OPEN",
        "SERVED",
        "REFUSED",
        "FAILED",
        "P50 ms",
        "P99 ms",
        "THROTTLE",
        "DRAINED",
    )
    lines += table(head, rows, colour)
    lines += ["", *_boxes(seen, colour)]
    for agent, shown in sorted(seen.shown.items()):
        lines += [f"{agent}: {shown.store}"] if shown.store else []
        lines += [
            f"{limiter.name}: {limiter.link}, {limiter.link_why}"
            for limiter in shown.limiters
            if limiter.link_why and limiter.link != "answering"
        ]
    lines += [counter_line(state.limiter, state.counter) for state in seen.states() if state.counter is not None]
    lines += _missing(seen)
    if accounts:
        lines += ["", *_accounts(seen, colour)]
        leases = [
            [
                state.limiter,
                one.account,
                f"{one.stored_units:.1f} of {one.burst_units:g}",
                f"{one.drawn_units:.1f}",
                f"{one.unreported_units:.1f}",
            ]
            for state in seen.states()
            if state.counter is not None
            for one in state.counter.leases
        ]
        if leases:
            lines += ["", *table(("LIMITER", "ACCOUNT'S STORE", "LEVEL", "DRAWN", "NOT TOLD"), leases, colour)]
    return lines


def shared(seen: GroupObservation, colour: bool) -> list[str]:
    """What limiters share: per limiter what was told within which bounds, per box the evidence with who gave it."""
    states = seen.states()
    sharing = [state for state in states if state.shared is not None]
    parts = [
        f"{state.limiter}: ceilings by demand, {c.given_units:.1f} units given, {c.taken_units:.1f} taken, "
        f"{c.offered_units:.1f} on their way; {c.maximum_sent_per_s:g} datagrams a second at most"
        for state in states
        if (c := state.ceilings) is not None
    ]
    if not sharing:
        said = "no limiter that answers shares evidence ([shared] in the operators' file)"
        return [*parts, said, *_missing(seen)]
    rows = []
    for state in sharing:
        told = state.shared
        assert told is not None
        rows.append(
            [
                state.limiter,
                str(told.servers),
                age(told.evidence_lifetime_ms),
                str(told.sent),
                f"{told.maximum_sent_per_s:g}",
                str(told.received),
                str(told.refused),
                age(told.received_age_ms),
                numbers(told.disbelieved),
                "yes" if told.is_silent else "no",
            ]
        )
    head = (
        "LIMITER",
        "BOXES",
        "COUNTS FOR",
        "TOLD",
        "MOST A S",
        "HEARD",
        "REFUSED",
        "LAST HEARD",
        "DISBELIEVES",
        "DOUBTS ITSELF",
    )
    lines = table(head, rows, colour)
    if apart := [state.limiter for state in states if state.shared is None]:
        lines.append(f"shares nothing: {', '.join(apart)}")
    found = summarize_evidence(sharing)
    if found:
        boxes = [
            [
                each.server,
                f"{each.weighed:g} of {each.enough:g}",
                f"{each.held_by}/{len(sharing)}",
                ages(each.failed),
                ages(each.answered),
                ", ".join(each.left_out_by) or "-",
            ]
            for each in found
        ]
        about = ("BOX", "FAILURES WEIGH", "HELD BY", "FAILED AT (AGO)", "ANSWERED AT (AGO)", "LEFT OUT BY")
        lines += ["", *table(about, boxes, colour)]
    return [*lines, *([] if found else ["no evidence on any box"]), *parts, *_missing(seen)]


def numbers(limiters: Sequence[int]) -> str:
    """Limiters tell one another their numbers in the settings, not their names."""
    return ", ".join(f"#{limiter}" for limiter in limiters) or "-"


def ages(rows: Sequence[tuple[int, float]], most: int = 4) -> str:
    told = ", ".join(f"#{limiter} {age(ms)}" for limiter, ms in rows[:most])
    return f"{told} and {len(rows) - most} more" if len(rows) > most else told or "-"


def explanation_table(found: Explanation, colour: bool) -> list[str]:
    rows = []
    for word in found.statements:
        health = word.health
        witnesses = health.witnesses if health is not None else ()
        failed = [(w.limiter, w.failed_age_ms) for w in witnesses if w.failed_age_ms >= 0.0]
        answered = [(w.limiter, w.answered_age_ms) for w in witnesses if w.answered_age_ms >= 0.0]
        rows.append(
            [
                word.limiter,
                "yes" if word.is_used else "no",
                word.why or ("-" if word.is_listed else "not in its list"),
                age(word.since_ms) if word.since_ms >= 0.0 else "-",
                str(word.open_requests),
                number(word.latency_ms),
                numbers(health.ejected_by) if health is not None else "-",
                ages(failed),
                ages(answered),
            ]
        )
    head = (
        "LIMITER",
        "USED",
        "WHY NOT",
        "SINCE",
        "OUT",
        "LATENCY ms",
        "BY FAILURES OF",
        "FAILED AT (AGO)",
        "ANSWERED AT (AGO)",
    )
    silent = [f"says nothing: {', '.join(found.silent)}"] if found.silent else []
    return [*found.lines(), "", *table(head, rows, colour), *silent]


def counter_line(limiter: str, told: CounterState) -> str:
    return (
        f"{limiter}: counter {told.mode} for {age(told.since_ms)}, generation {told.generation}, "
        f"{told.accounts} accounts, {told.calls} calls, {told.calls_per_s:.0f} a second at most, "
        f"error in force {told.error_units:.1f} units"
    )


def _limiter(agent: str, limiter: f.LimiterStatus) -> list[str]:
    state = limiter.state
    phase = limiter.phase + (f" ({limiter.restarts} restarts)" if limiter.restarts else "")
    if limiter.next_start_ms >= 0:
        phase += f", next in {age(limiter.next_start_ms)}"
    link = limiter.link if limiter.link == "answering" else f"{limiter.link} ({age(limiter.state_age_ms)})"
    if state is None:
        return [limiter.name, agent, phase, link, *["-"] * 9]
    return [
        limiter.name,
        agent,
        phase,
        link,
        age(state.uptime_ms),
        str(state.open_requests),
        *counts(state.counts),
        number(state.answer_p50_ms),
        number(state.answer_p99_ms),
        state.throttle.phase,
        "yes" if state.is_drained else "no",
    ]


def _boxes(seen: GroupObservation, colour: bool) -> list[str]:
    states = seen.states()
    boxes = summarize_servers(states)
    rows = []
    for uid, box in boxes.items():
        views = [b for s in states for b in s.servers if b.uid == uid]
        latencies = [b.latency_ms for b in views if b.latency_ms >= 0]
        latency = f"{min(latencies):.0f}-{max(latencies):.0f}" if latencies else "-"
        reasons = {b.unavailable_reason for b in views if b.unavailable_reason}
        record = seen.records.get("box", uid)
        generation = str(record.generation) if record is not None else "-"
        rows.append(
            [
                uid,
                box.zone,
                box.kind,
                f"{box.weight:g}",
                str(box.open_requests),
                latency,
                number(box.queue),
                age(box.report_age_ms),
                f"{len(views)}/{len(states)}",
                generation,
                "; ".join(sorted(reasons)) or "-",
            ]
        )
    head = ("BOX", "FLOOR", "KIND", "WEIGHT", "OUT", "LATENCY ms", "QUEUE", "REPORT", "KNOWN BY", "GEN", "LEFT OUT")
    return table(head, rows, colour)


def _missing(seen: GroupObservation) -> list[str]:
    lines = []
    for agent, missing in sorted(seen.missing.items()):
        lines.append(f"agent {agent} does not answer: {failure_reason(missing)}")
        heard = seen.observations.get(agent)
        if heard is None:
            lines.append("  no other agent has heard of it")
            continue
        told = f"told by {heard.via}" if heard.via else "heard by an agent that answers"
        lines.append(f"  {heard.standing}, last word {age(heard.age_ms)} ago ({told}):")
        lines += [
            f"  {b.name}: {b.phase}, {b.link}, {b.open} open{', drained' if b.is_drained else ''}"
            for b in heard.limiters
        ]
    return lines


def _accounts(seen: GroupObservation, colour: bool) -> list[str]:
    rows = [
        [state.limiter, name, *counts(each)]
        for state in seen.states()
        for name, each in [*sorted(state.plans.items()), *state.accounts.items()]
    ]
    return table(("LIMITER", "PLAN OR ACCOUNT", "SERVED", "REFUSED", "FAILED"), rows, colour)


def limiter_details(state: LimiterState) -> list[str]:
    throttle = state.throttle
    return [
        f"{state.limiter}: version {state.build}, configuration {state.config_digest}, at {state.listen}",
        f"  list {state.list_version} of {state.discovery}, told {age(state.list_age_ms)} ago; "
        f"held by agent {state.owner or '-'} (epoch {state.owner_epoch}); {state.clients} client connections",
        f"  throttle {throttle.phase}: leak {throttle.leak_rate:.1f}/s, "
        f"let in {throttle.admit_rate:.1f}/s, answered {throttle.answer_rate:.1f}/s",
        *[f"  peer {p.number}: passed over, {p.missed_answers} questions open" for p in state.peers if p.is_skipped],
    ]


def progress(title: str, account: CommandReport) -> list[str]:
    """Live lines of a drain: each limiter in work, finished, or not reached."""
    lines = []
    for row in account.rows():
        name = row.limiter or f"(limiters of {row.agent})"
        if row.state == "reached":
            work = f"in work, {row.open_requests} out" if row.open_requests and account.wanted[row.key] else "finished"
            word = f"reached; {work}" + (f"; {row.why}" if row.why else "")
        else:
            word = f"{row.state.replace('-', ' ')}: {row.why}"
        lines.append(f"{title}: {row.key[1]} at {name}: {word}")
    return lines


def account_table(account: CommandReport, colour: bool) -> list[str]:
    from datetime import UTC, datetime

    rows = []
    for row in account.rows():
        at = datetime.fromtimestamp(row.at / 1000.0, UTC).strftime("%H:%M:%S.%f")[:-3] if row.at else "-"
        rows.append(
            [
                row.key[1],
                row.limiter or "?",
                row.agent,
                row.state.replace("-", " "),
                at,
                str(row.open_requests),
                row.why or "-",
            ]
        )
    head = ("TARGET", "LIMITER", "AGENT", "STATE", "AT (UTC)", "OUT", "WHY")
    return [*table(head, rows, colour), *account.text()]


def plan_lines(plan: Plan) -> list[str]:
    queue = f", {plan.queue_after:.1f} waiting for each unit of weight left" if plan.queue_after >= 0 else ""
    steps = "; then ".join(", ".join(step) for step in plan.steps) or "nothing in service is touched"
    return [
        f"capacity in service: {100 * plan.capacity_before:.0f} % now, "
        f"{100 * plan.capacity_after:.0f} % after{queue}",
        f"steps: {steps}",
    ]
