"""Lines of text for the pages of gateway hosts."""

from collections.abc import Iterator

from thornlatch.gateway import (
    READY,
    REFUSE,
    Explanation,
    GatewayStatus,
    Reason,
    TargetExplanation,
)

LISTED_TARGETS = 40  # of those that aren't ready, in the text of a status page


def describe_explanation(address: str, explanation: Explanation) -> list[str]:
    """Return where a host would send a request, as lines of text.

    Parameters
    ----------
    address : str
    explanation : Explanation

    Returns
    -------
    list of str
    """
    return list(_iter_explanation(address, explanation))


def _iter_explanation(address: str, explanation: Explanation) -> Iterator[str]:
    yield f"{address}: {explanation.host}: {describe_outcome(explanation)}"
    yield (
        f"  route {explanation.route}, service {explanation.service}, configuration"
        f" {explanation.configuration_version}"
    )
    quota = explanation.quota
    if quota is not None:
        left = f"{quota.tokens_left} tokens left"
        if quota.tokens_left is None:
            left = "no limit"
        yield (
            f"  organisation {quota.organisation}: {left}, {quota.rate:g}/s, burst"
            f" {quota.burst:g}; this request takes {quota.request_tokens}"
        )
    adapter = explanation.adapter
    if adapter is not None:
        announced = ""
        if adapter.newest_version:
            announced = f", {adapter.newest_version} announced"
        if adapter.announced_ago_s is not None:
            announced += f" {adapter.announced_ago_s:.1f} s ago"
        unknown = "" if adapter.is_known else "; this host has never seen it"
        yield (
            f"  adapter {adapter.adapter}: version {adapter.required_version} or later"
            f"{announced}{unknown}"
        )
    for refusal in explanation.refusals:
        until = ""
        if refusal.retry_after_s is not None:
            until = f"; until {refusal.retry_after_s:.2f} s from now"
        yield f"  refused ({refusal.status} {refusal.code}): {refusal.message}{until}"
    for note in explanation.notes:
        yield f"  note: {note}"
    targets = explanation.targets
    yield f"  targets, by cost: {len(targets)} of {explanation.target_count}"
    for target in targets:
        yield f"    {_describe_target(target)}"
    for age in explanation.ages:
        detail = f" ({age.detail})" if age.detail else ""
        shown = "never" if age.age_s is None else f"{age.age_s:.2f} s ago"
        yield f"  {age.data}: {shown}{detail}"


def describe_outcome(explanation: Explanation) -> str:
    """Return in one line what a host would do with a request.

    Parameters
    ----------
    explanation : Explanation

    Returns
    -------
    str
    """
    outcome = explanation.outcome
    if outcome.action == REFUSE and explanation.refusals:
        text = f"refuse with {explanation.refusals[0].code}"
        text += f" after {outcome.wait_s:.2f} s" if outcome.wait_s else ""
    else:
        text = outcome.action
        text += f" at {outcome.target}" if outcome.target else ""
        text += f" in {outcome.wait_s:.2f} s (may wait {outcome.allowed_wait_s:.2f} s)"
    if outcome.requests_load:
        text += ", requesting the load of its adapter"
    return text


def _describe_target(target: TargetExplanation) -> str:
    parts = [f"{target.target}: {target.step or 'no option'}"]
    if target.wait_s is not None and target.cost_s is not None:
        parts.append(f"wait {target.wait_s:.2f} s, cost {target.cost_s:.3f} s")
    parts.append(f"requests {target.requests}/{target.slots}")
    if target.prompt_tokens:
        parts.append(f"recent prompt tokens {target.prompt_tokens}")
    if target.adapter_version is not None:
        parts.append(f"adapter version {target.adapter_version}")
    parts += [describe_reason(reason) for reason in target.reasons]
    ages = []
    if target.load_age_s is not None:
        ages.append(f"load reported {target.load_age_s:.1f} s ago")
    if target.adapters_age_s is not None:
        ages.append(f"adapters reported {target.adapters_age_s:.1f} s ago")
    return "; ".join(parts + ages)


def describe_reason(reason: Reason) -> str:
    """Return a state with its times.

    Parameters
    ----------
    reason : Reason

    Returns
    -------
    str
    """
    details = [reason.detail] if reason.detail else []
    if reason.age_s is not None:
        details.append(f"for {reason.age_s:.1f} s")
    if reason.until_s is not None:
        details.append(f"{reason.until_s:.1f} s more")
    return f"{reason.code} ({', '.join(details)})" if details else reason.code


def describe_gateway(address: str, status: GatewayStatus) -> list[str]:
    """Return the status of a gateway host as lines of text.

    Parameters
    ----------
    address : str
    status : GatewayStatus

    Returns
    -------
    list of str
    """
    return list(_iter_gateway(address, status))


def _iter_gateway(address: str, status: GatewayStatus) -> Iterator[str]:
    readiness = "ready" if status.ready else "not ready"
    yield f"{address}: {status.host}: {readiness}"
    for reason in status.not_ready:
        yield f"  not ready: {describe_reason(reason)}"
    configuration = status.configuration
    freshness = "keys are accepted" if configuration.is_fresh else "keys are refused"
    yield (
        f"  configuration: version {configuration.version} in force for"
        f" {_format_age(configuration.in_force_s)}, confirmed"
        f" {_format_age(configuration.confirmed_age_s)} ago, host listed"
        f" {_format_age(configuration.renewed_age_s)} ago, {freshness}"
    )
    if configuration.newest_version > configuration.version:
        yield f"  configuration: version {configuration.newest_version} isn't read yet"
    epoch = "unknown" if status.store_epoch is None else status.store_epoch
    yield f"  store epoch: {epoch}; running requests: {status.running}"
    live = [peer.host for peer in status.peers if peer.is_live]
    yield f"  live peers: {len(live)}: {', '.join(live) or 'none'}"
    for peer in status.peers:
        if not peer.is_live:
            yield f"  silent peer: {peer.host} for {peer.digest_age_s:.1f} s"
    for count in status.states:
        yield f"  targets of {count.service}: {count.count} {count.state}"
    unready = [
        target
        for target in status.targets
        if any(state.code != READY for state in target.states)
    ]
    for target in unready[:LISTED_TARGETS]:
        states = "; ".join(describe_reason(state) for state in target.states)
        yield f"  {target.target} ({target.service}): {states}"
    if len(unready) > LISTED_TARGETS:
        yield f"  and {len(unready) - LISTED_TARGETS} more; --json shows them"


def _format_age(age_s: float | None) -> str:
    return "an unknown time" if age_s is None else f"{age_s:.1f} s"
