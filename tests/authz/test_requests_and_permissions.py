"""The door's rules without a network: how questions are read, who may name what, permissions by id."""

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
GOOD = {"account": CUSTOMER, "plan": "team", "class": "lookup", "request": "q1", "spread": "1", "first": "0"}
ANYONE = AuthzFile("127.0.0.1:0", askers=(Caller(("*",)),))


def command(
    file: AuthzFile = ANYONE, subjects: tuple[str, ...] = (), within: float | None = None, **changes: Any
) -> Command:
    extensions = {key.replace("_", "-"): v for key, v in {**GOOD, **changes}.items() if v is not None}
    return RequestReader(file, SETTINGS, 4.0).command(AuthorizationRequest(extensions, {}, "/", subjects, within))


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
        ({"request": ""}, "request's id is empty"),
        ({"request": "a b"}, "request's id"),
        ({"request": "x" * 129}, "too long"),
        ({"spread": "2"}, "spread is out of range"),
        ({"first": "1"}, "first is out of range"),
        ({"deadline_ms": "soon"}, "deadline is not a number"),
        ({"deadline_ms": "0"}, "out of range"),
    ],
)
def test_a_question_that_cannot_be_read_is_told_why(changes: dict[str, Any], message: str) -> None:
    with pytest.raises(InvalidRequestError, match=message):
        command(**changes)


def test_the_earlier_of_both_deadlines_holds_and_the_doors_own_bounds_both() -> None:
    assert command().wait_ms == ANYONE.longest_ms
    assert command(deadline_ms="300").wait_ms == 300.0
    assert command(deadline_ms="300", within=120.0).wait_ms == 120.0
    assert command(within=500.0).wait_ms == 500.0
    assert command(deadline_ms="9000", within=8000.0).wait_ms == ANYONE.longest_ms


def test_parts_come_from_headers_the_path_the_query_or_a_fixed_value() -> None:
    mapping = RequestMapping(
        account=FieldSource(path="/v1/([0-9a-f]{16})/tickets"),
        plan=FieldSource(header="x-plan"),
        request=FieldSource(query="id"),
        request_class=FieldSource(value="lookup"),
        spread=FieldSource(value="1"),
        first=FieldSource(value="0"),
    )
    file = AuthzFile("127.0.0.1:0", askers=(Caller(("*",)),), mapping=mapping)
    file.check()
    terms = RequestReader(file, SETTINGS, 4.0)
    path = f"/v1/{CUSTOMER}/tickets?id=q7&x=1"
    read = terms.command(AuthorizationRequest({}, {"x-plan": "tiny"}, path, (), None))
    assert (read.customer_id, read.client_request_id, read.plan_index, read.units) == (CUSTOMER, b"q7", 1, 1.0)
    with pytest.raises(InvalidRequestError, match="more than once"):
        terms.command(AuthorizationRequest({}, {"x-plan": "tiny"}, path + "&id=q8", (), None))
    with pytest.raises(InvalidRequestError, match="account is missing"):
        terms.command(AuthorizationRequest({}, {"x-plan": "tiny"}, "/v1/other?id=q7", (), None))


def test_an_asker_names_its_own_accounts_alone() -> None:
    tls = Tls("c", "k", "a")
    other = "0000000000000007"
    file = AuthzFile("127.0.0.1:0", tls, (Caller((CUSTOMER,), "shop-a"), Caller(("*",), "ops")))
    file.check()
    assert command(file, ("shop-a",)).customer_id == CUSTOMER
    assert command(file, ("shop-a", "ops"), account=other).customer_id == other
    for subjects, account in ((("shop-a",), other), (("stranger",), CUSTOMER), ((), CUSTOMER)):
        with pytest.raises(AccountNotAllowedError):
            command(file, subjects, account=account)


@pytest.mark.parametrize(
    ("file", "message"),
    [
        (AuthzFile("localhost:1", askers=ANYONE.askers), "is not an address"),
        (AuthzFile("10.0.0.1:1", askers=ANYONE.askers), "off loopback the door needs"),
        (AuthzFile("10.0.0.1:1", Tls("c", "k"), ANYONE.askers), "off loopback the door needs"),
        (AuthzFile("127.0.0.1:1"), "nobody could ask"),
        (AuthzFile("127.0.0.1:1", askers=(Caller(("7",)),)), "neither 16 hex digits nor"),
        (AuthzFile("127.0.0.1:1", askers=(Caller(("*",), "shop-a"),)), "a subject is known with"),
        (
            AuthzFile("127.0.0.1:1", askers=ANYONE.askers, mapping=RequestMapping(plan=FieldSource())),
            "mapping.plan: none of",
        ),
        (
            AuthzFile("127.0.0.1:1", askers=ANYONE.askers, mapping=RequestMapping(plan=FieldSource(header="X-Plan"))),
            "lower case",
        ),
        (
            AuthzFile("127.0.0.1:1", askers=ANYONE.askers, mapping=RequestMapping(plan=FieldSource(path="/(a)(b)"))),
            "one group, not 2",
        ),
        (
            AuthzFile("127.0.0.1:1", askers=ANYONE.askers, mapping=RequestMapping(plan=FieldSource(path="("))),
            "mapping.plan",
        ),
        (AuthzFile("127.0.0.1:1", askers=ANYONE.askers, bounds=ServerLimits(streams=0)), "above 0"),
    ],
)
def test_a_wrong_part_is_named(file: AuthzFile, message: str) -> None:
    with pytest.raises(AuthzError, match=message):
        file.check()


