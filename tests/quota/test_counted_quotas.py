"""The counter in the coordinator' place: requests wait for one answer, and go by the even part without it."""

import asyncio
import json
from dataclasses import dataclass, field, replace
from pathlib import Path

import msgspec
import pytest
from helpers import LimiterHarness, limiter_settings, server_entry
from programs import Program, look

from elderlock import interface as api
from elderlock.cli.tables import counter as counter_line
from elderlock.control.attach import read_operators_file
from elderlock.decisions.limiter import Limiter
from elderlock.interface import ListKind, Outcome
from elderlock.net.config import ConfigError
from elderlock.quota.counted_quotas import CountedCoordinator, is_ceiling_counted
from elderlock.quota.counter_health import CounterMode
from elderlock.quota.counter_terms import CounterTerms, SharedBucket
from elderlock.quota.error_bound import ExcessMeter, FailureHistory, stated_error_units
from elderlock.quota.options import QuotaOptions
from elderlock.standins.boxes import Server
from elderlock.standins.counter import Counter
from elderlock.standins.listener import Fault
from elderlock.standins.waiting import run, until
from elderlock.state import Account


@dataclass
class Counting(LimiterHarness):
    """Answers the module's calls after `delay` ms, while it is there."""

    totals: dict[str, float] = field(default_factory=dict)
    calls: list[api.AddToCounter] = field(default_factory=list)
    there: bool = True
    delay: float = 3.0
    coming: list[tuple[float, int, float]] = field(default_factory=list)

    def carry_out(self, actions: list[api.Action]) -> None:
        for action in actions:
            if isinstance(action, api.AddToCounter):
                self.calls.append(action)
                if self.there:
                    total = self.totals[action.counter_name] = self.totals.get(action.counter_name, 0.0) + action.amount
                    self.coming.append((self.now_ms + self.delay, action.token, total))
        super().carry_out(actions)

    def run_until(self, until: float) -> None:
        while self.now_ms < until:
            super().run_until(min(until, self.now_ms + 1.0))
            for due in [one for one in self.coming if one[0] <= self.now_ms]:
                self.coming.remove(due)
                self.handle(api.CounterAnswered(due[1], Outcome.OK, due[2], self.delay))


def counting_gateway(limiters: int = 3) -> Counting:
    source = type("Counted", (CountedCoordinator,), {"terms": CounterTerms()})
    config = limiter_settings(limiter_count=limiters)
    made = Counting(Limiter(config, 7, 1_000.0, source), now_ms=1_000.0)
    made.carry_out(made.limiter.start(1_000.0))
    made.apply_list(*(server_entry(n) for n in "abcdef"), kind=ListKind.CACHED)
    made.run_until(1_100.0)
    return made


def coordinator_of(gate: Counting) -> CountedCoordinator:
    coordinator = gate.limiter.quota_coordinator
    assert isinstance(coordinator, CountedCoordinator)
    return coordinator


def send_many(gate: Counting, count: int, every: float = 5.0, plan: int = 0) -> list[str]:
    sent = []
    for _ in range(count):
        name = gate.send_request(customer_id="busy", plan_index=plan, limiter_count=3)
        gate.run_until(gate.now_ms + every)
        if gate.attempted_servers(name):
            sent.append(name)
            gate.end_attempt(name)
    return sent


def test_a_limiter_with_all_requests_serves_the_entire_quota_and_no_more() -> None:
    """Of three limiters the other two ask nothing: the even split would give a third."""
    gate = counting_gateway()
    begun = gate.now_ms
    sent = send_many(gate, 1200)
    held = 20.0 + 10.0 * (gate.now_ms - begun) / 1000.0
    assert 0.85 * held <= len(sent) <= held + 10.0 * 0.2 + 0.25 * 20.0 + 1.0
    assert coordinator_of(gate).book.mode is CounterMode.SHARED


def test_low_use_makes_no_call_and_waits_for_nothing() -> None:
    gate = counting_gateway()
    before = [call for call in gate.calls if not call.counter_name.startswith("sentinel")]
    for n in range(30):
        assert gate.is_served(customer_id=f"c{n}", limiter_count=3)
    assert [call for call in gate.calls if not call.counter_name.startswith("sentinel")] == before


