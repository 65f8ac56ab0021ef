"""Experiments: their files, interrupted sweeps, comparison with the baseline, the page and the commands."""

from __future__ import annotations

import json
import os
import signal
import sqlite3
import subprocess
import sys
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec
import pytest

from elderlock.cli.main import main
from elderlock.load.scenario import ScenarioError
from elderlock.sim import compare
from elderlock.sim.experiment import Cell, Experiment, parse_experiment, read_experiment, shipped_scenarios
from elderlock.sim.figures import FigureCollector, Figures, Result, jain
from elderlock.sim.page import page
from elderlock.sim.sweep import ResultStore, Sweep, SweepError

ROOT = Path(__file__).parent.parent.parent
SHORT = ["lasts_s=1.0", "warm_s=0.2", "rest_s=0.5", "agents=0", "boxes=3", "stream.0.shape.0.rate=40"]


def raw_experiment(seeds: int = 4, **changes: Any) -> dict[str, Any]:
    return {
        "name": "what-if",
        "seeds": seeds,
        "scenario": [{"name": "calm", "file": "calm", "set": SHORT}],
        "setting": [{"name": "three"}, {"name": "one", "set": ["limiters=1"]}],
        "figures": ["served_in_time", "p99_ms"],
        **changes,
    }


def make_experiment(**changes: Any) -> Experiment:
    return parse_experiment(raw_experiment(**changes), "here.toml", Path("."))


def quick_run(encoded: bytes, seed: int, floor: str) -> bytes:
    """Returns a fixed result at once, in place of a simulation."""
    return msgspec.msgpack.encode(Result("x", floor, seed, Figures(offered=10, served_in_time=0.9, p99_ms=float(seed))))


def die_once_at_seed_two(encoded: bytes, seed: int, floor: str) -> bytes:
    mark = Path(os.environ["MARK"])
    if seed == 2 and not mark.exists():
        mark.touch()
        os.kill(os.getpid(), signal.SIGKILL)
    return quick_run(encoded, seed, floor)


def die_at_seed_two(encoded: bytes, seed: int, floor: str) -> bytes:
    if seed == 2:
        os.kill(os.getpid(), signal.SIGKILL)
    return quick_run(encoded, seed, floor)


def fail_at_seed_two(encoded: bytes, seed: int, floor: str) -> bytes:
    if seed == 2:
        raise ZeroDivisionError("in the world")
    return quick_run(encoded, seed, floor)


class FullDiskConnection(sqlite3.Connection):
    """A connection whose disk is full after two results."""

    left = 2

    def execute(self, sql: str, *args: Any) -> sqlite3.Cursor:
        if sql.startswith("INSERT"):
            if FullDiskConnection.left == 0:
                raise sqlite3.OperationalError("database or disk is full")
            FullDiskConnection.left -= 1
        return super().execute(sql, *args)


def test_a_killed_worker_loses_no_recorded_run(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setenv("MARK", str(tmp_path / "died"))
    experiment, store = make_experiment(), ResultStore(tmp_path / "r.db")
    reported: list[Cell] = []
    assert Sweep(experiment, store, 2, die_once_at_seed_two).run(lambda cell, result: reported.append(cell)) == 0
    assert (tmp_path / "died").exists()
    assert len(reported) == len(set(reported)) == len(store.load_results(experiment)) == 8


def test_a_cell_that_always_kills_its_worker_is_recorded_as_failed(tmp_path: Path) -> None:
    experiment, store = make_experiment(seeds=2), ResultStore(tmp_path / "r.db")
    assert Sweep(experiment, store, 1, die_at_seed_two).run() == 0
    results = store.load_results(experiment)
    assert {cell.seed for cell, result in results.items() if result.ended == "failed"} == {2}
    assert "worker died" in results[Cell("calm", "three", 2)].why
    assert all(result.good() for cell, result in results.items() if cell.seed == 1)


def test_a_run_that_raises_is_recorded_as_failed(tmp_path: Path) -> None:
    experiment, store = make_experiment(), ResultStore(tmp_path / "r.db")
    assert Sweep(experiment, store, 2, fail_at_seed_two).run() == 0
    failed = compare.failures(store.load_results(experiment))
    assert len(failed) == 2 and all("in the world" in line for line in failed)


def test_a_full_disk_loses_no_recorded_run(tmp_path: Path) -> None:
    FullDiskConnection.left = 2
    experiment, path = make_experiment(), tmp_path / "r.db"
    with pytest.raises(SweepError, match="disk is full"):
        Sweep(experiment, ResultStore(path, FullDiskConnection), 2, quick_run).run()
    reopened = ResultStore(path)
    before = reopened.load_results(experiment)
    assert len(before) == 2
    reported: list[Cell] = []
    assert Sweep(experiment, reopened, 2, quick_run).run(lambda cell, result: reported.append(cell)) == 0
    assert len(reported) == 6 and not set(reported) & set(before)


def test_results_of_a_changed_setting_are_rejected(tmp_path: Path) -> None:
    store = ResultStore(tmp_path / "r.db")
    Sweep(make_experiment(), store, 1, quick_run).run()
    other = raw_experiment()
    other["setting"][1]["set"] = ["limiters=2"]
    with pytest.raises(SweepError, match="another content"):
        store.load_results(parse_experiment(other, "here.toml", Path(".")))


@pytest.fixture
def default_interrupts() -> Iterator[None]:
    """Let child processes receive SIGINT: a test run that was started with `nohup ... &` passes on that it is ignored."""
    previous = signal.signal(signal.SIGINT, signal.default_int_handler)
    yield
    signal.signal(signal.SIGINT, previous)


@pytest.mark.usefixtures("default_interrupts")
def test_an_interrupted_sweep_resumes_with_the_same_command(tmp_path: Path) -> None:
    seeds = 15
    path = tmp_path / "e.toml"
    path.write_text(msgspec.toml.encode(raw_experiment(seeds=seeds)).decode())
    command = [sys.executable, "-B", "-m", "elderlock.cli.main", "experiment", "run", str(path), "--workers", "1"]
    sweep = subprocess.Popen(command, cwd=ROOT, stderr=subprocess.PIPE, stdout=subprocess.PIPE, text=True)
    while not (tmp_path / "e.db").exists() or _count_recorded(tmp_path / "e.db") < 2:
        assert sweep.poll() is None
        time.sleep(0.02)
    sweep.send_signal(signal.SIGINT)
    _, output = sweep.communicate(timeout=60)
    recorded = _count_recorded(tmp_path / "e.db")
    assert sweep.returncode == 130 and "the same call goes on" in output and 2 <= recorded < 2 * seeds
    resumed = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=False)
    assert resumed.returncode == 0, resumed.stdout + resumed.stderr
    assert f"{recorded} of {2 * seeds} runs are recorded" in resumed.stderr
    assert _count_recorded(tmp_path / "e.db") == 2 * seeds


