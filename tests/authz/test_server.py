"""Tests the authorisation server over gRPC on loopback, with RESP2 clients at the same limiter."""

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

from elderlock.authz.config import AuthzFile, Caller, ServerLimits
from elderlock.authz.server import (
    AUTHORIZATION_SERVICE,
    ENDPOINT_HEADER,
    LOOKUPS_SERVICE,
    PERMISSION_HEADER,
    RATE_LIMIT_SERVICE,
    SERVER_HEADER,
    AuthzServer,
)
from elderlock.authz.v1 import lookups_pb2
from elderlock.standins.gateways import OTHER_CUSTOMER, GatewayClient, headers
from elderlock.standins.local_limiter import Limiter
from elderlock.standins.servers import Server
from elderlock.standins.settings import CUSTOMER, target
from elderlock.standins.waiting import run, until


class Harness:
    """One limiter that serves RESP2 and gRPC, with one server behind it and one gRPC caller."""

    def __init__(self, limiter: Limiter, authz: AuthzServer, server: Server, caller: GatewayClient) -> None:
        self.limiter, self.authz, self.server, self.caller = limiter, authz, server, caller

    @property
    def units(self) -> float:
        """The units that the limiter believes the account has."""
        account = next(iter(self.limiter.gateway.limiter.quotas.accounts.values()), None)
        return account.shared_units if account is not None else 100.0

    def is_idle(self) -> bool:
        """Return whether no table has an entry of a request."""
        gateway, limiter = self.limiter.gateway, self.limiter.gateway.limiter
        return (
            not len(gateway.requests.ids)
            and not gateway.requests
            and not limiter.requests
            and limiter.load_estimator.in_flight == 0
            and not any(server.in_flight for server in limiter.endpoints.servers.values())
            and len(self.authz.requests) == 0
            and self.authz.requests.pending == 0
        )


@asynccontextmanager
async def running_harness(
    behave: Callable[[list[bytes]], Awaitable[bytes | None]] | None = None, **file: Any
) -> AsyncIterator[Harness]:
    server = await Server(behave).start()
    limiter = await Limiter.start(server)
    authz = AuthzServer(AuthzFile("127.0.0.1:0", **{"callers": (Caller(("*",)),), **file}), Path("/"), limiter.gateway)
    await authz.start()
    caller = GatewayClient(authz.port)
    try:
        yield Harness(limiter, authz, server, caller)
    finally:
        await caller.channel.close()
        await authz.stop()
        await server.close()


def hold_decisions(harness: Harness) -> list[Any]:
    """Keep new requests from the limiter, so that they stay undecided until `release_decisions`."""
    held_events: list[Any] = []
    handle = harness.limiter.gateway._limiter.handle

    def hold_requests(event: Any, now_ms: float) -> list[Any]:
        if type(event).__name__ in ("RequestArrived", "PermitRequested"):
            held_events.append(event)
            return []
        return handle(event, now_ms)

    harness.limiter.gateway._limiter.handle = hold_requests  # type: ignore[method-assign]
    return held_events


def release_decisions(harness: Harness, held_events: list[Any]) -> None:
    """Pass the held requests to the limiter."""
    gateway = harness.limiter.gateway
    del gateway._limiter.handle
    for event in held_events:
        gateway._submit(event)


def test_a_permission_names_the_server_and_takes_its_units_once() -> None:
    async def test() -> None:
        async with running_harness() as harness:
            answer = await harness.caller.check("q1", units=3)
            found = headers(answer)
            assert (found[SERVER_HEADER], found[ENDPOINT_HEADER], found[PERMISSION_HEADER]) == (
                "s-0",
                harness.server.endpoint,
                "q1",
            )
            assert answer.status.code == 0 and 96.5 < harness.units < 97.5
            again = await harness.caller.check("q1", units=3)  # a retry after a lost answer
            assert headers(again)[SERVER_HEADER] == "s-0" and harness.units < 97.5
            assert harness.server.commands == []  # the caller forwards it itself
            assert await harness.caller.report("q1", load_report="queue=7")
            assert not await harness.caller.report("q1")  # only the first report counts
            assert harness.is_idle()

    run(test())


def test_an_unreported_permission_ends_at_its_deadline() -> None:
    async def test() -> None:
        async with running_harness() as harness:
            assert await harness.caller.check_status("q1", deadline_ms=150) == 200
            assert not harness.is_idle()
            await until(harness.is_idle)
            assert (
                await harness.caller.check_status("q1", deadline_ms=150) == 200
            )  # the id is closed, so this is a new request

    run(test())


