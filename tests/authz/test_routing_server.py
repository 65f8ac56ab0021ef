"""Tests the agent's authorisation server: which limiter gets a request, and when a retry may go to another one."""

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
from elderlock.authz.limiter_selection import (
    BASE_EJECTION_MS,
    EJECT_AFTER_FAILURES,
    MAXIMUM_EJECTED_SHARE,
    AttemptResult,
    LimiterSelector,
    NextStep,
    next_step,
)
from elderlock.authz.routing_server import RoutingServer
from elderlock.fleet.client.commands import observe_group
from elderlock.fleet.client.drain_commands import Order, carry_out
from elderlock.fleet.client.group_client import Group
from elderlock.fleet.client.report import Exit
from elderlock.spawning import spawn
from elderlock.standins.certificates import write_certificates
from elderlock.standins.gateways import GatewayClient, headers, lookups_report
from elderlock.standins.programs import ACCOUNT, Program, programs, terms_of
from elderlock.standins.waiting import run
from elderlock.standins.world import ROOT, World, free_address, random_loopback_host
from elderlock.trial import guard

NUMBERS = {f"n{n}": n for n in range(5)}


def make_selector() -> LimiterSelector:
    return LimiterSelector(NUMBERS, random.Random(1))


def test_only_limiters_of_the_accounts_set_are_chosen() -> None:
    selector = make_selector()
    assert selector.members(3, 3) == ["n3", "n4", "n0"]
    assert {selector.choose(3, 3, NUMBERS, (), 0.0) for _ in range(50)} == {"n3", "n4", "n0"}
    assert selector.choose(3, 3, {"n1", "n2"}, (), 0.0) is None
    assert {selector.choose(3, 3, NUMBERS, ("n3", "n4"), 0.0) for _ in range(9)} == {"n0"}


def test_the_less_loaded_of_two_limiters_is_chosen() -> None:
    selector = make_selector()
    for _ in range(3):
        selector.attempt_started("n0")
    assert {selector.choose(2, 0, NUMBERS, (), 0.0) for _ in range(20)} == {"n1"}


def test_consecutive_failures_eject_for_longer_each_time_until_an_answer() -> None:
    selector = make_selector()

    def fail(now: float) -> None:
        for _ in range(EJECT_AFTER_FAILURES):
            selector.attempt_started("n0")
            selector.attempt_ended("n0", AttemptResult.NOT_SENT, now)

    fail(0.0)
    assert selector.ejected_limiters(0.0) == ["n0"] and selector.choose(1, 0, NUMBERS, (), BASE_EJECTION_MS - 1) is None
    assert selector.choose(1, 0, NUMBERS, (), BASE_EJECTION_MS) == "n0"
    fail(BASE_EJECTION_MS)
    assert selector.ejected_limiters(BASE_EJECTION_MS + 2 * BASE_EJECTION_MS - 1) == ["n0"]
    selector.attempt_started("n0")
    selector.attempt_ended("n0", AttemptResult.ANSWERED, 9e5)
    fail(1e6)
    assert selector.ejected_limiters(1e6 + BASE_EJECTION_MS) == []


@settings(max_examples=100, deadline=None)
@given(
    st.lists(
        st.tuples(st.sampled_from(list(NUMBERS)), st.sampled_from(list(AttemptResult)), st.floats(0.0, 300.0)),
        max_size=80,
    )
)
def test_the_ejected_share_is_capped_and_attempts_in_flight_are_counted(
    events: list[tuple[str, AttemptResult, float]],
) -> None:
    selector, now = make_selector(), 0.0
    for name, result, wait in events:
        now += wait
        selector.attempt_started(name)
        selector.attempt_ended(name, result, now)
        assert len(selector.ejected_limiters(now)) <= MAXIMUM_EJECTED_SHARE * len(NUMBERS)
    assert all(member.open == 0 for member in selector._members.values())


@given(
    st.lists(
        st.sampled_from([result for result in AttemptResult if result is not AttemptResult.ANSWERED]),
        min_size=1,
        max_size=6,
    ),
    st.booleans(),
    st.floats(-10.0, 900.0),
)
def test_after_an_unknown_result_no_other_limiter_is_tried(
    results: list[AttemptResult], fetchable: bool, remaining_ms: float
) -> None:
    step = next_step(results, fetchable, remaining_ms)
    if step is NextStep.OTHER_LIMITER:
        assert results[-1] is AttemptResult.LIMITER_DIED or AttemptResult.UNKNOWN not in results
    if step is NextStep.SAME_LIMITER:
        assert fetchable and results[-1] is AttemptResult.UNKNOWN
    if remaining_ms <= 0:
        assert step is NextStep.GIVE_UP


