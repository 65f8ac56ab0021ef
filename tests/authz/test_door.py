"""The door over real gRPC on loopback, beside RESP2 in the same limiter: hard cases of both doors."""

import asyncio
import contextlib
import json
import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import grpc
import h2.connection
import h2.settings
import pytest
from envoy.extensions.common.ratelimit.v3 import ratelimit_pb2
from envoy.service.auth.v3 import external_auth_pb2 as auth
from envoy.service.ratelimit.v3 import rls_pb2 as rls
from grpc_health.v1 import health_pb2, health_pb2_grpc
from grpc_reflection.v1alpha import reflection_pb2, reflection_pb2_grpc

from elderlock.authz.config import Asker, AuthzFile, Bounds
from elderlock.authz.door import BOX, CHECK, ENDPOINT, LIMIT, LOOKUPS, PERMISSION, Door
from elderlock.authz.v1 import lookups_pb2
from elderlock.standins.gateways import OTHER_CUSTOMER, GatewayClient, headers
from elderlock.standins.local_limiter import Limiter
from elderlock.standins.servers import Server
from elderlock.standins.settings import CUSTOMER, target
from elderlock.standins.waiting import run, until


class Doors:
    """One limiter with both doors, over one box."""

    def __init__(self, limiter: Limiter, door: Door, server: Server, asking: GatewayClient) -> None:
        self.limiter, self.door, self.server, self.asking = limiter, door, server, asking

    @property
    def store(self) -> float:
        """Units that the account is believed to have."""
        account = next(iter(self.limiter.gateway.limiter.quotas.accounts.values()), None)
        return account.shared_units if account is not None else 100.0

    def empty(self) -> bool:
        """Nothing is left in any table."""
        gateway, module = self.limiter.gateway, self.limiter.gateway.limiter
        return (
            not gateway.requests.client_ids
            and not gateway.requests
            and not module.requests
            and module.load_estimator.in_flight == 0
            and not any(server.in_flight for server in module.endpoints.servers.values())
            and len(self.door.questions) == 0
            and self.door.questions.undecided == 0
        )


@asynccontextmanager
async def doors(
    behave: Callable[[list[bytes]], Awaitable[bytes | None]] | None = None, **file: Any
) -> AsyncIterator[Doors]:
    server = await Server(behave).start()
    limiter = await Limiter.start(server)
    door = Door(AuthzFile("127.0.0.1:0", **{"askers": (Asker(("*",)),), **file}), Path("/"), limiter.gateway)
    await door.start()
    asking = GatewayClient(door.port)
    try:
        yield Doors(limiter, door, server, asking)
    finally:
        await asking.channel.close()
        await door.stop()
        await server.close()


def hold(here: Doors) -> list[Any]:
    """From now on the module hears nothing: what is asked stays undecided until `release`."""
    held: list[Any] = []
    handle = here.limiter.gateway._limiter.handle

    def waits(event: Any, now_ms: float) -> list[Any]:
        if type(event).__name__ in ("RequestArrived", "PermitRequested"):
            held.append(event)
            return []
        return handle(event, now_ms)

    here.limiter.gateway._limiter.handle = waits  # type: ignore[method-assign]
    return held


def release(here: Doors, held: list[Any]) -> None:
    gateway = here.limiter.gateway
    del gateway._limiter.handle
    for event in held:
        gateway._submit(event)


def test_a_permission_names_the_box_and_takes_its_units_once() -> None:
    async def test() -> None:
        async with doors() as here:
            answer = await here.asking.check("q1", units=3)
            found = headers(answer)
            assert (found[BOX], found[ENDPOINT], found[PERMISSION]) == ("s-0", here.server.endpoint, "q1")
            assert answer.status.code == 0 and 96.5 < here.store < 97.5
            again = await here.asking.check("q1", units=3)  # a retry after a lost answer
            assert headers(again)[BOX] == "s-0" and here.store < 97.5
            assert here.server.commands == []  # the asker sends it on
            assert await here.asking.report("q1", load_report="queue=7")
            assert not await here.asking.report("q1")  # one report counts
            assert here.empty()

    run(test())


def test_an_unreported_permission_ends_by_its_deadline() -> None:
    async def test() -> None:
        async with doors() as here:
            assert await here.asking.check_status("q1", deadline_ms=150) == 200
            assert not here.empty()
            await until(here.empty)
            assert await here.asking.check_status("q1", deadline_ms=150) == 200  # its life is over: a new question

    run(test())