def test_units_of_a_request_that_was_not_forwarded_are_given_back() -> None:
    async def test() -> None:
        async with running_harness() as harness:
            await harness.caller.check("q1", units=4)
            assert harness.units < 97.0
            assert await harness.caller.report("q1", lookups_pb2.OUTCOME_NOT_SENT)
            assert harness.units > 99.0 and harness.is_idle()

    run(test())


def test_a_refusal_says_when_to_retry() -> None:
    async def test() -> None:
        async with running_harness() as harness:
            assert await harness.caller.check_status("q1", plan="tiny") == 200
            answer = await harness.caller.check("q2", plan="tiny")
            found, body = headers(answer), json.loads(answer.denied_response.body)
            assert answer.denied_response.status.code == 429 and answer.status.code == 8
            assert found["retry-after"] == "1" and body["retry_after_ms"] >= 1
            assert found["ratelimit"] == '"tiny";r=0;t=1' and found["ratelimit-policy"].startswith('"tiny";q=1;w=')

    run(test())


@pytest.mark.parametrize("state", ["undecided", "permitted", "refused", "cancelled", "expired"])
def test_a_retry_over_resp2_after_a_first_attempt_over_grpc(state: str) -> None:
    """A retry under a new id is a new request. Under the same id it is refused while the first attempt is open.

    In both cases the first attempt is not affected.
    """

    async def test() -> None:
        async with running_harness() as harness:
            client = await harness.limiter.client()
            held_events = hold_decisions(harness) if state in ("undecided", "cancelled") else []
            plan: dict[str, Any] = {"plan": "tiny", "account": OTHER_CUSTOMER} if state == "refused" else {}
            if state == "refused":
                await harness.caller.check("q0", **plan)
            first = asyncio.create_task(
                harness.caller.check_status("q1", deadline_ms=200 if state == "expired" else 2000, **plan)
            )
            if state in ("undecided", "cancelled"):
                await until(lambda: len(held_events) == 1)
            if state == "undecided":
                assert "open" in str(await client.ask("q1"))
                release_decisions(harness, held_events)
                assert await first == 200
                assert await harness.caller.report("q1")
            elif state == "cancelled":
                first.cancel()
                await until(harness.is_idle)
                release_decisions(harness, [])
            else:
                assert await first == (429 if state == "refused" else 200)
            if state == "permitted":
                assert "open" in str(await client.ask("q1"))
                assert await harness.caller.report("q1")
            if state == "expired":
                await until(harness.is_idle)
            before = len(harness.server.commands)
            assert await client.ask("q1") == b"value"  # the id is closed in every state
            assert await client.ask("q2", r=1) == b"value"
            assert len(harness.server.commands) == before + 2

    run(test())


@pytest.mark.parametrize("answer", ["open", "served"])
def test_a_retry_over_grpc_after_a_first_attempt_over_resp2(answer: str) -> None:
    async def test() -> None:
        go = asyncio.Event()

        async def behave(command: list[bytes]) -> bytes | None:
            await go.wait()
            return b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n"

        async with running_harness(behave) as harness:
            client = await harness.limiter.client()
            client.read("q1")
            await until(lambda: len(harness.server.commands) == 1)
            if answer == "open":
                assert await harness.caller.check_status("q1") == 409
                assert await harness.caller.check_status("q2") == 200
            go.set()
            assert await client.answer() == b"value"  # the first attempt is not affected
            assert await harness.caller.check_status("q1") == 200

    run(test())


def test_an_undecided_request_ends_at_the_callers_deadline() -> None:
    """It gets one answer in time, takes no units and leaves no state behind."""

    async def test() -> None:
        async with running_harness() as harness:
            hold_decisions(harness)
            assert await harness.caller.check_status("q1", timeout=0.2) == "DEADLINE_EXCEEDED"
            assert await harness.caller.check_status("q2", timeout=None, deadline_ms=100) == "DEADLINE_EXCEEDED"
            await until(harness.is_idle)
            assert harness.units == 100.0

    run(test())


def test_a_caller_that_cancels_takes_no_units_and_does_not_affect_another_caller() -> None:
    async def test() -> None:
        async with running_harness() as harness:
            held_events = hold_decisions(harness)
            first = harness.caller.auth.Check(harness.caller.check_request("q1"))
            second = harness.caller.auth.Check(harness.caller.check_request("q1"))
            await until(lambda: len(harness.authz.requests) == 1 and harness.authz.requests.received == 2)
            first.cancel()
            await until(lambda: first.done())
            release_decisions(harness, held_events)
            assert (await second).HasField("ok_response")
            assert await harness.caller.report("q1")
            held_events = hold_decisions(harness)
            cancelled = harness.caller.auth.Check(harness.caller.check_request("q2"))
            await until(lambda: len(held_events) == 1)
            cancelled.cancel()
            await until(harness.is_idle)
            assert harness.units > 98.5

    run(test())


