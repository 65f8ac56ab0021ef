"""A client of the external authorisation over gRPC. Needs the extra elderlock[grpc].

It calls Envoy's `Check`, sends the lookup itself to the server that the permission names, and reports its outcome.

Only `Check` is measured. The lookup is sent as a gateway sends it, because a permission without a lookup would occupy
a slot of a server for nothing, and one that is reported as not sent would return its units.
"""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from typing import Any

import grpc
import hiredis
from envoy.service.auth.v3 import external_auth_pb2 as auth
from envoy.service.auth.v3 import external_auth_pb2_grpc as auth_grpc

from elderlock.authz.server import ENDPOINT_HEADER, LIFETIME_HEADER
from elderlock.authz.v1 import lookups_pb2, lookups_pb2_grpc
from elderlock.load.clock import now_us
from elderlock.load.resp_client import MISSING, Engine, Request, command

REPORT_TIMEOUT_S = 2.0
MAXIMUM_IDLE = 64  # idle connections per server


class LookupClient:
    """Sends lookups to the servers, one at a time on each connection, and reuses connections that worked."""

    def __init__(self) -> None:
        self._idle: dict[str, list[tuple[asyncio.StreamReader, asyncio.StreamWriter]]] = {}

    async def look_up(self, endpoint: str, data: bytes, timeout_s: float) -> int:
        """Send a lookup and return its outcome as a value of the report's enumeration.

        Args:
            endpoint: Address of the server as HOST:PORT.
            data: The command in RESP.
            timeout_s: Timeout of the connection and the lookup together.
        """
        idle = self._idle.setdefault(endpoint, [])
        was_written = False
        writer: asyncio.StreamWriter | None = None
        try:
            async with asyncio.timeout(timeout_s):
                if idle:
                    reader, writer = idle.pop()
                else:
                    host, _, port = endpoint.rpartition(":")
                    reader, writer = await asyncio.open_connection(host, int(port))
                was_written = True
                writer.write(data)
                parser = hiredis.Reader(notEnoughData=MISSING)
                while (answer := parser.gets()) is MISSING:
                    received = await reader.read(65536)
                    if not received:
                        raise ConnectionResetError
                    parser.feed(received)
        except TimeoutError:
            outcome = lookups_pb2.OUTCOME_TIMEOUT if was_written else lookups_pb2.OUTCOME_CONNECT_FAILED
        except (OSError, ValueError):
            outcome = lookups_pb2.OUTCOME_RESET if was_written else lookups_pb2.OUTCOME_CONNECT_FAILED
        except hiredis.ProtocolError:
            outcome = lookups_pb2.OUTCOME_ERROR
        else:
            if len(idle) < MAXIMUM_IDLE:
                idle.append((reader, writer))
                writer = None
            if isinstance(answer, list):
                outcome = lookups_pb2.OUTCOME_SERVED
            else:
                is_busy = str(answer).startswith("BUSY")
                outcome = lookups_pb2.OUTCOME_FULL if is_busy else lookups_pb2.OUTCOME_ERROR
        if writer is not None:
            writer.transport.abort()
        return outcome

    def close(self) -> None:
        """Close the idle connections."""
        for idle in self._idle.values():
            for _, writer in idle:
                writer.transport.abort()


class GrpcClient:
    """Sends requests over one channel per target; gRPC multiplexes the calls of a channel on one connection."""

    def __init__(self, engine: Engine, loop: asyncio.AbstractEventLoop, addresses: Sequence[tuple[str, int]]) -> None:
        self._engine, self._loop, self._lookup_client = engine, loop, LookupClient()
        self._channels = [grpc.aio.insecure_channel(f"{host}:{port}") for host, port in addresses]
        self._auth = [auth_grpc.AuthorizationStub(channel) for channel in self._channels]
        self._lookups: list[Any] = [
            lookups_pb2_grpc.LookupsStub(channel)  # type: ignore[no-untyped-call]
            for channel in self._channels
        ]
        self._tasks: set[asyncio.Task[None]] = set()

    def _start_task(self, coroutine: Any) -> None:
        task = self._loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def send(self, request: Request, timeout_ms: float) -> None:
        """Start the current attempt of a request, with its timeout."""
        self._start_task(self._check(request, request.attempts, timeout_ms))

    async def _check(self, request: Request, attempts: int, timeout_ms: float) -> None:
        arrival, target = request.arrival, request.target
        question = auth.CheckRequest()
        values = {
            "account": arrival.account,
            "plan": arrival.plan,
            "class": arrival.class_name,
            "request": request.id.decode(),
            "units": f"{arrival.units:g}",
            "spread": str(arrival.spread),
            "first": str(arrival.first),
        }
        for key, value in values.items():
            question.attributes.context_extensions[key] = value
        request.written_at_us = now_us()
        lookup = command(arrival.account, request.id, self._engine.request_terms(request))
        self._engine.on_request_written(request)
        advice: float | None = None
        answer: Any = None
        try:
            # The engine enforces the attempt's timeout. This later one only ends a call that nothing waits for.
            answer = await self._auth[target].Check(question, timeout=timeout_ms / 1000.0 + 0.05)
        except grpc.aio.AioRpcError as error:
            name = error.code().name
            outcome = {"UNAVAILABLE": "lost", "DEADLINE_EXCEEDED": "timeout"}.get(name, "failed")
        else:
            outcome, advice = self._outcome_of(answer)
        if not request.is_active or request.attempts != attempts:
            if outcome in ("served", "refused"):
                self._engine.count("late_answers")
        else:
            self._engine.on_attempt_ended(request, outcome, advice)
        if outcome == "served":
            await self._look_up(target, request.id.decode(), arrival.account, lookup, _headers(answer))

    async def _look_up(
        self, target: int, permission: str, account: str, lookup: bytes, headers: dict[str, str]
    ) -> None:
        started_at_us = now_us()
        timeout_s = float(headers.get(LIFETIME_HEADER) or 1000.0) / 1000.0
        outcome = await self._lookup_client.look_up(headers.get(ENDPOINT_HEADER, ""), lookup, timeout_s)
        took_ms = (now_us() - started_at_us) / 1000.0
        report = lookups_pb2.ReportRequest(permission=permission, account=account, outcome=outcome, took_ms=took_ms)  # type: ignore[arg-type]
        try:
            await self._lookups[target].Report(report, timeout=REPORT_TIMEOUT_S)
        except grpc.aio.AioRpcError:
            self._engine.count("unreported")

    @staticmethod
    def _outcome_of(answer: Any) -> tuple[str, float | None]:
        """Return the outcome and the advised wait in ms."""
        if answer.HasField("ok_response"):
            return "served", None
        if int(answer.denied_response.status.code) != 429:
            return "failed", None
        retry_after_s = _headers(answer).get("retry-after")
        return "refused", float(retry_after_s) * 1000.0 if retry_after_s else None

    async def close(self) -> None:
        """Cancel the calls in flight and close all connections."""
        for task in self._tasks:
            task.cancel()
        self._lookup_client.close()
        for channel in self._channels:
            await channel.close()


def _headers(answer: Any) -> dict[str, str]:
    part = answer.ok_response if answer.HasField("ok_response") else answer.denied_response
    return {option.header.key: option.header.value for option in part.headers}
