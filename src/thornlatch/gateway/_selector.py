"""Selects a target for a request, waiting for an adapter load if necessary."""

import copy
import math
import threading
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from random import Random

import logbook

from thornlatch.core import read_clock
from thornlatch.exceptions import ErrorKind, RequestRefused
from thornlatch.fleet import LoadRequested, Target, TargetRegistry
from thornlatch.gateway._call import (
    MIN_SEND_BUDGET_S,
    Call,
    build_failure,
    build_refusal,
)
from thornlatch.gateway._choice import (
    RequestRequirements,
    Step,
    TargetOption,
    TargetState,
    list_options,
)
from thornlatch.gateway._health import TargetHealth, draw_return_delay
from thornlatch.gateway._ordering import OrderManager
from thornlatch.gateway._pacing import PromptPacing
from thornlatch.gateway._regions import RegionPolicy
from thornlatch.gateway._settings import ForwardingSettings
from thornlatch.residency import AdapterVersions, ResidentTable

logger = logbook.Logger("thornlatch.gateway")

# If a requested load isn't reported within this time, its holder isn't responding.
LOAD_ANSWER_TIMEOUT_S = 0.1
AVOIDING_PEER_LIMIT = 2  # peers that avoid a target before this host does too
# Of the time that a caller has left: it doesn't wait longer than that to return.
RETURN_RATIO = 1 / 3
UNRECORDED_RETRY_S = 0.3  # other hosts may reach the store
VERSION_RETRY_S = 1.0  # until a restarted target may have registered again
LIMITED_RETRY_S = 0.2  # least time until a caller returns to limited targets
EVACUATED_RETRY_S = 1.0  # evacuations last for minutes
REGION_RETRY_S = 1.0  # until a target of the region may have registered
POLL_INTERVAL_S = 0.1  # longest sleep of a waiting request between two checks


@dataclass(frozen=True)
class Preview:
    """What a host would do with a request that begins now.

    Parameters
    ----------
    options : tuple of TargetOption
        Targets that could serve it, sorted by cost.
    best : TargetOption or None
        The one that it would take or wait for; None without any.
    wait_s : float
        Seconds that it would wait before it is sent or refused, as far as is known.
    allowed_wait_s : float
        Seconds that it may wait.
    requests_load : bool
        Whether the load of its adapter would be requested.
    refusal : RequestRefused or None
        None if it isn't refused.
    """

    options: tuple[TargetOption, ...]
    best: TargetOption | None
    wait_s: float
    allowed_wait_s: float
    requests_load: bool
    refusal: RequestRefused | None


@dataclass(frozen=True)
class _Pick:
    """The option that a request takes, and whether it would start there too late."""

    option: TargetOption
    is_late: bool
    wait_until: float


class _LowestDraws(Random):
    """Draws the lowest number of each range, so that previews don't vary."""

    def uniform(self, a: float, b: float) -> float:
        """Return the lower end."""
        return a


