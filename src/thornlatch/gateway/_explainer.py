"""Explains where this host would send a request now, without sending it."""

import math
from collections.abc import Callable
from dataclasses import replace

from thornlatch.exceptions import ANSWERS, ErrorKind, RequestRefused
from thornlatch.fleet import Target
from thornlatch.gateway._admission import Admission, needs_key
from thornlatch.gateway._call import Call
from thornlatch.gateway._choice import TargetOption
from thornlatch.gateway._explanation_settings import ExplanationSettings
from thornlatch.gateway._explanations import (
    REFUSE,
    AdapterState,
    DataAge,
    Explanation,
    Outcome,
    QuotaState,
    Refusal,
    ServiceWeight,
    TargetExplanation,
    compute_age_s,
)
from thornlatch.gateway._ports import CallerRequest
from thornlatch.gateway._recent_requests import RecentRequests
from thornlatch.gateway._selector import Preview, TargetSelector
from thornlatch.gateway._target_reasons import (
    FleetFacts,
    RequestFacts,
    TargetFacts,
    list_request_reasons,
)
from thornlatch.gateway._where_query import WhereQuery, build_bad_argument
from thornlatch.routing import Configuration, Organisation, Route

AWAIT_TARGET = "await-target"


class RequestExplainer:
    """Explains requests with the code that admits and chooses, on copies of its state.

    Parameters
    ----------
    settings : ExplanationSettings
    host : str
        This host's id.
    admission : Admission
    selector : TargetSelector
    recent : RecentRequests
    """

    def __init__(
        self,
        settings: ExplanationSettings,
        *,
        host: str,
        admission: Admission,
        selector: TargetSelector,
        recent: RecentRequests,
    ) -> None:
        self.settings = settings
        self.host = host
        self.admission = admission
        self.selector = selector
        self.recent = recent

    def explain(self, query: WhereQuery, *, now: float) -> Explanation:
        """Return what this host would do with a request that arrives now.

        Parameters
        ----------
        query : WhereQuery
        now : float

        Returns
        -------
        Explanation

        Raises
        ------
        RequestRefused
            If there is nothing to explain: the request, its route, its model or another
            argument isn't known, or this host can't decide.
        """
        fingerprint = ""
        if query.request:
            recent = self.recent.get(query.request)
            if recent is None:
                raise RequestRefused(
                    ErrorKind.UNKNOWN_REQUEST,
                    "this host hasn't served that request, or not lately",
                )
            query = replace(recent.query, targets=query.targets)
            fingerprint = recent.fingerprint
        admission = self.admission.build_view(query.organisation)
        selector = self.selector.build_view()
        configuration = admission.get_configuration()
        route = admission.find_route(query.host, query.path, now=now)
        is_keyed = needs_key(configuration, route)
        organisation = _find_organisation(configuration, query) if is_keyed else None
        notes = _list_notes(query, route, is_keyed=is_keyed)
        if query.organisation not in configuration.organisations:
            # It may be a key by mistake, which a public route doesn't look up.
            query = replace(query, organisation="")
        call = admission.build_call(
            _build_request(query),
            route,
            organisation,
            fingerprint,
            lambda: False,
            now=now,
        )
        call.service = _find_service(route, query) or call.service
        if route.is_resumable_stream and query.is_resumed:
            call.stream_version = query.software_version
        _check_model(configuration, call)
        quota = _describe_quota(admission, call, now)
        refusals = _list_refusals(admission, call, is_keyed=is_keyed, now=now)
        preview = selector.preview(call, now=now)
        outcome = _build_outcome(preview, is_admitted=not refusals)
        if preview.refusal is not None:
            refusals.append(_build_refusal(preview.refusal))
        targets = _sort_targets(selector, call, preview)
        limit = self.settings.target_limit
        limit = min(query.targets, limit) if query.targets else limit
        return Explanation(
            self.host,
            query,
            configuration.version,
            route.name,
            call.service,
            tuple(ServiceWeight(name, weight) for name, weight in route.services),
            outcome,
            tuple(refusals),
            quota,
            _describe_adapter(selector, call, now),
            _describe_targets(selector, call, preview, targets[:limit], now),
            len(targets),
            self._list_ages(selector, now),
            notes,
        )

    def _list_ages(self, selector: TargetSelector, now: float) -> tuple[DataAge, ...]:
        in_force, peers = self.admission.in_force, selector.orders.peers
        seen_at = dict(peers.last_seen_at)
        live = [at for host, at in seen_at.items() if peers.is_live(host, now=now)]
        return (
            _build_age("configuration confirmed", in_force.confirmed_at, now),
            _build_age("this host listed by the store", in_force.renewed_at, now),
            _build_age(
                "oldest digest of a live peer",
                min(live, default=-math.inf),
                now,
                f"{len(live)} live of {len(seen_at)}",
            ),
            _build_age(
                "last failed call of the store",
                selector.registry.store_contact.failed_at,
                now,
            ),
        )


def _build_age(data: str, at: float, now: float, detail: str = "") -> DataAge:
    return DataAge(data, compute_age_s(at, now), detail)


def _find_organisation(
    configuration: Configuration, query: WhereQuery
) -> Organisation | None:
    if not query.organisation:
        return None
    organisation = configuration.organisations.get(query.organisation)
    if organisation is None:
        # Without the name, as it may be a key by mistake.
        raise build_bad_argument("there is no organisation of that name")
    return organisation


def _find_service(route: Route, query: WhereQuery) -> str:
    names = [name for name, _ in route.services]
    if query.service and query.service not in names:
        raise build_bad_argument(
            f"route {route.name} doesn't use service {query.service[:80]!r}, but"
            f" {', '.join(names)}"
        )
    return query.service


