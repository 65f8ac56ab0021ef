"""Formats the output of commands for people: tables and lines, in bold only on a terminal."""

from __future__ import annotations

from collections.abc import Sequence

from elderlock.control.messages import AnswerCounts, CounterStatus, LimiterState
from elderlock.fleet import messages
from elderlock.fleet.client.answers import failure_reason
from elderlock.fleet.client.drain_plan import Plan, summarize_servers
from elderlock.fleet.client.explanation import Explanation, summarize_evidence
from elderlock.fleet.client.observation import GroupObservation
from elderlock.fleet.client.report import CommandReport

BOLD, PLAIN = "\x1b[1m", "\x1b[0m"


def table(head: Sequence[str], rows: Sequence[Sequence[str]], bold: bool) -> list[str]:
    """Return the lines of a table with aligned columns.

    Args:
        head: The headings.
        rows: The cells of each row, as many as there are headings.
        bold: Whether to print the headings in bold.
    """
    widths = [max(len(row[column]) for row in (head, *rows)) for column in range(len(head))]
    lines = [
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip() for row in (head, *rows)
    ]
    return [f"{BOLD}{lines[0]}{PLAIN}" if bold else lines[0], *lines[1:]]


def format_age(ms: float) -> str:
    """Return an age in s, min or h; `never` for a negative one, which stands for no event."""
    if ms < 0:
        return "never"
    if ms < 10_000:
        return f"{ms / 1000.0:.1f} s"
    if ms < 600_000:
        return f"{ms / 1000.0:.0f} s"
    return f"{ms / 3_600_000.0:.1f} h" if ms >= 7_200_000 else f"{ms / 60_000.0:.0f} min"


def format_number(value: float) -> str:
    """Return a value without decimals; `-` for a negative one, which stands for an unknown value."""
    return "-" if value < 0 else f"{value:.0f}"


def format_counts(counts: AnswerCounts) -> list[str]:
    """Return the cells SERVED, REFUSED and FAILED."""
    return [str(counts.served), str(counts.refused), str(counts.failed)]


def show(observation: GroupObservation, accounts: bool, bold: bool) -> list[str]:
    """Return the tables of limiters and servers, and the state of agents that do not answer.

    Args:
        observation: The state of the group.
        accounts: Whether to add the counts and leases of plans and accounts.
        bold: Whether to print headings in bold.
    """
    lines: list[str] = []
    rows = [
        _limiter_row(agent, limiter) for agent, shown in sorted(observation.shown.items()) for limiter in shown.limiters
    ]
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
    lines += table(head, rows, bold)
    lines += ["", *_servers_table(observation, bold)]
    for agent, shown in sorted(observation.shown.items()):
        lines += [f"{agent}: {shown.store}"] if shown.store else []
        lines += [
            f"{limiter.name}: {limiter.link}, {limiter.link_why}"
            for limiter in shown.limiters
            if limiter.link_why and limiter.link != "answering"
        ]
    lines += [counter_line(state.limiter, state.counter) for state in observation.states() if state.counter is not None]
    lines += _missing_agents(observation)
    if accounts:
        lines += ["", *_accounts_table(observation, bold)]
        leases = [
            [
                state.limiter,
                lease.account,
                f"{lease.stored_units:.1f} of {lease.burst_units:g}",
                f"{lease.drawn_units:.1f}",
                f"{lease.unreported_units:.1f}",
            ]
            for state in observation.states()
            if state.counter is not None
            for lease in state.counter.leases
        ]
        if leases:
            lines += ["", *table(("LIMITER", "ACCOUNT'S STORE", "LEVEL", "DRAWN", "NOT TOLD"), leases, bold)]
    return lines


