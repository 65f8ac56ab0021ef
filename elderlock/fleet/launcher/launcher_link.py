"""The link between an agent and its launcher (`elderlock.fleet.launcher.launcher`).

The agent sends messages to the launcher as lines of JSON on its standard output. When the launcher exits, the agent's
standard input ends.
"""

from __future__ import annotations

import asyncio
import os
import sys
from collections.abc import Callable, MutableMapping
from typing import BinaryIO

import msgspec

from elderlock import logs
from elderlock.rollout.agent_launcher import LauncherState, SwitchRequest

ENVIRONMENT_VARIABLE = "ELDERLOCK_BASE"
READ_BYTES = 1 << 12

log = logs.get_logger(__name__)


class Started(msgspec.Struct, frozen=True):
    """What the launcher tells the agent that it starts, in an environment variable.

    Attributes:
        state: The state of the launcher.
        start_count: How often the current version was started.
    """

    state: LauncherState = msgspec.field(name="held")
    start_count: int = msgspec.field(name="starts")


class SwitchVersion(msgspec.Struct, tag="to", frozen=True):
    """Requests that the launcher switches the agent to another version.

    Attributes:
        to: The version and the conditions of the switch.
    """

    to: SwitchRequest


class Ready(msgspec.Struct, tag="ready", frozen=True):
    """Reports that the agent is up and that a majority of its group hears it."""


class Settled(msgspec.Struct, tag="settled", frozen=True):
    """Reports that the trial of a version is over.

    Attributes:
        generation: The generation of the switch to that version.
    """

    generation: int


LauncherMessage = SwitchVersion | Ready | Settled
message_decoder = msgspec.json.Decoder(LauncherMessage)


class LauncherLink:
    """The agent's side of the link.

    Attributes:
        state: The state of the launcher when it started the agent.
        start_count: How often the launcher had started the current version.
    """

    def __init__(self, started: Started, output: BinaryIO) -> None:
        """Make a link.

        Args:
            started: What the launcher told the agent.
            output: The stream that messages to the launcher are written to.
        """
        self.state, self.start_count = started.state, started.start_count
        self._output = output
        self._is_ready_reported = False

    @classmethod
    def from_environ(cls, environ: MutableMapping[str, str]) -> LauncherLink | None:
        """Return the link to the launcher that started this process; None if no launcher did.

        The processes that the agent starts must neither take the launcher for their own nor write to it. So the
        variable is removed from `environ`, and the standard output is redirected to the log.
        """
        text = environ.get(ENVIRONMENT_VARIABLE, "")
        if not text:
            return None
        del environ[ENVIRONMENT_VARIABLE]
        output = os.fdopen(os.dup(sys.stdout.fileno()), "wb", buffering=0)
        os.dup2(sys.stderr.fileno(), sys.stdout.fileno())
        return cls(msgspec.json.decode(text, type=Started), output)

    def watch(self, on_exit: Callable[[], None]) -> None:
        """Call `on_exit` once the launcher has exited: the next launcher starts an agent of its own."""

        def read() -> None:
            if not os.read(0, READ_BYTES):
                asyncio.get_running_loop().remove_reader(0)
                log.warning("the launcher has exited, so the agent stops; limiters continue to run")
                on_exit()

        asyncio.get_running_loop().add_reader(0, read)

    def _send(self, message: LauncherMessage) -> None:
        try:
            self._output.write(msgspec.json.encode(message) + b"\n")
        except OSError as error:
            log.error("message to the launcher not sent", error=str(error))

    def request_switch(self, request: SwitchRequest) -> None:
        """Request the switch to another version."""
        self._send(SwitchVersion(request))

    def report_ready(self) -> None:
        """Report once that the agent is up."""
        if not self._is_ready_reported:
            self._is_ready_reported = True
            self._send(Ready())

    def report_settled(self) -> None:
        """Report that the trial of the current version is over, if it is on trial."""
        if self.state.is_on_trial:
            self._send(Settled(self.state.generation))
            self.state = msgspec.structs.replace(self.state, is_on_trial=False)
