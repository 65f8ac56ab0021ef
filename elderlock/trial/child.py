"""Starts an unmodified limiter, agent or launcher under the control of the test runner.

Usage: `python -m elderlock.trial.child limiter BLOCK`, `agent BLOCK FILE` or `base BLOCK FILE`, where BLOCK is the file
of the control block and FILE the agent's configuration. `base` starts the launcher, which starts the agent.

The program's own entry points run (`elderlock.__main__.main`, the agent's `serve`). Before they are loaded, the wall
clock, the disk and, if a test asks for one, a mutant are put in place.
"""

from __future__ import annotations

import os
import sys
import time
from pathlib import Path

from elderlock.trial.control_block import ControlBlock

BLOCK_VARIABLE, MUTANT_VARIABLE = "ELDERLOCK_TRIAL_SEAM", "ELDERLOCK_TRIAL_FLAW"
LIMITER_SOCKET_SUFFIX = ".own"  # of a limiter's own control socket; the relay in front of it has the name without it


def offset_wall_clock(block: ControlBlock) -> None:
    """Add the control block's offset to this process' wall clock; the monotonic clocks stay unchanged."""
    real_time, real_time_ns = time.time, time.time_ns
    time.time = lambda: real_time() + block.clock_offset_ms / 1000.0
    time.time_ns = lambda: real_time_ns() + int(block.clock_offset_ms * 1e6)


def move_socket_behind_relay(operators_path: Path) -> Path:
    """Copy the operators' file that the agent wrote, with another control socket; return the path of the copy.

    The agent connects to the original socket path, at which the relay listens.
    """
    lines = []
    for line in operators_path.read_text(encoding="utf-8").splitlines():
        if line.startswith("socket = "):
            line = line.rstrip()[:-1] + LIMITER_SOCKET_SUFFIX + '"'
        lines.append(line)
    copy_path = operators_path.with_name("operators-own.toml")
    copy_path.write_text("\n".join(lines) + "\n", encoding="utf-8")
    return copy_path


def run_limiter() -> int:
    """Run a limiter; return its exit code."""
    operators_path = os.environ.get("ELDERLOCK_OPERATORS")
    if operators_path:
        os.environ["ELDERLOCK_OPERATORS"] = str(move_socket_behind_relay(Path(operators_path)))
    from elderlock.__main__ import main

    return main()


def run_agent(path: Path, block: ControlBlock) -> int:
    """Run an agent on a disk with faults; return its exit code.

    Args:
        path: The agent's configuration.
        block: The agent's control block.
    """
    import uvloop

    from elderlock import logs
    from elderlock.fleet.agent.agent import serve
    from elderlock.fleet.agent_store import StoreError
    from elderlock.fleet.config import FileError, read_agent
    from elderlock.trial.disk import TrialHost

    logs.configure("json")
    state_folder = path.resolve().parent / read_agent(path).agent.state
    block_path = Path(os.environ[BLOCK_VARIABLE])
    try:
        uvloop.run(serve(path, host=TrialHost(block, state_folder, block_path.with_suffix(".durable"))))
    except (OSError, FileError, StoreError) as error:
        print(f"elderlock: {error}", file=sys.stderr)
        return 2
    return 0


def run_launcher(path: Path, block_path: Path) -> int:
    """Run a launcher that starts its agent by this module; return its exit code.

    Args:
        path: The agent's configuration.
        block_path: The file of the agent's control block.
    """
    import uvloop

    from elderlock import logs
    from elderlock.fleet.config import FileError
    from elderlock.fleet.launcher.launcher import serve

    logs.configure("json")
    agent_command = (sys.executable, "-B", "-m", "elderlock.trial.child", "agent", str(block_path))
    try:
        uvloop.run(serve(path, agent_command))
    except (OSError, FileError) as error:
        print(f"elderlock: {error}", file=sys.stderr)
        return 2
    return 0


def main() -> int:
    """Run the role that the command line names; return the exit code."""
    # The limiters that an agent starts inherit its environment, and their command lines name their own control blocks.
    role = sys.argv[1]
    block_path = Path(sys.argv[2])
    os.environ[BLOCK_VARIABLE] = str(block_path)
    if role == "base":  # the control block belongs to the launcher's agent
        return run_launcher(Path(sys.argv[3]), block_path)
    block = ControlBlock(block_path)
    block.record_start(os.getpid())
    offset_wall_clock(block)
    if mutant := os.environ.get(MUTANT_VARIABLE):
        from elderlock.trial.mutants import MUTANTS, ProcessPatch

        MUTANTS[mutant](ProcessPatch())
    code = run_limiter() if role == "limiter" else run_agent(Path(sys.argv[3]), block)
    block.record_exit(code)
    return code


if __name__ == "__main__":
    sys.exit(main())
