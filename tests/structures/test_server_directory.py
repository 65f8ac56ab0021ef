"""Compares the server directory with a model: a dictionary of entries."""

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from elderlock import interface as api
from elderlock.interface import ListKind, ServerState
from elderlock.state import Server
from elderlock.structures.server_directory import ServerDirectory

SERVER_STATES = st.sampled_from([ServerState.RUNNING, ServerState.RUNNING, ServerState.DRAINING, ServerState.REMOVED])
LIST_ROWS = st.lists(
    st.tuples(st.integers(0, 5), SERVER_STATES, st.sampled_from([0.0, 5.0, 95.0]), st.integers(1, 3)), max_size=6
)


@settings(max_examples=200)
@given(st.lists(st.tuples(st.booleans(), LIST_ROWS), max_size=15))
def test_the_directory_knows_ready_and_warming_up_servers_and_their_weights(
    lists: list[tuple[bool, list[tuple[int, ServerState, float, int]]]],
) -> None:
    directory, rng = ServerDirectory(warm_up_ms=50.0), random.Random(1)
    model: dict[str, api.ServerEntry] = {}
    ready: dict[str, Server] = {}
    for is_complete, rows in lists:
        entries = tuple(
            api.ServerEntry(f"s{n}", 0, 0, 0, state, float(weight), started_at_ms)
            for n, state, started_at_ms, weight in {row[0]: row for row in rows}.values()
        )
        if is_complete:
            model.clear()
        model.update({entry.server_id: entry for entry in entries})
        kind = ListKind.COMPLETE if is_complete else ListKind.CHANGES
        changes = directory.apply(api.ServerList(1, kind, entries), 100.0, rng)
        for server in changes.left:
            del ready[server.entry.server_id]
        for server in changes.joined:
            assert server.entry.server_id not in ready
            ready[server.entry.server_id] = server
        expected = {server_id for server_id, entry in model.items() if entry.state is ServerState.RUNNING}
        assert set(ready) == set(directory.ready) == expected and ready == directory.ready
        assert all(
            server.entry == model[server_id] and not server.is_draining and not server.is_removed
            for server_id, server in ready.items()
        )
        warming_up = {server_id for server_id in expected if model[server_id].started_at_ms == 95.0}
        assert set(directory.warming_up) == warming_up
        assert directory.total_weight_milli == sum(1000 * int(model[server_id].weight) for server_id in expected)
        assert directory.warm_weight_milli == directory.total_weight_milli - sum(
            1000 * int(model[server_id].weight) for server_id in warming_up
        )
    directory.forget_removed()
    removed = {server_id for server_id, entry in model.items() if entry.state is ServerState.REMOVED}
    assert set(directory.servers) == set(model) - removed
