"""What one agent knows of the whole group, as the budget counts it. No I/O."""

from __future__ import annotations

import re
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from elderlock.control.messages import Box, State
from elderlock.rollout.budget import Inventory, Item


class Known(NamedTuple):
    """A limiter as its agent or others tell of it; `why` it is out, empty where it serves."""

    name: str
    floor: str
    why: str


def inventory(states: Sequence[State], limiters: Iterable[Known], unheard: Iterable[str]) -> Inventory:
    """`states` of this agent's own limiters, each of which sees all boxes; `unheard`: agents of the group of which
    nothing was heard since this one began. A limiter that was told of no list yet says nothing of boxes."""
    blind = ""
    if away := sorted(unheard):
        blind = f"nothing was heard of {', '.join(away)} yet: what their limiters do is not known"
    listed = [state for state in states if state.list_age_ms >= 0]
    if not listed:
        what = "has a list" if states else "answers"
        blind = f"no limiter of this agent {what}: what the boxes do is not known"
    seen: dict[str, list[Box]] = {}
    for state in listed:
        for box in state.boxes:
            seen.setdefault(box.uid, []).append(box)
    boxes = tuple(
        Item(uid, each[0].floor, each[0].kind, max(box.weight for box in each), _why(each))
        for uid, each in sorted(seen.items())
    )
    items = tuple(Item(each.name, each.floor, out=each.why) for each in sorted(limiters, key=_number))
    return Inventory(boxes, items, blind)


def _why(boxes: Sequence[Box]) -> str:
    """One limiter that has heard of a drain outweighs those that have not yet; a judgement is that of most."""
    for box in boxes:
        if box.state != "running":
            return f"{box.state}, as discovery says"
        if box.drained_by:
            return f"drained by {box.drained_by}"
    left = [box.left_out for box in boxes if box.left_out]
    return f"left out: {left[0]}" if 2 * len(left) > len(boxes) else ""


def _number(known: Known) -> tuple[str, int, str]:
    """In the order of their numbers: n2 before n10."""
    found = re.fullmatch(r"(.*?)(\d+)", known.name)
    return (found[1], int(found[2]), "") if found else (known.name, -1, known.name)