def _check_model(configuration: Configuration, call: Call) -> None:
    model = call.request.model
    service = configuration.services.get(call.service)
    if not model or service is None:
        return
    models = [size.name for size in service.engine.models] if service.engine else []
    if model not in models:
        raise RequestRefused(
            ErrorKind.UNKNOWN_MODEL,
            f"service {call.service} runs no model {model[:80]!r}, but"
            f" {', '.join(models) or 'none'}",
        )


def _build_request(query: WhereQuery) -> CallerRequest:
    return CallerRequest(
        query.id,
        "",
        query.path,
        query.host,
        None,
        query.deadline_s,
        query.model_name,
        query.adapter,
        query.prompt_tokens,
        query.output_tokens,
        query.prompt_parts,
        "0" if query.is_resumed else "",
        (),
        b"",
    )


def _describe_quota(admission: Admission, call: Call, now: float) -> QuotaState | None:
    organisation = call.organisation
    if organisation is None:
        return None
    _, tokens_left = admission.quota.get_spent(now=now)
    return QuotaState(
        organisation.name,
        organisation.rate,
        organisation.burst,
        tokens_left.get(organisation.name),
        call.tokens,
    )


def _list_refusals(
    admission: Admission, call: Call, *, is_keyed: bool, now: float
) -> list[Refusal]:
    """Return what an admission view refuses, in the order in which it checks."""
    checks: list[Callable[[], None]] = []
    if is_keyed:
        checks.append(lambda: admission.check_fresh(now=now))
    if call.fingerprint:
        checks.append(lambda: admission.check_runs(call.fingerprint))
    checks.append(lambda: admission.check_parts(call))
    checks.append(lambda: admission.spend(call, now=now))
    refusals = []
    for check in checks:
        try:
            check()
        except RequestRefused as error:
            refusals.append(_build_refusal(error))
    return refusals


def _build_refusal(error: RequestRefused) -> Refusal:
    status = ANSWERS[error.kind].status
    return Refusal(error.reference, error.message, status, error.retry_after_s)


def _build_outcome(preview: Preview, *, is_admitted: bool) -> Outcome:
    if not is_admitted:
        return Outcome(REFUSE)
    best = preview.best
    action = AWAIT_TARGET if best is None else best.step.value
    return Outcome(
        action if preview.refusal is None else REFUSE,
        best.target.id if best is not None else "",
        preview.wait_s,
        preview.allowed_wait_s,
        preview.requests_load,
    )


def _sort_targets(
    selector: TargetSelector, call: Call, preview: Preview
) -> list[tuple[Target, TargetOption | None]]:
    options = [(option.target, option) for option in preview.options]
    listed = {target.id for target, _ in options}
    others = [
        target
        for target in selector.registry.list_service_targets(call.service)
        if target.id not in listed
    ]
    others.sort(key=lambda target: target.id)
    return [*options, *((target, None) for target in others)]


def _describe_targets(
    selector: TargetSelector,
    call: Call,
    preview: Preview,
    targets: list[tuple[Target, TargetOption | None]],
    now: float,
) -> tuple[TargetExplanation, ...]:
    fleet = FleetFacts(selector.registry, selector.orders.peers, selector.health)
    requirements = selector.build_requirements(call, now=now)
    allowed_regions = selector.regions.get_allowed(call)
    usable_versions = selector.list_usable_versions(call)
    explanations = []
    for target, option in targets:
        state = selector.get_state(call, target, {}, now=now)
        facts = TargetFacts(fleet, target, state, now)
        request = RequestFacts(
            facts,
            requirements,
            call.stream_version,
            option,
            selector.regions.get_region(target),
            allowed_regions,
            usable_versions,
        )
        reported_at = selector.residents.holder_reported_at.get(target.id)
        explanations.append(
            TargetExplanation(
                target.id,
                target.failure_domain,
                target.software_version,
                option.step.value if option is not None else "",
                option.wait_s if option is not None else None,
                option.cost_s if option is not None else None,
                state.requests,
                target.slots,
                int(state.prompt_tokens),
                state.resident.version if state.resident is not None else None,
                list_request_reasons(request),
                fleet.health.describe(target.id, now=now).load_ago_s,
                None if reported_at is None else now - reported_at,
            )
        )
    return tuple(explanations)


def _describe_adapter(
    selector: TargetSelector, call: Call, now: float
) -> AdapterState | None:
    adapter = call.request.adapter
    if not adapter:
        return None
    versions = selector.versions
    age_s = versions.get_age(adapter, now=now)
    newest_version = versions.get_newest(adapter)
    is_known = newest_version > 0 or bool(
        selector.residents.list_possible_targets(adapter)
    )
    return AdapterState(
        adapter,
        versions.get_required(adapter, now=now),
        newest_version,
        age_s if math.isfinite(age_s) else None,
        is_known,
    )


def _list_notes(query: WhereQuery, route: Route, *, is_keyed: bool) -> tuple[str, ...]:
    notes = []
    if is_keyed and not query.organisation:
        notes.append(
            "no organisation is given: its key, quota and allowed regions aren't"
            " considered"
        )
    if not is_keyed and query.organisation:
        notes.append("the route needs no key: no quota is charged")
    if len(route.services) > 1 and not (query.id or query.service):
        notes.append(
            "the route has several services, of which a request's id chooses one: give"
            " an id or a service"
        )
    is_resumed = route.is_resumable_stream and query.is_resumed
    if is_resumed and query.software_version is None:
        notes.append("the software version that began the stream isn't considered")
    return tuple(notes)
