"""Messages as frames on a stream: four bytes of length (big-endian), then MessagePack. No I/O."""

from __future__ import annotations

from struct import Struct

LENGTH_PREFIX = Struct(">I")


class FrameError(Exception):
    """What came is no frame that is taken here; nothing behind it can be read."""


class FrameDecoder:
    """Cuts a stream into frames of at most `longest` bytes. An announced length is checked before a byte
    of it is kept, so that noise or a huge message costs no memory."""

    def __init__(self, longest: int) -> None:
        self.maximum_bytes = longest
        self._data = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """The whole frames that have come, without their lengths. Raises `FrameError`."""
        self._data += data
        frames, at = [], 0
        while len(self._data) - at >= LENGTH_PREFIX.size:
            (length,) = LENGTH_PREFIX.unpack_from(self._data, at)
            if length > self.maximum_bytes:
                raise FrameError(f"a message of {length} bytes; {self.maximum_bytes} are taken at most")
            end = at + LENGTH_PREFIX.size + length
            if len(self._data) < end:
                break
            frames.append(bytes(self._data[at + LENGTH_PREFIX.size : end]))
            at = end
        del self._data[:at]
        return frames

    def pending_byte_count(self) -> int:
        """Bytes of a message that has not come whole."""
        return len(self._data)


def encode_frame(body: bytes) -> bytes:
    return LENGTH_PREFIX.pack(len(body)) + body
