"""Subsets: the number of servers of each limiter, and the effect of changes of the list or of the limiters."""

from collections import Counter
from dataclasses import replace

from helpers import limiter_settings, server_entry

from elderlock import interface as api
from elderlock.decisions.limiter import Limiter
from elderlock.interface import ListKind, Routing, ServerState


def limiters_with_servers(limiter_count: int, server_count: int, subset_size: int) -> list[Limiter]:
    entries = tuple(server_entry(f"s-{n}", n % 3) for n in range(server_count))
    limiters = []
    for limiter_index in range(limiter_count):
        settings = replace(
            limiter_settings(limiter_count=limiter_count),
            limiter_index=limiter_index,
            routing=Routing(subset_size=subset_size),
        )
        limiter = Limiter(settings, limiter_index, 0.0)
        limiters.append(limiter)
        limiter.handle(api.ServerList(1, ListKind.COMPLETE, entries), 0.0)
    return limiters


def selectable_ids(limiter: Limiter) -> set[str]:
    return {server.entry.server_id for server in limiter.endpoints.candidates.all.members()}


def test_a_subset_changes_only_by_the_servers_that_join_or_leave() -> None:
    group = limiters_with_servers(12, 240, 60)
    before = [selectable_ids(limiter) for limiter in group]
    assert Counter(server_id for ids in before for server_id in ids) == {f"s-{n}": 3 for n in range(240)}
    removed = [server_entry(f"s-{n}", state=ServerState.REMOVED) for n in range(10)]
    for limiter, ids_before in zip(group, before, strict=True):
        limiter.handle(api.ServerList(2, ListKind.CHANGES, tuple(removed)), 10.0)
        assert selectable_ids(limiter) == ids_before - {entry.server_id for entry in removed}
        limiter.handle(api.ServerList(3, ListKind.CHANGES, (server_entry("new"),)), 20.0)
    assert sum("new" in selectable_ids(limiter) for limiter in group) == 3


def test_an_additional_limiter_gets_servers_and_moves_no_others() -> None:
    before, after = (
        {
            (limiter_index, server_id)
            for limiter_index, limiter in enumerate(limiters_with_servers(limiter_count, 240, 60))
            for server_id in selectable_ids(limiter)
        }
        for limiter_count in (12, 13)
    )
    assert len(before - after) < 1.5 * len(before) / 13
    assert all(limiter_index == 12 for limiter_index, _ in after - before)


def test_a_subset_without_usable_servers_is_enlarged_and_reduced_again() -> None:
    limiter = limiters_with_servers(6, 60, 20)[2]
    before = selectable_ids(limiter)
    draining = tuple(server_entry(server_id, state=ServerState.DRAINING) for server_id in before)
    limiter.handle(api.ServerList(2, ListKind.CHANGES, draining), 10.0)
    enlarged = selectable_ids(limiter)
    assert len(enlarged) >= 10 and not enlarged & before
    running = tuple(server_entry(server_id, int(server_id[2:]) % 3) for server_id in before)
    limiter.handle(api.ServerList(3, ListKind.CHANGES, running), 20.0)
    assert selectable_ids(limiter) == before


def test_small_changes_of_the_server_count_do_not_change_the_holder_count() -> None:
    limiter = limiters_with_servers(10, 100, 25)[0]
    holder_count = limiter.endpoints.subsetting.holder_count
    for step in range(20):
        state = ServerState.REMOVED if step % 2 else ServerState.RUNNING
        limiter.handle(
            api.ServerList(2, ListKind.CHANGES, tuple(server_entry(f"x-{n}", state=state) for n in range(6))), 9.0
        )
        assert limiter.endpoints.subsetting.holder_count == holder_count
