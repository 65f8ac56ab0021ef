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

OUTCOMES_BY_STATUS = {
    0: api.Outcome.OK,
    255: api.Outcome.ERROR,
    254: api.Outcome.FULL,
    253: api.Outcome.TIMEOUT,
    252: api.Outcome.CONNECT_FAILED,
    251: api.Outcome.RESET,
    250: api.Outcome.CANCELLED,
    249: api.Outcome.NOT_FORWARDED,
}
SERVER_STATES_BY_NAME = {
    "Running": api.ServerState.RUNNING,
    "Stopping": api.ServerState.DRAINING,
    "Deleted": api.ServerState.REMOVED,
}
LIST_KINDS_BY_NAME = {
    "changes": api.ListKind.CHANGES,
    "all": api.ListKind.COMPLETE,
    "remembered": api.ListKind.CACHED,
    "refused": api.ListKind.REFUSED,
}
FREE_TEXT_FIELDS = {"born": "facts"}
T = TypeVar("T")


class WireError(Exception):
    """The input does not follow the wire."""


class LineFields:
    """The name=value pairs of one line, read with their types."""

    def __init__(self, line: str) -> None:
        self.message, _, rest = line.partition(" ")
        self._values: dict[str, str] = {}
        text_field = FREE_TEXT_FIELDS.get(self.message)
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

    def integer(self, name: str, default: int | None = None) -> int:
        return self._typed(name, int, default)

    def number(self, name: str, default: float | None = None) -> float:
        return self._typed(name, parse_finite_number, default)

    def flag(self, name: str) -> bool:
        return self._typed(name, lambda value: {"0": False, "1": True}[value], False)

    def data(self, name: str) -> bytes:
        return self._typed(name, lambda value: b"" if value == "-" else base64.b64decode(value, validate=True), None)

    def choice(self, name: str, table: dict[str, T]) -> T:
        return self._typed(name, lambda value: table[value], None)

    def outcome(self) -> api.Outcome:
        return self._typed("status", lambda value: OUTCOMES_BY_STATUS[int(value)], None)


def parse_finite_number(value: str) -> float:
    number = float(value)
    if number != number or number in (float("inf"), float("-inf")):
        raise ValueError(value)
    return number


def decode_server_entry(f: LineFields) -> api.ServerEntry:
    return api.ServerEntry(
        server_id=f.text("server"),
        zone=f.integer("hall"),
        kind=f.integer("family-type"),
        cell=f.integer("cluster"),
        state=f.choice("stage-state", SERVER_STATES_BY_NAME),
        weight=f.number("power-hint"),
        started_at_ms=f.number("ready-at", 0.0),
    )


def decode_request(f: LineFields) -> api.RequestArrived:
    return api.RequestArrived(
        request_id=f.text("ref"),
        class_index=f.integer("grade"),
        plan_index=f.integer("plan"),
        customer_id=f.text("caller"),
        units=f.number("cost-units"),
        deadline_ms=f.number("give-up-at"),
        limiter_count=f.integer("width"),
        first_limiter=f.integer("from-no"),
    )


def decode_attempt_ended(f: LineFields) -> api.AttemptEnded:
    return api.AttemptEnded(
        request_id=f.text("ref"),
        attempt_index=f.integer("shot"),
        server_id=f.text("server"),
        outcome=f.outcome(),
        duration_ms=f.number("spent"),
        is_answered=f.flag("finished"),
        meter=f.integer("seen-use", 0),
        settled_units=f.number("charged", 0.0),
    )


