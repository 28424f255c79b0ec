"""Rules that derive the cause of a request's outcome from log lines."""

from collections.abc import Callable
from dataclasses import dataclass

from thornlatch.story._lines import LogLine

# A cause may precede the request by as much as the longest recovery takes.
LOOKBACK_S = 12.0
# Answered by a target that isn't the intended one or lacks what the request needs.
HTTP_MISDIRECTED = 421
# Share of the time to the first part of the answer above which the wait to be sent
# counts as the cause.
DOMINANT_WAIT_RATIO = 0.5


@dataclass(frozen=True)
class Evidence:
    """Log lines of a request and of its context.

    Parameters
    ----------
    request_lines : list of LogLine
        Lines with the id of the request.
    context : list of LogLine
        Lines of all hosts from some seconds before the request until after its end.
    end : LogLine or None
        The line that reports the outcome.
    """

    request_lines: list[LogLine]
    context: list[LogLine]
    end: LogLine | None

    @property
    def host(self) -> str:
        """Id of the host that served the request."""
        return self.request_lines[0].host if self.request_lines else ""

    def list_request_lines(self, event: str) -> list[LogLine]:
        """Return the lines of the request for an event."""
        return [line for line in self.request_lines if line.event == event]

    def list_context_lines(self, event: str, **fields: object) -> list[LogLine]:
        """Return the context lines for an event that have the given fields."""
        return [
            line
            for line in self.context
            if line.event == event
            and all(line.get(name, None) == value for name, value in fields.items())
        ]

    def find_last_on_host(self, event: str) -> LogLine | None:
        """Return the last context line for an event on the host of the request."""
        lines = [
            line for line in self.list_context_lines(event) if line.host == self.host
        ]
        return lines[-1] if lines else None

    def find_lost_peers(self) -> tuple[str, float] | None:
        """Return the peers lost last, and the seconds until the end of the request."""
        line = self.find_last_on_host("fleet.peers_changed")
        if line is None or not line.get("lost"):
            return None
        return ", ".join(line.get("lost")), self.get_age_s(line)

    def get_age_s(self, line: LogLine) -> float:
        """Return the seconds from a line to the end of the request."""
        end = self.end or self.request_lines[-1]
        return end.wall - line.wall


def explain_quota(evidence: Evidence) -> str | None:
    """Recognise an organisation that exceeded its rate and burst."""
    refusal = _find_refusal(evidence, "rate-exceeded")
    if refusal is None:
        return None
    cause = f"{refusal.get('why')} over all hosts"
    # The reason begins with the name of the organisation.
    organisation = str(refusal.get("why", "")).partition(" ")[0]
    changed = evidence.list_context_lines(
        "quota.limit_changed", organisation=organisation
    )
    if changed:
        line = changed[-1]
        cause += (
            f"; its limit was changed {evidence.get_age_s(line):.1f} s before, to"
            f" {line.get('rate'):g} a second and a burst of {line.get('burst'):g}"
        )
    lost_peers = evidence.find_lost_peers()
    if lost_peers is not None:
        names, age_s = lost_peers
        cause += (
            f"; {names} stopped responding {age_s:.1f} s before, and the tokens that"
            " they may have spent are reserved"
        )
    return cause


def explain_key(evidence: Evidence) -> str | None:
    """Recognise a key that the configuration in force doesn't contain."""
    if _find_refusal(evidence, "unknown-key") is None:
        return None
    read = evidence.find_last_on_host("configuration.read")
    if read is None:
        return "no configuration in force on the host has the key"
    return (
        f"the key isn't in configuration {read.get('version')}, which the host read"
        f" {evidence.get_age_s(read):.1f} s before: it was withdrawn or never issued"
    )


def explain_store(evidence: Evidence) -> str | None:
    """Recognise a host that couldn't verify keys."""
    if _find_refusal(evidence, "host-unconfirmed") is None:
        return None
    lost = evidence.find_last_on_host("store.lost")
    if lost is None:
        return "the host had just started and knew no configuration or hosts yet"
    return (
        "the host had lost the platform's store"
        f" {evidence.get_age_s(lost):.1f} s before ({lost.get('error')})"
        " and could no longer verify keys"
    )


