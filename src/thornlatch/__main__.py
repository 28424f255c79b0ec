"""Entry point of the ``thornlatch`` command."""

import sys

from thornlatch.cli import run


def main() -> int:
    """Run the command-line interface.

    Returns
    -------
    int
        Exit status.
    """
    return run(sys.argv[1:])


if __name__ == "__main__":
    sys.exit(main())
