"""External authorisation over gRPC as a way to ask: Envoy's `Check`, then the lookup itself at the box that the
permission names, then the report of how that ended. Needs the extra elderlock[grpc].

What is measured is the question. The lookup is sent as a gateway sends it, since a permission without one
would hold a box's place for nothing, and one reported as not sent would give its units back.
"""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from typing import Any

import grpc
import hiredis
from envoy.service.auth.v3 import external_auth_pb2 as auth
from envoy.service.auth.v3 import external_auth_pb2_grpc as auth_grpc

from elderlock.authz.door import ENDPOINT, LIFE
from elderlock.authz.v1 import lookups_pb2, lookups_pb2_grpc
from elderlock.load.clock import now_us
from elderlock.load.resp_client import MISSING, Engine, Request, command

REPORT_WITHIN = 2.0  # s
MOST_IDLE = 64  # connections kept to one box


class LookupClient:
    """Lookups at the boxes, one at a time on each connection; those that ended well are kept."""

    def __init__(self) -> None:
        self._idle: dict[str, list[tuple[asyncio.StreamReader, asyncio.StreamWriter]]] = {}

    async def look_up(self, endpoint: str, sent: bytes, within: float) -> int:
        """How it ended, as the report words it; `within` in s."""
        idle = self._idle.setdefault(endpoint, [])
        written = False
        writer: asyncio.StreamWriter | None = None
        try:
            async with asyncio.timeout(within):
                if idle:
                    reader, writer = idle.pop()
                else:
                    host, _, port = endpoint.rpartition(":")
                    reader, writer = await asyncio.open_connection(host, int(port))
                written = True
                writer.write(sent)
                parser = hiredis.Reader(notEnoughData=MISSING)
                while (answer := parser.gets()) is MISSING:
                    data = await reader.read(65536)
                    if not data:
                        raise ConnectionResetError
                    parser.feed(data)
        except TimeoutError:
            outcome = lookups_pb2.OUTCOME_TIMEOUT if written else lookups_pb2.OUTCOME_CONNECT_FAILED
        except (OSError, ValueError):
            outcome = lookups_pb2.OUTCOME_RESET if written else lookups_pb2.OUTCOME_CONNECT_FAILED
        except hiredis.ProtocolError:
            outcome = lookups_pb2.OUTCOME_ERROR
        else:
            if len(idle) < MOST_IDLE:
                idle.append((reader, writer))
                writer = None
            if isinstance(answer, list):
                outcome = lookups_pb2.OUTCOME_SERVED
            else:
                busy = str(answer).startswith("BUSY")
                outcome = lookups_pb2.OUTCOME_FULL if busy else lookups_pb2.OUTCOME_ERROR
        if writer is not None:
            writer.transport.abort()
        return outcome

    def close(self) -> None:
        for idle in self._idle.values():
            for _, writer in idle:
                writer.transport.abort()


class GrpcClient:
    """One channel to each target; gRPC carries many questions on one connection."""

    def __init__(self, engine: Engine, loop: asyncio.AbstractEventLoop, addresses: Sequence[tuple[str, int]]) -> None:
        self._engine, self._loop, self._boxes = engine, loop, LookupClient()
        self._channels = [grpc.aio.insecure_channel(f"{host}:{port}") for host, port in addresses]
        self._auth = [auth_grpc.AuthorizationStub(channel) for channel in self._channels]
        self._lookups: list[Any] = [
            lookups_pb2_grpc.LookupsStub(channel)  # type: ignore[no-untyped-call]
            for channel in self._channels
        ]
        self._tasks: set[asyncio.Task[None]] = set()

    def _task(self, work: Any) -> None:
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def send(self, request: Request, patience: float) -> None:
        """`patience` in ms."""
        self._task(self._ask(request, request.attempts, patience))

    async def _ask(self, request: Request, tries: int, patience: float) -> None:
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
        sent = command(arrival.account, request.id, self._engine.request_terms(request))
        self._engine.on_request_written(request)
        advice: float | None = None
        answer: Any = None
        try:
            # its own time is kept by the engine; this bound only ends a call that nobody waits for any more
            answer = await self._auth[target].Check(question, timeout=patience / 1000.0 + 0.05)
        except grpc.aio.AioRpcError as error:
            name = error.code().name
            outcome = {"UNAVAILABLE": "lost", "DEADLINE_EXCEEDED": "timeout"}.get(name, "failed")
        else:
            outcome, advice = self._read(answer)
        if not request.is_active or request.attempts != tries:
            if outcome in ("served", "refused"):
                self._engine.count("late_answers")
        else:
            self._engine.on_attempt_ended(request, outcome, advice)
        if outcome == "served":
            await self._look_up(target, request.id.decode(), arrival.account, sent, _headers(answer))

    async def _look_up(self, target: int, name: str, account: str, sent: bytes, headers: dict[str, str]) -> None:
        began = now_us()
        life = float(headers.get(LIFE) or 1000.0) / 1000.0
        outcome = await self._boxes.look_up(headers.get(ENDPOINT, ""), sent, life)
        took = (now_us() - began) / 1000.0
        report = lookups_pb2.ReportRequest(permission=name, account=account, outcome=outcome, took_ms=took)  # type: ignore[arg-type]
        try:
            await self._lookups[target].Report(report, timeout=REPORT_WITHIN)
        except grpc.aio.AioRpcError:
            self._engine.count("unreported")

    @staticmethod
    def _read(answer: Any) -> tuple[str, float | None]:
        if answer.HasField("ok_response"):
            return "served", None
        if int(answer.denied_response.status.code) != 429:
            return "failed", None
        after = _headers(answer).get("retry-after")
        return "refused", float(after) * 1000.0 if after else None

    async def close(self) -> None:
        for task in self._tasks:
            task.cancel()
        self._boxes.close()
        for channel in self._channels:
            await channel.close()


def _headers(answer: Any) -> dict[str, str]:
    part = answer.ok_response if answer.HasField("ok_response") else answer.denied_response
    return {option.header.key: option.header.value for option in part.headers}
