"""Checks that messages, files and printed records are encoded as before the Python names changed.

Each stored encoding is decoded by the current class and encoded again as the same bytes. A rename changes the tables
here, but must not change the stored data.
"""

from __future__ import annotations

import importlib
import json
import pkgutil
import tomllib
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import msgspec
import pytest
from msgspec import inspect

import elderlock
from elderlock.authz import config as authz_config
from elderlock.authz import limiter_selection as authz_limiter_selection
from elderlock.authz import permissions as authz_permissions
from elderlock.authz import request_reader as authz_request_reader
from elderlock.authz import routing_server as authz_routing_server
from elderlock.control import attach as control_attach
from elderlock.control import messages as control_messages
from elderlock.control import records as control_records
from elderlock.fleet import auth as fleet_auth
from elderlock.fleet import config as fleet_config
from elderlock.fleet import messages as fleet_messages
from elderlock.fleet.client import answers as fleet_answers
from elderlock.fleet.client import commands as fleet_commands
from elderlock.fleet.client import comparison as fleet_compare
from elderlock.fleet.client import drain_commands as fleet_operate
from elderlock.fleet.client import drain_plan as fleet_plan
from elderlock.fleet.client import explanation as fleet_explain
from elderlock.fleet.client import observation as fleet_seen
from elderlock.fleet.client import plan_commands as fleet_operate_plans
from elderlock.fleet.client import report as fleet_report
from elderlock.fleet.launcher import launcher_link as fleet_based
from elderlock.fleet.supervision import supervisor as fleet_supervise
from elderlock.fleet.supervision import versions as fleet_versions
from elderlock.load import accounts as load_accounts
from elderlock.load import compare as load_compare
from elderlock.load import lateness as load_lateness
from elderlock.load import messages as load_messages
from elderlock.load import metrics as load_metrics
from elderlock.load import report as load_report
from elderlock.load import scenario as load_scenario
from elderlock.load import trace as load_trace
from elderlock.quota import options as quota_options
from elderlock.rollout import agent_launcher as rollout_basing
from elderlock.rollout import disruption_budget as rollout_budget
from elderlock.rollout import permit_ledger as rollout_ledger
from elderlock.rollout import plans as rollout_plans
from elderlock.sim import experiment as sim_experiment
from elderlock.sim import figures as sim_figures
from elderlock.sim import scenario as sim_scenario
from elderlock.sim import seeds as sim_seeds

DATA = Path(__file__).parent / "data"
STORED: dict[str, dict[str, str]] = json.loads((DATA / "encoded_messages.json").read_text(encoding="utf-8"))
CHOICES: dict[str, dict[str, list[Any]]] = json.loads((DATA / "choices.json").read_text(encoding="utf-8"))

