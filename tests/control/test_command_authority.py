"""Which agent may command a limiter, and the records in force."""

from pathlib import Path

from elderlock.control import messages as m
from elderlock.control.command_authority import LEASE_MS, Session
from elderlock.control.records import Record
from elderlock.standins.limiters import ScriptedLimiter

HELLO_A, HELLO_B = m.Hello((1,), "a", 5), m.Hello((1,), "b", 1)


def limiter() -> ScriptedLimiter:
    return ScriptedLimiter("n0", Path("/nowhere"))


def drain(target: str = "s-1", generation: int = 1, drained: bool = True, kind: str = "box") -> Record:
    return Record(kind, target, drained, generation, f"o{generation}", "an", 0.0)  # type: ignore[arg-type]


def greet(scripted: ScriptedLimiter, hello: m.Hello, now: float) -> tuple[Session, m.Message]:
    session = Session()
    return session, scripted.desk.handle(session, hello, now)


def test_a_hello_with_an_unknown_version_is_refused_with_both_versions() -> None:
    session, answer = greet(limiter(), m.Hello((7, 9), "a", 1), 0.0)
    assert isinstance(answer, m.Refused) and answer.code == "version"
    assert "7, 9" in answer.text and "speaks 1" in answer.text
    assert not session.is_greeted


def test_a_request_before_hello_is_refused() -> None:
    scripted = limiter()
    answer = scripted.desk.handle(Session(), m.ApplyRecords(1, (drain(),)), 0.0)
    assert isinstance(answer, m.Refused)
    assert not scripted.in_force


def test_a_second_agent_may_read_and_not_command_while_the_claim_lasts() -> None:
    scripted = limiter()
    owner, _ = greet(scripted, HELLO_A, 0.0)
    _, refused = greet(scripted, HELLO_B, LEASE_MS - 1)
    assert isinstance(refused, m.Refused)
    assert (refused.code, refused.owner, refused.owner_epoch) == ("claimed", "a", 5)
    observer, welcome = greet(scripted, m.Hello((1,), "b"), 1.0)
    assert isinstance(welcome, m.Welcome)
    assert isinstance(scripted.desk.handle(observer, m.GetState(1), 2.0), m.LimiterState)
    answer = scripted.desk.handle(observer, m.ApplyRecords(2, (drain(),)), 3.0)
    assert isinstance(answer, m.Refused) and answer.code == "not-owner"
    assert isinstance(scripted.desk.handle(observer, m.Stop(3), 3.0), m.Refused)
    assert not scripted.in_force and not scripted.stops
    assert isinstance(scripted.desk.handle(owner, m.ApplyRecords(3, (drain(),)), 4.0), m.RecordsApplied)
    assert set(scripted.in_force) == {"s-1"}


def test_reading_does_not_renew_another_agents_claim() -> None:
    scripted = limiter()
    greet(scripted, HELLO_A, 0.0)
    observer, _ = greet(scripted, m.Hello((1,), "b"), 1.0)
    scripted.desk.handle(observer, m.GetState(1), LEASE_MS - 1)
    _, answer = greet(scripted, HELLO_B, LEASE_MS)
    assert isinstance(answer, m.Welcome) and answer.owner == "b"


def test_an_owner_whose_claim_lapsed_is_fenced() -> None:
    scripted = limiter()
    cut_off, _ = greet(scripted, HELLO_A, 0.0)
    _, taken = greet(scripted, HELLO_B, LEASE_MS)
    assert isinstance(taken, m.Welcome)
    late = scripted.desk.handle(cut_off, m.ApplyRecords(9, (drain(),)), LEASE_MS + 1)
    assert isinstance(late, m.Refused) and late.owner == "b"
    assert not scripted.in_force


def test_an_older_epoch_of_the_same_agent_is_refused_and_a_newer_one_accepted() -> None:
    scripted = limiter()
    greet(scripted, HELLO_A, 0.0)
    _, old = greet(scripted, m.Hello((1,), "a", 4), 1.0)
    assert isinstance(old, m.Refused) and old.owner_epoch == 5
    _, new = greet(scripted, m.Hello((1,), "a", 6), 1.0)
    assert isinstance(new, m.Welcome) and new.owner_epoch == 6


def test_an_older_or_a_repeated_record_changes_nothing() -> None:
    scripted = limiter()
    owner, _ = greet(scripted, HELLO_A, 0.0)
    scripted.desk.handle(owner, m.ApplyRecords(1, (drain(generation=3),)), 1.0)
    since = scripted.in_force["s-1"]
    answer = scripted.desk.handle(owner, m.ApplyRecords(2, (drain(generation=2, drained=False),)), 2.0)
    assert isinstance(answer, m.RecordsApplied)
    assert [r.generation for r in answer.records] == [3]  # the sender learns what holds
    scripted.desk.handle(owner, m.ApplyRecords(3, (drain(generation=3),)), 3.0)
    assert scripted.in_force == {"s-1": since}
    scripted.desk.handle(owner, m.ApplyRecords(4, (drain(generation=4, drained=False),)), 4.0)
    assert not scripted.in_force


def test_a_limiter_is_drained_only_by_a_record_with_its_own_name() -> None:
    scripted = limiter()
    owner, _ = greet(scripted, HELLO_A, 0.0)
    scripted.desk.handle(owner, m.ApplyRecords(1, (drain("n1", 1, kind="limiter"),)), 1.0)
    assert not scripted.down
    scripted.desk.handle(owner, m.ApplyRecords(2, (drain("n0", 2, kind="limiter"),)), 1.0)
    assert scripted.down
