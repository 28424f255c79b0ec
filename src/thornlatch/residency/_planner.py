"""Planning of load and unload orders for one target.

The host that holds the target's tenure plans them. Each order carries the number of
orders that the target accepted before it, and the target rejects any other number. An
order that is executed late therefore can't take effect after a newer one.
"""

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field
from typing import Annotated

from msgspec import Meta

from thornlatch.fleet import ResidentAdapter
from thornlatch.residency._orders import (
    EngineReport,
    LoadAdapter,
    LoadModel,
    OrderOutcome,
    ResidencyOrder,
    UnloadAdapter,
)
from thornlatch.residency._places import PlaceUse
from thornlatch.residency._versions import AdapterVersions
from thornlatch.routing import EngineLimits

REPORT_PATIENCE_S = 1.0  # reports lag 0.35 s, and the next one is tried after 0.2 s
PRIORITY_WEIGHT_RATIO = 1.5  # weight of a request relative to the next lower priority


@dataclass(frozen=True)
class HolderSettings:
    """Timing and limits of the orders that a target's holder sends.

    Parameters
    ----------
    adapter_load_s : float
        Expected time to load an adapter from the weight store, in seconds.
    former_load_ratio : float
        Fraction of that time for an adapter that the target held before.
    transit_limit : int
        Largest number of adapters that a target accepts in transit at once.
    report_lag_s : float
        Largest age of a target's report, in seconds.
    retry_s : float
        Seconds without an order after a report that a model order is in progress.
    replace_after_s : float
        Seconds after an announcement at which an adapter in use is replaced. The target
        finishes its running requests first.
    recent_use_s : float
        Seconds after its last use during which an adapter isn't evicted, since digests
        report the requests of other hosts late.
    late_s : float
        Seconds after its expected end during which a missing load counts as late, not
        as lost.
    late_step_s : float
        Seconds after a load is found to be late until it is next expected to be
        ready.
    unanswered_s : float
        Seconds added to the expected time of a load whose order got no answer, because
        that much time passes before the order is sent again.
    slower_ratio, faster_ratio : float
        Factors on the expected load time after a late load, and after each order that
        loads an adapter new to the target.
    load_limit_s : float
        Upper limit of the expected load time, in seconds.
    """

    adapter_load_s: Annotated[float, Meta(gt=0)] = 0.27
    former_load_ratio: Annotated[float, Meta(gt=0, le=1)] = 0.15
    transit_limit: Annotated[int, Meta(ge=1)] = 4
    report_lag_s: Annotated[float, Meta(ge=0)] = 0.35
    retry_s: Annotated[float, Meta(ge=0)] = 0.2
    replace_after_s: Annotated[float, Meta(ge=0)] = 1.5
    recent_use_s: Annotated[float, Meta(ge=0)] = 0.2
    late_s: Annotated[float, Meta(ge=0)] = 2.0
    late_step_s: Annotated[float, Meta(gt=0)] = 0.06
    unanswered_s: Annotated[float, Meta(ge=0)] = 0.15
    slower_ratio: Annotated[float, Meta(ge=1)] = 1.12
    faster_ratio: Annotated[float, Meta(gt=0, le=1)] = 0.97
    load_limit_s: Annotated[float, Meta(gt=0)] = 2.0


@dataclass
class _AdapterState:
    version: int
    ready_at: float
    used_at: float

    @property
    def idle_since(self) -> float:
        """When it was last in use, or when the requests that wait for it may begin."""
        return max(self.used_at, self.ready_at)


@dataclass
class _RequestedLoad:
    version: int
    first_requested_at: float
    due_at: float
    expires_at: float
    weight: float = 0.0
    is_copy: bool = False
    unusable: set[str] = field(default_factory=set)


@dataclass
class _UnansweredOrder:
    order: ResidencyOrder
    expected: int
    sent_at: float
    # 0 unless the order loads an adapter.
    load_s: float


@dataclass(frozen=True)
class NumberedOrder:
    """An order with the sequence number that the target must have to accept it.

    Parameters
    ----------
    order : ResidencyOrder
    expected : int
        Orders that the target accepted before this one.
    """

    order: ResidencyOrder
    expected: int


