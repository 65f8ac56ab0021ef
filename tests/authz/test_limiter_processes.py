"""Tests the authorisation server in limiter processes: configuration, TLS reload, drains, and a shared hard ceiling."""

import asyncio
import signal
from pathlib import Path

import grpc
import pytest
from envoy.service.auth.v3 import external_auth_pb2_grpc as auth_grpc
from grpc_health.v1 import health_pb2, health_pb2_grpc

from elderlock.control.records import Record
from elderlock.standins.certificates import write_certificates
from elderlock.standins.gateways import GatewayClient, headers
from elderlock.standins.programs import ACCOUNT, ENTERPRISE, Program, programs, terms_of
from elderlock.standins.settings import terms
from elderlock.standins.waiting import run, unix_ms, until
from elderlock.standins.world import World


def test_a_limiter_serves_grpc_and_resp2_and_shuts_down_cleanly(tmp_path: Path) -> None:
    async def test() -> None:
        async with programs(tmp_path) as (program,):
            caller, client = program.asking(), await program.client()
            assert await caller.check_status("q1", **terms_of(0, 1)) == 200
            answer = await client.ask("q2", t="enterprise")
            assert isinstance(answer, bytes) and b"request=q2" in answer
            assert "open" in str(await client.ask("q1", t="enterprise"))
            assert program.process is not None
            program.process.send_signal(signal.SIGTERM)
            assert await program.process.wait() == 0
            await caller.channel.close()

    run(test(), within=60.0)


def test_an_invalid_configuration_stops_the_start_with_one_line(tmp_path: Path) -> None:
    async def test() -> None:
        world = World(tmp_path, 1, 1)
        await world.open()
        program = Program(world, 0, False)
        program.operators.write_text('[authz]\nlisten = "10.0.0.1:1"\n[[authz.askers]]\naccounts = ["*"]\n')
        await program.start()
        assert program.process is not None
        _, error = await program.process.communicate()
        assert program.process.returncode == 2
        assert (
            error.decode()
            .splitlines()[-1]
            .endswith("an address off loopback needs [authz.tls] with a ca for its callers")
        )
        await world.close()

    run(test(), within=60.0)


def test_a_drained_limiter_fails_health_checks_and_still_answers(tmp_path: Path) -> None:
    async def test() -> None:
        async with programs(tmp_path) as (program,):
            caller = program.asking()
            health = health_pb2_grpc.HealthStub(caller.channel)

            async def status() -> int:
                return int((await health.Check(health_pb2.HealthCheckRequest(), timeout=10)).status)

            assert await status() == health_pb2.HealthCheckResponse.SERVING
            await program.drain(Record("limiter", "n0", True, 1, "o", "an", 0.0))
            while await status() != health_pb2.HealthCheckResponse.NOT_SERVING:
                await asyncio.sleep(0.01)
            assert await caller.check_status("q1", **terms_of(0, 1)) == 200
            await program.drain(Record("limiter", "n0", False, 2, "o2", "an", 0.0))
            while await status() != health_pb2.HealthCheckResponse.SERVING:
                await asyncio.sleep(0.01)
            await caller.channel.close()

    run(test(), within=60.0)


def test_a_drained_server_gets_no_permissions_once_the_drain_is_in_force(tmp_path: Path) -> None:
    async def test() -> None:
        async with programs(tmp_path) as (program,):
            caller = program.asking()
            await program.drain(Record("box", "s-00", True, 1, "o", "an", 0.0))
            drained_at_ms = unix_ms()
            named_servers = set()
            for n in range(40):
                answer = await caller.check(f"q{n}", **terms_of(0, 1))
                if answer.HasField("ok_response"):
                    named_servers.add(headers(answer)["x-elderlock-box"])
                    await asyncio.sleep(0.01)
            assert named_servers and "s-00" not in named_servers and unix_ms() > drained_at_ms
            await caller.channel.close()

    run(test(), within=60.0)


