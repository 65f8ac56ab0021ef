"""Real limiters under an agent in this process, over stand-in boxes and under open-loop load."""

import asyncio
import os
import random
import signal
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

from elderlock.fleet.agent.agent import Agent
from elderlock.fleet.client.drain_commands import Order, Result, carry_out, observe_group, order_limiters
from elderlock.fleet.client.group_client import Group
from elderlock.fleet.client.report import Exit
from elderlock.fleet.config import read_agent
from elderlock.fleet.supervision.limiter_process import process_start_ticks
from elderlock.standins.boxes import STD
from elderlock.standins.clients import Client
from elderlock.standins.front import Front
from elderlock.standins.listener import Fault
from elderlock.standins.settings import FLOORS
from elderlock.standins.waiting import run, unix_ms, until
from elderlock.standins.world import World

GRACE = 250.0  # ms after a drain is in force within which new work may still reach a box, as the rule says
REQUESTS = 60.0  # a second


class Running:
    def __init__(self, world: World, agent: Agent, group: Group, front: Front) -> None:
        self.world, self.agent, self.group, self.front = world, agent, group, front

    def pid(self, limiter: str) -> int:
        process = self.agent.limiters[limiter].process
        assert process is not None
        return process.pid

    async def drain(
        self, *targets: str, drained: bool = True, kind: str = "box", after: float | None = 10.0, force: bool = False
    ) -> Result:
        order = Order(kind, targets, drained, give_up_after=after, force=force)  # type: ignore[arg-type]
        return await carry_out(self.group, order, lambda *_: None)

    async def answering(self) -> None:
        while len([s for s in (await observe_group(self.group)).states() if s.ready]) < self.world.limiters:
            await asyncio.sleep(0.05)

    def sent_by(self, limiter: int) -> int:
        return sum(sent.door == limiter for box in self.world.boxes.values() for sent in box.sent)

    def late(self, uid: str, since: float) -> list[object]:
        """What reached the box after the grace."""
        return [sent for sent in self.world.boxes[uid].sent if sent.at > since + GRACE]

    async def some_work(self, count: int = 30) -> None:
        """Until so many requests more have been answered: load went on, whatever the tool says."""
        ends = self.front.ledger.ends
        goal = sum(ends.values()) + count
        await until(lambda: sum(ends.values()) >= goal)


@asynccontextmanager
async def running(folder: Path, limiters: int = 3, supervise: str = "", load: bool = True) -> AsyncIterator[Running]:
    world = World(folder, limiters, boxes=6)
    await world.open()
    path = world.write_agent(0, supervise=supervise)
    agent = Agent(path, read_agent(path), random.Random(1))
    await agent.start()
    group = Group.read(world.group_path)
    made = Running(world, agent, group, Front(world.listens, REQUESTS, seed=1))
    try:
        await made.answering()
        if load:
            made.front.start()
            await until(lambda: all(made.front.part))
            await made.some_work()
        yield made
    finally:
        group.close()
        for charge in made.agent.limiters.values():
            charge.supervisor.wanted = False
            if charge.process is not None:
                charge.process.signal(signal.SIGCONT)
                charge.process.signal(signal.SIGKILL)
        await until(lambda: all(c.process is None for c in made.agent.limiters.values()))
        made.agent.close()
        await world.close()


async def no_request_was_lost(here: Running) -> None:
    ledger = await here.front.stop()
    assert ledger.ends["lost"] == ledger.ends["wrong"] == ledger.ends["nowhere"] == ledger.answered_twice == 0
    # refusals of boxes that a test made slow are answers too; but this was no run in which nothing was served
    assert ledger.ends["served"] > 0.5 * ledger.sent


def test_work_stops_at_a_drained_box_and_whatever_discovery_does_does_not_bring_it_back(tmp_path: Path) -> None:
    """Discovery removes, re-adds and un-drains it, breaks its watches and falls silent."""

    async def test() -> None:
        async with running(tmp_path) as here:
            box = here.world.boxes["s-00"]
            assert (await here.drain("s-00")).exit is Exit.DONE
            since = unix_ms()
            registry = here.world.registry
            registry.remove("s-00")
            await here.some_work(10)
            box.state = "up"
            registry.add(box)
            await here.some_work(10)
            for state in ("draining", "up"):
                box.state = state
                registry.changed(box)
            registry.discovery.reset()  # the watches break: whole lists are told anew
            await here.some_work()
            await registry.fail(Fault.SILENT)
            await here.some_work()
            assert here.late("s-00", since) == []
            await registry.fail(Fault.NONE)
            assert (await here.drain("s-00", drained=False)).exit is Exit.DONE
            count = len(box.sent)
            await until(lambda: len(box.sent) > count)
            await no_request_was_lost(here)

    run(test(), within=60.0)


