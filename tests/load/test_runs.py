"""Whole runs: real worker processes against stand-ins that stall, refuse, repeat themselves, come and go."""

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

from elderlock.load import messages as m
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
Meddle = Callable[[list[LocalWorkerLink], Coordinator], Coroutine[Any, Any, None]]


async def played(
    targets: list[str], *changes: str, workers: int = 1, meddle: Meddle | None = None, folder: Path | None = None
) -> Report:
    addresses = ",".join(f"'{target}'" for target in targets)
    scenario = parse(TEXT, "test", [f"targets.addresses=[{addresses}]", *changes])
    lines = [LocalWorkerLink(number) for number in range(workers)]

    async def began(at: float) -> list[tuple[float, str]]:
        if meddle is not None:
            await meddle(lines, coordinator)
        return []

    coordinator = Coordinator(scenario, lines, began=began, folder=folder)
    made = await coordinator.run()
    assert not [note for note in made.notes if "add up" in note], made.notes
    return made


def pid(line: LocalWorkerLink) -> int:
    assert line.process is not None
    return line.process.pid


def test_all_is_offered_sent_and_answered_and_the_workers_share_it(tmp_path: Path) -> None:
    async def test() -> None:
        one, two = await Target({"kind": "none"}).start(), await Target({"kind": "none"}).start()
        made = await played(
            [one.endpoint, two.endpoint],
            "truth.verify=true",
            f"record='{tmp_path / 'all.jsonl'}'",
            workers=3,
            folder=tmp_path,
        )
        assert made.ledger["scheduled"] == made.ledger["sent"] == made.outcomes["served"] == 200
        assert one.taken + two.taken == 200 and one.taken and two.taken
        assert (tmp_path / "all.jsonl").read_bytes().count(b'"at"') == 200
        await one.close()
        await two.close()

    run(test())


def test_a_stall_is_seen_from_the_intended_start_and_not_in_service_time() -> None:
    """Two connections in front of a target that stands still for 2 s: who waits in line is not forgotten."""

    async def test() -> None:
        target = await Target({"kind": "constant", "ms": 5, "stall_at": 0.5, "stall_s": 2.0}).start()
        made = await played([target.endpoint], "clients.most_connections=2", "stream.0.deadline_ms=20000", "for_s=4")
        lines = made.by["all"]["all"]
        # two hundred of four hundred came while it stood still and saw what was left of it
        assert made.outcomes == {"served": 400}
        assert lines.latency["p90"] > 1000.0 and lines.latency["max"] > 1900.0
        assert lines.service["p99"] < lines.latency["p90"] / 4
        assert made.counts["waited"] > 150
        await target.close()

    run(test())


class _Odd(delays._Peer):
    """Answers as `way` says in place of the plain answer."""

    way = ""
    number = 0

    def _answer(self, reply: bytes) -> None:
        _Odd.number += 1
        loop = asyncio.get_running_loop()
        if self.way == "twice":
            self.write(reply + reply)
        elif self.way == "for another":
            self.write(b"$5\r\nother\r\n" if _Odd.number % 4 == 0 else reply)
        elif self.way == "late":
            loop.call_later(0.9, self.write, reply)
        elif self.way == "ends":
            if _Odd.number % 2:
                self.abort()
            else:
                self.write(reply)
        elif self.way == "busy":
            self.write(b"-BUSY 50\r\n" if _Odd.number % 2 else reply)
        elif self.way == "noise":
            self.write(b"?what\r\n")


