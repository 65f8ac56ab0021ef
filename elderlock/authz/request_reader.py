"""Reads a gateway's authorisation request, and checks that its caller may use the account. No I/O."""

from __future__ import annotations

import re
from collections.abc import Mapping as StringMap
from urllib.parse import parse_qs, urlsplit

import msgspec

from elderlock import interface as api
from elderlock.authz.config import AuthzFile, FieldSource
from elderlock.net.command import Command

ACCOUNT_PATTERN = re.compile(r"[0-9a-fA-F]{16}")
REQUEST_ID_PATTERN = re.compile(r"[!-~]{1,128}")
# The same forms as in RESP2 commands. float() alone would also accept 1_0, 1e3, infinity and spaces.
WHOLE_NUMBER_PATTERN = re.compile(r"[0-9]{1,9}")
DECIMAL_PATTERN = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")
MAXIMUM_DEADLINE_MS = 600_000.0


class InvalidRequestError(Exception):
    """A field of the request is missing or invalid. The text is for the caller."""


class AccountNotAllowedError(Exception):
    """The caller may not use that account. The text is for the caller."""


class AuthorizationRequest(msgspec.Struct, frozen=True):
    """An authorisation request as it was received.

    Attributes:
        extensions: The context extensions, or the entries of a rate limit descriptor.
        headers: The headers of the HTTP request, with names in lower case.
        path: The path of the HTTP request, with its query.
        subjects: The names in the caller's certificate.
        remaining_ms: The time to the gRPC deadline; None if there is none.
    """

    extensions: StringMap[str, str]
    headers: StringMap[str, str]
    path: str
    subjects: tuple[str, ...]
    remaining_ms: float | None = msgspec.field(name="within")


class RequestReader:
    """Reads requests with the names of the settings and the accounts of the callers."""

    def __init__(self, file: AuthzFile, settings: api.Settings, maximum_units: float) -> None:
        """Make a reader.

        Args:
            file: The table `[authz]`.
            settings: The limiter's settings, for the names of plans and request classes.
            maximum_units: The maximum units of one request.
        """
        self._file, self._maximum_units, self._limiters = file, maximum_units, settings.limiter_count
        self._classes = {request_class.name: index for index, request_class in enumerate(settings.request_classes)}
        self._plans = {plan.name: index for index, plan in enumerate(settings.plans)}
        self._accounts: dict[str, frozenset[str]] = {}
        for caller in file.callers:
            self._accounts[caller.subject] = self._accounts.get(caller.subject, frozenset()) | set(caller.accounts)

    def read(self, request: AuthorizationRequest) -> Command:
        """Return the request as a command.

        Raises:
            InvalidRequestError: A field is missing or invalid.
            AccountNotAllowedError: The caller may not use the account.
        """
        mapping = self._file.mapping
        account = self._text(request, mapping.account, "account")
        if not ACCOUNT_PATTERN.fullmatch(account) or int(account, 16) >= 1 << 33:
            raise InvalidRequestError("the account is not 16 hex digits below 2^33")
        account = account.lower()
        if not self.may_use_account(request.subjects, account):
            raise AccountNotAllowedError("this caller may not use the account")
        request_id = self._text(request, mapping.request, "request id")
        if not REQUEST_ID_PATTERN.fullmatch(request_id):
            raise InvalidRequestError("the request id is not 1 to 128 printable ASCII characters without spaces")
        wait_ms = self._file.maximum_wait_ms
        deadline = _find(request, mapping.deadline_ms)
        if deadline is not None:
            wait_ms = min(_number(deadline, "deadline", DECIMAL_PATTERN, 1.0, MAXIMUM_DEADLINE_MS), wait_ms)
        if request.remaining_ms is not None:
            wait_ms = min(wait_ms, request.remaining_ms)  # the earlier of the gRPC deadline and the request's own
        return Command(
            class_index=_index(self._classes, self._text(request, mapping.request_class, "class"), "class"),
            plan_index=_index(self._plans, self._text(request, mapping.plan, "plan"), "plan"),
            customer_id=account,
            client_request_id=request_id.encode(),
            wait_ms=wait_ms,
            units=_number(
                self._text(request, mapping.units, "units"), "units", DECIMAL_PATTERN, 1e-9, self._maximum_units
            ),
            limiter_count=int(
                _number(
                    self._text(request, mapping.spread, "spread"), "spread", WHOLE_NUMBER_PATTERN, 1, self._limiters
                )
            ),
            first_limiter=int(
                _number(
                    self._text(request, mapping.first, "first"), "first", WHOLE_NUMBER_PATTERN, 0, self._limiters - 1
                )
            ),
            encode=_reject_encoding,
        )

    def may_use_account(self, subjects: tuple[str, ...], account: str) -> bool:
        """Return whether a caller may use an account.

        Args:
            subjects: The names in its certificate. A caller without one has the empty subject.
            account: The account, in lower case.
        """
        for subject in subjects or ("",):
            accounts = self._accounts.get(subject, frozenset())
            if account in accounts or "*" in accounts:
                return True
        return False

    @staticmethod
    def _text(request: AuthorizationRequest, source: FieldSource, name: str) -> str:
        value = _find(request, source)
        if value is None:
            raise InvalidRequestError(f"the {name} is missing")
        return value


def _reject_encoding(wait_ms: float) -> bytes:
    raise AssertionError("the caller forwards a permitted request itself")


def _find(request: AuthorizationRequest, source: FieldSource) -> str | None:
    """Return the value of a field from the first source that the request has; None if it has none."""
    if source.extension and source.extension in request.extensions:
        return request.extensions[source.extension]
    if source.header and source.header in request.headers:
        return request.headers[source.header]
    if source.query:
        values = parse_qs(urlsplit(request.path).query).get(source.query, [])
        if len(values) == 1:
            return values[0]
        if values:
            raise InvalidRequestError(f"{source.query} occurs in the query more than once")
    if source.path and (match := re.fullmatch(source.path, urlsplit(request.path).path)):
        return match[1]
    return source.value or None


def _index(indices: dict[str, int], name: str, kind: str) -> int:
    """Return the index of a plan or a request class in the settings."""
    index = indices.get(name)
    if index is None:
        raise InvalidRequestError(f"unknown {kind}")
    return index


def _number(text: str, name: str, pattern: re.Pattern[str], minimum: float, maximum: float) -> float:
    """Return the value of a field that is a number in the given form and range."""
    if not pattern.fullmatch(text):
        raise InvalidRequestError(f"the {name} is not a number between {minimum:g} and {maximum:g}")
    number = float(text)
    if not minimum <= number <= maximum:
        raise InvalidRequestError(f"the {name} is out of range: between {minimum:g} and {maximum:g}")
    return number
