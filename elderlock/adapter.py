"""Runs limiters in a simulator: `python -m elderlock.adapter`.

Reads batches of events from standard input and writes the limiters' actions to standard output. Each instance of the
simulation has its own `Limiter`. A line of the simulator's protocol is a message name and fields like `name=value`. The
protocol's names are mapped to those of `elderlock.interface` only here.
"""

from __future__ import annotations

import base64
import binascii
import json
import sys
from collections.abc import Callable
from math import isfinite
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
FLAGS_BY_DIGIT = {"0": False, "1": True}
# Fields whose value is the rest of the line, including spaces, by message.
FREE_TEXT_FIELDS = {"born": "facts"}
EMPTY_DATA = "-"
EXIT_OK = 0
EXIT_BROKEN_PIPE = 1
EXIT_BAD_INPUT = 2
Value = TypeVar("Value")


class WireError(Exception):
    """The input does not follow the protocol; the text names the message and field."""


class LineFields:
    """The fields of one line, which are converted to types on access. Unknown fields are ignored.

    Attributes:
        message: The name of the line's message.
    """

    def __init__(self, line: str) -> None:
        """Split a line.

        Raises:
            WireError: A part of it is not a field.
        """
        self.message, _, rest = line.partition(" ")
        self._values: dict[str, str] = {}
        text_field = FREE_TEXT_FIELDS.get(self.message)
        if text_field is not None:
            head, separator, text = (" " + rest).partition(f" {text_field}=")
            if separator:
                self._values[text_field] = text
            rest = head
        for part in rest.split():
            name, separator, value = part.partition("=")
            if not separator:
                raise WireError(f"{self.message}: {part!r} is not a name=value pair")
            self._values[name] = value

    def _typed(self, name: str, convert: Callable[[str], Value], default: Value | None) -> Value:
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
        """Return a text field."""
        return self._typed(name, str, None)

    def integer(self, name: str, default: int | None = None) -> int:
        """Return an integer field."""
        return self._typed(name, int, default)

    def number(self, name: str, default: float | None = None) -> float:
        """Return a field with a finite number."""
        return self._typed(name, parse_finite_number, default)

    def flag(self, name: str) -> bool:
        """Return a field with a flag, 0 or 1; False if it is missing."""
        return self._typed(name, FLAGS_BY_DIGIT.__getitem__, False)

    def data(self, name: str) -> bytes:
        """Return a field of bytes in base64, or `-` for none."""
        return self._typed(name, _decode_data, None)

    def choice(self, name: str, table: dict[str, Value]) -> Value:
        """Return the table's entry for a field's value."""
        return self._typed(name, table.__getitem__, None)

    def outcome(self) -> api.Outcome:
        """Return the outcome for the code in the field `status`."""
        return self._typed("status", lambda value: OUTCOMES_BY_STATUS[int(value)], None)


def parse_finite_number(value: str) -> float:
    """Parse a finite number.

    Raises:
        ValueError: The text is not a number, or not a finite one.
    """
    number = float(value)
    if not isfinite(number):
        raise ValueError(value)
    return number


def _decode_data(value: str) -> bytes:
    return b"" if value == EMPTY_DATA else base64.b64decode(value, validate=True)


# Events


def decode_server_entry(fields: LineFields) -> api.ServerEntry:
    """Decode an `item` line of a list."""
    return api.ServerEntry(
        server_id=fields.text("server"),
        zone=fields.integer("hall"),
        kind=fields.integer("family-type"),
        cell=fields.integer("cluster"),
        state=fields.choice("stage-state", SERVER_STATES_BY_NAME),
        weight=fields.number("power-hint"),
        started_at_ms=fields.number("ready-at", 0.0),
    )


def decode_request(fields: LineFields) -> api.RequestArrived:
    """Decode an `inbound` line."""
    return api.RequestArrived(
        request_id=fields.text("ref"),
        class_index=fields.integer("grade"),
        plan_index=fields.integer("plan"),
        customer_id=fields.text("caller"),
        units=fields.number("cost-units"),
        deadline_ms=fields.number("give-up-at"),
        limiter_count=fields.integer("width"),
        first_limiter=fields.integer("from-no"),
    )