EVENT_DECODERS: dict[str, Callable[[LineFields], api.Event]] = {
    "inbound": decode_request,
    "settled": decode_attempt_ended,
    "established": lambda f: api.StreamStarted(f.text("ref"), f.integer("shot"), f.text("server"), f.number("spent")),
    "timed_out_client": lambda f: api.ClientDisconnected(f.text("ref")),
    "check_result": lambda f: api.HealthCheckEnded(f.text("server"), f.outcome(), f.number("spent")),
    "mail": lambda f: api.PeerMessage(f.integer("author"), f.data("payload")),
    "count_result": lambda f: api.CounterAnswered(
        f.integer("name"), f.outcome(), f.number("result-value", 0.0), f.number("spent", 0.0)
    ),
    "due": lambda f: api.TimerFired(f.integer("tag")),
}


def encode_action(action: api.Action) -> str:
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
        self._lists_by_slot: dict[int, tuple[api.ServerEntry, ...]] = {}
        self._target: int | None = None
        self._replies: list[tuple[int, str]] = []

    def answer_batch(self, lines: list[str]) -> list[str]:
        """Answers one batch, from its `mark` line to the line before `eof_batch`."""
        mark = LineFields(lines[0])
        if mark.message != "mark":
            raise WireError(f"expected mark, got {mark.message!r}")
        now, serial = mark.number("at-time"), mark.integer("serial")
        self._target, self._replies = None, []
        at = 1
        while at < len(lines):
            fields = LineFields(lines[at])
            at += 1
            if fields.message == "list":
                slot, rows = fields.integer("slot"), fields.integer("rows")
                items = [LineFields(line) for line in lines[at : at + rows]]
                if len(items) != rows or any(i.message != "item" for i in items):
                    raise WireError(f"list: field 'rows' says {rows}, that many item lines do not follow")
                self._lists_by_slot[slot] = tuple(decode_server_entry(i) for i in items)
                at += rows
            elif fields.message == "target_instance":
                self._target = fields.integer("limiter")
            else:
                self._handle_event(fields, now)
        reply, target = [], None
        for instance, line in self._replies:
            if instance != target:
                reply.append(f"as limiter={instance}")
                target = instance
            reply.append(line)
        return [*reply, f"done serial={serial}"]

    def _handle_event(self, fields: LineFields, now: float) -> None:
        if self._target is None:
            raise WireError(f"{fields.message}: no target_instance before it")
        try:
            self._deliver(self._target, fields, now)
        except WireError as error:
            raise WireError(f"instance {self._target}: {error}") from None

    def _deliver(self, target: int, fields: LineFields, now: float) -> None:
        message = fields.message
        if message == "born":
            seed, facts = fields.integer("seed"), fields.text("facts")
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
            self._queue_actions(target, limiter.start(now))
            return
        if message == "power_off":
            self._limiters.pop(target, None)
            return
        if message == "endpoints":
            event: api.Event = self._decode_list(fields)
        elif message in EVENT_DECODERS:
            event = EVENT_DECODERS[message](fields)
        else:
            raise WireError(f"message {message!r} is not known")
        running = self._limiters.get(target)
        if running is None:
            raise WireError(f"{message}: the instance is not running")
        self._queue_actions(target, running.handle(event, now))

    def _decode_list(self, fields: LineFields) -> api.ServerList:
        kind = fields.choice("form", LIST_KINDS_BY_NAME)
        if kind is api.ListKind.REFUSED:
            return api.ServerList(fields.integer("rev", 0), kind)
        slot = fields.integer("slot")
        if slot not in self._lists_by_slot:
            raise WireError(f"endpoints: field 'slot' names list {slot}, which has not come")
        return api.ServerList(fields.integer("rev"), kind, self._lists_by_slot[slot])

    def _queue_actions(self, target: int, actions: list[api.Action]) -> None:
        self._replies.extend((target, encode_action(action)) for action in actions)


def serve(source: TextIO, sink: TextIO) -> None:
    adapter = Adapter()
    batch: list[str] = []
    for raw in source:
        line = raw.rstrip("\r\n")
        if line == "eof_batch":
            if not batch:
                raise WireError("eof_batch: no batch has begun")
            sink.write("\n".join(adapter.answer_batch(batch)) + "\n")
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
