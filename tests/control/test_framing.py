"""Length-prefixed frames on a byte stream."""

import os

import pytest
from hypothesis import given
from hypothesis import strategies as st

from elderlock.control.framing import FrameDecoder, FrameError, encode_frame


@given(st.lists(st.binary(max_size=50), max_size=8), st.integers(1, 17))
def test_frames_are_decoded_however_the_stream_is_split(bodies: list[bytes], chunk_size: int) -> None:
    stream, decoder, decoded = b"".join(encode_frame(body) for body in bodies), FrameDecoder(64), []
    for start in range(0, len(stream), chunk_size):
        decoded += decoder.feed(stream[start : start + chunk_size])
    assert decoded == bodies
    assert decoder.pending_byte_count() == 0


def test_an_oversized_frame_is_refused_by_its_announced_length() -> None:
    decoder = FrameDecoder(100)
    with pytest.raises(FrameError, match="101 bytes; 100"):
        decoder.feed(b"\x00\x00\x00\x65")
    with pytest.raises(FrameError):
        FrameDecoder(1 << 20).feed(os.urandom(0) + b"GET / HTTP/1.1\r\n")
