"""``thornlatch host remove``: remove hosts that have stopped permanently."""

from dataclasses import dataclass
from typing import Annotated

import cappa

from thornlatch.cli._control_log import append_until_confirmed
from thornlatch.cli._exits import EXIT_OK
from thornlatch.cli._options import AsJson, LogOptions
from thornlatch.cli._output import write_json, write_line
from thornlatch.membership import HostRemoved


@cappa.command(
    name="remove",
    help="Remove hosts that have stopped permanently.",
    description="Use it only for hosts whose processes have certainly ended: other "
    "hosts stop waiting for them and take over their work at once.",
)
@dataclass(frozen=True, kw_only=True)
class Remove:
    """Removes hosts whose processes have certainly ended.

    Parameters
    ----------
    options : LogOptions
    hosts : list of str
        Host ids.
    as_json : bool
    """

    options: cappa.Destructured[LogOptions]
    hosts: Annotated[
        list[str],
        cappa.Arg(
            num_args=-1, required=True, help="Host ids, as listed by `host list`."
        ),
    ]
    as_json: AsJson = False

    def __call__(self) -> int:
        """Append the records and return the exit status."""
        author = self.options.get_author()
        records = [HostRemoved(host, author) for host in self.hosts]
        first_offset = append_until_confirmed(self.options.open_client(), records)
        removed = [
            {"host": host, "offset": first_offset + index}
            for index, host in enumerate(self.hosts)
        ]
        if self.as_json:
            write_json(removed)
            return EXIT_OK
        for item in removed:
            write_line(f"host {item['host']} was removed at offset {item['offset']}")
        return EXIT_OK
