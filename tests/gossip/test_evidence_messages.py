"""Encoding of evidence: round trips, and refusal of every datagram with a malformed part."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from elderlock import peer_messages
from elderlock.gossip import evidence_messages
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
def test_observations_survive_encoding_and_a_datagram_keeps_its_size_limit(
    rows: list[Observation], delay_ms: int
) -> None:
    data = encode(rows, NOW)
    assert len(data) <= evidence_messages.MAX_DATAGRAM_BYTES and evidence_messages.is_evidence(data)
    decoded = decode(data, NOW + delay_ms, LIMITERS)
    assert [(row.server_key, row.origin_index, row.origin_zone, row.kind) for row in decoded] == [
        (row.server_key, row.origin_index, row.origin_zone, row.kind) for row in rows[: evidence_messages.MAX_ROWS]
    ]
    assert all(
        abs(received.began_at_ms - sent.began_at_ms - delay_ms) <= 0.5
        for received, sent in zip(decoded, rows, strict=False)
    )


@given(st.binary(max_size=300))
def test_any_bytes_are_decoded_or_refused(data: bytes) -> None:
    try:
        decoded = decode(data, NOW, LIMITERS)
    except EvidenceMessageError:
        return
    assert encode(decoded, NOW)[evidence_messages.HEADER.size :] == data[evidence_messages.HEADER.size :]


def valid_datagram() -> bytes:
    return encode(
        [Observation(7, 3, 1, ObservationKind.FAILED, NOW - 20.0), Observation(8, 4, 1, ObservationKind.ANSWERED, NOW)],
        NOW,
    )


@pytest.mark.parametrize(
    "malformed",
    [
        valid_datagram()[:-1],
        valid_datagram()[:4],
        valid_datagram() + bytes(300),
        bytes([evidence_messages.FORMAT, evidence_messages.VERSION + 1]) + valid_datagram()[2:],
        encode([Observation(7, LIMITERS, 1, ObservationKind.FAILED, NOW)], NOW),
        valid_datagram()[:-3] + b"\x09" + valid_datagram()[-2:],
    ],
)
def test_a_datagram_with_one_malformed_part_is_refused_entirely(malformed: bytes) -> None:
    with pytest.raises(EvidenceMessageError):
        decode(malformed, NOW, LIMITERS)


@pytest.mark.parametrize("age_ms", [3_000.0, 86_400_000.0, -3_000.0])
def test_old_datagrams_and_those_ahead_of_the_clock_are_refused(age_ms: float) -> None:
    with pytest.raises(EvidenceMessageError, match="ms ago"):
        decode(valid_datagram(), NOW + age_ms, LIMITERS)


def test_evidence_datagrams_and_quota_messages_are_told_apart() -> None:
    assert peer_messages.decode(valid_datagram()) is None
    for number in range(1000):
        query = peer_messages.QuotaQuery(random.Random(number).getrandbits(32), 1, 8.0, 20.0, number)
        data = peer_messages.encode(number % 256, query)
        assert not evidence_messages.is_evidence(data)
