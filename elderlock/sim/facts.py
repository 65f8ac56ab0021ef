"""What a scenario says to each limiter: the platform's settings object and the operators' file. No I/O; the simulation
and the proving ground start their limiters with the same."""

from __future__ import annotations

from typing import Any

from elderlock.sim.agreed import OUT
from elderlock.sim.judges import Rules
from elderlock.sim.scenario import Scenario, floor_name
from elderlock.standins.settings import default_settings

DRAIN = 250.0  # ms, the rule's


def talks(scenario: Scenario) -> bool:
    """Whether limiters send one another datagrams."""
    return scenario.limiters > 1 and scenario.settings.peers


def settings_of(scenario: Scenario, number: int, rules: Rules) -> dict[str, Any]:
    """Of limiter `number`."""
    s, kind = scenario, scenario.kind[0]
    own = default_settings(
        peers=talks(s),
        **{"max-open": 20_000, "most-tries": s.settings.max_attempts},
        **{"dial-timeout": s.settings.dial_ms, "keepalive": s.settings.keepalive_ms},
    )
    own.update(
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
                "drain-grace": DRAIN,
                "cold": kind.cold_ms,
                "cold-share": kind.cold_share,
                "tip-multiple": rules.multiple,
                "fall": rules.window,
            },
            "family-info": {"peer-intake": s.settings.peer_intake, "largest": 1e6},
        }
    )
    return own


def budget_of(scenario: Scenario) -> str:
    """What the group's file says of what may be out at once."""
    share = scenario.settings.budget
    if not share:
        return ""
    boxes = f"[budget.boxes]\nshare = {share}\nweight_share = 1.0\nfloor_least = 0\n"
    return boxes + f"[budget.limiters]\nshare = {share}\n"


def most_out(scenario: Scenario) -> dict[str, float]:
    """Of boxes and limiters that operators may have taken out at once, without force; 0 for no bound."""
    s = scenario.settings
    limiters = s.most_out(scenario.limiters) if scenario.agents else 0
    return {OUT["box"]: s.most_out(scenario.boxes), OUT["limiter"]: limiters}


def operators_of(scenario: Scenario) -> str:
    """What a limiter's operators' file sets beside its control socket."""
    s = scenario.settings
    text = f"[routing]\nsubset = {s.subset}\naway_ms = {s.away_ms}\n"
    if s.peers:
        on = {"evidence": s.shared, "ceilings": s.shared_ceilings and not s.counter}
        text += "[shared]\n" + "".join(f"{name} = true\n" for name, wanted in on.items() if wanted)
    return text + ('[quota]\nstore = "tally"\n' if s.counter else "")
