"""Whole runs: real worker processes against fake targets that stall, misbehave, restart or disappear."""

from __future__ import annotations

import asyncio
import contextlib
import os
import resource
import signal
import time
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

import pytest

from elderlock.load import messages
from elderlock.load.coordinator import Coordinator, LoadError, LocalWorkerLink
from elderlock.load.health_check import run_health_check
from elderlock.load.report import Exit, Report
from elderlock.load.scenario import parse
from elderlock.load.targets import TargetSelector
from elderlock.load.worker import Worker
from elderlock.standins import delays
from elderlock.standins.delays import Target
from elderlock.standins.listener import reset
from elderlock.standins.waiting import run, until

TEXT = """
name = "test"
for_s = 2
seed = 3
[targets]
silent_s = 0.5
ping_s = 0.1
[[stream]]
name = "a"
plan = "shop"
arrivals = "even"
deadline_ms = 400
shape = [{ kind = "steady", rate = 100 }]
accounts = { count = 20 }
"""
Disturbance = Callable[[list[LocalWorkerLink], Coordinator], Coroutine[Any, Any, None]]


async def run_load(
    targets: list[str], *changes: str, workers: int = 1, disturb: Disturbance | None = None, folder: Path | None = None
) -> Report:
    addresses = ",".join(f"'{target}'" for target in targets)
    scenario = parse(TEXT, "test", [f"targets.addresses=[{addresses}]", *changes])
    links = [LocalWorkerLink(number) for number in range(workers)]

    async def began(at: float) -> list[tuple[float, str]]:
        if disturb is not None:
            await disturb(links, coordinator)
        return []

    coordinator = Coordinator(scenario, links, began=began, folder=folder)
    report = await coordinator.run()
    assert not [note for note in report.notes if "do not add up" in note], report.notes
    return report


def pid(link: LocalWorkerLink) -> int:
    assert link.process is not None
    return link.process.pid


def test_all_requests_are_sent_and_answered_and_shared_by_the_workers(tmp_path: Path) -> None:
    async def test() -> None:
        first, second = await Target({"kind": "none"}).start(), await Target({"kind": "none"}).start()
        report = await run_load(
            [first.endpoint, second.endpoint],
            "truth.verify=true",
            f"record='{tmp_path / 'all.jsonl'}'",
            workers=3,
            folder=tmp_path,
        )
        assert report.ledger["scheduled"] == report.ledger["sent"] == report.outcomes["served"] == 200
        assert first.taken + second.taken == 200 and first.taken and second.taken
        assert (tmp_path / "all.jsonl").read_bytes().count(b'"at"') == 200
        await first.close()
        await second.close()

    run(test())


def test_a_stall_counts_in_latency_from_the_intended_start_and_not_in_service_time() -> None:
    """A target with two connections stalls for 2 s; requests that wait for a connection count with their whole wait."""

    async def test() -> None:
        target = await Target({"kind": "constant", "ms": 5, "stall_at": 0.5, "stall_s": 2.0}).start()
        report = await run_load(
            [target.endpoint], "clients.most_connections=2", "stream.0.deadline_ms=20000", "for_s=4"
        )
        summary = report.by["all"]["all"]
        # Half of the 400 requests arrived during the stall and waited for the rest of it.
        assert report.outcomes == {"served": 400}
        assert summary.latency["p90"] > 1000.0 and summary.latency["max"] > 1900.0
        assert summary.service["p99"] < summary.latency["p90"] / 4
        assert report.counts["waited"] > 150
        await target.close()

    run(test())


class _FaultyPeer(delays._Peer):
    """A fake target's connection that misbehaves as `fault` says."""

    fault = ""
    number = 0

    def _answer(self, reply: bytes) -> None:
        _FaultyPeer.number += 1
        loop = asyncio.get_running_loop()
        if self.fault == "twice":
            self.write(reply + reply)
        elif self.fault == "for another":
            self.write(b"$5\r\nother\r\n" if _FaultyPeer.number % 4 == 0 else reply)
        elif self.fault == "late":
            loop.call_later(0.9, self.write, reply)
        elif self.fault == "ends":
            if _FaultyPeer.number % 2:
                self.abort()
            else:
                self.write(reply)
        elif self.fault == "busy":
            self.write(b"-BUSY 50\r\n" if _FaultyPeer.number % 2 else reply)
        elif self.fault == "noise":
            self.write(b"?what\r\n")


