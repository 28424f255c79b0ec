"""``thornlatch timeline``: show or check the merged events of all processes."""

import sys
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from thornlatch.cli._exits import EXIT_FAILED, EXIT_OK
from thornlatch.exceptions import InvalidInput
from thornlatch.timeline import (
    EventFilter,
    LoggedEvent,
    check_history,
    encode_event,
    merge_events,
    read_events,
    render_html,
    render_text,
)


@cappa.command(name="timeline", help="Show the events of all processes in one order.")
@dataclass(frozen=True)
class Timeline:
    """Merges the event logs of processes and shows or checks the result.

    Parameters
    ----------
    files : list of Path
    request, organisation, target, key : str
        Only events that match are shown; empty matches every event.
    check : bool
        Whether to check the whole history instead of showing it.
    html : str
        Path of an HTML page to write instead of text; empty for none.
    json : bool
    """

    files: Annotated[
        list[Path],
        cappa.Arg(
            num_args=-1, required=True, help="JSON-lines logs, one per process run."
        ),
    ]
    request: Annotated[str, cappa.Arg(long=True, help="Only this request.")] = ""
    organisation: Annotated[
        str, cappa.Arg(long=True, help="Only this organisation.")
    ] = ""
    target: Annotated[str, cappa.Arg(long=True, help="Only this target.")] = ""
    key: Annotated[str, cappa.Arg(long=True, help="Only this lease key.")] = ""
    check: Annotated[
        bool, cappa.Arg(long=True, help="Check the history against the invariants.")
    ] = False
    html: Annotated[
        str, cappa.Arg(long=True, help="Write an HTML page to this path.")
    ] = ""
    json: Annotated[bool, cappa.Arg(long=True, help="Write JSON lines.")] = False

    def __call__(self) -> int:
        """Show or check the events; return 1 if the check finds a violation."""
        events = merge_events(read_events(self.files))
        if self.check:
            return self._check(events)
        selected = self._select(events)
        if self.html:
            return self._write_html(Path(self.html), selected)
        return self._write_lines(selected)

    def _select(self, events: Iterable[LoggedEvent]) -> Iterator[LoggedEvent]:
        event_filter = EventFilter(
            request=self.request,
            organisation=self.organisation,
            target=self.target,
            key=self.key,
        )
        return (event for event in events if event_filter.accepts(event))

    def _check(self, events: Iterable[LoggedEvent]) -> int:
        violations = check_history(events)
        for violation in violations:
            sys.stdout.write(violation.format() + "\n")
        sys.stdout.write(f"{len(violations)} invariant violations\n")
        return EXIT_FAILED if violations else EXIT_OK

    def _write_html(self, path: Path, events: Iterable[LoggedEvent]) -> int:
        try:
            with path.open("w", encoding="utf-8") as page:
                page.writelines(render_html(events))
        except OSError as error:
            raise InvalidInput(
                f"can't write the HTML page: {error.strerror}", context=str(path)
            ) from error
        return EXIT_OK

    def _write_lines(self, events: Iterable[LoggedEvent]) -> int:
        lines = render_text(events)
        if self.json:
            lines = (encode_event(event).decode() for event in events)
        for line in lines:
            sys.stdout.write(line + "\n")
        return EXIT_OK
