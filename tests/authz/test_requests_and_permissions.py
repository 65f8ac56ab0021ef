"""Tests how requests are read, which accounts a caller may use, and the store of permissions; no I/O."""

from pathlib import Path
from typing import Any

import msgspec
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from elderlock.authz.config import AuthzError, AuthzFile, Caller, FieldSource, RequestMapping, ServerLimits, Tls
from elderlock.authz.permission_requests import verdict_of_error_line
from elderlock.authz.permissions import Permissions, Verdict
from elderlock.authz.request_reader import (
    AccountNotAllowedError,
    AuthorizationRequest,
    InvalidRequestError,
    RequestReader,
)
from elderlock.control.attach import read_operators_file
from elderlock.net.command import Command
from elderlock.net.config import parse_config
from elderlock.standins.settings import CUSTOMER, raw_config

SETTINGS = parse_config(raw_config()).settings
VALID = {"account": CUSTOMER, "plan": "team", "class": "lookup", "request": "q1", "spread": "1", "first": "0"}
ANYONE = AuthzFile("127.0.0.1:0", callers=(Caller(("*",)),))


def command(
    file: AuthzFile = ANYONE, subjects: tuple[str, ...] = (), remaining_ms: float | None = None, **changes: Any
) -> Command:
    extensions = {key.replace("_", "-"): v for key, v in {**VALID, **changes}.items() if v is not None}
    return RequestReader(file, SETTINGS, 4.0).read(AuthorizationRequest(extensions, {}, "/", subjects, remaining_ms))


@pytest.mark.parametrize(
    ("changes", "message"),
    [
        ({"plan": "gold"}, "unknown plan"),
        ({"plan": None}, "the plan is missing"),
        ({"class": "fly"}, "unknown class"),
        ({"account": "zz"}, "16 hex digits"),
        ({"account": "f" * 16}, "below 2"),
        ({"units": "0"}, "units is out of range"),
        ({"units": "-1"}, "units is not a number"),
        ({"units": "NaN"}, "units is not a number"),
        ({"units": "1e3"}, "units is not a number"),
        ({"units": "4.5"}, "units is out of range"),
        ({"units": ""}, "units is not a number"),
        ({"request": ""}, "request id is not 1 to 128 printable"),
        ({"request": "a b"}, "request id is not 1 to 128 printable"),
        ({"request": "x" * 129}, "request id is not 1 to 128 printable"),
        ({"spread": "2"}, "spread is out of range"),
        ({"first": "1"}, "first is out of range"),
        ({"deadline_ms": "soon"}, "deadline is not a number"),
        ({"deadline_ms": "0"}, "out of range"),
    ],
)
def test_an_invalid_request_gets_an_error_with_the_reason(changes: dict[str, Any], message: str) -> None:
    with pytest.raises(InvalidRequestError, match=message):
        command(**changes)


def test_the_wait_ends_at_the_earliest_of_both_deadlines_and_the_configured_maximum() -> None:
    assert command().wait_ms == ANYONE.maximum_wait_ms
    assert command(deadline_ms="300").wait_ms == 300.0
    assert command(deadline_ms="300", remaining_ms=120.0).wait_ms == 120.0
    assert command(remaining_ms=500.0).wait_ms == 500.0
    assert command(deadline_ms="9000", remaining_ms=8000.0).wait_ms == ANYONE.maximum_wait_ms