def test_a_permission_outlives_its_connection_until_its_deadline() -> None:
    async def test() -> None:
        async with running_harness() as harness:
            other = GatewayClient(harness.authz.port)
            assert await other.check_status("q1", deadline_ms=300) == 200
            await other.channel.close()
            assert (
                await harness.caller.check_status("q1", deadline_ms=300) == 200
            )  # a retry on another connection gets the same answer
            assert harness.units > 98.5
            await until(harness.is_idle)

    run(test())


def test_a_drained_server_is_not_named_and_without_servers_requests_are_refused() -> None:
    async def test() -> None:
        async with running_harness() as harness:
            harness.limiter.tell(target("s-0", harness.server.endpoint, state="draining"))
            assert await harness.caller.check_status("q1", deadline_ms=400) == 429
            harness.limiter.tell(target("s-0", harness.server.endpoint))
            assert await harness.caller.check_status("q2") == 200

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
def test_an_invalid_request_is_denied_and_takes_no_units(changes: dict[str, Any], status: int) -> None:
    async def test() -> None:
        async with running_harness(callers=(Caller((CUSTOMER,)),)) as harness:
            assert await harness.caller.check_status("q1", **changes) == status
            assert harness.is_idle() and not harness.limiter.gateway.limiter.quotas.accounts

    run(test())


def test_oversized_headers_are_rejected_and_the_server_keeps_answering() -> None:
    async def test() -> None:
        async with running_harness() as harness:
            with pytest.raises(grpc.aio.AioRpcError) as raised:
                await harness.caller.auth.Check(
                    harness.caller.check_request("q1"), metadata=(("x-big", "x" * (1 << 20)),), timeout=10
                )
            assert raised.value.code() in (grpc.StatusCode.RESOURCE_EXHAUSTED, grpc.StatusCode.UNAVAILABLE)
            big = harness.caller.check_request("q2")
            big.attributes.request.http.headers["x"] = "x" * (1 << 17)
            with pytest.raises(grpc.aio.AioRpcError) as raised:
                await harness.caller.auth.Check(big, timeout=10)
            assert raised.value.code() is grpc.StatusCode.RESOURCE_EXHAUSTED
            assert await GatewayClient(harness.authz.port).check_status("q3") == 200

    run(test())


@pytest.mark.parametrize(
    "data",
    [
        b"GET / HTTP/1.1\r\nHost: x\r\n\r\n",
        b"\xff" * 65536,
        b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + b"\x00\x00\xff\x09\x09" * 99,
        b"",
    ],
    ids=["http/1", "noise", "bad frames", "silence"],
)
def test_an_invalid_preface_does_not_affect_other_connections(data: bytes) -> None:
    async def test() -> None:
        async with running_harness() as harness:
            sock = socket.create_connection(("127.0.0.1", harness.authz.port))
            sock.sendall(data)
            assert await harness.caller.check_status("q1") == 200
            client = await harness.limiter.client()
            assert await client.ask("q2") == b"value"
            sock.close()

    run(test())


@pytest.mark.alone
def test_ten_thousand_concurrent_requests_get_one_answer_each_within_the_limits() -> None:
    """No more than the limit are undecided; the others are rejected at once, and every request gets an answer."""

    async def test() -> None:
        limits = ServerLimits(maximum_pending=50, maximum_streams=10_000)
        # The deadline is longer than any machine needs to send all requests. A request that ended at its deadline would
        # make room for another one, and the number of permissions would depend on the speed of the machine.
        async with running_harness(limits=limits, maximum_wait_ms=110_000.0) as harness:
            held_events = hold_decisions(harness)
            calls = [asyncio.create_task(harness.caller.check_status(f"q{n}", timeout=110.0)) for n in range(10_000)]
            await until(lambda: sum(call.done() for call in calls) >= 10_000 - 50)
            assert len(held_events) == harness.authz.requests.pending == 50
            release_decisions(harness, held_events)
            words = await asyncio.gather(*calls)
            # gRPC itself ends the calls beyond its own limit as cancelled
            assert set(words) <= {200, 429, "RESOURCE_EXHAUSTED", "CANCELLED"}
            assert words.count(200) + words.count(429) == 50
            for name in [f"q{n}" for n, word in enumerate(words) if word == 200]:
                assert await harness.caller.report(name)
            await until(harness.is_idle)
            client = await harness.limiter.client()
            assert await client.ask("after") == b"value"

    run(test(), within=120.0)


