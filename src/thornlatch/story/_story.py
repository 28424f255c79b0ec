"""Tells what happened to one request, and what the logs don't show."""

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass

from thornlatch.story._causes import BEFORE_S, CAUSES, Evidence
from thornlatch.story._lines import LogLine

ENDS = ("request.answered", "request.failed", "request.refused")
AFTER_S = 3.0  # a target that died is known to have gone some seconds later
# Lines of other hosts, or without the id, that belong to the story.
SURROUNDINGS = frozenset(
    {
        "configuration.read",
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
class Story:
    """What is known of a request.

    Parameters
    ----------
    request : str
    cause : str
        Empty if none was recognised.
    lines : tuple of LogLine
        The request's own and those that belong to it, in order.
    missing : tuple of str
        What the logs don't show.
    """

    request: str
    cause: str
    lines: tuple[LogLine, ...]
    missing: tuple[str, ...]

    def iter_text(self) -> Iterator[str]:
        """Iterate over the lines of the story for readers."""
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
        for one in self.missing:
            yield f"missing: {one}"


def tell_story(request: str, lines: list[LogLine]) -> Story:
    """Tell what happened to a request.

    Parameters
    ----------
    request : str
        The caller's request id.
    lines : list of LogLine
        Of all hosts, in order.

    Returns
    -------
    Story
    """
    own = [line for line in lines if line.get("request") == request]
    if not own:
        unknown = ("no line has this id", *_list_left_out(lines))
        return Story(request, "", (), unknown)
    # A refusal and the failure before it are written by one host, the one right after
    # the other; the failure has the figures.
    ends = [line for line in own if line.event in ENDS]
    failures = [line for line in ends if line.event != "request.refused"]
    last = (failures or ends)[-1:]
    end = last[0] if last else None
    until = own[-1].wall + AFTER_S
    around = [line for line in lines if own[0].wall - BEFORE_S <= line.wall <= until]
    found = Evidence(own, around, end)
    cause = next(filter(None, (explain(found) for explain in CAUSES)), "")
    told = [line for line in around if line in own or _belongs(line, found)]
    missing = list(_list_left_out(around))
    if end is None:
        missing.append("no line says how it ended")
    return Story(request, cause, tuple(told), tuple(missing))


def _belongs(line: LogLine, found: Evidence) -> bool:
    if line.event not in SURROUNDINGS:
        return False
    targets = {one.get("target") for one in found.own} - {""}
    if line.event == "residency.ordered":
        end = found.end or found.own[-1]
        adapter = str(end.get("adapter")).rpartition("/")[2]
        return line.get("target") in targets and line.get("adapter") == adapter
    if line.event == "target.changed":
        return line.get("target") in targets and line.host == found.host
    if line.event == "version.announced":
        end = found.end or found.own[-1]
        is_same = line.get("adapter") == end.get("adapter")
        return is_same and line.host == found.host
    return line.host == found.host


def _list_left_out(lines: list[LogLine]) -> Iterator[str]:
    counts: Counter[str] = Counter()
    for line in lines:
        if line.event == "log.lines_left_out":
            counts.update(line.get("counts", {}))
    for event, count in sorted(counts.items()):
        yield f"{count} lines {event} were left out by hosts in this time"
