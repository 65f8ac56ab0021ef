"""Translates the simulator's text wire to the interface and back, one `Limiter` for each instance."""

from __future__ import annotations

import base64
import binascii
import json
import sys
from collections.abc import Callable
from typing import TextIO, TypeVar

from elderlock import interface as api
from elderlock.decisions.limiter import Limiter
from elderlock.settings_reader import read_settings

OUTCOMES = {
    0: api.Outcome.OK,
    255: api.Outcome.ERROR,
    254: api.Outcome.FULL,
    253: api.Outcome.TIMEOUT,
    252: api.Outcome.CONNECT_FAILED,
    251: api.Outcome.RESET,
    250: api.Outcome.CANCELLED,
    249: api.Outcome.NOT_FORWARDED,
}
STATES = {
    "Running": api.ServerState.RUNNING,
    "Stopping": api.ServerState.DRAINING,
    "Deleted": api.ServerState.REMOVED,
}
LISTS = {
    "changes": api.ListKind.CHANGES,
    "all": api.ListKind.COMPLETE,
    "remembered": api.ListKind.CACHED,
    "refused": api.ListKind.REFUSED,
}
TEXT_FIELDS = {"born": "facts"}
T = TypeVar("T")


class WireError(Exception):
    """The input does not follow the wire."""


class Fields:
    """The name=value pairs of one line, read with their types."""

    def __init__(self, line: str) -> None:
        self.message, _, rest = line.partition(" ")
        self._values: dict[str, str] = {}
        text_field = TEXT_FIELDS.get(self.message)
        if text_field is not None:
            head, found, text = (" " + rest).partition(f" {text_field}=")
            if found:
                self._values[text_field] = text
            rest = head
        for part in rest.split():
            name, found, value = part.partition("=")
            if not found:
                raise WireError(f"{self.message}: {part!r} is not a name=value pair")
            self._values[name] = value

    def _typed(self, name: str, convert: Callable[[str], T], default: T | None) -> T:
        value = self._values.get(name)
        if value is None:
            if default is None:
                raise WireError(f"{self.message}: field '{name}' is missing")
            return default
        try:
            return convert(value)
        except (ValueError, KeyError, binascii.Error):
            raise WireError(f"{self.message}: field '{name}' is ill-typed: {value!r}") from None

    def text(self, name: str) -> str:
        return self._typed(name, str, None)

    def whole(self, name: str, default: int | None = None) -> int:
        return self._typed(name, int, default)

    def number(self, name: str, default: float | None = None) -> float:
        return self._typed(name, finite, default)

    def flag(self, name: str) -> bool:
        return self._typed(name, lambda value: {"0": False, "1": True}[value], False)

    def data(self, name: str) -> bytes:
        return self._typed(name, lambda value: b"" if value == "-" else base64.b64decode(value, validate=True), None)

    def choice(self, name: str, table: dict[str, T]) -> T:
        return self._typed(name, lambda value: table[value], None)

    def outcome(self) -> api.Outcome:
        return self._typed("status", lambda value: OUTCOMES[int(value)], None)


def finite(value: str) -> float:
    number = float(value)
    if number != number or number in (float("inf"), float("-inf")):
        raise ValueError(value)
    return number


def entry_of(f: Fields) -> api.ServerEntry:
    return api.ServerEntry(
        server_id=f.text("server"),
        zone=f.whole("hall"),
        kind=f.whole("family-type"),
        cell=f.whole("cluster"),
        state=f.choice("stage-state", STATES),
        weight=f.number("power-hint"),
        started_at_ms=f.number("ready-at", 0.0),
    )


def request_of(f: Fields) -> api.RequestArrived:
    return api.RequestArrived(
        request_id=f.text("ref"),
        class_index=f.whole("grade"),
        plan_index=f.whole("plan"),
        customer_id=f.text("caller"),
        units=f.number("cost-units"),
        deadline_ms=f.number("give-up-at"),
        limiter_count=f.whole("width"),
        first_limiter=f.whole("from-no"),
    )


def ended_of(f: Fields) -> api.AttemptEnded:
    return api.AttemptEnded(
        request_id=f.text("ref"),
        attempt_index=f.whole("shot"),
        server_id=f.text("server"),
        outcome=f.outcome(),
        duration_ms=f.number("spent"),
        is_answered=f.flag("finished"),
        meter=f.whole("seen-use", 0),
        settled_units=f.number("charged", 0.0),
    )


EVENTS: dict[str, Callable[[Fields], api.Event]] = {
    "inbound": request_of,
    "settled": ended_of,
    "established": lambda f: api.StreamStarted(f.text("ref"), f.whole("shot"), f.text("server"), f.number("spent")),
    "timed_out_client": lambda f: api.ClientDisconnected(f.text("ref")),
    "check_result": lambda f: api.HealthCheckEnded(f.text("server"), f.outcome(), f.number("spent")),
    "mail": lambda f: api.PeerMessage(f.whole("author"), f.data("payload")),
    "count_result": lambda f: api.CounterAnswered(
        f.whole("name"), f.outcome(), f.number("result-value", 0.0), f.number("spent", 0.0)
    ),
    "due": lambda f: api.TimerFired(f.whole("tag")),
}


