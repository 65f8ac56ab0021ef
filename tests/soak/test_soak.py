"""A short, seeded soak of real limiters; the long run is started by hand (`python -m elderlock.soak`)."""

import json
import subprocess
import sys

import pytest

from elderlock.soak.run import SoakOptions, run_soak
from elderlock.standins.waiting import run
from elderlock.standins.world import ROOT

DURATION_S = 20.0
HANG_TIMEOUT_S = 100.0


@pytest.mark.parametrize("seed", [1, 2])
def test_clients_that_pipeline_write_and_leave_see_no_broken_rule(seed: int) -> None:
    """Shutdowns while servers hang, late copies with hold-ups and closes of idle connections break nothing."""
    report = run(run_soak(SoakOptions(seed, DURATION_S)), within=HANG_TIMEOUT_S)
    assert report.violations == ()
    assert report.shutdown_count > 0
    assert report.hold_up_count > 0
    assert report.answer_count > 0


def test_command_prints_a_summary_and_refuses_bad_options() -> None:
    command = [sys.executable, "-B", "-m", "elderlock.soak"]
    played = subprocess.run(
        [*command, "--seconds", "1", "--limiters", "1"], cwd=ROOT, capture_output=True, text=True, check=False
    )
    assert played.returncode == 0, played.stdout + played.stderr
    assert json.loads(played.stdout.splitlines()[-1])["violations"] == {}
    refused = subprocess.run([*command, "--seconds", "0"], cwd=ROOT, capture_output=True, text=True, check=False)
    assert refused.returncode == 2
    assert "--seconds has to be above 0" in refused.stderr
