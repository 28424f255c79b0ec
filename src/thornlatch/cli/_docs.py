"""``thornlatch docs``: write the generated reference pages."""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from thornlatch.cli._exits import EXIT_FAILED, EXIT_OK
from thornlatch.cli._output import write_line
from thornlatch.cli._reference import (
    build_errors_page,
    build_gateway_page,
    build_settings_page,
)

PAGES = {
    "settings.md": build_settings_page,
    "gateway-settings.md": build_gateway_page,
    "errors.md": build_errors_page,
}


@cappa.command(
    name="docs",
    help="Generate the reference pages.",
    description="Generates the references of settings and errors from the source code.",
)
@dataclass(frozen=True)
class Docs:
    """Writes the reference pages, or checks that the existing ones are up to date.

    Parameters
    ----------
    directory : Path
        Directory of the pages; created if it doesn't exist.
    check : bool
        Whether to write nothing and fail if a page is missing or outdated.
    """

    directory: Annotated[Path, cappa.Arg(long=True, help="Directory of the pages.")] = (
        Path("docs/reference")
    )
    check: Annotated[
        bool, cappa.Arg(long=True, help="Write nothing; fail if a page is outdated.")
    ] = False

    def __call__(self) -> int:
        """Write or check the pages and return the exit status."""
        status = EXIT_OK
        for name, build in PAGES.items():
            path = self.directory / name
            text = build()
            if path.is_file() and path.read_text(encoding="utf-8") == text:
                continue
            if self.check:
                write_line(f"{path} is outdated; run `thornlatch docs`")
                status = EXIT_FAILED
                continue
            path.parent.mkdir(parents=True, exist_ok=True)
            path.write_text(text, encoding="utf-8")
            write_line(f"wrote {path}")
        return status
