"""A limiter: it handles events and returns actions."""

from __future__ import annotations

from collections.abc import Callable

from elderlock import interface as api
from elderlock.decisions.admission import Admission
from elderlock.decisions.attempts import Attempts
from elderlock.decisions.context import MS_PER_SECOND, DecisionContext
from elderlock.decisions.endpoints import Endpoints
from elderlock.decisions.load_estimator import LoadEstimator
from elderlock.decisions.maintenance import Maintenance
from elderlock.decisions.quota_coordinator import QuotaCoordinator
from elderlock.decisions.throttle import CONTROL_PERIOD_MS, Throttle
from elderlock.state import OpenRequest


class Limiter:
    """Dispatches events to the components that decide. It has no clock and does no I/O.

    The same settings, seed and events give the same actions.

    Attributes:
        context: The state that the components share.
        requests: The open requests by id.
        throttle: Limits the rate of admission under overload.
        load_estimator: Estimates the load of the servers.
        quotas: The accounts of the customers.
        endpoints: The servers.
        attempts: Handles requests after their admission.
        admission: Decides about new requests.
        quota_coordinator: Coordinates quotas with the other limiters.
        maintenance: Does the periodic work.
        handlers: The handler of each type of event; events of other types are ignored.
    """

    def __init__(
        self,
        settings: api.Settings,
        seed: int,
        now_ms: float,
        coordinator_class: type[QuotaCoordinator] = QuotaCoordinator,
    ) -> None:
        """Create the components; the limiter does nothing before `start`.

        Args:
            settings: The limiter's settings.
            seed: The seed of the random number generator.
            now_ms: The current time.
            coordinator_class: The class of the quota coordinator; its `quotas_class` is the class of the accounts.
        """
        self.context = DecisionContext(settings, seed, now_ms)
        self.requests: dict[str, OpenRequest] = {}
        self.throttle = Throttle(self.context.rng, now_ms)
        self.load_estimator = LoadEstimator(self.context)
        self.quotas = coordinator_class.quotas_class(self.context)
        self.endpoints = Endpoints(self.context, self.load_estimator, self.quotas)
        self.attempts = Attempts(self.context, self.load_estimator, self.quotas, self.endpoints, self.requests)
        self.admission = Admission(self.context, self.throttle, self.attempts, coordinator_class)
        self.quota_coordinator = self.admission.quota_coordinator
        self.maintenance = Maintenance(self.admission, self.endpoints)
        self.handlers: dict[type, Callable[..., None]] = {
            api.RequestArrived: self.admission.handle_arrival,
            api.PermitRequested: self.admission.handle_arrival,
            api.AttemptEnded: self.attempts.handle_attempt_end,
            api.TimerFired: self._handle_timer,
            api.ServerList: self.endpoints.apply_server_list,
            api.PeerMessage: self.quota_coordinator.handle_peer_message,
            api.CounterAnswered: self.quota_coordinator.handle_counter_answer,
            api.ClientDisconnected: self._handle_client_disconnect,
            api.StreamStarted: self._handle_stream_start,
        }

    def start(self, now_ms: float) -> list[api.Action]:
        """Start the limiter at the time `now_ms`, and return its first actions."""
        context = self.context
        context.now_ms = now_ms
        context.actions = [api.Subscribe(True)] if context.settings.subscribes_to_list else []
        self.maintenance.schedule_first_round()
        return context.finish_event()

    def handle(self, event: api.Event, now_ms: float) -> list[api.Action]:
        """Handle an event that happened at the time `now_ms`, and return the actions in their order."""
        context = self.context
        context.now_ms = now_ms
        context.actions = []
        event_type = type(event)
        if event_type in self.handlers:
            self.handlers[event_type](event)
        return context.finish_event()

    def maintain(self) -> None:
        """Do one round of maintenance."""
        self.maintenance.begin_round()
        elapsed_ms = self.maintenance.period_elapsed_ms()
        if elapsed_ms >= CONTROL_PERIOD_MS:
            self.end_control_period(elapsed_ms / MS_PER_SECOND)
        self.maintenance.finish_round()

    def end_control_period(self, elapsed_s: float) -> None:
        """Do the work that is due once per control period; the last period ended `elapsed_s` seconds ago."""
        self.maintenance.end_control_period(elapsed_s)

    def _handle_timer(self, event: api.TimerFired) -> None:
        for timer in self.context.timers.pop_due(event.token, self.context.now_ms):
            if timer.query_id is None:
                self.maintain()
            else:
                self.quota_coordinator.handle_query_timeout(timer.query_id)

    def _handle_stream_start(self, event: api.StreamStarted) -> None:
        request = self.requests.get(event.request_id)
        if request is not None:
            request.is_streaming = True

    def _handle_client_disconnect(self, event: api.ClientDisconnected) -> None:
        request = self.requests.get(event.request_id)
        if request is not None:
            self.attempts.finish(request)
