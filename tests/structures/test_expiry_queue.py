"""Compares the expiry queue with a model: a dictionary of last uses."""

from hypothesis import given
from hypothesis import strategies as st

from elderlock.structures.expiry_queue import ExpiryQueue


@given(st.lists(st.tuples(st.sampled_from(["use", "wait"]), st.integers(0, 5), st.integers(1, 40)), max_size=60))
def test_each_idle_key_expires_once_until_it_is_used_or_postponed(steps: list[tuple[str, int, int]]) -> None:
    queue, now = ExpiryQueue(20.0), 0.0
    used_at: dict[int, float] = {}
    postponed_until: dict[int, float] = {}
    for action, key, value in steps:
        match action:
            case "use":
                queue.touch(key, now)
                used_at[key] = now
                postponed_until.pop(key, None)
            case "wait":
                now += value
                expired = queue.pop_expired(now)
                idle = {idle_key for idle_key, at in used_at.items() if now - at > 20.0}
                assert set(expired) == idle | {due_key for due_key, until in postponed_until.items() if until <= now}
                assert len(expired) == len(set(expired))
                for expired_key in expired:
                    used_at.pop(expired_key, None)
                    postponed_until.pop(expired_key, None)
                    if expired_key % 2:  # odd keys are postponed, even ones are forgotten
                        queue.postpone(expired_key, now + 30.0)
                        postponed_until[expired_key] = now + 30.0


def test_postponed_keys_cost_nothing_until_they_are_due() -> None:
    queue = ExpiryQueue(10.0)
    for key in range(100_000):
        queue.touch(key, 0.0)
    for key in queue.pop_expired(11.0):
        queue.postpone(key, 5000.0)
    assert not queue.recent
    assert [queue.pop_expired(float(now)) for now in range(12, 1000)] == [[]] * 988
    assert len(queue.pop_expired(5000.0)) == 100_000
