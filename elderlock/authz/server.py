"""The gRPC door of a limiter: Envoy's external authorisation and rate limit services, health, reflection,
and our own service for how lookups ended. It translates; the module decides.

Sources: envoy/service/auth/v3/external_auth.proto, envoy/service/ratelimit/v3/rls.proto, grpc.health.v1;
the RateLimit header fields are those of draft-ietf-httpapi-ratelimit-headers.
"""

from __future__ import annotations

import json
import logging
import math
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import grpc
from envoy.config.core.v3 import base_pb2
from envoy.service.auth.v3 import external_auth_pb2 as auth
from envoy.service.auth.v3 import external_auth_pb2_grpc as auth_grpc
from envoy.service.ratelimit.v3 import rls_pb2 as rls
from envoy.service.ratelimit.v3 import rls_pb2_grpc as rls_grpc
from envoy.type.v3 import http_status_pb2
from google.protobuf import duration_pb2
from google.rpc import code_pb2, status_pb2
from grpc_health.v1 import health, health_pb2, health_pb2_grpc
from grpc_reflection.v1alpha import reflection

from elderlock.authz.config import AuthzFile, Tls, read_tls_files
from elderlock.authz.permission_requests import PermissionRequests
from elderlock.authz.permissions import Verdict
from elderlock.authz.request_reader import (
    AccountNotAllowedError,
    AuthorizationRequest,
    InvalidRequestError,
    RequestReader,
)
from elderlock.authz.v1 import lookups_pb2, lookups_pb2_grpc
from elderlock.interface import Outcome
from elderlock.net.command import Command
from elderlock.net.gateway import Gateway

log = logging.getLogger(__name__)

BOX, ENDPOINT, PERMISSION = "x-elderlock-box", "x-elderlock-endpoint", "x-elderlock-permission"
REMAINING, LIFE = "x-elderlock-remaining", "x-elderlock-life-ms"
CHECK, LIMIT = "envoy.service.auth.v3.Authorization", "envoy.service.ratelimit.v3.RateLimitService"
LOOKUPS = "elderlock.v1.Lookups"
OUTCOMES = {
    lookups_pb2.OUTCOME_SERVED: Outcome.OK,
    lookups_pb2.OUTCOME_ERROR: Outcome.ERROR,
    lookups_pb2.OUTCOME_FULL: Outcome.FULL,
    lookups_pb2.OUTCOME_TIMEOUT: Outcome.TIMEOUT,
    lookups_pb2.OUTCOME_CONNECT_FAILED: Outcome.CONNECT_FAILED,
    lookups_pb2.OUTCOME_RESET: Outcome.RESET,
    lookups_pb2.OUTCOME_NOT_SENT: Outcome.NOT_FORWARDED,
}
DEFAULT_RETRY = 1000.0  # ms, where the module says no time


def header(name: str, value: str) -> base_pb2.HeaderValueOption:
    return base_pb2.HeaderValueOption(
        header=base_pb2.HeaderValue(key=name, value=value),
        append_action=base_pb2.HeaderValueOption.OVERWRITE_IF_EXISTS_OR_ADD,
    )


def certificate_subjects(context: Any) -> tuple[str, ...]:
    """The names in the certificate that TLS has verified; none without one."""
    about = context.auth_context()
    names = [*about.get("x509_common_name", ()), *about.get("x509_subject_alternative_name", ())]
    return tuple(name.decode("utf-8", "replace") for name in names)


def remaining_ms(context: Any) -> float | None:
    left = context.time_remaining()
    return None if left is None else left * 1000.0


def denied_response(
    code: int, http: int, headers: Iterable[tuple[str, str]], body: dict[str, Any]
) -> auth.CheckResponse:
    return auth.CheckResponse(
        status=status_pb2.Status(code=code, message=str(body.get("error", ""))),
        denied_response=auth.DeniedHttpResponse(
            status=http_status_pb2.HttpStatus(code=http),
            headers=[header("content-type", "application/json"), *(header(k, v) for k, v in headers)],
            body=json.dumps(body),
        ),
    )


