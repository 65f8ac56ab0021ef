"""Drain records: order, bounds and forgetting."""

from hypothesis import given
from hypothesis import strategies as st

from elderlock.control.records import MAXIMUM_RECORDS, OfferResult, Record, Records

UIDS = ["s-1", "s-2", "s-3"]


def record(target: str, generation: int, origin: str = "a", drained: bool = True, at: float = 0.0) -> Record:
    return Record("box", target, drained, generation, origin, "an", at)


records = st.builds(record, st.sampled_from(UIDS), st.integers(1, 5), st.sampled_from(["a", "b", "c"]), st.booleans())


def consistent(them: list[Record]) -> list[Record]:
    """An origin is one command, so it makes one record of a target and generation."""
    return list({(r.key, r.order): r for r in them}.values())


@given(st.lists(records, max_size=12).map(consistent), st.randoms(use_true_random=False))
def test_all_who_received_the_same_records_hold_the_same(them: list[Record], rng: object) -> None:
    other = list(them)
    rng.shuffle(other)  # type: ignore[attr-defined]
    one, two = Records(them), Records([*other, *other])
    assert one.digest() == two.digest()
    assert {r.key: r for r in one} == {r.key: r for r in two}
    for held in one:
        assert held.order == max(r.order for r in them if r.key == held.key)


def test_offering_a_record_tells_an_older_from_a_known_one() -> None:
    held = Records([record("s-1", 3, "b")])
    assert held.offer(record("s-1", 3, "b")) is OfferResult.KNOWN
    assert held.offer(record("s-1", 3, "a", drained=False)) is OfferResult.OLDER
    assert held.offer(record("s-1", 2, "z", drained=False)) is OfferResult.OLDER
    assert held.offer(record("s-1", 3, "c", drained=False)) is OfferResult.ACCEPTED
    assert held.greatest_generation() == 3


def test_records_are_bounded_and_known_targets_can_still_change() -> None:
    held = Records(record(f"s-{n}", 1) for n in range(MAXIMUM_RECORDS + 5))
    assert len(held) == MAXIMUM_RECORDS
    assert held.offer(record("one-more", 1)) is OfferResult.OLDER
    assert held.offer(record("s-0", 2, drained=False)) is OfferResult.ACCEPTED


def test_only_records_without_effect_are_forgotten() -> None:
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
