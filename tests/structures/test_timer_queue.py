"""The timer queue: all timers fire in time through the one armed timer, and cancelled timers cause no wake-up."""

from hypothesis import given
from hypothesis import strategies as st

from elderlock.structures.timer_queue import TimerQueue


@given(st.lists(st.tuples(st.booleans(), st.integers(1, 50), st.booleans()), max_size=40))
def test_all_timers_fire_in_time_through_the_armed_timer(steps: list[tuple[bool, int, bool]]) -> None:
    timers, now = TimerQueue(), 0.0
    armed: dict[int, float] = {}
    live: dict[object, float] = {}

    def arm() -> None:
        if (requested := timers.arm(now)) is not None:
            armed[requested[1]] = now + requested[0]

    for is_schedule, wait, is_cancelled in steps:
        if is_schedule:
            timer = timers.schedule(now + wait, wait)
            if is_cancelled:
                timer.is_live = False
            else:
                live[timer] = now + wait
        else:
            now += wait
            due_tokens = [armed_token for armed_token, fires_at in armed.items() if fires_at <= now]
            for token in sorted(due_tokens, key=lambda due_token: armed[due_token]):
                del armed[token]
                for timer in timers.pop_due(token, now):
                    assert live.pop(timer) <= now + 1.0
                arm()
        arm()
        overdue = [due_at for due_at in live.values() if due_at < now - 50]
        assert not overdue
        if live:
            assert min(armed.values(), default=1e9) <= max(min(live.values()), now)


def test_a_cancelled_timer_causes_no_wake_up() -> None:
    timers, requested = TimerQueue(), []
    for n in range(1000):
        timer = timers.schedule(float(n) + 40.0, n)
        timer.is_live = n % 100 == 0
        requested.append(timers.arm(float(n)))
    assert sum(request is not None for request in requested) == 1
    wake_up_count = 0
    token = next(request[1] for request in requested if request is not None)
    for now in range(40, 1100):
        due = timers.pop_due(token, float(now))
        wake_up_count += bool(due)
        if (rearmed := timers.arm(float(now))) is not None:
            token = rearmed[1]
    assert wake_up_count == 10 and not timers.heap
