"""Real limiter processes managed by an agent in this process, with fake servers and open-loop load."""

import asyncio
import os
import random
import signal
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

from elderlock.fleet.agent.agent import Agent
from elderlock.fleet.client.commands import Result, observe_group
from elderlock.fleet.client.drain_commands import Order, carry_out
from elderlock.fleet.client.group_client import Group
from elderlock.fleet.client.limiter_commands import order_limiters
from elderlock.fleet.client.report import Exit
from elderlock.fleet.config import read_agent
from elderlock.fleet.supervision.limiter_process import process_start_ticks
from elderlock.standins.clients import Client
from elderlock.standins.front import Front
from elderlock.standins.listener import Fault
from elderlock.standins.servers import STD
from elderlock.standins.settings import FLOORS
from elderlock.standins.waiting import run, unix_ms, until
from elderlock.standins.world import World

GRACE_MS = 250.0  # after a drain is in force, within which a server may still get new requests by the specification
REQUEST_RATE = 60.0  # per second


class RunningGroup:
    """An agent with its limiters, fake servers, a client for commands and a front that sends requests."""

    def __init__(self, world: World, agent: Agent, client: Group, front: Front) -> None:
        self.world, self.agent, self.client, self.front = world, agent, client, front

    def pid(self, limiter: str) -> int:
        process = self.agent.limiters[limiter].process
        assert process is not None
        return process.pid

    async def drain(
        self,
        *targets: str,
        drained: bool = True,
        kind: str = "box",
        give_up_after: float | None = 10.0,
        force: bool = False,
    ) -> Result:
        order = Order(kind, targets, drained, give_up_after=give_up_after, force=force)  # type: ignore[arg-type]
        return await carry_out(self.client, order, lambda *_: None)

    async def wait_until_all_answer(self) -> None:
        while len([s for s in (await observe_group(self.client)).states() if s.ready]) < self.world.limiters:
            await asyncio.sleep(0.05)

    def count_sent_by(self, limiter: int) -> int:
        return sum(sent.port_index == limiter for box in self.world.boxes.values() for sent in box.sent)

    def late_requests(self, uid: str, drained_at: float) -> list[object]:
        """Return the requests that reached a server after the grace time."""
        return [sent for sent in self.world.boxes[uid].sent if sent.at > drained_at + GRACE_MS]

    async def wait_for_answers(self, count: int = 30) -> None:
        """Wait until so many more requests were answered, which shows that the load continues."""
        ends = self.front.ledger.ends
        goal = sum(ends.values()) + count
        await until(lambda: sum(ends.values()) >= goal)


@asynccontextmanager
async def running_group(
    folder: Path, limiters: int = 3, supervise: str = "", load: bool = True
) -> AsyncIterator[RunningGroup]:
    """Start a group with one agent; kill its limiters at the end."""
    world = World(folder, limiters, boxes=6)
    await world.open()
    path = world.write_agent(0, supervise=supervise)
    agent = Agent(path, read_agent(path), random.Random(1))
    await agent.start()
    client = Group.read(world.group_path)
    group = RunningGroup(world, agent, client, Front(world.listens, REQUEST_RATE, seed=1))
    try:
        await group.wait_until_all_answer()
        if load:
            group.front.start()
            await until(lambda: all(group.front.in_rotation))
            await group.wait_for_answers()
        yield group
    finally:
        client.close()
        for limiter in group.agent.limiters.values():
            limiter.supervisor.wanted = False
            if limiter.process is not None:
                limiter.process.signal(signal.SIGCONT)
                limiter.process.signal(signal.SIGKILL)
        await until(lambda: all(limiter.process is None for limiter in group.agent.limiters.values()))
        group.agent.close()
        await world.close()


async def check_no_request_was_lost(group: RunningGroup) -> None:
    """Stop the load and check that every request got exactly one answer."""
    ledger = await group.front.stop()
    assert ledger.ends["lost"] == ledger.ends["wrong"] == ledger.ends["nowhere"] == ledger.answered_twice == 0
    # Refusals of servers that a test made slow count as answers, but at least half of the requests were served.
    assert ledger.ends["served"] > 0.5 * ledger.sent


def test_a_drained_server_gets_no_requests_whatever_discovery_reports(tmp_path: Path) -> None:
    """Discovery removes and adds the server again, reports it as draining and up, breaks its watches and stops answering."""

    async def test() -> None:
        async with running_group(tmp_path) as group:
            box = group.world.boxes["s-00"]
            assert (await group.drain("s-00")).exit is Exit.DONE
            drained_at = unix_ms()
            registry = group.world.registry
            registry.remove("s-00")
            await group.wait_for_answers(10)
            box.state = "up"
            registry.add(box)
            await group.wait_for_answers(10)
            for state in ("draining", "up"):
                box.state = state
                registry.announce(box)
            registry.discovery.reset()  # the watches break, and the limiters get complete lists again
            await group.wait_for_answers()
            await registry.fail(Fault.SILENT)
            await group.wait_for_answers()
            assert group.late_requests("s-00", drained_at) == []
            await registry.fail(Fault.NONE)
            assert (await group.drain("s-00", drained=False)).exit is Exit.DONE
            count = len(box.sent)
            await until(lambda: len(box.sent) > count)
            await check_no_request_was_lost(group)

    run(test(), within=60.0)


