"""Parses clients' requests, `API.READ` and `API.WRITE`, into typed commands. No I/O."""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import dataclass

from elderlock import interface as api
from elderlock.net.command import Command
from elderlock.net.errors import NetError

READ_VERB = b"API.READ"
WRITE_VERB = b"API.WRITE"
# Number of arguments of each request, including its verb. The fifth argument of a write is its body.
ARGUMENT_COUNTS = {READ_VERB: 4, WRITE_VERB: 5}
MAX_TERMS_BYTES = 1024
MAX_CACHED_TERMS = 256
MAX_WAIT_MS = 600_000.0
MIN_UNITS = 1e-9
CUSTOMER_ID_LIMIT = 1 << 33
CUSTOMER_ID_PATTERN = re.compile(rb"[0-9a-fA-F]{16}")
REQUEST_ID_PATTERN = re.compile(rb"[!-~]{1,128}")
# The protocol's number formats. float() would also accept 1_0, 1e3, infinity and spaces; int() would truncate 1.7 to 1.
INTEGER_PATTERN = re.compile(r"[0-9]{1,9}")
DECIMAL_PATTERN = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")


class CommandError(NetError):
    """A command cannot be accepted; the text is sent to the client as the error."""


@dataclass(slots=True)
class RequestTerms:
    """A parsed list of names and values, the third argument of a request.

    Attributes:
        class_index: Index of the request class in the settings.
        plan_index: Index of the customer's plan in the settings.
        wait_ms: How long the client waits for its answer.
        units: Units of quota that the request costs.
        limiter_count: Number of limiters among which the client spreads this customer's requests.
        first_limiter: Index of the first of those limiters.
        text_before_wait: The list's text up to and including `d=`, as received.
        text_after_wait: The list's text after the value of `d`, as received.
    """

    class_index: int
    plan_index: int
    wait_ms: float
    units: float
    limiter_count: int
    first_limiter: int
    text_before_wait: bytes = b""
    text_after_wait: bytes = b""


class CommandParser:
    """Parses requests and resolves the names in them by the settings.

    `API.READ` accepts only idempotent classes. `API.WRITE`, which carries a body, accepts every class. Whether a
    request may be repeated depends on its class alone. Clients send few different lists of names and values, so parsed
    lists are cached.
    """

    def __init__(self, settings: api.Settings, max_units: float) -> None:
        """Initialise the parser.

        Args:
            settings: Names of the request classes and plans, and the number of limiters.
            max_units: Maximum number of units that one request may cost.
        """
        self._max_units = max_units
        self._classes = {request_class.name: index for index, request_class in enumerate(settings.request_classes)}
        self._idempotency = [request_class.idempotency for request_class in settings.request_classes]
        self._plans = {plan.name: index for index, plan in enumerate(settings.plans)}
        self._limiter_count = settings.limiter_count
        self._cached_terms: dict[bytes, RequestTerms] = {}

    def parse(self, parts: list[bytes]) -> Command:
        """Parse one request, whose verb must be one of `ARGUMENT_COUNTS`.

        Raises:
            CommandError: The request does not follow the protocol, or has a name that is not in the settings.
        """
        verb = parts[0].upper()
        if len(parts) != ARGUMENT_COUNTS[verb]:
            raise CommandError(f"wrong number of arguments for {verb.decode()}")
        customer, request_id, text = parts[1:4]
        if not CUSTOMER_ID_PATTERN.fullmatch(customer) or int(customer, 16) >= CUSTOMER_ID_LIMIT:
            raise CommandError("the customer is not 16 hex digits below 2^33")
        if not REQUEST_ID_PATTERN.fullmatch(request_id):
            raise CommandError("the request's id is empty, too long or not plain text")
        terms = self._cached_terms.get(text)
        if terms is None:
            if len(self._cached_terms) >= MAX_CACHED_TERMS:
                self._cached_terms.clear()
            terms = self._cached_terms[text] = self._parse_terms(text)
        if verb == READ_VERB and self._idempotency[terms.class_index] is not api.Idempotency.IDEMPOTENT:
            raise CommandError("API.READ serves no class that may not simply be repeated")
        return Command(
            request_id,
            terms.class_index,
            terms.plan_index,
            customer.decode("ascii").lower(),
            terms.wait_ms,
            terms.units,
            terms.limiter_count,
            terms.first_limiter,
            _encoder_for(parts, terms.text_before_wait, terms.text_after_wait),
            sum(map(len, parts)),
        )

    def _parse_terms(self, encoded: bytes) -> RequestTerms:
        if len(encoded) > MAX_TERMS_BYTES:
            raise CommandError("the list of names and values is too long")
        try:
            text = encoded.decode("ascii")
        except UnicodeDecodeError:
            raise CommandError("the list of names and values is not plain text") from None
        pairs = [part.partition("=") for part in text.split(",")]
        values = {key: value for key, _, value in pairs}
        if len(values) != len(pairs) or not all(separator for _, separator, _ in pairs):
            raise CommandError("the list of names and values is not one of name=value, each name once")
        terms = RequestTerms(
            _index_of(self._classes, values, "c", "class"),
            _index_of(self._plans, values, "t", "plan"),
            _parse_number(values, "d", DECIMAL_PATTERN, 1.0, MAX_WAIT_MS),
            _parse_number(values, "units", DECIMAL_PATTERN, MIN_UNITS, self._max_units),
            int(_parse_number(values, "spread", INTEGER_PATTERN, 1, self._limiter_count)),
            int(_parse_number(values, "first", INTEGER_PATTERN, 0, self._limiter_count - 1)),
        )
        # The list is forwarded as received, except for the value of `d`.
        wait_index = [key for key, _, _ in pairs].index("d")
        before = "".join(f"{key}={value}," for key, _, value in pairs[:wait_index])
        after = "".join(f",{key}={value}" for key, _, value in pairs[wait_index + 1 :])
        terms.text_before_wait = f"{before}d=".encode("ascii")
        terms.text_after_wait = after.encode("ascii")
        return terms


def _index_of(indices: dict[str, int], values: dict[str, str], key: str, description: str) -> int:
    index = indices.get(values.get(key, ""))
    if index is None:
        raise CommandError(f"unknown {description}")
    return index


def _parse_number(values: dict[str, str], key: str, pattern: re.Pattern[str], minimum: float, maximum: float) -> float:
    text = values.get(key, "")
    if not pattern.fullmatch(text):
        raise CommandError(f"'{key}' is missing or not a number between {minimum:g} and {maximum:g}")
    number = float(text)
    if not minimum <= number <= maximum:
        raise CommandError(f"'{key}' is out of range: between {minimum:g} and {maximum:g}")
    return number


def _encoder_for(parts: list[bytes], text_before_wait: bytes, text_after_wait: bytes) -> Callable[[float], bytes]:
    """Return the function that encodes the command for a server.

    The command is forwarded as received, except for the value of `d`: how long (ms) this limiter waits for the answer.
    """
    head = b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%b\r\n" % (len(part), part) for part in parts[:3])
    tail = b"".join(b"$%d\r\n%b\r\n" % (len(part), part) for part in parts[4:])

    def encode(wait_ms: float) -> bytes:
        terms = b"%b%d%b" % (text_before_wait, max(1, int(wait_ms)), text_after_wait)
        return b"%b$%d\r\n%b\r\n%b" % (head, len(terms), terms, tail)

    return encode
