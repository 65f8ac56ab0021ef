"""Evidence as bytes: what goes in comes out, and whatever is wrong in one place is taken nowhere."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from elderlock import peer_messages
from elderlock.gossip import evidence_messages as wire
from elderlock.gossip.evidence_messages import EvidenceMessageError, Observation, ObservationKind, decode, encode

NOW = 1_700_000_000_000.0
LIMITERS = 200
observations = st.builds(
    Observation,
    st.integers(0, 2**32 - 1),
    st.integers(0, LIMITERS - 1),
    st.integers(0, 255),
    st.sampled_from(ObservationKind),
    st.integers(0, 60_000).map(lambda age: NOW - age),
)


@given(st.lists(observations, max_size=40), st.integers(0, 100))
def test_observations_survive_encoding_and_a_datagram_keeps_to_its_size(rows: list[Observation], way: int) -> None:
    data = encode(rows, NOW)
    assert len(data) <= wire.MAX_DATAGRAM_BYTES and wire.is_evidence(data)
    read = decode(data, NOW + way, LIMITERS)
    assert [(o.server_key, o.origin_index, o.origin_zone, o.kind) for o in read] == [
        (o.server_key, o.origin_index, o.origin_zone, o.kind) for o in rows[: wire.MAX_ROWS]
    ]
    assert all(abs(o.began_at_ms - row.began_at_ms - way) <= 0.5 for o, row in zip(read, rows, strict=False))


@given(st.binary(max_size=300))
def test_any_bytes_are_decoded_or_refused(data: bytes) -> None:
    try:
        read = decode(data, NOW, LIMITERS)
    except EvidenceMessageError:
        return
    assert encode(read, NOW)[wire.HEADER.size :] == data[wire.HEADER.size :]


def good() -> bytes:
    return encode(
        [Observation(7, 3, 1, ObservationKind.FAILED, NOW - 20.0), Observation(8, 4, 1, ObservationKind.ANSWERED, NOW)],
        NOW,
    )


@pytest.mark.parametrize(
    "wrong",
    [
        good()[:-1],
        good()[:4],
        good() + bytes(300),
        bytes([wire.FORMAT, wire.VERSION + 1]) + good()[2:],
        encode([Observation(7, LIMITERS, 1, ObservationKind.FAILED, NOW)], NOW),
        good()[:-3] + b"\x09" + good()[-2:],
    ],
)
def test_a_datagram_that_is_wrong_in_one_place_is_refused_entirely(wrong: bytes) -> None:
    with pytest.raises(EvidenceMessageError):
        decode(wrong, NOW, LIMITERS)


@pytest.mark.parametrize("late", [3_000.0, 86_400_000.0, -3_000.0])
def test_old_datagrams_and_those_of_a_wrong_clock_are_refused(late: float) -> None:
    with pytest.raises(EvidenceMessageError, match="ms ago"):
        decode(good(), NOW + late, LIMITERS)


def test_evidence_datagrams_and_quota_messages_are_not_taken_for_one_another() -> None:
    assert peer_messages.decode(good()) is None
    for number in range(1000):  # nor is any message of quotas taken for gossip
        query = peer_messages.QuotaQuery(random.Random(number).getrandbits(32), 1, 8.0, 20.0, number)
        data = peer_messages.encode(number % 256, query)
        assert not wire.is_evidence(data)