def shared(observation: GroupObservation, bold: bool) -> list[str]:
    """Return what limiters share: for each limiter its traffic and limits, for each server the health evidence.

    Args:
        observation: The state of the group.
        bold: Whether to print headings in bold.
    """
    states = observation.states()
    sharing = [state for state in states if state.shared is not None]
    ceiling_lines = [
        f"{state.limiter}: hard ceilings shared by demand, {ceilings.given_units:.1f} units given to others, "
        f"{ceilings.taken_units:.1f} taken over, {ceilings.offered_units:.1f} in transit; "
        f"at most {ceilings.maximum_sent_per_s:g} datagrams per second"
        for state in states
        if (ceilings := state.ceilings) is not None
    ]
    if not sharing:
        hint = "no limiter that answers shares evidence ([shared] in the operators' file)"
        return [*ceiling_lines, hint, *_missing_agents(observation)]
    rows = []
    for state in sharing:
        evidence = state.shared
        assert evidence is not None
        rows.append(
            [
                state.limiter,
                str(evidence.servers),
                format_age(evidence.evidence_lifetime_ms),
                str(evidence.sent),
                f"{evidence.maximum_sent_per_s:g}",
                str(evidence.received),
                str(evidence.refused),
                format_age(evidence.received_age_ms),
                format_limiter_numbers(evidence.disbelieved),
                "yes" if evidence.is_silent else "no",
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
    lines = table(head, rows, bold)
    if not_sharing := [state.limiter for state in states if state.shared is None]:
        lines.append(f"shares nothing: {', '.join(not_sharing)}")
    summaries = summarize_evidence(sharing)
    if summaries:
        server_rows = [
            [
                summary.server,
                f"{summary.weighed:g} of {summary.enough:g}",
                f"{summary.held_by}/{len(sharing)}",
                format_ages(summary.failed),
                format_ages(summary.answered),
                ", ".join(summary.left_out_by) or "-",
            ]
            for summary in summaries
        ]
        server_head = ("BOX", "FAILURES WEIGH", "HELD BY", "FAILED AT (AGO)", "ANSWERED AT (AGO)", "LEFT OUT BY")
        lines += ["", *table(server_head, server_rows, bold)]
    no_evidence = [] if summaries else ["no evidence on any box"]
    return [*lines, *no_evidence, *ceiling_lines, *_missing_agents(observation)]


def format_limiter_numbers(limiters: Sequence[int]) -> str:
    """Return limiters by their numbers in the settings, which they use in messages to each other instead of names."""
    return ", ".join(f"#{limiter}" for limiter in limiters) or "-"


def format_ages(rows: Sequence[tuple[int, float]], maximum: int = 4) -> str:
    """Return the number of each limiter with an age.

    Args:
        rows: The limiters' numbers and the ages in ms.
        maximum: How many of them to print; the others are counted.
    """
    text = ", ".join(f"#{limiter} {format_age(ms)}" for limiter, ms in rows[:maximum])
    return f"{text} and {len(rows) - maximum} more" if len(rows) > maximum else text or "-"


def explanation_table(explanation: Explanation, bold: bool) -> list[str]:
    """Return an explanation of why limiters use a server or not, with a row for each limiter.

    Args:
        explanation: The explanation.
        bold: Whether to print headings in bold.
    """
    rows = []
    for statement in explanation.statements:
        health = statement.health
        witnesses = health.witnesses if health is not None else ()
        failed = [(witness.limiter, witness.failed_age_ms) for witness in witnesses if witness.failed_age_ms >= 0.0]
        answered = [
            (witness.limiter, witness.answered_age_ms) for witness in witnesses if witness.answered_age_ms >= 0.0
        ]
        rows.append(
            [
                statement.limiter,
                "yes" if statement.is_used else "no",
                statement.why or ("-" if statement.is_listed else "not in its list"),
                format_age(statement.since_ms) if statement.since_ms >= 0.0 else "-",
                str(statement.open_requests),
                format_number(statement.latency_ms),
                format_limiter_numbers(health.ejected_by) if health is not None else "-",
                format_ages(failed),
                format_ages(answered),
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
    silent = [f"says nothing: {', '.join(explanation.silent)}"] if explanation.silent else []
    return [*explanation.lines(), "", *table(head, rows, bold), *silent]


def counter_line(limiter: str, status: CounterStatus) -> str:
    """Return the state of the shared counter as a limiter sees it.

    Args:
        limiter: The name of the limiter.
        status: Its view of the counter.
    """
    return (
        f"{limiter}: counter {status.mode} for {format_age(status.since_ms)}, generation {status.generation}, "
        f"{status.accounts} accounts, {status.calls} calls, at most {status.calls_per_s:.0f} per second, "
        f"current error bound {status.error_units:.1f} units"
    )


def _limiter_row(agent: str, limiter: messages.LimiterStatus) -> list[str]:
    """Return the row of a limiter in the table of limiters."""
    state = limiter.state
    phase = limiter.phase + (f" ({limiter.restarts} restarts)" if limiter.restarts else "")
    if limiter.next_start_ms >= 0:
        phase += f", next in {format_age(limiter.next_start_ms)}"
    link = limiter.link if limiter.link == "answering" else f"{limiter.link} ({format_age(limiter.state_age_ms)})"
    if state is None:
        return [limiter.name, agent, phase, link, *["-"] * 9]
    return [
        limiter.name,
        agent,
        phase,
        link,
        format_age(state.uptime_ms),
        str(state.open_requests),
        *format_counts(state.counts),
        format_number(state.answer_p50_ms),
        format_number(state.answer_p99_ms),
        state.throttle.phase,
        "yes" if state.is_drained else "no",
    ]


def _servers_table(observation: GroupObservation, bold: bool) -> list[str]:
    """Return the table of servers, with the state that the limiters report together."""
    states = observation.states()
    rows = []
    for uid, server in summarize_servers(states).items():
        views = [view for state in states for view in state.servers if view.uid == uid]
        latencies = [view.latency_ms for view in views if view.latency_ms >= 0]
        latency = f"{min(latencies):.0f}-{max(latencies):.0f}" if latencies else "-"
        reasons = {view.unavailable_reason for view in views if view.unavailable_reason}
        record = observation.records.get("box", uid)
        generation = str(record.generation) if record is not None else "-"
        rows.append(
            [
                uid,
                server.zone,
                server.kind,
                f"{server.weight:g}",
                str(server.open_requests),
                latency,
                format_number(server.queue),
                format_age(server.report_age_ms),
                f"{len(views)}/{len(states)}",
                generation,
                "; ".join(sorted(reasons)) or "-",
            ]
        )
    head = ("BOX", "FLOOR", "KIND", "WEIGHT", "OUT", "LATENCY ms", "QUEUE", "REPORT", "KNOWN BY", "GEN", "LEFT OUT")
    return table(head, rows, bold)


def _missing_agents(observation: GroupObservation) -> list[str]:
    """Return why agents do not answer, with the last state that another agent reported of each."""
    lines = []
    for agent, missing in sorted(observation.missing.items()):
        lines.append(f"agent {agent} does not answer: {failure_reason(missing)}")
        last_report = observation.observations.get(agent)
        if last_report is None:
            lines.append("  no other agent has a report of it")
            continue
        source = f"relayed by {last_report.via}" if last_report.via else "received by an agent that answers"
        lines.append(f"  {last_report.standing}, last report {format_age(last_report.age_ms)} ago ({source}):")
        lines += [
            f"  {brief.name}: {brief.phase}, {brief.link}, {brief.open} open{', drained' if brief.is_drained else ''}"
            for brief in last_report.limiters
        ]
    return lines


def _accounts_table(observation: GroupObservation, bold: bool) -> list[str]:
    """Return the table of the counts of plans and accounts at each limiter."""
    rows = [
        [state.limiter, name, *format_counts(counts)]
        for state in observation.states()
        for name, counts in [*sorted(state.plans.items()), *state.accounts.items()]
    ]
    return table(("LIMITER", "PLAN OR ACCOUNT", "SERVED", "REFUSED", "FAILED"), rows, bold)


def limiter_details(state: LimiterState) -> list[str]:
    """Return lines on a limiter's configuration, endpoint list, agent, throttle and skipped peers."""
    throttle = state.throttle
    return [
        f"{state.limiter}: version {state.build}, configuration {state.config_digest}, at {state.listen}",
        f"  endpoint list {state.list_version} of {state.discovery}, received {format_age(state.list_age_ms)} ago; "
        f"controlled by agent {state.owner or '-'} (epoch {state.owner_epoch}); {state.clients} client connections",
        f"  throttle {throttle.phase}: leak {throttle.leak_rate:.1f}/s, "
        f"admitted {throttle.admit_rate:.1f}/s, answered {throttle.answer_rate:.1f}/s",
        *[
            f"  peer {peer.number}: skipped, {peer.missed_answers} queries not answered"
            for peer in state.peers
            if peer.is_skipped
        ],
    ]


def progress(title: str, report: CommandReport) -> list[str]:
    """Return the progress of a drain: at each limiter it is in progress, finished or not reached.

    Args:
        title: The name of the step, which starts each line.
        report: The answers so far.
    """
    lines = []
    for row in report.rows():
        name = row.limiter or f"(limiters of {row.agent})"
        if row.state == "reached":
            is_draining = row.open_requests and report.wanted[row.key]
            state = f"in progress, {row.open_requests} requests in flight" if is_draining else "finished"
            text = f"reached; {state}" + (f"; {row.why}" if row.why else "")
        else:
            text = f"{row.state.replace('-', ' ')}: {row.why}"
        lines.append(f"{title}: {row.key[1]} at {name}: {text}")
    return lines


def report_table(report: CommandReport, bold: bool) -> list[str]:
    """Return the table of a command's targets at each limiter.

    Args:
        report: The answers to the command.
        bold: Whether to print headings in bold.
    """
    from datetime import UTC, datetime

    rows = []
    for row in report.rows():
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
    return [*table(head, rows, bold), *report.text()]


def plan_lines(plan: Plan) -> list[str]:
    """Return the effect of a drain of servers on the capacity in service, and its steps."""
    queue = f", {plan.queue_after:.1f} requests wait for each unit of remaining weight" if plan.queue_after >= 0 else ""
    steps = "; then ".join(", ".join(step) for step in plan.steps) or "no server in service is affected"
    return [
        f"capacity in service: {100 * plan.capacity_before:.0f} % now, "
        f"{100 * plan.capacity_after:.0f} % after{queue}",
        f"steps: {steps}",
    ]
