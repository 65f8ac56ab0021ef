"""The counter in the keepers' place: requests wait for one answer, and go by the even part without it."""

import asyncio
import json
from dataclasses import dataclass, field, replace
from pathlib import Path

import msgspec
import pytest
from helpers import Gateway, entry, settings
from programs import Program, look

from elderlock import interface as api
from elderlock.cli.tables import counter as counter_line
from elderlock.control.attach import read_operators_file
from elderlock.decisions.limiter import Limiter
from elderlock.interface import ListKind, Outcome
from elderlock.net.config import ConfigError
from elderlock.quota.attach import QuotaFile
from elderlock.quota.bound import Excess, Failures, stated
from elderlock.quota.counted import Counted, drawn
from elderlock.quota.health import Mode
from elderlock.quota.terms import Store, Terms
from elderlock.standins.boxes import Server
from elderlock.standins.counter import Counter
from elderlock.standins.listener import Fault
from elderlock.standins.waiting import run, until
from elderlock.state import Account


@dataclass
class Counting(Gateway):
    """Answers the module's calls after `delay` ms, while it is there."""

    totals: dict[str, float] = field(default_factory=dict)
    calls: list[api.AddToCounter] = field(default_factory=list)
    there: bool = True
    delay: float = 3.0
    coming: list[tuple[float, int, float]] = field(default_factory=list)

    def take(self, actions: list[api.Action]) -> None:
        for action in actions:
            if isinstance(action, api.AddToCounter):
                self.calls.append(action)
                if self.there:
                    total = self.totals[action.counter_name] = self.totals.get(action.counter_name, 0.0) + action.amount
                    self.coming.append((self.now + self.delay, action.token, total))
        super().take(actions)

    def run(self, until: float) -> None:
        while self.now < until:
            super().run(min(until, self.now + 1.0))
            for due in [one for one in self.coming if one[0] <= self.now]:
                self.coming.remove(due)
                self.do(api.CounterAnswered(due[1], Outcome.OK, due[2], self.delay))


def counting(limiters: int = 3) -> Counting:
    source = type("Counted", (Counted,), {"terms": Terms()})
    config = settings(limiters=limiters)
    made = Counting(Limiter(config, 7, 1_000.0, source), now=1_000.0)
    made.take(made.limiter.start(1_000.0))
    made.servers(*(entry(n) for n in "abcdef"), kind=ListKind.CACHED)
    made.run(1_100.0)
    return made


def book(gate: Counting) -> Counted:
    keepers = gate.limiter.keepers
    assert isinstance(keepers, Counted)
    return keepers


def rush(gate: Counting, count: int, every: float = 5.0, plan: int = 0) -> list[str]:
    sent = []
    for _ in range(count):
        name = gate.ask(customer="busy", plan=plan, spread=3)
        gate.run(gate.now + every)
        if gate.where(name):
            sent.append(name)
            gate.end(name)
    return sent


def test_a_limiter_alone_takes_what_the_store_holds_and_no_more() -> None:
    """Of three limiters the other two ask nothing: the even split would give a third."""
    gate = counting()
    begun = gate.now
    sent = rush(gate, 1200)
    held = 20.0 + 10.0 * (gate.now - begun) / 1000.0
    assert 0.85 * held <= len(sent) <= held + 10.0 * 0.2 + 0.25 * 20.0 + 1.0
    assert book(gate).book.mode is Mode.SHARED


def test_far_from_the_quota_no_call_is_made_and_nothing_waits() -> None:
    gate = counting()
    before = [call for call in gate.calls if not call.counter_name.startswith("sentinel")]
    for n in range(30):
        assert gate.serve(customer=f"c{n}", spread=3)
    assert [call for call in gate.calls if not call.counter_name.startswith("sentinel")] == before


def test_without_an_answer_the_even_part_decides_in_time() -> None:
    gate = counting()
    rush(gate, 40)
    gate.there = False
    waited = []
    for _ in range(200):
        name, asked = gate.ask(customer="busy", spread=3), gate.now
        while not gate.where(name) and name not in gate.finals:
            gate.run(gate.now + 1.0)
        waited.append(gate.now - asked)
        gate.end(name)
        gate.run(gate.now + 50.0)
    assert max(waited) <= 2 * Terms().answer_within + 55.0
    assert book(gate).book.mode is not Mode.SHARED
    sent = len(rush(gate, 400, 25.0))
    assert 0.6 * 33 <= sent <= 1.4 * 33  # a third of 10 a second for 10 s
    gate.there = True
    gate.run(gate.now + 2_000.0)
    assert book(gate).book.mode is Mode.SHARED


def test_what_the_others_have_used_is_seen_in_the_total() -> None:
    gate = counting()
    rush(gate, 60)
    name = max(
        (call for call in gate.calls if not call.counter_name.startswith("sentinel")), key=lambda c: c.token
    ).counter_name
    gate.totals[name] += 500.0  # far beyond: others, or another counter's number
    gate.run(gate.now + 300.0)
    store = book(gate).store(settings().plans[0], 3)
    held = Terms().lease(store) + Terms().free_part(store) + 1.0  # drawn before, or not to be told yet
    assert len(rush(gate, 100)) <= held
    refused = gate.ask(customer="busy", spread=3)
    gate.run(gate.now + 120.0)
    assert gate.finals[refused] == ["Reject"]


