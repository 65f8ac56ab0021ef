"""Experiments: their files, sweeps that are stopped and go on, comparison, the page and the commands."""

from __future__ import annotations

import json
import os
import signal
import sqlite3
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import msgspec
import pytest

from elderlock.cli.main import main
from elderlock.load.scenario import ScenarioError
from elderlock.sim import compare
from elderlock.sim.experiment import Cell, Experiment, experiment_of, read_experiment, shipped_scenarios
from elderlock.sim.figures import FigureCollector, Figures, Result, jain
from elderlock.sim.page import page
from elderlock.sim.sweep import ResultStore, Sweep, SweepError

ROOT = Path(__file__).parent.parent.parent
SHORT = ["lasts_s=1.0", "warm_s=0.2", "rest_s=0.5", "agents=0", "boxes=3", "stream.0.shape.0.rate=40"]


def raw(seeds: int = 4, **changes: Any) -> dict[str, Any]:
    return {
        "name": "what-if",
        "seeds": seeds,
        "scenario": [{"name": "calm", "file": "calm", "set": SHORT}],
        "setting": [{"name": "three"}, {"name": "one", "set": ["limiters=1"]}],
        "figures": ["served_in_time", "p99_ms"],
        **changes,
    }


def made(**changes: Any) -> Experiment:
    return experiment_of(raw(**changes), "here.toml", Path("."))


def answer(given: bytes, seed: int, floor: str) -> bytes:
    """In place of a run: quick."""
    return msgspec.msgpack.encode(Result("x", floor, seed, Figures(offered=10, served_in_time=0.9, p99_ms=float(seed))))


def dies_at_two(given: bytes, seed: int, floor: str) -> bytes:
    mark = Path(os.environ["MARK"])
    if seed == 2 and not mark.exists():
        mark.touch()
        os.kill(os.getpid(), signal.SIGKILL)
    return answer(given, seed, floor)


def always_dies_at_two(given: bytes, seed: int, floor: str) -> bytes:
    if seed == 2:
        os.kill(os.getpid(), signal.SIGKILL)
    return answer(given, seed, floor)


def fails_at_two(given: bytes, seed: int, floor: str) -> bytes:
    if seed == 2:
        raise ZeroDivisionError("in the world")
    return answer(given, seed, floor)


class FullDisk(sqlite3.Connection):
    """Takes two results."""

    left = 2

    def execute(self, sql: str, *given: Any) -> sqlite3.Cursor:
        if sql.startswith("INSERT"):
            if FullDisk.left == 0:
                raise sqlite3.OperationalError("database or disk is full")
            FullDisk.left -= 1
        return super().execute(sql, *given)


