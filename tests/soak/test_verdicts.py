"""The rules by which a soak judges what its clients and servers have seen."""

import pytest

from elderlock.interface.settings import Idempotency
from elderlock.soak.verdicts import (
    ANSWER_AFTER_DEADLINE_S,
    ATTEMPT_AFTER_CLOSE_S,
    BEGIN_AFTER_WINDOW_S,
    DEDUPLICATION_WINDOW_S,
    READ_AFTER_S,
    Request,
    Rule,
    Verdicts,
    value_of,
)

LAST_BEGIN_S = DEDUPLICATION_WINDOW_S + BEGIN_AFTER_WINDOW_S


def verdicts_with(request: Request) -> Verdicts:
    verdicts = Verdicts()
    verdicts.add(request)
    return verdicts


def rules(verdicts: Verdicts) -> list[Rule]:
    return [violation.rule for violation in verdicts.violations]


@pytest.mark.parametrize(
    ("acknowledged_at_s", "broken"),
    [(None, []), (10.0 - 0.9 * READ_AFTER_S, []), (10.0 - 1.1 * READ_AFTER_S, [Rule.LOST])],
)
def test_request_is_lost_if_it_had_been_read_when_its_connection_closed(
    acknowledged_at_s: float | None, broken: list[Rule]
) -> None:
    request = Request(b"q", "n0", Idempotency.IDEMPOTENT, 12.0, acknowledged_at_s)
    verdicts = verdicts_with(request)
    verdicts.closed_by_limiter(request, 10.0)
    assert rules(verdicts) == broken
    assert verdicts.crossed == (0 if broken else 1)


@pytest.mark.parametrize(
    ("value", "at_s", "broken"),
    [
        (value_of(b"q"), 1.0, []),
        (None, 1.0, []),
        (value_of(b"other"), 1.0, [Rule.WRONG_VALUE]),
        (value_of(b"q"), 2.1 + ANSWER_AFTER_DEADLINE_S, [Rule.LOST]),
    ],
)
def test_answer_has_to_be_the_requests_own_and_in_time(value: bytes | None, at_s: float, broken: list[Rule]) -> None:
    request = Request(b"q", "n0", Idempotency.IDEMPOTENT, 2.0)
    verdicts = verdicts_with(request)
    verdicts.answered(request, value, at_s)
    assert rules(verdicts) == broken


@pytest.mark.parametrize(
    ("idempotency", "second_at_s", "broken"),
    [
        (Idempotency.IDEMPOTENT, 9.0, []),
        (Idempotency.WITH_KEY, 0.9 * LAST_BEGIN_S, []),
        (Idempotency.WITH_KEY, 1.1 * LAST_BEGIN_S, [Rule.RUN_TWICE]),
        (Idempotency.NOT_IDEMPOTENT, 0.5, [Rule.RUN_TWICE]),
    ],
)
def test_a_request_is_begun_again_only_as_its_class_allows(
    idempotency: Idempotency, second_at_s: float, broken: list[Rule]
) -> None:
    verdicts = verdicts_with(Request(b"q", "n0", idempotency, 20.0))
    verdicts.attempt_begun(b"q", 1.0)
    verdicts.attempt_begun(b"q", 1.0 + second_at_s)
    assert rules(verdicts) == broken


@pytest.mark.parametrize(("factor", "broken"), [(0.9, []), (1.1, [Rule.ATTEMPT_AFTER_CLOSE])])
def test_no_attempt_begins_long_after_its_clients_close(factor: float, broken: list[Rule]) -> None:
    verdicts = verdicts_with(Request(b"q", "n0", Idempotency.IDEMPOTENT, 2.0, closed_at_s=1.0))
    verdicts.attempt_begun(b"q", 1.0 + factor * ATTEMPT_AFTER_CLOSE_S)
    assert rules(verdicts) == broken


def test_request_without_an_answer_in_time_is_lost() -> None:
    request = Request(b"q", "n0", Idempotency.IDEMPOTENT, 2.0)
    verdicts = verdicts_with(request)
    verdicts.expired(request, 3.0)
    assert rules(verdicts) == [Rule.LOST]


@pytest.mark.parametrize(("core_wait_s", "broken"), [(0.9, []), (0.1, [Rule.LOST, Rule.ATTEMPT_AFTER_CLOSE])])
def test_time_in_which_the_limiter_waited_for_a_core_is_not_counted_against_it(
    core_wait_s: float, broken: list[Rule]
) -> None:
    verdicts = Verdicts(core_wait_s=lambda limiter, since_s: core_wait_s if (limiter, since_s) == ("n0", 10.0) else 0.0)
    unanswered = verdicts.add(Request(b"a", "n0", Idempotency.IDEMPOTENT, 20.0, acknowledged_at_s=10.0))
    verdicts.add(Request(b"b", "n0", Idempotency.IDEMPOTENT, 20.0, closed_at_s=10.0))
    verdicts.closed_by_limiter(unanswered, 11.0)
    verdicts.attempt_begun(b"b", 11.0)
    assert rules(verdicts) == broken
