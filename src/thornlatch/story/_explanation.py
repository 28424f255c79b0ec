"""Explains the outcome of a request and reports what the logs don't contain."""

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass

from thornlatch.story._causes import CAUSES, LOOKBACK_S, Evidence
from thornlatch.story._lines import LogLine

END_EVENTS = ("request.answered", "request.failed", "request.refused")
# The failure of a target is detected some seconds after it.
LOOKAHEAD_S = 3.0
# Events of other hosts, or without the request id, that may be relevant to a request.
CONTEXT_EVENTS = frozenset(
    {
        "configuration.read",
        "evacuation.began",
        "evacuation.ended",
        "fleet.hosts_absent",
        "fleet.peers_changed",
        "host.started",
        "host.stopped",
        "host.stopping",
        "quota.limit_changed",
        "residency.ordered",
        "store.lost",
        "store.regained",
        "target.changed",
        "tenure.changed",
        "version.announced",
    }
)


@dataclass(frozen=True)
class RequestExplanation:
    """Outcome of a request according to the logs.

    Parameters
    ----------
    request : str
    cause : str
        Cause of the outcome; empty if none was recognised.
    lines : tuple of LogLine
        Lines of the request and relevant context lines, in order.
    missing : tuple of str
        What the logs don't contain.
    """

    request: str
    cause: str
    lines: tuple[LogLine, ...]
    missing: tuple[str, ...]

    def iter_text(self) -> Iterator[str]:
        """Iterate over the lines of a readable report."""
        yield f"request {self.request}"
        first = self.lines[0].wall if self.lines else 0.0
        for line in self.lines:
            details = " ".join(
                f"{name}={value}"
                for name, value in line.fields.items()
                if name != "request" and value not in ("", None, [])
            )
            yield f"{line.wall - first:+9.3f} s  {line.host}  {line.event}  {details}"
        yield f"cause: {self.cause or 'not recognised'}"
        for item in self.missing:
            yield f"missing: {item}"


def explain_request(request: str, lines: list[LogLine]) -> RequestExplanation:
    """Explain the outcome of a request.

    Parameters
    ----------
    request : str
        Request id given by the caller.
    lines : list of LogLine
        Lines of all hosts, in order.

    Returns
    -------
    RequestExplanation
    """
    request_lines = [line for line in lines if line.get("request") == request]
    if not request_lines:
        unknown = ("no line has this id", *_list_dropped_lines(lines))
        return RequestExplanation(request, "", (), unknown)
    # A host logs a failure immediately before the refusal that follows from it, and
    # only the failure has the measured times.
    ends = [line for line in request_lines if line.event in END_EVENTS]
    failures = [line for line in ends if line.event != "request.refused"]
    last = (failures or ends)[-1:]
    end = last[0] if last else None
    until = request_lines[-1].wall + LOOKAHEAD_S
    context = [
        line
        for line in lines
        if request_lines[0].wall - LOOKBACK_S <= line.wall <= until
    ]
    evidence = Evidence(request_lines, context, end)
    cause = next(filter(None, (explain(evidence) for explain in CAUSES)), "")
    relevant_lines = [
        line
        for line in context
        if line in request_lines or _is_relevant(line, evidence)
    ]
    missing = list(_list_dropped_lines(context))
    if end is None:
        missing.append("no line reports its outcome")
    return RequestExplanation(request, cause, tuple(relevant_lines), tuple(missing))


def _is_relevant(line: LogLine, evidence: Evidence) -> bool:
    if line.event not in CONTEXT_EVENTS:
        return False
    targets = {
        request_line.get("target") for request_line in evidence.request_lines
    } - {""}
    if line.event == "residency.ordered":
        end = evidence.end or evidence.request_lines[-1]
        adapter = str(end.get("adapter")).rpartition("/")[2]
        return line.get("target") in targets and line.get("adapter") == adapter
    if line.event == "target.changed":
        return line.get("target") in targets and line.host == evidence.host
    if line.event == "version.announced":
        end = evidence.end or evidence.request_lines[-1]
        is_same = line.get("adapter") == end.get("adapter")
        return is_same and line.host == evidence.host
    return line.host == evidence.host


def _list_dropped_lines(lines: list[LogLine]) -> Iterator[str]:
    counts: Counter[str] = Counter()
    for line in lines:
        if line.event == "log.lines_left_out":
            counts.update(line.get("counts", {}))
    for event, count in sorted(counts.items()):
        yield f"{count} lines of {event} were dropped by hosts in this period"