@asynccontextmanager
async def routing_server(folder: Path) -> AsyncIterator[tuple[list[Program], RoutingServer, GatewayClient, set[str]]]:
    """Run three limiters behind a routing server; yield them, the server, a caller, and a set of unusable limiters."""
    async with programs(folder, count=3) as limiters:
        unusable: set[str] = set()

        def usable(names: Iterable[str]) -> set[str]:
            return set(names) - unusable

        raw = {
            "door": {"listen": "127.0.0.1:0", "askers": [{"accounts": [ACCOUNT]}]},
            "config": "n0.json",
            "limiter": [{"name": f"n{p.number}", "number": p.number, "address": p.address} for p in limiters],
        }
        server = RoutingServer(raw, folder, usable, random.Random(1))
        await server.start()
        caller = GatewayClient(server.port)
        try:
            yield limiters, server, caller, unusable
        finally:
            await caller.channel.close()
            await server.stop()


def test_requests_reports_and_refusals_are_routed(tmp_path: Path) -> None:
    async def test() -> None:
        async with routing_server(tmp_path) as (_, _, caller, _):
            answer = await caller.check("q1", **terms_of(0, 3))
            assert headers(answer)["x-elderlock-permission"] == "q1"
            assert await caller.report("q1", account=ACCOUNT)
            assert not await caller.report("q1", account=ACCOUNT)
            assert await caller.check_status("q2", **terms_of(0, 3, account="00000000000000ab")) == 403
            assert await caller.check_status("q3", **terms_of(0, 3, plan="gold")) == 400
            descriptor = ratelimit_pb2.RateLimitDescriptor()
            for key, value in terms_of(0, 3, **{"class": "lookup"}).items():
                descriptor.entries.add(key=key, value=str(value))
            request = rls.RateLimitRequest(domain="d", descriptors=[descriptor])
            limited = await caller.rls.ShouldRateLimit(request, timeout=10)
            assert limited.overall_code == rls.RateLimitResponse.OK
            (permission,) = (
                header.value for header in limited.request_headers_to_add if header.key == "x-elderlock-permission"
            )
            await lookups_report(caller.channel, permission)

    run(test(), within=60.0)


def test_a_drained_limiter_gets_no_requests_and_without_limiters_the_request_fails_at_once(tmp_path: Path) -> None:
    async def test() -> None:
        async with routing_server(tmp_path) as (limiters, _, caller, unusable):
            unusable.add("n0")
            for n in range(12):
                assert await caller.check_status(f"q{n}", **terms_of(0, 3)) in (200, 429)
            counts = [await program.count() for program in limiters]
            assert counts[0] == 0 and counts[1] and counts[2] and sum(counts) == 12
            unusable |= {"n1", "n2"}
            assert await caller.check_status("q99", **terms_of(0, 3)) == "UNAVAILABLE"

    run(test(), within=60.0)


