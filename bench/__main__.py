"""Entry point of ``python -m bench [MODULE ...]``."""

import sys

from bench.runner import main

sys.exit(main())