def test_a_customer_of_one_limiter_needs_no_counter() -> None:
    gate = counting()
    before = len([c for c in gate.calls if not c.counter_name.startswith("sentinel")])
    for _ in range(30):
        gate.serve(customer="mine", spread=1)
    assert len([c for c in gate.calls if not c.counter_name.startswith("sentinel")]) == before


def ceiled(gate: Counting, count: int, every: float) -> list[float]:
    """When a customer with a ceiling (12 a second, 24 at once; quota 10 and 20) was served."""
    taken = []
    for _ in range(count):
        name = gate.ask(customer="ceiled", plan=1, spread=3)
        gate.run(gate.now + every)
        if gate.where(name):
            taken.append(gate.now)
            gate.end(name)
    return taken


def worst_over(taken: list[float]) -> float:
    excess = Excess(Store(12.0, 24.0, 3, True, 2.4))
    for at in taken:
        excess.let_in(1.0, at)
    return excess.worst


def test_a_ceiling_is_drawn_too_and_does_not_bind_a_customer_of_whom_all_comes_here() -> None:
    """Split evenly, it let in 4 a second where the quota alone let in 10."""
    gate = counting()
    gate.run(gate.now + 5_000.0)
    begun = gate.now
    taken = ceiled(gate, 1500, 10.0)
    assert len(taken) > 0.8 * 10.0 * (gate.now - begun) / 1000.0
    assert worst_over(taken) <= 2.4


def test_a_ceiling_holds_through_silence_and_a_return_that_is_empty() -> None:
    gate = counting()
    gate.run(gate.now + 3_000.0)
    taken = ceiled(gate, 400, 10.0)
    gate.there = False
    taken += ceiled(gate, 600, 10.0)
    gate.totals.clear()
    book(gate).book.off(gate.now)
    gate.there = True
    taken += ceiled(gate, 600, 10.0)
    assert worst_over(taken) <= stated(Store(12.0, 24.0, 3, True, 1.92), Terms(), Failures(returns=2))
    assert len(taken) > 60 and book(gate).book.mode is Mode.SHARED


def test_where_work_beyond_the_quota_earns_the_ceiling_stays_split_evenly() -> None:
    gate = counting()
    plan = replace(settings().plans[1], over_quota_value=1.0)
    account = Account(1, plan, 3, 0, 20.0, 6.0, 0.0, gate.now, 4000.0)
    assert not drawn(account) and gate.limiter.quotas.exceeds_hard_ceiling(account, 1.0)
    account.plan = settings().plans[1]
    assert drawn(account) and not gate.limiter.quotas.exceeds_hard_ceiling(account, 1.0)
    account.limiter_count = 1
    assert not drawn(account)


def test_every_request_has_one_final_answer_through_the_counters_coming_and_going() -> None:
    gate = counting()
    names = []
    for turn in range(600):
        gate.there = (turn // 60) % 2 == 0
        gate.delay = 3.0 if turn % 7 else 45.0
        names.append(gate.ask(customer=f"c{turn % 3}", spread=3))
        gate.run(gate.now + 13.0)
        for name in list({out[0] for out in gate.out}):
            gate.end(name)
    gate.run(gate.now + 5_000.0)
    assert all(bool(gate.where(name)) != (name in gate.finals) for name in names)
    assert not gate.limiter.requests and not book(gate).book.waiting


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
def test_a_wrong_quota_part_ends_the_start_with_one_line(text: str, message: str, tmp_path: Path) -> None:
    async def test() -> None:
        program = Program(tmp_path)
        program.operators.write_text(f"[quota]\n{text}\n")
        process = await program.start()
        _, error = await process.communicate()
        assert process.returncode == 2
        assert error.startswith(b"elderlock: ") and error.count(b"\n") == 1 and message in error.decode()

    run(test())


def test_the_example_part_can_be_read(tmp_path: Path) -> None:
    path = Path(__file__).parent.parent.parent / "deploy" / "operators.example.toml"
    begin = path.read_text().index("# [quota]")
    lines = [line.removeprefix("# ") for line in path.read_text()[begin:].split("\n\n")[0].splitlines()]
    (tmp_path / "o.toml").write_text("\n".join(lines))
    made = msgspec.convert(read_operators_file(tmp_path / "o.toml").quota, QuotaFile)
    assert made == QuotaFile() and made.terms(3).calls == 100.0
    with pytest.raises(ConfigError):
        replace_calls = msgspec.structs.replace(made, answer_ms=5000.0)
        replace_calls.terms(3)


def test_the_program_counts_and_goes_on_when_the_counter_is_silent(tmp_path: Path) -> None:
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