def test_a_drain_needs_no_word_of_discovery(tmp_path: Path) -> None:
    """Discovery is silent from before the drain until after it."""

    async def test() -> None:
        async with running(tmp_path) as here:
            await here.world.registry.fail(Fault.SILENT)
            here.world.registry.discovery.reset()
            assert (await here.drain("s-05")).exit is Exit.DONE
            since = unix_ms()
            await here.some_work()
            assert here.late("s-05", since) == []
            count = len(here.world.boxes["s-05"].sent)
            assert (await here.drain("s-05", drained=False)).exit is Exit.DONE
            await until(lambda: len(here.world.boxes["s-05"].sent) > count)
            await no_request_was_lost(here)

    run(test(), within=60.0)


def test_a_drain_ends_with_the_boxs_uid_and_not_with_its_address(tmp_path: Path) -> None:
    async def test() -> None:
        async with running(tmp_path) as here:
            await here.drain("s-00")
            old = here.world.registry.remove("s-00")
            for door in old.doors:
                await door.close()
            new = await here.world.add_box("s-new", STD, FLOORS[0])
            for door, was in zip(new.doors, old.doors, strict=True):
                await door.close()
                door.port = was.port
                await door.listen()
            here.world.registry.changed(new)
            await until(lambda: len(new.sent) > 3)
            await no_request_was_lost(here)

    run(test(), within=60.0)


def test_a_limiter_stopped_partway_is_unknown_and_drained_when_it_goes_on(tmp_path: Path) -> None:
    async def test() -> None:
        async with running(tmp_path) as here:
            os.kill(here.pid("n1"), signal.SIGSTOP)
            result = await here.drain("s-01", after=0.3)
            told = {row.limiter: row for row in result.reports[0].rows()}
            assert result.exit is Exit.PART
            assert {name: row.state for name, row in told.items()} == {
                "n0": "reached",
                "n1": "unknown",
                "n2": "reached",
            }
            os.kill(here.pid("n1"), signal.SIGCONT)
            again = await here.drain("s-01", after=20.0)
            assert again.exit is Exit.DONE
            since = max(row.at for row in again.reports[0].rows())
            await here.some_work()
            assert here.late("s-01", since) == []
            await no_request_was_lost(here)

    run(test(), within=60.0)


def test_a_killed_limiter_has_its_drains_before_its_first_request(tmp_path: Path) -> None:
    async def test() -> None:
        async with running(tmp_path) as here:
            assert (await here.drain("s-02")).exit is Exit.DONE
            since = unix_ms()
            before = here.pid("n0")
            os.kill(before, signal.SIGKILL)
            await until(lambda: here.agent.limiters["n0"].process is not None and here.pid("n0") != before)
            await until(lambda: not here.front.part[0])
            await until(lambda: here.front.part[0])  # it has answered PING: requests come
            count = here.sent_by(0)
            await until(lambda: here.sent_by(0) > count)
            await here.some_work()
            assert here.late("s-02", since) == []
            assert here.agent.limiters["n0"].supervisor.restarts == 1
            ledger = await here.front.stop()
            assert ledger.answered_twice == 0

    run(test(), within=60.0)


def test_a_reload_during_a_drain_keeps_it(tmp_path: Path) -> None:
    async def test() -> None:
        async with running(tmp_path) as here:
            here.world.boxes["s-03"].crowd = 400.0  # so that work is out there while the signal comes
            drain = asyncio.create_task(here.drain("s-03"))
            for name in here.world.limiter_names:
                os.kill(here.pid(name), signal.SIGHUP)
            assert (await drain).exit is Exit.DONE
            since = unix_ms()
            for name in here.world.limiter_names:
                os.kill(here.pid(name), signal.SIGHUP)
            await here.some_work()
            assert here.late("s-03", since) == []
            await no_request_was_lost(here)

    run(test(), within=60.0)


def test_a_new_agent_adopts_what_runs_and_ends_no_process(tmp_path: Path) -> None:
    async def test() -> None:
        async with running(tmp_path) as here:
            await here.drain("s-04")
            pids = {name: here.pid(name) for name in here.world.limiter_names}
            here.agent.close()  # nothing more is told or written, as after a kill
            path = here.world.agent_path(0)
            here.agent = Agent(path, read_agent(path), random.Random(2))
            await here.agent.start()
            await here.answering()
            assert {name: here.pid(name) for name in here.world.limiter_names} == pids
            assert all(charge.is_adopted for charge in here.agent.limiters.values())
            seen = await observe_group(here.group)
            assert {r.target for s in seen.states() for r in s.records} == {"s-04"}
            # an adopted one is watched, though it is no child of ours any more
            os.kill(pids["n2"], signal.SIGKILL)
            await until(lambda: here.agent.limiters["n2"].process is not None and here.pid("n2") != pids["n2"])
            await here.front.stop()

    run(test(), within=60.0)