def test_fields_come_from_headers_the_path_the_query_or_a_fixed_value() -> None:
    mapping = RequestMapping(
        account=FieldSource(path="/v1/([0-9a-f]{16})/tickets"),
        plan=FieldSource(header="x-plan"),
        request=FieldSource(query="id"),
        request_class=FieldSource(value="lookup"),
        spread=FieldSource(value="1"),
        first=FieldSource(value="0"),
    )
    file = AuthzFile("127.0.0.1:0", callers=(Caller(("*",)),), mapping=mapping)
    file.validate()
    reader = RequestReader(file, SETTINGS, 4.0)
    path = f"/v1/{CUSTOMER}/tickets?id=q7&x=1"
    parsed = reader.read(AuthorizationRequest({}, {"x-plan": "tiny"}, path, (), None))
    assert (parsed.customer_id, parsed.client_request_id, parsed.plan_index, parsed.units) == (CUSTOMER, b"q7", 1, 1.0)
    with pytest.raises(InvalidRequestError, match="more than once"):
        reader.read(AuthorizationRequest({}, {"x-plan": "tiny"}, path + "&id=q8", (), None))
    with pytest.raises(InvalidRequestError, match="account is missing"):
        reader.read(AuthorizationRequest({}, {"x-plan": "tiny"}, "/v1/other?id=q7", (), None))


def test_a_caller_may_use_only_its_own_accounts() -> None:
    tls = Tls("c", "k", "a")
    other = "0000000000000007"
    file = AuthzFile("127.0.0.1:0", tls, (Caller((CUSTOMER,), "shop-a"), Caller(("*",), "ops")))
    file.validate()
    assert command(file, ("shop-a",)).customer_id == CUSTOMER
    assert command(file, ("shop-a", "ops"), account=other).customer_id == other
    for subjects, account in ((("shop-a",), other), (("stranger",), CUSTOMER), ((), CUSTOMER)):
        with pytest.raises(AccountNotAllowedError):
            command(file, subjects, account=account)


@pytest.mark.parametrize(
    ("file", "message"),
    [
        (AuthzFile("localhost:1", callers=ANYONE.callers), "is not an address"),
        (AuthzFile("10.0.0.1:1", callers=ANYONE.callers), "an address off loopback needs"),
        (AuthzFile("10.0.0.1:1", Tls("c", "k"), ANYONE.callers), "an address off loopback needs"),
        (AuthzFile("127.0.0.1:1"), "askers.* is missing, so no caller would be accepted"),
        (AuthzFile("127.0.0.1:1", callers=(Caller(("7",)),)), "neither 16 hex digits nor"),
        (AuthzFile("127.0.0.1:1", callers=(Caller(("*",), "shop-a"),)), "the subject 'shop-a' needs"),
        (
            AuthzFile("127.0.0.1:1", callers=ANYONE.callers, mapping=RequestMapping(plan=FieldSource())),
            "mapping.plan: none of",
        ),
        (
            AuthzFile("127.0.0.1:1", callers=ANYONE.callers, mapping=RequestMapping(plan=FieldSource(header="X-Plan"))),
            "lower case",
        ),
        (
            AuthzFile("127.0.0.1:1", callers=ANYONE.callers, mapping=RequestMapping(plan=FieldSource(path="/(a)(b)"))),
            "one group, not 2",
        ),
        (
            AuthzFile("127.0.0.1:1", callers=ANYONE.callers, mapping=RequestMapping(plan=FieldSource(path="("))),
            "mapping.plan",
        ),
        (
            AuthzFile("127.0.0.1:1", callers=ANYONE.callers, limits=ServerLimits(maximum_streams=0)),
            "must be above 0, and one is 0",
        ),
    ],
)
def test_an_invalid_value_is_named_in_the_error(file: AuthzFile, message: str) -> None:
    with pytest.raises(AuthzError, match=message):
        file.validate()


def test_error_lines_of_resp2_are_read_as_verdicts() -> None:
    assert verdict_of_error_line(b"-BUSY 250\r\n") == Verdict("refused", 250.0)
    assert verdict_of_error_line(b"-BUSY\r\n") == Verdict("refused", 0.0)
    assert verdict_of_error_line(b"-ERR a request of this id is open\r\n").kind == "duplicate"
    assert verdict_of_error_line(b"-ERR failed\r\n").kind == "failed"


