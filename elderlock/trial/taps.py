"""Looks on at relays and tells the recorder: what clients asked and were answered, what limiters let go to boxes, what
discovery has told them. The taps are the simulation's; a relay sees more, and says when."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

from elderlock.sim.taps import ClientTap, ObservedWorld, SendTap

LONGEST_LIST = 64 << 20  # bytes
BEGINS = b'{"rev"'


class _Eyes:
    def sent(self, data: bytes) -> None:
        pass

    def delivered(self, data: bytes) -> None:
        pass

    def read(self, data: bytes) -> None:
        pass

    def handed(self, data: bytes) -> None:
        pass

    def closed(self, by_opener: bool, broken: bool) -> None:
        pass


class ClientEyes(_Eyes):
    """A request counts as taken once its last byte has left for the limiter, as answered when the answer's came."""

    def __init__(self, scene: ObservedWorld, limiter: int, later: Callable[[Callable[[], None]], None]) -> None:
        self._tap, self._later = ClientTap(scene, limiter), later

    def delivered(self, data: bytes) -> None:
        self._tap.wrote(data)

    def read(self, data: bytes) -> None:
        self._tap.read(data)

    def closed(self, by_opener: bool, broken: bool) -> None:
        if by_opener or broken:
            self._tap.closed(True)
        else:  # a process that is killed closes its connections a moment before it is seen to be gone
            self._later(lambda: self._tap.closed(False))


class SendEyes(_Eyes):
    """Work counts as let go when the limiter has written it."""

    def __init__(self, scene: ObservedWorld, limiter: str, box: str) -> None:
        self._tap = SendTap(scene, limiter, box)

    def sent(self, data: bytes) -> None:
        self._tap.wrote(data)


class ListEyes(_Eyes):
    """Lists as discovery writes them, one JSON object in each chunk or body; `heard` gets each whole one, as it comes
    to the limiter."""

    def __init__(self, heard: Callable[[dict[str, Any]], None]) -> None:
        self._heard = heard
        self._held = b""
        self._decoder = json.JSONDecoder()

    def handed(self, data: bytes) -> None:
        self._held += data
        while (at := self._held.find(BEGINS)) >= 0:
            try:
                text = self._held[at:].decode()
                made, length = self._decoder.raw_decode(text)
            except ValueError:  # half of it has come
                self._held = self._held[at:][:LONGEST_LIST]
                return
            self._held = self._held[at + len(text[:length].encode()) :]
            self._heard(made)
        self._held = self._held[-len(BEGINS) :]
