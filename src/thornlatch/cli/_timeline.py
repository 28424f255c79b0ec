"""Command ``timeline``: shows and checks the events of all processes."""

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
    """Merges the logs of processes, filters, shows or checks them."""

    files: Annotated[
        list[Path],
        cappa.Arg(
            num_args=-1, required=True, help="JSON-lines logs, one per process life."
        ),
    ]
    request: Annotated[str, cappa.Arg(long=True, help="Show one request.")] = ""
    organisation: Annotated[
        str, cappa.Arg(long=True, help="Show one organisation.")
    ] = ""
    target: Annotated[str, cappa.Arg(long=True, help="Show one target.")] = ""
    key: Annotated[str, cappa.Arg(long=True, help="Show one lease key.")] = ""
    check: Annotated[
        bool, cappa.Arg(long=True, help="Check the history against the promises.")
    ] = False
    html: Annotated[
        str, cappa.Arg(long=True, help="Write an HTML page to this path.")
    ] = ""
    json: Annotated[bool, cappa.Arg(long=True, help="Write JSON lines.")] = False

    def __call__(self) -> int:
        """Run the command and return its exit status."""
        events = merge_events(read_events(self.files))
        if self.check:
            return self._check(events)
        selected = self._select(events)
        if self.html:
            return self._write_html(Path(self.html), selected)
        return self._write_lines(selected)

    def _select(self, events: Iterable[LoggedEvent]) -> Iterator[LoggedEvent]:
        chosen = EventFilter(
            request=self.request,
            organisation=self.organisation,
            target=self.target,
            key=self.key,
        )
        return (event for event in events if chosen.accepts(event))

    def _check(self, events: Iterable[LoggedEvent]) -> int:
        violations = check_history(events)
        for violation in violations:
            sys.stdout.write(violation.format() + "\n")
        sys.stdout.write(f"{len(violations)} broken promises\n")
        return EXIT_FAILED if violations else EXIT_OK

    def _write_html(self, path: Path, events: Iterable[LoggedEvent]) -> int:
        try:
            with path.open("w", encoding="utf-8") as page:
                page.writelines(render_html(events))
        except OSError as error:
            raise InvalidInput(
                f"can't write the page: {error.strerror}", context=str(path)
            ) from error
        return EXIT_OK

    def _write_lines(self, events: Iterable[LoggedEvent]) -> int:
        lines = render_text(events)
        if self.json:
            lines = (encode_event(event).decode() for event in events)
        for line in lines:
            sys.stdout.write(line + "\n")
        return EXIT_OK
