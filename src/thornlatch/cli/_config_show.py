"""``thornlatch config show``: show the configuration in force."""

from dataclasses import dataclass

import cappa

from thornlatch.cli._exits import EXIT_OK
from thornlatch.cli._options import AsJson, LogOptions
from thornlatch.cli._output import write_json, write_line
from thornlatch.configuration import KINDS, ConfigurationState, build_snapshot

MAX_SHOWN_REFUSALS = 10


@cappa.command(
    name="show",
    help="Show the configuration in force on the log.",
    description="Shows the configuration in force and the latest refused records.",
)
@dataclass(frozen=True, kw_only=True)
class Show:
    """Shows the configuration in force and the latest refused records.

    Parameters
    ----------
    options : LogOptions
    as_json : bool
    """

    options: cappa.Destructured[LogOptions]
    as_json: AsJson = False

    def __call__(self) -> int:
        """Print the configuration and return the exit status."""
        state = self.options.open_log().state
        if self.as_json:
            snapshot = build_snapshot(state, self.options.get_author())
            write_json({"state": snapshot, "refusals": state.refusals})
            return EXIT_OK
        for line in describe_state(state):
            write_line(line)
        return EXIT_OK


def describe_state(state: ConfigurationState) -> list[str]:
    """Return a configuration state as text.

    Parameters
    ----------
    state : ConfigurationState

    Returns
    -------
    list of str
        Lines; at most `MAX_SHOWN_REFUSALS` refusals are listed, the latest ones.
    """
    lines = [
        f"inventory in force: offset {state.inventory_offset}",
        f"last record: offset {state.offset}",
    ]
    lines += [f"{kind}: {len(getattr(state.tables, kind))}" for kind in KINDS]
    lines.append(f"keys issued outside the inventory: {len(state.issued)}")
    lines.append(f"keys withdrawn: {len(state.withdrawn)}")
    lines += [f"draining: {target}" for target in sorted(state.draining)]
    for refusal in state.refusals[-MAX_SHOWN_REFUSALS:]:
        author = f" by {refusal.author}" if refusal.author else ""
        lines.append(
            f"refused: offset {refusal.offset}, {refusal.kind or 'record'}{author}: "
            f"{refusal.code}: {refusal.reason}"
        )
    return lines
