"""Claims of agents on a limiter, and the drain records in force."""

from pathlib import Path

from elderlock.control import messages
from elderlock.control.command_authority import LEASE_MS, Session
from elderlock.control.records import Record
from elderlock.standins.limiters import ScriptedLimiter

HELLO_A, HELLO_B = messages.Hello((1,), "a", 5), messages.Hello((1,), "b", 1)


def scripted_limiter() -> ScriptedLimiter:
    return ScriptedLimiter("n0", Path("/nowhere"))


def drain_record(target: str = "s-1", generation: int = 1, drained: bool = True, kind: str = "box") -> Record:
    return Record(kind, target, drained, generation, f"o{generation}", "an", 0.0)  # type: ignore[arg-type]


def send_hello(scripted: ScriptedLimiter, hello: messages.Hello, now_ms: float) -> tuple[Session, messages.Message]:
    session = Session()
    return session, scripted.authority.handle(session, hello, now_ms)


def test_a_hello_with_an_unknown_version_is_refused_with_both_versions() -> None:
    session, answer = send_hello(scripted_limiter(), messages.Hello((7, 9), "a", 1), 0.0)
    assert isinstance(answer, messages.Refused) and answer.code == "version"
    assert "7, 9" in answer.text and "speaks 1" in answer.text
    assert not session.is_greeted


def test_a_request_before_hello_is_refused() -> None:
    scripted = scripted_limiter()
    answer = scripted.authority.handle(Session(), messages.ApplyRecords(1, (drain_record(),)), 0.0)
    assert isinstance(answer, messages.Refused)
    assert not scripted.in_force


def test_a_second_agent_may_read_and_not_command_while_the_claim_lasts() -> None:
    scripted = scripted_limiter()
    owner, _ = send_hello(scripted, HELLO_A, 0.0)
    _, refused = send_hello(scripted, HELLO_B, LEASE_MS - 1)
    assert isinstance(refused, messages.Refused)
    assert (refused.code, refused.owner, refused.owner_epoch) == ("claimed", "a", 5)
    observer, welcome = send_hello(scripted, messages.Hello((1,), "b"), 1.0)
    assert isinstance(welcome, messages.Welcome)
    assert isinstance(scripted.authority.handle(observer, messages.GetState(1), 2.0), messages.LimiterState)
    answer = scripted.authority.handle(observer, messages.ApplyRecords(2, (drain_record(),)), 3.0)
    assert isinstance(answer, messages.Refused) and answer.code == "not-owner"
    assert isinstance(scripted.authority.handle(observer, messages.Stop(3), 3.0), messages.Refused)
    assert not scripted.in_force and not scripted.stops
    assert isinstance(
        scripted.authority.handle(owner, messages.ApplyRecords(3, (drain_record(),)), 4.0), messages.RecordsApplied
    )
    assert set(scripted.in_force) == {"s-1"}


def test_reading_does_not_renew_another_agents_claim() -> None:
    scripted = scripted_limiter()
    send_hello(scripted, HELLO_A, 0.0)
    observer, _ = send_hello(scripted, messages.Hello((1,), "b"), 1.0)
    scripted.authority.handle(observer, messages.GetState(1), LEASE_MS - 1)
    _, answer = send_hello(scripted, HELLO_B, LEASE_MS)
    assert isinstance(answer, messages.Welcome) and answer.owner == "b"


def test_an_owner_whose_claim_lapsed_is_fenced() -> None:
    scripted = scripted_limiter()
    cut_off, _ = send_hello(scripted, HELLO_A, 0.0)
    _, welcome = send_hello(scripted, HELLO_B, LEASE_MS)
    assert isinstance(welcome, messages.Welcome)
    refused = scripted.authority.handle(cut_off, messages.ApplyRecords(9, (drain_record(),)), LEASE_MS + 1)
    assert isinstance(refused, messages.Refused) and refused.owner == "b"
    assert not scripted.in_force


def test_an_older_epoch_of_the_same_agent_is_refused_and_a_newer_one_accepted() -> None:
    scripted = scripted_limiter()
    send_hello(scripted, HELLO_A, 0.0)
    _, refused = send_hello(scripted, messages.Hello((1,), "a", 4), 1.0)
    assert isinstance(refused, messages.Refused) and refused.owner_epoch == 5
    _, welcome = send_hello(scripted, messages.Hello((1,), "a", 6), 1.0)
    assert isinstance(welcome, messages.Welcome) and welcome.owner_epoch == 6


def test_an_older_or_a_repeated_record_changes_nothing() -> None:
    scripted = scripted_limiter()
    owner, _ = send_hello(scripted, HELLO_A, 0.0)
    scripted.authority.handle(owner, messages.ApplyRecords(1, (drain_record(generation=3),)), 1.0)
    in_force_record = scripted.in_force["s-1"]
    answer = scripted.authority.handle(
        owner, messages.ApplyRecords(2, (drain_record(generation=2, drained=False),)), 2.0
    )
    assert isinstance(answer, messages.RecordsApplied)
    assert [record.generation for record in answer.records] == [3]  # the answer has the record in force
    scripted.authority.handle(owner, messages.ApplyRecords(3, (drain_record(generation=3),)), 3.0)
    assert scripted.in_force == {"s-1": in_force_record}
    scripted.authority.handle(owner, messages.ApplyRecords(4, (drain_record(generation=4, drained=False),)), 4.0)
    assert not scripted.in_force


def test_a_limiter_is_drained_only_by_a_record_with_its_own_name() -> None:
    scripted = scripted_limiter()
    owner, _ = send_hello(scripted, HELLO_A, 0.0)
    scripted.authority.handle(owner, messages.ApplyRecords(1, (drain_record("n1", 1, kind="limiter"),)), 1.0)
    assert not scripted.down
    scripted.authority.handle(owner, messages.ApplyRecords(2, (drain_record("n0", 2, kind="limiter"),)), 1.0)
    assert scripted.down
