"""Length-prefixed frames on a byte stream: a length of four bytes (big-endian), then the body. No I/O."""

from __future__ import annotations

from struct import Struct

LENGTH_PREFIX = Struct(">I")


class FrameError(Exception):
    """A frame is not accepted; the rest of the stream cannot be decoded."""


class FrameDecoder:
    """Splits a stream into frames.

    An announced length is checked before any byte of the body is stored, so that garbage or an oversized frame uses no
    memory.

    Attributes:
        maximum_bytes: The maximum size of a body.
    """

    def __init__(self, maximum_bytes: int) -> None:
        self.maximum_bytes = maximum_bytes
        self._data = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """Add received bytes; return the bodies of all frames that they complete.

        Raises:
            FrameError: A frame is longer than `maximum_bytes`.
        """
        self._data += data
        bodies: list[bytes] = []
        start = 0
        while len(self._data) - start >= LENGTH_PREFIX.size:
            (length,) = LENGTH_PREFIX.unpack_from(self._data, start)
            if length > self.maximum_bytes:
                raise FrameError(f"a message of {length} bytes; {self.maximum_bytes} are taken at most")
            body_start = start + LENGTH_PREFIX.size
            end = body_start + length
            if len(self._data) < end:
                break
            bodies.append(bytes(self._data[body_start:end]))
            start = end
        del self._data[:start]
        return bodies

    def pending_byte_count(self) -> int:
        """Return the number of bytes received of an incomplete frame."""
        return len(self._data)


def encode_frame(body: bytes) -> bytes:
    """Return the frame of a body."""
    return LENGTH_PREFIX.pack(len(body)) + body
