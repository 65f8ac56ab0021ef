"""Helpers for tests of commands that wait on their connection, as too many answers are pending."""

import asyncio
import fcntl
import socket
import struct
import termios

import hiredis

from elderlock.net.client_connection import MAX_PENDING_ANSWERS
from elderlock.standins.clients import Client
from elderlock.standins.servers import MISSING, served


def send_up_to_pending_limit(client: Client) -> None:
    """Send a request, and commands behind it whose answers wait for its answer, up to the limit of pending answers."""
    client.read("first")
    for _ in range(MAX_PENDING_ANSWERS - 1):
        client.send("PING")


async def expect_answers(client: Client, first: str) -> None:
    """Read the answers to the commands of `send_up_to_pending_limit`."""
    assert await answer_texts(client, MAX_PENDING_ANSWERS) == [first] + ["PONG"] * (MAX_PENDING_ANSWERS - 1)


async def answer_texts(client: Client, count: int) -> list[str | None]:
    """Read answers and return their texts; None stands for the end of the connection."""
    return [_text(await client.answer()) for _ in range(count)]


def _text(answer: bytes | hiredis.ReplyError | None) -> str | None:
    if answer is None:
        return None
    return answer.decode() if isinstance(answer, bytes) else str(answer)


def unacknowledged_bytes(writer: asyncio.StreamWriter) -> int:
    """Return the bytes that were written and that the limiter's machine has not acknowledged."""
    sock: socket.socket = writer.get_extra_info("socket")
    count: int = struct.unpack("i", fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, b"\0\0\0\0"))[0]
    return count + writer.transport.get_write_buffer_size()


class BlockingServer:
    """A server whose answers are in the limiter's socket once `answer` returns.

    Attributes:
        endpoint: Its address, as in lists.
    """

    def __init__(self) -> None:
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._listener.setblocking(False)
        self._connection: socket.socket | None = None
        self.endpoint = "127.0.0.1:%d" % self._listener.getsockname()[1]

    async def receive(self) -> None:
        """Accept the limiter's next connection and wait until it brings a command."""
        loop = asyncio.get_running_loop()
        self._connection, _ = await loop.sock_accept(self._listener)
        assert await loop.sock_recv(self._connection, 1 << 16)

    def answer(self, value: bytes) -> None:
        """Send an answer on the last connection."""
        assert self._connection is not None
        self._connection.send(served(value))

    def close_connection(self) -> None:
        """Close the last connection."""
        assert self._connection is not None
        self._connection.close()


class UnbufferedClient:
    """A client whose commands are in the limiter's socket once `send` returns."""

    def __init__(self, port: int) -> None:
        self._socket = socket.create_connection(("127.0.0.1", port))
        self._socket.setblocking(False)
        self._parser = hiredis.Reader(notEnoughData=MISSING)

    def send(self, *parts: str) -> None:
        """Send one command."""
        self._socket.send(hiredis.pack_command(parts))  # type: ignore[arg-type]

    async def answer(self) -> bytes | hiredis.ReplyError | None:
        """Wait for the next answer and return it, or None if the connection has ended."""
        while (answer := self._parser.gets()) is MISSING:
            data = await asyncio.get_running_loop().sock_recv(self._socket, 1 << 16)
            if not data:
                return None
            self._parser.feed(data)
        return answer  # type: ignore[no-any-return]

    def close(self) -> None:
        """Close the connection."""
        self._socket.close()