MESSAGES: dict[str, type[msgspec.Struct]] = {
    "authz-file.tls": authz_config.Tls,
    "authz-file.asker": authz_config.Caller,
    "authz-file.field": authz_config.FieldSource,
    "authz-file.mapping": authz_config.RequestMapping,
    "authz-file.bounds": authz_config.ServerLimits,
    "authz-file.authz-file": authz_config.AuthzFile,
    "authz-router-file.limiter-at": authz_routing_server.LimiterAddress,
    "authz-router-file.routing-file": authz_routing_server.RoutingFile,
    "control-file.control-file": control_attach.ControlOptions,
    "control-file.routing-file": control_attach.RoutingOptions,
    "control-file.shared-file": control_attach.SharedOptions,
    "control-file.operators-file": control_attach.OperatorsFile,
    "control.hello": control_messages.Hello,
    "control.welcome": control_messages.Welcome,
    "control.refused": control_messages.Refused,
    "control.look": control_messages.GetState,
    "control.apply": control_messages.ApplyRecords,
    "control.applied": control_messages.RecordsApplied,
    "control.stop": control_messages.Stop,
    "control.stopping": control_messages.Stopping,
    "control.counts": control_messages.AnswerCounts,
    "control.witness": control_messages.HealthWitness,
    "control.health": control_messages.ServerHealth,
    "control.box": control_messages.ServerStatus,
    "control.throttle": control_messages.ThrottleStatus,
    "control.peer": control_messages.PeerStatus,
    "control.lease": control_messages.LeaseStatus,
    "control.counter": control_messages.CounterStatus,
    "control.shared": control_messages.EvidenceStatus,
    "control.ceilings": control_messages.CeilingStatus,
    "control.state": control_messages.LimiterState,
    "control.record": control_records.Record,
    "fleet-answer.missing": fleet_answers.Missing,
    "fleet-answer.refusal": fleet_answers.Refusal,
    "base-word.started": fleet_based.Started,
    "base-word.to": fleet_based.SwitchVersion,
    "base-word.ready": fleet_based.Ready,
    "base-word.settled": fleet_based.Settled,
    "fleet-compare.difference": fleet_compare.Difference,
    "fleet-file.tls-part": fleet_config.TlsPart,
    "fleet-file.agent-part": fleet_config.AgentPart,
    "fleet-file.limiter-part": fleet_config.LimiterPart,
    "fleet-file.supervise-part": fleet_config.SupervisePart,
    "fleet-file.lend-part": fleet_config.LendPart,
    "fleet-file.versions-part": fleet_config.VersionsPart,
    "fleet-file.agent-file": fleet_config.AgentFile,
    "fleet-file.member-part": fleet_config.MemberPart,
    "fleet-file.group-part": fleet_config.GroupPart,
    "fleet-file.group-file": fleet_config.GroupFile,
    "fleet-explain.word": fleet_explain.LimiterStatement,
    "fleet-explain.explained": fleet_explain.Explanation,
    "fleet-explain.entry": fleet_explain.EvidenceSummary,
    "fleet.hello": fleet_messages.Hello,
    "fleet.welcome": fleet_messages.Welcome,
    "fleet.refused": fleet_messages.Refused,
    "fleet.limiter-status": fleet_messages.LimiterStatus,
    "fleet.limiter-brief": fleet_messages.LimiterBrief,
    "fleet.agent-brief": fleet_messages.AgentBrief,
    "fleet.heard": fleet_messages.AgentObservation,
    "fleet.show": fleet_messages.Show,
    "fleet.shown": fleet_messages.Shown,
    "fleet.wish": fleet_messages.DrainIntent,
    "fleet.intend": fleet_messages.SubmitIntents,
    "fleet.decision": fleet_messages.Decision,
    "fleet.reach": fleet_messages.Reach,
    "fleet.intended": fleet_messages.IntentsAnswer,
    "fleet.progress": fleet_messages.Progress,
    "fleet.progressed": fleet_messages.Progressed,
    "fleet.order": fleet_messages.Order,
    "fleet.ordered": fleet_messages.Ordered,
    "fleet.exchange": fleet_messages.Exchange,
    "fleet.audit-line": fleet_messages.AuditLine,
    "fleet.audit": fleet_messages.Audit,
    "fleet.audited": fleet_messages.Audited,
    "fleet.lend": fleet_messages.LeaseWorker,
    "fleet.lent": fleet_messages.WorkerLeased,
    "fleet.ask": fleet_messages.RequestPermits,
    "fleet.granted": fleet_messages.PermitsAnswer,
    "fleet.prepare": fleet_messages.Prepare,
    "fleet.accept": fleet_messages.Accept,
    "fleet.voted": fleet_messages.Voted,
    "fleet.recall": fleet_messages.Recall,
    "fleet.recalled": fleet_messages.Recalled,
    "fleet.standing": fleet_messages.ShowBudget,
    "fleet.stood": fleet_messages.BudgetStatus,
    "fleet.begin": fleet_messages.BeginPlan,
    "fleet.begun": fleet_messages.BeginAnswer,
    "fleet.steer": fleet_messages.SteerPlan,
    "fleet.steered": fleet_messages.SteerAnswer,
    "fleet.plans": fleet_messages.ListPlans,
    "fleet.runs": fleet_messages.RunningVersion,
    "fleet.planned": fleet_messages.PlansStatus,
    "fleet-plan.box-sum": fleet_plan.ServerSummary,
    "fleet-plan.plan": fleet_plan.Plan,
    "fleet-version.version-file": fleet_versions.VersionFile,
    "load-scenario.mix": load_accounts.AccountMix,
    "load-compare.difference": load_compare.Difference,
    "load-report.second": load_metrics.Second,
    "load-report.block": load_metrics.Block,
    "load-report.facts": load_lateness.ResourceUsage,
    "load-report.span": load_lateness.LateSpan,
    "load-worker.job": load_messages.Job,
    "load-worker.clock": load_messages.ReadClock,
    "load-worker.start": load_messages.Start,
    "load-worker.stop": load_messages.Stop,
    "load-worker.ready": load_messages.Ready,
    "load-worker.told": load_messages.ClockReading,
    "load-worker.failed": load_messages.Failed,
    "load-worker.sample": load_messages.Sample,
    "load-worker.interval": load_messages.Interval,
    "load-report.lines": load_report.LatencySummary,
    "load-report.report": load_report.Report,
    "load-scenario.steady": load_scenario.Steady,
    "load-scenario.ramp": load_scenario.Ramp,
    "load-scenario.steps": load_scenario.Steps,
    "load-scenario.wave": load_scenario.Wave,
    "load-scenario.bursts": load_scenario.Bursts,
    "load-scenario.spike": load_scenario.Spike,
    "load-scenario.clients": load_scenario.Clients,
    "load-scenario.stream": load_scenario.Stream,
    "load-scenario.replay": load_scenario.Replay,
    "load-scenario.trouble": load_scenario.Fault,
    "load-scenario.truth": load_scenario.LatenessLimits,
    "load-scenario.targets": load_scenario.Targets,
    "load-scenario.group": load_scenario.Group,
    "load-scenario.scenario": load_scenario.Scenario,
    "load-trace.row": load_trace.Row,
    "load-trace.header": load_trace._Header,
    "quota-file.quota-file": quota_options.QuotaOptions,
    "base-state.which": rollout_basing.AgentVersion,
    "base-state.to": rollout_basing.SwitchRequest,
    "base-state.held": rollout_basing.LauncherState,
    "budget-file.limits": rollout_budget.DisruptionLimits,
    "budget-file.budget": rollout_budget.DisruptionBudget,
    "ledger.permit": rollout_ledger.Permit,
    "ledger.ledger": rollout_ledger.Ledger,
    "plan.terms": rollout_plans.RolloutPolicy,
    "plan.unit": rollout_plans.Unit,
    "plan.plan": rollout_plans.Plan,
    "sim-experiment.scenario-part": sim_experiment.ScenarioPart,
    "sim-experiment.setting-part": sim_experiment.SettingPart,
    "sim-experiment.experiment-file": sim_experiment.ExperimentFile,
    "sim-result.figures": sim_figures.Figures,
    "sim-result.figures-printed": sim_figures.Figures,
    "sim-result.result": sim_figures.Result,
    "sim-result.result-printed": sim_figures.Result,
    "sim-scenario.fault": sim_scenario.Fault,
    "sim-scenario.plan": sim_scenario.Plan,
    "sim-scenario.service": sim_scenario.Service,
    "sim-scenario.box-kind": sim_scenario.ServerKind,
    "sim-scenario.net": sim_scenario.Net,
    "sim-scenario.settings": sim_scenario.Settings,
    "sim-scenario.scenario": sim_scenario.Scenario,
    "sim-seed.seed": sim_seeds.Seed,
}

