"""A gateway's client of the gRPC authorisation service: it checks requests and reports the outcomes of lookups."""

from typing import Any

import grpc
from envoy.service.auth.v3 import external_auth_pb2 as auth
from envoy.service.auth.v3 import external_auth_pb2_grpc as auth_grpc
from envoy.service.ratelimit.v3 import rls_pb2_grpc as rls_grpc

from elderlock.authz.v1 import lookups_pb2, lookups_pb2_grpc
from elderlock.standins.settings import CUSTOMER

OTHER_CUSTOMER = "0000000000000009"


class GatewayClient:
    """A gateway's connection to the gRPC authorisation service.

    Attributes:
        channel: The gRPC channel.
        auth: The stub of the external authorisation service.
        rls: The stub of the rate limit service.
        lookups: The stub of the service that takes reports.
    """

    def __init__(self, port: int, address: str = "") -> None:
        """Opens a channel to `address`, or to `port` on loopback if `address` is empty."""
        self.channel = grpc.aio.insecure_channel(address or f"127.0.0.1:{port}")
        self.auth = auth_grpc.AuthorizationStub(self.channel)
        self.rls = rls_grpc.RateLimitServiceStub(self.channel)
        self.lookups: Any = lookups_pb2_grpc.LookupsStub(self.channel)  # type: ignore[no-untyped-call]

    @classmethod
    def at(cls, address: str) -> "GatewayClient":
        """Opens a channel to `address`."""
        return cls(0, address)

    @staticmethod
    def check_request(name: str, **changes: Any) -> auth.CheckRequest:
        """Returns a check request; a change to None leaves its context extension out."""
        request = auth.CheckRequest()
        values = {
            "account": CUSTOMER,
            "plan": "team",
            "class": "lookup",
            "request": name,
            "spread": 1,
            "first": 0,
            **{key.replace("_", "-"): value for key, value in changes.items()},
        }
        for key, value in values.items():
            if value is not None:
                request.attributes.context_extensions[key] = str(value)
        return request

    async def check(self, name: str, timeout: float | None = 10.0, **changes: Any) -> Any:
        """Sends a check request and returns the response."""
        return await self.auth.Check(self.check_request(name, **changes), timeout=timeout)

    async def check_status(self, name: str, timeout: float | None = 10.0, **changes: Any) -> int | str:
        """Returns the HTTP status that a gateway would send, 200 for a permission, or the name of the gRPC status."""
        try:
            answer = await self.check(name, timeout, **changes)
        except grpc.aio.AioRpcError as error:
            return str(error.code().name)
        return 200 if answer.HasField("ok_response") else int(answer.denied_response.status.code)

    async def report(self, name: str, outcome: int = lookups_pb2.OUTCOME_SERVED, **changes: Any) -> bool:
        """Reports the outcome of a lookup and returns whether the limiter has counted it."""
        values = {"permission": name, "account": CUSTOMER, "outcome": outcome, "took_ms": 20.0, **changes}
        return bool((await self.lookups.Report(lookups_pb2.ReportRequest(**values), timeout=10.0)).counted)

    async def report_any(self, name: str) -> None:
        """Reports a lookup as served over the current channel, which a test may have replaced."""
        await lookups_report(self.channel, name)


async def lookups_report(channel: Any, name: str, account: str = "00000000000000aa") -> None:
    """Reports a lookup of an account as served."""
    stub: Any = lookups_pb2_grpc.LookupsStub(channel)  # type: ignore[no-untyped-call]
    outcome = lookups_pb2.OUTCOME_SERVED
    request = lookups_pb2.ReportRequest(permission=name, account=account, outcome=outcome, took_ms=20.0)
    await stub.Report(request, timeout=2.0)


def headers(answer: Any) -> dict[str, str]:
    """Returns the headers of a check response."""
    response = answer.ok_response if answer.HasField("ok_response") else answer.denied_response
    return {option.header.key: option.header.value for option in response.headers}