def test_what_was_not_sent_on_is_given_back() -> None:
    async def test() -> None:
        async with doors() as here:
            await here.asking.check("q1", units=4)
            assert here.store < 97.0
            assert await here.asking.report("q1", lookups_pb2.OUTCOME_NOT_SENT)
            assert here.store > 99.0 and here.empty()

    run(test())


def test_a_refusal_says_when_to_come_back() -> None:
    async def test() -> None:
        async with doors() as here:
            assert await here.asking.check_status("q1", plan="tiny") == 200
            answer = await here.asking.check("q2", plan="tiny")
            found, body = headers(answer), json.loads(answer.denied_response.body)
            assert answer.denied_response.status.code == 429 and answer.status.code == 8
            assert found["retry-after"] == "1" and body["retry_after_ms"] >= 1
            assert found["ratelimit"] == '"tiny";r=0;t=1' and found["ratelimit-policy"].startswith('"tiny";q=1;w=')

    run(test())


@pytest.mark.parametrize("state", ["undecided", "permitted", "refused", "cancelled", "expired"])
def test_a_retry_on_resp2_after_a_first_try_over_grpc(state: str) -> None:
    """The same account under a new id is a try of its own; under the same id it is refused while the first
    is open, and the first is unharmed."""

    async def test() -> None:
        async with doors() as here:
            client = await here.limiter.client()
            held = hold(here) if state in ("undecided", "cancelled") else []
            plan: dict[str, Any] = {"plan": "tiny", "account": OTHER_CUSTOMER} if state == "refused" else {}
            if state == "refused":
                await here.asking.check("q0", **plan)
            first = asyncio.create_task(
                here.asking.check_status("q1", deadline_ms=200 if state == "expired" else 2000, **plan)
            )
            if state in ("undecided", "cancelled"):
                await until(lambda: len(held) == 1)
            if state == "undecided":
                assert "open" in str(await client.ask("q1"))
                release(here, held)
                assert await first == 200
                assert await here.asking.report("q1")
            elif state == "cancelled":
                first.cancel()
                await until(here.empty)
                release(here, [])
            else:
                assert await first == (429 if state == "refused" else 200)
            if state == "permitted":
                assert "open" in str(await client.ask("q1"))
                assert await here.asking.report("q1")
            if state == "expired":
                await until(here.empty)
            before = len(here.server.commands)
            assert await client.ask("q1") == b"value"  # its life is over on every way
            assert await client.ask("q2", r=1) == b"value"
            assert len(here.server.commands) == before + 2

    run(test())


@pytest.mark.parametrize("answer", ["open", "served"])
def test_a_retry_over_grpc_after_a_first_try_on_resp2(answer: str) -> None:
    async def test() -> None:
        go = asyncio.Event()

        async def behave(command: list[bytes]) -> bytes | None:
            await go.wait()
            return b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n"

        async with doors(behave) as here:
            client = await here.limiter.client()
            client.read("q1")
            await until(lambda: len(here.server.commands) == 1)
            if answer == "open":
                assert await here.asking.check_status("q1") == 409
                assert await here.asking.check_status("q2") == 200
            go.set()
            assert await client.answer() == b"value"  # the first is unharmed
            assert await here.asking.check_status("q1") == 200

    run(test())


def test_a_callers_deadline_runs_out_while_nothing_is_decided() -> None:
    """One answer in time, no units taken, nothing left behind."""

    async def test() -> None:
        async with doors() as here:
            hold(here)
            assert await here.asking.check_status("q1", timeout=0.2) == "DEADLINE_EXCEEDED"
            assert await here.asking.check_status("q2", timeout=None, deadline_ms=100) == "DEADLINE_EXCEEDED"
            await until(here.empty)
            assert here.store == 100.0

    run(test())


def test_a_caller_that_cancels_before_the_decision_takes_nothing_and_one_of_two_leaves_the_other() -> None:
    async def test() -> None:
        async with doors() as here:
            held = hold(here)
            one = here.asking.auth.Check(here.asking.check_request("q1"))
            two = here.asking.auth.Check(here.asking.check_request("q1"))
            await until(lambda: len(here.door.questions) == 1 and here.door.questions.asked == 2)
            one.cancel()
            await until(lambda: one.done())
            release(here, held)
            assert (await two).HasField("ok_response")
            assert await here.asking.report("q1")
            held = hold(here)
            gone = here.asking.auth.Check(here.asking.check_request("q2"))
            await until(lambda: len(held) == 1)
            gone.cancel()
            await until(here.empty)
            assert here.store > 98.5

    run(test())