def read_server_certificate(part: Tls, folder: Path) -> Any:
    """What grpc serves with; raises where the files cannot be read or do not fit."""
    key, chain, ca = read_tls_files(part, folder)
    return grpc.ssl_server_certificate_configuration([(key, chain)], root_certificates=ca)


class AuthorizationService:
    """`Check`: a permitted question names the box; the asker sends the lookup on by itself."""

    def __init__(self, door: AuthzServer) -> None:
        self._door = door

    async def Check(self, request: auth.CheckRequest, context: Any) -> auth.CheckResponse:  # noqa: N802
        door, attributes = self._door, request.attributes
        http = attributes.request.http
        asked = AuthorizationRequest(
            attributes.context_extensions, http.headers, http.path, certificate_subjects(context), remaining_ms(context)
        )
        try:
            command = door.terms.command(asked)
        except InvalidRequestError as error:
            return denied_response(code_pb2.INVALID_ARGUMENT, 400, (), {"error": str(error)})
        except AccountNotAllowedError as error:
            return denied_response(code_pb2.PERMISSION_DENIED, 403, (), {"error": str(error)})
        if command.wait_ms <= 0:
            await context.abort(grpc.StatusCode.DEADLINE_EXCEEDED, "the deadline has passed")
        verdict = await door.questions.ask(command)
        if verdict.kind == "permitted":
            return auth.CheckResponse(
                status=status_pb2.Status(code=code_pb2.OK),
                ok_response=auth.OkHttpResponse(headers=door.permission(command, verdict)),
            )
        if verdict.kind == "refused":
            after = verdict.retry_after or DEFAULT_RETRY
            body = {"error": "over the quota or under pressure", "retry_after_ms": round(after)}
            return denied_response(code_pb2.RESOURCE_EXHAUSTED, 429, door.retry(command, after), body)
        if verdict.kind == "duplicate":
            body = {"error": "another request of this id is open"}
            return denied_response(code_pb2.ALREADY_EXISTS, 409, (), body)
        await door.abort(context, verdict)
        raise AssertionError("abort does not return")