@pytest.mark.parametrize("fault", ["twice", "for another", "late", "ends", "busy", "noise"])
def test_faulty_answers_are_counted_by_kind(fault: str, monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        monkeypatch.setattr(_FaultyPeer, "fault", fault)
        monkeypatch.setattr(_FaultyPeer, "number", 0)
        monkeypatch.setattr(delays, "_Peer", _FaultyPeer)
        target = await Target({"kind": "none"}).start()
        report = await run_load([target.endpoint], "truth.verify=true", "clients.retries=1", "clients.backoff_ms=1")
        counts, outcomes = report.counts, report.outcomes
        assert report.ledger["sent"] == 200
        match fault:
            case "twice":
                # The second answer belongs to no request, and the connection is closed because of it.
                assert outcomes == {"served": 200} and counts["stray_answers"] > 0 and counts["connections"] > 10
            case "for another":
                assert counts["mismatched"] > 20
            case "late":
                assert outcomes == {"timeout": 200} and counts["late_answers"] > 0
            case "ends":
                assert counts["resent"] > 0 and sum(outcomes.values()) == 200
            case "busy":
                assert outcomes["served"] >= 100 and counts["retries"] > 50
            case "noise":
                assert "served" not in outcomes and counts["stray_answers"] >= 200
        await target.close()

    run(test())


def test_a_target_restarts_and_all_targets_refuse_connections() -> None:
    async def test() -> None:
        target, other = await Target({"kind": "none"}).start(), await Target({"kind": "none"}).start()

        async def disturb(links: list[LocalWorkerLink], coordinator: Coordinator) -> None:
            await until(lambda: target.taken > 20)
            await target.stop()
            taken_before = other.taken
            await until(lambda: other.taken > taken_before + 50)
            await target.start()

        report = await run_load([target.endpoint, other.endpoint], "clients.retries=2", disturb=disturb)
        assert report.ledger["sent"] + report.ledger["unsent"] == 200 and report.outcomes["served"] > 150
        await target.close()
        await other.close()
        report = await run_load([target.endpoint])
        assert report.outcomes == {"nowhere": 200} and report.ledger["unsent"] == 200
        # On a busy machine the generator may fall behind, which the report then lists.
        assert report.failed == [] and report.exit == (Exit.BEHIND if report.behind else Exit.DONE)

    run(test())


def test_health_checks_continue_after_the_target_resets_their_connection() -> None:
    async def test() -> None:
        resets: list[asyncio.StreamWriter] = []

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while await reader.readline() and await reader.readline() and await reader.readline():
                writer.write(b"+PONG\r\n")
                if len(resets) < 3:
                    await writer.drain()
                    asyncio.get_running_loop().call_later(0.02, reset, writer)
                    resets.append(writer)

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        selector = TargetSelector(1, 1.0)
        checking = asyncio.ensure_future(run_health_check(selector, 0, server.sockets[0].getsockname(), 0.1, 1.0))
        await until(lambda: len(resets) == 3 or checking.done())
        assert not checking.done(), checking.exception()
        checking.cancel()
        server.close()

    run(test())


def test_a_target_that_is_not_ready_receives_no_requests() -> None:
    async def test() -> None:
        target, other = await Target({"kind": "none"}).start(), await Target({"kind": "none"}).start()
        other.ready = False
        report = await run_load([target.endpoint, other.endpoint])
        assert report.outcomes == {"served": 200} and other.taken == 0
        await target.close()
        await other.close()

    run(test())


async def _suspend_for_a_second(links: list[LocalWorkerLink], coordinator: Coordinator) -> None:
    await until(lambda: coordinator.totals.counts["offered"] > 0)
    os.kill(pid(links[0]), signal.SIGSTOP)
    await asyncio.sleep(1.0)  # the duration of the injected stall, not a wait for a result
    os.kill(pid(links[0]), signal.SIGCONT)


async def _limit_descriptors(links: list[LocalWorkerLink], coordinator: Coordinator) -> None:
    resource.prlimit(pid(links[0]), resource.RLIMIT_NOFILE, (24, 24))


@pytest.mark.parametrize(
    ("disturb", "cause"), [(_suspend_for_a_second, "stopped"), (_limit_descriptors, "descriptors")]
)
def test_a_generator_that_falls_behind_reports_the_cause(disturb: Disturbance, cause: str) -> None:
    async def test() -> None:
        target = await Target({"kind": "constant", "ms": 100}).start()
        report = await run_load(
            [target.endpoint], "for_s=4", "stream.0.shape=[{kind='steady',rate=300}]", disturb=disturb
        )
        assert report.exit == Exit.BEHIND
        assert cause in {span.why for span in report.behind}, report.behind
        # Every scheduled request has an outcome, even if it was sent late or not at all.
        assert report.ledger["scheduled"] == report.ledger["offered"] == sum(report.outcomes.values()) == 1200
        if cause == "stopped":
            assert max(span.most_ms for span in report.behind) > 900.0
            assert report.by["all"]["all"].latency["max"] >= 400.0  # the latency includes the stall
        else:
            assert report.outcomes["descriptors"] > 0 and report.rate_error > 0
        await target.close()

    run(test())


def test_an_overloaded_worker_reports_it_and_still_offers_all_requests() -> None:
    async def test() -> None:
        target = await Target({"kind": "none"}).start()
        report = await run_load([target.endpoint], "for_s=0.4", "stream.0.shape=[{kind='steady',rate=150000}]")
        assert report.exit == Exit.BEHIND and report.ledger["offered"] == 60_000 and report.behind
        await target.close()

    run(test(), within=120.0)


class SlowReaderLink(LocalWorkerLink):
    """Reads the ready message, and the rest only when the worker has exited or had a second to exit after its last send.

    Until then, the worker's last messages fill the pipe, and most of them are still in the worker's buffer.
    """

    def __init__(self, number: int, all_sent: Callable[[], bool]) -> None:
        super().__init__(number)
        self._all_sent = all_sent

    async def _read(self, on_message: Callable[[messages.FromWorker], None], on_lost: Callable[[str], None]) -> None:
        assert self.process is not None and self.process.stdout is not None
        size = int.from_bytes(await self.process.stdout.readexactly(4), "big")
        on_message(messages.decode_from_worker(await self.process.stdout.readexactly(size)))
        await until(self._all_sent)
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self.process.wait(), 1.0)
        await super()._read(on_message, on_lost)