def test_final_answers_as_resp_words_them() -> None:
    assert verdict_of_error_line(b"-BUSY 250\r\n") == Verdict("refused", 250.0)
    assert verdict_of_error_line(b"-BUSY\r\n") == Verdict("refused", 0.0)
    assert verdict_of_error_line(b"-ERR a request of this id is open\r\n").kind == "duplicate"
    assert verdict_of_error_line(b"-ERR failed\r\n").kind == "failed"


class PermissionsMachine(RuleBasedStateMachine):
    """Questions, repeats, other questions of the same id, verdicts, departures and ends in any order."""

    MOST = 4

    def __init__(self) -> None:
        super().__init__()
        self.permissions = Permissions(self.MOST)
        self.answers: list[tuple[bytes, str, list[Verdict]]] = []
        self.waiting: dict[int, tuple[bytes, list[Verdict]]] = {}
        self.state: dict[bytes, tuple[str, Verdict | None]] = {}  # open ids: the account asked for, the verdict

    ids = st.sampled_from([b"a", b"b", b"c", b"d", b"e", b"f"])
    accounts = st.sampled_from(["0000000000000001", "0000000000000002"])

    @rule(id=ids, account=accounts)
    def ask(self, id: bytes, account: str) -> None:
        got: list[Verdict] = []
        one = Command(id, 0, 0, account, 100.0, 1.0, 1, 0, lambda wait: b"")
        open_before = self.state.get(id)
        number, entry = self.permissions.ask(one, got.append)
        if open_before is None and len(self.state) >= self.MOST:
            assert entry is None and [v.kind for v in got] == ["crowded"]
        elif open_before is None:
            assert entry is not None and got == []
            entry.name = f"r-{id.decode()}"
            self.state[id] = (account, None)
            self.waiting[number] = (id, got)
        elif open_before[0] != account:
            assert entry is None and [v.kind for v in got] == ["duplicate"]  # and the first is unharmed
        elif open_before[1] is not None:
            assert entry is None and got == [open_before[1]]  # the same answer, and nothing is put to the module
        else:
            assert entry is None and got == []
            self.waiting[number] = (id, got)

    @rule(id=ids, permitted=st.booleans())
    def decide(self, id: bytes, permitted: bool) -> None:
        verdict = Verdict("permitted", box="s", life=50.0) if permitted else Verdict("refused", 100.0)
        undecided = id in self.state and self.state[id][1] is None
        self.permissions.decided(id, verdict)
        heard = [n for n, (of, _) in self.waiting.items() if of == id]
        if undecided:
            for number in heard:
                assert self.waiting.pop(number)[1] == [verdict]
            if permitted:
                self.state[id] = (self.state[id][0], verdict)
            else:
                del self.state[id]

    @rule(data=st.data())
    def leave(self, data: st.DataObject) -> None:
        if not self.waiting:
            return
        number = data.draw(st.sampled_from(sorted(self.waiting)))
        id, got = self.waiting.pop(number)
        name = self.permissions.leave(id, number)
        assert got == []
        last = not any(of == id for of, _ in self.waiting.values())
        assert name == (f"r-{id.decode()}" if last else None)
        if last:
            del self.state[id]
        assert self.permissions.leave(id, number) is None

    @rule(id=ids, account=accounts)
    def report(self, id: bytes, account: str) -> None:
        state = self.state.get(id)
        out = state is not None and state[1] is not None and state[0] == account
        assert self.permissions.out(id, account) == (f"r-{id.decode()}" if out else None)
        if out:
            self.permissions.over(id)
            del self.state[id]

    @invariant()
    def only_what_is_open_is_held(self) -> None:
        assert len(self.permissions) == len(self.state) <= self.MOST


TestPermissions = PermissionsMachine.TestCase
TestPermissions.settings = settings(max_examples=80, deadline=None)


def test_the_example_file_can_be_used() -> None:
    path = Path(__file__).parent.parent.parent / "deploy" / "operators.example.toml"
    operators = read_operators_file(path)
    assert operators.control is not None and operators.authz is not None
    assert msgspec.convert(operators.authz, AuthzFile).check() == ("127.0.0.1", 9191)
