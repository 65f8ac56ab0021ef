"""Bad clients of case 8: each sends hundreds of commands at once, and the same again as soon as it is turned away."""

from __future__ import annotations

import selectors
import socket
import sys
import time

import standins2 as rig

LINE_END = b"\r\n"


class BadClient:
    """A bad client; it reads what it is sent."""

    def __init__(self, port: int, name: str, commands: int) -> None:
        self.commands = commands
        self.name = name
        self.batch = 0
        self.unanswered = 0
        self.unsent = b""
        self.socket = socket.create_connection((rig.HOST, port))
        self.socket.setblocking(False)
        self.send_batch()

    def send_batch(self) -> None:
        """Put the next commands into the buffer: all are of one customer that is far beyond its quota."""
        self.batch += 1
        self.unanswered += self.commands
        terms = rig.terms(t="basic")
        self.unsent += b"".join(
            rig.encode("API.READ", f"{9:016x}", f"{self.name}-{self.batch}-{number}", terms)
            for number in range(self.commands)
        )

    def write(self) -> None:
        """Send what fits."""
        if self.unsent:
            sent = self.socket.send(self.unsent)
            self.unsent = self.unsent[sent:]

    def read(self) -> int:
        """Read answers, of a line each, and return their number."""
        received = self.socket.recv(1 << 18)
        if not received:
            raise ConnectionResetError
        answers = received.count(LINE_END)
        self.unanswered -= answers
        if self.unanswered <= 0:
            self.send_batch()
        return answers


def main() -> None:
    """Run the clients; the arguments are port, clients, commands at once, seconds and a name."""
    port, clients, commands = map(int, sys.argv[1:4])
    ends_s = time.monotonic() + float(sys.argv[4])
    selector = selectors.DefaultSelector()

    def open_client(number: int) -> None:
        client = BadClient(port, f"{sys.argv[5]}-{number}-{time.monotonic_ns()}", commands)
        selector.register(client.socket, selectors.EVENT_READ | selectors.EVENT_WRITE, (number, client))

    for number in range(clients):
        open_client(number)
    answered = 0
    while time.monotonic() < ends_s:
        for key, events in selector.select(0.1):
            number, client = key.data
            try:
                if events & selectors.EVENT_WRITE:
                    client.write()
                if events & selectors.EVENT_READ:
                    answered += client.read()
                wanted = selectors.EVENT_READ | (selectors.EVENT_WRITE if client.unsent else 0)
                if wanted != key.events:
                    selector.modify(client.socket, wanted, key.data)
            except BlockingIOError:
                continue
            except OSError:
                selector.unregister(client.socket)
                client.socket.close()
                open_client(number)
    print(answered)


main()
