"""From a question as gateways put it to the terms of a request, and who may name which account. No I/O."""

from __future__ import annotations

import re
from collections.abc import Mapping as StringMap
from urllib.parse import parse_qs, urlsplit

import msgspec

from elderlock import interface as api
from elderlock.authz.config import AuthzFile, FieldSource
from elderlock.net.command import Command

ACCOUNT = re.compile(r"[0-9a-fA-F]{16}")
NAME = re.compile(r"[!-~]{1,128}")
# as on RESP2: float() would take 1_0, 1e3, infinity and spaces as well
WHOLE = re.compile(r"[0-9]{1,9}")
DECIMAL = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")
LONGEST_WAIT = 600_000.0  # ms


class InvalidRequestError(Exception):
    """The question cannot be taken; the text is for whoever asked."""


class AccountNotAllowedError(Exception):
    """The asker may not name that account."""


class AuthorizationRequest(msgspec.Struct, frozen=True):
    """A question as it came: `subjects` are the names in the caller's certificate; `within` is what gRPC
    leaves of its deadline in ms, None where it names none."""

    extensions: StringMap[str, str]
    headers: StringMap[str, str]
    path: str
    subjects: tuple[str, ...]
    within: float | None


class RequestReader:
    """Reads questions against the settings' names and the askers' accounts."""

    def __init__(self, file: AuthzFile, settings: api.Settings, largest: float) -> None:
        self._file, self._largest, self._limiters = file, largest, settings.limiter_count
        self._classes = {c.name: i for i, c in enumerate(settings.request_classes)}
        self._plans = {plan.name: i for i, plan in enumerate(settings.plans)}
        self._accounts: dict[str, frozenset[str]] = {}
        for asker in file.askers:
            self._accounts[asker.subject] = self._accounts.get(asker.subject, frozenset()) | set(asker.accounts)

    def command(self, asked: AuthorizationRequest) -> Command:
        """Raises `InvalidRequestError` or `AccountNotAllowedError`."""
        m = self._file.mapping
        account = self._text(asked, m.account, "account")
        if not ACCOUNT.fullmatch(account) or int(account, 16) >= 1 << 33:
            raise InvalidRequestError("the account is not 16 hex digits below 2^33")
        account = account.lower()
        if not self.may_use_account(asked.subjects, account):
            raise AccountNotAllowedError("the account is not one that this caller may name")
        request = self._text(asked, m.request, "request")
        if not NAME.fullmatch(request):
            raise InvalidRequestError("the request's id is empty, too long or not plain text")
        longest = self._file.longest_ms
        named = _find(asked, m.deadline_ms)
        wait = longest if named is None else min(_number(named, "deadline", DECIMAL, 1.0, LONGEST_WAIT), longest)
        if asked.within is not None:
            wait = min(wait, asked.within)  # the earlier of gRPC's deadline and the request's own
        return Command(
            class_index=_index(self._classes, self._text(asked, m.request_class, "class"), "class"),
            plan_index=_index(self._plans, self._text(asked, m.plan, "plan"), "plan"),
            customer_id=account,
            client_request_id=request.encode(),
            wait_ms=wait,
            units=_number(self._text(asked, m.units, "units"), "units", DECIMAL, 1e-9, self._largest),
            limiter_count=int(_number(self._text(asked, m.spread, "spread"), "spread", WHOLE, 1, self._limiters)),
            first_limiter=int(_number(self._text(asked, m.first, "first"), "first", WHOLE, 0, self._limiters - 1)),
            encode=_never,
        )

    def may_use_account(self, subjects: tuple[str, ...], account: str) -> bool:
        """A caller without a certificate is the asker of the empty subject."""
        for subject in subjects or ("",):
            accounts = self._accounts.get(subject, frozenset())
            if account in accounts or "*" in accounts:
                return True
        return False

    @staticmethod
    def _text(asked: AuthorizationRequest, field: FieldSource, what: str) -> str:
        value = _find(asked, field)
        if value is None:
            raise InvalidRequestError(f"the {what} is missing")
        return value


def _never(wait: float) -> bytes:
    raise AssertionError("the asker sends this one on")


def _find(asked: AuthorizationRequest, field: FieldSource) -> str | None:
    if field.extension and field.extension in asked.extensions:
        return asked.extensions[field.extension]
    if field.header and field.header in asked.headers:
        return asked.headers[field.header]
    if field.query:
        values = parse_qs(urlsplit(asked.path).query).get(field.query, [])
        if len(values) == 1:
            return values[0]
        if values:
            raise InvalidRequestError(f"{field.query} stands in the query more than once")
    if field.path and (found := re.fullmatch(field.path, urlsplit(asked.path).path)):
        return found[1]
    return field.value or None


def _index(names: dict[str, int], name: str, what: str) -> int:
    index = names.get(name)
    if index is None:
        raise InvalidRequestError(f"unknown {what}")
    return index


def _number(text: str, what: str, form: re.Pattern[str], least: float, most: float) -> float:
    if not form.fullmatch(text):
        raise InvalidRequestError(f"the {what} is not a number between {least:g} and {most:g}")
    number = float(text)
    if not least <= number <= most:
        raise InvalidRequestError(f"the {what} is out of range: between {least:g} and {most:g}")
    return number