def test_every_request_is_answered_while_two_of_three_limiters_die(tmp_path: Path) -> None:
    """Each request gets one answer in time, and at least 95 of 100 are decisions and not errors."""

    async def test() -> None:
        async with routing_server(tmp_path) as (limiters, _, caller, _):
            statuses: list[int | str] = []

            async def send(lane: int) -> None:
                for n in range(25):
                    statuses.append(await caller.check_status(f"q{lane}-{n}", timeout=2.0, **terms_of(0, 3)))
                    with contextlib.suppress(grpc.aio.AioRpcError):  # the limiter that permitted it may be dead
                        await lookups_report(caller.channel, f"q{lane}-{n}")
                    if lane == 0 and n in (5, 10):
                        process = limiters[n // 5].process
                        assert process is not None
                        process.kill()

            await asyncio.gather(*(send(lane) for lane in range(4)))
            assert len(statuses) == 100
            assert sum(status in (200, 429) for status in statuses) >= 95, statuses

    run(test(), within=60.0)


def test_connections_from_callers_and_to_limiters_use_tls(tmp_path: Path) -> None:
    async def test() -> None:
        async with programs(tmp_path, tls=True) as (program,):
            client_files = {"certificate": "client.crt", "key": "client.key", "ca": "ca.crt"}
            server_files = {"certificate": "server.crt", "key": "server.key", "ca": "ca.crt"}
            raw = {
                "door": {
                    "listen": "127.0.0.1:0",
                    "tls": server_files,
                    "askers": [{"accounts": ["*"], "subject": "client"}],
                },
                "config": "n0.json",
                "to_limiters": client_files,
                "limiter": [{"name": "n0", "number": 0, "address": program.address}],
            }
            server = RoutingServer(raw, tmp_path, set, random.Random(1))
            await server.start()

            def read(name: str) -> bytes:
                return (tmp_path / name).read_bytes()

            def connect() -> GatewayClient:
                credentials = grpc.ssl_channel_credentials(read("ca.crt"), read("client.key"), read("client.crt"))
                caller = GatewayClient(server.port)
                caller.channel = grpc.aio.secure_channel(f"127.0.0.1:{server.port}", credentials)
                caller.auth = auth_grpc.AuthorizationStub(caller.channel)
                return caller

            trusted, without_tls = connect(), GatewayClient(server.port)
            assert await trusted.check_status("q1", **terms_of(0, 1)) == 200
            assert await without_tls.check_status("q2", timeout=2.0, **terms_of(0, 1)) == "UNAVAILABLE"
            write_certificates(tmp_path)
            server.reload()
            reconnected = connect()
            assert (
                await reconnected.check_status("q3", **terms_of(0, 1)) == 200
            )  # the channel to the limiter stays open
            for caller in (trusted, without_tls, reconnected):
                await caller.channel.close()
            await server.stop()

    run(test(), within=60.0)


@pytest.mark.parametrize("resumes", [True, False])
def test_a_retry_goes_to_the_silent_limiter_and_to_no_other(resumes: bool, tmp_path: Path) -> None:
    async def test() -> None:
        async with routing_server(tmp_path) as (limiters, server, caller, unusable):
            unusable |= {"n1", "n2"}
            assert await caller.check_status("warm", **terms_of(0, 3)) == 200  # connected
            process = limiters[0].process
            assert process is not None
            os.kill(process.pid, signal.SIGSTOP)
            unusable.clear()
            unusable |= {"n1", "n2"}
            call = asyncio.create_task(caller.check_status("q1", timeout=1.5 if resumes else 0.6, **terms_of(0, 3)))
            while not server._selector._members["n0"].open:
                await asyncio.sleep(0.005)
            unusable.clear()  # the others are usable now and must not get the request
            if resumes:
                while server._selector._members["n0"].failures == 0:
                    await asyncio.sleep(0.005)  # until the first attempt has timed out with an unknown result
                os.kill(process.pid, signal.SIGCONT)
                assert await call == 200
                assert server._limiter_by_permission["q1"] == "n0"
            else:
                assert await call == "DEADLINE_EXCEEDED"
                os.kill(process.pid, signal.SIGCONT)
            for program in limiters[1:]:
                assert await program.count() == 0  # they got no requests

    run(test(), within=60.0)


@pytest.mark.parametrize(
    ("changes", "message"),
    [
        ({"limiter": []}, "no .*authz.limiter"),
        ({"limiter": [{"name": "n0", "number": 0, "address": "a"}] * 2}, "names and numbers must be unique"),
        ({"dor": 1}, "unknown field"),
        ({"door": {"listen": "x", "askers": [{"accounts": ["*"]}]}}, "is not an address"),
    ],
)
def test_an_invalid_value_in_the_agents_file_is_named_in_the_error(
    changes: dict[str, object], message: str, tmp_path: Path
) -> None:
    raw = {
        "door": {"listen": "127.0.0.1:0", "askers": [{"accounts": ["*"]}]},
        "config": "n0.json",
        "limiter": [{"name": "n0", "number": 0, "address": "127.0.0.1:1"}],
        **changes,
    }
    with pytest.raises(AuthzError, match=message):
        RoutingServer(raw, tmp_path, set, random.Random(1))


def test_the_agents_file_enables_the_authorisation_server(tmp_path: Path) -> None:
    """Runs `elderlock agent` with an `[authz]` table and two limiters that it supervises."""

    async def test() -> None:
        world = World(tmp_path, limiters=2, boxes=3)
        await world.open()
        addresses = [free_address(random_loopback_host(random.SystemRandom())) for _ in range(3)]
        path = world.agent_path(0)
        text = path.read_text() + f'[authz]\nconfig = "n0.json"\n[authz.door]\nlisten = "{addresses[2]}"\n'
        text += f'[[authz.door.askers]]\naccounts = ["{ACCOUNT}"]\n'
        for number in range(2):
            text += f'[[authz.limiter]]\nname = "n{number}"\nnumber = {number}\naddress = "{addresses[number]}"\n'
            text = text.replace(
                f'config = "n{number}.json"\ndir', f'config = "n{number}.json"\nauthz = "authz-{number}.toml"\ndir'
            )
            (tmp_path / f"authz-{number}.toml").write_text(
                f'[authz]\nlisten = "{addresses[number]}"\n[[authz.askers]]\naccounts = ["*"]\n'
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
            caller = GatewayClient.at(addresses[2])
            while await caller.check_status("warm", **terms_of(0, 2)) != 200:
                await asyncio.sleep(0.05)
            group = Group.read(world.group_path)
            # Both limiters must serve, because a drain of the last one in service is refused.
            while len((await observe_group(group)).serving()) < 2:
                await asyncio.sleep(0.05)
            order = Order("limiter", ("n0",), True, give_up_after=20.0)
            assert (await carry_out(group, order, lambda *_: None)).exit is Exit.DONE
            drained = GatewayClient.at(addresses[0])
            for n in range(10):
                assert await caller.check_status(f"q{n}", **terms_of(0, 2)) in (200, 429)
            assert await drained.report("q0", account=ACCOUNT) is False  # n0 got no requests after its drain
            group.close()
            for each in (caller, drained):
                await each.channel.close()
        finally:
            agent.terminate()
            await agent.wait()
            guard.sweep("test-authz-agent", tmp_path / "none", grace_s=0.0)
            await world.close()

    run(test(), within=60.0)