class PermissionsMachine(RuleBasedStateMachine):
    """New requests, retries, other requests with the same id, verdicts, cancellations and ends in any order."""

    MAXIMUM = 4

    def __init__(self) -> None:
        super().__init__()
        self.permissions = Permissions(self.MAXIMUM)
        self.answers: list[tuple[bytes, str, list[Verdict]]] = []
        self.waiting: dict[int, tuple[bytes, list[Verdict]]] = {}
        self.state: dict[bytes, tuple[str, Verdict | None]] = {}  # by open id: the account and the verdict

    ids = st.sampled_from([b"a", b"b", b"c", b"d", b"e", b"f"])
    accounts = st.sampled_from(["0000000000000001", "0000000000000002"])

    @rule(id=ids, account=accounts)
    def request(self, id: bytes, account: str) -> None:
        verdicts: list[Verdict] = []
        command = Command(id, 0, 0, account, 100.0, 1.0, 1, 0, lambda wait: b"")
        open_before = self.state.get(id)
        number, entry = self.permissions.request(command, verdicts.append)
        if open_before is None and len(self.state) >= self.MAXIMUM:
            assert entry is None and [verdict.kind for verdict in verdicts] == ["crowded"]
        elif open_before is None:
            assert entry is not None and verdicts == []
            entry.gateway_request_id = f"r-{id.decode()}"
            self.state[id] = (account, None)
            self.waiting[number] = (id, verdicts)
        elif open_before[0] != account:
            # the first request is not affected
            assert entry is None and [verdict.kind for verdict in verdicts] == ["duplicate"]
        elif open_before[1] is not None:
            assert entry is None and verdicts == [open_before[1]]  # the same answer without a new decision
        else:
            assert entry is None and verdicts == []
            self.waiting[number] = (id, verdicts)

    @rule(id=ids, permitted=st.booleans())
    def resolve(self, id: bytes, permitted: bool) -> None:
        verdict = Verdict("permitted", server="s", lifetime_ms=50.0) if permitted else Verdict("refused", 100.0)
        is_undecided = id in self.state and self.state[id][1] is None
        self.permissions.resolve(id, verdict)
        numbers = [number for number, (waiting_id, _) in self.waiting.items() if waiting_id == id]
        if is_undecided:
            for number in numbers:
                assert self.waiting.pop(number)[1] == [verdict]
            if permitted:
                self.state[id] = (self.state[id][0], verdict)
            else:
                del self.state[id]

    @rule(data=st.data())
    def cancel(self, data: st.DataObject) -> None:
        if not self.waiting:
            return
        number = data.draw(st.sampled_from(sorted(self.waiting)))
        id, verdicts = self.waiting.pop(number)
        gateway_request_id = self.permissions.cancel(id, number)
        assert verdicts == []
        is_last = not any(waiting_id == id for waiting_id, _ in self.waiting.values())
        assert gateway_request_id == (f"r-{id.decode()}" if is_last else None)
        if is_last:
            del self.state[id]
        assert self.permissions.cancel(id, number) is None

    @rule(id=ids, account=accounts)
    def report_end(self, id: bytes, account: str) -> None:
        state = self.state.get(id)
        is_in_flight = state is not None and state[1] is not None and state[0] == account
        assert self.permissions.find_in_flight(id, account) == (f"r-{id.decode()}" if is_in_flight else None)
        if is_in_flight:
            self.permissions.remove(id)
            del self.state[id]

    @invariant()
    def only_open_ids_are_stored(self) -> None:
        assert len(self.permissions) == len(self.state) <= self.MAXIMUM


TestPermissions = PermissionsMachine.TestCase
TestPermissions.settings = settings(max_examples=80, deadline=None)


def test_the_example_file_is_valid() -> None:
    path = Path(__file__).parent.parent.parent / "deploy" / "operators.example.toml"
    operators = read_operators_file(path)
    assert operators.control is not None and operators.authz is not None
    assert msgspec.convert(operators.authz, AuthzFile).validate() == ("127.0.0.1", 9191)