def _count_recorded(path: Path) -> int:
    try:
        with sqlite3.connect(f"file:{path}?mode=ro", uri=True) as db:
            return int(db.execute("SELECT count(*) FROM runs").fetchone()[0])
    except sqlite3.Error:
        return 0


# Comparison


def results_with_difference(shift: float, noise: float, seeds: int = 12) -> tuple[Experiment, dict[Cell, Result]]:
    experiment = make_experiment(seeds=seeds)
    results = {}
    for seed in range(1, seeds + 1):
        shared_effect = 0.1 * (seed % 4)  # both settings get the same effect of a seed
        for setting, own_effect in (("three", 0.0), ("one", shift + noise * ((seed * 7919) % 11 - 5) / 5.0)):
            figures = Figures(offered=100, served_in_time=0.9 - shared_effect + own_effect, p99_ms=100.0)
            results[Cell("calm", setting, seed)] = Result("calm", "decisions", seed, figures)
    return experiment, results


def test_a_small_difference_is_detected_despite_noise_shared_by_seeds() -> None:
    experiment, results = results_with_difference(shift=-0.02, noise=0.01)
    line = next(
        line
        for line in compare.compare_settings(experiment, results)
        if (line.setting, line.figure) == ("one", "served_in_time")
    )
    assert line.is_significant() and line.low is not None and line.high is not None
    assert line.low < -0.02 < line.high < 0 and line.pairs == 12


def test_noise_alone_is_not_reported_as_a_difference() -> None:
    experiment, results = results_with_difference(shift=0.0, noise=0.05)
    lines = compare.compare_settings(experiment, results)
    assert {line.verdict("three") for line in lines if line.setting == "one"} == {"no difference seen"}
    assert "no difference seen" in compare.summary(experiment, lines)


def test_too_few_pairs_give_no_verdict() -> None:
    experiment, results = results_with_difference(shift=0.5, noise=0.0, seeds=4)
    lines = compare.compare_settings(experiment, results)
    assert all(line.verdict("three") == "too few pairs (4) to say" for line in lines if line.setting == "one")


def test_failed_runs_are_excluded_from_means_and_listed() -> None:
    experiment, results = results_with_difference(shift=0.0, noise=0.01)
    cell = Cell("calm", "one", 3)
    results[cell] = Result("calm", "decisions", 3, Figures(), ended="livelock", why="time stands")
    lines = compare.compare_settings(experiment, results)
    assert {line.pairs for line in lines if line.setting == "one"} == {11}
    assert compare.failures(results) == ["calm, one, seed 3: livelock: time stands"]


def test_broken_bounds_are_listed() -> None:
    experiment, results = results_with_difference(shift=-0.05, noise=0.0)
    bound_texts = ["served_in_time<0.1", "diff.served_in_time@one<-0.04", "p99_ms[calm]>99", "diff.p99_ms>1"]
    bounds = make_experiment(fail_if=bound_texts).bounds
    broken = compare.find_broken_bounds(bounds, compare.compare_settings(experiment, results), "three")
    assert [text.split(":")[0] for text in broken] == [bound_texts[1], bound_texts[2], bound_texts[2]]


