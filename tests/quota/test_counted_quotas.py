"""Quotas by a shared counter: requests wait for its answer, and the even part decides while it does not answer."""

import asyncio
import json
from dataclasses import dataclass, field, replace
from pathlib import Path

import msgspec
import pytest
from helpers import LimiterHarness, limiter_settings, server_entry
from programs import Program, get_limiter_state

from elderlock import interface as api
from elderlock.cli.tables import counter_line
from elderlock.control.attach import read_operators_file
from elderlock.decisions.limiter import Limiter
from elderlock.interface import ListKind, Outcome
from elderlock.net.config import ConfigError
from elderlock.quota.counted_quotas import CountedCoordinator, is_ceiling_counted
from elderlock.quota.counter_health import CounterMode
from elderlock.quota.counter_parameters import CounterParameters, SharedBucket
from elderlock.quota.error_bound import ExcessMeter, FailureHistory, stated_error_units
from elderlock.quota.options import QuotaOptions
from elderlock.standins.counter import Counter
from elderlock.standins.listener import Fault
from elderlock.standins.servers import Server
from elderlock.standins.waiting import run, until
from elderlock.state import Account


@dataclass
class CounterHarness(LimiterHarness):
    """A limiter harness with a counter that answers calls after `delay_ms` while it is reachable."""

    totals: dict[str, float] = field(default_factory=dict)
    calls: list[api.AddToCounter] = field(default_factory=list)
    is_reachable: bool = True
    delay_ms: float = 3.0
    pending_answers: list[tuple[float, int, float]] = field(default_factory=list)  # time, token and total

    def carry_out(self, actions: list[api.Action]) -> None:
        for action in actions:
            if isinstance(action, api.AddToCounter):
                self.calls.append(action)
                if self.is_reachable:
                    total = self.totals[action.counter_name] = self.totals.get(action.counter_name, 0.0) + action.amount
                    self.pending_answers.append((self.now_ms + self.delay_ms, action.token, total))
        super().carry_out(actions)

    def run_until(self, until: float) -> None:
        while self.now_ms < until:
            super().run_until(min(until, self.now_ms + 1.0))
            for answer in [answer for answer in self.pending_answers if answer[0] <= self.now_ms]:
                self.pending_answers.remove(answer)
                _, token, total = answer
                self.handle(api.CounterAnswered(token, Outcome.OK, total, self.delay_ms))

    def quota_calls(self) -> list[api.AddToCounter]:
        """Return the calls so far, without those of sentinels."""
        return [call for call in self.calls if not call.counter_name.startswith("sentinel")]


def start_counter_harness(limiters: int = 3) -> CounterHarness:
    coordinator_class = type("Counted", (CountedCoordinator,), {"parameters": CounterParameters()})
    settings = limiter_settings(limiter_count=limiters)
    harness = CounterHarness(Limiter(settings, 7, 1_000.0, coordinator_class), now_ms=1_000.0)
    harness.carry_out(harness.limiter.start(1_000.0))
    harness.apply_list(*(server_entry(name) for name in "abcdef"), kind=ListKind.CACHED)
    harness.run_until(1_100.0)
    return harness


def coordinator_of(harness: CounterHarness) -> CountedCoordinator:
    coordinator = harness.limiter.quota_coordinator
    assert isinstance(coordinator, CountedCoordinator)
    return coordinator


def send_requests(harness: CounterHarness, count: int, interval_ms: float = 5.0, plan: int = 0) -> list[str]:
    """Send requests of one customer at an interval; return those that were forwarded."""
    forwarded = []
    for _ in range(count):
        name = harness.send_request(customer_id="busy", plan_index=plan, limiter_count=3)
        harness.run_until(harness.now_ms + interval_ms)
        if harness.attempted_servers(name):
            forwarded.append(name)
            harness.end_attempt(name)
    return forwarded


def test_a_limiter_with_all_requests_serves_the_entire_quota_and_no_more() -> None:
    """The two other limiters have no requests; an even split would allow a third of the quota."""
    harness = start_counter_harness()
    start_ms = harness.now_ms
    forwarded = send_requests(harness, 1200)
    quota_units = 20.0 + 10.0 * (harness.now_ms - start_ms) / 1000.0
    assert 0.85 * quota_units <= len(forwarded) <= quota_units + 10.0 * 0.2 + 0.25 * 20.0 + 1.0
    assert coordinator_of(harness).book.mode is CounterMode.SHARED


def test_low_use_makes_no_call_and_requests_do_not_wait() -> None:
    harness = start_counter_harness()
    calls_before = harness.quota_calls()
    for number in range(30):
        assert harness.is_served(customer_id=f"c{number}", limiter_count=3)
    assert harness.quota_calls() == calls_before