@pytest.mark.parametrize("way", ["twice", "for another", "late", "ends", "busy", "noise"])
def test_answers_are_counted_as_what_they_are(way: str, monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        monkeypatch.setattr(_Odd, "way", way)
        monkeypatch.setattr(_Odd, "number", 0)
        monkeypatch.setattr(delays, "_Peer", _Odd)
        target = await Target({"kind": "none"}).start()
        made = await played([target.endpoint], "truth.verify=true", "clients.retries=1", "clients.backoff_ms=1")
        counts, ends = made.counts, made.outcomes
        assert made.ledger["sent"] == 200
        match way:
            case "twice":
                # the second one is an answer to nothing, and ends a connection that cannot be trusted any more
                assert ends == {"served": 200} and counts["stray_answers"] > 0 and counts["connections"] > 10
            case "for another":
                assert counts["mismatched"] > 20
            case "late":
                assert ends == {"timeout": 200} and counts["late_answers"] > 0
            case "ends":
                assert counts["resent"] > 0 and sum(ends.values()) == 200
            case "busy":
                assert ends["served"] >= 100 and counts["retries"] > 50
            case "noise":
                assert "served" not in ends and counts["stray_answers"] >= 200
        await target.close()

    run(test())


def test_a_target_that_restarts_and_targets_that_refuse() -> None:
    async def test() -> None:
        target, other = await Target({"kind": "none"}).start(), await Target({"kind": "none"}).start()

        async def meddle(lines: list[LocalWorkerLink], coordinator: Coordinator) -> None:
            await until(lambda: target.taken > 20)
            await target.stop()
            before = other.taken
            await until(lambda: other.taken > before + 50)
            await target.start()

        made = await played([target.endpoint, other.endpoint], "clients.retries=2", meddle=meddle)
        assert made.ledger["sent"] + made.ledger["unsent"] == 200 and made.outcomes["served"] > 150
        await target.close()
        await other.close()
        gone = await played([target.endpoint])
        assert gone.outcomes == {"nowhere": 200} and gone.ledger["unsent"] == 200 and gone.exit == Exit.DONE

    run(test())


def test_a_target_that_resets_the_pings_connection_is_asked_again() -> None:
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
        front = TargetSelector(1, 1.0)
        asking = asyncio.ensure_future(run_health_check(front, 0, server.sockets[0].getsockname(), 0.1, 1.0))
        await until(lambda: len(resets) == 3 or asking.done())
        assert not asking.done(), asking.exception()
        asking.cancel()
        server.close()

    run(test())


def test_a_target_that_is_not_ready_gets_nothing() -> None:
    async def test() -> None:
        target, other = await Target({"kind": "none"}).start(), await Target({"kind": "none"}).start()
        other.ready = False
        made = await played([target.endpoint, other.endpoint])
        assert made.outcomes == {"served": 200} and other.taken == 0
        await target.close()
        await other.close()

    run(test())


async def _stop_a_while(lines: list[LocalWorkerLink], coordinator: Coordinator) -> None:
    await until(lambda: coordinator.totals.counts["offered"] > 0)
    os.kill(pid(lines[0]), signal.SIGSTOP)
    await asyncio.sleep(1.0)  # the failure itself, no proof
    os.kill(pid(lines[0]), signal.SIGCONT)


async def _few_descriptors(lines: list[LocalWorkerLink], coordinator: Coordinator) -> None:
    resource.prlimit(pid(lines[0]), resource.RLIMIT_NOFILE, (24, 24))


@pytest.mark.parametrize(("meddle", "why"), [(_stop_a_while, "stopped"), (_few_descriptors, "descriptors")])
def test_a_generator_that_falls_behind_says_so_and_why(meddle: Meddle, why: str) -> None:
    async def test() -> None:
        target = await Target({"kind": "constant", "ms": 100}).start()
        made = await played([target.endpoint], "for_s=4", "stream.0.shape=[{kind='steady',rate=300}]", meddle=meddle)
        assert made.exit == Exit.BEHIND
        assert why in {span.why for span in made.behind}, made.behind
        # late or not sent at all, nothing is left out of the account
        assert made.ledger["scheduled"] == made.ledger["offered"] == sum(made.outcomes.values()) == 1200
        if why == "stopped":
            assert max(span.most_ms for span in made.behind) > 900.0
            assert made.by["all"]["all"].latency["max"] >= 400.0  # what waited is in the latency
        else:
            assert made.outcomes["descriptors"] > 0 and made.rate_error > 0
        await target.close()

    run(test())


def test_more_than_a_worker_can_send_is_told_and_offered_all_the_same() -> None:
    async def test() -> None:
        target = await Target({"kind": "none"}).start()
        made = await played([target.endpoint], "for_s=0.4", "stream.0.shape=[{kind='steady',rate=150000}]")
        assert made.exit == Exit.BEHIND and made.ledger["offered"] == 60_000 and made.behind
        await target.close()

    run(test(), within=120.0)


class LateReader(LocalWorkerLink):
    """It reads that its worker is ready, and no more till that has ended, or has had a second to do so since its last
    send: what the worker says last stands in the pipe, and most of it behind that."""

    def __init__(self, number: int, sent: Callable[[], bool]) -> None:
        super().__init__(number)
        self._sent = sent

    async def _read(self, heard: Callable[[m.FromWorker], None], gone: Callable[[str], None]) -> None:
        assert self.process is not None and self.process.stdout is not None
        size = int.from_bytes(await self.process.stdout.readexactly(4), "big")
        heard(m.from_worker(await self.process.stdout.readexactly(size)))
        await until(self._sent)
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self.process.wait(), 1.0)
        await super()._read(heard, gone)