def test_a_connection_that_breaks_after_the_answer_leaves_the_permission_to_its_deadline() -> None:
    async def test() -> None:
        async with doors() as here:
            other = GatewayClient(here.door.port)
            assert await other.check_status("q1", deadline_ms=300) == 200
            await other.channel.close()
            assert (
                await here.asking.check_status("q1", deadline_ms=300) == 200
            )  # asked again elsewhere: the same answer
            assert here.store > 98.5
            await until(here.empty)

    run(test())


def test_a_drained_box_is_named_no_more_and_no_box_is_a_refusal() -> None:
    async def test() -> None:
        async with doors() as here:
            here.limiter.tell(target("s-0", here.server.endpoint, state="draining"))
            assert await here.asking.check_status("q1", deadline_ms=400) == 429
            here.limiter.tell(target("s-0", here.server.endpoint))
            assert await here.asking.check_status("q2") == 200

    run(test())


@pytest.mark.parametrize(
    ("changes", "status"),
    [
        ({"plan": "gold"}, 400),
        ({"units": 0}, 400),
        ({"units": -1}, 400),
        ({"units": "NaN"}, 400),
        ({"units": 5}, 400),
        ({"account": "0" * 15}, 400),
        ({"request": None}, 400),
        ({"account": "0000000000000007"}, 403),
    ],
)
def test_what_cannot_be_taken_is_denied_and_takes_nothing(changes: dict[str, Any], status: int) -> None:
    async def test() -> None:
        async with doors(askers=(Asker((CUSTOMER,)),)) as here:
            assert await here.asking.check_status("q1", **changes) == status
            assert here.empty() and not here.limiter.gateway.limiter.quotas.accounts

    run(test())


def test_headers_of_a_megabyte_are_turned_away_and_the_door_stays_open() -> None:
    async def test() -> None:
        async with doors() as here:
            with pytest.raises(grpc.aio.AioRpcError) as raised:
                await here.asking.auth.Check(
                    here.asking.check_request("q1"), metadata=(("x-big", "x" * (1 << 20)),), timeout=10
                )
            assert raised.value.code() in (grpc.StatusCode.RESOURCE_EXHAUSTED, grpc.StatusCode.UNAVAILABLE)
            big = here.asking.check_request("q2")
            big.attributes.request.http.headers["x"] = "x" * (1 << 17)
            with pytest.raises(grpc.aio.AioRpcError) as raised:
                await here.asking.auth.Check(big, timeout=10)
            assert raised.value.code() is grpc.StatusCode.RESOURCE_EXHAUSTED
            assert await GatewayClient(here.door.port).check_status("q3") == 200

    run(test())


@pytest.mark.parametrize(
    "first",
    [
        b"GET / HTTP/1.1\r\nHost: x\r\n\r\n",
        b"\xff" * 65536,
        b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + b"\x00\x00\xff\x09\x09" * 99,
        b"",
    ],
    ids=["http/1", "noise", "bad frames", "silence"],
)
def test_garbage_in_place_of_a_preface_harms_nobody(first: bytes) -> None:
    async def test() -> None:
        async with doors() as here:
            sock = socket.create_connection(("127.0.0.1", here.door.port))
            sock.sendall(first)
            assert await here.asking.check_status("q1") == 200
            client = await here.limiter.client()
            assert await client.ask("q2") == b"value"
            sock.close()

    run(test())


@pytest.mark.alone
def test_ten_thousand_streams_at_once_get_one_answer_each_within_the_bounds() -> None:
    """No more than the bound are undecided; the others are turned away at once, and nobody waits for ever."""

    async def test() -> None:
        bounds = Bounds(questions=50, streams=10_000)
        # a question waits longer than any machine takes to ask them all: one that ended by its time would make room
        # for the next fifty, and how many end so would say how fast the machine is
        async with doors(bounds=bounds, longest_ms=110_000.0) as here:
            held = hold(here)
            calls = [asyncio.create_task(here.asking.check_status(f"q{n}", timeout=110.0)) for n in range(10_000)]
            await until(lambda: sum(call.done() for call in calls) >= 10_000 - 50)
            assert len(held) == here.door.questions.undecided == 50
            release(here, held)
            words = await asyncio.gather(*calls)
            # what grpc itself turns away beyond its bound of calls ends as cancelled
            assert set(words) <= {200, 429, "RESOURCE_EXHAUSTED", "CANCELLED"}
            assert words.count(200) + words.count(429) == 50
            for name in [f"q{n}" for n, word in enumerate(words) if word == 200]:
                assert await here.asking.report(name)
            await until(here.empty)
            client = await here.limiter.client()
            assert await client.ask("after") == b"value"

    run(test(), within=120.0)


