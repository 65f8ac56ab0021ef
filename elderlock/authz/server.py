"""The gRPC server of a limiter, which answers authorisation requests.

It offers Envoy's external authorisation and rate limit services, health checks, reflection, and the service `Lookups`,
to which callers report how permitted requests ended. It only translates: the limiter's gateway decides.

The protocols are envoy/service/auth/v3/external_auth.proto, envoy/service/ratelimit/v3/rls.proto and grpc.health.v1.
The RateLimit header fields are those of draft-ietf-httpapi-ratelimit-headers.
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

SERVER_HEADER, ENDPOINT_HEADER, PERMISSION_HEADER = "x-elderlock-box", "x-elderlock-endpoint", "x-elderlock-permission"
REMAINING_UNITS_HEADER, LIFETIME_HEADER = "x-elderlock-remaining", "x-elderlock-life-ms"
AUTHORIZATION_SERVICE, RATE_LIMIT_SERVICE = (
    "envoy.service.auth.v3.Authorization",
    "envoy.service.ratelimit.v3.RateLimitService",
)
LOOKUPS_SERVICE = "elderlock.v1.Lookups"
OUTCOMES = {
    lookups_pb2.OUTCOME_SERVED: Outcome.OK,
    lookups_pb2.OUTCOME_ERROR: Outcome.ERROR,
    lookups_pb2.OUTCOME_FULL: Outcome.FULL,
    lookups_pb2.OUTCOME_TIMEOUT: Outcome.TIMEOUT,
    lookups_pb2.OUTCOME_CONNECT_FAILED: Outcome.CONNECT_FAILED,
    lookups_pb2.OUTCOME_RESET: Outcome.RESET,
    lookups_pb2.OUTCOME_NOT_SENT: Outcome.NOT_FORWARDED,
}
DUPLICATE_ERROR = "another request with this id is open"
ACCOUNT_ERROR = "this caller may not use the account"
DEFAULT_RETRY_AFTER_MS = 1000.0  # for a refusal without a time


def header_option(name: str, value: str) -> base_pb2.HeaderValueOption:
    """Return a header that replaces one of the same name."""
    return base_pb2.HeaderValueOption(
        header=base_pb2.HeaderValue(key=name, value=value),
        append_action=base_pb2.HeaderValueOption.OVERWRITE_IF_EXISTS_OR_ADD,
    )


def certificate_subjects(context: Any) -> tuple[str, ...]:
    """Return the names in the caller's verified certificate; none if it has no certificate."""
    properties = context.auth_context()
    names = [*properties.get("x509_common_name", ()), *properties.get("x509_subject_alternative_name", ())]
    return tuple(name.decode("utf-8", "replace") for name in names)


def remaining_ms(context: Any) -> float | None:
    """Return the time to the call's gRPC deadline; None if it has none."""
    remaining_s = context.time_remaining()
    return None if remaining_s is None else remaining_s * 1000.0


def denied_response(
    code: int, http_status: int, headers: Iterable[tuple[str, str]], body: dict[str, Any]
) -> auth.CheckResponse:
    """Return the response that denies a request.

    Args:
        code: The gRPC status code in the response.
        http_status: The HTTP status that the gateway answers with.
        headers: The headers that the gateway adds to its answer.
        body: The JSON object that the gateway answers with. Its `error` is also the status message.
    """
    return auth.CheckResponse(
        status=status_pb2.Status(code=code, message=str(body.get("error", ""))),
        denied_response=auth.DeniedHttpResponse(
            status=http_status_pb2.HttpStatus(code=http_status),
            headers=[
                header_option("content-type", "application/json"),
                *(header_option(name, value) for name, value in headers),
            ],
            body=json.dumps(body),
        ),
    )


def read_server_certificate(tls: Tls, folder: Path) -> Any:
    """Return the certificate configuration for a gRPC server.

    Args:
        tls: The paths of the files.
        folder: The folder that relative paths start at.

    Raises:
        AuthzError: A file cannot be read.
        Exception: gRPC rejects the files, for example because the key does not match the certificate.
    """
    key, chain, ca = read_tls_files(tls, folder)
    return grpc.ssl_server_certificate_configuration([(key, chain)], root_certificates=ca)