@dataclass
class TargetPlanner:
    """Tracks the adapters of one target and chooses the next order; not thread-safe.

    Parameters
    ----------
    settings : HolderSettings
    limits : EngineLimits
    versions : AdapterVersions
    """

    settings: HolderSettings
    limits: EngineLimits
    versions: AdapterVersions
    # Orders that the target has accepted; None until its next report.
    sequence: int | None = None
    invalid_since: float = float("-inf")
    model: str = ""
    model_ready_at: float = 0.0
    adapters: dict[str, _AdapterState] = field(default_factory=dict)
    former: set[str] = field(default_factory=set)
    requested: dict[str, _RequestedLoad] = field(default_factory=dict)
    places: PlaceUse = field(default_factory=PlaceUse)
    unanswered: _UnansweredOrder | None = None
    report_due_at: float = 0.0
    ordered_at: float = float("-inf")
    paused_until: float = 0.0
    load_s: float = 0.0

    def __post_init__(self) -> None:
        self.load_s = self.settings.adapter_load_s

    def request_load(
        self,
        adapter: str,
        version: int,
        *,
        priority: int,
        now: float,
        due_s: float,
        useful_s: float,
        was_missing: bool = False,
        is_copy: bool = False,
        unusable: Collection[str] = (),
    ) -> None:
        """Request that an adapter be loaded.

        Parameters
        ----------
        adapter : str
            ``model/adapter``.
        version : int
            Lowest version that the request can use; 0 for any.
        priority : int
            Priority of the request that needs it; 0 is the most urgent.
        now : float
        due_s : float
            Seconds within which the request must begin to meet its objective.
        useful_s : float
            Seconds after which the request no longer needs the adapter.
        was_missing : bool
            Whether the target has just answered that it doesn't hold the adapter.
        is_copy : bool
            Whether it is wanted here although another target has it.
        unusable : collection of str
            Targets that have it, but of no use to the request.
        """
        state = self.adapters.get(adapter)
        if state is not None and was_missing:
            self._note_missing(state, now)
            return
        if state is not None and state.version >= version:
            return
        entry = self.requested.get(adapter)
        if entry is None:
            entry = self.requested[adapter] = _RequestedLoad(version, now, now, now)
        entry.version = max(entry.version, version)
        entry.due_at = max(entry.due_at, now + due_s)
        entry.expires_at = max(entry.expires_at, now + useful_s)
        entry.weight += PRIORITY_WEIGHT_RATIO**-priority
        entry.is_copy = entry.is_copy or is_copy
        entry.unusable.update(unusable)

    def _note_missing(self, state: _AdapterState, now: float) -> None:
        settings = self.settings
        if now < state.ready_at:
            return
        if now - state.ready_at < settings.late_s:
            state.ready_at = now + settings.late_step_s
            longer_s = self.load_s * settings.slower_ratio
            self.load_s = min(longer_s, settings.load_limit_s)
        elif self.sequence is not None:
            # The target contradicts this state, so its next report replaces it.
            self._invalidate(now)

    def note_use(self, uses: Mapping[str, int], *, now: float) -> None:
        """Record which adapters are in use.

        Parameters
        ----------
        uses : mapping of str to int
            Requests of all hosts at the target, by adapter.
        now : float
        """
        for adapter, count in uses.items():
            state = self.adapters.get(adapter)
            if state is not None and count:
                state.used_at = now
        self.places.note(uses, self.adapters, now=now)

    def is_responding(self, *, now: float) -> bool:
        """Return whether the target takes orders, now or after its next report.

        Parameters
        ----------
        now : float

        Returns
        -------
        bool
            False if a report has been missing for `REPORT_PATIENCE_S`.
        """
        is_known = self.sequence is not None
        return is_known or now - self.invalid_since < REPORT_PATIENCE_S

    def needs_report(self, *, now: float) -> bool:
        """Return whether a report of the target must be read now.

        Parameters
        ----------
        now : float

        Returns
        -------
        bool
        """
        return self.sequence is None and now >= self.report_due_at

    def next_order(
        self,
        uses: Mapping[str, int],
        *,
        now: float,
        may_load_model: bool,
        may_load_concurrently: bool = False,
    ) -> NumberedOrder | None:
        """Return the order to send now, if there is one.

        Parameters
        ----------
        uses : mapping of str to int
            Requests of all hosts at the target, by adapter.
        now : float
        may_load_model : bool
            Whether the rate limit of the weight store allows another model load.
        may_load_concurrently : bool
            Whether an adapter may be loaded while another one is in transit. If the
            weight store is busy, concurrent loads only slow each other down.

        Returns
        -------
        NumberedOrder or None
        """
        if self.sequence is None or now < self.paused_until:
            return None
        if self.unanswered is not None:
            return NumberedOrder(self.unanswered.order, self.unanswered.expected)
        order = self._choose(uses, now, may_load_model, may_load_concurrently)
        return NumberedOrder(order, self.sequence) if order is not None else None

    def apply_outcome(
        self, numbered: NumberedOrder, outcome: OrderOutcome, *, now: float
    ) -> None:
        """Apply a target's answer to an order.

        Parameters
        ----------
        numbered : NumberedOrder
        outcome : OrderOutcome
        now : float
        """
        self.ordered_at = now
        if outcome is OrderOutcome.UNKNOWN:
            # The order is repeated under the same number, so that the target executes
            # it only once even if the first one was merely delayed.
            self._note_unanswered(numbered, now)
            return
        unanswered_order, self.unanswered = self.unanswered, None
        if outcome is OrderOutcome.CONFLICT and unanswered_order is not None:
            # The number is used up, so the order that got no answer was executed.
            self.sequence = numbered.expected + 1
            self._set_load_start(unanswered_order, unanswered_order.sent_at)
        elif outcome is OrderOutcome.ACCEPTED:
            self.sequence = numbered.expected + 1
            self._apply(numbered.order, now)
            if unanswered_order is not None:
                self._set_load_start(unanswered_order, now)
        elif outcome is OrderOutcome.HOLDS:
            if isinstance(numbered.order, UnloadAdapter):
                self.sequence = numbered.expected + 1
            self._apply(numbered.order, now)
            self._mark_loaded(numbered.order, now)
        else:
            if isinstance(numbered.order, UnloadAdapter):
                # A request that this host doesn't know of uses the adapter. Marking it
                # as used makes the next eviction choose another one.
                key = f"{numbered.order.model}/{numbered.order.adapter}"
                if key in self.adapters:
                    self.adapters[key].used_at = now
            self._invalidate(now)

    def _note_unanswered(self, numbered: NumberedOrder, now: float) -> None:
        order, unanswered_order = numbered.order, self.unanswered
        load_s = 0.0
        if unanswered_order is not None:
            load_s = unanswered_order.load_s
        elif isinstance(order, LoadAdapter):
            load_s = self._estimate_load_s(f"{order.model}/{order.adapter}")
        self.unanswered = _UnansweredOrder(order, numbered.expected, now, load_s)
        if unanswered_order is None:
            self._apply(order, now)
        if isinstance(order, LoadAdapter):
            state = self.adapters[f"{order.model}/{order.adapter}"]
            state.ready_at = now + load_s + self.settings.unanswered_s

    def _set_load_start(
        self, unanswered_order: _UnansweredOrder, started_at: float
    ) -> None:
        """Correct the expected time of a load once its start is known."""
        order = unanswered_order.order
        if isinstance(order, LoadAdapter):
            state = self.adapters[f"{order.model}/{order.adapter}"]
            state.ready_at = started_at + unanswered_order.load_s

    def apply_report(self, report: EngineReport, *, now: float) -> None:
        """Replace the known state by a report, unless the report is outdated.

        Parameters
        ----------
        report : EngineReport
        now : float
        """
        if self.sequence is not None and report.sequence < self.sequence:
            return
        self.sequence = report.sequence
        self.unanswered = None
        known_adapters = self.adapters
        self.adapters = {}
        self.model = ""
        for loaded in report.loaded_models:
            self.model = loaded.model
            for name, version in loaded.adapters.items():
                key = f"{loaded.model}/{name}"
                known = known_adapters.get(key)
                ready_at = now if known is None else min(known.ready_at, now)
                self._set_adapter(key, version, ready_at, now, known_adapters)
        for model, name, version in report.pending:
            key = f"{model}/{name}"
            ready_at = now + self.settings.adapter_load_s
            self._set_adapter(key, version, ready_at, now, known_adapters)
        if report.is_busy:
            self.paused_until = now + self.settings.retry_s

    def get_residents(
        self, uses: Mapping[str, int], *, now: float
    ) -> tuple[ResidentAdapter, ...]:
        """Return the adapters that the target holds, loads or is going to load.

        Parameters
        ----------
        uses : mapping of str to int
            Requests of all hosts at the target, by adapter.
        now : float

        Returns
        -------
        tuple of ResidentAdapter
        """
        residents = [
            ResidentAdapter(
                name, state.version, max(round(state.ready_at - now, 3), 0.0)
            )
            for name, state in self.adapters.items()
        ]
        ready_in_s = max((resident.ready_in_s for resident in residents), default=0.0)
        ready_in_s = max(ready_in_s, self._estimate_model_wait(now))
        waits = self._list_idle_waits(uses, now)
        for rank, (name, requested) in enumerate(self._list_requested(now)):
            ready_in_s = max(ready_in_s, self.places.get_wait(waits, rank))
            ready_in_s += self._estimate_load_s(name)
            version = max(requested.version, self.versions.get_newest(name))
            if name not in self.adapters:
                residents.append(
                    ResidentAdapter(name, version, round(ready_in_s, 3), True)
                )
        return tuple(residents)

    def estimate_place_wait(self, uses: Mapping[str, int], *, now: float) -> float:
        """Return the seconds until a load that is requested now gets a place.

        Parameters
        ----------
        uses : mapping of str to int
            Requests of all hosts at the target, by adapter.
        now : float

        Returns
        -------
        float
        """
        waits = self._list_idle_waits(uses, now)
        wait_s = self.places.get_wait(waits, len(self._list_requested(now)))
        return max(wait_s, self._estimate_model_wait(now))

    def _estimate_model_wait(self, now: float) -> float:
        """Return the seconds until the target holds its model."""
        if not self.model and self.limits.models:
            return self.limits.models[0].load_s
        return max(self.model_ready_at - now, 0.0)

    def _list_idle_waits(self, uses: Mapping[str, int], now: float) -> list[float]:
        """Return the seconds until each unused place can be had, ascending."""
        waits = [0.0] * (self.count_adapter_slots() - len(self.adapters))
        for adapter, state in self.adapters.items():
            # Requests wait for an adapter in transit, so it will be in use.
            if not uses.get(adapter) and state.ready_at <= now:
                idle_s = now - state.idle_since
                waits.append(max(self.settings.recent_use_s - idle_s, 0.0))
        return sorted(waits)

    def _choose(
        self,
        uses: Mapping[str, int],
        now: float,
        may_load_model: bool,
        may_load_concurrently: bool,
    ) -> ResidencyOrder | None:
        if not self.model:
            if may_load_model and self.limits.models:
                return LoadModel(self.limits.models[0].name)
            return None
        if now < self.model_ready_at:
            return None
        in_transit = sum(1 for state in self.adapters.values() if state.ready_at > now)
        if in_transit >= (self.settings.transit_limit if may_load_concurrently else 1):
            return None
        return self._replace_outdated(uses, now) or self._load_requested(uses, now)

    def _replace_outdated(
        self, uses: Mapping[str, int], now: float
    ) -> ResidencyOrder | None:
        for adapter, state in self.adapters.items():
            newest = self.versions.get_newest(adapter)
            if state.version >= newest or state.ready_at > now:
                continue
            age = self.versions.get_age(adapter, now=now)
            if not uses.get(adapter) or age >= self.settings.replace_after_s:
                return _load(adapter, newest)
        return None

    def _load_requested(
        self, uses: Mapping[str, int], now: float
    ) -> ResidencyOrder | None:
        for adapter, requested in self._list_requested(now):
            state = self.adapters.get(adapter)
            newest = self.versions.get_newest(adapter)
            if state is not None and state.version >= requested.version:
                del self.requested[adapter]
                continue
            if state is not None:
                return _load(adapter, newest)
            if not adapter.startswith(f"{self.model}/"):
                del self.requested[adapter]
                continue
            if len(self.adapters) < self.count_adapter_slots():
                return _load(adapter, newest)
            return self._evict(uses, now)
        return None

    def _list_requested(self, now: float) -> list[tuple[str, _RequestedLoad]]:
        """Return unexpired load requests, by falling weight and then by age.

        Those that can no longer meet their objective come last.
        """
        for name, requested in list(self.requested.items()):
            if now >= requested.expires_at:
                del self.requested[name]
        return sorted(
            self.requested.items(),
            key=lambda item: (
                now + self._estimate_load_s(item[0]) > item[1].due_at,
                -item[1].weight,
                item[1].first_requested_at,
            ),
        )

    def _estimate_load_s(self, adapter: str) -> float:
        is_former = adapter in self.former and not self.versions.get_newest(adapter)
        ratio = self.settings.former_load_ratio if is_former else 1.0
        return self.load_s * ratio

    def count_adapter_slots(self) -> int:
        """Return the number of adapters that the target can hold with its model."""
        for model in self.limits.models:
            if model.name == self.model and model.adapter_mb > 0:
                room = (self.limits.memory_mb - model.size_mb) // model.adapter_mb
                return max(0, min(self.limits.adapter_slots, int(room)))
        return self.limits.adapter_slots

    def _evict(self, uses: Mapping[str, int], now: float) -> ResidencyOrder | None:
        idle = [
            (self.places.get_demand(adapter), state.used_at, adapter)
            for adapter, state in self.adapters.items()
            if not uses.get(adapter)
            and state.ready_at <= now
            and now - state.idle_since >= self.settings.recent_use_s
        ]
        if not idle:
            return None
        model, _, name = min(idle)[2].partition("/")
        return UnloadAdapter(model, name)

    def _apply(self, order: ResidencyOrder, now: float) -> None:
        if isinstance(order, LoadModel):
            self.model = order.model
            model_size = next(m for m in self.limits.models if m.name == order.model)
            self.model_ready_at = now + model_size.load_s
            self.adapters.clear()
            return
        adapter = f"{order.model}/{order.adapter}"
        if isinstance(order, UnloadAdapter):
            self.adapters.pop(adapter, None)
            self.former.add(adapter)
            return
        requested = self.requested.pop(adapter, None)
        if requested is not None and adapter not in self.adapters:
            self.places.note_load(requested_at=requested.first_requested_at, now=now)
        if adapter in self.adapters and self.unanswered is None:
            state = self.adapters[adapter]
            if state.version == order.version and state.ready_at > now:
                return
        load_s = self._estimate_load_s(adapter)
        if adapter not in self.former:
            shorter_s = self.load_s * self.settings.faster_ratio
            self.load_s = max(shorter_s, self.settings.adapter_load_s)
        self.adapters[adapter] = _AdapterState(order.version, now + load_s, now)
        self.former.add(adapter)

    def _mark_loaded(self, order: ResidencyOrder, now: float) -> None:
        if isinstance(order, LoadModel):
            self.model_ready_at = now
        elif isinstance(order, LoadAdapter):
            self.adapters[f"{order.model}/{order.adapter}"].ready_at = now

    def _set_adapter(
        self,
        adapter: str,
        version: int,
        ready_at: float,
        now: float,
        known_adapters: dict[str, _AdapterState],
    ) -> None:
        # Counting a new adapter as used now protects it until its use is recorded.
        used_at = known_adapters[adapter].used_at if adapter in known_adapters else now
        self.adapters[adapter] = _AdapterState(version, ready_at, used_at)
        self.former.add(adapter)
        self.requested.pop(adapter, None)

    def _invalidate(self, now: float) -> None:
        if self.sequence is not None:
            self.invalid_since = now
        self.sequence = None
        self.report_due_at = now + self.settings.report_lag_s


def _load(adapter: str, version: int) -> LoadAdapter:
    model, _, name = adapter.partition("/")
    return LoadAdapter(model, name, version)