def test_a_client_that_never_reads_does_not_delay_others() -> None:
    """The HTTP/2 client has a flow control window of 0, so its requests end at their deadlines."""

    async def test() -> None:
        async with running_harness() as harness:
            _, writer = await asyncio.open_connection("127.0.0.1", harness.authz.port)
            connection = h2.connection.H2Connection()
            connection.initiate_connection()
            connection.update_settings({h2.settings.SettingCodes.INITIAL_WINDOW_SIZE: 0})
            for n in range(200):
                body = harness.caller.check_request(f"q{n}", deadline_ms=300).SerializeToString()
                stream = connection.get_next_available_stream_id()
                connection.send_headers(
                    stream,
                    [
                        (":method", "POST"),
                        (":scheme", "http"),
                        (":path", f"/{AUTHORIZATION_SERVICE}/Check"),
                        (":authority", "x"),
                        ("content-type", "application/grpc"),
                        ("te", "trailers"),
                    ],
                )
                connection.send_data(stream, b"\x00" + len(body).to_bytes(4, "big") + body, end_stream=True)
            writer.write(connection.data_to_send())
            await until(lambda: harness.authz.requests.received > 0)
            assert await harness.caller.check_status("other") in (200, 429)
            await until(harness.is_idle)
            client = await harness.limiter.client()
            assert await client.ask("after") == b"value"
            writer.transport.abort()

    run(test(), within=60.0)


def test_unknown_fields_are_ignored_and_an_empty_request_is_denied() -> None:
    async def test() -> None:
        async with running_harness() as harness:
            call = harness.caller.channel.unary_unary(
                f"/{AUTHORIZATION_SERVICE}/Check", response_deserializer=auth.CheckResponse.FromString
            )
            unknown = b"\xfa\x3e\x05hello"  # field 1007, five bytes
            answer = await call(harness.caller.check_request("q1").SerializeToString() + unknown, timeout=10)
            assert answer.HasField("ok_response")
            assert (await call(b"", timeout=10)).denied_response.status.code == 400
            with pytest.raises(grpc.aio.AioRpcError):
                await call(b"\xff\xff", timeout=10)
            assert await harness.caller.check_status("q2") == 200

    run(test())


def test_the_number_of_connections_is_limited_and_open_ones_are_not_affected() -> None:
    """Connections beyond the limit are closed at once, and silent ones after the handshake timeout."""

    async def test() -> None:
        async with running_harness(limits=ServerLimits(maximum_connections=4, handshake_timeout_s=0.3)) as harness:
            assert await harness.caller.check_status("q1") == 200
            connections = [socket.create_connection(("127.0.0.1", harness.authz.port)) for _ in range(100)]
            assert await harness.caller.check_status("q2") == 200
            for sock in connections:
                sock.settimeout(20.0)
                with contextlib.suppress(ConnectionError):
                    while await asyncio.to_thread(sock.recv, 4096):
                        pass  # until the server closes the connection, whatever it sends before
                sock.close()
            other = GatewayClient(harness.authz.port)  # below the limit again
            assert await other.check_status("q3") == 200
            await other.channel.close()

    run(test(), within=60.0)


def test_rapid_reset_leaves_no_request_behind() -> None:
    async def test() -> None:
        async with running_harness() as harness:
            hold_decisions(harness)
            for n in range(300):
                call = harness.caller.auth.Check(harness.caller.check_request(f"q{n}"))
                await asyncio.sleep(0)
                call.cancel()
            await until(harness.is_idle)
            assert harness.units == 100.0

    run(test())


# Rate limit requests


def descriptor(units: int | None = None, **changes: Any) -> ratelimit_pb2.RateLimitDescriptor:
    result = ratelimit_pb2.RateLimitDescriptor()
    values = {"account": CUSTOMER, "plan": "team", "class": "lookup", "spread": 1, "first": 0, **changes}
    for key, value in values.items():
        result.entries.add(key=key, value=str(value))
    if units is not None:
        result.hits_addend.value = units
    return result