# Classes whose instances are never encoded for a socket, a file or --json, and why
NOT_ENCODED: dict[type[msgspec.Struct], str] = {
    authz_request_reader.AuthorizationRequest: "a decoded gRPC request, used only within the process",
    authz_permissions.Verdict: "an answer that is converted to a gRPC message",
    authz_limiter_selection._LimiterState: "the router's state of a limiter",
    control_messages.Message: "the base class of the control messages",
    fleet_messages.Message: "the base class of the agents' messages",
    load_messages.Message: "the base class of the load workers' messages",
    load_scenario.StrictStruct: "the base class of the parts of scenario files",
    fleet_auth.Identity: "the owner of a token; the file of tokens has its own format",
    fleet_operate.Order: "a command's options",
    fleet_commands.Result: "a command's result; the command line prints it under other keys",
    fleet_operate_plans.PlanAnswers: "answers that a command collects; printed under other keys",
    fleet_operate_plans.Answer: "a plan command's result; printed under other keys",
    fleet_report.Row: "a row of a command's report; printed under other keys",
    fleet_report.CommandReport: "a command's report; printed by its records and rows",
    fleet_seen.GroupObservation: "answers that a command collects; printed under other keys",
    fleet_supervise.Policy: "the supervisor's settings, converted from the agent's file",
    fleet_versions.Launch: "how a process is started, combined from the agent's file and the version file",
}

# The decoders of tagged messages in the package, by the first part of the label
READERS: dict[str, tuple[Callable[[bytes], Any], ...]] = {
    "control": (control_messages.decode_request, control_messages.decode_answer),
    "fleet": (fleet_messages.decode_request, fleet_messages.decode_answer),
    "load-worker": (load_messages._to_worker.decode, load_messages._from_worker.decode),
    "base-word": (fleet_based.message_decoder.decode,),
}

# Parts of messages, which have no decoder of their own
UNTAGGED = {
    "base-word.started",
    "control.box",
    "control.ceilings",
    "control.counter",
    "control.counts",
    "control.health",
    "control.lease",
    "control.peer",
    "control.record",
    "control.shared",
    "control.throttle",
    "control.witness",
    "fleet.agent-brief",
    "fleet.audit-line",
    "fleet.decision",
    "fleet.heard",
    "fleet.limiter-brief",
    "fleet.limiter-status",
    "fleet.reach",
    "fleet.runs",
    "fleet.wish",
    "load-worker.sample",
}


def decoded(label: str) -> msgspec.Struct:
    stored, form = STORED[label], MESSAGES[label]
    if stored["format"] == "msgpack":
        return msgspec.msgpack.decode(bytes.fromhex(stored["data"]), type=form)
    if stored["format"] == "toml":
        return msgspec.convert(tomllib.loads(stored["data"]), form)
    return msgspec.json.decode(stored["data"], type=form)


