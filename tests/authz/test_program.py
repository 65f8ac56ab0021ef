"""The door in the real program: switched on by the operators' file, TLS read anew, drains, ceilings over limiters."""

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


def test_both_doors_of_the_program_serve_and_it_ends_in_an_orderly_way(tmp_path: Path) -> None:
    async def test() -> None:
        async with programs(tmp_path) as (program,):
            asking, client = program.asking(), await program.client()
            assert await asking.check_status("q1", **terms_of(0, 1)) == 200
            answer = await client.ask("q2", t="enterprise")
            assert isinstance(answer, bytes) and b"request=q2" in answer
            assert "open" in str(await client.ask("q1", t="enterprise"))
            assert program.process is not None
            program.process.send_signal(signal.SIGTERM)
            assert await program.process.wait() == 0
            await asking.channel.close()

    run(test(), within=60.0)


def test_a_wrong_part_ends_the_start_with_one_line(tmp_path: Path) -> None:
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
            .endswith("off loopback the door needs [authz.tls] with a ca for its callers")
        )
        await world.close()

    run(test(), within=60.0)


def test_a_drained_limiter_tells_gateways_to_stay_away_and_still_answers(tmp_path: Path) -> None:
    async def test() -> None:
        async with programs(tmp_path) as (program,):
            asking = program.asking()
            health = health_pb2_grpc.HealthStub(asking.channel)

            async def status() -> int:
                return int((await health.Check(health_pb2.HealthCheckRequest(), timeout=10)).status)

            assert await status() == health_pb2.HealthCheckResponse.SERVING
            await program.drain(Record("limiter", "n0", True, 1, "o", "an", 0.0))
            while await status() != health_pb2.HealthCheckResponse.NOT_SERVING:
                await asyncio.sleep(0.01)
            assert await asking.check_status("q1", **terms_of(0, 1)) == 200
            await program.drain(Record("limiter", "n0", False, 2, "o2", "an", 0.0))
            while await status() != health_pb2.HealthCheckResponse.SERVING:
                await asyncio.sleep(0.01)
            await asking.channel.close()

    run(test(), within=60.0)


def test_permissions_for_a_drained_box_stop_when_the_drain_is_in_force(tmp_path: Path) -> None:
    async def test() -> None:
        async with programs(tmp_path) as (program,):
            asking = program.asking()
            await program.drain(Record("box", "s-00", True, 1, "o", "an", 0.0))
            since = unix_ms()
            named = set()
            for n in range(40):
                answer = await asking.check(f"q{n}", **terms_of(0, 1))
                if answer.HasField("ok_response"):
                    named.add(headers(answer)["x-elderlock-box"])
                    await asyncio.sleep(0.01)
            assert named and "s-00" not in named and unix_ms() > since
            await asking.channel.close()

    run(test(), within=60.0)


def test_certificates_are_read_anew_on_reload_under_load(tmp_path: Path) -> None:
    """Open connections go on; new ones meet the new certificate, and an old authority's client is out."""

    async def test() -> None:
        async with programs(tmp_path, tls=True) as (program,):
            program_process = program.process
            assert program_process is not None

            def connect() -> GatewayClient:
                def read(name: str) -> bytes:
                    return (tmp_path / name).read_bytes()

                credentials = grpc.ssl_channel_credentials(read("ca.crt"), read("client.key"), read("client.crt"))
                asking = GatewayClient(0)
                options = [("grpc.ssl_target_name_override", "127.0.0.1")]
                asking.channel = grpc.aio.secure_channel(program.address, credentials, options)
                asking.auth = auth_grpc.AuthorizationStub(asking.channel)
                return asking

            before = connect()
            assert await before.check_status("q0", **terms_of(0, 1)) == 200
            write_certificates(tmp_path)  # another authority and all new keys
            (tmp_path / "server.crt").rename(tmp_path / "good.crt")
            program_process.send_signal(signal.SIGHUP)  # half of it is missing: nothing changes
            assert await before.check_status("q1", **terms_of(0, 1)) == 200
            (tmp_path / "good.crt").rename(tmp_path / "server.crt")
            program_process.send_signal(signal.SIGHUP)
            after = connect()
            while await after.check_status("q2", **terms_of(0, 1)) != 200:
                await after.channel.close()
                await asyncio.sleep(0.02)
                after = connect()
            assert await before.check_status("q3", **terms_of(0, 1)) == 200
            for asking in (before, after):
                await asking.channel.close()

    run(test(), within=60.0)


UNITS = 4  # of each request


@pytest.mark.parametrize("silent", [False, True], ids=["keepers heard", "keepers silent"])
def test_both_doors_of_three_limiters_keep_one_ceiling_while_one_is_killed(silent: bool, tmp_path: Path) -> None:
    """What boxes got over RESP2 and what was permitted over gRPC, against the one store that refills."""

    async def test() -> None:
        async with programs(tmp_path, count=3, boxes=6, plans=[ENTERPRISE]) as made:
            if silent:
                for number in range(3):
                    made[0].world.network.isolate(number)
            permitted: list[float] = []
            served = asked = 0
            stop = asyncio.Event()

            async def ask_grpc(program: Program, number: int) -> None:
                nonlocal asked
                asking = program.asking()
                n = 0
                while not stop.is_set():
                    n += 1
                    word = await asking.check_status(f"g{number}-{n}", timeout=2.0, **terms_of(0, 3, units=UNITS))
                    asked += word in (200, 429)
                    if word == 200:
                        permitted.append(unix_ms())
                        await asking.report_any(f"g{number}-{n}")
                    await asyncio.sleep(0.002)
                await asking.channel.close()

            async def ask_resp(program: Program, number: int, lane: int) -> None:
                nonlocal asked, served
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
                    asked += 1
                    served += isinstance(answer, bytes)
                    await asyncio.sleep(0.002)

            began = unix_ms()
            tasks = [asyncio.create_task(ask_grpc(program, n)) for n, program in enumerate(made)]
            tasks += [asyncio.create_task(ask_resp(p, n, lane)) for n, p in enumerate(made) for lane in range(3)]
            await until(lambda: asked > 200)
            assert made[2].process is not None
            made[2].process.kill()

            def ceiling() -> float:
                took = (unix_ms() - began) / 1000.0
                return float(ENTERPRISE["never-over-depth"] + ENTERPRISE["hard-rate"] * (took + 0.15))

            # till the two that are left were asked for far more than the ceiling lets go, however fast that is
            let, before = len(permitted) + served, asked
            await until(lambda: asked > before + 200 and UNITS * asked > 2.0 * ceiling())
            await until(lambda: len(permitted) + served > let + 5)
            stop.set()
            await asyncio.gather(*tasks, return_exceptions=True)
            sent = {s.request for box in made[0].world.boxes.values() for s in box.sent}
            units = UNITS * (len(permitted) + len(sent))
            assert units <= ceiling() + ENTERPRISE["hard-slack"], (len(permitted), len(sent))

    run(test(), within=90.0)