def test_several_descriptors_are_permitted_together_or_not_at_all() -> None:
    async def test() -> None:
        async with running_harness() as harness:
            ok = rls.RateLimitRequest(
                domain="d", descriptors=[descriptor(), descriptor(2, account=OTHER_CUSTOMER)], hits_addend=3
            )
            answer = await harness.caller.rls.ShouldRateLimit(ok, timeout=10)
            assert answer.overall_code == rls.RateLimitResponse.OK and len(answer.statuses) == 2
            units = sorted(round(a.shared_units) for a in harness.limiter.gateway.limiter.quotas.accounts.values())
            assert units == [97, 98]
            assert {h.key for h in answer.request_headers_to_add} >= {SERVER_HEADER, PERMISSION_HEADER}
            await until(harness.is_idle)
            tiny = descriptor(account="000000000000000a", plan="tiny")
            await harness.caller.rls.ShouldRateLimit(rls.RateLimitRequest(domain="d", descriptors=[tiny]), timeout=10)
            before = {a.key: a.shared_units for a in harness.limiter.gateway.limiter.quotas.accounts.values()}
            mixed = rls.RateLimitRequest(domain="d", descriptors=[descriptor(4), tiny])
            over = await harness.caller.rls.ShouldRateLimit(mixed, timeout=10)
            assert over.overall_code == rls.RateLimitResponse.OVER_LIMIT
            assert [s.code for s in over.statuses] == [rls.RateLimitResponse.OK, rls.RateLimitResponse.OVER_LIMIT]
            assert over.statuses[1].current_limit.requests_per_unit == 1
            after = {a.key: a.shared_units for a in harness.limiter.gateway.limiter.quotas.accounts.values()}
            assert all(
                after[key] >= before[key] - 1e-6 for key in before
            )  # the units of the first descriptor were given back
            assert {h.key for h in over.response_headers_to_add} == {"retry-after", "ratelimit", "ratelimit-policy"}

    run(test())


def test_an_invalid_rate_limit_request_is_an_error() -> None:
    async def test() -> None:
        async with running_harness(callers=(Caller((CUSTOMER,)),)) as harness:
            for request, code in (
                (rls.RateLimitRequest(domain="d"), grpc.StatusCode.INVALID_ARGUMENT),
                (rls.RateLimitRequest(descriptors=[descriptor(plan="gold")]), grpc.StatusCode.INVALID_ARGUMENT),
                (
                    rls.RateLimitRequest(descriptors=[descriptor(account=OTHER_CUSTOMER)]),
                    grpc.StatusCode.PERMISSION_DENIED,
                ),
            ):
                with pytest.raises(grpc.aio.AioRpcError) as raised:
                    await harness.caller.rls.ShouldRateLimit(request, timeout=10)
                assert raised.value.code() is code
            assert harness.is_idle()

    run(test())


def test_an_invalid_report_is_rejected() -> None:
    async def test() -> None:
        async with running_harness(callers=(Caller((CUSTOMER,)),)) as harness:
            await harness.caller.check("q1")
            for changes, code in (
                ({"outcome": 0}, grpc.StatusCode.INVALID_ARGUMENT),
                ({"outcome": 99}, grpc.StatusCode.INVALID_ARGUMENT),
                ({"took_ms": float("nan")}, grpc.StatusCode.INVALID_ARGUMENT),
                ({"account": OTHER_CUSTOMER}, grpc.StatusCode.PERMISSION_DENIED),
            ):
                with pytest.raises(grpc.aio.AioRpcError) as raised:
                    await harness.caller.report("q1", **changes)
                assert raised.value.code() is code
            assert await harness.caller.report("q1")

    run(test())


def test_health_and_reflection_answer_and_a_shutdown_answers_open_requests() -> None:
    async def test() -> None:
        async with running_harness() as harness:
            stub = health_pb2_grpc.HealthStub(harness.caller.channel)
            for service in ("", AUTHORIZATION_SERVICE, RATE_LIMIT_SERVICE):
                answer = await stub.Check(health_pb2.HealthCheckRequest(service=service), timeout=10)
                assert answer.status == health_pb2.HealthCheckResponse.SERVING
            listing = reflection_pb2.ServerReflectionRequest(list_services="")
            reflect = reflection_pb2_grpc.ServerReflectionStub(harness.caller.channel)
            found: set[str] = set()
            async for response in reflect.ServerReflectionInfo(iter([listing])):
                found |= {service.name for service in response.list_services_response.service}
            assert found >= {AUTHORIZATION_SERVICE, RATE_LIMIT_SERVICE, LOOKUPS_SERVICE}
            held_events = hold_decisions(harness)
            open_request = asyncio.create_task(harness.caller.check_status("q1"))
            await until(lambda: len(held_events) == 1)
            stopping = asyncio.create_task(harness.authz.stop())
            await asyncio.sleep(0.05)
            release_decisions(harness, held_events)
            assert await open_request == 200
            await stopping

    run(test())


def test_the_generated_code_matches_the_proto_file(tmp_path: Path) -> None:
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