def test_a_client_that_never_reads_keeps_nobody_else_waiting() -> None:
    """An HTTP/2 client that opens no window for answers: its questions end by their deadlines."""

    async def test() -> None:
        async with doors() as here:
            _, writer = await asyncio.open_connection("127.0.0.1", here.door.port)
            connection = h2.connection.H2Connection()
            connection.initiate_connection()
            connection.update_settings({h2.settings.SettingCodes.INITIAL_WINDOW_SIZE: 0})
            for n in range(200):
                body = here.asking.check_request(f"q{n}", deadline_ms=300).SerializeToString()
                stream = connection.get_next_available_stream_id()
                connection.send_headers(
                    stream,
                    [
                        (":method", "POST"),
                        (":scheme", "http"),
                        (":path", f"/{CHECK}/Check"),
                        (":authority", "x"),
                        ("content-type", "application/grpc"),
                        ("te", "trailers"),
                    ],
                )
                connection.send_data(stream, b"\x00" + len(body).to_bytes(4, "big") + body, end_stream=True)
            writer.write(connection.data_to_send())
            await until(lambda: here.door.questions.asked > 0)
            assert await here.asking.check_status("mine") in (200, 429)
            await until(here.empty)
            client = await here.limiter.client()
            assert await client.ask("after") == b"value"
            writer.transport.abort()

    run(test(), within=60.0)


def test_a_field_that_we_do_not_know_is_passed_over_and_an_empty_question_denied() -> None:
    async def test() -> None:
        async with doors() as here:
            call = here.asking.channel.unary_unary(
                f"/{CHECK}/Check", response_deserializer=auth.CheckResponse.FromString
            )
            unknown = b"\xfa\x3e\x05hello"  # field 1007, five bytes
            answer = await call(here.asking.check_request("q1").SerializeToString() + unknown, timeout=10)
            assert answer.HasField("ok_response")
            assert (await call(b"", timeout=10)).denied_response.status.code == 400
            with pytest.raises(grpc.aio.AioRpcError):
                await call(b"\xff\xff", timeout=10)
            assert await here.asking.check_status("q2") == 200

    run(test())


def test_a_crowd_of_connections_is_bounded_and_harms_none_that_is_open() -> None:
    """Those beyond the bound are closed; those that never speak are, once their time is up."""

    async def test() -> None:
        async with doors(bounds=Bounds(connections=4, handshake=0.3)) as here:
            assert await here.asking.check_status("q1") == 200
            crowd = [socket.create_connection(("127.0.0.1", here.door.port)) for _ in range(100)]
            assert await here.asking.check_status("q2") == 200
            for sock in crowd:
                sock.settimeout(20.0)
                with contextlib.suppress(ConnectionError):
                    while await asyncio.to_thread(sock.recv, 4096):
                        pass  # an end, whatever it said before
                sock.close()
            other = GatewayClient(here.door.port)  # there is room again
            assert await other.check_status("q3") == 200
            await other.channel.close()

    run(test(), within=60.0)


def test_rapid_reset_leaves_no_question_behind() -> None:
    async def test() -> None:
        async with doors() as here:
            hold(here)
            for n in range(300):
                call = here.asking.auth.Check(here.asking.check_request(f"q{n}"))
                await asyncio.sleep(0)
                call.cancel()
            await until(here.empty)
            assert here.store == 100.0

    run(test())


# Rate limit questions


def descriptor(units: int | None = None, **changes: Any) -> ratelimit_pb2.RateLimitDescriptor:
    made = ratelimit_pb2.RateLimitDescriptor()
    values = {"account": CUSTOMER, "plan": "team", "class": "lookup", "spread": 1, "first": 0, **changes}
    for key, value in values.items():
        made.entries.add(key=key, value=str(value))
    if units is not None:
        made.hits_addend.value = units
    return made


