"""Compares the weighted sampler with a model, a dictionary of weights, and checks the cost of a sample."""

import random
from collections import Counter

import pytest
from helpers import server_entry
from hypothesis import given
from hypothesis import strategies as st

from elderlock.state import Server
from elderlock.structures.weighted_sampler import WeightedSampler


def new_server(server_id: str = "a", zone: int = 0) -> Server:
    return Server(server_entry(server_id, zone), 0.0, 1.0)


@given(st.lists(st.tuples(st.integers(0, 11), st.integers(0, 5000)), max_size=60), st.integers(0, 99))
def test_the_sampler_holds_the_weights_that_were_set_and_samples_only_members(
    steps: list[tuple[int, int]], seed: int
) -> None:
    sampler, servers, model = WeightedSampler(), [new_server(f"s{n}") for n in range(12)], {}
    for index, weight in steps:
        sampler.set_weight(servers[index], weight)
        model[index] = weight
        expected = {servers[n]: weight for n, weight in model.items() if weight}
        assert sampler.total_weight == sum(expected.values()) and len(sampler) == len(expected)
        assert {server: sampler.weight(server) for server in sampler.members()} == expected
    rng = random.Random(seed)
    if sampler.total_weight:
        assert all(model[servers.index(sampler.sample(rng))] for _ in range(20))


@pytest.mark.parametrize("weights", [(1, 1, 1, 1), (1000, 650, 200, 10), (1, 3, 1023, 1024), (7, 5000, 5000, 90)])
def test_members_are_sampled_in_proportion_to_their_weights(weights: tuple[int, ...]) -> None:
    sampler, servers, rng = WeightedSampler(), [new_server(f"s{n}") for n in range(4)], random.Random(3)
    for n, weight in enumerate(weights):
        sampler.set_weight(servers[n], weight * 2)
        sampler.set_weight(servers[n], weight)  # replaces the first weight
    sample_counts = Counter(sampler.sample(rng).entry.server_id for _ in range(40_000))
    for n, weight in enumerate(weights):
        expected = 40_000 * weight / sum(weights)
        assert abs(sample_counts[f"s{n}"] - expected) <= 5.0 * expected**0.5 + 1


class CountingRandom(random.Random):
    """Counts the calls of `random`, which measures the cost of a sample independently of the machine's load."""

    call_count = 0

    def random(self) -> float:
        self.call_count += 1
        return super().random()


def test_a_sample_of_ten_thousand_costs_as_much_as_of_ten() -> None:
    costs = []
    for count in (10, 10_000):
        sampler, rng = WeightedSampler(), CountingRandom(1)
        for n in range(count):
            sampler.set_weight(new_server(f"s{n}"), 300 + n * 977 % 1700)
        for _ in range(2000):
            sampler.sample(rng)
        costs.append(rng.call_count / 2000)
    assert max(costs) <= 3.0  # one call for the level, and two tries on average
