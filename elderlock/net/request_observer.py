"""The interface of a gateway's observer, through which `elderlock.control` is connected."""

from __future__ import annotations

from typing import Protocol

from elderlock.net.command import Command
from elderlock.net.endpoint_list import EndpointList


class RequestObserver(Protocol):
    """Is notified of all answers and load reports, and applies operators' drains to the server lists."""

    def on_endpoint_list(self, listed: EndpointList) -> EndpointList:
        """Return the list that the limiter applies in place of a list from discovery."""

    def on_answer(self, command: Command, latency_ms: float, answer: bytes | None) -> None:
        """Record a request's final answer after `latency_ms`; None if its client has disconnected."""

    def on_load_report(self, server: str, report: bytes) -> None:
        """Record the load report in a server's answer."""
