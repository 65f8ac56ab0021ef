"""Drain records: their order, their maximum number, and removal of obsolete ones."""

from hypothesis import given
from hypothesis import strategies as st

from elderlock.control.records import MAXIMUM_RECORDS, OfferResult, Record, Records

UIDS = ["s-1", "s-2", "s-3"]


def record(
    target: str, generation: int, origin: str = "a", drained: bool = True, created_at_unix_ms: float = 0.0
) -> Record:
    return Record("box", target, drained, generation, origin, "an", created_at_unix_ms)


records = st.builds(record, st.sampled_from(UIDS), st.integers(1, 5), st.sampled_from(["a", "b", "c"]), st.booleans())


def without_conflicts(drain_records: list[Record]) -> list[Record]:
    """Keep one record for each target, generation and origin, as an origin is the id of a single command."""
    return list({(record.key, record.order): record for record in drain_records}.values())


@given(st.lists(records, max_size=12).map(without_conflicts), st.randoms(use_true_random=False))
def test_the_result_does_not_depend_on_the_order_of_the_records(drain_records: list[Record], rng: object) -> None:
    shuffled = list(drain_records)
    rng.shuffle(shuffled)  # type: ignore[attr-defined]
    first, second = Records(drain_records), Records([*shuffled, *shuffled])
    assert first.digest() == second.digest()
    assert {record.key: record for record in first} == {record.key: record for record in second}
    for newest in first:
        assert newest.order == max(record.order for record in drain_records if record.key == newest.key)


def test_the_result_of_an_offer_is_known_older_or_accepted() -> None:
    stored = Records([record("s-1", 3, "b")])
    assert stored.offer(record("s-1", 3, "b")) is OfferResult.KNOWN
    assert stored.offer(record("s-1", 3, "a", drained=False)) is OfferResult.OLDER
    assert stored.offer(record("s-1", 2, "z", drained=False)) is OfferResult.OLDER
    assert stored.offer(record("s-1", 3, "c", drained=False)) is OfferResult.ACCEPTED
    assert stored.greatest_generation() == 3


def test_the_number_of_records_is_limited_and_known_targets_can_still_change() -> None:
    stored = Records(record(f"s-{number}", 1) for number in range(MAXIMUM_RECORDS + 5))
    assert len(stored) == MAXIMUM_RECORDS
    assert stored.offer(record("one-more", 1)) is OfferResult.OLDER
    assert stored.offer(record("s-0", 2, drained=False)) is OfferResult.ACCEPTED


def test_only_records_without_effect_are_forgotten() -> None:
    stored = Records(
        [
            record("listed", 1, created_at_unix_ms=1.0),
            record("unlisted", 2, created_at_unix_ms=1.0),
            record("recent", 3, created_at_unix_ms=9.0),
            record("undrained", 4, drained=False, created_at_unix_ms=1.0),
        ]
    )
    assert {record.target for record in stored.forget_obsolete(5.0, ["listed"])} == {"unlisted", "undrained"}
    assert {record.target for record in stored} == {"listed", "recent"}
