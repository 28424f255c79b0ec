"""Orders for one target, decided by the host that holds its tenure.

Each order names the number of orders that the target had accepted before it, so that
an order that is carried out late can't take effect after a newer one.
"""

from collections.abc import Mapping
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
from thornlatch.residency._versions import AdapterVersions
from thornlatch.routing import EngineLimits

PRIORITY_WEIGHT = 1.5  # of a request over one that is a rank less urgent


@dataclass(frozen=True)
class HolderSettings:
    """Times and bounds of orders.

    Parameters
    ----------
    adapter_load_s : float
        Seconds that an adapter is expected to take from the weight store.
    former_load_ratio : float
        Part of that for an adapter that the target held before.
    transit_limit : int
        Adapters that a target accepts in transit at once.
    report_lag_s : float
        Age that a target's report may have.
    retry_s : float
        Seconds before a refused order is tried again.
    replace_after_s : float
        Seconds after an announcement at which an adapter in use is replaced; the
        target lets its requests finish first.
    recent_use_s : float
        Seconds after its last use for which an adapter isn't evicted.
    wanted_s : float
        Seconds after the last request for an adapter for which it is still loaded.
    late_s : float
        Seconds after its expected end in which a load may merely be late.
    late_step_s : float
        Seconds by which a late load is expected later.
    unanswered_s : float
        Seconds by which a load is expected later if its order got no answer: that many
        pass until it is sent again.
    slower_ratio, faster_ratio : float
        Change of the expected time after a late load, and after any load.
    load_limit_s : float
        Longest time that a load is expected to take.
    """

    adapter_load_s: Annotated[float, Meta(gt=0)] = 0.27
    former_load_ratio: Annotated[float, Meta(gt=0, le=1)] = 0.15
    transit_limit: Annotated[int, Meta(ge=1)] = 4
    report_lag_s: Annotated[float, Meta(ge=0)] = 0.35
    retry_s: Annotated[float, Meta(ge=0)] = 0.2
    replace_after_s: Annotated[float, Meta(ge=0)] = 1.5
    recent_use_s: Annotated[float, Meta(ge=0)] = 0.3
    wanted_s: Annotated[float, Meta(gt=0)] = 4.0
    late_s: Annotated[float, Meta(ge=0)] = 2.0
    late_step_s: Annotated[float, Meta(gt=0)] = 0.06
    unanswered_s: Annotated[float, Meta(ge=0)] = 0.15
    slower_ratio: Annotated[float, Meta(ge=1)] = 1.12
    faster_ratio: Annotated[float, Meta(gt=0, le=1)] = 0.97
    load_limit_s: Annotated[float, Meta(gt=0)] = 2.0


@dataclass
class _Place:
    version: int
    ready_at: float
    used_at: float


@dataclass
class _Wanted:
    version: int
    since: float
    asked_at: float
    weight: float = 0.0


@dataclass
class _Unanswered:
    order: ResidencyOrder
    expected: int
    sent_at: float
    # Expected of the load, if it is one.
    load_s: float


@dataclass(frozen=True)
class NumberedOrder:
    """An order with the number of orders that it follows.

    Parameters
    ----------
    order : ResidencyOrder
    expected : int
    """

    order: ResidencyOrder
    expected: int


