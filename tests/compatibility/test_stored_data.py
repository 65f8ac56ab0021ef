"""Checks that files written before the Python names changed are read with the same values and written as the same bytes.

The files are in `data`. A rename must not change them.
"""

from __future__ import annotations

import gzip
import json
import random
import sqlite3
from pathlib import Path

import msgspec
import pytest

from elderlock.control.attach import read_records_file
from elderlock.control.records import Record
from elderlock.fleet.agent_store import Store
from elderlock.fleet.launcher.launcher import LauncherProcess
from elderlock.fleet.messages import AuditLine
from elderlock.load import report, trace
from elderlock.load.metrics import Totals
from elderlock.load.scenario import LatenessLimits, Ramp, Scenario, Steady
from elderlock.net.config import load_config
from elderlock.rollout import permit_ledger as ledger
from elderlock.rollout.agent_launcher import AgentVersion, LauncherState
from elderlock.rollout.caspaxos import Ballot
from elderlock.rollout.plans import Plan, RolloutPolicy, Unit
from elderlock.sim import seeds, sweep
from elderlock.sim.experiment import Cell, read_experiment
from elderlock.sim.figures import Figures, Result
from elderlock.trial import history

DATA = Path(__file__).parent / "data"
RECORDS = (
    Record("box", "box-7", True, 12, "origin-1", "ann", 1700000000123.5, "its fan is loud"),
    Record("limiter", "n1", False, 13, "origin-2", "bob", 1700000001000.0, ""),
)
LEDGER = ledger.Ledger(
    2,
    6,
    15,
    (ledger.Permit("box", "box-7", "origin-1", "ann", "its fan is loud", 14, 5, 1700000000000.0),),
    (
        Plan(
            "plan-1", "release", "v8", "ann", "new", 1700000000500.0,
            (Unit("n0", 0, "v7", "to", "trial", 14), Unit("n1", 1, "v7", "back", "done", 15)),
            RolloutPolicy(11.0, 20.0, 20.0, 30.0, 120.0, 5.0, 30.0, True), "halted", "back", "too slow", 3, "a1", 4, 5,
        ),
    ),
    (("n0", "v8"),),
    (("a9", "bob"),),
)  # fmt: skip


def database(name: str, folder: Path) -> Path:
    path = folder / "kept.db"
    with sqlite3.connect(path) as db:
        db.executescript((DATA / name).read_text(encoding="utf-8"))
    db.close()
    return path


def table_names(path: Path) -> set[str]:
    with sqlite3.connect(path) as db:
        found = {str(name) for (name,) in db.execute("SELECT name FROM sqlite_master WHERE type='table'")}
    db.close()
    return found


@pytest.fixture
def store(tmp_path: Path) -> Store:
    made = Store(database("agent_store.sql", tmp_path))
    assert made.damaged_file is None
    return made


def test_an_old_agent_store_is_read_with_its_records_and_audit_log(store: Store) -> None:
    assert store.records() == RECORDS
    assert store.audit(10) == (
        AuditLine(1700000000124.0, "ann", "operator", "drain box box-7", 12, ""),
        AuditLine(1700000001001.0, "bob", "operator", "undrain limiter n1", 13, "3 of 3"),
    )


def test_an_old_agent_store_is_read_with_its_epoch_limiters_and_versions(store: Store) -> None:
    assert store.epoch() == 42
    assert store.limiter("n0") == (True, 4711, 987654)
    assert store.limiter("n1") == (False, 0, 0)
    assert store.version("n0") == ("v8", 14, "v7")


def test_an_old_agent_store_is_read_with_its_vote_and_ledger(store: Store) -> None:
    vote = store.vote()
    assert vote is not None
    promised, accepted, value = vote
    assert (promised, accepted) == (Ballot(9, "a2:42"), Ballot(8, "a1:41"))
    assert ledger.decode_ledger(value) == LEDGER
    assert ledger.encode_ledger(ledger.decode_ledger(value)) == value


def test_writing_to_an_old_agent_store_adds_no_table(store: Store, tmp_path: Path) -> None:
    assert store.next_epoch() == 43
    store.save_vote(Ballot(10, "a2:43"), Ballot(8, "a1:41"), b"x")
    store.set_limiter("n0", False, 1, 2)
    store.set_version("n1", "v9", 20, "")
    store.save_records(RECORDS, AuditLine(1.0, "ann", "operator", "drain box box-7", 14, ""))
    store.close()
    new = tmp_path / "new.db"
    Store(new).close()
    assert table_names(tmp_path / "kept.db") == table_names(new)


