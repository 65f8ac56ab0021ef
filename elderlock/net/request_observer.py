"""What an observer of the gateway hears; the one way in for `elderlock.control`."""

from __future__ import annotations

from typing import Protocol

from elderlock.net.command import Command
from elderlock.net.endpoint_list import EndpointList


class RequestObserver(Protocol):
    """Hears the answers of all requests, and applies an operator's drains to the server lists."""

    def on_endpoint_list(self, listed: EndpointList) -> EndpointList:
        """Return the list that the limiter shall apply for one from discovery."""

    def on_answer(self, command: Command, took: float, answer: bytes | None) -> None:
        """Record a request's final answer after `took` ms; None if its client has gone."""

    def on_load_report(self, server: str, report: bytes) -> None:
        """Record the load report that came with a server's answer."""