def test_without_answers_the_even_part_decides_in_time() -> None:
    gate = counting_gateway()
    send_many(gate, 40)
    gate.there = False
    waited = []
    for _ in range(200):
        name, asked = gate.send_request(customer_id="busy", limiter_count=3), gate.now_ms
        while not gate.attempted_servers(name) and name not in gate.final_answers:
            gate.run_until(gate.now_ms + 1.0)
        waited.append(gate.now_ms - asked)
        gate.end_attempt(name)
        gate.run_until(gate.now_ms + 50.0)
    assert max(waited) <= 2 * CounterTerms().answer_timeout_ms + 55.0
    assert coordinator_of(gate).book.mode is not CounterMode.SHARED
    sent = len(send_many(gate, 400, 25.0))
    assert 0.6 * 33 <= sent <= 1.4 * 33  # a third of 10 a second for 10 s
    gate.there = True
    gate.run_until(gate.now_ms + 2_000.0)
    assert coordinator_of(gate).book.mode is CounterMode.SHARED


def test_use_by_other_limiters_is_read_from_the_total() -> None:
    gate = counting_gateway()
    send_many(gate, 60)
    name = max(
        (call for call in gate.calls if not call.counter_name.startswith("sentinel")), key=lambda c: c.token
    ).counter_name
    gate.totals[name] += 500.0  # far beyond: others, or another counter's number
    gate.run_until(gate.now_ms + 300.0)
    store = coordinator_of(gate).quota_bucket(limiter_settings().plans[0], 3)
    held = (
        CounterTerms().prefetch_limit_units(store) + CounterTerms().unreported_limit_units(store) + 1.0
    )  # drawn before, or not to be told yet
    assert len(send_many(gate, 100)) <= held
    refused = gate.send_request(customer_id="busy", limiter_count=3)
    gate.run_until(gate.now_ms + 120.0)
    assert gate.final_answers[refused] == ["Reject"]


def test_a_customer_of_one_limiter_needs_no_counter() -> None:
    gate = counting_gateway()
    before = len([c for c in gate.calls if not c.counter_name.startswith("sentinel")])
    for _ in range(30):
        gate.is_served(customer_id="mine", limiter_count=1)
    assert len([c for c in gate.calls if not c.counter_name.startswith("sentinel")]) == before


def ceiled(gate: Counting, count: int, every: float) -> list[float]:
    """When a customer with a ceiling (12 a second, 24 at once; quota 10 and 20) was served."""
    taken = []
    for _ in range(count):
        name = gate.send_request(customer_id="ceiled", plan_index=1, limiter_count=3)
        gate.run_until(gate.now_ms + every)
        if gate.attempted_servers(name):
            taken.append(gate.now_ms)
            gate.end_attempt(name)
    return taken


def worst_over(taken: list[float]) -> float:
    excess = ExcessMeter(SharedBucket(12.0, 24.0, 3, True, 2.4))
    for at in taken:
        excess.record(1.0, at)
    return excess.worst_units


def test_a_counted_ceiling_does_not_bind_below_its_rate_at_one_limiter() -> None:
    """Split evenly, it let in 4 a second where the quota alone let in 10."""
    gate = counting_gateway()
    gate.run_until(gate.now_ms + 5_000.0)
    begun = gate.now_ms
    taken = ceiled(gate, 1500, 10.0)
    assert len(taken) > 0.8 * 10.0 * (gate.now_ms - begun) / 1000.0
    assert worst_over(taken) <= 2.4


def test_a_ceiling_holds_through_silence_and_a_return_that_is_empty() -> None:
    gate = counting_gateway()
    gate.run_until(gate.now_ms + 3_000.0)
    taken = ceiled(gate, 400, 10.0)
    gate.there = False
    taken += ceiled(gate, 600, 10.0)
    gate.totals.clear()
    coordinator_of(gate).book.connection_lost(gate.now_ms)
    gate.there = True
    taken += ceiled(gate, 600, 10.0)
    assert worst_over(taken) <= stated_error_units(
        SharedBucket(12.0, 24.0, 3, True, 1.92), CounterTerms(), FailureHistory(return_count=2)
    )
    assert len(taken) > 60 and coordinator_of(gate).book.mode is CounterMode.SHARED