def test_several_descriptors_are_permitted_together_or_not_at_all() -> None:
    async def test() -> None:
        async with doors() as here:
            ok = rls.RateLimitRequest(
                domain="d", descriptors=[descriptor(), descriptor(2, account=OTHER_CUSTOMER)], hits_addend=3
            )
            answer = await here.asking.rls.ShouldRateLimit(ok, timeout=10)
            assert answer.overall_code == rls.RateLimitResponse.OK and len(answer.statuses) == 2
            stores = sorted(round(a.shared_units) for a in here.limiter.gateway.limiter.quotas.accounts.values())
            assert stores == [97, 98]
            assert {h.key for h in answer.request_headers_to_add} >= {BOX, PERMISSION}
            await until(here.empty)
            tiny = descriptor(account="000000000000000a", plan="tiny")
            await here.asking.rls.ShouldRateLimit(rls.RateLimitRequest(domain="d", descriptors=[tiny]), timeout=10)
            before = {a.key: a.shared_units for a in here.limiter.gateway.limiter.quotas.accounts.values()}
            mixed = rls.RateLimitRequest(domain="d", descriptors=[descriptor(4), tiny])
            over = await here.asking.rls.ShouldRateLimit(mixed, timeout=10)
            assert over.overall_code == rls.RateLimitResponse.OVER_LIMIT
            assert [s.code for s in over.statuses] == [rls.RateLimitResponse.OK, rls.RateLimitResponse.OVER_LIMIT]
            assert over.statuses[1].current_limit.requests_per_unit == 1
            after = {a.key: a.shared_units for a in here.limiter.gateway.limiter.quotas.accounts.values()}
            assert all(after[key] >= before[key] - 1e-6 for key in before)  # what the first took was given back
            assert {h.key for h in over.response_headers_to_add} == {"retry-after", "ratelimit", "ratelimit-policy"}

    run(test())


def test_a_rate_limit_question_that_cannot_be_read_is_an_error() -> None:
    async def test() -> None:
        async with doors(askers=(Asker((CUSTOMER,)),)) as here:
            for request, code in (
                (rls.RateLimitRequest(domain="d"), grpc.StatusCode.INVALID_ARGUMENT),
                (rls.RateLimitRequest(descriptors=[descriptor(plan="gold")]), grpc.StatusCode.INVALID_ARGUMENT),
                (
                    rls.RateLimitRequest(descriptors=[descriptor(account=OTHER_CUSTOMER)]),
                    grpc.StatusCode.PERMISSION_DENIED,
                ),
            ):
                with pytest.raises(grpc.aio.AioRpcError) as raised:
                    await here.asking.rls.ShouldRateLimit(request, timeout=10)
                assert raised.value.code() is code
            assert here.empty()

    run(test())


def test_a_report_is_checked() -> None:
    async def test() -> None:
        async with doors(askers=(Asker((CUSTOMER,)),)) as here:
            await here.asking.check("q1")
            for changes, code in (
                ({"outcome": 0}, grpc.StatusCode.INVALID_ARGUMENT),
                ({"outcome": 99}, grpc.StatusCode.INVALID_ARGUMENT),
                ({"took_ms": float("nan")}, grpc.StatusCode.INVALID_ARGUMENT),
                ({"account": OTHER_CUSTOMER}, grpc.StatusCode.PERMISSION_DENIED),
            ):
                with pytest.raises(grpc.aio.AioRpcError) as raised:
                    await here.asking.report("q1", **changes)
                assert raised.value.code() is code
            assert await here.asking.report("q1")

    run(test())


def test_health_and_reflection_speak_and_the_end_is_orderly() -> None:
    async def test() -> None:
        async with doors() as here:
            stub = health_pb2_grpc.HealthStub(here.asking.channel)
            for service in ("", CHECK, LIMIT):
                answer = await stub.Check(health_pb2.HealthCheckRequest(service=service), timeout=10)
                assert answer.status == health_pb2.HealthCheckResponse.SERVING
            listing = reflection_pb2.ServerReflectionRequest(list_services="")
            reflect = reflection_pb2_grpc.ServerReflectionStub(here.asking.channel)
            found: set[str] = set()
            async for response in reflect.ServerReflectionInfo(iter([listing])):
                found |= {service.name for service in response.list_services_response.service}
            assert found >= {CHECK, LIMIT, LOOKUPS}
            held = hold(here)
            open_one = asyncio.create_task(here.asking.check_status("q1"))
            await until(lambda: len(held) == 1)
            stopping = asyncio.create_task(here.door.stop())
            await asyncio.sleep(0.05)
            release(here, held)
            assert await open_one == 200  # what was open is answered
            await stopping

    run(test())


def test_the_generated_code_is_of_the_proto_that_stands_beside_it(tmp_path: Path) -> None:
    from grpc_tools import protoc

    root = Path(__file__).parent.parent.parent
    name = "elderlock/authz/v1/lookups"
    assert (
        protoc.main(
            ["protoc", f"-I{root}", f"--python_out={tmp_path}", f"--grpc_python_out={tmp_path}", f"{root}/{name}.proto"]
        )
        == 0
    )
    for suffix in ("_pb2.py", "_pb2_grpc.py"):
        assert (tmp_path / (name + suffix)).read_text() == (root / (name + suffix)).read_text()
