"""Routing in a simulation of many limiters and servers: shares, faults, zones and the cost of a selection."""

import pytest
from helpers import limiter_settings, server_entry, start_harness

from elderlock import interface as api
from elderlock.decisions import server_selection
from elderlock.decisions.limiter import Limiter
from elderlock.interface import ListKind, Outcome, Routing
from elderlock.standins.tier import Size, Tier


def warmed_up_tier(size: Size, seed: int = 1, warm_up_ms: float = 2000.0) -> Tier:
    tier = Tier(size, seed).play(warm_up_ms)
    tier.count_anew()
    return tier


def test_equal_servers_get_equal_shares() -> None:
    tier = warmed_up_tier(Size(limiters=3, boxes=60, load=0.5, speeds=(1.0,))).play(3000.0)
    mean = sum(tier.sends.values()) / 60
    assert len(tier.sends) == 60 and max(tier.sends.values()) < 2.2 * mean


def test_a_slow_server_gets_few_requests() -> None:
    tier = warmed_up_tier(Size(limiters=3, boxes=90, load=0.5))
    tier.boxes["s-50"].speed /= 10.0
    tier.play(2000.0)
    tier.count_anew()
    tier.play(2000.0)
    assert tier.sends["s-50"] < 0.25 * sum(tier.sends.values()) / 90
    assert tier.served() > 0.99


def test_a_zone_that_fails_and_restarts_stays_within_its_warm_up_budget() -> None:
    tier = warmed_up_tier(Size(limiters=3, boxes=60, load=0.5), seed=2)
    failed_servers = [server for server in tier.boxes.values() if server.zone == 1]
    for server in failed_servers:
        server.silent = True
    tier.play(4000.0)
    assert tier.served() > 0.98
    attempts_at_failed = sum(tier.sends[server.uid] for server in failed_servers)
    assert attempts_at_failed < 0.05 * sum(tier.sends.values())
    for server in failed_servers:
        server.restart()
    tier.tell_all(failed_servers)
    tier.count_anew()
    tier.play(4000.0)
    assert tier.served() > 0.97
    assert 0.0 < tier.cold_excess() <= 1.0  # as a fraction of the warm-up budget
    attempts_at_restarted = sum(tier.sends[server.uid] for server in failed_servers)
    assert attempts_at_restarted > 0.05 * sum(tier.sends.values())  # the servers get work again


def test_a_list_may_replace_half_of_the_servers_at_once() -> None:
    tier = warmed_up_tier(Size(limiters=3, boxes=60, load=0.4), seed=3)
    tier.replace(list(tier.boxes)[::2])
    for limiter_index in range(3):
        tier.tell(limiter_index)
    tier.count_anew()
    tier.play(4000.0)
    assert set(tier.sends) <= set(tier.boxes), "an attempt was sent to a server that is no longer in the list"
    assert tier.cold_excess() <= 1.0 and tier.served() > 0.85


def test_false_load_reports_change_nothing() -> None:
    """Limiters do not read the queue lengths that servers report; see docs/design/decisions.md."""
    sends = []
    for reports_falsely in (False, True):
        tier = Tier(Size(limiters=3, boxes=20, load=0.8), 4)
        for server in list(tier.boxes.values())[::4]:
            server.lies = reports_falsely
        sends.append(tier.play(1500.0).sends)
    assert sends[0] == sends[1]


def test_limiters_that_start_with_the_same_list_do_not_choose_the_same_servers() -> None:
    tier = Tier(Size(limiters=30, boxes=120, load=0.7), 5).play(150.0)
    mean = sum(tier.sends.values()) / 120
    assert mean > 2 and max(tier.sends.values()) < 5 * mean


def test_requests_stay_in_the_own_zone_until_load_rises() -> None:
    away_fractions = []
    for load in (0.3, 0.6, 0.9):
        tier = warmed_up_tier(Size(limiters=3, boxes=60, load=load, routing=Routing(cross_zone_penalty=0.2))).play(
            1500.0
        )
        away_fractions.append(tier.away / sum(tier.sends.values()))
    assert away_fractions[0] < 0.02 and away_fractions[0] <= away_fractions[1] < away_fractions[2] < 0.6


def test_requests_leave_the_own_zone_when_it_fails() -> None:
    tier = warmed_up_tier(Size(limiters=3, boxes=60, load=0.4, routing=Routing(cross_zone_penalty=0.3)), seed=6)
    for server in tier.boxes.values():
        server.silent = server.zone == 0
    tier.play(2000.0)
    tier.count_anew()
    tier.play(2000.0)
    assert tier.served() > 0.98


class CountingSelector(server_selection.ServerSelector):
    """Counts the servers whose cost is computed."""

    cost_count = 0

    def cost(self, server, request, tried_ids, least_cost=0.0):  # type: ignore[no-untyped-def]
        CountingSelector.cost_count += 1
        return super().cost(server, request, tried_ids, least_cost)


def limiter_with_servers(server_count: int) -> Limiter:
    entries = tuple(server_entry(f"s-{n}", n % 3) for n in range(server_count))
    limiter = Limiter(limiter_settings(limiter_count=1), 0, 0.0)
    limiter.handle(api.ServerList(1, ListKind.COMPLETE, entries), 0.0)
    return limiter


@pytest.mark.parametrize("server_count", [100, 1000, 5000])
def test_a_selection_compares_the_same_number_of_servers_in_a_list_of_any_size(server_count: int) -> None:
    limiter = limiter_with_servers(server_count)
    limiter.attempts.server_selector = CountingSelector(limiter.context, limiter.endpoints)
    CountingSelector.cost_count = 0
    for n in range(50):
        limiter.handle(api.RequestArrived(f"r{n}", 0, 0, f"c{n}", 1.0, 900.0, 1, 0), 100.0)
    assert CountingSelector.cost_count == 50 * server_selection.SAMPLE_COUNT


def test_two_thousand_requests_that_time_out_together_get_one_answer_each() -> None:
    harness = start_harness(limiter_settings(limiter_count=1), server_ids="".join(chr(0x4E00 + n) for n in range(1500)))
    harness.limiter.attempts.retry_policy.retry_budget = 0.0
    request_ids = [harness.send_request(customer_id=f"c{n}") for n in range(2000)]
    assert sum(bool(harness.attempted_servers(request_id)) for request_id in request_ids) == 2000
    harness.run_until(harness.now_ms + 1100.0)
    assert all(len(harness.final_answers[request_id]) == 1 for request_id in request_ids)
    assert harness.limiter.load_estimator.in_flight == 0 and not harness.limiter.requests
    assert not any(server.in_flight for server in harness.limiter.endpoints.servers.values())


def test_idle_accounts_are_removed_and_a_busy_one_is_not() -> None:
    limiter, now = limiter_with_servers(4), 0.0

    def send_request(request_id: str, customer: str) -> None:
        arrival = api.RequestArrived(request_id, 0, 0, customer, 1.0, now + 900.0, 1, 0)
        actions = limiter.handle(arrival, now)
        for server_id in [action.server_id for action in actions if isinstance(action, api.SendAttempt)]:
            limiter.handle(api.AttemptEnded(request_id, 0, server_id, Outcome.OK, 5.0, True), now)

    for n in range(20_000):
        now += 0.5
        send_request(f"r{n}", f"c{n}")
    assert len(limiter.quotas.accounts) == 20_000
    for n in range(400):
        now += 100.0
        send_request(f"b{n}", "busy")
        limiter.quotas.expire_accounts()
    assert len(limiter.quotas.accounts) == 1 and not limiter.quotas.idle_accounts.postponed