def test_where_work_beyond_the_quota_earns_the_ceiling_stays_split_evenly() -> None:
    gate = counting_gateway()
    plan = replace(limiter_settings().plans[1], over_quota_value=1.0)
    account = Account(1, plan, 3, 0, 20.0, 6.0, 0.0, gate.now_ms, 4000.0)
    assert not is_ceiling_counted(account) and gate.limiter.quotas.exceeds_hard_ceiling(account, 1.0)
    account.plan = limiter_settings().plans[1]
    assert is_ceiling_counted(account) and not gate.limiter.quotas.exceeds_hard_ceiling(account, 1.0)
    account.limiter_count = 1
    assert not is_ceiling_counted(account)


def test_every_request_has_one_final_answer_while_the_counter_comes_and_goes() -> None:
    gate = counting_gateway()
    names = []
    for turn in range(600):
        gate.there = (turn // 60) % 2 == 0
        gate.delay = 3.0 if turn % 7 else 45.0
        names.append(gate.send_request(customer_id=f"c{turn % 3}", limiter_count=3))
        gate.run_until(gate.now_ms + 13.0)
        for name in list({out[0] for out in gate.attempts_in_flight}):
            gate.end_attempt(name)
    gate.run_until(gate.now_ms + 5_000.0)
    assert all(bool(gate.attempted_servers(name)) != (name in gate.final_answers) for name in names)
    assert not gate.limiter.requests and not coordinator_of(gate).book.has_waiting


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
def test_bad_quota_options_end_the_start_with_one_line(text: str, message: str, tmp_path: Path) -> None:
    async def test() -> None:
        program = Program(tmp_path)
        program.operators.write_text(f"[quota]\n{text}\n")
        process = await program.start()
        _, error = await process.communicate()
        assert process.returncode == 2
        assert error.startswith(b"elderlock: ") and error.count(b"\n") == 1 and message in error.decode()

    run(test())


def test_the_example_quota_options_can_be_read(tmp_path: Path) -> None:
    path = Path(__file__).parent.parent.parent / "deploy" / "operators.example.toml"
    begin = path.read_text().index("# [quota]")
    lines = [line.removeprefix("# ") for line in path.read_text()[begin:].split("\n\n")[0].splitlines()]
    (tmp_path / "o.toml").write_text("\n".join(lines))
    made = msgspec.convert(read_operators_file(tmp_path / "o.toml").quota, QuotaOptions)
    assert made == QuotaOptions() and made.terms(3).max_calls_per_s == 100.0
    with pytest.raises(ConfigError):
        replace_calls = msgspec.structs.replace(made, answer_ms=5000.0)
        replace_calls.terms(3)


def test_the_program_uses_the_counter_and_goes_on_when_it_is_silent(tmp_path: Path) -> None:
    async def test() -> None:
        counter, server = Counter(), await Server().start()
        await counter.open()
        program = Program(tmp_path, server)
        path = tmp_path / "config.json"
        raw = json.loads(path.read_text())
        raw["counter"] = counter.doors[0].endpoint
        raw["settings"]["peers-total"] = 3
        raw["settings"]["plans"][0].update({"quota-rate": 20.0, "burst": 30.0})
        path.write_text(json.dumps(raw))
        program.operators.write_text(program.operators.read_text() + "[quota]\n")
        await program.start()
        client = await program.client()
        answers = [await client.ask(f"r{n}", spread=3) for n in range(60)]
        assert answers.count(b"value") >= 20  # above the even part of the burst
        await until(lambda: any(not name.startswith(b"sentinel") for name in counter.names))
        caller = await program.caller()
        told = (await look(caller)).counter
        assert told is not None and (told.mode, told.accounts) == ("shared", 1) and told.calls > 0
        assert told.leases[0].burst_units == 30.0 and told.leases[0].stored_units < 30.0 and told.error_units > 0
        assert counter_line("n0", told).startswith("n0: counter shared for ")
        await counter.fail(Fault.SILENT)
        for n in range(60):
            answer = await client.ask(f"s{n}", spread=3)
            assert answer == b"value" or str(answer).startswith("BUSY")
            await asyncio.sleep(0.005)
        while (told := (await look(caller)).counter) is not None and told.mode == "shared":
            await asyncio.sleep(0.01)
        assert told is not None and told.error_units > 0
        await program.end()
        await counter.close()
        await server.close()

    run(test(), within=60.0)