class RateLimitService:
    """`ShouldRateLimit`: each descriptor is a question, and all are permitted or none is."""

    def __init__(self, door: AuthzServer) -> None:
        self._door = door

    async def ShouldRateLimit(self, request: rls.RateLimitRequest, context: Any) -> rls.RateLimitResponse:  # noqa: N802
        door, within, subjects = self._door, remaining_ms(context), certificate_subjects(context)
        try:
            commands = [self._command(request, n, within, subjects) for n in range(len(request.descriptors))]
        except InvalidRequestError as error:
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(error))
        except AccountNotAllowedError as error:
            await context.abort(grpc.StatusCode.PERMISSION_DENIED, str(error))
        if not commands:
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, "a question has one descriptor at least")
        verdicts: list[Verdict] = []
        try:
            for command in commands:
                verdicts.append(await door.questions.ask(command))
                if verdicts[-1].kind != "permitted":
                    break
        finally:
            if len(verdicts) < len(commands) or verdicts[-1].kind != "permitted":
                # together or not at all: what the others took is given back, also where the asker has gone
                for command, verdict in zip(commands, verdicts, strict=False):
                    if verdict.kind == "permitted":
                        door.questions.report(
                            command.client_request_id, command.customer_id, Outcome.NOT_FORWARDED, 0.0, b""
                        )
        last = verdicts[-1]
        if last.kind not in ("permitted", "refused"):
            await door.abort(context, last)
        return self._response(commands, verdicts)

    def _command(
        self, request: rls.RateLimitRequest, number: int, within: float | None, subjects: tuple[str, ...]
    ) -> Command:
        descriptor = request.descriptors[number]
        entries = {entry.key: entry.value for entry in descriptor.entries}
        units = descriptor.hits_addend.value if descriptor.HasField("hits_addend") else request.hits_addend or 1
        entries["units"] = str(units)
        # a rate limit question has no id of its own: one is made, so that nothing can collide with it
        own = f"rls-{self._door.next_number()}"
        entries["request"] = (
            f"{entries['request']}.{number}" if "request" in entries and number else entries.get("request", own)
        )
        return self._door.terms.command(AuthorizationRequest(entries, {}, "", subjects, within))

    def _response(self, commands: list[Command], verdicts: list[Verdict]) -> rls.RateLimitResponse:
        door, over = self._door, verdicts[-1].kind == "refused"
        code = rls.RateLimitResponse.OVER_LIMIT if over else rls.RateLimitResponse.OK
        statuses = []
        for n, command in enumerate(commands):
            plan = door.gateway.settings.plans[command.plan_index]
            refused = over and n == len(verdicts) - 1
            after = (verdicts[n].retry_after or DEFAULT_RETRY) if refused else 0.0
            status = rls.RateLimitResponse.DescriptorStatus(
                code=rls.RateLimitResponse.OVER_LIMIT if refused else rls.RateLimitResponse.OK,
                limit_remaining=door.remaining(command),
                duration_until_reset=duration_pb2.Duration(nanos=int(after % 1000 * 1e6), seconds=int(after // 1000)),
            )
            if plan.rate_per_s > 0:
                status.current_limit.requests_per_unit = max(1, round(plan.rate_per_s * 60))
                status.current_limit.unit = rls.RateLimitResponse.RateLimit.MINUTE
                status.current_limit.name = plan.name
            statuses.append(status)
        response = rls.RateLimitResponse(overall_code=code, statuses=statuses)
        if over:
            after = verdicts[-1].retry_after or DEFAULT_RETRY
            pairs = door.retry(commands[len(verdicts) - 1], after)
            response.response_headers_to_add.extend(base_pb2.HeaderValue(key=k, value=v) for k, v in pairs)
        else:
            response.request_headers_to_add.extend(o.header for o in door.permission(commands[0], verdicts[0]))
        return response


class LookupsService:
    def __init__(self, door: AuthzServer) -> None:
        self._door = door

    async def Report(self, request: lookups_pb2.ReportRequest, context: Any) -> lookups_pb2.ReportResponse:  # noqa: N802
        outcome = OUTCOMES.get(request.outcome, Outcome.CANCELLED)
        if request.outcome not in OUTCOMES:
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, "the outcome is missing or not known")
        if not math.isfinite(request.took_ms) or request.took_ms < 0:
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, "took_ms is no time")
        account = request.account.lower()
        if not self._door.terms.may_use_account(certificate_subjects(context), account):
            await context.abort(grpc.StatusCode.PERMISSION_DENIED, "the account is not one that this caller may name")
        counted = self._door.questions.report(
            request.permission.encode(), account, outcome, request.took_ms, request.load_report.encode()[:256]
        )
        return lookups_pb2.ReportResponse(counted=counted)