def test_a_reload_reads_new_certificates_while_connections_are_open(tmp_path: Path) -> None:
    """Open connections stay open. New ones see the new certificate, and only clients of the new authority connect."""

    async def test() -> None:
        async with programs(tmp_path, tls=True) as (program,):
            program_process = program.process
            assert program_process is not None

            def connect() -> GatewayClient:
                def read(name: str) -> bytes:
                    return (tmp_path / name).read_bytes()

                credentials = grpc.ssl_channel_credentials(read("ca.crt"), read("client.key"), read("client.crt"))
                caller = GatewayClient(0)
                options = [("grpc.ssl_target_name_override", "127.0.0.1")]
                caller.channel = grpc.aio.secure_channel(program.address, credentials, options)
                caller.auth = auth_grpc.AuthorizationStub(caller.channel)
                return caller

            before = connect()
            assert await before.check_status("q0", **terms_of(0, 1)) == 200
            write_certificates(tmp_path)  # with a new certificate authority and new keys
            (tmp_path / "server.crt").rename(tmp_path / "good.crt")
            program_process.send_signal(signal.SIGHUP)  # a file is missing, so the old certificate stays in use
            assert await before.check_status("q1", **terms_of(0, 1)) == 200
            (tmp_path / "good.crt").rename(tmp_path / "server.crt")
            program_process.send_signal(signal.SIGHUP)
            after = connect()
            while await after.check_status("q2", **terms_of(0, 1)) != 200:
                await after.channel.close()
                await asyncio.sleep(0.02)
                after = connect()
            assert await before.check_status("q3", **terms_of(0, 1)) == 200
            for caller in (before, after):
                await caller.channel.close()

    run(test(), within=60.0)


UNITS = 4  # of each request


@pytest.mark.parametrize("silent", [False, True], ids=["quota owners answer", "quota owners silent"])
def test_three_limiters_keep_one_hard_ceiling_over_grpc_and_resp2_while_one_is_killed(
    silent: bool, tmp_path: Path
) -> None:
    """Counts the units that servers received over RESP2 and those permitted over gRPC against one token bucket."""

    async def test() -> None:
        async with programs(tmp_path, count=3, boxes=6, plans=[ENTERPRISE]) as limiters:
            if silent:
                for number in range(3):
                    limiters[0].world.network.isolate(number)
            permitted_at_ms: list[float] = []
            served = answered = 0
            stop = asyncio.Event()

            async def send_over_grpc(program: Program, number: int) -> None:
                nonlocal answered
                caller = program.asking()
                n = 0
                while not stop.is_set():
                    n += 1
                    status = await caller.check_status(f"g{number}-{n}", timeout=2.0, **terms_of(0, 3, units=UNITS))
                    answered += status in (200, 429)
                    if status == 200:
                        permitted_at_ms.append(unix_ms())
                        await caller.report_any(f"g{number}-{n}")
                    await asyncio.sleep(0.002)
                await caller.channel.close()

            async def send_over_resp2(program: Program, number: int, lane: int) -> None:
                nonlocal answered, served
                client = await program.client()
                n = 0
                while not stop.is_set():
                    n += 1
                    client.send(
                        "API.READ",
                        ACCOUNT,
                        f"r{number}-{lane}-{n}",
                        terms(t="enterprise", units=UNITS, spread=3, first=0),
                    )
                    answer = await client.answer()
                    if answer is None:
                        return
                    answered += 1
                    served += isinstance(answer, bytes)
                    await asyncio.sleep(0.002)

            started_ms = unix_ms()
            tasks = [asyncio.create_task(send_over_grpc(program, n)) for n, program in enumerate(limiters)]
            tasks += [
                asyncio.create_task(send_over_resp2(p, n, lane)) for n, p in enumerate(limiters) for lane in range(3)
            ]
            await until(lambda: answered > 200)
            assert limiters[2].process is not None
            limiters[2].process.kill()

            def ceiling() -> float:
                elapsed_s = (unix_ms() - started_ms) / 1000.0
                return float(ENTERPRISE["never-over-depth"] + ENTERPRISE["hard-rate"] * (elapsed_s + 0.15))

            # Until the two remaining limiters have answered requests for much more than the ceiling admits, at any speed.
            admitted_before, answered_before = len(permitted_at_ms) + served, answered
            await until(lambda: answered > answered_before + 200 and UNITS * answered > 2.0 * ceiling())
            await until(lambda: len(permitted_at_ms) + served > admitted_before + 5)
            stop.set()
            await asyncio.gather(*tasks, return_exceptions=True)
            sent = {s.request for box in limiters[0].world.boxes.values() for s in box.sent}
            units = UNITS * (len(permitted_at_ms) + len(sent))
            assert units <= ceiling() + ENTERPRISE["hard-slack"], (len(permitted_at_ms), len(sent))

    run(test(), within=90.0)
