"""The agent's door: the same services, each question passed to a limiter of its account's set."""

from __future__ import annotations

import asyncio
import random
import time
from collections import OrderedDict
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

import grpc
import msgspec
from envoy.service.auth.v3 import external_auth_pb2 as auth
from envoy.service.auth.v3 import external_auth_pb2_grpc as auth_grpc
from envoy.service.ratelimit.v3 import rls_pb2 as rls
from envoy.service.ratelimit.v3 import rls_pb2_grpc as rls_grpc
from google.rpc import code_pb2

from elderlock import logs
from elderlock.authz.config import AuthzError, AuthzFile, Tls, read_tls_files
from elderlock.authz.limiter_selection import AttemptResult, LimiterSelector, NextStep, next_step
from elderlock.authz.request_reader import (
    AccountNotAllowedError,
    AuthorizationRequest,
    InvalidRequestError,
    RequestReader,
)
from elderlock.authz.server import BOX, certificate_subjects, denied_response, read_server_certificate, remaining_ms
from elderlock.authz.v1 import lookups_pb2, lookups_pb2_grpc
from elderlock.net.config import load_config

CONNECT_WITHIN = 0.25  # s that one limiter may take to be connected to
TRY_PART = 0.5  # of what is left, for one try: an answer may still be fetched then
KEPT = 50_000  # permissions whose limiter is remembered, the oldest forgotten first
RECONNECT_MS = 100

log = logs.get_logger(__name__)