def explain_stop(evidence: Evidence) -> str | None:
    """Recognise a host that was stopping."""
    stopping = evidence.find_last_on_host("host.stopping")
    if _find_refusal(evidence, "host-stopping") is not None and stopping is not None:
        age_s = evidence.get_age_s(stopping)
        return f"the host had been in a planned stop for {age_s:.1f} s"
    ended = evidence.find_last_on_host("host.stopped")
    if evidence.end is None and ended is not None:
        return "the host stopped while it served the request"
    return None


def explain_restart(evidence: Evidence) -> str | None:
    """Recognise a host that terminated without a planned stop."""
    if evidence.end is not None or not evidence.request_lines:
        return None
    host_name = evidence.host.rpartition(".")[0]
    last = evidence.request_lines[-1]
    for line in evidence.list_context_lines("host.started"):
        is_next = line.host != evidence.host and line.host.startswith(f"{host_name}.")
        if is_next and line.wall > last.wall:
            return f"the host terminated and was restarted as {line.host}"
    return None


def explain_caller(evidence: Evidence) -> str | None:
    """Recognise a caller that disconnected."""
    if evidence.end is None or evidence.end.get("outcome") != "caller-left":
        return None
    elapsed_s = evidence.end.get("elapsed_s", 0.0)
    return f"the caller closed the connection after {elapsed_s:.2f} s"


def explain_route(evidence: Evidence) -> str | None:
    """Recognise a request that no route matched."""
    if _find_refusal(evidence, "unknown-route") is None:
        return None
    read = evidence.find_last_on_host("configuration.read")
    version = f" {read.get('version')}" if read is not None else ""
    return f"no route of configuration{version} has this host name and path"


def explain_version(evidence: Evidence) -> str | None:
    """Recognise an adapter version that no target had loaded yet."""
    rejected = evidence.list_request_lines("request.rejected_by_target")
    if not rejected or evidence.end is None:
        return None
    adapter = evidence.end.get("adapter")
    announced = evidence.list_context_lines("version.announced", adapter=adapter)
    if not announced or all(
        line.get("status") != HTTP_MISDIRECTED for line in rejected
    ):
        return None
    line = announced[-1]
    return (
        f"version {line.get('version')} of {adapter} was announced"
        f" {evidence.get_age_s(line):.1f} s before, and no target had it yet"
    )


def explain_unordered(evidence: Evidence) -> str | None:
    """Recognise a requested adapter that no host ordered to be loaded."""
    load_requests = evidence.list_request_lines("adapter.requested")
    if not load_requests or _is_answered(evidence):
        return None
    pairs = {(line.get("target"), line.get("adapter")) for line in load_requests}
    for target, adapter in pairs:
        name = str(adapter).rpartition("/")[2]
        if evidence.list_context_lines(
            "residency.ordered", target=target, adapter=name
        ):
            return None
    lost_peers = evidence.find_lost_peers()
    cause = (
        f"no host ordered {load_requests[-1].get('adapter')} at any requested target"
    )
    if lost_peers is not None:
        names, age_s = lost_peers
        cause += (
            f": {names}, which may be the holders of these targets, stopped responding"
            f" {age_s:.1f} s before"
        )
    return cause


def explain_target(evidence: Evidence) -> str | None:
    """Recognise a target that aborted, didn't answer or refused connections."""
    request_failures = evidence.list_request_lines("request.send_failed")
    if not request_failures or _is_answered(evidence):
        return None
    last = request_failures[-1]
    target = last.get("target")
    cause = f"the request failed at {target}: {last.get('error')}"
    removals = evidence.list_context_lines("target.changed", target=target, gone=True)
    failures = evidence.list_context_lines("request.send_failed", target=target)
    if removals:
        cause += (
            "; the target's registration expired: it crashed or lost its connection"
        )
    elif any(line not in request_failures for line in failures):
        cause += "; other requests to that target failed, too"
    if last.get("may_have_run"):
        cause += "; it may have run there and can't be repeated"
    return cause


def explain_crash_suspect(evidence: Evidence) -> str | None:
    """Recognise a request that was refused because its like crashed targets."""
    refusal = _find_refusal(evidence, "target-failed")
    if refusal is None or evidence.list_request_lines("request.send_failed"):
        return None
    cause = f"refused without being sent: {refusal.get('why')}"
    blocks = evidence.list_context_lines("suspects.part_blocked")
    if blocks:
        block = blocks[-1]
        part, age_s = block.get("part"), evidence.get_age_s(block)
        crashes = block.get("crashes")
        cause += f"; {part} was blocked {age_s:.1f} s before after {crashes} crashes"
    return cause


