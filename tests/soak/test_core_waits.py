"""The time that limiters waited for a core, since a time of the verdicts' clock."""

import pytest

from elderlock.soak import core_waits
from elderlock.soak.core_waits import CoreWaits


class Clock:
    """A clock that the test sets."""

    time_s = 0.0

    def now_s(self) -> float:
        return self.time_s


def test_waits_since_a_time_are_those_of_the_last_process_also_if_it_has_ended(monkeypatch: pytest.MonkeyPatch) -> None:
    waited_ms = {7: 100.0, 8: 0.0}
    pids = {"n0": 7}
    monkeypatch.setattr(core_waits, "core_wait_ms", lambda pid: waited_ms.get(pid, 0.0))
    clock = Clock()
    waits = CoreWaits(clock, lambda: pids)  # type: ignore[arg-type]
    assert waits.waited_s("n0", 0.0) == 0.0  # no sample yet
    for clock.time_s, waited_ms[7] in ((1.0, 100.0), (2.0, 400.0), (3.0, 600.0)):
        waits.sample()
    assert waits.waited_s("n0", 1.0) == pytest.approx(0.5)
    assert waits.waited_s("n0", 2.5) == pytest.approx(0.2)  # counted from the last sample before
    pids.clear()
    del waited_ms[7]
    assert waits.waited_s("n0", 1.0) == pytest.approx(0.5)
    pids["n0"] = 8
    waits.sample()
    assert waits.waited_s("n0", 1.0) == 0.0
    assert waits.waited_s("n1", 0.0) == 0.0
