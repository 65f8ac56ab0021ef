"""The configuration of a limiter: the error messages for missing and invalid values."""

import json
from pathlib import Path
from typing import Any

import pytest

from elderlock.net.config import ConfigError, load_config, parse_config
from elderlock.standins.local_limiter import Limiter
from elderlock.standins.settings import raw_config, target
from elderlock.standins.waiting import run


@pytest.mark.parametrize("known", [None, {"rev": "x"}, {"rev": 1, "all": True, "targets": [5]}])
def test_limiter_without_discovery_is_ready_only_with_a_cached_list(known: Any) -> None:
    async def test() -> None:
        raw = raw_config()
        limiter = Limiter()
        limiter.gateway._config = parse_config({**raw, "known": known})
        limiter.gateway.start()
        assert not limiter.gateway.has_list
        limiter.gateway._config = parse_config(
            {**raw, "known": {"rev": 1, "all": True, "targets": [target("s", "127.0.0.1:1")]}}
        )
        limiter.gateway.start()
        assert limiter.gateway.has_list

    run(test())


@pytest.mark.parametrize(
    ("change", "message"),
    [
        ({"listen": "nowhere"}, "'nowhere' is not an address"),
        ({"seed": "xyz"}, "invalid literal"),
        ({"settings": {}}, "'rules' is missing"),
        ({"settings": None}, "not subscriptable"),
        ({"limits": {"sockets": 3}}, "limits.sockets is 3"),
        ({"limits": {"sockets": float("nan")}}, "NaN is not a finite number"),
    ],
)
def test_error_names_the_invalid_part_of_the_configuration(
    change: dict[str, Any], message: str, tmp_path: Path
) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps({**raw_config(), **change}))
    with pytest.raises(ConfigError, match=message):
        load_config({"PROXY_CONFIG": str(path)})


@pytest.mark.parametrize(
    ("part", "change", "message"),
    [
        ("services", {"effect": "twice"}, "effect 'twice' is not known"),
        ("services", {"effect": None}, "effect None is not known"),
        ("services", {"goal-time": -1.0}, "goal-time is -1.0, a number from 0"),
        ("services", {"goal-time": 0}, "goal-time is 0.0, a number above 0"),
        ("services", {"deadline": "soon"}, "deadline is 'soon', a number is wanted"),
        ("services", {"memory-span": -5}, "memory-span is -5"),
        ("plans", {"quota-rate": -0.5}, "quota-rate is -0.5"),
        ("plans", {"burst": 1e999}, "burst is inf|Infinity is not a finite number"),
        ("plans", {"parallel": 1.5}, "parallel is 1.5, a whole number"),
        ("rules", {"fall": 0}, "fall is 0.0, a number above 0"),
        ("rules", {"cold-share": True}, "cold-share is True, a number is wanted"),
        ("policy-limits", {"keepalive": None}, "keepalive is None, a number is wanted"),
        (None, {"ordinal": 1}, "ordinal is 1 where peers-total is 1"),
        (None, {"peers-total": -3}, "peers-total is -3"),
    ],
)
def test_error_names_the_invalid_setting(
    part: str | None, change: dict[str, Any], message: str, tmp_path: Path
) -> None:
    raw = raw_config()
    section = raw["settings"][part] if part else raw["settings"]
    (section[0] if isinstance(section, list) else section).update(change)
    path = tmp_path / "config.json"
    path.write_text(json.dumps(raw))
    with pytest.raises(ConfigError, match=message):
        load_config({"PROXY_CONFIG": str(path)})


@pytest.mark.parametrize(
    ("part", "name"),
    [
        ("services", "goal-time"),
        ("services", "effect"),
        ("rules", "cold"),
        ("policy-limits", "dial-timeout"),
        ("plans", "name"),
    ],
)
def test_error_names_the_missing_setting(part: str, name: str, tmp_path: Path) -> None:
    raw = raw_config()
    section = raw["settings"][part]
    del (section[0] if isinstance(section, list) else section)[name]
    path = tmp_path / "config.json"
    path.write_text(json.dumps(raw))
    with pytest.raises(ConfigError, match=f"'{name}' is missing"):
        load_config({"PROXY_CONFIG": str(path)})