def test_the_page_is_self_contained() -> None:
    experiment, results = results_with_difference(shift=-0.05, noise=0.01)
    text = page(experiment, results, compare.compare_settings(experiment, results), ["<b>a bound</b>"])
    assert text.count("<svg") >= 3 and "<script" not in text and "&lt;b&gt;" in text
    assert "limiters" in text  # the settings differ in the number of limiters, which gives a chart
    links = (
        text.replace("http://www.w3.org/", "")
        .replace("<!--http://github.com/Kozea/pygal-->", "")
        .replace("<!--http://pygal.org-->", "")
    )
    assert "http://" not in links and "https://" not in links


@pytest.mark.parametrize(
    "changes, message",
    [
        ({"scenario": []}, "one .*scenario"),
        ({"seeds": 0}, "between 1 and"),
        ({"baseline": "x"}, "no setting 'x'"),
        ({"figures": ["speed"]}, "no 'speed'"),
        ({"fail_if": ["speed<1"]}, "no figure 'speed'"),
        ({"fail_if": ["p99_ms"]}, "is not like"),
        ({"fail_if": ["p99_ms@x>1"]}, "no setting 'x'"),
        ({"fail_if": ["p99_ms[x]>1"]}, "no scenario 'x'"),
        ({"nonsense": 1}, "unknown field"),
        ({"scenario": [{"name": "a", "file": "nosuch"}]}, "no scenario 'nosuch' ships"),
        ({"scenario": [{"name": "a b", "file": "calm"}]}, "is no name"),
        ({"setting": [{"name": "a", "set": ["limiters=0"]}]}, "limiters is 0"),
        ({"setting": [{"name": "a"}, {"name": "a"}]}, "two settings"),
    ],
)
def test_an_invalid_experiment_error_names_the_file_and_the_fault(changes: dict[str, Any], message: str) -> None:
    with pytest.raises(ScenarioError, match=f"here.toml: .*{message}"):
        make_experiment(**changes)


def test_figures_of_a_run() -> None:
    account = FigureCollector(warm=1000.0, aim=50.0)
    for began, took in ((500.0, 1.0), (1200.0, 20.0), (1300.0, 40.0), (2500.0, 80.0), (3500.0, 10.0)):
        account.record_end(began, "served", took, "a")
    figures = account.figures()
    assert (figures.offered, round(figures.p50_ms), figures.worst_second) == (4, 20, 0.0)
    assert figures.served_in_time == 0.75
    assert jain([]) == 1.0 and jain([1.0, 1.0]) == 1.0 and jain([1.0, 0.0, 0.0, 0.0]) == 0.25
    figures = Figures(offered=4, outcomes={"served": 1}, more={"x": 2.0})
    assert (figures.value("share.served"), figures.value("more.x")) == (0.25, 2.0)
    with pytest.raises(KeyError):
        figures.value("outcomes")


# The commands


def test_sim_commands_run_keep_replay_check_and_search(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    set_options = [word for change in SHORT for word in ("--set", change)]
    seed_path, trace = tmp_path / "s.toml", tmp_path / "t"
    assert (
        main(["sim", "run", "calm", *set_options, "--seed", "3", "--keep", str(seed_path), "--trace", str(trace)]) == 0
    )
    assert "nothing broken" in capsys.readouterr().out and len(trace.read_text().splitlines()) > 100
    assert main(["sim", "replay", str(seed_path), "--trace"]) == 0
    out = capsys.readouterr()
    assert "seed 3" in out.out and "not the run that was kept" not in out.err
    assert main(["sim", "check", "partition"]) == 0
    assert "op-drain" in capsys.readouterr().out
    assert main(["sim", "scenarios"]) == 0
    assert all(name in capsys.readouterr().out for name in shipped_scenarios()[:1])
    assert main(["sim", "search", "calm", *set_options, "--floor", "decisions", "--tries", "2", "--workers", "1"]) == 0
    assert "2 schedules" in capsys.readouterr().out


def test_unusable_input_is_reported_in_one_line(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    for words in (
        ["sim", "run", "nosuch"],
        ["sim", "replay", str(tmp_path / "x.toml")],
        ["experiment", "run", str(tmp_path / "x.toml")],
    ):
        assert main(words) == 2
        output = capsys.readouterr().err
        assert output.startswith("elderlock: ") and output.count("\n") == 1


def test_experiment_commands_report_results_and_check_bounds(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "e.toml"
    path.write_text(msgspec.toml.encode(raw_experiment(seeds=1)).decode())
    assert main(["experiment", "check", str(path)]) == 0 and main(["experiment", "show", str(path)]) == 2
    html = tmp_path / "e.html"
    assert main(["experiment", "run", str(path), "--workers", "2", "--html", str(html)]) == 0
    assert "against three" in capsys.readouterr().out and "<svg" in html.read_text()
    assert main(["experiment", "show", str(path), "--json", "--fail-if", "served_in_time<2"]) == 7
    output = json.loads(capsys.readouterr().out)
    assert output["runs"] == 2 and len(output["not_kept"]) == 2
    assert read_experiment(path).baseline == "three"