def test_without_answers_the_even_part_decides_in_time() -> None:
    harness = start_counter_harness()
    send_requests(harness, 40)
    harness.is_reachable = False
    waits_ms = []
    for _ in range(200):
        name, sent_at_ms = harness.send_request(customer_id="busy", limiter_count=3), harness.now_ms
        while not harness.attempted_servers(name) and name not in harness.final_answers:
            harness.run_until(harness.now_ms + 1.0)
        waits_ms.append(harness.now_ms - sent_at_ms)
        harness.end_attempt(name)
        harness.run_until(harness.now_ms + 50.0)
    assert max(waits_ms) <= 2 * CounterParameters().answer_timeout_ms + 55.0
    assert coordinator_of(harness).book.mode is not CounterMode.SHARED
    forwarded_count = len(send_requests(harness, 400, 25.0))
    assert 0.6 * 33 <= forwarded_count <= 1.4 * 33  # a third of 10 per second, for 10 s
    harness.is_reachable = True
    harness.run_until(harness.now_ms + 2_000.0)
    assert coordinator_of(harness).book.mode is CounterMode.SHARED


def test_use_by_other_limiters_is_read_from_the_total() -> None:
    harness = start_counter_harness()
    send_requests(harness, 60)
    latest_name = max(harness.quota_calls(), key=lambda call: call.token).counter_name
    harness.totals[latest_name] += 500.0  # much use by other limiters
    harness.run_until(harness.now_ms + 300.0)
    bucket = coordinator_of(harness).quota_bucket(limiter_settings().plans[0], 3)
    # units that were drawn ahead before, or that may stay unreported
    available_units = (
        CounterParameters().prefetch_limit_units(bucket) + CounterParameters().unreported_limit_units(bucket) + 1.0
    )
    assert len(send_requests(harness, 100)) <= available_units
    refused = harness.send_request(customer_id="busy", limiter_count=3)
    harness.run_until(harness.now_ms + 120.0)
    assert harness.final_answers[refused] == ["Reject"]


def test_a_customer_of_one_limiter_needs_no_counter() -> None:
    harness = start_counter_harness()
    call_count = len(harness.quota_calls())
    for _ in range(30):
        harness.is_served(customer_id="mine", limiter_count=1)
    assert len(harness.quota_calls()) == call_count


def forwarding_times_ms(harness: CounterHarness, count: int, interval_ms: float) -> list[float]:
    """Send requests of a customer with a ceiling (rate 12, burst 24; quota rate 10, burst 20).

    Returns:
        The times at which its requests were forwarded.
    """
    times_ms = []
    for _ in range(count):
        name = harness.send_request(customer_id="ceiled", plan_index=1, limiter_count=3)
        harness.run_until(harness.now_ms + interval_ms)
        if harness.attempted_servers(name):
            times_ms.append(harness.now_ms)
            harness.end_attempt(name)
    return times_ms


def worst_excess_units(times_ms: list[float]) -> float:
    meter = ExcessMeter(SharedBucket(12.0, 24.0, 3, True, 2.4))
    for time_ms in times_ms:
        meter.record(1.0, time_ms)
    return meter.worst_units


def test_a_counted_ceiling_does_not_limit_one_limiter_below_its_rate() -> None:
    """An evenly split ceiling would allow 4 requests per second where the quota allows 10."""
    harness = start_counter_harness()
    harness.run_until(harness.now_ms + 5_000.0)
    start_ms = harness.now_ms
    times_ms = forwarding_times_ms(harness, 1500, 10.0)
    assert len(times_ms) > 0.8 * 10.0 * (harness.now_ms - start_ms) / 1000.0
    assert worst_excess_units(times_ms) <= 2.4


def test_a_ceiling_holds_through_an_outage_and_a_return_with_lost_counts() -> None:
    harness = start_counter_harness()
    harness.run_until(harness.now_ms + 3_000.0)
    times_ms = forwarding_times_ms(harness, 400, 10.0)
    harness.is_reachable = False
    times_ms += forwarding_times_ms(harness, 600, 10.0)
    harness.totals.clear()
    coordinator_of(harness).book.connection_lost(harness.now_ms)
    harness.is_reachable = True
    times_ms += forwarding_times_ms(harness, 600, 10.0)
    assert worst_excess_units(times_ms) <= stated_error_units(
        SharedBucket(12.0, 24.0, 3, True, 1.92), CounterParameters(), FailureHistory(return_count=2)
    )
    assert len(times_ms) > 60 and coordinator_of(harness).book.mode is CounterMode.SHARED


