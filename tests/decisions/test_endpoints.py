"""After any sequence of lists, attempts and waits, the candidates are exactly those that the rules allow."""

from collections import Counter
from dataclasses import replace

from helpers import LimiterHarness, limiter_settings, start_harness
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from elderlock import interface as api
from elderlock.decisions.outlier_detection import MAX_EJECTED_WEIGHT_FRACTION
from elderlock.interface import ListKind, Outcome, Routing, ServerState

SERVER_IDS = [f"n{i}" for i in range(24)]
OUTCOMES = st.sampled_from(
    [
        Outcome.OK,
        Outcome.OK,
        Outcome.RESET,
        Outcome.TIMEOUT,
        Outcome.CONNECT_FAILED,
        Outcome.FULL,
        Outcome.ERROR,
        Outcome.CANCELLED,
        Outcome.NOT_FORWARDED,
    ]
)


class EndpointsMachine(RuleBasedStateMachine):
    """Runs lists, requests, outcomes and waits in any order, and checks the candidates and the sums after each step."""

    def __init__(self) -> None:
        super().__init__()
        self.harness: LimiterHarness | None = None

    def start(self, subset_size: int, limiter_count: int) -> LimiterHarness:
        settings_with_routing = replace(
            limiter_settings(limiter_count=limiter_count, can_message_peers=False),
            routing=Routing(subset_size=subset_size, cross_zone_penalty=0.1),
        )
        self.harness = start_harness(settings_with_routing, server_ids="")
        return self.harness

    @rule(subset_size=st.sampled_from([0, 0, 4, 9]), limiter_count=st.integers(1, 9))
    def start_once(self, subset_size: int, limiter_count: int) -> None:
        if self.harness is None:
            self.start(subset_size, limiter_count)

    @rule(
        rows=st.lists(
            st.tuples(
                st.integers(0, 23),
                st.sampled_from(list(ServerState)),
                st.integers(0, 2),
                st.sampled_from([0.0, -9000.0, -100.0]),
                st.sampled_from([0.5, 1.0, 3.0]),
            )
        ),
        is_complete=st.booleans(),
    )
    def apply_list(self, rows: list[tuple[int, ServerState, int, float, float]], is_complete: bool) -> None:
        harness = self.harness or self.start(0, 3)
        entries = tuple(
            api.ServerEntry(
                SERVER_IDS[n],
                zone,
                0,
                n // 4,
                state,
                weight,
                harness.now_ms + start_offset_ms if start_offset_ms else 0.0,
            )
            for n, state, zone, start_offset_ms, weight in {row[0]: row for row in rows}.values()
        )
        harness.apply_list(*entries, kind=ListKind.COMPLETE if is_complete else ListKind.CHANGES)

    @rule(count=st.integers(1, 20), class_index=st.sampled_from([0, 0, 1, 2]))
    def send_requests(self, count: int, class_index: int) -> None:
        harness = self.harness or self.start(0, 3)
        for _ in range(count):
            request_id = harness.send_request(customer_id=f"c{harness.request_count}", class_index=class_index)
            # The first attempt goes to a server that may be selected.
            for server_id in harness.attempted_servers(request_id)[:1]:
                ready_server = harness.limiter.endpoints.directory.ready[server_id]
                assert harness.limiter.endpoints.subsetting.includes(server_id) and not ready_server.is_ejected

    @rule(outcome=OUTCOMES, count=st.integers(1, 20))
    def end_attempts(self, outcome: Outcome, count: int) -> None:
        for request_id, _, _ in list((self.harness or self.start(0, 3)).attempts_in_flight)[:count]:
            assert self.harness is not None
            self.harness.end_attempt(request_id, outcome)

    @rule(duration_ms=st.sampled_from([5.0, 60.0, 900.0, 5000.0]))
    def wait(self, duration_ms: float) -> None:
        harness = self.harness or self.start(0, 3)
        harness.run_until(harness.now_ms + duration_ms)

    @invariant()
    def candidates_are_those_that_the_rules_allow(self) -> None:
        if self.harness is None:
            return
        endpoints = self.harness.limiter.endpoints
        directory = endpoints.directory
        for server in directory.servers.values():
            is_selectable = server in endpoints.candidates.all
            is_barred = (
                server.is_draining or server.is_ejected or not endpoints.subsetting.includes(server.entry.server_id)
            )
            if is_selectable:
                assert not is_barred and not (server.is_on_probation and server.in_flight), server
                assert endpoints.slow_start.capacity_fraction(server) >= 1.0 or server.warm_up_budget >= 1.0 - 1e-9
            elif not is_barred and not (server.is_on_probation and server.in_flight):
                assert server.awaits_review and any(
                    review.server is server for review in endpoints.review_queue
                ), server
        selectable = set(endpoints.candidates.all.members())
        assert selectable <= set(directory.ready.values())
        assert {server for zone in endpoints.candidates.by_zone.values() for server in zone.members()} == selectable
        assert {server for cell in endpoints.candidates.by_cell.values() for server in cell} == selectable
        detector = endpoints.outlier_detector
        assert set(detector.ejected) == {server for server in directory.ready.values() if server.is_ejected}
        assert (
            detector.ejected_weight_milli
            == sum(server.weight_milli for server in detector.ejected)
            <= MAX_EJECTED_WEIGHT_FRACTION * directory.total_weight_milli
        )
        ranks = Counter(
            endpoints.subsetting.ranking.rank(server_id)
            for server_id, server in directory.ready.items()
            if not server.is_ejected
        )
        assert endpoints.usable_count_by_rank == [
            ranks[rank] for rank in range(endpoints.context.settings.limiter_count)
        ]
        assert endpoints.load_estimator.ready_server_count == len(directory.ready)


TestEndpoints = EndpointsMachine.TestCase
TestEndpoints.settings = settings(max_examples=60, stateful_step_count=40, deadline=None)