def test_a_ledger_of_the_first_format_is_read_as_one_of_this_format() -> None:
    old = bytes.fromhex(
        "84a6666f726d617401a776657273696f6e03aa67656e65726174696f6e09a77065726d6974739188a46b696e64a3626f78"
        "a6746172676574a5626f782d37a66f726967696ea86f726967696e2d31a26279a3616e6ea6726561736f6ea0aa67656e65"
        "726174696f6e08a776657273696f6e02a26174cb0000000000000000"
    )
    permit = ledger.Permit("box", "box-7", "origin-1", "ann", "", 8, 2, 0.0)
    assert ledger.decode_ledger(old) == ledger.Ledger(2, 3, 9, (permit,))


def test_old_records_for_the_start_of_a_limiter_are_read(tmp_path: Path) -> None:
    data = bytes.fromhex((DATA / "limiter_records.hex").read_text())
    (tmp_path / "records").write_bytes(data)
    assert read_records_file(tmp_path / "records") == RECORDS
    assert msgspec.msgpack.encode(RECORDS) == data


def test_an_old_launcher_state_is_read_at_the_launchers_start(tmp_path: Path) -> None:
    data = (DATA / "base_state.json").read_bytes()
    (tmp_path / "a").mkdir()
    (tmp_path / "a" / "base").write_bytes(data)
    path = tmp_path / "agent.toml"
    path.write_text(
        '[agent]\nname = "a"\nlisten = "127.0.0.1:0"\nstate = "a"\ntokens = "tokens"\n'
        '[[limiter]]\nname = "n0"\ncommand = ["x"]\nconfig = "c"\n'
    )
    held = LauncherProcess(path, ["own"], random.Random(1)).launcher.state
    assert held == LauncherState(
        5, AgentVersion("v8", ("python", "-m", "elderlock")), AgentVersion("v7", ("old",)), True, 2500.0, 4, "it ended"
    )
    assert msgspec.json.encode(held) + b"\n" == data


def test_an_old_limiter_configuration_is_read_with_its_values() -> None:
    config = load_config({"PROXY_CONFIG": str(DATA / "limiter_config.json")})
    assert (config.name, config.seed) == ("n0", 0x8C1F30D27A5BE964)
    assert (config.listen_address, config.discovery_address) == (("127.0.0.1", 7001), ("127.0.0.1", 7002))
    assert (config.peer_listen_address, config.broadcast_address) == (("127.0.0.1", 7003), ("127.0.0.1", 7005))
    assert (config.max_descriptors, config.memory_mb) == (1024, 192.0)
    assert [plan.name for plan in config.settings.plans] == ["team", "tiny"]
    assert [each.name for each in config.settings.request_classes] == ["lookup", "pay"]
    assert (config.socket_settings.zones, config.socket_settings.kinds) == (("a", "b"), ("m1",))
    assert (config.socket_settings.connect_timeout_ms, config.socket_settings.keepalive_ms) == (251.0, 15001.0)
    assert (config.socket_settings.max_open_requests, config.socket_settings.largest_request_units) == (2001, 4.0)


def test_an_old_seed_is_read_with_its_values_and_written_as_the_same_text(tmp_path: Path) -> None:
    path = DATA / "kept_seed.toml"
    seed = seeds.read(path)
    assert (seed.seed, seed.floor, seed.broke) == (77, "decisions", ("drain reported as it is",))
    assert (seed.about, seed.digest) == ("kept for its form", "0123456789abcdef")
    scenario = seed.scenario
    assert (scenario.name, scenario.boxes, scenario.floors, scenario.agents) == ("kept", 4, 2, 2)
    assert [(f.at_s, f.what, f.target, f.for_s, f.by) for f in scenario.fault] == [
        (3.0, "slow", "box:0-1", 1.5, 4.0),
        (4.0, "op-drain", "box:0", 0.0, 0.0),
    ]
    assert scenario.stream[0].shape == (Steady(30.0), Ramp(10.0, 40.0, 2.0))
    assert (scenario.stream[0].plan, scenario.stream[0].accounts.count) == ("shop", 50)
    seeds.write(seed, tmp_path / "again.toml")
    assert (tmp_path / "again.toml").read_text() == path.read_text()


