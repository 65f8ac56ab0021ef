"""What a client connection uses of the listener that accepted it."""

from __future__ import annotations

import asyncio
from enum import Enum
from typing import TYPE_CHECKING, Protocol

from elderlock.net.client_commands import CommandParser
from elderlock.net.command_scheduler import CommandScheduler
from elderlock.net.gateway import Gateway
from elderlock.net.input_budget import InputBudget

if TYPE_CHECKING:
    from elderlock.net.client_connection import ClientConnection


class CloseReason(Enum):
    """Why the limiter shuts down its side of a client connection, as its log names it."""

    ERROR = "errors of the client"
    DRAIN = "drain"
    IDLE_LIMIT = "limit on idle connections"
    DESCRIPTOR_LIMIT = "limit on descriptors"
    PROCESS_END = "end of the process"


class ConnectionOwner(Protocol):
    """The interface that a connection uses of the listener that accepted it.

    Attributes:
        loop: The event loop.
        gateway: Handles the requests.
        parser: Parses the requests.
        receive_buffer: Shared by all connections; the bytes are copied out before the next read.
        small_receive_buffer: A part of it, for reads while memory for input is scarce.
        scheduler: Gives connections their turns to handle commands.
        input_budget: Limits the memory for commands that wait on connections.
        is_draining: Whether a connection closes once it has no answer pending.
        is_cordoned: Whether an operator drained this limiter.
    """

    loop: asyncio.AbstractEventLoop
    gateway: Gateway
    parser: CommandParser
    receive_buffer: memoryview
    small_receive_buffer: memoryview
    scheduler: CommandScheduler
    input_budget: InputBudget
    is_draining: bool
    is_cordoned: bool

    def connection_opened(self, connection: ClientConnection) -> None:
        """Count a new connection."""

    def command_received(self, connection: ClientConnection) -> None:
        """Record that the connection has sent a complete command."""

    def connection_half_closed(self, connection: ClientConnection) -> None:
        """Record that the connection only waits for its client to close."""

    def connection_closed(self, connection: ClientConnection) -> None:
        """Stop counting the connection."""
