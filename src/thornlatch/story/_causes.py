"""Causes of a request's end, each recognised by what the logs show."""

from collections.abc import Callable
from dataclasses import dataclass

from thornlatch.story._lines import LogLine

BEFORE_S = 12.0  # how far back a cause may lie: the longest recovery
MISDIRECTED = 421  # a target that isn't the one meant or lacks what is needed
SLOW_PART = 0.5  # part of its time from which a phase made a request late


@dataclass(frozen=True)
class Evidence:
    """What the logs hold of a request and its surroundings.

    Parameters
    ----------
    own : list of LogLine
        Lines with the request's id.
    around : list of LogLine
        Lines of all hosts from some seconds before the request to its end.
    end : LogLine or None
        The line that says how it ended.
    """

    own: list[LogLine]
    around: list[LogLine]
    end: LogLine | None

    @property
    def host(self) -> str:
        """Host that served the request."""
        return self.own[0].host if self.own else ""

    def list_own(self, event: str) -> list[LogLine]:
        """Return the request's lines of an event."""
        return [line for line in self.own if line.event == event]

    def list_around(self, event: str, **fields: object) -> list[LogLine]:
        """Return lines around it of an event with these fields."""
        return [
            line
            for line in self.around
            if line.event == event
            and all(line.get(name, None) == value for name, value in fields.items())
        ]

    def find_last(self, event: str) -> LogLine | None:
        """Return the host's last line of an event before the request's end."""
        lines = [line for line in self.list_around(event) if line.host == self.host]
        return lines[-1] if lines else None

    def find_silent(self) -> tuple[str, float] | None:
        """Return the peers that the host lost last, and how long ago."""
        line = self.find_last("fleet.peers_changed")
        if line is None or not line.get("lost"):
            return None
        return ", ".join(line.get("lost")), self.get_age(line)

    def get_age(self, line: LogLine) -> float:
        """Return the seconds from a line to the request's end."""
        end = self.end or self.own[-1]
        return end.wall - line.wall


def explain_quota(found: Evidence) -> str | None:
    """Recognise an organisation over its rate and burst."""
    refusal = _find_refusal(found, "rate-exceeded")
    if refusal is None:
        return None
    cause = f"{refusal.get('why')} over all hosts"
    name = str(refusal.get("why", "")).partition(" ")[0]
    changed = found.list_around("quota.limit_changed", organisation=name)
    if changed:
        line = changed[-1]
        cause += (
            f"; its limit was changed {found.get_age(line):.1f} s before, to"
            f" {line.get('rate'):g} a second and a burst of {line.get('burst'):g}"
        )
    silent = found.find_silent()
    if silent is not None:
        names, age_s = silent
        cause += (
            f"; {names} fell silent {age_s:.1f} s before, and what"
            " they may have spent is set aside"
        )
    return cause


def explain_key(found: Evidence) -> str | None:
    """Recognise a key that no configuration in force has."""
    if _find_refusal(found, "unknown-key") is None:
        return None
    read = found.find_last("configuration.read")
    if read is None:
        return "no configuration in force on the host has the key"
    return (
        f"the key isn't in configuration {read.get('version')}, which the host read"
        f" {found.get_age(read):.1f} s before: it was withdrawn or never issued"
    )


def explain_store(found: Evidence) -> str | None:
    """Recognise a host that couldn't confirm keys."""
    if _find_refusal(found, "host-unconfirmed") is None:
        return None
    lost = found.find_last("store.lost")
    if lost is None:
        return "the host had just started and knew no configuration or hosts yet"
    return (
        f"the host had lost the platform's store {found.get_age(lost):.1f} s before"
        f" ({lost.get('error')}) and could no longer tell which keys are valid"
    )


def explain_stop(found: Evidence) -> str | None:
    """Recognise a host that was being stopped."""
    stopping = found.find_last("host.stopping")
    if _find_refusal(found, "host-stopping") is not None and stopping is not None:
        age_s = found.get_age(stopping)
        return f"the host was in a planned stop since {age_s:.1f} s"
    ended = found.find_last("host.stopped")
    if found.end is None and ended is not None:
        return "the host ended while it served the request"
    return None


def explain_restart(found: Evidence) -> str | None:
    """Recognise a host that ended without a planned stop."""
    if found.end is not None or not found.own:
        return None
    name = found.host.rpartition(".")[0]
    last = found.own[-1]
    for line in found.list_around("host.started"):
        is_next = line.host != found.host and line.host.startswith(f"{name}.")
        if is_next and line.wall > last.wall:
            return f"the host was lost and started again as {line.host}"
    return None


def explain_caller(found: Evidence) -> str | None:
    """Recognise a caller that closed the connection."""
    if found.end is None or found.end.get("outcome") != "caller-left":
        return None
    elapsed_s = found.end.get("elapsed_s", 0.0)
    return f"the caller closed the connection after {elapsed_s:.2f} s"