def encoded(label: str, message: msgspec.Struct) -> str:
    match STORED[label]["format"]:
        case "msgpack":
            return msgspec.msgpack.encode(message).hex()
        case "toml":
            return msgspec.toml.encode(message).decode()
        case _:
            return msgspec.json.encode(message).decode()


def defaults_in(value: Any, path: str) -> Iterator[str]:
    """Yield the path of each field of a nested struct or named tuple that equals its default."""
    if isinstance(value, msgspec.Struct):
        for field in msgspec.structs.fields(value):
            actual = getattr(value, field.name)
            default = field.default
            if field.default_factory is not msgspec.NODEFAULT:
                default = field.default_factory()
            if default is not msgspec.NODEFAULT and actual == default:
                yield f"{path}.{field.name}"
            yield from defaults_in(actual, f"{path}.{field.name}")
    elif isinstance(value, tuple) and hasattr(value, "_field_defaults"):  # a named tuple
        defaults: dict[str, Any] = value._field_defaults
        for name, actual in ((name, getattr(value, name)) for name in getattr(value, "_fields", ())):
            if name in defaults and actual == defaults[name]:
                yield f"{path}.{name}"
            yield from defaults_in(actual, f"{path}.{name}")
    elif isinstance(value, dict):
        for key, item in value.items():
            yield from defaults_in(item, f"{path}[{key!r}]")
    elif isinstance(value, list | tuple):
        for index, item in enumerate(value):
            yield from defaults_in(item, f"{path}[{index}]")


def choices(field_type: Any) -> set[Any]:
    """Return the values of the literals and enumerations in a field's type, without those of nested structs."""
    if isinstance(field_type, inspect.LiteralType):
        return set(field_type.values)
    if isinstance(field_type, inspect.EnumType):
        return {member.value for member in field_type.cls}
    if isinstance(field_type, inspect.UnionType | inspect.TupleType):
        parts = field_type.types if isinstance(field_type, inspect.UnionType) else field_type.item_types
        return {choice for part in parts for choice in choices(part)}
    if isinstance(field_type, inspect.CollectionType):
        return choices(field_type.item_type)
    if isinstance(field_type, inspect.DictType):
        return choices(field_type.key_type) | choices(field_type.value_type)
    return set()


def choices_of(struct_type: type[msgspec.Struct]) -> dict[str, list[Any]]:
    info = inspect.type_info(struct_type)
    assert isinstance(info, inspect.StructType)
    found = {field.encode_name: sorted(choices(field.type), key=str) for field in info.fields}
    return {name: values for name, values in found.items() if values}


def declared_structs() -> set[type[msgspec.Struct]]:
    found = set()
    for module in pkgutil.walk_packages(elderlock.__path__, "elderlock."):
        if module.name.endswith("__main__"):
            continue
        for value in vars(importlib.import_module(module.name)).values():
            if isinstance(value, type) and issubclass(value, msgspec.Struct) and value.__module__ == module.name:
                found.add(value)
    return found


@pytest.mark.parametrize("label", STORED)
def test_a_stored_message_is_decoded_and_encoded_as_the_same_bytes(label: str) -> None:
    assert encoded(label, decoded(label)) == STORED[label]["data"]


@pytest.mark.parametrize("label", STORED)
def test_every_field_of_a_stored_message_differs_from_its_default(label: str) -> None:
    assert list(defaults_in(decoded(label), label)) == []


@pytest.mark.parametrize("label", [label for label in STORED if label.split(".")[0] in READERS])
def test_the_packages_decoder_reads_a_tagged_message_as_the_class_in_the_table(label: str) -> None:
    if not MESSAGES[label].__struct_config__.tag:
        assert label in UNTAGGED
        return
    found = []
    for read in READERS[label.split(".")[0]]:
        try:
            found.append(type(read(raw(label))))
        except msgspec.ValidationError:  # the message belongs to the other direction
            continue
    assert found.count(MESSAGES[label]) >= 1


def raw(label: str) -> bytes:
    stored = STORED[label]
    return bytes.fromhex(stored["data"]) if stored["format"] == "msgpack" else stored["data"].encode()


@pytest.mark.parametrize("label", STORED)
def test_the_allowed_values_of_every_field_are_as_stored(label: str) -> None:
    assert choices_of(MESSAGES[label]) == CHOICES.get(label, {})


def test_the_table_and_the_stored_messages_have_the_same_labels() -> None:
    assert set(MESSAGES) == set(STORED)
    assert set(CHOICES) <= set(STORED)


def test_every_struct_of_the_package_is_in_the_table_or_listed_as_not_encoded() -> None:
    in_table = set(MESSAGES.values())
    assert not in_table & set(NOT_ENCODED)
    assert declared_structs() == in_table | set(NOT_ENCODED)