def test_old_results_of_a_sweep_belong_to_the_same_experiment(tmp_path: Path) -> None:
    """The digests of the results are computed from the encoded scenarios of the experiment.

    If a field were encoded under another name, the digests would differ and the sweep would refuse its own results."""
    experiment = read_experiment(DATA / "experiment.toml")
    done = sweep.ResultStore(database("sweep_results.sql", tmp_path)).load_results(experiment)
    assert list(done) == [Cell("kept", "a", 3), Cell("kept", "b", 3)]
    assert done[Cell("kept", "b", 3)] == Result(
        "kept", "decisions", 3,
        Figures(10, {"served": 9, "refused": 1}, 1.5, 2.5, 0.9, 1.1, 0.2, 0.05, 0.95, 0.8, 0.01, {"extra": 3.5}),
        [("a rule", 12.5, "why")], 1, "digest", 99, "livelock", "stuck", ["slow"], 0.5, 9.0,
    )  # fmt: skip
    assert {cell: experiment.digest(cell) for cell in experiment.cells()} == {
        Cell("kept", "a", 3): "ec59661e7605faeb",
        Cell("kept", "b", 3): "b06acb9b2a83e788",
        Cell("kept", "a", 4): "0d26962efc76c593",
        Cell("kept", "b", 4): "800f24b673a7a0da",
    }


TRACES = ["trace.jsonl", "trace.jsonl.gz", "trace.csv", "trace.csv.gz"]
ROWS = [
    trace.Row(0, "00000000b4d65521", "shop", "pay", 2.5, 900.0, 3, 1, "served"),
    trace.Row(1500, "0000000000000007", "team", "lookup", 1.0, 1200.0, 0, 0, ""),
]


@pytest.mark.parametrize("name", TRACES)
def test_a_recorded_trace_is_read_with_its_rows(name: str) -> None:
    with trace.open_trace(DATA / name) as file:
        assert [row for _, row in trace.read_rows(trace.read_lines(file))] == ROWS


@pytest.mark.parametrize("name", TRACES)
def test_a_trace_is_written_as_the_recorded_one(name: str, tmp_path: Path) -> None:
    writer = trace.TraceWriter(tmp_path / name)
    for row in ROWS:
        writer.write(row)
    writer.close()
    stored, made = (DATA / name).read_bytes(), (tmp_path / name).read_bytes()
    if name.endswith(".gz"):
        stored, made = gzip.decompress(stored), gzip.decompress(made)
    assert made == stored


def test_an_old_load_report_is_read_with_its_figures_and_written_as_the_same_bytes() -> None:
    data = (DATA / "load_report.json").read_bytes()
    made = report.decode(data)
    assert report.encode(made) + b"\n" == data
    assert (made.scenario, made.began_at, made.lasted_s, made.exit) == ("made", 1700000000.0, 2.0, report.Exit.FAILED)
    assert (made.outcomes, made.notes) == ({"served": 4, "refused": 2}, ["a note"])
    assert made.bounds == {"late_p99_ms": 20.0, "late_most_ms": 100.0, "connect_ms": 500.0, "verify": False}
    assert (made.targets_changed, made.trouble) == ([(0.5, 0, True)], [(1.0, "a box was stopped")])
    assert made.by["all"]["all"].latency["p99"] == 30.015
    # p75 is not stored, so it is computed from the histogram.
    assert report.failed_thresholds(made, ["p75>29ms"]) == ["p75>29ms: it is 30.015"]
    assert report.failed_thresholds(made, ["p99>20ms"]) == made.failed


def test_a_new_load_report_has_the_keys_of_the_old_one() -> None:
    made = report.build_report(
        Totals(LatenessLimits(), 1), Scenario("made"), scheduled=0, began_at=0.0, lasted=1.0, notes=[], incomplete=False
    )
    stored = json.loads((DATA / "load_report.json").read_bytes())
    again = json.loads(report.encode(made))
    assert list(again) == list(stored)
    assert again["bounds"] == stored["bounds"]
    assert [again[key].keys() for key in ("ledger", "by", "rss_kb")] == [
        stored[key].keys() for key in ("ledger", "by", "rss_kb")
    ]


def test_an_old_trial_history_is_read_and_written_as_the_same_lines(tmp_path: Path) -> None:
    path = DATA / "trial_history.jsonl"
    events = history.read(path)
    assert events == [
        history.Event(0.0, "asked", ("r1", "n0", 900.0, "free", True)),
        history.Event(12.346, "told", ("n0", {"s-0": [1, 2.5]})),
        history.Event(20.0, "fault", ("box:0", "slow", None)),
    ]
    history.write(events, tmp_path / "again.jsonl")
    assert (tmp_path / "again.jsonl").read_text() == path.read_text()


def test_the_event_names_of_a_trial_history_are_unchanged() -> None:
    assert history.EVENT_NAMES == (
        "asked", "answered", "excused", "sent", "ran", "told", "started", "spent", "limiter_began", "claimed", "failure",
        "undrained", "ceiling", "counted",
    )  # fmt: skip
