"""The overlay: lists of discovery and drains of operators in any order."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from elderlock.control.drain_overlay import DrainOverlay
from elderlock.interface import ServerEntry, ServerState
from elderlock.net.endpoint_list import EndpointList, ListedServer

UIDS = ["s-1", "s-2", "s-3"]


STATES = list(ServerState)


def target(uid: str, state: ServerState = ServerState.RUNNING, port: int = 1, started: float = 0.0) -> ListedServer:
    return ListedServer(ServerEntry(uid, 0, 0, 0, state, 1.0, started), ("127.0.0.1", port))


class OverlayMachine(RuleBasedStateMachine):
    """Discovery's lists and operators' drains in any order, against the plain meaning of both."""

    def __init__(self) -> None:
        super().__init__()
        self.overlay = DrainOverlay()
        self.told: dict[str, ServerState] = {}  # what discovery said last
        self.drained: set[str] = set()
        self.taken: dict[str, ServerState] = {}  # as a limiter that follows the overlay holds it
        self.version = 0

    def take(self, listed: EndpointList) -> None:
        if listed.is_complete:
            self.taken.clear()
        for each in listed.servers:
            if each.entry.state is ServerState.REMOVED:
                self.taken.pop(each.entry.server_id, None)
            else:
                self.taken[each.entry.server_id] = each.entry.state

    @rule(
        complete=st.booleans(),
        entries=st.dictionaries(st.sampled_from(UIDS), st.sampled_from(STATES), max_size=3),
    )
    def discovery_tells(self, complete: bool, entries: dict[str, ServerState]) -> None:
        self.version += 1
        if complete:
            self.told.clear()
        self.told.update(entries)
        self.told = {u: s for u, s in self.told.items() if s is not ServerState.REMOVED}
        listed = EndpointList(self.version, complete, tuple(target(u, s) for u, s in entries.items()))
        self.take(self.overlay.apply_to(listed))

    @rule(drained=st.sets(st.sampled_from(UIDS)))
    def operators_drain(self, drained: set[str]) -> None:
        self.drained = drained
        self.take(self.overlay.set_drained(drained))

    @invariant()
    def a_drained_box_gets_nothing_and_every_other_is_as_discovery_said(self) -> None:
        assert set(self.taken) == set(self.told)
        for uid, state in self.taken.items():
            drains = uid in self.drained and self.told[uid] is ServerState.RUNNING
            assert state is (ServerState.DRAINING if drains else self.told[uid])


TestOverlay = OverlayMachine.TestCase


TestOverlay.settings = settings(max_examples=60, deadline=None)


def test_a_new_server_at_the_address_of_a_drained_one_is_not_drained() -> None:
    overlay = DrainOverlay(["s-old"])
    assert overlay.apply_to(EndpointList(1, True, (target("s-old"),))).servers[0].entry.state is (ServerState.DRAINING)
    listed = overlay.apply_to(EndpointList(2, True, (target("s-new", started=5.0),)))
    assert listed.servers[0].entry.state is ServerState.RUNNING


def test_a_drain_survives_the_removal_and_return_of_its_server() -> None:
    overlay = DrainOverlay(["s-1"])
    overlay.apply_to(EndpointList(1, True, (target("s-1"),)))
    overlay.apply_to(EndpointList(2, False, (target("s-1", ServerState.REMOVED),)))
    back = overlay.apply_to(EndpointList(3, False, (target("s-1", started=9.0),)))
    assert back.servers[0].entry.state is ServerState.DRAINING
    changes = overlay.set_drained(())
    assert [t.entry.state for t in changes.servers] == [ServerState.RUNNING]
