"""The rendezvous ranking: all limiters agree, changes move few assignments, and balancing equalises the shares."""

from collections import Counter

from elderlock.structures.rendezvous import RendezvousRanking


def new_ranking(limiter_count: int, server_ids: list[str], limiter_index: int = 0) -> RendezvousRanking:
    ranking = RendezvousRanking(limiter_index, limiter_count)
    for server_id in server_ids:
        ranking.add(server_id, 1000)
    return ranking


SERVER_IDS = [f"s-{n:x}" for n in range(600)]


def test_limiters_that_know_different_servers_agree_on_the_ranks_of_each() -> None:
    for server_id in SERVER_IDS[:100]:
        ranks = [
            new_ranking(12, SERVER_IDS[limiter_index % 3 :: 2] + SERVER_IDS[:100], limiter_index).rank(server_id)
            for limiter_index in range(12)
        ]
        assert sorted(ranks) == list(range(12))


def test_one_more_limiter_takes_over_only_what_it_holds() -> None:
    """For a server, the order of the existing limiters does not change."""
    before = [new_ranking(20, SERVER_IDS, number) for number in range(20)]
    after = [new_ranking(21, SERVER_IDS, number) for number in range(21)]
    moved = 0
    for server_id in SERVER_IDS:
        before_holders = {n for n in range(20) if before[n].rank(server_id) < 4}
        after_holders = {n for n in range(21) if after[n].rank(server_id) < 4}
        moved += len(before_holders - after_holders)
        assert after_holders - before_holders <= {20} and len(before_holders - after_holders) == len(
            after_holders - before_holders
        )
    assert 0.5 < moved / (4 * len(SERVER_IDS) / 21) < 1.5


def test_the_balance_factor_gives_servers_equal_shares() -> None:
    rankings = [new_ranking(20, SERVER_IDS, number) for number in range(20)]
    for ranking in rankings:
        ranking.set_holder_count(4)
    held_ids_by_limiter = [
        [server_id for server_id in SERVER_IDS if ranking.rank(server_id) < 4] for ranking in rankings
    ]
    assert (
        [1000 * len(held_ids) for held_ids in held_ids_by_limiter]
        == rankings[0].weight_milli_by_limiter
        == rankings[7].weight_milli_by_limiter
    )
    raw, balanced = Counter[str](), Counter[str]()
    for ranking, held_ids in zip(rankings, held_ids_by_limiter, strict=True):
        total = sum(ranking.balance_factor(server_id) for server_id in held_ids)
        for server_id in held_ids:
            raw[server_id] += 1.0 / len(held_ids)  # type: ignore[assignment]
            balanced[server_id] += ranking.balance_factor(server_id) / total  # type: ignore[assignment]
    mean = 20 / len(SERVER_IDS)
    assert max(balanced.values()) / mean < 1.1 < max(raw.values()) / mean
    assert min(balanced.values()) / mean > 0.9


def test_a_removed_server_leaves_no_weight() -> None:
    ranking = new_ranking(5, SERVER_IDS)
    ranking.set_holder_count(2)
    for server_id in SERVER_IDS:
        ranking.remove(server_id)
        ranking.remove(server_id)
    assert len(ranking) == 0 and ranking.weight_milli_by_limiter == [0] * 5 and ranking.rank(SERVER_IDS[0]) == 0
