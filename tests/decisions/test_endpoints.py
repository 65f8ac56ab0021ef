"""The candidates after any order of lists, attempts and time: just those that the rules allow."""

from collections import Counter
from dataclasses import replace

from helpers import LimiterHarness, start_harness
from helpers import limiter_settings as limiter_settings
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
    """Plays lists, requests, outcomes and waits in any order, and checks the candidates and the sums after each."""

    def __init__(self) -> None:
        super().__init__()
        self.gateway: LimiterHarness | None = None

    def start(self, subset: int, limiters: int) -> LimiterHarness:
        config = replace(
            limiter_settings(limiter_count=limiters, can_message_peers=False),
            routing=Routing(subset_size=subset, cross_zone_penalty=0.1),
        )
        self.gateway = start_harness(config, server_ids="")
        return self.gateway

    @rule(subset=st.sampled_from([0, 0, 4, 9]), limiters=st.integers(1, 9))
    def start_once(self, subset: int, limiters: int) -> None:
        if self.gateway is None:
            self.start(subset, limiters)

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
        limiter_gateway = self.gateway or self.start(0, 3)
        entries = tuple(
            api.ServerEntry(SERVER_IDS[n], zone, 0, n // 4, state, weight, limiter_gateway.now_ms + at if at else 0.0)
            for n, state, zone, at, weight in {row[0]: row for row in rows}.values()
        )
        limiter_gateway.apply_list(*entries, kind=ListKind.COMPLETE if is_complete else ListKind.CHANGES)

    @rule(count=st.integers(1, 20), kind=st.sampled_from([0, 0, 1, 2]))
    def send_requests(self, count: int, kind: int) -> None:
        limiter_gateway = self.gateway or self.start(0, 3)
        for _ in range(count):
            name = limiter_gateway.send_request(customer_id=f"c{limiter_gateway.request_count}", class_index=kind)
            for server in limiter_gateway.attempted_servers(name)[
                :1
            ]:  # the first attempt goes to a server that may be selected
                ready_server = limiter_gateway.limiter.endpoints.directory.ready[server]
                assert limiter_gateway.limiter.endpoints.subsetting.includes(server) and not ready_server.is_ejected

    @rule(outcome=OUTCOMES, count=st.integers(1, 20))
    def end_attempts(self, outcome: Outcome, count: int) -> None:
        for name, _, _ in list((self.gateway or self.start(0, 3)).attempts_in_flight)[:count]:
            assert self.gateway is not None
            self.gateway.end_attempt(name, outcome)

    @rule(wait=st.sampled_from([5.0, 60.0, 900.0, 5000.0]))
    def wait(self, wait: float) -> None:
        limiter_gateway = self.gateway or self.start(0, 3)
        limiter_gateway.run_until(limiter_gateway.now_ms + wait)

    @invariant()
    def candidates_are_those_that_the_rules_allow(self) -> None:
        if self.gateway is None:
            return
        endpoints = self.gateway.limiter.endpoints
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
        assert {s for zone in endpoints.candidates.by_zone.values() for s in zone.members()} == selectable
        assert {s for cell in endpoints.candidates.by_cell.values() for s in cell} == selectable
        detector = endpoints.outlier_detector
        assert set(detector.ejected) == {s for s in directory.ready.values() if s.is_ejected}
        assert (
            detector.ejected_weight_milli
            == sum(s.weight_milli for s in detector.ejected)
            <= MAX_EJECTED_WEIGHT_FRACTION * directory.total_weight_milli
        )
        ranks = Counter(endpoints.subsetting.ranking.rank(n) for n, s in directory.ready.items() if not s.is_ejected)
        assert endpoints.usable_count_by_rank == [
            ranks[rank] for rank in range(endpoints.context.settings.limiter_count)
        ]
        assert endpoints.load_estimator.ready_server_count == len(directory.ready)


TestEndpoints = EndpointsMachine.TestCase
TestEndpoints.settings = settings(max_examples=60, stateful_step_count=40, deadline=None)
