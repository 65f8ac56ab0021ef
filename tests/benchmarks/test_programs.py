"""Each program of `benchmarks/` starts, and builds its settings from names that still exist.

No other test starts these programs, and some of their names are reached by text (a field as a keyword argument, a
module in a string of source), which the type checker does not see: a rename once left `rollout.py` with a TypeError.
"""

import ast
import importlib
import importlib.util
import subprocess
import sys
from pathlib import Path
from types import ModuleType
from typing import Any

import pytest

ROOT = Path(__file__).parent.parent.parent
BENCHMARKS = ROOT / "benchmarks"
PROGRAMS = sorted(path.stem for path in BENCHMARKS.glob("*.py"))


@pytest.fixture
def load(monkeypatch: pytest.MonkeyPatch) -> Any:
    """A function that imports a program of `benchmarks/` under a name that no test module has."""
    monkeypatch.syspath_prepend(str(BENCHMARKS))

    def load_program(name: str) -> ModuleType:
        spec = importlib.util.spec_from_file_location(f"benchmark_{name}", BENCHMARKS / f"{name}.py")
        assert spec is not None
        assert spec.loader is not None
        module = importlib.util.module_from_spec(spec)
        monkeypatch.setitem(sys.modules, spec.name, module)
        spec.loader.exec_module(module)
        return module

    return load_program


def test_every_program_is_found() -> None:
    assert len(PROGRAMS) == 10


@pytest.mark.parametrize("name", PROGRAMS)
def test_a_program_starts_and_prints_its_arguments(name: str) -> None:
    done = subprocess.run(
        [sys.executable, "-B", str(BENCHMARKS / f"{name}.py"), "--help"],
        cwd=ROOT,
        env={"PYTHONPATH": str(ROOT), "PATH": ""},
        capture_output=True,
        text=True,
        check=False,
    )
    assert done.returncode == 0, done.stderr
    assert done.stdout.startswith("usage:")


@pytest.mark.parametrize("name", PROGRAMS)
def test_source_in_a_programs_strings_imports_what_exists(name: str) -> None:
    """Some programs hand source text to another process: each name that it imports from the project exists."""
    tree = ast.parse((BENCHMARKS / f"{name}.py").read_text(encoding="utf-8"))
    texts = [
        node.value.value
        for node in tree.body
        if isinstance(node, ast.Assign) and isinstance(node.value, ast.Constant) and "import " in str(node.value.value)
    ]
    for text in texts:
        embedded = ast.parse(text)
        guarded = {child for node in ast.walk(embedded) if isinstance(node, ast.Try) for child in ast.walk(node)}
        for node in ast.walk(embedded):
            if isinstance(node, ast.ImportFrom) and (node.module or "").startswith("elderlock") and node not in guarded:
                module = importlib.import_module(node.module or "")
                for alias in node.names:
                    if not hasattr(module, alias.name):
                        importlib.import_module(f"{node.module}.{alias.name}")


def test_rollout_builds_its_cases(load: Any) -> None:
    program = load("rollout")
    assert program.LARGE.limiters == 300
    for long in (False, True):
        assert len(program.cases(long)) > 20
        assert len(program.releases_of_agents(long)) > 20


def test_rollout_replaces_only_fields_that_a_policy_has(load: Any) -> None:
    program = load("rollout")
    calls = [
        node
        for node in ast.walk(ast.parse((BENCHMARKS / "rollout.py").read_text(encoding="utf-8")))
        if isinstance(node, ast.Call) and getattr(node.func, "id", "") == program.replace_policy_fields.__name__
    ]
    replaced = {keyword.arg for call in calls for keyword in call.keywords}
    assert len(calls) == 2
    assert replaced <= set(program.POLICY.__struct_fields__)


def test_shared_state_builds_its_scenarios(load: Any) -> None:
    program = load("shared_state")
    for fault in ("", "silent", "errs"):
        for shared in (False, True):
            assert program.scenario(3, fault, shared).limiters == 3


def test_decisions_drives_a_limiter_and_lists_constants(load: Any) -> None:
    program = load("decisions")
    assert program.Driven(8).requests(60, 10) > 0.0
    assert len(program.constants()) > 20
    for day in program.DAYS:
        assert len(program.days(day)) == program.SEEDS


@pytest.mark.parametrize("series", ["calm", "silence", "restarts"])
def test_counter_loss_plays_a_series_by_each_method(load: Any, series: str) -> None:
    program = load("counter_loss")
    for method in program.QUOTA_METHODS:
        for hard in (True, False):
            played = program.play((method, series, hard, 3, 0))
            assert (played["way"], played["series"], played["hard"]) == (method, series, hard)


@pytest.mark.parametrize("name", ["limiter_cost", "load_truth"])
def test_a_programs_load_scenario_can_be_read(load: Any, name: str) -> None:
    program = load(name)
    text = program.SCENARIO.format(
        lasts=2.0,
        seed=1,
        workers=1,
        rate=100.0,
        accounts=10,
        arrivals="poisson",
        connections=10,
        deadline=100.0,
    )
    assert program.parse(text, name, ['targets.addresses=["127.0.0.1:1"]']).workers == 1


def test_the_simulated_experiments_can_be_read(load: Any) -> None:
    program = load("sim_scale")
    for name in ("partition", "power-loss"):
        assert program.load_scenario(name, BENCHMARKS).name == name


def test_options_of_the_decisions_benchmark_have_a_field_for_each_flag(load: Any) -> None:
    """Guards against: a flag is read by another name than its own, and the program ends before its figures."""
    module = load("decisions")
    options = module.parse_options(["--weigh", "--constants", "--split", "--program", "--rounds", "1"])
    assert options == module.Options(
        weigh=True, constants=True, split=True, program=True, rounds=1, seconds=6.0, subset=100
    )
