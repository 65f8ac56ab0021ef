"""The candidate set against a dictionary of zones and cells."""

from helpers import server_entry
from hypothesis import given
from hypothesis import strategies as st

from elderlock import interface as api
from elderlock.interface import ServerState
from elderlock.state import Server
from elderlock.structures.candidate_set import CandidateSet


def new_server(server_id: str = "a", zone: int = 0) -> Server:
    return Server(server_entry(server_id, zone), 0.0, 1.0)


@given(st.lists(st.tuples(st.integers(0, 5), st.integers(0, 2), st.integers(0, 2), st.integers(0, 3)), max_size=40))
def test_each_candidate_is_in_its_zone_and_cell_after_these_change(
    steps: list[tuple[int, int, int, int]],
) -> None:
    candidates, servers = CandidateSet(), [new_server(f"s{n}") for n in range(6)]
    model: dict[Server, tuple[int, int]] = {}
    for index, zone, cell, weight in steps:
        server = servers[index]
        server.entry = api.ServerEntry(server.entry.server_id, zone, 0, cell, ServerState.RUNNING, 1.0)
        candidates.set_weight(server, weight)
        model.pop(server, None)
        if weight:
            model[server] = zone, cell
    assert set(candidates.all.members()) == set(model)
    assert {z: set(d.members()) for z, d in candidates.by_zone.items()} == {
        z: {s for s, at in model.items() if at[0] == z} for z in {at[0] for at in model.values()}
    }
    assert {c: set(members) for c, members in candidates.by_cell.items()} == {
        c: {s for s, at in model.items() if at[1] == c} for c in {at[1] for at in model.values()}
    }
