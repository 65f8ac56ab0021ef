"""Subsets: how many servers each limiter holds, and what changes of the list or the limiters move."""

from collections import Counter
from dataclasses import replace

from helpers import limiter_settings as limiter_settings
from helpers import server_entry

from elderlock import interface as api
from elderlock.decisions.limiter import Limiter
from elderlock.interface import ListKind, Routing, ServerState


def limiters_with_servers(limiter_count: int, server_count: int, subset_size: int) -> list[Limiter]:
    entries = tuple(server_entry(f"s-{n}", n % 3) for n in range(server_count))
    limiters = []
    for limiter_index in range(limiter_count):
        config = replace(
            limiter_settings(limiter_count=limiter_count),
            limiter_index=limiter_index,
            routing=Routing(subset_size=subset_size),
        )
        limiter = Limiter(config, limiter_index, 0.0)
        limiters.append(limiter)
        limiter.handle(api.ServerList(1, ListKind.COMPLETE, entries), 0.0)
    return limiters


def selectable_ids(limiter: Limiter) -> set[str]:
    return {server.entry.server_id for server in limiter.endpoints.candidates.all.members()}


def test_a_subset_changes_only_by_the_servers_that_come_and_go() -> None:
    group = limiters_with_servers(12, 240, 60)
    before = [selectable_ids(limiter) for limiter in group]
    assert Counter(name for names in before for name in names) == {f"s-{n}": 3 for n in range(240)}
    removed = [server_entry(f"s-{n}", state=ServerState.REMOVED) for n in range(10)]
    for limiter, names in zip(group, before, strict=True):
        limiter.handle(api.ServerList(2, ListKind.CHANGES, tuple(removed)), 10.0)
        assert selectable_ids(limiter) == names - {one.server_id for one in removed}
        limiter.handle(api.ServerList(3, ListKind.CHANGES, (server_entry("new"),)), 20.0)
    assert sum("new" in selectable_ids(limiter) for limiter in group) == 3


def test_one_more_limiter_takes_over_servers_and_moves_no_others() -> None:
    before, after = limiters_with_servers(12, 240, 60), limiters_with_servers(13, 240, 60)
    pairs = [
        {(n, name) for n, limiter in enumerate(group) for name in selectable_ids(limiter)} for group in (before, after)
    ]
    assert len(pairs[0] - pairs[1]) < 1.5 * len(pairs[0]) / 13
    assert all(number == 12 for number, _ in pairs[1] - pairs[0])


def test_a_subset_without_usable_servers_widens_and_narrows_again() -> None:
    limiter = limiters_with_servers(6, 60, 20)[2]
    before = selectable_ids(limiter)
    down = tuple(server_entry(name, state=ServerState.DRAINING) for name in before)
    limiter.handle(api.ServerList(2, ListKind.CHANGES, down), 10.0)
    wider = selectable_ids(limiter)
    assert len(wider) >= 10 and not wider & before
    up = tuple(server_entry(name, int(name[2:]) % 3) for name in before)
    limiter.handle(api.ServerList(3, ListKind.CHANGES, up), 20.0)
    assert selectable_ids(limiter) == before


def test_small_changes_of_the_server_count_leave_the_holder_count() -> None:
    limiter = limiters_with_servers(10, 100, 25)[0]
    holders = limiter.endpoints.subsetting.holder_count
    for step in range(20):
        state = ServerState.REMOVED if step % 2 else ServerState.RUNNING
        limiter.handle(
            api.ServerList(2, ListKind.CHANGES, tuple(server_entry(f"x-{n}", state=state) for n in range(6))), 9.0
        )
        assert limiter.endpoints.subsetting.holder_count == holders
