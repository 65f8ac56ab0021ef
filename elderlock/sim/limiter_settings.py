"""Builds the limiters' settings from a scenario: the platform's settings object and the operators' file.

The simulation and trials with real processes start their limiters with the same settings. No I/O.
"""

from __future__ import annotations

from typing import Any

from elderlock.sim.exclusive_holdings import DRAINED
from elderlock.sim.invariant_checkers import CheckerLimits
from elderlock.sim.scenario import Scenario, floor_name
from elderlock.standins.settings import default_settings

DRAIN_GRACE_MS = 250.0  # the `drain` limit of the invariant checkers


def uses_peer_messages(scenario: Scenario) -> bool:
    """Returns whether limiters send one another datagrams."""
    return scenario.limiters > 1 and scenario.settings.peers


def settings_for_limiter(scenario: Scenario, number: int, rules: CheckerLimits) -> dict[str, Any]:
    """Returns the settings object of a limiter.

    Args:
        scenario: The scenario.
        number: The number of the limiter.
        rules: The tolerances of the invariant checkers, some of which are settings too.
    """
    s, kind = scenario, scenario.kind[0]
    settings = default_settings(
        peers=uses_peer_messages(s),
        **{"max-open": 20_000, "most-tries": s.settings.max_attempts},
        **{"dial-timeout": s.settings.dial_ms, "keepalive": s.settings.keepalive_ms},
    )
    settings.update(
        {
            "ordinal": number,
            "peers-total": s.limiters,
            "zone": number % s.floors,
            "zones": [floor_name(n) for n in range(s.floors)],
            "kinds": [each.name for each in s.kind],
            "services": [{"name": c.name, "goal-time": c.aim_ms, "effect": c.effect} for c in s.service],
            "plans": [
                {
                    "name": p.name,
                    "price": p.price,
                    "quota-rate": p.rate,
                    "burst": p.burst,
                    "parallel": p.open_limit,
                    "beyond-earns": p.over_worth,
                    "beyond-costs": p.over_cost,
                    "hard-rate": p.ceiling_rate,
                    "never-over-depth": p.ceiling_burst,
                    "hard-slack": p.ceiling_slack,
                }
                for p in s.plan
            ],
            "rules": {
                "drain-grace": DRAIN_GRACE_MS,
                "cold": kind.cold_ms,
                "cold-share": kind.cold_share,
                "tip-multiple": rules.multiple,
                "fall": rules.window,
            },
            "family-info": {"peer-intake": s.settings.peer_intake, "largest": 1e6},
        }
    )
    return settings


def budget_toml(scenario: Scenario) -> str:
    """Returns the part of the group's file that limits how much may be drained at once; empty for no limit."""
    share = scenario.settings.budget
    if not share:
        return ""
    servers = f"[budget.boxes]\nshare = {share}\nweight_share = 1.0\nfloor_least = 0\n"
    return servers + f"[budget.limiters]\nshare = {share}\n"


def max_drained(scenario: Scenario) -> dict[str, float]:
    """Returns how many servers and limiters operators may drain at once without force; 0 for no bound."""
    s = scenario.settings
    limiters = s.max_drained(scenario.limiters) if scenario.agents else 0
    return {DRAINED["box"]: s.max_drained(scenario.boxes), DRAINED["limiter"]: limiters}


def operators_toml(scenario: Scenario) -> str:
    """Returns the part of a limiter's operators' file that follows the settings of its control socket."""
    s = scenario.settings
    text = f"[routing]\nsubset = {s.subset}\naway_ms = {s.away_ms}\n"
    if s.peers:
        options = {"evidence": s.shared, "ceilings": s.shared_ceilings and not s.counter}
        text += "[shared]\n" + "".join(f"{name} = true\n" for name, is_on in options.items() if is_on)
    return text + ('[quota]\nstore = "tally"\n' if s.counter else "")
