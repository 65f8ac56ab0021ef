"""Between the door and the module: each new id is put to the gateway once, each verdict told to who waits."""

from __future__ import annotations

import asyncio

from elderlock.authz.permissions import Answer, Permissions, Verdict
from elderlock.interface import Outcome
from elderlock.net.command import Command
from elderlock.net.gateway import Gateway


class PermissionRequests:
    def __init__(self, gateway: Gateway, kept: int, undecided: int) -> None:
        self._gateway, self._most = gateway, undecided
        self._permissions = Permissions(kept)
        self.undecided = 0
        self.asked = 0
        self.verdicts: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._permissions)

    def put(self, command: Command, answer: Answer) -> int:
        """Answers once, perhaps before this returns; the number stands for this asker in `leave`."""
        self.asked += 1
        if self.undecided >= self._most:
            self._count("crowded")
            answer(Verdict("crowded"))
            return 0
        number, entry = self._permissions.ask(command, answer)
        if entry is not None:
            id = command.client_request_id
            self.undecided += 1
            entry.name = self._gateway.permit_requested(
                command,
                on_refused=lambda line: self._decided(id, verdict_of_error_line(line)),
                on_permitted=lambda box, endpoint, life: self._decided(
                    id, Verdict("permitted", 0.0, box, endpoint, life)
                ),
                on_ended=lambda: self._permissions.over(id),
            )
        return number

    def _decided(self, id: bytes, verdict: Verdict) -> None:
        self.undecided -= 1
        self._count(verdict.kind)
        self._permissions.decided(id, verdict)

    def _count(self, kind: str) -> None:
        self.verdicts[kind] = self.verdicts.get(kind, 0) + 1

    def leave(self, id: bytes, number: int) -> None:
        """Who waited has gone; with the last of them an undecided question goes too, and takes nothing."""
        name = self._permissions.leave(id, number)
        if name is not None:
            self.undecided -= 1
            self._count("left")
            self._gateway.client_disconnected(name)

    async def ask(self, command: Command) -> Verdict:
        """The verdict; a cancelled wait leaves."""
        future: asyncio.Future[Verdict] = asyncio.get_running_loop().create_future()

        def answer(verdict: Verdict) -> None:
            if not future.done():
                future.set_result(verdict)

        number = self.put(command, answer)
        if future.done():
            return future.result()
        try:
            return await future
        finally:
            if not future.done() or future.cancelled():
                self.leave(command.client_request_id, number)

    def report(self, id: bytes, customer: str, outcome: Outcome, took: float, load_report: bytes) -> bool:
        """How a permitted lookup ended; False where it is not out."""
        name = self._permissions.out(id, customer)
        return name is not None and self._gateway.permitted_request_ended(name, outcome, took, load_report)


def verdict_of_error_line(line: bytes) -> Verdict:
    """The verdict in a final answer as RESP2 words it, which is the one form that the gateway knows."""
    if line.startswith(b"-BUSY"):
        word = line[5:].strip()
        return Verdict("refused", float(word) if word.isdigit() else 0.0)
    return Verdict("duplicate" if line.startswith(b"-ERR a request of this id") else "failed")