def test_a_workers_last_interval_is_read_completely_by_a_slow_coordinator() -> None:
    """The worker used to exit while part of its last interval was still in its buffer, and that part was lost."""

    async def test() -> None:
        target = await Target({"kind": "none"}).start()
        shape = "stream.0.shape=[{kind='steady',rate=150000}]"
        address = f"targets.addresses=['{target.endpoint}']"
        scenario = parse(TEXT, "test", [address, "for_s=0.6", shape, "stream.0.deadline_ms=60000"])
        report = await Coordinator(scenario, [SlowReaderLink(0, lambda: target.taken == 90_000)]).run()
        assert report.ledger["answered"] == 90_000 and not any(
            "was lost" in note for note in report.notes
        ), report.notes
        await target.close()

    run(test(), within=120.0)


def test_a_worker_that_is_far_behind_still_reads_answers_and_reports_intervals() -> None:
    """All requests are overdue from the start, and the worker sends about sixty in each turn of its loop.

    A worker that sent all of them in one turn was silent until it had caught up, and on a slow machine the coordinator
    gave it up as lost.
    """

    async def test() -> None:
        target = await Target({"kind": "none"}).start()
        sent: list[messages.Message] = []
        scenario = parse(TEXT, "test", [f"targets.addresses=['{target.endpoint}']", "stream.0.deadline_ms=60000"])
        worker = Worker(messages.Job(messages.VERSION, scenario, 0, 1), sent.append)
        await worker.ready()
        turns = 0

        def count_turn() -> None:
            nonlocal turns
            turns += 1
            if worker.counts["offered"] < 200:
                worker.loop.call_soon(count_turn)

        worker.loop.call_soon(count_turn)
        worker.start(time.monotonic_ns() // 1000 - 10_000_000)
        await worker.finished.wait()
        assert turns >= 3, "all requests were offered in one turn of the loop"
        intervals = [message for message in sent if isinstance(message, messages.Interval)]
        assert sum(i.counts["offered"] for i in intervals if i.counts) == 200 and intervals[-1].last
        await worker.close()
        await target.close()

    run(test())


def test_the_requests_of_a_worker_that_dies_are_counted_as_missing() -> None:
    async def test() -> None:
        target = await Target({"kind": "none"}).start()

        async def disturb(links: list[LocalWorkerLink], coordinator: Coordinator) -> None:
            await until(lambda: len(coordinator.totals.seconds) > 0)
            os.kill(pid(links[1]), signal.SIGKILL)

        report = await run_load([target.endpoint], "for_s=3", workers=2, disturb=disturb)
        assert report.exit == Exit.INCOMPLETE and report.ledger["scheduled"] == 300
        assert report.ledger["missing"] == 300 - sum(report.outcomes.values()) > 40
        assert report.outcomes["served"] >= 150 + 40
        assert any("worker 1 was lost: it was killed by signal 9" in note for note in report.notes)
        await target.close()

    run(test())


def test_a_worker_exits_when_its_coordinator_dies() -> None:
    async def test() -> None:
        target = await Target({"kind": "none"}).start()
        link = LocalWorkerLink(0)
        lost = asyncio.Event()
        ready = asyncio.Event()
        await link.open(lambda message: ready.set(), lambda reason: lost.set())
        scenario = parse(TEXT, "test", [f"targets.addresses=['{target.endpoint}']", "for_s=600"])
        link.send(messages.Job(messages.VERSION, scenario, 0, 1))
        await ready.wait()
        link.send(messages.Start(time.monotonic_ns() // 1000))
        await until(lambda: target.taken > 5)
        assert link.process is not None and link.process.stdin is not None
        link.process.stdin.close()  # the kernel closes the pipe when the coordinator dies
        await lost.wait()
        assert link.process.returncode == 1
        await target.close()

    run(test())


def test_steps_of_the_system_clock_do_not_affect_the_sends(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        target = await Target({"kind": "none"}).start()
        sent: list[messages.Message] = []
        scenario = parse(TEXT, "test", [f"targets.addresses=['{target.endpoint}']", "for_s=0.5"])
        worker = Worker(messages.Job(messages.VERSION, scenario, 0, 1), sent.append)
        await worker.ready()
        real_time, steps = time.time, iter(range(0, 10**9, 3600))
        monkeypatch.setattr(time, "time", lambda: real_time() + next(steps))
        worker.start(time.monotonic_ns() // 1000)
        await worker.finished.wait()
        monkeypatch.undo()
        intervals = [message for message in sent if isinstance(message, messages.Interval)]
        assert sum(i.counts["offered"] for i in intervals if i.counts) == 50 and intervals[-1].last
        assert intervals[-1].end < 100.0
        await worker.close()
        await target.close()

    run(test())


@pytest.mark.parametrize("policy", ["stop", "skip"])
def test_a_faulty_trace_line_stops_the_run_or_is_skipped_and_counted(policy: str, tmp_path: Path) -> None:
    async def test() -> None:
        target = await Target({"kind": "none"}).start()
        path = tmp_path / "t.jsonl"
        line = '{"at":%d,"account":"00000000000000aa","plan":"shop"}\n'
        path.write_text('{"trace":1}\n' + "".join(line % (n * 1000) for n in range(2000)) + "what\n" + line % 2000000)
        text = f'name="r"\n[replay]\npath="{path}"\non_error="{policy}"\n[targets]\naddresses=["{target.endpoint}"]\n'
        scenario = parse(text, "r")
        report = await Coordinator(scenario, [LocalWorkerLink(0), LocalWorkerLink(1)]).run()
        if policy == "stop":
            assert report.exit == Exit.INCOMPLETE and any("line 2002" in note for note in report.notes)
        else:
            assert report.outcomes == {"served": 2001} and report.faults == {"form": 1}
        await target.close()

    run(test())


def test_a_run_that_cannot_start_reports_the_reason() -> None:
    async def test() -> None:
        for replay, message in (
            ('[replay]\npath="/nowhere/at/all"', "No such file"),
            ('[replay]\npath="/dev/null"', "the trace is empty"),
        ):
            scenario = parse(f'name="r"\n{replay}\n[targets]\naddresses=["127.0.0.1:9"]', "r")
            with pytest.raises(LoadError, match=message):
                await Coordinator(scenario, [LocalWorkerLink(0)]).run()

    run(test())


def test_a_run_stopped_by_the_operator_reports_it_and_its_ledger_balances() -> None:
    async def test() -> None:
        target = await Target({"kind": "constant", "ms": 30}).start()

        async def disturb(links: list[LocalWorkerLink], coordinator: Coordinator) -> None:
            await until(lambda: target.taken > 20)
            coordinator.interrupt()

        report = await run_load([target.endpoint], "for_s=600", disturb=disturb)
        assert report.exit == Exit.INCOMPLETE and "stopped by the operator" in report.notes
        assert report.ledger["offered"] == report.outcomes["served"] >= 20
        await target.close()

    run(test())
