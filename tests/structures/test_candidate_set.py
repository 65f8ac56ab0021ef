"""Compares the candidate set with a model: a dictionary of zones and cells."""

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
def test_each_candidate_is_indexed_by_its_current_zone_and_cell(
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
    assert {zone: set(sampler.members()) for zone, sampler in candidates.by_zone.items()} == {
        zone: {server for server, location in model.items() if location[0] == zone}
        for zone in {location[0] for location in model.values()}
    }
    assert {cell: set(members) for cell, members in candidates.by_cell.items()} == {
        cell: {server for server, location in model.items() if location[1] == cell}
        for cell in {location[1] for location in model.values()}
    }
