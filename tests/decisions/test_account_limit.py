"""The number of accounts stays limited, and no account is closed whose customer would gain from a new one."""

import pytest
from helpers import account_of, start_harness

MAX_ACCOUNTS = 50
SETTLE_MS = 5000.0


def test_requests_under_ever_new_names_do_not_open_more_accounts_than_allowed() -> None:
    """Guards against: memory grows without end while a client sends requests under ever new names."""
    harness = start_harness(server_ids="")  # none is sent, so no account is charged
    harness.limiter.quotas.account_limit.max_accounts = MAX_ACCOUNTS
    for number in range(20 * MAX_ACCOUNTS):
        harness.send_request(f"customer-{number}")
    quotas = harness.limiter.quotas
    assert len(quotas.accounts) == MAX_ACCOUNTS
    assert len(quotas.idle_accounts.recent) == MAX_ACCOUNTS
    assert len(quotas.account_limit._uncharged) <= MAX_ACCOUNTS
    harness.run_until(60_000.0)
    assert not quotas.accounts and not quotas.account_limit._uncharged


@pytest.mark.parametrize("plan_index", [0, 1])  # the second has a hard ceiling
def test_a_charged_account_is_not_closed_for_a_new_customer_until_it_is_full_again(plan_index: int) -> None:
    harness = start_harness()
    quotas = harness.limiter.quotas
    quotas.account_limit.max_accounts = 1
    harness.run_until(SETTLE_MS)
    assert harness.is_served("first", plan_index)
    rejected_id = harness.send_request("second", plan_index)
    assert harness.final_answers[rejected_id] == ["Reject"]
    assert harness.is_served("first", plan_index)
    harness.run_until(harness.now_ms + SETTLE_MS)  # long enough to refill two units
    assert harness.is_served("second", plan_index)
    assert len(quotas.accounts) == 1


def test_a_request_whose_account_was_closed_meanwhile_is_charged_to_the_one_in_its_place() -> None:
    """Guards against: units that were spent are forgotten, as the account was closed while its request waited."""
    for comes_again in (False, True):
        harness = start_harness(server_ids="")
        quotas = harness.limiter.quotas
        quotas.account_limit.max_accounts = 1
        waiting_id = harness.send_request("first")
        request = harness.limiter.requests[waiting_id]
        harness.send_request("second")
        if comes_again:
            harness.send_request("first")
        key = request.account.key
        assert (key in quotas.accounts) == comes_again
        bucket_units = quotas.accounts.get(key, request.account).bucket_units
        request.is_within_quota = True
        quotas.charge(request)
        assert request.account is quotas.accounts[key]
        assert request.account.bucket_units == bucket_units - request.arrival.units
        assert request.account.in_flight == 1


def test_the_first_rejection_for_want_of_an_account_is_logged() -> None:
    harness = start_harness()
    harness.limiter.quotas.account_limit.max_accounts = 1
    harness.run_until(SETTLE_MS)
    assert harness.is_served("first")
    for _ in range(3):
        harness.send_request("second")
    texts = [getattr(action, "text", "") for _, action in harness.other_actions]
    assert sum("new customers" in text for text in texts) == 1
    assert account_of(harness).in_flight == 0
