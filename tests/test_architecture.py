"""The import contracts between packages, and the modules that a limiter without optional features loads."""

import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent
DECISIONS = (
    "account_limit",
    "admission",
    "attempts",
    "context",
    "endpoints",
    "limiter",
    "load_estimator",
    "maintenance",
    "outlier_detection",
    "owner_selection",
    "peer_messenger",
    "quota_client",
    "quota_coordinator",
    "quota_owner",
    "quotas",
    "retry_policy",
    "server_health",
    "server_selection",
    "slow_start",
    "subsetting",
    "throttle",
    "usage_reports",
)
STRUCTURES = (
    "candidate_set",
    "expiry_queue",
    "rendezvous",
    "server_directory",
    "timer_queue",
    "weighted_sampler",
)
LIMITER_MODULES = {
    "elderlock",
    "elderlock.__main__",
    "elderlock.interface",
    "elderlock.interface.actions",
    "elderlock.interface.events",
    "elderlock.interface.settings",
    "elderlock.settings_reader",
    "elderlock.decisions",
    *(f"elderlock.decisions.{name}" for name in DECISIONS),
    "elderlock.structures",
    *(f"elderlock.structures.{name}" for name in STRUCTURES),
    "elderlock.peer_messages",
    "elderlock.state",
    "elderlock.net",
    "elderlock.net.authorised_requests",
    "elderlock.net.client_commands",
    "elderlock.net.client_connection",
    "elderlock.net.client_listener",
    "elderlock.net.clock",
    "elderlock.net.command",
    "elderlock.net.command_queue",
    "elderlock.net.command_scheduler",
    "elderlock.net.config",
    "elderlock.net.connection_owner",
    "elderlock.net.discovery",
    "elderlock.net.endpoint_list",
    "elderlock.net.errors",
    "elderlock.net.gateway",
    "elderlock.net.input_budget",
    "elderlock.net.memory_budget",
    "elderlock.net.open_requests",
    "elderlock.net.peers",
    "elderlock.net.pending_answers",
    "elderlock.net.request_ids",
    "elderlock.net.request_observer",
    "elderlock.net.resp",
    "elderlock.net.server_connection",
    "elderlock.net.server_pool",
    "elderlock.net.shutdown",
    "elderlock.net.signals",
    "elderlock.net.startup",
    "elderlock.net.unread_input",
}
LIBRARIES = {"h11", "uvloop"}


def test_the_import_contracts_hold() -> None:
    completed = subprocess.run(
        [sys.executable, "-c", "from importlinter.cli import lint_imports_command as c; c()", "--no-cache"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
    )
    assert completed.returncode == 0, completed.stdout + completed.stderr
    assert "0 broken" in completed.stdout


def test_a_limiter_without_optional_features_loads_only_the_listed_modules() -> None:
    """Each additional import costs every limiter memory, so disabled features must not be imported."""
    code = (
        "import sys; before = set(sys.modules); import elderlock.__main__;" "print(*sorted(set(sys.modules) - before))"
    )
    command = [sys.executable, "-c", code]
    loaded = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=True)
    modules = set(loaded.stdout.split())
    assert {name for name in modules if name.split(".")[0] == "elderlock"} == LIMITER_MODULES
    known_roots = LIBRARIES | set(sys.stdlib_module_names) | {"elderlock"}
    roots = {name.split(".")[0].lstrip("_") for name in modules}
    roots = {root for root in roots if not root.lower().startswith("cython_")}  # created by uvloop's Cython code
    assert roots <= {root.lstrip("_") for root in known_roots}