def test_a_worker_that_is_killed_costs_no_recorded_run(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setenv("MARK", str(tmp_path / "died"))
    experiment, records = made(), ResultStore(tmp_path / "r.db")
    told: list[Cell] = []
    assert Sweep(experiment, records, 2, dies_at_two).run(lambda cell, result: told.append(cell)) == 0
    assert (tmp_path / "died").exists()
    assert len(told) == len(set(told)) == len(records.load_results(experiment)) == 8


def test_a_cell_that_kills_its_worker_each_time_ends_as_failed(tmp_path: Path) -> None:
    experiment, records = made(seeds=2), ResultStore(tmp_path / "r.db")
    assert Sweep(experiment, records, 1, always_dies_at_two).run() == 0
    results = records.load_results(experiment)
    assert {c.seed for c, r in results.items() if r.ended == "failed"} == {2}
    assert "worker died" in results[Cell("calm", "three", 2)].why
    assert all(r.good() for c, r in results.items() if c.seed == 1)


def test_a_run_that_raises_is_recorded_as_failed(tmp_path: Path) -> None:
    experiment, records = made(), ResultStore(tmp_path / "r.db")
    assert Sweep(experiment, records, 2, fails_at_two).run() == 0
    failed = compare.failures(records.load_results(experiment))
    assert len(failed) == 2 and all("in the world" in line for line in failed)


def test_a_full_disk_loses_nothing_that_was_recorded(tmp_path: Path) -> None:
    FullDisk.left = 2
    experiment, path = made(), tmp_path / "r.db"
    with pytest.raises(SweepError, match="disk is full"):
        Sweep(experiment, ResultStore(path, FullDisk), 2, answer).run()
    again = ResultStore(path)
    before = again.load_results(experiment)
    assert len(before) == 2
    told: list[Cell] = []
    assert Sweep(experiment, again, 2, answer).run(lambda cell, result: told.append(cell)) == 0
    assert len(told) == 6 and not set(told) & set(before)


def test_a_record_of_another_content_is_refused(tmp_path: Path) -> None:
    records = ResultStore(tmp_path / "r.db")
    Sweep(made(), records, 1, answer).run()
    other = raw()
    other["setting"][1]["set"] = ["limiters=2"]
    with pytest.raises(SweepError, match="another content"):
        records.load_results(experiment_of(other, "here.toml", Path(".")))


def test_ctrl_c_stops_a_sweep_that_the_same_call_ends(tmp_path: Path) -> None:
    seeds = 100  # a run takes 25 ms: on a busy machine a shorter sweep ends before the signal is sent
    path = tmp_path / "e.toml"
    path.write_text(msgspec.toml.encode(raw(seeds=seeds)).decode())
    command = [sys.executable, "-B", "-m", "elderlock.cli.main", "experiment", "run", str(path), "--workers", "1"]
    sweep = subprocess.Popen(command, cwd=ROOT, stderr=subprocess.PIPE, stdout=subprocess.PIPE, text=True)
    while not (tmp_path / "e.db").exists() or _recorded(tmp_path / "e.db") < 2:
        assert sweep.poll() is None
        time.sleep(0.02)
    sweep.send_signal(signal.SIGINT)
    _, said = sweep.communicate(timeout=60)
    kept = _recorded(tmp_path / "e.db")
    assert sweep.returncode == 130 and "the same call goes on" in said and 2 <= kept < 2 * seeds
    again = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=False)
    assert again.returncode == 0, again.stdout + again.stderr
    assert f"{kept} of {2 * seeds} runs are recorded" in again.stderr
    assert _recorded(tmp_path / "e.db") == 2 * seeds


def _recorded(path: Path) -> int:
    try:
        with sqlite3.connect(f"file:{path}?mode=ro", uri=True) as db:
            return int(db.execute("SELECT count(*) FROM runs").fetchone()[0])
    except sqlite3.Error:
        return 0


# Comparison


def results(shift: float, noise: float, seeds: int = 12) -> tuple[Experiment, dict[Cell, Result]]:
    experiment = made(seeds=seeds)
    found = {}
    for seed in range(1, seeds + 1):
        hard = 0.1 * (seed % 4)  # what a seed brings is the same for both
        for setting, more in (("three", 0.0), ("one", shift + noise * ((seed * 7919) % 11 - 5) / 5.0)):
            figures = Figures(offered=100, served_in_time=0.9 - hard + more, p99_ms=100.0)
            found[Cell("calm", setting, seed)] = Result("calm", "decisions", seed, figures)
    return experiment, found


def test_a_small_difference_is_seen_through_the_noise_that_seeds_share() -> None:
    experiment, found = results(shift=-0.02, noise=0.01)
    line = next(
        line
        for line in compare.compare_settings(experiment, found)
        if (line.setting, line.figure) == ("one", "served_in_time")
    )
    assert line.is_significant() and line.low is not None and line.high is not None
    assert line.low < -0.02 < line.high < 0 and line.pairs == 12


def test_no_difference_is_said_to_be_none() -> None:
    experiment, found = results(shift=0.0, noise=0.05)
    lines = compare.compare_settings(experiment, found)
    assert {line.verdict("three") for line in lines if line.setting == "one"} == {"no difference seen"}
    assert "no difference seen" in compare.summary(experiment, lines)


def test_few_pairs_say_nothing() -> None:
    experiment, found = results(shift=0.5, noise=0.0, seeds=4)
    lines = compare.compare_settings(experiment, found)
    assert all(line.verdict("three") == "too few pairs (4) to say" for line in lines if line.setting == "one")


def test_failed_runs_take_part_in_no_mean_and_are_told() -> None:
    experiment, found = results(shift=0.0, noise=0.01)
    cell = Cell("calm", "one", 3)
    found[cell] = Result("calm", "decisions", 3, Figures(), ended="livelock", why="time stands")
    lines = compare.compare_settings(experiment, found)
    assert {line.pairs for line in lines if line.setting == "one"} == {11}
    assert compare.failures(found) == ["calm, one, seed 3: livelock: time stands"]


