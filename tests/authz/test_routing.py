"""The agent's door: which limiter is asked, and what is never asked again."""

import asyncio
import contextlib
import os
import random
import signal
import sys
from collections.abc import AsyncIterator, Iterable
from contextlib import asynccontextmanager
from pathlib import Path

import grpc
import pytest
from envoy.extensions.common.ratelimit.v3 import ratelimit_pb2
from envoy.service.auth.v3 import external_auth_pb2_grpc as auth_grpc
from envoy.service.ratelimit.v3 import rls_pb2 as rls
from hypothesis import given, settings
from hypothesis import strategies as st

from elderlock.authz.config import AuthzError
from elderlock.authz.router import RoutingDoor
from elderlock.authz.routing import EJECT_AFTER, EJECT_FOR, MOST_EJECTED, Fate, Next, Router, after
from elderlock.fleet.client.drain_commands import Order, carry_out, observe_group
from elderlock.fleet.client.group_client import Group
from elderlock.fleet.client.report import Exit
from elderlock.spawning import spawn
from elderlock.standins.certificates import write_certificates
from elderlock.standins.gateways import GatewayClient, headers, lookups_report
from elderlock.standins.programs import ACCOUNT, Program, programs, terms_of
from elderlock.standins.waiting import run
from elderlock.standins.world import ROOT, World, free_address, random_loopback_host
from elderlock.trial import guard

NAMES = {f"n{n}": n for n in range(5)}


def router() -> Router:
    return Router(NAMES, random.Random(1))


def test_only_the_accounts_own_limiters_are_asked_in_their_row() -> None:
    made = router()
    assert made.members(3, 3) == ["n3", "n4", "n0"]
    assert {made.choose(3, 3, NAMES, (), 0.0) for _ in range(50)} == {"n3", "n4", "n0"}
    assert made.choose(3, 3, {"n1", "n2"}, (), 0.0) is None
    assert {made.choose(3, 3, NAMES, ("n3", "n4"), 0.0) for _ in range(9)} == {"n0"}


def test_the_less_loaded_of_two_is_asked() -> None:
    made = router()
    for _ in range(3):
        made.began("n0")
    assert {made.choose(2, 0, NAMES, (), 0.0) for _ in range(20)} == {"n1"}


def test_failures_in_a_row_eject_for_longer_each_time_and_an_answer_forgives() -> None:
    made = router()

    def fail(now: float) -> None:
        for _ in range(EJECT_AFTER):
            made.began("n0")
            made.ended("n0", Fate.NOT_SENT, now)

    fail(0.0)
    assert made.ejected(0.0) == ["n0"] and made.choose(1, 0, NAMES, (), EJECT_FOR - 1) is None
    assert made.choose(1, 0, NAMES, (), EJECT_FOR) == "n0"
    fail(EJECT_FOR)
    assert made.ejected(EJECT_FOR + 2 * EJECT_FOR - 1) == ["n0"]
    made.began("n0")
    made.ended("n0", Fate.ANSWERED, 9e5)
    fail(1e6)
    assert made.ejected(1e6 + EJECT_FOR) == []


@settings(max_examples=100, deadline=None)
@given(
    st.lists(st.tuples(st.sampled_from(list(NAMES)), st.sampled_from(list(Fate)), st.floats(0.0, 300.0)), max_size=80)
)
def test_never_more_than_the_cap_are_out_and_what_is_out_is_counted(events: list[tuple[str, Fate, float]]) -> None:
    made, now = router(), 0.0
    for name, fate, wait in events:
        now += wait
        made.began(name)
        made.ended(name, fate, now)
        assert len(made.ejected(now)) <= MOST_EJECTED * len(NAMES)
    assert all(member.open == 0 for member in made._members.values())


@given(
    st.lists(st.sampled_from([f for f in Fate if f is not Fate.ANSWERED]), min_size=1, max_size=6),
    st.booleans(),
    st.floats(-10.0, 900.0),
)
def test_a_try_of_unknown_fate_is_never_asked_elsewhere(fates: list[Fate], fetchable: bool, left: float) -> None:
    step = after(fates, fetchable, left)
    if step is Next.ELSEWHERE:
        assert fates[-1] is Fate.GONE or Fate.UNKNOWN not in fates
    if step is Next.SAME:
        assert fetchable and fates[-1] is Fate.UNKNOWN
    if left <= 0:
        assert step is Next.GIVE_UP


@asynccontextmanager
async def routed(folder: Path) -> AsyncIterator[tuple[list[Program], RoutingDoor, GatewayClient, set[str]]]:
    async with programs(folder, count=3) as made:
        away: set[str] = set()

        def usable(names: Iterable[str]) -> set[str]:
            return set(names) - away

        raw = {
            "door": {"listen": "127.0.0.1:0", "askers": [{"accounts": [ACCOUNT]}]},
            "config": "n0.json",
            "limiter": [{"name": f"n{p.number}", "number": p.number, "address": p.address} for p in made],
        }
        door = RoutingDoor(raw, folder, usable, random.Random(1))
        await door.start()
        asking = GatewayClient(door.port)
        try:
            yield made, door, asking, away
        finally:
            await asking.channel.close()
            await door.stop()