def test_a_drained_limiter_answers_what_it_has_and_the_front_stays_away(tmp_path: Path) -> None:
    async def test() -> None:
        async with running(tmp_path) as here:
            for box in here.world.boxes.values():
                box.crowd = 200.0  # so that requests are under way
            await here.some_work(20)
            result = await here.drain("n1", kind="limiter")
            assert result.exit is Exit.DONE
            await until(lambda: not here.front.part[1])
            await until(lambda: not here.front.idle[1])  # idle connections are closed
            host, _, port = here.world.listens[1].rpartition(":")
            client = Client(*await asyncio.open_connection(host, int(port)))
            client.send("PING")
            assert str(await client.answer()) == "LOADING drained by an operator"
            await here.some_work()
            seen = {s.limiter: s for s in (await observe_group(here.group)).states()}
            assert seen["n1"].is_drained and seen["n1"].open_requests == 0 and not seen["n0"].is_drained
            assert (await here.drain("n1", drained=False, kind="limiter")).exit is Exit.DONE
            await until(lambda: here.front.part[1])
            await no_request_was_lost(here)

    run(test(), within=60.0)


def test_what_still_comes_to_a_drained_limiter_is_served(tmp_path: Path) -> None:
    async def test() -> None:
        async with running(tmp_path, load=False) as here:
            await here.drain("n0", kind="limiter")
            host, _, port = here.world.listens[0].rpartition(":")
            client = Client(*await asyncio.open_connection(host, int(port)))
            answer = await client.ask("late", t="shop")
            assert isinstance(answer, bytes) and b"request=late" in answer
            assert await client.answer() is None  # and then its connection is closed

    run(test(), within=60.0)


def test_a_limiter_that_cannot_run_is_given_up_and_the_others_are_not_touched(tmp_path: Path) -> None:
    async def test() -> None:
        supervise = "first_backoff = 0.01\nmost_backoff = 0.02\ncrashes = 3\n"
        async with running(tmp_path, supervise=supervise) as here:
            config = here.world.config_path(2)
            good = config.read_text()
            config.write_text("{")
            os.kill(here.pid("n2"), signal.SIGKILL)
            charge = here.agent.limiters["n2"]
            await until(lambda: charge.supervisor.phase == "gave-up")
            drained = await here.drain("s-05")
            rows = {row.limiter: row.state for row in drained.reports[0].rows()}
            assert drained.exit is Exit.DONE and rows["n2"] == "at-start"
            config.write_text(good)
            started = await order_limiters(here.group, "start", ["n2"], False, 1.0, 20.0, lambda _: None)
            assert started.exit is Exit.DONE
            await until(lambda: charge.link.state is not None)
            assert charge.link.state is not None
            assert {r.target for r in charge.link.state.records} == {"s-05"}
            await here.front.stop()

    run(test(), within=60.0)


def test_stop_ends_a_limiter_once_all_it_took_is_answered(tmp_path: Path) -> None:
    async def test() -> None:
        async with running(tmp_path) as here:
            for box in here.world.boxes.values():
                box.crowd = 200.0
            await here.some_work(20)
            pid = here.pid("n2")
            stopped = await order_limiters(here.group, "stop", ["n2"], False, 1.0, 20.0, lambda _: None)
            assert stopped.exit is Exit.DONE and process_start_ticks(pid) == 0
            last = await order_limiters(here.group, "stop", ["n0", "n1"], False, 1.0, 20.0, lambda _: None)
            assert last.exit is Exit.UNSAFE
            assert last.unsafe == ("it takes the last limiter in service: 2 serve now, 0 would be left",)
            await no_request_was_lost(here)

    run(test(), within=60.0)


def test_an_unsafe_drain_is_refused_with_its_figures_and_nothing_is_touched(tmp_path: Path) -> None:
    async def test() -> None:
        async with running(tmp_path, load=False) as here:
            result = await here.drain("s-00", "s-03")  # both of floor-2
            assert result.exit is Exit.UNSAFE and result.reports == []
            assert result.unsafe == ("it takes the last box of floor-2, which has 2 in service",)
            assert not len(here.agent.records)
            forced = await here.drain("s-00", "s-03", force=True)
            assert forced.exit is Exit.DONE and len(forced.reports) == 2  # in two steps
            unknown = await here.drain("s-99")
            assert unknown.exit is Exit.NOTHING and unknown.lines == ["box s-99 is not known"]

    run(test(), within=60.0)