def test_the_ceiling_stays_split_evenly_if_requests_over_quota_are_worth_forwarding() -> None:
    harness = start_counter_harness()
    plan = replace(limiter_settings().plans[1], over_quota_value=1.0)
    account = Account(1, plan, 3, 0, 20.0, 6.0, 0.0, harness.now_ms, 4000.0)
    assert not is_ceiling_counted(account) and harness.limiter.quotas.exceeds_hard_ceiling(account, 1.0)
    account.plan = limiter_settings().plans[1]
    assert is_ceiling_counted(account) and not harness.limiter.quotas.exceeds_hard_ceiling(account, 1.0)
    account.limiter_count = 1
    assert not is_ceiling_counted(account)


def test_every_request_has_one_final_answer_while_the_counter_has_outages() -> None:
    harness = start_counter_harness()
    names = []
    for number in range(600):
        harness.is_reachable = (number // 60) % 2 == 0
        harness.delay_ms = 3.0 if number % 7 else 45.0
        names.append(harness.send_request(customer_id=f"c{number % 3}", limiter_count=3))
        harness.run_until(harness.now_ms + 13.0)
        for name in list({attempt[0] for attempt in harness.attempts_in_flight}):
            harness.end_attempt(name)
    harness.run_until(harness.now_ms + 5_000.0)
    assert all(bool(harness.attempted_servers(name)) != (name in harness.final_answers) for name in names)
    assert not harness.limiter.requests and not coordinator_of(harness).book.has_waiting


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ('store = "etcd"', "Invalid enum value"),
        ('store = "redis"', "store redis needs addresses"),
        ("answer_ms = 0.0", "Expected `float` > 0.0"),
        ("answer_ms = 9000.0", "under a tenth of the window"),
        ('addresses = ["nowhere"]', "is not an address"),
        ("calls = 5.0", "unknown field `calls`"),
    ],
)
def test_bad_quota_options_end_the_program_with_a_one_line_error(text: str, message: str, tmp_path: Path) -> None:
    async def test() -> None:
        program = Program(tmp_path)
        program.operators.write_text(f"[quota]\n{text}\n")
        process = await program.start()
        _, stderr = await process.communicate()
        assert process.returncode == 2
        assert stderr.startswith(b"elderlock: ") and stderr.count(b"\n") == 1 and message in stderr.decode()

    run(test())


def test_the_example_quota_options_are_valid(tmp_path: Path) -> None:
    path = Path(__file__).parent.parent.parent / "deploy" / "operators.example.toml"
    start = path.read_text().index("# [quota]")
    lines = [line.removeprefix("# ") for line in path.read_text()[start:].split("\n\n")[0].splitlines()]
    (tmp_path / "o.toml").write_text("\n".join(lines))
    options = msgspec.convert(read_operators_file(tmp_path / "o.toml").quota, QuotaOptions)
    assert options == QuotaOptions() and options.parameters(3).max_calls_per_s == 100.0
    invalid_options = msgspec.structs.replace(options, answer_ms=5000.0)
    with pytest.raises(ConfigError):
        invalid_options.parameters(3)


def test_the_program_uses_the_counter_and_continues_to_serve_without_its_answers(tmp_path: Path) -> None:
    async def test() -> None:
        counter, server = Counter(), await Server().start()
        await counter.open()
        program = Program(tmp_path, server)
        path = tmp_path / "config.json"
        raw = json.loads(path.read_text())
        raw["counter"] = counter.ports[0].endpoint
        raw["settings"]["peers-total"] = 3
        raw["settings"]["plans"][0].update({"quota-rate": 20.0, "burst": 30.0})
        path.write_text(json.dumps(raw))
        program.operators.write_text(program.operators.read_text() + "[quota]\n")
        await program.start()
        client = await program.client()
        answers = [await client.ask(f"r{n}", spread=3) for n in range(60)]
        assert answers.count(b"value") >= 20  # more than the even part of the burst
        await until(lambda: any(not name.startswith(b"sentinel") for name in counter.names))
        caller = await program.connect_control()
        status = (await get_limiter_state(caller)).counter
        assert status is not None and (status.mode, status.accounts) == ("shared", 1) and status.calls > 0
        assert status.leases[0].burst_units == 30.0 and status.leases[0].stored_units < 30.0
        assert status.error_units > 0
        assert counter_line("n0", status).startswith("n0: counter shared for ")
        await counter.fail(Fault.SILENT)
        for n in range(60):
            answer = await client.ask(f"s{n}", spread=3)
            assert answer == b"value" or str(answer).startswith("BUSY")
            await asyncio.sleep(0.005)
        while (status := (await get_limiter_state(caller)).counter) is not None and status.mode == "shared":
            await asyncio.sleep(0.01)
        assert status is not None and status.error_units > 0
        await program.end()
        await counter.close()
        await server.close()

    run(test(), within=60.0)