class LimiterAddress(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    name: str
    number: int  # in the settings
    address: str


class RoutingFile(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`[authz]` of the agent's file. `config` is a limiter's configuration, for the names of plans and
    classes; `door` is as in a limiter's operators' file. `to_limiters`: our certificate for their doors, and
    the authority that signed theirs."""

    door: AuthzFile
    config: str
    limiter: tuple[LimiterAddress, ...]
    to_limiters: Tls | None = None


class _LimiterChannel:
    """One limiter's door."""

    def __init__(self, at: LimiterAddress, credentials: Any) -> None:
        options = [
            ("grpc.initial_reconnect_backoff_ms", RECONNECT_MS),
            ("grpc.min_reconnect_backoff_ms", RECONNECT_MS),
            ("grpc.max_reconnect_backoff_ms", 5 * RECONNECT_MS),
            ("grpc.enable_retries", 0),
        ]
        if credentials is None:
            self.channel = grpc.aio.insecure_channel(at.address, options)
        else:
            self.channel = grpc.aio.secure_channel(at.address, credentials, options)
        self.auth = auth_grpc.AuthorizationStub(self.channel)
        self.rls = rls_grpc.RateLimitServiceStub(self.channel)
        self.lookups: Any = lookups_pb2_grpc.LookupsStub(self.channel)  # type: ignore[no-untyped-call]

    async def up(self, within: float) -> bool:
        """Connected, so that what fails from here on may have been sent, and what fails before has not."""
        try:
            async with asyncio.timeout(within):
                while (state := self.channel.get_state(try_to_connect=True)) is not grpc.ChannelConnectivity.READY:
                    if state is grpc.ChannelConnectivity.TRANSIENT_FAILURE:
                        return False
                    await self.channel.wait_for_state_change(state)
        except TimeoutError:
            return False
        return True


class RoutingServer:
    """`usable` names the limiters that are neither drained nor silent, as the agent knows."""

    def __init__(self, raw: Any, folder: Path, usable: Callable[[Iterable[str]], set[str]], rng: random.Random) -> None:
        """Raises `AuthzError`."""
        try:
            self._file = msgspec.convert(raw, RoutingFile)
        except msgspec.ValidationError as error:
            raise AuthzError(f"authz: {error}") from None
        if not self._file.limiter:
            raise AuthzError("authz: no [[authz.limiter]] to pass questions to")
        names = [limiter.name for limiter in self._file.limiter]
        numbers = [limiter.number for limiter in self._file.limiter]
        if len(set(names)) < len(names) or len(set(numbers)) < len(numbers) or min(numbers) < 0:
            raise AuthzError("authz: each limiter stands there once, with a number of its own from 0")
        self._at = self._file.door.check()
        self._folder, self._usable = folder, usable
        config = load_config({"PROXY_CONFIG": str(folder / self._file.config)})
        self._terms = RequestReader(self._file.door, config.settings, config.socket_settings.largest_request_units)
        self._router = LimiterSelector(dict(zip(names, numbers, strict=True)), rng)
        self._targets: dict[str, _LimiterChannel] = {}
        self._where: OrderedDict[str, str] = OrderedDict()  # permission -> limiter
        self._server: Any = None
        self._certificate: Any = None
        self.port = 0

    async def start(self) -> None:
        """Raises `OSError` or `AuthzError`."""
        credentials = None
        if self._file.to_limiters is not None:
            key, chain, ca = read_tls_files(self._file.to_limiters, self._folder)
            credentials = grpc.ssl_channel_credentials(ca, key, chain)
        self._targets = {at.name: _LimiterChannel(at, credentials) for at in self._file.limiter}
        b = self._file.door.bounds
        self._server = grpc.aio.server(
            options=[
                ("grpc.max_concurrent_streams", b.streams),
                ("grpc.max_receive_message_length", b.message),
                ("grpc.max_metadata_size", b.metadata),
                ("grpc.so_reuseport", 0),
                ("grpc.max_allowed_incoming_connections", b.connections),
                ("grpc.server_handshake_timeout_ms", int(1000 * b.handshake)),
            ],
            maximum_concurrent_rpcs=b.questions,
        )
        auth_grpc.add_AuthorizationServicer_to_server(self, self._server)
        rls_grpc.add_RateLimitServiceServicer_to_server(self, self._server)
        lookups_pb2_grpc.add_LookupsServicer_to_server(self, self._server)  # type: ignore[no-untyped-call]
        host, port = self._at
        address = f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
        try:
            if self._file.door.tls is None:
                self.port = self._server.add_insecure_port(address)
            else:
                self._certificate = read_server_certificate(self._file.door.tls, self._folder)
                served = grpc.dynamic_ssl_server_credentials(
                    self._certificate, lambda: self._certificate, bool(self._file.door.tls.ca)
                )
                self.port = self._server.add_secure_port(address, served)
        except RuntimeError as error:
            raise OSError(f"authz: {address} cannot be bound: {error}") from None
        await self._server.start()

    def reload(self) -> None:
        """Reads the door's certificates anew; what cannot be read changes nothing."""
        if self._file.door.tls is not None:
            try:
                self._certificate = read_server_certificate(self._file.door.tls, self._folder)
            except Exception as error:
                log.error("the certificates stay as they were", error=str(error))

    async def stop(self) -> None:
        await self._server.stop(self._file.door.bounds.drain)
        for target in self._targets.values():
            await target.channel.close()

    @staticmethod
    def _now() -> float:
        return time.monotonic() * 1000.0

    async def _pass(
        self, spread: int, first: int, wait: float, fetchable: bool, call: Callable[[_LimiterChannel, float], Any]
    ) -> tuple[str, Any]:
        """The limiter that answered and its answer. Raises `_RoutingError`."""
        ends = self._now() + wait
        tried: list[str] = []
        fates: list[AttemptResult] = []
        name: str | None = None
        step = NextStep.OTHER_LIMITER
        while True:
            if step is NextStep.OTHER_LIMITER:
                name = self._router.choose(spread, first, self._usable(self._targets), tried, self._now())
                if name is None:
                    raise _RoutingError(grpc.StatusCode.UNAVAILABLE, "no limiter of the account's set can be asked")
                tried.append(name)
            assert name is not None
            self._router.attempt_started(name)
            fate, answer = AttemptResult.UNKNOWN, None
            try:
                fate, answer = await self._try(
                    self._targets[name], ends, call, bool(fates) and step is NextStep.SAME_LIMITER
                )
            finally:
                self._router.attempt_ended(name, fate, self._now())
            if fate is AttemptResult.ANSWERED:
                if isinstance(answer, grpc.aio.AioRpcError):
                    raise _RoutingError(answer.code(), answer.details() or "")
                return name, answer
            fates.append(fate)
            step = next_step(fates, fetchable, ends - self._now())
            if step is NextStep.GIVE_UP:
                known = AttemptResult.UNKNOWN not in fates
                raise _RoutingError(
                    grpc.StatusCode.UNAVAILABLE if known else grpc.StatusCode.DEADLINE_EXCEEDED,
                    "no limiter answered" if known else "no answer in time; it may have been decided",
                )

    async def _try(
        self, target: _LimiterChannel, ends: float, call: Callable[[_LimiterChannel, float], Any], fetches: bool
    ) -> tuple[AttemptResult, Any]:
        left = max(0.0, ends - self._now()) / 1000.0
        if not await target.up(min(CONNECT_WITHIN, left)):
            # where a fetch finds that nothing listens any more, the limiter has died with all that it took
            gone = fetches and target.channel.get_state() is grpc.ChannelConnectivity.TRANSIENT_FAILURE
            return (AttemptResult.LIMITER_DIED if gone else AttemptResult.NOT_SENT), None
        left = max(0.001, ends - self._now()) / 1000.0
        try:
            return AttemptResult.ANSWERED, await call(target, left if fetches else max(left * TRY_PART, 0.001))
        except grpc.aio.AioRpcError as error:
            if error.code() in (grpc.StatusCode.UNAVAILABLE, grpc.StatusCode.CANCELLED):
                return AttemptResult.UNKNOWN, None
            if error.code() is grpc.StatusCode.DEADLINE_EXCEEDED and ends - self._now() > 1.0:
                return AttemptResult.UNKNOWN, None  # our own shorter limit, not the question's
            return AttemptResult.ANSWERED, error

    def _remember(self, permission: str, name: str) -> None:
        self._where[permission] = name
        self._where.move_to_end(permission)
        if len(self._where) > KEPT:
            self._where.popitem(last=False)

    # The services

    async def Check(self, request: auth.CheckRequest, context: Any) -> auth.CheckResponse:  # noqa: N802
        attributes = request.attributes
        http = attributes.request.http
        asked = AuthorizationRequest(
            attributes.context_extensions, http.headers, http.path, certificate_subjects(context), remaining_ms(context)
        )
        try:
            command = self._terms.command(asked)
        except InvalidRequestError as error:
            return denied_response(code_pb2.INVALID_ARGUMENT, 400, (), {"error": str(error)})
        except AccountNotAllowedError as error:
            return denied_response(code_pb2.PERMISSION_DENIED, 403, (), {"error": str(error)})
        try:
            name, answer = await self._pass(
                command.limiter_count,
                command.first_limiter,
                command.wait_ms,
                True,
                lambda target, left: target.auth.Check(request, timeout=left),
            )
        except _RoutingError as error:
            await context.abort(error.code, str(error))
        if answer.HasField("ok_response") and any(o.header.key == BOX for o in answer.ok_response.headers):
            self._remember(command.client_request_id.decode(), name)
        return answer

    async def ShouldRateLimit(self, request: rls.RateLimitRequest, context: Any) -> rls.RateLimitResponse:  # noqa: N802
        """All descriptors of one question go to one limiter, so they must have its set in common."""
        commands = []
        try:
            for descriptor in request.descriptors:
                entries = {entry.key: entry.value for entry in descriptor.entries}
                entries = {"units": "1", "request": "-", **entries}
                commands.append(
                    self._terms.command(
                        AuthorizationRequest(entries, {}, "", certificate_subjects(context), remaining_ms(context))
                    )
                )
        except InvalidRequestError as error:
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(error))
        except AccountNotAllowedError as error:
            await context.abort(grpc.StatusCode.PERMISSION_DENIED, str(error))
        sets = {(command.limiter_count, command.first_limiter) for command in commands}
        if len(sets) != 1:
            text = "a question has one descriptor at least, and all are of accounts with the same limiters"
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, text)
        first = commands[0]
        named = all(any(e.key == "request" for e in d.entries) for d in request.descriptors)
        try:
            name, answer = await self._pass(
                first.limiter_count,
                first.first_limiter,
                first.wait_ms,
                named,
                lambda target, left: target.rls.ShouldRateLimit(request, timeout=left),
            )
        except _RoutingError as error:
            await context.abort(error.code, str(error))
        for option in answer.request_headers_to_add:
            if option.key == "x-elderlock-permission":
                self._remember(option.value, name)
        return answer

    async def Report(self, request: lookups_pb2.ReportRequest, context: Any) -> lookups_pb2.ReportResponse:  # noqa: N802
        """Goes to the limiter that gave the permission; one not known here was not given through here."""
        if not self._terms.may_use_account(certificate_subjects(context), request.account.lower()):
            await context.abort(grpc.StatusCode.PERMISSION_DENIED, "the account is not one that this caller may name")
        name = self._where.pop(request.permission, None)
        if name is None:
            return lookups_pb2.ReportResponse(counted=False)
        try:
            answer: lookups_pb2.ReportResponse = await self._targets[name].lookups.Report(request, timeout=1.0)
        except grpc.aio.AioRpcError as error:
            await context.abort(error.code(), error.details() or "")
        return answer


class _RoutingError(Exception):
    def __init__(self, code: Any, text: str) -> None:
        super().__init__(text)
        self.code = code
