"""The drain overlay: discovery's lists and operators' drains in any order."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from elderlock.control.drain_overlay import DrainOverlay
from elderlock.interface import ServerEntry, ServerState
from elderlock.net.endpoint_list import EndpointList, ListedServer

UIDS = ["s-1", "s-2", "s-3"]
STATES = list(ServerState)


def target(
    uid: str, state: ServerState = ServerState.RUNNING, port: int = 1, started_at_ms: float = 0.0
) -> ListedServer:
    return ListedServer(ServerEntry(uid, 0, 0, 0, state, 1.0, started_at_ms), ("127.0.0.1", port))


class OverlayMachine(RuleBasedStateMachine):
    """Applies discovery's lists and operators' drains in any order, and compares the result with a simple model."""

    def __init__(self) -> None:
        super().__init__()
        self.overlay = DrainOverlay()
        self.discovered: dict[str, ServerState] = {}  # the states that discovery reported last
        self.drained: set[str] = set()
        self.applied: dict[str, ServerState] = {}  # the states at a limiter that applies the overlay's lists
        self.version = 0

    def apply(self, listed: EndpointList) -> None:
        if listed.is_complete:
            self.applied.clear()
        for server in listed.servers:
            if server.entry.state is ServerState.REMOVED:
                self.applied.pop(server.entry.server_id, None)
            else:
                self.applied[server.entry.server_id] = server.entry.state

    @rule(
        complete=st.booleans(),
        entries=st.dictionaries(st.sampled_from(UIDS), st.sampled_from(STATES), max_size=3),
    )
    def discovery_sends_list(self, complete: bool, entries: dict[str, ServerState]) -> None:
        self.version += 1
        if complete:
            self.discovered.clear()
        self.discovered.update(entries)
        self.discovered = {uid: state for uid, state in self.discovered.items() if state is not ServerState.REMOVED}
        listed = EndpointList(self.version, complete, tuple(target(uid, state) for uid, state in entries.items()))
        self.apply(self.overlay.apply_to(listed))

    @rule(drained=st.sets(st.sampled_from(UIDS)))
    def operators_drain(self, drained: set[str]) -> None:
        self.drained = drained
        self.apply(self.overlay.set_drained(drained))

    @invariant()
    def drained_servers_are_draining_and_others_are_as_discovered(self) -> None:
        assert set(self.applied) == set(self.discovered)
        for uid, state in self.applied.items():
            is_drained = uid in self.drained and self.discovered[uid] is ServerState.RUNNING
            assert state is (ServerState.DRAINING if is_drained else self.discovered[uid])


TestOverlay = OverlayMachine.TestCase


TestOverlay.settings = settings(max_examples=60, deadline=None)


def test_a_new_server_at_the_address_of_a_drained_one_is_not_drained() -> None:
    overlay = DrainOverlay(["s-old"])
    assert overlay.apply_to(EndpointList(1, True, (target("s-old"),))).servers[0].entry.state is (ServerState.DRAINING)
    listed = overlay.apply_to(EndpointList(2, True, (target("s-new", started_at_ms=5.0),)))
    assert listed.servers[0].entry.state is ServerState.RUNNING


def test_a_drain_survives_the_removal_and_return_of_its_server() -> None:
    overlay = DrainOverlay(["s-1"])
    overlay.apply_to(EndpointList(1, True, (target("s-1"),)))
    overlay.apply_to(EndpointList(2, False, (target("s-1", ServerState.REMOVED),)))
    returned = overlay.apply_to(EndpointList(3, False, (target("s-1", started_at_ms=9.0),)))
    assert returned.servers[0].entry.state is ServerState.DRAINING
    changes = overlay.set_drained(())
    assert [server.entry.state for server in changes.servers] == [ServerState.RUNNING]
