"""Refusal of requests by the owner of a pool, on arrival or after they waited."""

from collections.abc import Mapping

from thornlatch.core import Action, Emit, Event, Send
from thornlatch.dispatch._deadlines import LatenessEstimate, LatestStarts
from thornlatch.dispatch._messages import GrantRefused
from thornlatch.dispatch._queue import RequestQueue, WaitingRequest
from thornlatch.dispatch._settings import DispatchSettings
from thornlatch.dispatch._targets import TargetState
from thornlatch.exceptions import ErrorKind
from thornlatch.placement import AdapterVersion, Placement


class Refusals:
    """Refuses requests that can't be served, or not in time, and says when to retry.

    Parameters
    ----------
    settings : DispatchSettings
    pool : str
    key : str
        Lease key of the pool.
    epoch : int
    queue : RequestQueue
        Waiting requests of the pool; refused ones are removed.
    targets : mapping of str to TargetState
        Updated by the scheduler.
    placement : Placement
    lateness : LatenessEstimate
    """

    def __init__(
        self,
        settings: DispatchSettings,
        *,
        pool: str,
        key: str,
        epoch: int,
        queue: RequestQueue,
        targets: Mapping[str, TargetState],
        placement: Placement,
        lateness: LatenessEstimate,
    ) -> None:
        self.settings = settings
        self.pool = pool
        self.key = key
        self.epoch = epoch
        self.queue = queue
        self.targets = targets
        self.placement = placement
        self.lateness = lateness
        self.latest_starts = LatestStarts()

    def refuse_on_arrival(self, waiting: WaitingRequest, now: float) -> list[Action]:
        """Refuse a request that must not be queued.

        The queue is full, no target may run it, its latest useful start has passed, or
        its version fails to load. Returns no action if the request isn't refused.
        """
        kind = self._find_arrival_refusal(waiting, now)
        if kind is not None:
            return self._refuse(waiting, kind, self.settings.retry_min_s)
        retry_after_s = self._get_load_retry_after(waiting.version, now)
        if retry_after_s is None:
            return []
        return self._refuse(waiting, ErrorKind.LOAD_FAILED, retry_after_s)

    def refuse_if_late(self, waiting: WaitingRequest, now: float) -> list[Action]:
        """Refuse a request that is expected to miss its deadline.

        Returns no action if the request isn't refused.
        """
        late_s = self._estimate_lateness(waiting, now)
        return self._refuse_late(late_s, waiting) if late_s > 0 else []

    def track(self, waiting: WaitingRequest) -> None:
        """Register a queued request for refusal at its latest useful start."""
        self.latest_starts.add(waiting.key, self.lateness.get_latest_start(waiting))

    def refuse_overdue(self, now: float) -> list[Action]:
        """Refuse the waiting requests that can no longer meet their deadline."""
        actions: list[Action] = []
        for key in self.latest_starts.pop_due(now):
            waiting = self.queue.requests.get(key)
            if waiting is None:
                continue
            latest_start_at = self.lateness.get_latest_start(waiting)
            if latest_start_at > now:
                self.latest_starts.add(key, latest_start_at)
                continue
            self.queue.remove(key)
            actions += self._refuse_late(self._estimate_lateness(waiting, now), waiting)
        return actions

    def refuse_unloadable(self, version: AdapterVersion, now: float) -> list[Action]:
        """Refuse the waiting requests of a version that fails to load.

        Nothing is refused while a target has the version loaded, or before the load has
        failed on enough targets.
        """
        retry_after_s = self._get_load_retry_after(version, now)
        if retry_after_s is None:
            return []
        actions: list[Action] = []
        for waiting in list(self.queue.iter_version(version)):
            self.queue.remove(waiting.key)
            actions += self._refuse(waiting, ErrorKind.LOAD_FAILED, retry_after_s)
        return actions

    def is_loaded(self, version: AdapterVersion) -> bool:
        """Return whether requests for a version can run without a load."""
        return not version.adapter or bool(self.placement.get_targets(version))

    def _find_arrival_refusal(
        self, waiting: WaitingRequest, now: float
    ) -> ErrorKind | None:
        if len(self.queue) >= self.settings.queue_limit:
            return ErrorKind.OVERLOADED
        excluded = waiting.spec.excluded
        if all(
            state.is_leaving or name in excluded for name, state in self.targets.items()
        ):
            return ErrorKind.NO_TARGET
        if self.lateness.get_latest_start(waiting) < now:
            return ErrorKind.DEADLINE_UNREACHABLE
        return None

    def _get_load_retry_after(
        self, version: AdapterVersion, now: float
    ) -> float | None:
        loaded_on = set(self.targets)
        if version.adapter:
            loaded_on.intersection_update(self.placement.get_targets(version))
        if loaded_on:
            return None
        return self.placement.backoff.get_retry_after(version, now)

    def _estimate_lateness(self, waiting: WaitingRequest, now: float) -> float:
        slots = sum(state.count_usable(now) for state in self.targets.values())
        is_loaded = self.is_loaded(waiting.version)
        return self.lateness.estimate(waiting, slots, now, is_loaded=is_loaded)

    def _refuse_late(self, late_s: float, waiting: WaitingRequest) -> list[Action]:
        retry_after_s = max(self.settings.retry_min_s, late_s)
        return self._refuse(waiting, ErrorKind.DEADLINE_UNREACHABLE, retry_after_s)

    def _refuse(
        self, waiting: WaitingRequest, kind: ErrorKind, retry_after_s: float
    ) -> list[Action]:
        key = waiting.key
        refused = GrantRefused(
            key.request, key.attempt, self.pool, kind, retry_after_s, self.epoch
        )
        event = Event(
            "dispatch.refused",
            request=key.request,
            attempt=key.attempt,
            organisation=waiting.spec.organisation,
            key=self.key,
            epoch=self.epoch,
            detail={"kind": kind.value, "retry_after_s": retry_after_s},
        )
        return [Send(waiting.host, refused), Emit(event)]