def decode_attempt_ended(fields: LineFields) -> api.AttemptEnded:
    """Decode a `settled` line."""
    return api.AttemptEnded(
        request_id=fields.text("ref"),
        attempt_index=fields.integer("shot"),
        server_id=fields.text("server"),
        outcome=fields.outcome(),
        duration_ms=fields.number("spent"),
        is_answered=fields.flag("finished"),
        meter=fields.integer("seen-use", 0),
        settled_units=fields.number("charged", 0.0),
    )


EVENT_DECODERS: dict[str, Callable[[LineFields], api.Event]] = {
    "inbound": decode_request,
    "settled": decode_attempt_ended,
    "established": lambda fields: api.StreamStarted(
        fields.text("ref"), fields.integer("shot"), fields.text("server"), fields.number("spent")
    ),
    "timed_out_client": lambda fields: api.ClientDisconnected(fields.text("ref")),
    "check_result": lambda fields: api.HealthCheckEnded(
        fields.text("server"), fields.outcome(), fields.number("spent")
    ),
    "mail": lambda fields: api.PeerMessage(fields.integer("author"), fields.data("payload")),
    "count_result": lambda fields: api.CounterAnswered(
        fields.integer("name"), fields.outcome(), fields.number("result-value", 0.0), fields.number("spent", 0.0)
    ),
    "due": lambda fields: api.TimerFired(fields.integer("tag")),
}


def decode_settings(fields: LineFields) -> api.Settings:
    """Decode the settings of a `born` line.

    Raises:
        WireError: They are not JSON, or not valid settings.
    """
    facts = fields.text("facts")
    try:
        return read_settings(json.loads(facts))
    except json.JSONDecodeError as error:
        raise WireError(f"born: field 'facts' is not JSON: {error}") from None
    except KeyError as error:
        raise WireError(f"born: field 'facts': {error} is missing or not known") from None
    except (TypeError, ValueError, AttributeError) as error:
        raise WireError(f"born: field 'facts' is ill-typed: {error}") from None


# Actions


def encode_action(action: api.Action) -> str:  # noqa: C901
    """Encode an action as a line.

    Raises:
        WireError: The simulator's protocol has no such action.
    """
    match action:
        case api.SendAttempt(request_id, server_id, timeout_ms):
            return f"send ref={request_id} server={server_id} patience={timeout_ms:.3f}"
        case api.Reject(request_id, retry_after_ms):
            return f"say_no ref={request_id} not-before-for={retry_after_ms:.3f}"
        case api.Fail(request_id):
            return f"give_up ref={request_id}"
        case api.CancelAttempt(request_id, attempt_index):
            return f"recall ref={request_id} shot={attempt_index}"
        case api.SendPeerMessage(receiver, data):
            return f"broadcast_to addressee={receiver} payload={base64.b64encode(data).decode() or EMPTY_DATA}"
        case api.Subscribe(active):
            return f"listen active={int(active)}"
        case api.FetchServerList():
            return "read_list"
        case api.SetTimer(delay_ms, token):
            return f"defer wait={delay_ms:.3f} tag={token}"
        case api.Log(text):
            return f"journal_line msg={text}"
        case api.Permit() | api.AddToCounter():
            raise WireError(f"the simulator's protocol has no action {type(action).__name__}")


