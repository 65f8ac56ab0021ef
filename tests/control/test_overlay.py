"""The overlay and the records: whatever discovery and operators do, in any order."""

from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from elderlock.control.drain_overlay import DrainOverlay
from elderlock.control.records import MAXIMUM_RECORDS, OfferResult, Record, Records
from elderlock.interface import ServerEntry, ServerState
from elderlock.net.targets import Target, TargetList

UIDS = ["s-1", "s-2", "s-3"]
STATES = list(ServerState)


def target(uid: str, state: ServerState = ServerState.RUNNING, port: int = 1, started: float = 0.0) -> Target:
    return Target(ServerEntry(uid, 0, 0, 0, state, 1.0, started), ("127.0.0.1", port))


def record(target: str, generation: int, origin: str = "a", drained: bool = True, at: float = 0.0) -> Record:
    return Record("box", target, drained, generation, origin, "an", at)


class OverlayMachine(RuleBasedStateMachine):
    """Discovery's lists and operators' drains in any order, against the plain meaning of both."""

    def __init__(self) -> None:
        super().__init__()
        self.overlay = DrainOverlay()
        self.told: dict[str, ServerState] = {}  # what discovery said last
        self.drained: set[str] = set()
        self.taken: dict[str, ServerState] = {}  # as a limiter that follows the overlay holds it
        self.version = 0

    def take(self, listed: TargetList) -> None:
        if listed.complete:
            self.taken.clear()
        for each in listed.targets:
            if each.entry.state is ServerState.REMOVED:
                self.taken.pop(each.entry.server_id, None)
            else:
                self.taken[each.entry.server_id] = each.entry.state

    @rule(
        complete=st.booleans(),
        entries=st.dictionaries(st.sampled_from(UIDS), st.sampled_from(STATES), max_size=3),
    )
    def discovery_tells(self, complete: bool, entries: dict[str, ServerState]) -> None:
        self.version += 1
        if complete:
            self.told.clear()
        self.told.update(entries)
        self.told = {u: s for u, s in self.told.items() if s is not ServerState.REMOVED}
        listed = TargetList(self.version, complete, tuple(target(u, s) for u, s in entries.items()))
        self.take(self.overlay.apply_to(listed))

    @rule(drained=st.sets(st.sampled_from(UIDS)))
    def operators_drain(self, drained: set[str]) -> None:
        self.drained = drained
        self.take(self.overlay.set_drained(drained))

    @invariant()
    def a_drained_box_gets_nothing_and_every_other_is_as_discovery_said(self) -> None:
        assert set(self.taken) == set(self.told)
        for uid, state in self.taken.items():
            drains = uid in self.drained and self.told[uid] is ServerState.RUNNING
            assert state is (ServerState.DRAINING if drains else self.told[uid])


TestOverlay = OverlayMachine.TestCase
TestOverlay.settings = settings(max_examples=60, deadline=None)


def test_a_new_box_at_the_address_of_a_drained_one_is_not_drained() -> None:
    overlay = DrainOverlay(["s-old"])
    assert overlay.apply_to(TargetList(1, True, (target("s-old"),))).targets[0].entry.state is (ServerState.DRAINING)
    listed = overlay.apply_to(TargetList(2, True, (target("s-new", started=5.0),)))
    assert listed.targets[0].entry.state is ServerState.RUNNING


def test_a_drain_outlives_the_boxs_removal_and_return() -> None:
    overlay = DrainOverlay(["s-1"])
    overlay.apply_to(TargetList(1, True, (target("s-1"),)))
    overlay.apply_to(TargetList(2, False, (target("s-1", ServerState.REMOVED),)))
    back = overlay.apply_to(TargetList(3, False, (target("s-1", started=9.0),)))
    assert back.targets[0].entry.state is ServerState.DRAINING
    changes = overlay.set_drained(())
    assert [t.entry.state for t in changes.targets] == [ServerState.RUNNING]


records = st.builds(record, st.sampled_from(UIDS), st.integers(1, 5), st.sampled_from(["a", "b", "c"]), st.booleans())


def consistent(them: list[Record]) -> list[Record]:
    """An origin is one command, so it makes one record of a target and generation."""
    return list({(r.key, r.order): r for r in them}.values())


@given(st.lists(records, max_size=12).map(consistent), st.randoms(use_true_random=False))
def test_all_who_heard_the_same_records_hold_the_same(them: list[Record], rng: object) -> None:
    other = list(them)
    rng.shuffle(other)  # type: ignore[attr-defined]
    one, two = Records(them), Records([*other, *other])
    assert one.digest() == two.digest()
    assert {r.key: r for r in one} == {r.key: r for r in two}
    for held in one:
        assert held.order == max(r.order for r in them if r.key == held.key)


def test_an_older_record_is_told_apart_from_a_known_one() -> None:
    held = Records([record("s-1", 3, "b")])
    assert held.offer(record("s-1", 3, "b")) is OfferResult.KNOWN
    assert held.offer(record("s-1", 3, "a", drained=False)) is OfferResult.OLDER
    assert held.offer(record("s-1", 2, "z", drained=False)) is OfferResult.OLDER
    assert held.offer(record("s-1", 3, "c", drained=False)) is OfferResult.ACCEPTED
    assert held.greatest_generation() == 3


def test_records_are_bounded_and_what_is_held_can_still_change() -> None:
    held = Records(record(f"s-{n}", 1) for n in range(MAXIMUM_RECORDS + 5))
    assert len(held) == MAXIMUM_RECORDS
    assert held.offer(record("one-more", 1)) is OfferResult.OLDER
    assert held.offer(record("s-0", 2, drained=False)) is OfferResult.ACCEPTED


def test_only_what_says_nothing_any_more_is_retired() -> None:
    held = Records(
        [
            record("there", 1, at=1.0),
            record("gone", 2, at=1.0),
            record("young", 3, at=9.0),
            record("undrained", 4, drained=False, at=1.0),
        ]
    )
    assert {r.target for r in held.forget_obsolete(5.0, ["there"])} == {"gone", "undrained"}
    assert {r.target for r in held} == {"there", "young"}
