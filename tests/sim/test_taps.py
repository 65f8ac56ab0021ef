"""The observer of a client's connection judges a close by the limiter over requests."""

from types import SimpleNamespace
from typing import Any

import pytest

from elderlock.sim.taps import READ_AFTER_MS, ClientTap
from elderlock.standins.settings import CUSTOMER, terms


class RecordingWorld:
    """A world whose limiter runs, and which records the checkers' events."""

    has_broken_connections = False

    def __init__(self) -> None:
        self.now_ms = 0.0
        self.events: list[tuple[str, str]] = []
        self.bench = SimpleNamespace(
            asked=lambda *_: None,
            answered=lambda _at, name, word: self.events.append((name, word)),
            excused=lambda _at, name, _why: self.events.append((name, "excused")),
            failure=lambda *_: None,
        )

    def at(self) -> float:
        return self.now_ms

    def incarnation(self, limiter: int) -> Any:
        return limiter

    def is_alive(self, incarnation: Any) -> bool:
        return True

    def record_attempt(self, *_: Any) -> None:
        raise AssertionError("no attempt is observed here")


def command(name: str) -> bytes:
    parts = ["API.READ", CUSTOMER, name, terms()]
    return b"*4\r\n" + b"".join(b"$%d\r\n%b\r\n" % (len(part), part.encode()) for part in parts)


@pytest.mark.parametrize(("factor", "events"), [(0.9, []), (1.1, [("read", "dropped")])])
def test_close_over_a_request_that_was_read_is_reported(factor: float, events: list[tuple[str, str]]) -> None:
    """Guards against: the client's second sending hides that a limiter dropped what it had read."""
    world = RecordingWorld()
    tap = ClientTap(world, 0)
    tap.wrote(command("read"))
    world.now_ms = factor * READ_AFTER_MS
    tap.wrote(command("crossing"))
    tap.closed(by_us=False)
    assert world.events == events