class AuthzServer:
    """The server in the limiter's loop; grpc keeps connections and streams within the bounds given."""

    def __init__(self, file: AuthzFile, folder: Path, gateway: Gateway) -> None:
        """Raises `AuthzError`."""
        self.file, self._folder, self.gateway = file, folder, gateway
        self._at = file.check()
        self.terms = RequestReader(file, gateway.settings, gateway.max_request_units)
        self.questions = PermissionRequests(gateway, file.bounds.kept, file.bounds.questions)
        self._health = health.aio.HealthServicer()
        self._server: Any = None
        self._certificate: Any = None
        self._number = 0
        self.port = 0

    def next_number(self) -> int:
        self._number += 1
        return self._number

    async def start(self) -> None:
        """Raises `OSError` where the address cannot be bound, `AuthzError` for certificates."""
        b = self.file.bounds
        self._server = grpc.aio.server(
            options=[
                ("grpc.max_concurrent_streams", b.streams),
                ("grpc.max_receive_message_length", b.message),
                ("grpc.max_metadata_size", b.metadata),
                ("grpc.absolute_max_metadata_size", 2 * b.metadata),
                ("grpc.http2.max_ping_strikes", b.ping_strikes),
                ("grpc.http2.min_ping_interval_without_data_ms", int(1000 * b.ping_interval)),
                ("grpc.max_connection_idle_ms", int(1000 * b.idle)),
                ("grpc.so_reuseport", 0),
                ("grpc.max_allowed_incoming_connections", b.connections),
                ("grpc.server_handshake_timeout_ms", int(1000 * b.handshake)),
            ],
            maximum_concurrent_rpcs=2 * b.questions,
        )
        auth_grpc.add_AuthorizationServicer_to_server(AuthorizationService(self), self._server)
        rls_grpc.add_RateLimitServiceServicer_to_server(RateLimitService(self), self._server)
        lookups_pb2_grpc.add_LookupsServicer_to_server(LookupsService(self), self._server)
        health_pb2_grpc.add_HealthServicer_to_server(self._health, self._server)
        if self.file.reflection:
            names = (CHECK, LIMIT, LOOKUPS, health.SERVICE_NAME, reflection.SERVICE_NAME)
            reflection.enable_server_reflection(names, self._server)
        host, port = self._at
        address = f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
        try:
            if self.file.tls is None:
                self.port = self._server.add_insecure_port(address)
            else:
                self._certificate = read_server_certificate(self.file.tls, self._folder)
                credentials = grpc.dynamic_ssl_server_credentials(
                    self._certificate, lambda: self._certificate, bool(self.file.tls.ca)
                )
                self.port = self._server.add_secure_port(address, credentials)
        except RuntimeError as error:
            raise OSError(f"authz: {address} cannot be bound: {error}") from None
        await self._server.start()
        await self.set_serving(True)
        log.info("external authorisation at %s, port %d", host, self.port)

    def reload(self) -> None:
        """Reads the certificates anew, for connections from now on; what cannot be read changes nothing."""
        if self.file.tls is not None:
            try:
                self._certificate = read_server_certificate(self.file.tls, self._folder)
            except Exception as error:
                log.error("the certificates stay as they were: %s", error)

    async def set_serving(self, serves: bool) -> None:
        word = health_pb2.HealthCheckResponse.SERVING if serves else health_pb2.HealthCheckResponse.NOT_SERVING
        for service in ("", CHECK, LIMIT):
            await self._health.set(service, word)

    async def stop(self) -> None:
        """GOAWAY to all, open questions answered within the bound, then the end."""
        await self._health.enter_graceful_shutdown()
        await self._server.stop(self.file.bounds.drain)

    # What the services share

    def remaining(self, command: Command) -> int:
        return self.gateway.remaining_units(command.customer_id)

    def permission(self, command: Command, verdict: Verdict) -> list[base_pb2.HeaderValueOption]:
        return [
            header(BOX, verdict.box),
            header(ENDPOINT, verdict.endpoint),
            header(PERMISSION, command.client_request_id.decode()),
            header(LIFE, str(int(verdict.life))),
            header(REMAINING, str(self.remaining(command))),
        ]

    def retry(self, command: Command, after: float) -> list[tuple[str, str]]:
        """`Retry-After` in whole seconds, rounded up, and the draft's RateLimit fields."""
        plan, seconds = self.gateway.settings.plans[command.plan_index], max(1, math.ceil(after / 1000.0))
        window = max(1, math.ceil(plan.burst_units / plan.rate_per_s)) if plan.rate_per_s > 0 else 1
        return [
            ("retry-after", str(seconds)),
            ("ratelimit-policy", f'"{plan.name}";q={max(1, round(plan.burst_units))};w={window}'),
            ("ratelimit", f'"{plan.name}";r=0;t={seconds}'),
        ]

    async def abort(self, context: Any, verdict: Verdict) -> None:
        """A question that got no decision: what the published protos' users take for the door's failure."""
        if verdict.kind == "crowded":
            await context.abort(grpc.StatusCode.RESOURCE_EXHAUSTED, "too many questions are open; come again")
        if verdict.kind == "duplicate":
            await context.abort(grpc.StatusCode.ALREADY_EXISTS, "another request of this id is open")
        await context.abort(grpc.StatusCode.DEADLINE_EXCEEDED, "no decision in time; nothing was taken")