def explain_pause(evidence: Evidence) -> str | None:
    """Recognise targets that asked for a pause."""
    refusal = _find_refusal(evidence, "overloaded")
    pauses = evidence.list_context_lines("target.pause_requested")
    if refusal is None or "pause" not in str(refusal.get("why")) or not pauses:
        return None
    last = pauses[-1]
    return (
        f"{refusal.get('why')}; the last one, {last.get('target')}, of"
        f" {last.get('pause_s')} s, {evidence.get_age_s(last):.1f} s before"
    )


def explain_exclusion(evidence: Evidence) -> str | None:
    """Recognise targets that are evacuated or outside the allowed regions."""
    refusal = _find_refusal(evidence, "region-unavailable")
    if refusal is not None:
        return f"refused without being sent: {refusal.get('why')}"
    refusal = _find_refusal(evidence, "no-target")
    if refusal is None or "evacuated" not in str(refusal.get("why")):
        return None
    cause = f"refused without being sent: {refusal.get('why')}"
    began = evidence.list_context_lines("evacuation.began")
    if began:
        last = began[-1]
        cause += f"; {last.get('domain')} since {evidence.get_age_s(last):.1f} s before"
    return cause


def explain_load(evidence: Evidence) -> str | None:
    """Recognise targets without free capacity, or an overloaded weight store."""
    refusal = _find_refusal(evidence, "overloaded") or _find_refusal(
        evidence, "no-target"
    )
    if refusal is None:
        return None
    rejected = evidence.list_request_lines("request.rejected_by_target")
    if rejected:
        line = rejected[-1]
        target, status = line.get("target"), line.get("status")
        if status == HTTP_MISDIRECTED:
            return (
                f"{target} had not loaded {line.get('adapter')}: it answered {status}"
            )
        return f"{target} had no free capacity: it answered {status}"
    loads = [
        line
        for line in evidence.list_context_lines(
            "residency.ordered", order="LoadAdapter"
        )
        if 0.0 <= evidence.get_age_s(line) < 1.0
    ]
    return (
        f"{refusal.get('why')}; all hosts ordered {len(loads)} adapters in the last"
        " second: adapter slots or the weight store were at capacity"
    )


def explain_target_status(evidence: Evidence) -> str | None:
    """Recognise a server error answered by the target itself."""
    if evidence.end is None or not _is_answered(evidence):
        return None
    status = evidence.end.get("status", 0)
    if status < 500:
        return None
    sends = evidence.end.get("sends")
    return f"{evidence.end.get('target')} itself answered {status}, after {sends} sends"


def explain_lateness(evidence: Evidence) -> str | None:
    """Explain the latency of a request that was answered."""
    if evidence.end is None or not _is_answered(evidence):
        return None
    end = evidence.end
    first_s, waited_s = end.get("first_s", 0.0), end.get("waited_s", 0.0)
    objective_s, gap_s = end.get("objective_s", 0.0), end.get("longest_gap_s", 0.0)
    if first_s <= objective_s:
        return f"answered in time, after {first_s:.2f} s; longest gap {gap_s:.2f} s"
    if waited_s > first_s * DOMINANT_WAIT_RATIO:
        return (
            f"late: it waited {waited_s:.2f} s of {first_s:.2f} s for"
            f" {end.get('adapter') or 'a target'} to be ready"
        )
    if end.get("sends", 1) > 1:
        return f"late: {end.get('sends')} sends; all but the last failed"
    return (
        f"late: {end.get('target')} took {first_s - waited_s:.2f} s to start its answer"
    )


def _find_refusal(evidence: Evidence, code: str) -> LogLine | None:
    refusals = [
        line
        for line in evidence.list_request_lines("request.refused")
        if line.get("code") == code
    ]
    return refusals[-1] if refusals else None


def _is_answered(evidence: Evidence) -> bool:
    return evidence.end is not None and evidence.end.event == "request.answered"


# The first function that returns a text determines the cause.
CAUSES: tuple[Callable[[Evidence], str | None], ...] = (
    explain_quota,
    explain_key,
    explain_store,
    explain_stop,
    explain_restart,
    explain_caller,
    explain_route,
    explain_version,
    explain_target,
    explain_crash_suspect,
    explain_pause,
    explain_exclusion,
    explain_unordered,
    explain_load,
    explain_target_status,
    explain_lateness,
)