def test_questions_reports_and_refusals_pass_through(tmp_path: Path) -> None:
    async def test() -> None:
        async with routed(tmp_path) as (_, _, asking, _):
            answer = await asking.check("q1", **terms_of(0, 3))
            assert headers(answer)["x-elderlock-permission"] == "q1"
            assert await asking.report("q1", account=ACCOUNT)
            assert not await asking.report("q1", account=ACCOUNT)
            assert await asking.check_status("q2", **terms_of(0, 3, account="00000000000000ab")) == 403
            assert await asking.check_status("q3", **terms_of(0, 3, plan="gold")) == 400
            descriptor = ratelimit_pb2.RateLimitDescriptor()
            for key, value in terms_of(0, 3, **{"class": "lookup"}).items():
                descriptor.entries.add(key=key, value=str(value))
            question = rls.RateLimitRequest(domain="d", descriptors=[descriptor])
            limited = await asking.rls.ShouldRateLimit(question, timeout=10)
            assert limited.overall_code == rls.RateLimitResponse.OK
            (permission,) = (h.value for h in limited.request_headers_to_add if h.key == "x-elderlock-permission")
            await lookups_report(asking.channel, permission)

    run(test(), within=60.0)


def test_a_drained_limiter_is_not_asked_and_without_any_the_answer_comes_at_once(tmp_path: Path) -> None:
    async def test() -> None:
        async with routed(tmp_path) as (made, _, asking, away):
            away.add("n0")
            for n in range(12):
                assert await asking.check_status(f"q{n}", **terms_of(0, 3)) in (200, 429)
            counts = [await program.count() for program in made]
            assert counts[0] == 0 and counts[1] and counts[2] and sum(counts) == 12
            away |= {"n1", "n2"}
            assert await asking.check_status("q99", **terms_of(0, 3)) == "UNAVAILABLE"

    run(test(), within=60.0)