def test_bounds_are_kept_or_named() -> None:
    experiment, found = results(shift=-0.05, noise=0.0)
    texts = ["served_in_time<0.1", "diff.served_in_time@one<-0.04", "p99_ms[calm]>99", "diff.p99_ms>1"]
    made_bounds = made(fail_if=texts).bounds
    broken = compare.find_broken_bounds(made_bounds, compare.compare_settings(experiment, found), "three")
    assert [text.split(":")[0] for text in broken] == [texts[1], texts[2], texts[2]]


def test_a_page_stands_alone() -> None:
    experiment, found = results(shift=-0.05, noise=0.01)
    text = page(experiment, found, compare.compare_settings(experiment, found), ["<b>a bound</b>"])
    assert text.count("<svg") >= 3 and "<script" not in text and "&lt;b&gt;" in text
    assert "limiters" in text  # the settings differ in their number, so there is a chart by it
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
def test_a_wrong_experiment_is_told(changes: dict[str, Any], message: str) -> None:
    with pytest.raises(ScenarioError, match=f"here.toml: .*{message}"):
        made(**changes)


def test_figures() -> None:
    account = FigureCollector(warm=1000.0, aim=50.0)
    for began, took in ((500.0, 1.0), (1200.0, 20.0), (1300.0, 40.0), (2500.0, 80.0), (3500.0, 10.0)):
        account.record_end(began, "served", took, "a")
    got = account.figures()
    assert (got.offered, round(got.p50_ms), got.worst_second) == (4, 20, 0.0)
    assert got.served_in_time == 0.75
    assert jain([]) == 1.0 and jain([1.0, 1.0]) == 1.0 and jain([1.0, 0.0, 0.0, 0.0]) == 0.25
    figures = Figures(offered=4, outcomes={"served": 1}, more={"x": 2.0})
    assert (figures.value("share.served"), figures.value("more.x")) == (0.25, 2.0)
    with pytest.raises(KeyError):
        figures.value("outcomes")


# The commands


def test_the_commands_play_keep_and_replay(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    sets = [word for change in SHORT for word in ("--set", change)]
    kept, trace = tmp_path / "s.toml", tmp_path / "t"
    assert main(["sim", "run", "calm", *sets, "--seed", "3", "--keep", str(kept), "--trace", str(trace)]) == 0
    assert "nothing broken" in capsys.readouterr().out and len(trace.read_text().splitlines()) > 100
    assert main(["sim", "replay", str(kept), "--trace"]) == 0
    out = capsys.readouterr()
    assert "seed 3" in out.out and "not the run that was kept" not in out.err
    assert main(["sim", "check", "partition"]) == 0
    assert "op-drain" in capsys.readouterr().out
    assert main(["sim", "scenarios"]) == 0
    assert all(name in capsys.readouterr().out for name in shipped_scenarios()[:1])
    assert main(["sim", "search", "calm", *sets, "--floor", "decisions", "--tries", "2", "--workers", "1"]) == 0
    assert "2 schedules" in capsys.readouterr().out


def test_what_cannot_be_used_is_one_plain_line(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    for words in (
        ["sim", "run", "nosuch"],
        ["sim", "replay", str(tmp_path / "x.toml")],
        ["experiment", "run", str(tmp_path / "x.toml")],
    ):
        assert main(words) == 2
        said = capsys.readouterr().err
        assert said.startswith("elderlock: ") and said.count("\n") == 1


def test_an_experiment_says_what_it_found_and_judges_it(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    path = tmp_path / "e.toml"
    path.write_text(msgspec.toml.encode(raw(seeds=1)).decode())
    assert main(["experiment", "check", str(path)]) == 0 and main(["experiment", "show", str(path)]) == 2
    html = tmp_path / "e.html"
    assert main(["experiment", "run", str(path), "--workers", "2", "--html", str(html)]) == 0
    assert "against three" in capsys.readouterr().out and "<svg" in html.read_text()
    assert main(["experiment", "show", str(path), "--json", "--fail-if", "served_in_time<2"]) == 7
    said = json.loads(capsys.readouterr().out)
    assert said["runs"] == 2 and len(said["not_kept"]) == 2
    assert read_experiment(path).baseline == "three"