def test_the_last_figures_of_a_worker_are_read_whole_however_late() -> None:
    """It ended once they were written to its own buffer: what had not left by then was lost, and so were its figures."""

    async def test() -> None:
        target = await Target({"kind": "none"}).start()
        shape = "stream.0.shape=[{kind='steady',rate=150000}]"
        address = f"targets.addresses=['{target.endpoint}']"
        scenario = parse(TEXT, "test", [address, "for_s=0.6", shape, "stream.0.deadline_ms=60000"])
        made = await Coordinator(scenario, [LateReader(0, lambda: target.taken == 90_000)]).run()
        assert made.ledger["answered"] == 90_000 and not any("was lost" in note for note in made.notes), made.notes
        await target.close()

    run(test(), within=120.0)


def test_a_worker_that_is_far_behind_still_reads_answers_and_tells_of_itself() -> None:
    """All is overdue from the first moment on: its loop goes round all the same, some sixty sends a turn. One that sent
    on and on was silent till it had caught up, and on a slow machine its coordinator gave it up as lost."""

    async def test() -> None:
        target = await Target({"kind": "none"}).start()
        said: list[m.Message] = []
        scenario = parse(TEXT, "test", [f"targets.addresses=['{target.endpoint}']", "stream.0.deadline_ms=60000"])
        worker = Worker(m.Job(m.VERSION, scenario, 0, 1), said.append)
        await worker.ready()
        turns = 0

        def turn() -> None:
            nonlocal turns
            turns += 1
            if worker.counts["offered"] < 200:
                worker.loop.call_soon(turn)

        worker.loop.call_soon(turn)
        worker.start(time.monotonic_ns() // 1000 - 10_000_000)
        await worker.finished.wait()
        assert turns >= 3, "it offered all in one turn of its loop"
        intervals = [message for message in said if isinstance(message, m.Interval)]
        assert sum(i.counts["offered"] for i in intervals if i.counts) == 200 and intervals[-1].last
        await worker.close()
        await target.close()

    run(test())


def test_a_worker_that_dies_takes_along_what_is_counted_as_missing() -> None:
    async def test() -> None:
        target = await Target({"kind": "none"}).start()

        async def meddle(lines: list[LocalWorkerLink], coordinator: Coordinator) -> None:
            await until(lambda: len(coordinator.totals.seconds) > 0)
            os.kill(pid(lines[1]), signal.SIGKILL)

        made = await played([target.endpoint], "for_s=3", workers=2, meddle=meddle)
        assert made.exit == Exit.INCOMPLETE and made.ledger["scheduled"] == 300
        assert made.ledger["missing"] == 300 - sum(made.outcomes.values()) > 40
        assert made.outcomes["served"] >= 150 + 40
        assert any("worker 1 was lost: it was killed by signal 9" in note for note in made.notes)
        await target.close()

    run(test())


def test_workers_end_with_their_coordinator() -> None:
    async def test() -> None:
        target = await Target({"kind": "none"}).start()
        line = LocalWorkerLink(0)
        gone = asyncio.Event()
        ready = asyncio.Event()
        await line.open(lambda message: ready.set(), lambda why: gone.set())
        scenario = parse(TEXT, "test", [f"targets.addresses=['{target.endpoint}']", "for_s=600"])
        line.say(m.Job(m.VERSION, scenario, 0, 1))
        await ready.wait()
        line.say(m.Start(time.monotonic_ns() // 1000))
        await until(lambda: target.taken > 5)
        assert line.process is not None and line.process.stdin is not None
        line.process.stdin.close()  # as the kernel does when the coordinator dies
        await gone.wait()
        assert line.process.returncode == 1
        await target.close()

    run(test())


def test_a_step_of_the_system_clock_moves_no_send(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        target = await Target({"kind": "none"}).start()
        said: list[m.Message] = []
        scenario = parse(TEXT, "test", [f"targets.addresses=['{target.endpoint}']", "for_s=0.5"])
        worker = Worker(m.Job(m.VERSION, scenario, 0, 1), said.append)
        await worker.ready()
        real, steps = time.time, iter(range(0, 10**9, 3600))
        monkeypatch.setattr(time, "time", lambda: real() + next(steps))
        worker.start(time.monotonic_ns() // 1000)
        await worker.finished.wait()
        monkeypatch.undo()
        intervals = [message for message in said if isinstance(message, m.Interval)]
        assert sum(i.counts["offered"] for i in intervals if i.counts) == 50 and intervals[-1].last
        assert intervals[-1].end < 100.0
        await worker.close()
        await target.close()

    run(test())


@pytest.mark.parametrize("policy", ["stop", "skip"])
def test_a_trace_that_breaks_in_the_middle_ends_the_run_or_is_counted(policy: str, tmp_path: Path) -> None:
    async def test() -> None:
        target = await Target({"kind": "none"}).start()
        path = tmp_path / "t.jsonl"
        line = '{"at":%d,"account":"00000000000000aa","plan":"shop"}\n'
        path.write_text('{"trace":1}\n' + "".join(line % (n * 1000) for n in range(2000)) + "what\n" + line % 2000000)
        text = f'name="r"\n[replay]\npath="{path}"\non_error="{policy}"\n[targets]\naddresses=["{target.endpoint}"]\n'
        scenario = parse(text, "r")
        made = await Coordinator(scenario, [LocalWorkerLink(0), LocalWorkerLink(1)]).run()
        if policy == "stop":
            assert made.exit == Exit.INCOMPLETE and any("line 2002" in note for note in made.notes)
        else:
            assert made.outcomes == {"served": 2001} and made.faults == {"form": 1}
        await target.close()

    run(test())


def test_what_cannot_begin_says_why() -> None:
    async def test() -> None:
        for changes, words in (
            ('[replay]\npath="/nowhere/at/all"', "No such file"),
            ('[replay]\npath="/dev/null"', "the trace is empty"),
        ):
            scenario = parse(f'name="r"\n{changes}\n[targets]\naddresses=["127.0.0.1:9"]', "r")
            with pytest.raises(LoadError, match=words):
                await Coordinator(scenario, [LocalWorkerLink(0)]).run()

    run(test())


def test_stopped_by_the_operator_it_says_so_and_adds_up() -> None:
    async def test() -> None:
        target = await Target({"kind": "constant", "ms": 30}).start()

        async def meddle(lines: list[LocalWorkerLink], coordinator: Coordinator) -> None:
            await until(lambda: target.taken > 20)
            coordinator.interrupt()

        made = await played([target.endpoint], "for_s=600", meddle=meddle)
        assert made.exit == Exit.INCOMPLETE and "stopped by the operator" in made.notes
        assert made.ledger["offered"] == made.outcomes["served"] >= 20
        await target.close()

    run(test())