class Adapter:
    """Passes batches of events to the limiters and collects their actions."""

    def __init__(self) -> None:
        self._limiters: dict[int, Limiter] = {}
        self._lists_by_slot: dict[int, tuple[api.ServerEntry, ...]] = {}
        self._instance: int | None = None  # the instance that the next events are for
        self._actions: list[tuple[int, str]] = []  # instance and encoded line

    def answer_batch(self, lines: list[str]) -> list[str]:
        """Handle one batch and return the answer.

        Args:
            lines: The batch's lines from `mark` to the line before `eof_batch`.

        Returns:
            The lines of the answer, of which the last is `done`.

        Raises:
            WireError: A line does not follow the protocol.
        """
        mark = LineFields(lines[0])
        if mark.message != "mark":
            raise WireError(f"expected mark, got {mark.message!r}")
        now_ms = mark.number("at-time")
        serial = mark.integer("serial")
        self._instance = None
        self._actions = []
        index = 1
        while index < len(lines):
            fields = LineFields(lines[index])
            index += 1
            if fields.message == "list":
                index += self._read_list(fields, lines, index)
            elif fields.message == "target_instance":
                self._instance = fields.integer("limiter")
            else:
                self._handle_event(fields, now_ms)
        return [*self._answer_lines(), f"done serial={serial}"]

    def _read_list(self, fields: LineFields, lines: list[str], start: int) -> int:
        """Read the `item` lines of a `list` line, which begin at index `start`; return their number."""
        slot = fields.integer("slot")
        rows = fields.integer("rows")
        items = [LineFields(line) for line in lines[start : start + rows]]
        if len(items) != rows or any(item.message != "item" for item in items):
            raise WireError(f"list: field 'rows' is {rows}, but that many item lines do not follow")
        self._lists_by_slot[slot] = tuple(decode_server_entry(item) for item in items)
        return rows

    def _answer_lines(self) -> list[str]:
        """Return the encoded actions, with an `as` line before those of each instance."""
        lines: list[str] = []
        instance: int | None = None
        for acting_instance, line in self._actions:
            if acting_instance != instance:
                lines.append(f"as limiter={acting_instance}")
                instance = acting_instance
            lines.append(line)
        return lines

    def _handle_event(self, fields: LineFields, now_ms: float) -> None:
        if self._instance is None:
            raise WireError(f"{fields.message}: there is no target_instance line before it")
        try:
            self._deliver(self._instance, fields, now_ms)
        except WireError as error:
            raise WireError(f"instance {self._instance}: {error}") from None

    def _deliver(self, instance: int, fields: LineFields, now_ms: float) -> None:
        message = fields.message
        if message == "born":
            seed = fields.integer("seed")
            limiter = self._limiters[instance] = Limiter(decode_settings(fields), seed, now_ms)
            self._queue_actions(instance, limiter.start(now_ms))
            return
        if message == "power_off":
            self._limiters.pop(instance, None)
            return
        if message == "endpoints":
            event: api.Event = self._decode_list(fields)
        elif message in EVENT_DECODERS:
            event = EVENT_DECODERS[message](fields)
        else:
            raise WireError(f"message {message!r} is not known")
        running = self._limiters.get(instance)
        if running is None:
            raise WireError(f"{message}: the instance is not running")
        self._queue_actions(instance, running.handle(event, now_ms))

    def _decode_list(self, fields: LineFields) -> api.ServerList:
        kind = fields.choice("form", LIST_KINDS_BY_NAME)
        if kind is api.ListKind.REFUSED:
            return api.ServerList(fields.integer("rev", 0), kind)
        slot = fields.integer("slot")
        if slot not in self._lists_by_slot:
            raise WireError(f"endpoints: field 'slot' is {slot}, but there was no list with this slot")
        return api.ServerList(fields.integer("rev"), kind, self._lists_by_slot[slot])

    def _queue_actions(self, instance: int, actions: list[api.Action]) -> None:
        self._actions.extend((instance, encode_action(action)) for action in actions)


def serve(source: TextIO, sink: TextIO) -> None:
    """Answer batches until the input ends.

    Raises:
        WireError: The input does not follow the protocol, or ends inside a batch.
    """
    adapter = Adapter()
    batch: list[str] = []
    for raw_line in source:
        line = raw_line.rstrip("\r\n")
        if line == "eof_batch":
            if not batch:
                raise WireError("eof_batch: there are no lines before it")
            sink.write("\n".join(adapter.answer_batch(batch)) + "\n")
            sink.flush()
            batch = []
        elif line:
            batch.append(line)
    if batch:
        raise WireError("the input ends inside a batch")


def main() -> int:
    """Run the adapter and return its exit code."""
    sys.stdin.reconfigure(encoding="utf-8", errors="strict")  # type: ignore[union-attr]
    try:
        serve(sys.stdin, sys.stdout)
    except (WireError, UnicodeDecodeError) as error:
        print(f"elderlock: {error}", file=sys.stderr)
        return EXIT_BAD_INPUT
    except BrokenPipeError:
        return EXIT_BROKEN_PIPE
    return EXIT_OK


if __name__ == "__main__":
    sys.exit(main())