@dataclass
class TargetPlanner:
    """Belief about one target's places, and what to order next.

    One thread at a time uses it.

    Parameters
    ----------
    settings : HolderSettings
    limits : EngineLimits
    versions : AdapterVersions
    """

    settings: HolderSettings
    limits: EngineLimits
    versions: AdapterVersions
    sequence: int | None = None
    model: str = ""
    model_ready_at: float = 0.0
    places: dict[str, _Place] = field(default_factory=dict)
    former: set[str] = field(default_factory=set)
    wanted: dict[str, _Wanted] = field(default_factory=dict)
    unanswered: _Unanswered | None = None
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
        was_missing: bool = False,
    ) -> None:
        """Ask for an adapter.

        Parameters
        ----------
        adapter : str
            ``model/adapter``.
        version : int
            Lowest version that will do; 0 for any.
        priority : int
            Rank of the request that needs it, 0 first.
        now : float
        was_missing : bool
            Whether the target just denied holding it.
        """
        place = self.places.get(adapter)
        if place is not None and was_missing:
            self._note_missing(place, now)
            return
        if place is not None and place.version >= version:
            return
        known = self.wanted.get(adapter)
        if known is None:
            known = self.wanted[adapter] = _Wanted(version, now, now)
        known.version = max(known.version, version)
        known.asked_at = now
        known.weight += PRIORITY_WEIGHT**-priority

    def _note_missing(self, place: _Place, now: float) -> None:
        settings = self.settings
        if now < place.ready_at:
            return
        if now - place.ready_at < settings.late_s:
            place.ready_at = now + settings.late_step_s
            longer_s = self.load_s * settings.slower_ratio
            self.load_s = min(longer_s, settings.load_limit_s)
        elif self.sequence is not None:
            # Belief and target differ; a report decides.
            self._doubt(now)

    def note_use(self, uses: Mapping[str, int], *, now: float) -> None:
        """Note which adapters requests use now.

        Parameters
        ----------
        uses : mapping of str to int
        now : float
        """
        for adapter, count in uses.items():
            place = self.places.get(adapter)
            if place is not None and count:
                place.used_at = now

    def needs_report(self, *, now: float) -> bool:
        """Return whether the target has to be asked for a report now.

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
            Whether the weight store's rate allows another model.
        may_load_concurrently : bool
            Whether another adapter may be fetched beside one in transit: if the
            weight store is busy, they would only delay each other.

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
        """Take a target's answer to an order.

        Parameters
        ----------
        numbered : NumberedOrder
        outcome : OrderOutcome
        now : float
        """
        self.ordered_at = now
        if outcome is OrderOutcome.UNKNOWN:
            # Sent again under the same number, only one of the two can take effect.
            self._note_unanswered(numbered, now)
            return
        former, self.unanswered = self.unanswered, None
        if outcome is OrderOutcome.CONFLICT and former is not None:
            # The one that got no answer has taken effect under the same number.
            self.sequence = numbered.expected + 1
            self._settle(former, former.sent_at)
        elif outcome is OrderOutcome.ACCEPTED:
            self.sequence = numbered.expected + 1
            self._apply(numbered.order, now)
            if former is not None:
                self._settle(former, now)
        elif outcome is OrderOutcome.HOLDS:
            if isinstance(numbered.order, UnloadAdapter):
                self.sequence = numbered.expected + 1
            self._apply(numbered.order, now)
            self._note_held(numbered.order, now)
        else:
            if isinstance(numbered.order, UnloadAdapter):
                # Something uses it that this host hasn't heard of; another one goes.
                key = f"{numbered.order.model}/{numbered.order.adapter}"
                if key in self.places:
                    self.places[key].used_at = now
            self._doubt(now)

    def _note_unanswered(self, numbered: NumberedOrder, now: float) -> None:
        order, former = numbered.order, self.unanswered
        load_s = 0.0
        if former is not None:
            load_s = former.load_s
        elif isinstance(order, LoadAdapter):
            load_s = self._expect_load_s(f"{order.model}/{order.adapter}")
        self.unanswered = _Unanswered(order, numbered.expected, now, load_s)
        if former is None:
            self._apply(order, now)
        if isinstance(order, LoadAdapter):
            place = self.places[f"{order.model}/{order.adapter}"]
            place.ready_at = now + load_s + self.settings.unanswered_s

    def _settle(self, unanswered: _Unanswered, began_at: float) -> None:
        """Note when an order that got no answer at first took effect."""
        order = unanswered.order
        if isinstance(order, LoadAdapter):
            place = self.places[f"{order.model}/{order.adapter}"]
            place.ready_at = began_at + unanswered.load_s

    def apply_report(self, report: EngineReport, *, now: float) -> None:
        """Take a report as the new belief.

        Parameters
        ----------
        report : EngineReport
        now : float
        """
        if self.sequence is not None and report.sequence < self.sequence:
            return
        self.sequence = report.sequence
        self.unanswered = None
        former = self.places
        self.places = {}
        self.model = ""
        for loaded in report.loaded_models:
            self.model = loaded.model
            for name, version in loaded.adapters.items():
                key = f"{loaded.model}/{name}"
                self._note_place(key, version, now, now, former)
        for model, name, version in report.pending:
            key = f"{model}/{name}"
            ready_at = now + self.settings.adapter_load_s
            self._note_place(key, version, ready_at, now, former)
        if report.is_busy:
            self.paused_until = now + self.settings.retry_s

    def get_residents(self, *, now: float) -> tuple[ResidentAdapter, ...]:
        """Return the adapters that the target holds, fetches or will fetch.

        Parameters
        ----------
        now : float

        Returns
        -------
        tuple of ResidentAdapter
        """
        known = [
            ResidentAdapter(
                name, place.version, max(round(place.ready_at - now, 3), 0.0)
            )
            for name, place in self.places.items()
        ]
        ready_in_s = max((one.ready_in_s for one in known), default=0.0)
        ready_in_s = max(ready_in_s, self.model_ready_at - now, 0.0)
        for name, wanted in self._iter_wanted(now):
            ready_in_s += self._expect_load_s(name)
            version = max(wanted.version, self.versions.get_newest(name))
            if name not in self.places:
                known.append(ResidentAdapter(name, version, round(ready_in_s, 3), True))
        return tuple(known)

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
        in_transit = sum(1 for place in self.places.values() if place.ready_at > now)
        if in_transit >= (self.settings.transit_limit if may_load_concurrently else 1):
            return None
        return self._replace_old(uses, now) or self._load_wanted(uses, now)

    def _replace_old(
        self, uses: Mapping[str, int], now: float
    ) -> ResidencyOrder | None:
        for adapter, place in self.places.items():
            newest = self.versions.get_newest(adapter)
            if place.version >= newest or place.ready_at > now:
                continue
            age = self.versions.get_age(adapter, now=now)
            if not uses.get(adapter) or age >= self.settings.replace_after_s:
                return _load(adapter, newest)
        return None

    def _load_wanted(
        self, uses: Mapping[str, int], now: float
    ) -> ResidencyOrder | None:
        for adapter, wanted in self._iter_wanted(now):
            place = self.places.get(adapter)
            newest = self.versions.get_newest(adapter)
            if place is not None and place.version >= wanted.version:
                del self.wanted[adapter]
                continue
            if place is not None:
                return _load(adapter, newest)
            if not adapter.startswith(f"{self.model}/"):
                del self.wanted[adapter]
                continue
            if len(self.places) < self.count_places():
                return _load(adapter, newest)
            return self._evict(uses, now)
        return None

    def _iter_wanted(self, now: float) -> list[tuple[str, _Wanted]]:
        """Return wanted adapters, those that most and urgent requests need first."""
        for name, wanted in list(self.wanted.items()):
            if now - wanted.asked_at >= self.settings.wanted_s:
                del self.wanted[name]
        return sorted(
            self.wanted.items(), key=lambda item: (-item[1].weight, item[1].since)
        )

    def _expect_load_s(self, adapter: str) -> float:
        is_former = adapter in self.former and not self.versions.get_newest(adapter)
        ratio = self.settings.former_load_ratio if is_former else 1.0
        return self.load_s * ratio

    def count_places(self) -> int:
        """Return how many adapters fit beside the model."""
        for model in self.limits.models:
            if model.name == self.model and model.adapter_mb > 0:
                room = (self.limits.memory_mb - model.size_mb) // model.adapter_mb
                return max(0, min(self.limits.adapter_places, int(room)))
        return self.limits.adapter_places

    def _evict(self, uses: Mapping[str, int], now: float) -> ResidencyOrder | None:
        idle = [
            (place.used_at, adapter)
            for adapter, place in self.places.items()
            if not uses.get(adapter)
            and place.ready_at <= now
            and now - place.used_at >= self.settings.recent_use_s
        ]
        if not idle:
            return None
        model, _, name = min(idle)[1].partition("/")
        return UnloadAdapter(model, name)

    def _apply(self, order: ResidencyOrder, now: float) -> None:
        if isinstance(order, LoadModel):
            self.model = order.model
            size = next(m for m in self.limits.models if m.name == order.model)
            self.model_ready_at = now + size.load_s
            self.places.clear()
            return
        adapter = f"{order.model}/{order.adapter}"
        if isinstance(order, UnloadAdapter):
            self.places.pop(adapter, None)
            self.former.add(adapter)
            return
        self.wanted.pop(adapter, None)
        if adapter in self.places and self.unanswered is None:
            place = self.places[adapter]
            if place.version == order.version and place.ready_at > now:
                return
        load_s = self._expect_load_s(adapter)
        if adapter not in self.former:
            shorter_s = self.load_s * self.settings.faster_ratio
            self.load_s = max(shorter_s, self.settings.adapter_load_s)
        self.places[adapter] = _Place(order.version, now + load_s, now)
        self.former.add(adapter)

    def _note_held(self, order: ResidencyOrder, now: float) -> None:
        if isinstance(order, LoadModel):
            self.model_ready_at = now
        elif isinstance(order, LoadAdapter):
            self.places[f"{order.model}/{order.adapter}"].ready_at = now

    def _note_place(
        self,
        adapter: str,
        version: int,
        ready_at: float,
        now: float,
        former: dict[str, _Place],
    ) -> None:
        # One that is in use is seen to be before it could be evicted.
        used_at = former[adapter].used_at if adapter in former else now
        self.places[adapter] = _Place(version, ready_at, used_at)
        self.former.add(adapter)
        self.wanted.pop(adapter, None)

    def _doubt(self, now: float) -> None:
        self.sequence = None
        self.report_due_at = now + self.settings.report_lag_s


def _load(adapter: str, version: int) -> LoadAdapter:
    model, _, name = adapter.partition("/")
    return LoadAdapter(model, name, version)