class AuthorizationService:
    """Envoy's external authorisation. A permission names the server, and the caller forwards the request itself."""

    def __init__(self, server: AuthzServer) -> None:
        self._server = server

    async def Check(self, request: auth.CheckRequest, context: Any) -> auth.CheckResponse:  # noqa: N802
        """Answer one request: permitted with the server in headers, or denied with an HTTP status."""
        server, attributes = self._server, request.attributes
        http = attributes.request.http
        authorization_request = AuthorizationRequest(
            attributes.context_extensions, http.headers, http.path, certificate_subjects(context), remaining_ms(context)
        )
        try:
            command = server.reader.read(authorization_request)
        except InvalidRequestError as error:
            return denied_response(code_pb2.INVALID_ARGUMENT, 400, (), {"error": str(error)})
        except AccountNotAllowedError as error:
            return denied_response(code_pb2.PERMISSION_DENIED, 403, (), {"error": str(error)})
        if command.wait_ms <= 0:
            await context.abort(grpc.StatusCode.DEADLINE_EXCEEDED, "the deadline has passed")
        verdict = await server.requests.request(command)
        if verdict.kind == "permitted":
            return auth.CheckResponse(
                status=status_pb2.Status(code=code_pb2.OK),
                ok_response=auth.OkHttpResponse(headers=server.permission_headers(command, verdict)),
            )
        if verdict.kind == "refused":
            retry_after_ms = verdict.retry_after_ms or DEFAULT_RETRY_AFTER_MS
            body = {"error": "over the quota or overloaded", "retry_after_ms": round(retry_after_ms)}
            headers = server.refusal_headers(command, retry_after_ms)
            return denied_response(code_pb2.RESOURCE_EXHAUSTED, 429, headers, body)
        if verdict.kind == "duplicate":
            body = {"error": DUPLICATE_ERROR}
            return denied_response(code_pb2.ALREADY_EXISTS, 409, (), body)
        await server.abort(context, verdict)
        raise AssertionError("abort does not return")