class TargetSelector:
    """Selects the target to which a request is sent next.

    Parameters
    ----------
    settings : ForwardingSettings
    failure_domain : str
    registry : TargetRegistry
    versions : AdapterVersions
    residents : ResidentTable
    orders : OrderManager
    health : TargetHealth
    pacing : PromptPacing
    regions : RegionPolicy
    random : random.Random
        Source of the differences between hosts that choose at once.
    list_beginnable : callable
        Returns the software versions of a service at which resumable streams may
        begin; None for all.
    """

    def __init__(
        self,
        settings: ForwardingSettings,
        *,
        failure_domain: str,
        registry: TargetRegistry,
        versions: AdapterVersions,
        residents: ResidentTable,
        orders: OrderManager,
        health: TargetHealth,
        pacing: PromptPacing,
        regions: RegionPolicy,
        random: Random,
        list_beginnable: Callable[[str], frozenset[str] | None] = lambda service: None,
    ) -> None:
        self.list_beginnable = list_beginnable
        self.settings = settings
        self.failure_domain = failure_domain
        self.registry = registry
        self.versions = versions
        self.residents = residents
        self.orders = orders
        self.health = health
        self.pacing = pacing
        self.regions = regions
        self.random = random
        # Requests that wait because all targets of their service are closed or paced.
        self.waiting: Counter[str] = Counter()
        self.waiting_lock = threading.Lock()

    def choose(self, call: Call) -> TargetOption:
        """Return a target that can serve a request now.

        Requests the load of the adapter and waits for it if no target holds it.

        Parameters
        ----------
        call : Call

        Returns
        -------
        TargetOption

        Raises
        ------
        RequestRefused
            If no target can start the request in the time that it may wait, or if the
            request was stopped or failed at all targets.
        """
        load_requested_at: dict[str, float] = {}
        waits_from = read_clock()
        wait_until = self.get_wait_until(call)
        while True:
            if call.running.stop_reason is not None:
                raise build_failure(call)
            now = read_clock()
            options = self._list_options(call, load_requested_at, now)
            if not options:
                closed_s = self._check_without_option(call, now, wait_until)
                if closed_s:
                    self._wait_closed(call, closed_s)
                    continue
                if call.excluded and not call.may_have_run:
                    call.excluded.clear()
                    if call.tries:
                        raise build_failure(call)
                    continue
                if call.may_have_run and call.left_targets:
                    # They were silent, but may go on.
                    call.excluded -= call.left_targets
                    call.left_targets.clear()
                    continue
                if call.may_have_run:
                    raise build_failure(call, "no other target is available")
                if now + POLL_INTERVAL_S >= wait_until:
                    raise _build_no_target_refusal(call)
                self.residents.wait(call.request.adapter, POLL_INTERVAL_S)
                continue
            self._note_wanted(options)
            pick = self._pick(call, options, now, waits_from, wait_until)
            best, is_late, wait_until = pick.option, pick.is_late, pick.wait_until
            if best.target.id not in load_requested_at and _needs_load_request(
                call, best, now, is_late=is_late
            ):
                load_requested_at[best.target.id] = now
                self.request_load(call, best.target, now, was_missing=False)
            if is_late:
                raise self._build_late_refusal(call, pick, now)
            if best.step is Step.SEND:
                call.waited_s += now - waits_from
                return best
            if best.step is Step.AWAIT_PREFILL:
                self.pacing.note_wait(call.service, now=now)
            left_s = max(min(best.wait_s, wait_until - now), 0.001)
            if best.step is Step.AWAIT_PLACE:
                self._wait_closed(call, left_s)
                continue
            self.residents.wait(call.request.adapter, min(left_s, POLL_INTERVAL_S))

    def build_view(self) -> "TargetSelector":
        """Return a selector for previews, which changes nothing of this host's state.

        Returns
        -------
        TargetSelector
            It draws no random numbers and has a copy of what looking at changes.
        """
        view = copy.copy(self)
        view.health = self.health.build_copy()
        view.random = _LowestDraws()
        return view

    def preview(self, call: Call, *, now: float) -> Preview:
        """Return what `choose` would do with a request that begins now.

        Only a selector from `build_view` leaves all state as it is.

        Parameters
        ----------
        call : Call
        now : float

        Returns
        -------
        Preview
        """
        wait_until = self.get_wait_until(call)
        options = self._list_options(call, {}, now)
        wait_s, refusal, requests_load = 0.0, None, False
        best = None
        if options:
            pick = self._pick(call, options, now, now, wait_until)
            best, wait_until = pick.option, pick.wait_until
            requests_load = _needs_load_request(call, best, now, is_late=pick.is_late)
            wait_s = best.wait_s
            if pick.is_late:
                refusal = self._build_late_refusal(call, pick, now)
            elif (
                best.step is Step.SEND
                and call.running.ends_at - now < MIN_SEND_BUDGET_S
            ):
                # `choose` returns the target, but the sender refuses the request.
                refusal = build_failure(call)
        else:
            try:
                wait_s = self._check_without_option(call, now, wait_until)
            except RequestRefused as error:
                refusal = error
            else:
                if not wait_s:
                    # It waits for a target as long as it may.
                    wait_s = max(wait_until - now, 0.0)
                    refusal = _build_no_target_refusal(call)
        return Preview(
            tuple(options), best, wait_s, wait_until - now, requests_load, refusal
        )

    def may_send(self, call: Call, target: Target) -> bool:
        """Return whether a selected target may still get a request.

        Its failure domain may have been evacuated since, or the allowed regions may
        have changed.

        Parameters
        ----------
        call : Call
        target : Target

        Returns
        -------
        bool
        """
        return not self.registry.is_evacuated(target) and self.regions.is_allowed(
            target, self.regions.get_allowed(call)
        )

    def has_alternative(self, call: Call, target: str) -> bool:
        """Return whether there is another target at which a request hasn't failed.

        Parameters
        ----------
        call : Call
        target : str

        Returns
        -------
        bool
        """
        excluded = call.excluded | {target}
        now = read_clock()
        return any(
            other.id not in excluded
            and not self.health.get_place_wait_s(other, now=now)
            for other in self._list_accepting(call, now)
        )

    def list_startable(
        self, call: Call, besides: str, *, within_s: float, now: float
    ) -> list[TargetOption]:
        """Return the other targets that can start a request soon, the best first.

        Parameters
        ----------
        call : Call
        besides : str
            Id of the target to leave out.
        within_s : float
            Longest wait in seconds at a target that holds what the request needs.
        now : float

        Returns
        -------
        list of TargetOption
        """
        return [
            option
            for option in self._list_options(call, {}, now, besides)
            if option.step is Step.SEND and option.wait_s <= within_s
        ]

    def request_load_elsewhere(self, call: Call, target: str, *, now: float) -> None:
        """Request the load of a request's adapter at another target, if it needs one.

        Parameters
        ----------
        call : Call
        target : str
            Id of the target that the request may have to leave.
        now : float
        """
        options = self._list_options(call, {}, now, target)
        if options and options[0].step is Step.REQUEST_LOAD:
            self.request_load(call, options[0].target, now, was_missing=False)

    def _check_registered(self, call: Call) -> None:
        """Check that waiting may give a request a target.

        Raises
        ------
        RequestRefused
            If no registered target is in an allowed region, or if none is ready and
            some are evacuated.
        """
        allowed = self.regions.get_allowed(call)
        if allowed is None and not self.registry.evacuated:
            return
        service = call.service
        if self._list_allowed(self.registry.get_ready(service), allowed):
            return
        registered = self._list_allowed(
            self.registry.list_service_targets(service), allowed
        )
        if allowed is not None and not registered:
            regions = ", ".join(sorted(allowed)) or "none in common"
            raise build_refusal(
                call,
                ErrorKind.REGION_UNAVAILABLE,
                REGION_RETRY_S,
                f"no target of service {service} is registered in the allowed regions"
                f" ({regions})",
            )
        domains = {
            target.failure_domain
            for target in registered
            if self.registry.is_evacuated(target)
        }
        if domains:
            raise build_refusal(
                call,
                ErrorKind.NO_TARGET,
                EVACUATED_RETRY_S,
                f"the targets of service {service} are in evacuated failure domains"
                f" ({', '.join(sorted(domains))})",
            )

    def _list_allowed(
        self, targets: Sequence[Target], allowed: frozenset[str] | None
    ) -> Sequence[Target]:
        if allowed is None:
            return targets
        return [
            target for target in targets if self.regions.is_allowed(target, allowed)
        ]

    def _list_ready(self, call: Call) -> Sequence[Target]:
        """Return the ready targets that can serve a request, or its stream's rest."""
        targets = self._list_allowed(
            self.registry.get_ready(call.service), self.regions.get_allowed(call)
        )
        versions = self.list_usable_versions(call)
        if versions is None:
            return targets
        return [target for target in targets if target.software_version in versions]

    def list_usable_versions(self, call: Call) -> frozenset[str] | None:
        """Return the software versions of targets that may serve a request.

        Parameters
        ----------
        call : Call

        Returns
        -------
        frozenset of str or None
            None for any version.
        """
        if call.stream_version is not None:
            return frozenset({call.stream_version})
        if not call.route.is_resumable_stream:
            return None
        return self.list_beginnable(call.service)

    def _list_accepting(self, call: Call, now: float) -> list[Target]:
        """Return the targets to which this host may send a request now."""
        return [
            target
            for target in self._list_ready(call)
            if not self.health.get_closed_s(target, now=now)
        ]

    def _get_shortest_closed_s(self, call: Call, now: float) -> float:
        """Return the seconds until the first closed target opens; 0 without any."""
        closed_s = [
            self.health.get_closed_s(target, now=now)
            for target in self._list_ready(call)
        ]
        return min((wait_s for wait_s in closed_s if wait_s), default=0.0)

    def _estimate_limit_queue_s(self, call: Call) -> float:
        """Return the seconds that the requests waiting for limits take before."""
        limits = self.health.limits
        share = sum(
            limits.get_share(target.incarnation) for target in self._list_ready(call)
        )
        return self.waiting[call.service] / share if share else 0.0

    def _check_without_option(self, call: Call, now: float, wait_until: float) -> float:
        """Check a request for which there is no target now.

        Returns
        -------
        float
            Seconds until the first closed target opens, if the request waits for it;
            else 0.

        Raises
        ------
        RequestRefused
            If it is refused without a wait.
        """
        self._check_registered(call)
        if not self._list_ready(call):
            self._check_versions(call)
        closed_s = self._get_shortest_closed_s(call, now)
        if closed_s and not call.may_have_run:
            queue_s = closed_s + self._estimate_limit_queue_s(call)
            if now + queue_s < wait_until:
                return closed_s
            if not self._list_accepting(call, now):
                raise self._build_closed_refusal(call, closed_s)
        return 0.0

    def _check_versions(self, call: Call) -> None:
        """Check that a request without a ready target doesn't lack its version only.

        Raises
        ------
        RequestRefused
            If only targets of some software versions may serve it.
        """
        if call.stream_version is not None:
            raise build_refusal(
                call,
                ErrorKind.NO_TARGET,
                VERSION_RETRY_S,
                f"no target of service {call.service} runs version"
                f" {call.stream_version}, which began the stream",
            )
        if self.list_usable_versions(call) is not None:
            raise build_refusal(
                call,
                ErrorKind.HOST_UNCONFIRMED,
                UNRECORDED_RETRY_S,
                "the store doesn't record at which software version the stream begins,"
                f" and no target of service {call.service} needs no record",
            )

    def _estimate_place_queue_s(self, call: Call, now: float) -> float:
        """Return the seconds that the requests waiting for places take before.

        Avoided targets take none of them, unless they are paced and so tried.
        """
        pacer = self.health.pacer
        service_s = self.health.get_service_s(call.service)
        rate = sum(
            min(
                pacer.get_rate(target.incarnation, service_s=service_s),
                self.health.limits.get_share(target.incarnation),
            )
            for target in self._list_ready(call)
            if math.isfinite(pacer.get_window(target.incarnation))
            or not self._is_avoided(target.id, now)
        )
        return self.waiting[call.service] / rate if rate else 0.0

    def _pick(
        self,
        call: Call,
        options: list[TargetOption],
        now: float,
        waits_from: float,
        wait_until: float,
    ) -> _Pick:
        """Pick the option that a request takes now; changes no state."""
        best = self._choose_best(options, now, waited_s=now - waits_from)
        if best.step is Step.AWAIT_PLACE:
            queue_s = self._estimate_place_queue_s(call, now)
            best = replace(best, wait_s=best.wait_s + queue_s)
            if call.may_have_run:
                # A refusal would end it for good.
                wait_until = call.running.ends_at - MIN_SEND_BUDGET_S
        is_late = _is_late(best, now, waits_from, wait_until)
        if is_late and best.step is Step.AWAIT_PLACE:
            # Rather an avoided target, or one with a queue, than none.
            for option in options:
                if option.step is Step.SEND and not _is_late(
                    option, now, waits_from, wait_until
                ):
                    return _Pick(option, False, wait_until)
        return _Pick(best, is_late, wait_until)

    def _build_late_refusal(
        self, call: Call, pick: _Pick, now: float
    ) -> RequestRefused:
        """Return the refusal of a request that the best target would start too late."""
        best = pick.option
        if best.step is Step.AWAIT_PLACE:
            delay_s = draw_return_delay(self.random, best.wait_s)
            best = replace(best, wait_s=best.wait_s + delay_s)
        return build_refusal(
            call,
            ErrorKind.OVERLOADED,
            best.wait_s,
            f"{best.target.id} would start it in {best.wait_s:.2f} s; it may"
            f" wait {max(pick.wait_until - now, MIN_SEND_BUDGET_S):.2f} s",
        )

    def _choose_best(
        self, options: list[TargetOption], now: float, *, waited_s: float
    ) -> TargetOption:
        """Return the option of the lowest cost, or one that can be used earlier.

        Other requests may take the places that one waits for again and again. So a
        request accepts a longer queue elsewhere the longer it has waited for a place.
        """
        best = options[0]
        if best.step is not Step.AWAIT_PLACE:
            return best
        for option in options:
            if (
                option.step is Step.SEND
                and option.wait_s <= best.wait_s + waited_s
                and not self._is_avoided(option.target.id, now)
            ):
                return option
        return best

    def _note_wanted(self, options: list[TargetOption]) -> None:
        """Record the targets at which the request would be if they weren't paced."""
        for option in options:
            if (
                option.place_wait_s
                and option.step is Step.AWAIT_PLACE
                and option.cost_s - option.place_wait_s <= options[0].cost_s
            ):
                self.health.pacer.note_wanted(option.target.incarnation)

    def _wait_closed(self, call: Call, closed_s: float) -> None:
        with self.waiting_lock:
            self.waiting[call.service] += 1
        try:
            self.residents.wait(call.request.adapter, min(closed_s, POLL_INTERVAL_S))
        finally:
            with self.waiting_lock:
                self.waiting[call.service] -= 1

    def _build_closed_refusal(self, call: Call, closed_s: float) -> RequestRefused:
        """Return the refusal of a request for which all targets are closed."""
        limits = self.health.limits
        rates = [
            limits.get_rate(target.incarnation)
            for target in self._list_ready(call)
            if limits.is_limited(target.incarnation)
        ]
        reason = "asked for a pause"
        if rates:
            # A caller that returns may reach a host that has a share of a limit.
            closed_s = min(closed_s, max(1 / sum(rates), LIMITED_RETRY_S))
            reason = "asked for a pause or limit their requests"
        return build_refusal(
            call,
            ErrorKind.OVERLOADED,
            closed_s + draw_return_delay(self.random, closed_s),
            f"all targets of service {call.service} {reason}",
        )

    def get_wait_until(self, call: Call) -> float:
        """Return the clock time until which a request may wait to be sent.

        Parameters
        ----------
        call : Call

        Returns
        -------
        float
        """
        settings = self.settings
        budget_s = call.running.ends_at - call.waiting_since
        wait_s = max(
            call.route.objective_s * settings.wait_objectives,
            budget_s * settings.wait_budget_ratio,
        )
        wait_until = call.waiting_since + wait_s
        return min(wait_until, call.running.ends_at - MIN_SEND_BUDGET_S)

    def _list_options(
        self,
        call: Call,
        load_requested_at: dict[str, float],
        now: float,
        besides: str = "",
    ) -> list[TargetOption]:
        requirements = self.build_requirements(call, now=now, besides=besides)
        targets = self._list_accepting(call, now)
        preferred = self.residents.list_possible_targets(call.request.adapter)
        options = list_options(
            targets,
            requirements,
            lambda target: self.get_state(call, target, load_requested_at, now=now),
            self.settings,
            preferred=preferred,
            now=now,
        )
        return self._prefer_loads_without_limit(options)

    def build_requirements(
        self, call: Call, *, now: float, besides: str = ""
    ) -> RequestRequirements:
        """Return what a request requires of a target.

        Parameters
        ----------
        call : Call
        now : float
        besides : str
            Id of a target to leave out.

        Returns
        -------
        RequestRequirements
        """
        adapter = call.request.adapter
        required_version = (
            self.versions.get_required(adapter, now=now) if adapter else 0
        )
        holder_settings = self.orders.settings
        prefill_wait_limit_s = call.route.objective_s * self.settings.pace_objectives
        return RequestRequirements(
            adapter,
            required_version,
            self.failure_domain,
            frozenset(call.excluded | {besides}),
            holder_settings.adapter_load_s,
            holder_settings.adapter_load_s * holder_settings.former_load_ratio,
            self.health.get_service_s(call.service),
            self.health.get_prefill_s(call.service),
            may_await_prefill=now - call.waiting_since < prefill_wait_limit_s,
            prefill_limit_s=self.pacing.get_limit_s(call.service, call.route.gap_s),
            work_s=self.health.estimate_work_s(
                call.service, call.request.output_tokens
            ),
            left_s=call.running.ends_at - now,
        )

    def get_state(
        self,
        call: Call,
        target: Target,
        load_requested_at: dict[str, float],
        *,
        now: float,
    ) -> TargetState:
        """Return what this host knows of a target that a request may be sent to.

        Parameters
        ----------
        call : Call
        target : Target
        load_requested_at : dict of str to float
            When the request asked for a load at a target, by id.
        now : float

        Returns
        -------
        TargetState
        """
        model, adapter = call.request.model, call.request.adapter
        requests = self.orders.count_requests(target.id)
        requests = max(requests, self.health.get_reported_requests(target.id, now=now))
        is_avoided = self._is_avoided(target.id, now)
        spread_s = 0.0
        if self.orders.is_view_late:
            spread_s = self.random.uniform(0.0, self.settings.herd_spread_s)
        work_ratio = self.health.speeds.get_ratio(target.id, now=now)
        prompt_tokens = self.orders.count_recent_prompt_tokens(target.id, now=now)
        pace_wait_s = self.health.get_place_wait_s(target, now=now)
        if not adapter:
            return TargetState(
                requests,
                prompt_tokens,
                is_avoided,
                spread_s=spread_s,
                has_model=not model or target.holds_model(model),
                work_ratio=work_ratio,
                pace_wait_s=pace_wait_s,
            )
        resident = self.residents.get(target.id, adapter)
        in_transit = 0
        if resident is None:
            in_transit = self.orders.count_in_transit(target.id, now=now)
        requested_at = load_requested_at.get(target.id)
        is_responding = (
            requested_at is None or now - requested_at < LOAD_ANSWER_TIMEOUT_S
        )
        return TargetState(
            requests,
            prompt_tokens,
            is_avoided,
            resident,
            is_responding and self.orders.is_held(target.id, now=now),
            in_transit,
            self.residents.is_former_target(target.id, adapter),
            max(self.residents.place_at.get(target.id, now) - now, 0.0),
            spread_s,
            work_ratio=work_ratio,
            pace_wait_s=pace_wait_s,
        )

    def _prefer_loads_without_limit(
        self, options: list[TargetOption]
    ) -> list[TargetOption]:
        """Drop loads at targets that limit their requests, if there are others."""
        limits = self.health.limits
        kept = [
            option
            for option in options
            if option.step is not Step.REQUEST_LOAD
            or not limits.is_limited(option.target.incarnation)
        ]
        return kept or options

    def _is_avoided(self, target: str, now: float) -> bool:
        if self.health.is_avoided(target, now=now):
            return True
        # A single host may only have lost its own connection to the target.
        return self.orders.peers.count_peers_avoiding(target) >= AVOIDING_PEER_LIMIT

    def _list_unusable(self, call: Call, now: float) -> tuple[str, ...]:
        """Return targets that hold a request's adapter or will, but of no use to it.

        Those outside the allowed regions are listed also if they don't hold it yet. A
        later load there mustn't make the holder drop the request's own load.
        """
        unusable = []
        usable = self._list_ready(call)
        allowed = self.regions.get_allowed(call)
        for target in self.registry.get_ready(call.service):
            if not self.regions.is_allowed(target, allowed):
                unusable.append(target.id)
                continue
            resident = self.residents.get(target.id, call.request.adapter)
            if resident is not None and (
                resident.is_queued
                or target.id in call.excluded
                or target not in usable
                or self._is_avoided(target.id, now)
                or self.health.get_place_wait_s(target, now=now)
            ):
                unusable.append(target.id)
        return tuple(unusable)

    def _get_useful_s(self, call: Call, now: float) -> float:
        """Return the seconds after which a request doesn't need its adapter any more.

        It waits until then, or its caller returns by then after a refusal.
        """
        left_s = call.running.ends_at - now
        return max(self.get_wait_until(call) - now, left_s * RETURN_RATIO)

    def request_load(
        self, call: Call, target: Target, now: float, *, was_missing: bool
    ) -> None:
        """Request the load of a request's adapter at a target.

        Parameters
        ----------
        call : Call
        target : Target
        now : float
        was_missing : bool
            Whether the target rejected the request because it lacks the adapter.
        """
        adapter = call.request.adapter
        version = self.versions.get_required(adapter, now=now)
        load_request = LoadRequested(
            target.id,
            adapter,
            version,
            call.priority,
            was_missing,
            unusable=self._list_unusable(call, now),
            due_s=call.waiting_since + call.route.objective_s - now,
            useful_s=self._get_useful_s(call, now),
        )
        self.orders.request_load(load_request, now=now)
        logger.info(
            "adapter.requested",
            extra={
                "request": call.request.id,
                "target": target.id,
                "adapter": adapter,
                "version": version,
                "was_missing": was_missing,
            },
        )


def _is_late(
    best: TargetOption, now: float, waits_from: float, wait_until: float
) -> bool:
    """Return whether the best target would start a request too late."""
    # A load that is always expected shortly must not hold a request for good.
    counts_from = now if best.step is Step.SEND else waits_from
    return now + best.wait_s >= max(wait_until, counts_from + MIN_SEND_BUDGET_S)


def _needs_load_request(
    call: Call, best: TargetOption, now: float, *, is_late: bool
) -> bool:
    """Return whether the load of a request's adapter is requested at the best target.

    A refused request finds the adapter loaded when its caller returns.
    """
    return_s = (call.running.ends_at - now) * RETURN_RATIO
    return best.step is Step.REQUEST_LOAD and not (is_late and best.wait_s > return_s)


def _build_no_target_refusal(call: Call) -> RequestRefused:
    return build_refusal(
        call,
        ErrorKind.NO_TARGET,
        0.5,
        f"no target of service {call.service} is available",
    )