def explain_route(found: Evidence) -> str | None:
    """Recognise a request that no route matched."""
    if _find_refusal(found, "unknown-route") is None:
        return None
    read = found.find_last("configuration.read")
    version = f" {read.get('version')}" if read is not None else ""
    return f"no route of configuration{version} has this host name and path"


def explain_version(found: Evidence) -> str | None:
    """Recognise a version that no target had yet."""
    rejected = found.list_own("request.rejected_by_target")
    if not rejected or found.end is None:
        return None
    adapter = found.end.get("adapter")
    announced = found.list_around("version.announced", adapter=adapter)
    if not announced or all(line.get("status") != MISDIRECTED for line in rejected):
        return None
    line = announced[-1]
    return (
        f"version {line.get('version')} of {adapter} was announced"
        f" {found.get_age(line):.1f} s before, and no target had it yet"
    )


def explain_unordered(found: Evidence) -> str | None:
    """Recognise an adapter that nobody loaded."""
    asked = found.list_own("adapter.requested")
    if not asked or _is_answered(found):
        return None
    pairs = {(line.get("target"), line.get("adapter")) for line in asked}
    for target, adapter in pairs:
        name = str(adapter).rpartition("/")[2]
        if found.list_around("residency.ordered", target=target, adapter=name):
            return None
    silent = found.find_silent()
    cause = f"nobody ordered {asked[-1].get('adapter')} at any target that was asked"
    if silent is not None:
        names, age_s = silent
        cause += f": {names}, which may hold them, fell silent {age_s:.1f} s before"
    return cause


def explain_target(found: Evidence) -> str | None:
    """Recognise a target that broke off, was silent or refused connections."""
    failed = found.list_own("request.send_failed")
    if not failed or _is_answered(found):
        return None
    last = failed[-1]
    target = last.get("target")
    cause = f"{target} failed it: {last.get('error')}"
    gone = found.list_around("target.changed", target=target, gone=True)
    failures = found.list_around("request.send_failed", target=target)
    if gone:
        cause += "; its registration lapsed: it crashed or was cut off"
    elif any(line not in failed for line in failures):
        cause += "; other requests there failed, too"
    if last.get("may_have_run"):
        cause += "; it may have run there and can't be repeated"
    return cause


def explain_load(found: Evidence) -> str | None:
    """Recognise targets that were full, or a busy weight store."""
    refusal = _find_refusal(found, "overloaded") or _find_refusal(found, "no-target")
    if refusal is None:
        return None
    rejected = found.list_own("request.rejected_by_target")
    if rejected:
        line = rejected[-1]
        target, status = line.get("target"), line.get("status")
        if status == MISDIRECTED:
            return f"{target} didn't hold {line.get('adapter')}: it answered {status}"
        return f"{target} was full: it answered {status}"
    loads = [
        line
        for line in found.list_around("residency.ordered", order="LoadAdapter")
        if 0.0 <= found.get_age(line) < 1.0
    ]
    return (
        f"{refusal.get('why')}; all hosts ordered {len(loads)} adapters in the last"
        " second: slots or the weight store were used up"
    )


def explain_own_failure(found: Evidence) -> str | None:
    """Recognise a failure that is the target's own answer."""
    if found.end is None or not _is_answered(found):
        return None
    status = found.end.get("status", 0)
    if status < 500:
        return None
    sends = found.end.get("sends")
    return f"{found.end.get('target')} itself answered {status}, after {sends} sends"


def explain_lateness(found: Evidence) -> str | None:
    """Say what took the time of a request that was answered."""
    if found.end is None or not _is_answered(found):
        return None
    end = found.end
    first_s, waited_s = end.get("first_s", 0.0), end.get("waited_s", 0.0)
    objective_s, gap_s = end.get("objective_s", 0.0), end.get("longest_gap_s", 0.0)
    if first_s <= objective_s:
        return f"answered in time, {first_s:.2f} s; longest pause {gap_s:.2f} s"
    if waited_s > first_s * SLOW_PART:
        return (
            f"late: it waited {waited_s:.2f} s of {first_s:.2f} s for"
            f" {end.get('adapter') or 'a target'} to be ready"
        )
    if end.get("sends", 1) > 1:
        return f"late: {end.get('sends')} sends; the ones before the last failed"
    return (
        f"late: {end.get('target')} took {first_s - waited_s:.2f} s to the first part"
    )


def _find_refusal(found: Evidence, code: str) -> LogLine | None:
    refusals = [
        line for line in found.list_own("request.refused") if line.get("code") == code
    ]
    return refusals[-1] if refusals else None


def _is_answered(found: Evidence) -> bool:
    return found.end is not None and found.end.event == "request.answered"


# The first one that recognises the request names its cause.
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
    explain_unordered,
    explain_load,
    explain_own_failure,
    explain_lateness,
)