class RateLimitService:
    """Envoy's rate limit service. Each descriptor is one request, and either all are permitted or none."""

    def __init__(self, server: AuthzServer) -> None:
        self._server = server

    async def ShouldRateLimit(self, request: rls.RateLimitRequest, context: Any) -> rls.RateLimitResponse:  # noqa: N802
        """Answer the descriptors of one call together."""
        server, timeout_ms, subjects = self._server, remaining_ms(context), certificate_subjects(context)
        try:
            commands = [
                self._command(request, index, timeout_ms, subjects) for index in range(len(request.descriptors))
            ]
        except InvalidRequestError as error:
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(error))
        except AccountNotAllowedError as error:
            await context.abort(grpc.StatusCode.PERMISSION_DENIED, str(error))
        if not commands:
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, "the request has no descriptors")
        verdicts: list[Verdict] = []
        try:
            for command in commands:
                verdicts.append(await server.requests.request(command))
                if verdicts[-1].kind != "permitted":
                    break
        finally:
            if len(verdicts) < len(commands) or verdicts[-1].kind != "permitted":
                # Not all are permitted, or the caller has cancelled: the units of those that were are given back.
                for command, verdict in zip(commands, verdicts, strict=False):
                    if verdict.kind == "permitted":
                        server.requests.report_end(
                            command.client_request_id, command.customer_id, Outcome.NOT_FORWARDED, 0.0, b""
                        )
        last_verdict = verdicts[-1]
        if last_verdict.kind not in ("permitted", "refused"):
            await server.abort(context, last_verdict)
        return self._response(commands, verdicts)

    def _command(
        self, request: rls.RateLimitRequest, index: int, timeout_ms: float | None, subjects: tuple[str, ...]
    ) -> Command:
        """Return a descriptor as a command."""
        descriptor = request.descriptors[index]
        entries = {entry.key: entry.value for entry in descriptor.entries}
        units = descriptor.hits_addend.value if descriptor.HasField("hits_addend") else request.hits_addend or 1
        entries["units"] = str(units)
        # The protocol has no request ids. A unique one is generated unless the descriptor has an entry for it, and
        # that one gets a suffix from the second descriptor on.
        generated_id = f"rls-{self._server.next_number()}"
        entries["request"] = (
            f"{entries['request']}.{index}" if "request" in entries and index else entries.get("request", generated_id)
        )
        return self._server.reader.read(AuthorizationRequest(entries, {}, "", subjects, timeout_ms))

    def _response(self, commands: list[Command], verdicts: list[Verdict]) -> rls.RateLimitResponse:
        """Return the response; a refusal is the last verdict, and later descriptors have none."""
        server, is_over_limit = self._server, verdicts[-1].kind == "refused"
        code = rls.RateLimitResponse.OVER_LIMIT if is_over_limit else rls.RateLimitResponse.OK
        statuses = []
        for index, command in enumerate(commands):
            plan = server.gateway.settings.plans[command.plan_index]
            is_refused = is_over_limit and index == len(verdicts) - 1
            retry_after_ms = (verdicts[index].retry_after_ms or DEFAULT_RETRY_AFTER_MS) if is_refused else 0.0
            status = rls.RateLimitResponse.DescriptorStatus(
                code=rls.RateLimitResponse.OVER_LIMIT if is_refused else rls.RateLimitResponse.OK,
                limit_remaining=server.remaining_units(command),
                duration_until_reset=duration_pb2.Duration(
                    nanos=int(retry_after_ms % 1000 * 1e6), seconds=int(retry_after_ms // 1000)
                ),
            )
            if plan.rate_per_s > 0:
                status.current_limit.requests_per_unit = max(1, round(plan.rate_per_s * 60))
                status.current_limit.unit = rls.RateLimitResponse.RateLimit.MINUTE
                status.current_limit.name = plan.name
            statuses.append(status)
        response = rls.RateLimitResponse(overall_code=code, statuses=statuses)
        if is_over_limit:
            retry_after_ms = verdicts[-1].retry_after_ms or DEFAULT_RETRY_AFTER_MS
            headers = server.refusal_headers(commands[len(verdicts) - 1], retry_after_ms)
            response.response_headers_to_add.extend(
                base_pb2.HeaderValue(key=name, value=value) for name, value in headers
            )
        else:
            response.request_headers_to_add.extend(
                option.header for option in server.permission_headers(commands[0], verdicts[0])
            )
        return response


class LookupsService:
    """Receives the callers' reports on how permitted requests ended."""

    def __init__(self, server: AuthzServer) -> None:
        self._server = server

    async def Report(self, request: lookups_pb2.ReportRequest, context: Any) -> lookups_pb2.ReportResponse:  # noqa: N802
        """Record one report."""
        outcome = OUTCOMES.get(request.outcome, Outcome.CANCELLED)
        if request.outcome not in OUTCOMES:
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, "outcome is missing or not known")
        if not math.isfinite(request.took_ms) or request.took_ms < 0:
            await context.abort(
                grpc.StatusCode.INVALID_ARGUMENT, "took_ms is not a duration: it must be finite and at least 0"
            )
        account = request.account.lower()
        if not self._server.reader.may_use_account(certificate_subjects(context), account):
            await context.abort(grpc.StatusCode.PERMISSION_DENIED, ACCOUNT_ERROR)
        counted = self._server.requests.report_end(
            request.permission.encode(), account, outcome, request.took_ms, request.load_report.encode()[:256]
        )
        return lookups_pb2.ReportResponse(counted=counted)