def test_a_drain_needs_no_answer_of_discovery(tmp_path: Path) -> None:
    """Discovery does not answer from before the drain until after it."""

    async def test() -> None:
        async with running_group(tmp_path) as group:
            await group.world.registry.fail(Fault.SILENT)
            group.world.registry.discovery.reset()
            assert (await group.drain("s-05")).exit is Exit.DONE
            drained_at = unix_ms()
            await group.wait_for_answers()
            assert group.late_requests("s-05", drained_at) == []
            count = len(group.world.boxes["s-05"].sent)
            assert (await group.drain("s-05", drained=False)).exit is Exit.DONE
            await until(lambda: len(group.world.boxes["s-05"].sent) > count)
            await check_no_request_was_lost(group)

    run(test(), within=60.0)


def test_a_drain_applies_to_the_servers_uid_and_not_to_its_address(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_group(tmp_path) as group:
            await group.drain("s-00")
            old = group.world.registry.remove("s-00")
            for port in old.ports:
                await port.close()
            new = await group.world.add_box("s-new", STD, FLOORS[0])
            for port, old_port in zip(new.ports, old.ports, strict=True):
                await port.close()
                port.port = old_port.port
                await port.listen()
            group.world.registry.announce(new)
            await until(lambda: len(new.sent) > 3)
            await check_no_request_was_lost(group)

    run(test(), within=60.0)


def test_a_paused_limiter_is_unknown_and_applies_the_drain_when_it_resumes(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_group(tmp_path) as group:
            os.kill(group.pid("n1"), signal.SIGSTOP)
            result = await group.drain("s-01", give_up_after=0.3)
            rows = {row.limiter: row for row in result.reports[0].rows()}
            assert result.exit is Exit.PART
            assert {name: row.state for name, row in rows.items()} == {
                "n0": "reached",
                "n1": "unknown",
                "n2": "reached",
            }
            os.kill(group.pid("n1"), signal.SIGCONT)
            again = await group.drain("s-01", give_up_after=20.0)
            assert again.exit is Exit.DONE
            drained_at = max(row.at for row in again.reports[0].rows())
            await group.wait_for_answers()
            assert group.late_requests("s-01", drained_at) == []
            await check_no_request_was_lost(group)

    run(test(), within=60.0)


def test_a_restarted_limiter_has_its_drains_before_its_first_request(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_group(tmp_path) as group:
            assert (await group.drain("s-02")).exit is Exit.DONE
            drained_at = unix_ms()
            killed_pid = group.pid("n0")
            os.kill(killed_pid, signal.SIGKILL)
            await until(lambda: group.agent.limiters["n0"].process is not None and group.pid("n0") != killed_pid)
            await until(lambda: not group.front.in_rotation[0])
            await until(lambda: group.front.in_rotation[0])  # it has answered PING, so the front sends requests
            count = group.count_sent_by(0)
            await until(lambda: group.count_sent_by(0) > count)
            await group.wait_for_answers()
            assert group.late_requests("s-02", drained_at) == []
            assert group.agent.limiters["n0"].supervisor.restarts == 1
            ledger = await group.front.stop()
            assert ledger.answered_twice == 0

    run(test(), within=60.0)


def test_a_drain_survives_a_reload_of_the_configuration(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_group(tmp_path) as group:
            group.world.boxes["s-03"].added_delay_ms = 400.0  # so that requests are open there when the signal arrives
            drain = asyncio.create_task(group.drain("s-03"))
            for name in group.world.limiter_names:
                os.kill(group.pid(name), signal.SIGHUP)
            assert (await drain).exit is Exit.DONE
            drained_at = unix_ms()
            for name in group.world.limiter_names:
                os.kill(group.pid(name), signal.SIGHUP)
            await group.wait_for_answers()
            assert group.late_requests("s-03", drained_at) == []
            await check_no_request_was_lost(group)

    run(test(), within=60.0)


def test_a_new_agent_adopts_the_running_limiters_and_stops_none(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_group(tmp_path) as group:
            await group.drain("s-04")
            pids = {name: group.pid(name) for name in group.world.limiter_names}
            group.agent.close()  # nothing more is sent or stored, as after SIGKILL
            path = group.world.agent_path(0)
            group.agent = Agent(path, read_agent(path), random.Random(2))
            await group.agent.start()
            await group.wait_until_all_answer()
            assert {name: group.pid(name) for name in group.world.limiter_names} == pids
            assert all(limiter.is_adopted for limiter in group.agent.limiters.values())
            observation = await observe_group(group.client)
            assert {r.target for s in observation.states() for r in s.records} == {"s-04"}
            # An adopted process is watched although it is not a child of the new agent.
            os.kill(pids["n2"], signal.SIGKILL)
            await until(lambda: group.agent.limiters["n2"].process is not None and group.pid("n2") != pids["n2"])
            await group.front.stop()

    run(test(), within=60.0)


def test_a_drained_limiter_finishes_its_requests_and_gets_no_new_ones(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_group(tmp_path) as group:
            for box in group.world.boxes.values():
                box.added_delay_ms = 200.0  # so that requests are open
            await group.wait_for_answers(20)
            result = await group.drain("n1", kind="limiter")
            assert result.exit is Exit.DONE
            await until(lambda: not group.front.in_rotation[1])
            await until(lambda: not group.front.idle[1])  # idle connections are closed
            host, _, port = group.world.listens[1].rpartition(":")
            client = Client(*await asyncio.open_connection(host, int(port)))
            client.send("PING")
            assert str(await client.answer()) == "LOADING drained by an operator"
            await group.wait_for_answers()
            states = {s.limiter: s for s in (await observe_group(group.client)).states()}
            assert states["n1"].is_drained and states["n1"].open_requests == 0 and not states["n0"].is_drained
            assert (await group.drain("n1", drained=False, kind="limiter")).exit is Exit.DONE
            await until(lambda: group.front.in_rotation[1])
            await check_no_request_was_lost(group)

    run(test(), within=60.0)


def test_a_request_to_a_drained_limiter_is_served(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_group(tmp_path, load=False) as group:
            await group.drain("n0", kind="limiter")
            host, _, port = group.world.listens[0].rpartition(":")
            client = Client(*await asyncio.open_connection(host, int(port)))
            answer = await client.ask("late", t="shop")
            assert isinstance(answer, bytes) and b"request=late" in answer
            assert await client.answer() is None  # the connection is closed after the answer

    run(test(), within=60.0)


def test_a_limiter_that_cannot_start_is_given_up_and_the_others_continue(tmp_path: Path) -> None:
    async def test() -> None:
        supervise = "first_backoff = 0.01\nmost_backoff = 0.02\ncrashes = 3\n"
        async with running_group(tmp_path, supervise=supervise) as group:
            config = group.world.config_path(2)
            valid_config = config.read_text()
            config.write_text("{")
            os.kill(group.pid("n2"), signal.SIGKILL)
            limiter = group.agent.limiters["n2"]
            await until(lambda: limiter.supervisor.phase == "gave-up")
            drained = await group.drain("s-05")
            rows = {row.limiter: row.state for row in drained.reports[0].rows()}
            assert drained.exit is Exit.DONE and rows["n2"] == "at-start"
            config.write_text(valid_config)
            started = await order_limiters(group.client, "start", ["n2"], False, 1.0, 20.0, lambda _: None)
            assert started.exit is Exit.DONE
            await until(lambda: limiter.link.state is not None)
            assert limiter.link.state is not None
            assert {r.target for r in limiter.link.state.records} == {"s-05"}
            await group.front.stop()

    run(test(), within=60.0)


def test_a_stopped_limiter_exits_after_it_has_answered_all_its_requests(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_group(tmp_path) as group:
            for box in group.world.boxes.values():
                box.added_delay_ms = 200.0
            await group.wait_for_answers(20)
            pid = group.pid("n2")
            stopped = await order_limiters(group.client, "stop", ["n2"], False, 1.0, 20.0, lambda _: None)
            assert stopped.exit is Exit.DONE and process_start_ticks(pid) == 0
            last = await order_limiters(group.client, "stop", ["n0", "n1"], False, 1.0, 20.0, lambda _: None)
            assert last.exit is Exit.UNSAFE
            assert last.unsafe == ("it takes the last limiter in service: 2 serve now, 0 would be left",)
            await check_no_request_was_lost(group)

    run(test(), within=60.0)


def test_an_unsafe_drain_is_refused_with_figures_and_changes_nothing(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_group(tmp_path, load=False) as group:
            result = await group.drain("s-00", "s-03")  # both of floor-2
            assert result.exit is Exit.UNSAFE and result.reports == []
            assert result.unsafe == ("it takes the last box of floor-2, which has 2 in service",)
            assert not len(group.agent.records)
            forced = await group.drain("s-00", "s-03", force=True)
            assert forced.exit is Exit.DONE and len(forced.reports) == 2  # in two steps
            unknown = await group.drain("s-99")
            assert unknown.exit is Exit.NOTHING and unknown.lines == ["box s-99 is not known"]

    run(test(), within=60.0)