def line_of(action: api.Action) -> str:
    match action:
        case api.SendAttempt(request, server, timeout):
            return f"send ref={request} server={server} patience={timeout:.3f}"
        case api.Reject(request, retry_after):
            return f"say_no ref={request} not-before-for={retry_after:.3f}"
        case api.Fail(request):
            return f"give_up ref={request}"
        case api.CancelAttempt(request, attempt):
            return f"recall ref={request} shot={attempt}"
        case api.SendPeerMessage(receiver, data):
            return f"broadcast_to addressee={receiver} payload={base64.b64encode(data).decode() or '-'}"
        case api.Subscribe(active):
            return f"listen active={int(active)}"
        case api.FetchServerList():
            return "read_list"
        case api.SetTimer(wait, token):
            return f"defer wait={wait:.3f} tag={token}"
        case api.Log(text):
            return f"journal_line msg={text}"
        case api.Permit() | api.AddToCounter():
            raise WireError(f"the simulator's wire has no {type(action).__name__} here")


class Adapter:
    """Feeds batches to the limiters and gathers their actions."""

    def __init__(self) -> None:
        self._limiters: dict[int, Limiter] = {}
        self._lists: dict[int, tuple[api.ServerEntry, ...]] = {}
        self._target: int | None = None
        self._replies: list[tuple[int, str]] = []

    def batch(self, lines: list[str]) -> list[str]:
        """Answers one batch, from its `mark` line to the line before `eof_batch`."""
        mark = Fields(lines[0])
        if mark.message != "mark":
            raise WireError(f"expected mark, got {mark.message!r}")
        now, serial = mark.number("at-time"), mark.whole("serial")
        self._target, self._replies = None, []
        at = 1
        while at < len(lines):
            fields = Fields(lines[at])
            at += 1
            if fields.message == "list":
                slot, rows = fields.whole("slot"), fields.whole("rows")
                items = [Fields(line) for line in lines[at : at + rows]]
                if len(items) != rows or any(i.message != "item" for i in items):
                    raise WireError(f"list: field 'rows' says {rows}, that many item lines do not follow")
                self._lists[slot] = tuple(entry_of(i) for i in items)
                at += rows
            elif fields.message == "target_instance":
                self._target = fields.whole("limiter")
            else:
                self._event(fields, now)
        reply, target = [], None
        for instance, line in self._replies:
            if instance != target:
                reply.append(f"as limiter={instance}")
                target = instance
            reply.append(line)
        return [*reply, f"done serial={serial}"]

    def _event(self, fields: Fields, now: float) -> None:
        if self._target is None:
            raise WireError(f"{fields.message}: no target_instance before it")
        try:
            self._deliver(self._target, fields, now)
        except WireError as error:
            raise WireError(f"instance {self._target}: {error}") from None

    def _deliver(self, target: int, fields: Fields, now: float) -> None:
        message = fields.message
        if message == "born":
            seed, facts = fields.whole("seed"), fields.text("facts")
            try:
                settings = read_settings(json.loads(facts))
            except json.JSONDecodeError as error:
                raise WireError(f"born: field 'facts' is not JSON: {error}") from None
            except KeyError as error:
                raise WireError(f"born: field 'facts': {error} is missing or not known") from None
            except (TypeError, ValueError, AttributeError) as error:
                raise WireError(f"born: field 'facts' is ill-typed: {error}") from None
            limiter = Limiter(settings, seed, now)
            self._limiters[target] = limiter
            self._keep(target, limiter.start(now))
            return
        if message == "power_off":
            self._limiters.pop(target, None)
            return
        if message == "endpoints":
            event: api.Event = self._list_of(fields)
        elif message in EVENTS:
            event = EVENTS[message](fields)
        else:
            raise WireError(f"message {message!r} is not known")
        running = self._limiters.get(target)
        if running is None:
            raise WireError(f"{message}: the instance is not running")
        self._keep(target, running.handle(event, now))

    def _list_of(self, fields: Fields) -> api.ServerList:
        kind = fields.choice("form", LISTS)
        if kind is api.ListKind.REFUSED:
            return api.ServerList(fields.whole("rev", 0), kind)
        slot = fields.whole("slot")
        if slot not in self._lists:
            raise WireError(f"endpoints: field 'slot' names list {slot}, which has not come")
        return api.ServerList(fields.whole("rev"), kind, self._lists[slot])

    def _keep(self, target: int, actions: list[api.Action]) -> None:
        self._replies.extend((target, line_of(action)) for action in actions)


def serve(source: TextIO, sink: TextIO) -> None:
    adapter = Adapter()
    batch: list[str] = []
    for raw in source:
        line = raw.rstrip("\r\n")
        if line == "eof_batch":
            if not batch:
                raise WireError("eof_batch: no batch has begun")
            sink.write("\n".join(adapter.batch(batch)) + "\n")
            sink.flush()
            batch = []
        elif line:
            batch.append(line)
    if batch:
        raise WireError("the input ends inside a batch")


def main() -> int:
    sys.stdin.reconfigure(encoding="utf-8", errors="strict")  # type: ignore[union-attr]
    try:
        serve(sys.stdin, sys.stdout)
    except (WireError, UnicodeDecodeError) as error:
        print(f"elderlock: {error}", file=sys.stderr)
        return 2
    except BrokenPipeError:
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