class AuthzServer:
    """The gRPC server, which runs in the limiter's event loop. gRPC enforces the limits on connections and streams.

    Attributes:
        file: The table `[authz]`.
        gateway: The limiter's gateway.
        reader: Reads requests.
        requests: The requests for permissions.
        port: The port that the server listens on; 0 before `start`.
    """

    def __init__(self, file: AuthzFile, folder: Path, gateway: Gateway) -> None:
        """Make a server without starting it.

        Args:
            file: The table `[authz]`.
            folder: The folder that relative paths in it start at.
            gateway: The limiter's gateway.

        Raises:
            AuthzError: The table is invalid.
        """
        self.file, self._folder, self.gateway = file, folder, gateway
        self._address = file.validate()
        self.reader = RequestReader(file, gateway.settings, gateway.max_request_units)
        self.requests = PermissionRequests(gateway, file.limits.maximum_permissions, file.limits.maximum_pending)
        self._health = health.aio.HealthServicer()
        self._server: Any = None
        self._certificate: Any = None
        self._last_number = 0
        self.port = 0

    def next_number(self) -> int:
        """Return a number that was not returned before."""
        self._last_number += 1
        return self._last_number

    async def start(self) -> None:
        """Start to listen.

        Raises:
            OSError: The address cannot be bound.
            AuthzError: A certificate file cannot be read.
        """
        limits = self.file.limits
        self._server = grpc.aio.server(
            options=[
                ("grpc.max_concurrent_streams", limits.maximum_streams),
                ("grpc.max_receive_message_length", limits.maximum_message_bytes),
                ("grpc.max_metadata_size", limits.maximum_metadata_bytes),
                ("grpc.absolute_max_metadata_size", 2 * limits.maximum_metadata_bytes),
                ("grpc.http2.max_ping_strikes", limits.maximum_ping_strikes),
                ("grpc.http2.min_ping_interval_without_data_ms", int(1000 * limits.minimum_ping_interval_s)),
                ("grpc.max_connection_idle_ms", int(1000 * limits.idle_timeout_s)),
                ("grpc.so_reuseport", 0),
                ("grpc.max_allowed_incoming_connections", limits.maximum_connections),
                ("grpc.server_handshake_timeout_ms", int(1000 * limits.handshake_timeout_s)),
            ],
            maximum_concurrent_rpcs=2 * limits.maximum_pending,
        )
        auth_grpc.add_AuthorizationServicer_to_server(AuthorizationService(self), self._server)
        rls_grpc.add_RateLimitServiceServicer_to_server(RateLimitService(self), self._server)
        lookups_pb2_grpc.add_LookupsServicer_to_server(LookupsService(self), self._server)
        health_pb2_grpc.add_HealthServicer_to_server(self._health, self._server)
        if self.file.reflection:
            names = (
                AUTHORIZATION_SERVICE,
                RATE_LIMIT_SERVICE,
                LOOKUPS_SERVICE,
                health.SERVICE_NAME,
                reflection.SERVICE_NAME,
            )
            reflection.enable_server_reflection(names, self._server)
        host, port = self._address
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
        log.info("external authorisation listens at %s, port %d", host, self.port)

    def reload(self) -> None:
        """Read the certificates again, for new connections. If that fails, the current ones stay in use."""
        if self.file.tls is not None:
            try:
                self._certificate = read_server_certificate(self.file.tls, self._folder)
            except Exception as error:
                log.error("cannot reload the certificates, the current ones stay in use: %s", error)

    async def set_serving(self, is_serving: bool) -> None:
        """Set the status that health checks report."""
        status = health_pb2.HealthCheckResponse.SERVING if is_serving else health_pb2.HealthCheckResponse.NOT_SERVING
        for service in ("", AUTHORIZATION_SERVICE, RATE_LIMIT_SERVICE):
            await self._health.set(service, status)

    async def stop(self) -> None:
        """Send GOAWAY to all callers, answer open requests until the drain timeout, then stop."""
        await self._health.enter_graceful_shutdown()
        await self._server.stop(self.file.limits.drain_timeout_s)

    # Used by the services

    def remaining_units(self, command: Command) -> int:
        """Return the units that the account of a request has left."""
        return self.gateway.remaining_units(command.customer_id)

    def permission_headers(self, command: Command, verdict: Verdict) -> list[base_pb2.HeaderValueOption]:
        """Return the headers of a permission."""
        return [
            header_option(SERVER_HEADER, verdict.server),
            header_option(ENDPOINT_HEADER, verdict.endpoint),
            header_option(PERMISSION_HEADER, command.client_request_id.decode()),
            header_option(LIFETIME_HEADER, str(int(verdict.lifetime_ms))),
            header_option(REMAINING_UNITS_HEADER, str(self.remaining_units(command))),
        ]

    def refusal_headers(self, command: Command, retry_after_ms: float) -> list[tuple[str, str]]:
        """Return `Retry-After`, in whole seconds and rounded up, and the RateLimit fields of the draft."""
        plan, seconds = self.gateway.settings.plans[command.plan_index], max(1, math.ceil(retry_after_ms / 1000.0))
        window = max(1, math.ceil(plan.burst_units / plan.rate_per_s)) if plan.rate_per_s > 0 else 1
        return [
            ("retry-after", str(seconds)),
            ("ratelimit-policy", f'"{plan.name}";q={max(1, round(plan.burst_units))};w={window}'),
            ("ratelimit", f'"{plan.name}";r=0;t={seconds}'),
        ]

    async def abort(self, context: Any, verdict: Verdict) -> None:
        """End a call that got no decision with a gRPC status, which gateways treat as a failure of this server."""
        if verdict.kind == "crowded":
            await context.abort(grpc.StatusCode.RESOURCE_EXHAUSTED, "too many requests are open; retry later")
        if verdict.kind == "duplicate":
            await context.abort(grpc.StatusCode.ALREADY_EXISTS, DUPLICATE_ERROR)
        await context.abort(grpc.StatusCode.DEADLINE_EXCEEDED, "no decision before the deadline; no units were taken")