def test_two_of_three_limiters_die_and_every_question_is_answered(tmp_path: Path) -> None:
    """Asked while they die and after: one answer each, in time, and nearly all of them decisions."""

    async def test() -> None:
        async with routed(tmp_path) as (made, _, asking, _):
            words: list[int | str] = []

            async def ask(lane: int) -> None:
                for n in range(25):
                    words.append(await asking.check_status(f"q{lane}-{n}", timeout=2.0, **terms_of(0, 3)))
                    with contextlib.suppress(grpc.aio.AioRpcError):  # whoever permitted it may be dead by now
                        await lookups_report(asking.channel, f"q{lane}-{n}")
                    if lane == 0 and n in (5, 10):
                        process = made[n // 5].process
                        assert process is not None
                        process.kill()

            await asyncio.gather(*(ask(lane) for lane in range(4)))
            assert len(words) == 100
            assert sum(word in (200, 429) for word in words) >= 95, words

    run(test(), within=60.0)


def test_the_way_to_limiters_and_the_door_itself_speak_tls(tmp_path: Path) -> None:
    async def test() -> None:
        async with programs(tmp_path, tls=True) as (program,):
            client = {"certificate": "client.crt", "key": "client.key", "ca": "ca.crt"}
            server = {"certificate": "server.crt", "key": "server.key", "ca": "ca.crt"}
            raw = {
                "door": {"listen": "127.0.0.1:0", "tls": server, "askers": [{"accounts": ["*"], "subject": "client"}]},
                "config": "n0.json",
                "to_limiters": client,
                "limiter": [{"name": "n0", "number": 0, "address": program.address}],
            }
            door = RoutingDoor(raw, tmp_path, set, random.Random(1))
            await door.start()

            def read(name: str) -> bytes:
                return (tmp_path / name).read_bytes()

            def connect() -> GatewayClient:
                credentials = grpc.ssl_channel_credentials(read("ca.crt"), read("client.key"), read("client.crt"))
                asking = GatewayClient(door.port)
                asking.channel = grpc.aio.secure_channel(f"127.0.0.1:{door.port}", credentials)
                asking.auth = auth_grpc.AuthorizationStub(asking.channel)
                return asking

            good, bare = connect(), GatewayClient(door.port)
            assert await good.check_status("q1", **terms_of(0, 1)) == 200
            assert await bare.check_status("q2", timeout=2.0, **terms_of(0, 1)) == "UNAVAILABLE"
            write_certificates(tmp_path)
            door.reload()
            after = connect()
            assert await after.check_status("q3", **terms_of(0, 1)) == 200  # the way to the limiter goes on as it was
            for asking in (good, bare, after):
                await asking.channel.close()
            await door.stop()

    run(test(), within=60.0)


@pytest.mark.parametrize("resumes", [True, False])
def test_a_silent_limiter_is_asked_again_itself_and_nobody_else(resumes: bool, tmp_path: Path) -> None:
    async def test() -> None:
        async with routed(tmp_path) as (made, door, asking, away):
            away |= {"n1", "n2"}
            assert await asking.check_status("warm", **terms_of(0, 3)) == 200  # connected
            process = made[0].process
            assert process is not None
            os.kill(process.pid, signal.SIGSTOP)
            away.clear()
            away |= {"n1", "n2"}
            call = asyncio.create_task(asking.check_status("q1", timeout=1.5 if resumes else 0.6, **terms_of(0, 3)))
            while not door._router._members["n0"].open:
                await asyncio.sleep(0.005)
            away.clear()  # the others could be asked, and must not be
            if resumes:
                while door._router._members["n0"].failures == 0:
                    await asyncio.sleep(0.005)  # the first try has run out: its fate is not known
                os.kill(process.pid, signal.SIGCONT)
                assert await call == 200
                assert door._where["q1"] == "n0"
            else:
                assert await call == "DEADLINE_EXCEEDED"
                os.kill(process.pid, signal.SIGCONT)
            for program in made[1:]:
                assert await program.count() == 0  # no question came to them

    run(test(), within=60.0)


@pytest.mark.parametrize(
    ("changes", "message"),
    [
        ({"limiter": []}, "no .*authz.limiter"),
        ({"limiter": [{"name": "n0", "number": 0, "address": "a"}] * 2}, "stands there once"),
        ({"dor": 1}, "unknown field"),
        ({"door": {"listen": "x", "askers": [{"accounts": ["*"]}]}}, "is not an address"),
    ],
)
def test_a_wrong_part_of_the_agents_file_is_named(changes: dict[str, object], message: str, tmp_path: Path) -> None:
    raw = {
        "door": {"listen": "127.0.0.1:0", "askers": [{"accounts": ["*"]}]},
        "config": "n0.json",
        "limiter": [{"name": "n0", "number": 0, "address": "127.0.0.1:1"}],
        **changes,
    }
    with pytest.raises(AuthzError, match=message):
        RoutingDoor(raw, tmp_path, set, random.Random(1))


def test_the_agents_own_file_switches_the_door_on(tmp_path: Path) -> None:
    """`elderlock agent` with an `[authz]` part, over limiters that it supervises itself."""

    async def test() -> None:
        world = World(tmp_path, limiters=2, boxes=3)
        await world.open()
        doors = [free_address(random_loopback_host(random.SystemRandom())) for _ in range(3)]
        path = world.agent_path(0)
        text = path.read_text() + f'[authz]\nconfig = "n0.json"\n[authz.door]\nlisten = "{doors[2]}"\n'
        text += f'[[authz.door.askers]]\naccounts = ["{ACCOUNT}"]\n'
        for number in range(2):
            text += f'[[authz.limiter]]\nname = "n{number}"\nnumber = {number}\naddress = "{doors[number]}"\n'
            text = text.replace(
                f'config = "n{number}.json"\ndir', f'config = "n{number}.json"\nauthz = "authz-{number}.toml"\ndir'
            )
            (tmp_path / f"authz-{number}.toml").write_text(
                f'[authz]\nlisten = "{doors[number]}"\n[[authz.askers]]\naccounts = ["*"]\n'
            )
        path.write_text(text)
        command = [sys.executable, "-B", "-m", "elderlock.cli.main", "agent"]
        checked = await spawn(*command, "--check", str(path), cwd=ROOT)
        assert await checked.wait() == 0
        agent = await spawn(
            *command,
            str(path),
            cwd=ROOT,
            env={**os.environ, guard.MARK: "test-authz-agent"},
            stderr=asyncio.subprocess.DEVNULL,
        )
        try:
            asking = GatewayClient.at(doors[2])
            while await asking.check_status("warm", **terms_of(0, 2)) != 200:
                await asyncio.sleep(0.05)
            group = Group.read(world.group_path)
            # one limiter's answer says nothing of the other's start: a drain of the only one that serves is refused
            while len((await observe_group(group)).serving()) < 2:
                await asyncio.sleep(0.05)
            order = Order("limiter", ("n0",), True, give_up_after=20.0)
            assert (await carry_out(group, order, lambda *_: None)).exit is Exit.DONE
            drained = GatewayClient.at(doors[0])
            for n in range(10):
                assert await asking.check_status(f"q{n}", **terms_of(0, 2)) in (200, 429)
            assert await drained.report("q0", account=ACCOUNT) is False  # n0 was asked nothing since
            group.close()
            for each in (asking, drained):
                await each.channel.close()
        finally:
            agent.terminate()
            await agent.wait()
            guard.sweep("test-authz-agent", tmp_path / "none", orderly=0.0)
            await world.close()

    run(test(), within=60.0)
